#!/bin/sh
# The runs of one job don't fit a row of the store, and the owner is killed
# twice.  Guards against writes that the store refuses, which stopped every start
# of the site, since all progress of a job was in one row (review/3).
row_bytes=16384
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=2 --workers=8 --row-bytes=$row_bytes
start_instance 1
start_instance 2
await "an owner" owner_of 1 2

replace_owner() {
	old=$(owner_of 1 2)
	kill -9 "$(pid_of "flow-$old")"
	wait "$(pid_of "flow-$old")" 2>/dev/null
	forget "$(pid_of "flow-$old")"
	await "the other owner" owner_of $((3 - old)) >/dev/null
	start "flow-$old" tgflowd --settings="$tmp/i$old.conf" \
		--metrics-addr="$net.$old:0"
}

runs_at_least() { # COUNT
	[ "$(seen '.runs | length')" -ge "$1" ]
}

ends_at_least() { # COUNT
	[ "$(seen '.starts - (.runs | length)')" -ge "$1" ]
}

echo "# 3000 runs of one job, and one of another"
submit 1 00000000000000a1 "ms=8000 acc=0" '[{"count":3000,"cpu":10,
	"mem-mb":10,"est-ms":8000}]' && echo
await "half of the runs" runs_at_least 1500
submit 1 00000000000000a2 "ms=300 acc=1" "$(steps 1)" && echo
replace_owner
await_state 2 00000000000000a2 completed
await "ends" ends_at_least 1000
replace_owner
await_state 1 00000000000000a1 completed
seen '{starts}'
judge

echo "# when the job has ended, one row of it is left"
rows_now() { # COUNT
	[ "$(seen .progress)" -eq "$1" ]
}
await "two rows" rows_now 2
judge

echo "# a job that no row can hold is rejected without a call to the store"
wide=$(jq -nc '[range(64) | {count: 1, cpu: 1, "mem-mb": 1, "est-ms": 1,
	after: [range(.)], image: ("i" * 60), requires: ("l" * 60),
	"data-rack": ("r" * 60)}]')
submit 1 00000000000000a3 "ms=1" "$wide" && echo
judge
