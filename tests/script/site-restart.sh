#!/bin/sh
# All daemons restart after a key was withdrawn and a worker has left.  Neither
# may be in use again, also while the store does not answer yet.
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=2 --workers=3
start_instance 1
await "an owner" owner_of 1
submit 1 00000000000000d1 "ms=200" "$(steps 20)" && echo
await_state 1 00000000000000d1 completed

echo "# a key is withdrawn, a worker leaves"
control config "$(echo "$config" | sed 's/"version":7/"version":8/; s/,"k2"//')"
key=k2
await "the withdrawal" answers 1 401 00000000000000d1
control "worker?id=w2&mode=leave"
gone() { grep -q 'EV5531.*worker=w2' "$tmp/flow-1.out"; }
await "its absence" gone
crash flow-1
crash queue-1

echo "# a start while the store is silent"
control "store?mode=silent"
start queue-1 tgqueued --settings="$tmp/i1.conf"
echo "withdrawn key: $(front 1 /n/00000000000000d1)"
key=k1
echo "other key: $(front 1 /n/00000000000000d1)"
control "store?mode=ok"
key=k2
await "the document" answers 1 401 00000000000000d1
echo "withdrawn key: $(front 1 /n/00000000000000d1)"
key=k1
start flow-1 tgflowd --settings="$tmp/i1.conf" --metrics-addr="$net.1:0"
await "an owner" owner_of 1
submit 1 00000000000000d2 "ms=1500" "$(steps 16)" && echo
await "sixteen runs" runs_now 16
echo "workers: $(seen '[.runs[].worker] | unique')"
await_state 1 00000000000000d2 completed
judge
