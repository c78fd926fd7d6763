#!/bin/sh
# Guards against an entry of an earlier process of a worker being taken for a
# restart: the tasks of the process that runs were started again.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=4
start_instance 1
await "an owner" owner_of 1

# begin JOB COUNT: COUNT runs, each on a worker of its own
begin() {
	submit 1 "$1" "ms=4000 acc=8" \
		"[{\"count\":$2,\"cpu\":1000,\"gpu\":8,\"est-ms\":4000}]" && echo
	await "runs of $1" runs_now "$2"
	busy=$(seen '.runs[].worker' | tr -d '"')
}

each() { # MODE: of the workers with runs
	for w in $busy; do
		control "worker?id=$w&mode=$1"
	done
}

echo "# entries of the process before, on two workers"
control 'worker?id=all&mode=restart'
sleep 2.5
begin 00000000000000a1 2
each old%3D1
await_state 1 00000000000000a1 completed
judge

echo "# an entry of two lives ago, at another address"
control 'worker?id=all&mode=move'
sleep 2.5
control 'worker?id=all&mode=restart'
sleep 2.5
begin 00000000000000a2 1
each old%3D2
await_state 1 00000000000000a2 completed
judge

echo "# older entries that stay, one after the other"
begin 00000000000000a3 1
each old%3D1
sleep 0.2
each old%3D3
sleep 0.2
each old%3D1
await_state 1 00000000000000a3 completed
judge

echo "# a new owner reads an older entry"
begin 00000000000000a4 1
each old%3D1
crash flow-1
start flow-1 tgflowd --settings="$tmp/i1.conf" --metrics-addr="$net.1:0"
await "an owner" owner_of 1
each old%3D2
await_state 1 00000000000000a4 completed
judge
