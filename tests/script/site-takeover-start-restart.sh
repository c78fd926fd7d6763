#!/bin/sh
# Guards against a new owner that takes the long lease of a worker for expired:
# the next process had carried out a start for the one before.
hold_max_ms=8000
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=2 --clock-ms=60000
start_instance 1 --lease-ms=3500
start_instance 2 --lease-ms=3500
await "an owner" owner_of 1 2
first=$(owner_of 1 2)
second=$((3 - first))
control "worker?id=w2&mode=size%3D0"
# By then the first owner has recorded that no earlier one acts.
sleep 11

control "worker?id=w1&mode=silent"
submit "$second" 00000000000000a1 "ms=9000" "$(steps 1)" && echo
ordered() { grep -q EV5520 "$tmp/flow-$first.out"; }
await "its start order" ordered
# The next process carries out another copy, and the owner hears nothing of it.
control "worker?id=w1&mode=mute"
control "worker?id=w1&mode=reborn"
await "its run" runs_now 1

control "worker?id=w1&mode=silent"
restart_flow "$first" --lease-ms=3500
control "worker?id=w2&mode=size%3D8"
await_state "$second" 00000000000000a1 completed
judge
