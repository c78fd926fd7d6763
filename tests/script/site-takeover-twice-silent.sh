#!/bin/sh
# Guards against a task that waits anew after each take-over for leases whose
# end a former owner knew: its worker fell silent before the first one.
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=3 --workers=2
for n in 1 2 3; do
	start_instance "$n"
done
await "an owner" owner_of 1 2 3
first=$(owner_of 1 2 3)
# By then no worker holds a lease of the longest duration.
sleep 12
submit "$first" 00000000000000a1 "ms=1000 acc=8" \
	'[{"count":1,"cpu":1000,"gpu":8,"est-ms":1000}]' && echo
await "a run" runs_now 1
silent=$(seen '.runs[0].worker' | tr -d '"')
control "worker?id=$silent&mode=silent"
began=$(date +%s%3N)
noticed() { grep -q "EV5532 .*worker=$silent " "$tmp/flow-$first.out"; }
await "silence is noticed" noticed
# It polls once more, and writes every 500 ms.
sleep 1.6
restart_flow "$first"
await "the second owner" owner_of 1 2 3
second=$(owner_of 1 2 3)
sleep 0.7
restart_flow "$second"
await "the third owner" owner_of 1 2 3
starts() { [ "$(seen .starts)" -eq "$1" ]; }
await "the second start" starts 2
# Leases of 6 s, by a clock that is 2% slow, and 3 s.
took=$(($(date +%s%3N) - began))
if [ "$took" -le 9400 ]; then echo "in time"; else echo "after $took ms"; fi
await_state "$first" 00000000000000a1 completed
judge
