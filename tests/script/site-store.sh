#!/bin/sh
# The store is down or slow, loses answers, or forgets its history.  Guards against
# jobs that are lost, doubled or refused although they run, and against leases
# that expire while nobody else can own the site.
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=2
start_instance 1
start_instance 2
await "an owner" owner_of 1 2

echo "# answers are lost: what was written counts"
submit 1 00000000000000a1 "ms=100" "$(steps 1)" && echo
await_state 1 00000000000000a1 completed
control "store?mode=lose"
submit 1 00000000000000a2 "ms=1000" "$(steps 2)" >"$tmp/status" &
sleep 1.2
control "store?mode=ok"
wait $!
cat "$tmp/status" && echo
await_state 2 00000000000000a2 completed
judge

echo "# slower than the first try of a write waits: the job is accepted"
control "store?mode=sluggish"
submit 1 00000000000000b1 "ms=100" "$(steps 1)" && echo
control "store?mode=ok"
await_state 1 00000000000000b1 completed

echo "# down for 7 s: runs go on, nothing is accepted, nothing lapses"
submit 1 00000000000000a3 "ms=9000" "$(steps 4)" && echo
await "four runs" runs_now 4
control "store?mode=refuse"
submit 1 00000000000000a4 "ms=100" "$(steps 1)" && echo
tr -d '\r' <"$tmp/head" | grep -i '^retry-after'
sleep 5
is_state 2 00000000000000a3 running && echo "shown without the store"
control "store?mode=ok"
await_state 1 00000000000000a3 completed
await "answer on a4" answers 1 410 00000000000000a4
seen '{lapsed}'
judge

echo "# history forgotten: the next document is seen even so"
control "store?mode=forget"
control config "$(echo "$config" | jq -c '.version = 9 |
	.tenants[0]["api-keys"] = ["k2"] |
	.routes += [.routes[0] | .name = "new" | .["path-prefix"] = "/new/"]')"
sleep 3
front 1 /n/00000000000000a1 && echo
front 2 /n/00000000000000a1 && echo
key=k2
front 1 /new/00000000000000a9 && echo
echo "# never back to an older document"
control config "$config"
sleep 2
front 1 /new/00000000000000a9 && echo
