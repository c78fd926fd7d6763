#!/bin/sh
# Guards against a poll that makes the next process of a worker forget ends that
# the owner hasn't seen: it acknowledged those of the process before.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=1
start_instance 1
await "an owner" owner_of 1
submit 1 00000000000000a1 "ms=100" "$(steps 3)" && echo
await_state 1 00000000000000a1 completed

control "worker?id=w1&mode=silent"
submit 1 00000000000000a2 "ms=300" "$(steps 1)" && echo
ordered() { grep -q "EV5520.*00000000000000a2" "$tmp/flow-1.out"; }
await "its start order" ordered
control "worker?id=w1&mode=mute"
control "worker?id=w1&mode=reborn"
await "its run" runs_now 1
await "the end of its run" runs_now 0
control "worker?id=w1&mode=ok"
await_state 1 00000000000000a2 completed
judge
