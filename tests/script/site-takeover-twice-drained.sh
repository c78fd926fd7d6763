#!/bin/sh
# A worker that drains leaves while two owners are replaced one after the other.
# Guards against a task that waits for former owners and for leases of the longest
# duration, since the third owner knows neither (review/12).
heartbeat_ms=1500 stop_ms=400
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=3 --workers=8
for n in 1 2 3; do
	start_instance "$n"
done
await "an owner" owner_of 1 2 3
lasts=',"continuous":true'

# new_task JOB: a task that lasts; sets $leaves to its worker, $first
new_task() {
	job=$1
	submit 1 "$job" "ms=200000" "$(steps 1 "$lasts")" && echo
	await "a run" has_run
	# Each owner's leases count as settled by then, and none is long.
	sleep 15
	first=$(owner_of 1 2 3)
	leaves=$(run_on)
	control "worker?id=$leaves&mode=drain%3D3000"
	drained_ms=$(($(date +%s%3N) + 3200))
	sleep 1.9
}

run_on() {
	seen ".runs[] | select(.task == \"$job.0.0.0\") | .worker" | tr -d '"'
}

has_run() {
	[ -n "$(run_on)" ]
}

# kill_owner N: its flow daemon
kill_owner() {
	crash "flow-$1"
}

start_again() {
	for n in "$@"; do
		start "flow-$n" tgflowd --settings="$tmp/i$n.conf" \
			--metrics-addr="$net.$n:0"
	done
}

# next_owner: sets $second, which is $first if that one is back and claims first
next_owner() {
	await "the next owner" owner_of 1 2 3
	second=$(owner_of 1 2 3)
	echo "owners: $first, then $second" >&2
}

worker_leaves() {
	until [ "$(date +%s%3N)" -ge $drained_ms ]; do sleep 0.02; done
	control "worker?id=$leaves&mode=leave"
	left_ms=$(date +%s%3N)
}

# check_wait WHAT: the platform allows a task that lasts 9 s without a run
check_wait() {
	await "the second run" has_run
	took=$(($(date +%s%3N) - left_ms))
	echo "$1: $took ms" >&2
	if [ "$took" -le 9000 ]; then
		echo "$1: in time"
	else
		echo "$1: after $took ms"
	fi
	judge
}

echo "# the first owner is back 3.5 s later, the second one at once"
new_task 00000000000000a1
kill_owner "$first"
dark_ms=$(($(date +%s%3N) + 3500))
next_owner
kill_owner "$second"
worker_leaves
start_again "$second"
until [ "$(date +%s%3N)" -ge $dark_ms ]; do sleep 0.02; done
start_again "$first"
check_wait "both killed"

echo "# both are back at once"
new_task 00000000000000a2
kill_owner "$first"
start_again "$first"
next_owner
kill_owner "$second"
start_again "$second"
worker_leaves
check_wait "both back at once"

echo "# the worker leaves first"
new_task 00000000000000a3
worker_leaves
kill_owner "$first"
next_owner
kill_owner "$second"
start_again "$first" "$second"
check_wait "the worker left first"
