#!/bin/sh
# The owner dies when a run is recorded and its start isn't ordered yet.  The
# task waited for two long polls of an idle worker, 4 s, though stops take 0.2 s.
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=2 --workers=1
start_instance 1
start_instance 2
await "an owner" owner_of 1 2
first=$(owner_of 1 2)
second=$((3 - first))
control "store?door=$((first - 1))&mode=lose"
submit "$second" 00000000000000a1 "ms=300 acc=8" \
	'[{"count":1,"cpu":1000,"gpu":8,"est-ms":300}]' && echo
sleep 0.3
crash "flow-$first"
echo "starts: $(seen .starts)"
await "the other owner" owns "$second"
began=$(date +%s%3N)
started() {
	[ "$(seen .starts)" -eq 1 ]
}
await "the start" started
took=$(($(date +%s%3N) - began))
if [ "$took" -le 2000 ]; then echo "in time"; else echo "after $took ms"; fi
await_state "$second" 00000000000000a1 completed
judge
