#!/bin/sh
# Guards against entries of earlier processes that arrive once the store answers
# again being taken for restarts: the tasks of two workers ran twice.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=6
start_instance 1
await "an owner" owner_of 1

restarted() { # COUNT
	[ "$(grep -c EV5535 "$tmp/flow-1.out")" -ge "$1" ]
}

# While the feed is silent the workers' heartbeats go on, then four restart.
for k in 1 2 3 4 5; do
	count=$(grep -c EV5535 "$tmp/flow-1.out")
	control "store?mode=silent"
	sleep 0.7
	for w in 1 2 3 4; do
		control "worker?id=w$w&mode=restart"
	done
	await "restarts" restarted $((count + 4))
	control "store?mode=ok"
	submit 1 "00000000000000a$k" "ms=2000 acc=8" \
		'[{"count":2,"cpu":1000,"gpu":8,"est-ms":2000}]' && echo
	await_state 1 "00000000000000a$k" completed
done
judge
