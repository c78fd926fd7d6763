#!/bin/sh
# Many jobs of thousands of occurrences, due later or all at once, and then more
# than the owner has memory for.  Guards against owners that exceed their memory
# one after another, since each reads the same rows (review/11).
memory_mb=120
. "$(dirname "$0")/../site-lib.sh"
. "$TG_TESTS/flood-lib.sh"
status_s=5
start_site --stores=2 --workers=10
start_instance 1 --keep-ms=1000
start_instance 2 --keep-ms=1000
await "an owner" owner_of 1 2

# timed JOB FIRST-MS TIMES STEPS: submits it; prints nothing if it is accepted
timed() {
	s=$(front $((n_jobs % 2 + 1)) "/n/$1" -d "{\"spec\":\"ms=100\",
		\"times\":$3,\"first-ms\":$2,\"interval-ms\":60000,
		\"steps\":$4}")
	n_jobs=$((n_jobs + 1))
	[ "$s" = 200 ] || echo "$1: $s"
}

# series DIGIT FIRST-MS TIMES STEPS: 36 jobs
series() {
	for k in $(seq 10 45); do
		timed "00000000000${1}00$k" "$2" "$3" "$4"
	done
}

# check_memory WHAT: peak of both flow daemons since they started
check_memory() {
	for n in 1 2; do
		peak=$(awk '/^VmHWM:/ { print $2 }' \
			"/proc/$(pid_of "flow-$n")/status")
		echo "$1: instance $n peak $peak kB" >&2
		[ "$peak" -lt $peak_kb_max ] ||
			echo "$1: memory of instance $n over the bound"
	done
}

replace_owner() {
	old=$(owner_of 1 2)
	crash "flow-$old"
	await "the other owner" owner_of $((3 - old))
	start "flow-$old" tgflowd --settings="$tmp/i$old.conf" \
		--metrics-addr="$net.$old:0" --keep-ms=1000
}

n_jobs=0
now_ms=$(date +%s%3N)
echo "# occurrences of two weeks to come, and of two weeks that have passed"
series 1 $((now_ms + 60000)) 20000 "$(steps 1)"
series 2 $((now_ms - 1210000000)) 20000 "$(steps 1 ',"requires":"none"')"
check_memory "one step"
echo "# jobs of twenty steps"
series 3 $((now_ms - 1210000000)) 1000 "$(jq -nc '[range(20) | {count: 1,
	cpu: 1000, "mem-mb": 1000, gpu: 1, "est-ms": 100, requires: "none"}]')"
check_memory "twenty steps"
echo "# the next owner reads them all"
replace_owner
submit 1 00000000000000a1 "ms=100" "$(steps 1)" && echo
await_state 1 00000000000000a1 completed
check_memory "next owner"

echo "# more than the owner can hold: a reason, and when to come back"
large() { # JOB
	submit $((k % 2 + 1)) "$1" "ms=100" "$(steps 20000 ',"requires":"none"')"
}
# refused_by_owner JOB: by what the owner had told alone.  Otherwise the instance
# counts jobs against its part of an older answer, and the owner may have room.
refused_by_owner() {
	cat "$tmp"/queue-*.out | grep -q "EV5605.*job=$1 .*accepted_bytes=0 stor"
}
# Sets $s to the status.
is_decided() {
	s=$(large "00000000000004$k")
	[ "$s" != 503 ] || refused_by_owner "00000000000004$k"
}
accepted=
for k in $(seq 10 49); do
	await "a decision" is_decided
	case $s in
	200) accepted="$accepted $k" ;;
	503)
		echo "$s $(jq -c . "$tmp/body") $(tr -d '\r' <"$tmp/head" |
			grep -i '^retry-after')"
		break
		;;
	*) echo "00000000000004$k: $s" ;;
	esac
done
first=${accepted# }
first=${first%% *}
echo "# a job that was accepted before is not refused"
k=10
large "00000000000004$first" && echo
echo "# a small job still fits"
submit 1 00000000000000a2 "ms=100" "$(steps 1)" && echo
await_state 1 00000000000000a2 completed
check_memory "refused"
echo "# a new owner knows that it is full, and there is room when jobs are gone"
replace_owner
is_refused() {
	[ "$(large 0000000000000500)" = 503 ] &&
		refused_by_owner 0000000000000500
}
await "a refusal" is_refused
for k in $accepted; do
	front 1 "/n/00000000000004$k" -X DELETE >/dev/null
done
is_accepted() { [ "$(large 0000000000000500)" = 200 ]; }
await "room" is_accepted
check_memory "at the end"
judge
