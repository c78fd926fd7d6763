#!/bin/sh
# Guards against a scan of the job table that was read before a job's rows were
# deleted and arrives afterwards: the job was taken for a new one and ran again.
. "$(dirname "$0")/../site-lib.sh"
status_s=1
start_site --workers=16
start_instance 1 --keep-ms=3500
await "an owner" owner_of 1

logged() { # COUNT PATTERN
	[ "$(grep -ac "$2" "$tmp/flow-1.out")" -ge "$1" ]
}
line_of() { # PATTERN: number of the first line
	grep -an -m 1 "$1" "$tmp/flow-1.out" | cut -d: -f1
}

echo "# jobs that last, so that a scan takes long"
spec=$(printf '%03800d' 0)
for i in $(seq 10 89); do
	submit 1 "00000000000000$i" "ms=200000 $spec" "$(steps 1)" && echo
done | sort | uniq -c | tr -s ' '
echo "# jobs that end; none is deleted before the first one"
submit 1 "0000000000000a10" "ms=100" "$(steps 1)" && echo
await "its end" logged 1 "EV5511.*job=0000000000000a10"
control "store?keep=jobs/0000000000000a10"
for i in $(seq 11 33); do
	submit 1 "0000000000000a$i" "ms=100" "$(steps 1)" && echo
done | sort | uniq -c | tr -s ' '
await "their ends" logged 24 "EV5511.*job=0000000000000a"
echo "# deleted while the scan is on its way"
control "store?mode=refuse"
await "a failed feed" logged 1 "EV1702.*table=jobs"
control "store?mode=forget"
control "store?mode=rate:20000"
await "a scan" logged 1 "EV1704.*table=jobs"
control "store?keep="
await "their deletion" logged 24 "EV5513.*job=0000000000000a"
control "store?mode=ok"
await "the rows of all parts" logged 4 "EV1710.*table=jobs scan=1"
if [ "$(line_of EV5513)" -lt "$(line_of "EV1710.*table=jobs scan=1")" ]; then
	echo "deleted before the rows arrived"
fi
submit 1 "0000000000000b10" "ms=100" "$(steps 1)" && echo
await_state 1 "0000000000000b10" completed
echo "added: $(grep -ac "EV5510.*job=0000000000000a" "$tmp/flow-1.out")"
echo "starts: $(grep -ac "EV5520.*job=0000000000000a" "$tmp/flow-1.out")"
judge
