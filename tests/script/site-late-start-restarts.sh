#!/bin/sh
# Guards against a start that the second process after the one it was sent to
# carries out: only the first one had been told to refuse it.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=2
start_instance 1
await "an owner" owner_of 1

starts() { # COUNT
	[ "$(grep -c EV5520 "$tmp/flow-1.out")" -ge "$1" ]
}

control "worker?id=all&mode=late%3D5000"
control "worker?id=all&mode=unanswered-later"
submit 1 00000000000000a1 "ms=8000" "$(steps 1)" && echo
await "its start" starts 1
worker=$(sed -n 's/.*EV5520.* worker=\([^ ]*\).*/\1/p' "$tmp/flow-1.out")
sleep 0.1
control "worker?id=all&mode=ok"
control "worker?id=$worker&mode=restart"
await "its second start" starts 2
control "worker?id=$worker&mode=restart"
await_state 1 00000000000000a1 completed
judge
