#!/bin/sh
# Guards against ends that a hold for the process before makes the worker's next
# process forget: the task of such an end started again.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=1
start_instance 1
await "an owner" owner_of 1

submit 1 00000000000000a1 "ms=100" "$(steps 3)" && echo
await_state 1 00000000000000a1 completed
control "worker?id=w1&mode=holds-kept"
kept() { [ "$(seen .kept)" -gt 0 ]; }
await "a hold that acknowledges its ends" kept
control "worker?id=w1&mode=refuse"
control "worker?id=w1&mode=restart"
control "worker?id=w1&mode=ok"

submit 1 00000000000000a2 "ms=700" "$(steps 1)" && echo
await "its run" runs_now 1
control "worker?id=w1&mode=deaf"
await "the end of its run" runs_now 0
control "worker?id=w1&mode=deliver"
control "worker?id=w1&mode=ok"
await_state 1 00000000000000a2 completed
judge
