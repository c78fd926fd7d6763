#!/bin/sh
# Guards against a second new owner that takes the long lease of a worker for
# expired: the worker has answered the first new owner, and is cut off then.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=2 --stores=3 --clock-ms=60000
for n in 1 2 3; do
	start_instance "$n" --lease-ms=3500
done
await "an owner" owner_of 1 2 3
first=$(owner_of 1 2 3)
control "worker?id=w2&mode=size%3D0"
# By then the first owner has recorded that no earlier one acts.
sleep 11

control "worker?id=w1&mode=holds-kept"
kept() { [ "$(seen .kept)" -gt 0 ]; }
await "a hold without an answer" kept
control "worker?id=w1&mode=silent"
control "worker?id=w1&mode=restart"
control "worker?id=w1&mode=deliver"
control "worker?id=w1&mode=ok"
submit "$first" 00000000000000a1 "ms=11000" "$(steps 1)" && echo
await "its run" runs_now 1

restart_flow "$first" --lease-ms=3500
await "the second owner" owner_of 1 2 3
second=$(owner_of 1 2 3)
holds=$(seen .holds)
listed() { [ "$(seen .holds)" -gt "$((holds + 2))" ]; }
await "its polls" listed
control "worker?id=w1&mode=silent"
restart_flow "$second" --lease-ms=3500
control "worker?id=w2&mode=size%3D8"
await_state "$first" 00000000000000a1 completed
judge
