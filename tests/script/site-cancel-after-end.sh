#!/bin/sh
# Guards against a new owner that lets a stored cancellation overwrite the
# progress of a job before it has read it: a job that had completed was shown as
# cancelled, and its recorded runs were forgotten.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=4
start_instance 1
await "an owner" owner_of 1

cancel() { # JOB: status
	front 1 "/n/$1" -X DELETE && echo
}
logged() { # PATTERN
	grep -aq "$1" "$tmp/flow-1.out"
}

# A read takes as long as one from another region, and the jobs are in the part
# that is read first: the progress is read at least 0.4 s later.
restart_flow() {
	control "store?mode=slow"
	start flow-1 tgflowd --settings="$tmp/i1.conf" --metrics-addr="$net.1:0"
	await "the end of its recovery" logged EV5501
	control "store?mode=ok"
}

echo "# a job that has completed is cancelled while there is no owner"
submit 1 00000000000000a3 "ms=300" "$(steps 1)" && echo
await_state 1 00000000000000a3 completed
crash flow-1
cancel 00000000000000a3
echo "without an owner: $(state 1 00000000000000a3)"
restart_flow
await "the cancellation" logged "EV5512.*job=00000000000000a3"
submit 1 00000000000000b1 "ms=100" "$(steps 1)" && echo
await_state 1 00000000000000b1 completed
echo "after the take-over: $(state 1 00000000000000a3)"

echo "# the same of one with a run"
submit 1 00000000000000a4 "ms=60000 acc=8" \
	'[{"count":1,"cpu":1000,"gpu":8,"est-ms":60000}]' && echo
await "a run" runs_now 1
crash flow-1
cancel 00000000000000a4
echo "without an owner: $(state 1 00000000000000a4)"
restart_flow
await "no run" runs_now 0
await "its end" logged "EV5523.*job=00000000000000a4.*how=stopped"
echo "after the take-over: $(state 1 00000000000000a4)"
echo "unrecorded runs: $(grep -ac EV5525 "$tmp/flow-1.out")"
judge
