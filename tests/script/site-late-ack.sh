#!/bin/sh
# Guards against an acknowledgement that the worker's next process carries out: it
# forgot an end that the owner had not seen, and the task ran again.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=1
start_instance 1
await "an owner" owner_of 1

submit 1 00000000000000a1 "ms=300" "$(steps 5)" && echo
await_state 1 00000000000000a1 completed
sleep 0.5

holds=$(seen .holds)
control "worker?id=w1&mode=late%3D4000"
control "worker?id=w1&mode=holds-later"
held() { [ "$(seen .holds)" -gt "$holds" ]; }
await "a hold without an answer" held
control "worker?id=w1&mode=refuse"
control "worker?id=w1&mode=restart"
control "worker?id=w1&mode=ok"
submit 1 00000000000000a2 "ms=1200" "$(steps 1)" && echo
await "its run" runs_now 1
control "worker?id=w1&mode=deaf"
sleep 4.5
control "worker?id=w1&mode=ok"
await_state 1 00000000000000a2 completed
judge
