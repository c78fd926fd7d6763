#!/bin/sh
# Guards against an owner that takes the long lease of a worker for expired: the
# next process had carried out a start for the one before, and was cut off.
hold_max_ms=8000
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=2 --clock-ms=60000
start_instance 1 --lease-ms=3500
await "an owner" owner_of 1
control "worker?id=w2&mode=size%3D0"

ordered() { grep -q "EV5520.*$1" "$tmp/flow-1.out"; }

# cut MODE JOB: the next process answers the second copy of the start, or not
cut() {
	control "worker?id=w1&mode=silent"
	submit 1 "$2" "ms=9000" "$(steps 1)" && echo
	await "its start order" ordered "$2"
	control "worker?id=w1&mode=$1"
	control "worker?id=w1&mode=reborn"
	await "its run" runs_now 1
	sleep 0.1
	control "worker?id=w1&mode=silent"
	control "worker?id=w2&mode=size%3D8"
	await_state 1 "$2" completed
	judge
}

echo "# without an answer"
cut mute 00000000000000a1
control "worker?id=w1&mode=ok"
back() { grep -q "EV5533.*worker=w1" "$tmp/flow-1.out"; }
await "the worker" back
control "worker?id=w2&mode=size%3D0"
sleep 1
echo "# with an answer"
cut mute-holds 00000000000000a2
