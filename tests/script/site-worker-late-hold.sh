#!/bin/sh
# Guards against leases that a hold without an answer extends on the worker's
# next process: the owner took them for expired, and the task ran twice.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=2
start_instance 1 --lease-ms=4000
await "an owner" owner_of 1
control "worker?id=w2&mode=size%3D0"
# The clock of the first process is far ahead of that of the next one.
sleep 13

holds=$(seen .holds)
control "worker?id=w1&mode=holds-later"
held() { [ "$(seen .holds)" -gt "$holds" ]; }
await "a hold without an answer" held
control "worker?id=w1&mode=refuse"
control "worker?id=w1&mode=restart"
control "worker?id=w1&mode=ok"
submit 1 00000000000000a1 "ms=12000" "$(steps 1)" && echo
await "its run" runs_now 1
sleep 1.2
control "worker?id=w1&mode=silent"
control "worker?id=w2&mode=size%3D8"
await_state 1 00000000000000a1 completed
judge
