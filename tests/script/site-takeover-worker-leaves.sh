#!/bin/sh
# A draining worker exits right after a take-over.  Its task waits for leases of
# hold-max-ms, as the new owner doesn't know when the entry was last written.
heartbeat_ms=1500
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=2 --workers=2
start_instance 1
start_instance 2
await "an owner" owner_of 1 2
first=$(owner_of 1 2)
second=$((3 - first))
# The first owner's row says by then that no earlier one acts.
sleep 11
submit 1 00000000000000a1 "ms=5000 acc=8" \
	'[{"count":1,"cpu":1000,"gpu":8,"est-ms":5000}]' && echo
await "a run" runs_now 1
leaves=$(seen '.runs[0].worker' | tr -d '"')
control "worker?id=$leaves&mode=drain"
# No heartbeat falls between the take-over and the exit.
control "worker?id=$leaves&mode=lost"
control "store?door=$((first - 1))&mode=refuse"
await "the other owner" owns "$second"
control "worker?id=$leaves&mode=expire"
control "worker?id=$leaves&mode=crash"
began=$(date +%s%3N)
restarted() {
	[ "$(seen .starts)" -eq 2 ]
}
await "the second start" restarted
took=$(($(date +%s%3N) - began))
if [ "$took" -le 7000 ]; then echo "in time"; else echo "after $took ms"; fi
await_state "$second" 00000000000000a1 completed
judge
