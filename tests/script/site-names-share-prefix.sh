#!/bin/sh
# Names of queues and workspaces were cut after 63 bytes, so that two of them
# became one: jobs of both queues stayed queued beside idle workers.
. "$TG_TESTS/site-lib.sh"
prefix=$(printf '%0400d' 0)

start_site --stores=2 --workers=2
start_instance 1
start_instance 2
await "an owner" owner_of 1 2
document=$(echo "$config" | jq -c --arg p "$prefix" '.version = 9 |
	.routes += [.routes[0] | .name = $p + "a" | .["path-prefix"] = "/a/"] |
	.routes += [.routes[0] | .name = $p + "b" | .["path-prefix"] = "/b/" |
		.service = "without workers"] |
	.tenants = [{"name":($p + "a"),"api-keys":["k1"],"guaranteed":{"gpu":8}},
		{"name":($p + "b"),"api-keys":["k2"]}]')
control config "$document"

waiting() { # N QUEUE COUNT
	[ "$(front "$1" "/$2/")" = 200 ] &&
		[ "$(jq .waiting "$tmp/body")" = "$3" ]
}

series() { # JOBS OF QUEUE B
	owner=$(owner_of 1 2)
	[ "$(metric "flow-$owner" "tg_flow_queue_open_jobs{queue=\"${prefix}b\"}")" \
		= "$1" ]
}

queues_stay_apart() { # LAST DIGIT OF THE JOBS
	for n in 1 2; do
		await "the document on $n" answers_at $n /b/ 410
		await "its queues on $n" answers_at $n /a/ 410
	done
	submit 1 00000000000000a$1 "ms=300" "$(steps 2)" a && echo
	key=k2
	submit 2 00000000000000b$1 "ms=300" "$(steps 2)" b && echo
	key=k1
	await_state 1 00000000000000a$1 completed
	echo "of the other queue: $(state 2 00000000000000b$1)"
	await "no job that waits" waiting 1 a 0
	await "jobs without workers" waiting 2 b "$1"
	await "a series of each queue" series "$1"
	echo "counted"
}

queues_stay_apart 1

echo "# a newer document has the same queues"
control config "$(echo "$document" | jq -c '.version = 10')"
queues_stay_apart 2

echo "# a new owner reads the same names from the rows"
owner=$(owner_of 1 2)
crash "flow-$owner"
await "the other owner" owner_of $((3 - owner))
queues_stay_apart 3
judge
