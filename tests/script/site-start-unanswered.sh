#!/bin/sh
# A start gets no answer and isn't carried out, while the worker answers polls.
# The list that settles it was requested in the millisecond of the last failure,
# which is too early to tell, so that the task waited 2 to 4 s for long polls.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=1
start_instance 1
await "an owner" owner_of 1
sleep 1
control "worker?id=w1&mode=late=60000"
control "worker?id=w1&mode=unanswered"
submit 1 00000000000000a1 "ms=300 acc=8" \
	'[{"count":1,"cpu":1000,"gpu":8,"est-ms":300}]' && echo
began=$(date +%s%3N)
# Three attempts take 0.9 s each.
sleep 2.5
control "worker?id=w1&mode=ok"
started() {
	[ "$(seen .starts)" -ge 1 ]
}
await "a start" started
took=$(($(date +%s%3N) - began))
if [ "$took" -le 4300 ]; then echo "in time"; else echo "after $took ms"; fi
await_state 1 00000000000000a1 completed
judge
