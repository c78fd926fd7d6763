#!/bin/sh
# Guards against a task that ran again as its draining worker exited at its end,
# so that the list with the end was lost.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=4
start_instance 1 --lease-ms=10000
await "an owner" owner_of 1

runs_begun() {
	[ "$(seen '.runs | length')" -gt 0 ]
}

# leave JOB STEPS: a worker of the job drains, and exits as its run ends
leave() {
	submit 1 "$1" "ms=3000 acc=8" "$2" && echo
	await "runs of $1" runs_begun
	leaving=$(seen '.runs[0].worker' | tr -d '"')
	control "worker?id=$leaving&mode=leave-at-end"
	control "worker?id=$leaving&mode=drain%3D2000"
	await_state 1 "$1" completed
	judge
	control "worker?id=$leaving&mode=restart"
}

leave 00000000000000a1 '[{"count":1,"cpu":1000,"gpu":8,"est-ms":3000}]'
