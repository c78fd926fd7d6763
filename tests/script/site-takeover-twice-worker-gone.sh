#!/bin/sh
# A worker is gone when two owners are replaced one after the other.  Its tasks
# waited until 10 s and a lease after the second claim, beside a free worker.
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=3 --workers=2
start_instance 1
start_instance 2
start_instance 3
await "an owner" owner_of 1 2 3
first=$(owner_of 1 2 3)
# shellcheck disable=SC2046
set -- $(echo 1 2 3 | tr -d "$first")
# By then the first owner has recorded that no earlier one acts.
sleep 17
submit 1 00000000000000a1 "ms=3000 acc=8" \
	'[{"count":1,"cpu":1000,"gpu":8,"est-ms":3000}]' && echo
await "a run" runs_now 1
gone=$(seen '.runs[0].worker' | tr -d '"')
control "worker?id=$gone&mode=crash"
control "worker?id=$gone&mode=expire"
control "store?door=$((first - 1))&mode=refuse"
await "the second owner" owner_of "$@"
second=$(owner_of "$@")
third=$(echo "$@" | tr -d "$second ")
# It learns that the first one acts no more, and records that.
sleep 1.5
control "store?door=$((second - 1))&mode=refuse"
await "the third owner" owns "$third"
began=$(date +%s%3N)
starts() {
	[ "$(seen .starts)" -eq "$1" ]
}
await "the second start" starts 2
took=$(($(date +%s%3N) - began))
if [ "$took" -le 9000 ]; then echo "in time"; else echo "after $took ms"; fi
await_state "$third" 00000000000000a1 completed
judge
