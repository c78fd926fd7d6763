#!/bin/sh
# The owner dies, hands over, or loses the store.  Guards against runs that are
# started again although they go on, and against a site without an owner.
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=3
start_instance 1
start_instance 2
start_instance 3

echo "# the owner is killed while tasks run"
await "an owner" owner_of 1 2 3
first=$(owner_of 1 2 3)
submit 1 00000000000000a1 "ms=4000" "$(steps 6)" && echo
await "six runs" runs_now 6
crash "flow-$first"
others=$(echo 1 2 3 | tr -d "$first")
# shellcheck disable=SC2086
await "another owner" owner_of $others
# shellcheck disable=SC2086
second=$(owner_of $others)
submit "$second" 00000000000000a2 "ms=100" "$(steps 2)" && echo
await_state "$second" 00000000000000a2 completed
await_state "$second" 00000000000000a1 completed
seen '{starts, lapsed}'
judge

echo "# the owner is stopped while tasks run"
start_instance "$first" >/dev/null
submit "$first" 00000000000000a3 "ms=3000" "$(steps 6)" && echo
await "six runs" runs_now 6
stop "flow-$second" >"$tmp/stopped"
sed 's/flow-./the owner/' "$tmp/stopped"
await_state "$first" 00000000000000a3 completed
seen '{starts, lapsed}'
judge

echo "# the store refuses the owner only"
# shellcheck disable=SC2046
await "an owner" owner_of $(echo 1 2 3 | tr -d "$second")
# shellcheck disable=SC2046
third=$(owner_of $(echo 1 2 3 | tr -d "$second"))
submit "$third" 00000000000000a4 "ms=5000" "$(steps 6)" && echo
await "six runs" runs_now 6
control "store?door=$((third - 1))&mode=refuse"
# shellcheck disable=SC2046
last=$(echo 1 2 3 | tr -d "$second$third" | tr -d ' ')
await "another owner" owner_of "$last"
relayed=$(submit "$third" 00000000000000a5 "ms=100" "$(steps 1)")
echo "relayed: $relayed"
# Without the job all that follows waits for its time limits.
[ "$relayed" = 200 ] || exit 1
await_state "$third" 00000000000000a5 completed
await_state "$last" 00000000000000a4 completed
seen '{starts, lapsed}'
judge

echo "# ownership comes back to an instance that had it before"
submit "$third" 00000000000000a6 "ms=6000" "$(steps 6)" && echo
await "six runs" runs_now 6
control "store?door=$((third - 1))&mode=slow"
await "store at $third" answers "$third" 200 00000000000000a6
control "store?door=$((last - 1))&mode=refuse"
# The owner that is refused can't record a start of this one.
submit "$third" 00000000000000a7 "ms=5000" "$(steps 6)" && echo
await "twelve runs" runs_now 12
await "the owner of before" owner_of "$third"
await_state "$third" 00000000000000a6 completed
await_state "$third" 00000000000000a7 completed
seen '{starts, lapsed}'
judge
# No owner may find a run that the ones before it have not recorded.
sed -n 's/.*EV5500.*\(recorded=.\).*/\1/p' "$tmp/flow-$third.out" | tail -n 1
echo "unrecorded: $(cat "$tmp"/flow-*.out | grep -c EV5525)"
