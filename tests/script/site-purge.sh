#!/bin/sh
# Rows of ended jobs are deleted, and the job can't run again.  Guards against
# a store that grows for ever.
. "$(dirname "$0")/../site-lib.sh"
status_s=1
start_site
start_instance 1 --keep-ms=500
start_instance 2 --keep-ms=500
await "an owner" owner_of 1 2

rows() { # JOBS PROGRESS
	[ "$(seen '[.jobs, .progress]')" = "[$1,$2]" ]
}

submit 1 00000000000000a1 "ms=100" "$(steps 2)" && echo
await_state 1 00000000000000a1 completed
submit 1 00000000000000a2 "ms=60000" "$(steps 1)" && echo
await "one job's rows" rows 1 1
front 1 /n/00000000000000a1 && echo
is_state 2 00000000000000a2 running && echo "the other runs"

echo "# the next owner knows as much"
crash "flow-$(owner_of 1 2)"
await "another owner" owner_of 1 2
await_state 1 00000000000000a2 running
seen '{starts, jobs, progress}'
judge
