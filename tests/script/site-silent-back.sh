#!/bin/sh
# Guards against a worker that gets no starts for the duration of a long poll
# after it has answered again, since its suspicion ends with an answer only.
heartbeat_ms=4000
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=1
start_instance 1
await "an owner" owner_of 1
# By then no worker holds a lease of the longest duration.
sleep 12
control "worker?id=w1&mode=silent"
noticed() { grep -q "EV5532 .*worker=w1 " "$tmp/flow-1.out"; }
await "silence is noticed" noticed
# It polls once more, and writes every 500 ms.
sleep 1.6
submit 1 00000000000000a1 "ms=3000" "$(steps 1)" && echo
control "worker?id=w1&mode=ok"
back() { grep -q "EV5533 .*worker=w1 " "$tmp/flow-1.out"; }
i=0
while ! back && [ $i -lt 300 ]; do i=$((i + 1)); sleep 0.02; done
began=$(date +%s%3N)
i=0
while ! runs_now 1 && [ $i -lt 300 ]; do i=$((i + 1)); sleep 0.02; done
took=$(($(date +%s%3N) - began))
echo "took $took" >&2
if [ "$took" -le 700 ]; then echo "in time"; else echo "after $took ms"; fi
judge
