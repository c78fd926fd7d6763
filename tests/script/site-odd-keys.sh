#!/bin/sh
# Another writer's rows have keys that begin with those of a job and its
# records.  Such keys were cut, which cancelled the job and deleted its record.
. "$TG_TESTS/site-lib.sh"
start_site --stores=2 --workers=4 --accelerators=100
start_instance 1
start_instance 2
await "an owner" owner_of 1 2
owner=$(owner_of 1 2)
job=00000000000000a1
submit 1 $job "ms=8000 acc=1" "$(steps 100)" && echo
await "the runs" runs_now 100

bad_row() { # N TABLE
	grep -q "EV1707.*table=$2 key=$job" "$tmp/flow-$1.out"
}

echo "# a cancellation of another id"
control "row?table=jobs&key=${job}0~cancel" '{}'
await "its line" bad_row "$owner" jobs
sleep 1
echo "$(state 1 $job)"

echo "# a record of another key, which the next owner reads"
echo "records: $(seen .progress)"
control "row?table=progress&part=owner&key=$job~000320" '{}'
crash "flow-$owner"
other=$((3 - owner))
await "the other owner" owner_of $other
await "its line" bad_row $other progress
sleep 1
echo "with the odd one: $(seen .progress)"
await_state 1 $job completed
judge
