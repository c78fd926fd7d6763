#!/bin/sh
# Guards against a new owner that starts the tasks of workers again that are
# missing in the directory when its term begins.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=4
start_instance 1
start_instance 2
await "an owner" owner_of 1 2
first=$(owner_of 1 2)
second=$((3 - first))
submit 1 00000000000000a1 "ms=7000 acc=8" \
	'[{"count":2,"cpu":1000,"gpu":8,"est-ms":7000}]' && echo
await "two runs" runs_now 2
busy=$(seen '.runs[].worker' | tr -d '"')

each() { # MODE: of the workers with runs
	for w in $busy; do
		control "worker?id=$w&mode=$1"
	done
}

echo "# the entries are back soon after the take-over"
each expire
crash "flow-$first"
await "the other owner" owns "$second"
sleep 1
each listed
await_state 1 00000000000000a1 completed
echo "starts: $(seen .starts)"
judge

echo "# they stay away for longer than leases last"
start "flow-$first" tgflowd --settings="$tmp/i$first.conf" \
	--metrics-addr="$net.$first:0"
submit 1 00000000000000a2 "ms=9000 acc=8" \
	'[{"count":2,"cpu":1000,"gpu":8,"est-ms":9000}]' && echo
await "two runs" runs_now 2
busy=$(seen '.runs[].worker' | tr -d '"')
each expire
crash "flow-$second"
await "the first owner" owns "$first"
await_state 1 00000000000000a2 completed
judge
