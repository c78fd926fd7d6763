#!/bin/sh
# A task crashes each worker that starts it.  It was started for ever, on one
# worker after the other.
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=2 --workers=6
start_instance 1
start_instance 2
await "an owner" owner_of 1 2
first=$(owner_of 1 2)
second=$((3 - first))

# orders JOB: number of start orders
orders() {
	cat "$tmp"/flow-*.out | grep -c "EV5520.*job=$1"
}

crashes() { # JOB: how many crashes it was blamed for
	cat "$tmp"/flow-*.out | grep -c "EV553[78].*job=$1"
}

crashed() { # JOB COUNT
	[ "$(crashes "$1")" -ge "$2" ]
}

owner_misses_a_worker() {
	door=$(echo "$site_rpc" | cut -d, -f1)
	curl -s "http://$door/rows-get?table=owner&part=owner" |
		jq -r '.rows[0].value' | base64 -d | jq -e '.silent | length > 0'
}

echo "# its job fails; others complete"
submit 1 00000000000000a1 "ms=6000" "$(steps 6)" && echo
await "six runs" runs_now 6
submit 1 00000000000000a2 "deadly" "$(steps 1)" && echo
await_state 1 00000000000000a2 failed
echo "started $(orders 00000000000000a2) times"
await_state 1 00000000000000a1 completed
echo "others given up: $(cat "$tmp"/flow-*.out |
	grep -c 'EV5538.*job=00000000000000a1')"

echo "# a new owner knows of the crashes that the former one saw"
submit 1 00000000000000a3 "deadly" "$(steps 1)" && echo
await "two crashes" crashed 00000000000000a3 2
crash "flow-$first"
await "the other owner" owner_of "$second"
await_state 1 00000000000000a3 failed
# The crash of its last run may fall into the take-over.
[ "$(orders 00000000000000a3)" -le 4 ] && echo "started at most 4 times"

echo "# and finds out about a worker that the former one missed"
start "flow-$first" tgflowd --settings="$tmp/i$first.conf" \
	--metrics-addr="$net.$first:0"
submit 1 00000000000000a4 "deadly" "$(steps 1)" && echo
await "the silence of its worker" owner_misses_a_worker
crash "flow-$second"
await "the first owner again" owner_of "$first"
await_state 1 00000000000000a4 failed
echo "started $(orders 00000000000000a4) times"
judge
