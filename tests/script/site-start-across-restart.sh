#!/bin/sh
# Guards against a start that arrives at a worker just after its restart being
# taken for ended with the process before: the task ran twice.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=4
start_instance 1
await "an owner" owner_of 1

ordered() { # JOB COUNT
	ordered_on=$(grep "EV5520.*job=$1 " "$tmp/flow-1.out" |
		sed 's/.* worker=\([^ ]*\).*/\1/')
	[ "$(echo "$ordered_on" | grep -c .)" -eq "$2" ]
}

control 'worker?id=all&mode=unanswered-later'
submit 1 00000000000000a1 "ms=3000 acc=8" \
	'[{"count":2,"cpu":1000,"gpu":8,"est-ms":3000}]' && echo
await "orders" ordered 00000000000000a1 2
for w in $ordered_on; do
	control "worker?id=$w&mode=restart"
done
control 'worker?id=all&mode=ok'
await_state 1 00000000000000a1 completed
judge
