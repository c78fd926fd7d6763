#!/bin/sh
# Guards against a start without an answer that the worker's next process
# carries out: the task had been started elsewhere and ran twice.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=3
start_instance 1
await "an owner" owner_of 1

start_of() { # JOB: worker of its last start order
	sed -n "s/.*EV5520.*job=$1.* worker=\([^ ]*\).*/\1/p" "$tmp/flow-1.out" |
		tail -n 1
}

ordered() { # JOB
	[ -n "$(start_of "$1")" ]
}

# begin JOB: its start order is carried out 1.5 s later
begin() {
	control "worker?id=all&mode=unanswered-later"
	submit 1 "$1" "ms=3000" "$(steps 1)" && echo
	await "a start order of $1" ordered "$1"
	worker=$(start_of "$1")
	sleep 0.1
	control "worker?id=all&mode=ok"
}

echo "# the worker restarts before the start is carried out"
begin 00000000000000a1
control "worker?id=$worker&mode=restart"
await_state 1 00000000000000a1 completed
judge

echo "# it restarts once it has carried out a second copy of the order"
begin 00000000000000a2
await "a run" runs_now 1
sleep 0.1
control "worker?id=$worker&mode=restart"
await_state 1 00000000000000a2 completed
judge
