#!/bin/sh
# Guards against a late copy of a start order whose run has ended: the worker's
# next process carries it out while the task runs elsewhere.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=2
start_instance 1
await "an owner" owner_of 1
job=00000000000000a1

started_on() { # worker of the last start order
	sed -n "s/.*EV5520.*job=$job.* worker=\([^ ]*\).*/\1/p" \
		"$tmp/flow-1.out" | tail -n 1
}

ordered() {
	[ -n "$(started_on)" ]
}

moved() {
	[ "$(started_on)" != "$worker" ]
}

control "worker?id=all&mode=unanswered-later"
submit 1 $job "ms=420" "$(steps 1)" && echo
await "a start order" ordered
worker=$(started_on)
sleep 0.1
control "worker?id=all&mode=ok"
echo "# the second copy is answered, and its run fails"
control "worker?id=$worker&mode=fail"
await "a start elsewhere" moved
control "worker?id=$worker&mode=restart"
control "worker?id=$worker&mode=ok"
await_state 1 $job completed
echo "starts: $(seen .starts)"
judge
