#!/bin/sh
# Guards against an acknowledgement without an answer that the worker's next
# process carries out: it forgot an end that the owner had not read, and a task
# that was done ran again.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=1
start_instance 1
await "an owner" owner_of 1

echo "# five ends are acknowledged to the first process"
submit 1 00000000000000a1 "ms=100" "$(steps 5)" && echo
await_state 1 00000000000000a1 completed
sleep 0.5

holds=$(seen .holds)
control "worker?id=w1&mode=holds-later"
held() { [ "$(seen .holds)" -gt "$holds" ]; }
await "a hold without an answer" held
control "worker?id=w1&mode=refuse"
control "worker?id=w1&mode=restart"
control "worker?id=w1&mode=ok"
echo "# a run of the next process ends while the owner doesn't reach it"
submit 1 00000000000000a2 "ms=500" "$(steps 1)" && echo
await "its run" runs_now 1
control "worker?id=w1&mode=deaf"
sleep 1.6
control "worker?id=w1&mode=ok"
await_state 1 00000000000000a2 completed
echo "starts: $(grep -ac "EV5520.*job=00000000000000a2" "$tmp/flow-1.out")"
judge
