#!/bin/sh
# lib/plat against platformd: group commit, lost answers, outages, paging.
. "$TG_TESTS/contract/common.inc"

drive() { # TITLE FLAG...: commands from stdin, on a platform of its own
	echo "# $1"
	shift
	start platformd platformd
	curl -s -o /dev/null -d '{"name":"w-1","kind":"worker","az":"a","slots":8,
		"addr":"127.0.0.1:1"}' "http://$http/standin/instances"
	"$TG_TESTBIN/plat-driver" --platform "$http" "$@" ||
		echo "driver failed: $?"
}

# One table write per transaction would exceed the table's write budget.
drive "100 transactions at a time without grouping" --group-max 1 <<'END'
many 100 k/
wait-count
counters
list k/
wait
END
drive "100 transactions at a time with grouping" <<'END'
many 100 k/
wait-count
counters
list k/
wait
END

drive "reads" <<'END'
txn first if=a:0 put=a:1 put=b:1
wait
txn second if=a:1 if=b:1 put=a:2 delete=b
wait
get a
get b
list a
list none
object-put o/1 text
wait
object-get o/1
object-get o/2
instances
instances a
instances b
wait
reachable
END

drive "rows of three pages" <<'END'
many 1203 p/
wait-count
list p/
wait
END

# A page that took longer than a call to transfer was given up, and so the list.
drive "rows of three pages over a narrow link" <<'END'
many 1203 p/
wait-count
fault {"bytes_per_s":20000}
list p/
wait
END

# A conflict of one member must not fail or repeat the others.
drive "conflict within a group" <<'END'
txn setup put=taken:x
wait
txn one if=a:0 put=a:1
txn two if=taken:0 put=taken:1
txn three if=b:0 put=b:1
wait
counters
history a
history b
END
drive "two transactions on one row are not grouped" <<'END'
txn one if=a:0 put=a:1
txn two if=a:0 put=a:2
txn three if=a:1 put=a:3
wait
history a
END
# All writes of a scheduler have a condition on its AZ's row.  Alone each, a
# burst of jobs would take as many writes as transactions.
drive "a condition shared by a group" <<'END'
txn setup put=lock:x
wait
txn one if=a:0 put=a:1
txn two if=lock:1 if=b:0 put=b:1
txn three if=lock:1 if=c:0 put=c:1
txn four if=lock:1 if=d:0 put=d:1
wait
counters
history b
history c
history d
END
drive "different conditions on one row are not grouped" <<'END'
txn setup put=lock:x
wait
txn one if=a:0 put=a:1
txn two if=lock:1 if=b:0 put=b:1
txn three if=lock:2 if=c:0 put=c:1
txn four if=lock:1 if=lock2:0 put=lock2:1
wait
history b
history c
history lock2
END
drive "a shared condition on a row that a member changes" <<'END'
txn setup put=lock:x
wait
txn one if=a:0 put=a:1
txn two if=lock:1 if=b:0 put=b:1
txn three if=lock:1 put=lock:2
txn four if=lock:1 if=c:0 put=c:1
wait
history b
history lock
history c
END
drive "lost answer of a group with a shared condition" <<'END'
txn setup put=lock:x
wait
fault {"lose_next":2}
txn one if=a:0 put=a:1
txn two if=lock:1 if=b:0 put=b:1
txn three if=lock:1 if=c:0 put=c:1
wait
history b
history c
END
drive "an invalid member does not fail the others" <<'END'
txn one if=a:0 put=a:1
txn two if=bad!key:0 put=bad!key:1
txn three if=b:0 put=b:1
wait
history a
history b
END

drive "a group beyond the size of a transaction" <<'END'
many 60 k/ 20000
wait-count
counters
END

# A write must not be reported as failed after it took effect, nor be repeated.
drive "lost answer of a group" <<'END'
fault {"lose_next":1}
txn one if=a:0 put=a:1
txn two if=b:0 put=b:1
wait
history a
history b
counters
END
drive "answers lost ten times" --settle-ms 30000 <<'END'
fault {"lose_next":10}
txn one if=a:0 put=a:1
wait
history a
END
drive "lost answer of a conflict" <<'END'
txn setup put=a:x
wait
fault {"lose_next":1}
txn one if=a:0 put=a:1
wait
history a
END
drive "lost answer, then another process wrote the row" --settle-ms 30000 <<'END'
fault {"outage":"lose_answer"}
txn one if=a:0 put=a:1
until lost 1
other {"token":"other","put":[{"key":"a","value":{}}]}
fault {}
wait
history a
END
drive "hung, then another process wrote the row" --settle-ms 30000 \
	--timeout-ms 300 <<'END'
fault {"outage":"hang"}
txn one if=a:0 put=a:1
until hung 1
fault {}
other {"token":"other","put":[{"key":"a","value":{}}]}
wait
history a
END
drive "lost answer of a write without condition" --settle-ms 30000 <<'END'
fault {"outage":"lose_answer"}
txn one put=a:1
until lost 1
other {"token":"other","put":[{"key":"a","value":{}}]}
fault {}
wait
history a
END
drive "lost answer of a delete" <<'END'
txn setup put=a:x
wait
fault {"lose_next":1}
txn one if=a:1 delete=a
wait
history a
END
drive "lost answer of a write and a delete" <<'END'
txn setup put=a:x
wait
fault {"lose_next":1}
txn one if=a:1 if=b:0 delete=a put=b:1
wait
history a
history b
END

all='txn write if=z:0 put=z:1
get a
list a
object-put o/1 text
wait
object-get o/1
instances
wait
reachable'
drive "outage: refused" <<END
fault {"outage":"refuse"}
$all
fault {}
$all
history z
END
drive "outage: no answers, no effect" --timeout-ms 200 --settle-ms 500 <<END
fault {"outage":"hang"}
$all
history z
END
drive "outage: answers lost" --settle-ms 500 <<END
fault {"outage":"lose_answer"}
$all
history z
END
drive "outage of the table alone" <<END
fault {"outage":"refuse","only":"table"}
object-put o/1 text
instances
wait
reachable
txn write if=z:0 put=z:1
get a
wait
reachable
END
drive "outage of the object store alone" <<END
fault {"outage":"refuse","only":"objects"}
txn write if=z:0 put=z:1
get z
wait
reachable
object-put o/1 text
object-get o/1
wait
reachable
END
drive "slow platform" <<END
fault {"slow_ms":200}
$all
END
start platformd platformd
kill "$pid"
wait "$pid"
echo "# no platform"
printf '%s\n' "$all" | "$TG_TESTBIN/plat-driver" --platform "$http"
