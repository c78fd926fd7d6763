#!/bin/sh
# Each standby read and decoded every document, over the same link and on the same
# core as the queue daemon beside it, which has to put it in force.
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=2
start_instance 1
start_instance 2
await "an owner" owner_of 1 2
first=$(owner_of 1 2)
second=$((3 - first))
control config "$(echo "$config" | jq -c '.version = 9 |
	.routes += [.routes[0] | .name = "new" | .["path-prefix"] = "/new/"]')"
await "the document on 1" answers_at 1 /new/ 410
await "the document on 2" answers_at 2 /new/ 410
read_by() { # NAME: how often it has read the document
	grep -c 'EV1705.*generation=9' "$tmp/$1.out"
}
await "the document at the owner" read_by "flow-$first"
echo "standby: $(read_by "flow-$second")"

echo "# a new owner reads it when it takes over"
crash "flow-$first"
await "the other owner" owner_of "$second"
submit 1 00000000000000a1 "ms=100" "$(steps 1)" new && echo
await_state 1 00000000000000a1 completed
echo "new owner: $(read_by "flow-$second")"
judge
