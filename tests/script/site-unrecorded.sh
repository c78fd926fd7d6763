#!/bin/sh
# An owner that can't write to the store must leave no run that the next owner
# doesn't know of.  Guards against tasks that run twice because the worker that
# runs them has no entry in the directory when the next owner begins (review/4).
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=2 --workers=4
start_instance 1
start_instance 2
await "an owner" owner_of 1 2

first=00000000000000a1 second=00000000000000a2
whole='[{"count":%d,"cpu":52000,"mem-mb":1000,"gpu":8,"est-ms":%d}]'

runs_of_second() { # prints the workers that run the second job
	seen '.runs[]' | jq -r --arg j "$second" \
		'select(.task | startswith($j)) | .worker'
}

second_runs() {
	[ -n "$(runs_of_second)" ]
}

echo "# all workers are busy, the next job waits, the store goes down"
# shellcheck disable=SC2059
submit 1 $first "ms=3000 acc=8" "$(printf "$whole" 4 3000)" && echo
await "four runs" runs_now 4
# shellcheck disable=SC2059
submit 1 $second "ms=8000 acc=8" "$(printf "$whole" 1 8000)" && echo
control "store?mode=refuse"
sleep 5

echo "# the owner is killed; a worker that may run the job has no entry"
worker=$(runs_of_second)
control "row?table=servers&key=${worker:-w1}" "no entry"
owner=$(owner_of 1 2)
crash "flow-$owner"
control "store?mode=ok"
other=$((3 - owner))
await "another owner" owner_of $other
await "the second job" second_runs
sleep 3
judge
await_state $other $second completed
await_state $other $first completed
judge
