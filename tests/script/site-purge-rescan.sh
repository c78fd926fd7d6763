#!/bin/sh
# Guards against a scan of the job table that was read before a job's rows were
# deleted and arrives afterwards: the job was taken for a new one and ran again.
. "$(dirname "$0")/../site-lib.sh"
status_s=1
start_site --workers=16
start_instance 1 --keep-ms=3500
await "an owner" owner_of 1

echo "# jobs that last, so that a scan takes long"
spec=$(printf '%03800d' 0)
for i in $(seq 10 89); do
	submit 1 "00000000000000$i" "ms=200000 $spec" "$(steps 1)" && echo
done | sort | uniq -c | tr -s ' '
echo "# jobs that end, and are deleted during a scan"
for i in $(seq 10 33); do
	submit 1 "0000000000000a$i" "ms=100" "$(steps 1)" && echo
done | sort | uniq -c | tr -s ' '
ended() { [ "$(grep -ac "EV5511.*job=0000000000000a" "$tmp/flow-1.out")" -ge 24 ]; }
await "their ends" ended
control "store?mode=refuse"
sleep 1.8
control "store?mode=forget"
control "store?mode=narrow"
purged() { [ "$(grep -ac "EV5513.*job=0000000000000a" "$tmp/flow-1.out")" -ge 24 ]; }
await "their deletion" purged
sleep 12
echo "starts: $(grep -ac "EV5520.*job=0000000000000a" "$tmp/flow-1.out")"
judge
