#!/bin/sh
# Guards against a draining worker that is cut off being taken for one that has
# exited: its tasks ran twice.
. "$(dirname "$0")/../site-lib.sh"
heartbeat_ms=1500
start_site --workers=6
start_instance 1 --lease-ms=10000
await "an owner" owner_of 1

# begin JOB COUNT [DRAIN]: COUNT runs, each on a worker of its own, which drain
begin() {
	log_lines=$(wc -l <"$tmp/flow-1.out")
	submit 1 "$1" "ms=9000 acc=8" \
		"[{\"count\":$2,\"cpu\":1000,\"gpu\":8,\"est-ms\":9000}]" && echo
	await "runs of $1" runs_now "$2"
	cut_off=$(seen '.runs[].worker' | tr -d '"')
	each "${3:-drain}"
	sleep 1
}

each() { # MODE: of the workers with runs
	for w in $cut_off; do
		control "worker?id=$w&mode=$1"
	done
}

noticed() {
	for w in $cut_off; do
		tail -n +"$log_lines" "$tmp/flow-1.out" |
			grep -q "EV5532.*worker=$w " || return 1
	done
}

# The cut ends before the leases do.
finish() { # JOB
	each ok
	each listed
	await_state 1 "$1" completed
	judge
	for w in $cut_off; do
		control "worker?id=$w&mode=restart"
	done
}

echo "# a silent cut of two workers, their entries expire when it is noticed"
begin 00000000000000a1 2
each silent
await "silence" noticed
each expire
sleep 2
finish 00000000000000a1

echo "# a cut that refuses connections, the entry expires 3 to 4.5 s later"
begin 00000000000000a2 1
each refuse
await "refusal" noticed
sleep 5
finish 00000000000000a2

echo "# a cut that refuses connections after the drain time"
begin 00000000000000a3 1 drain%3D100
each refuse
await "refusal" noticed
sleep 5
finish 00000000000000a3

echo "# an entry that expires before a cut that refuses connections"
begin 00000000000000a4 1
each lost
sleep 4.3
each refuse
await "refusal" noticed
sleep 2
finish 00000000000000a4

echo "# an entry that expires before a silent cut is noticed"
begin 00000000000000a5 1
each silent
sleep 0.4
each expire
await "silence" noticed
sleep 2
finish 00000000000000a5
