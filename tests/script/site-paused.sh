#!/bin/sh
# The owner is stopped for longer than a take-over needs, and goes on.  It must
# call no worker before it knows whether it was replaced: its orders and leases
# were for a time that is over.
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=3
start_instance 1
start_instance 2
start_instance 3

pause() { # N
	is_own "$(pid_of "flow-$1")" && kill -STOP "$(pid_of "flow-$1")"
}
resume() { # N
	is_own "$(pid_of "flow-$1")" && kill -CONT "$(pid_of "flow-$1")"
}
has_line() { # N EVENT
	grep -q "$2" "$tmp/flow-$1.out"
}

echo "# paused until another one has taken over"
await "an owner" owner_of 1 2 3
first=$(owner_of 1 2 3)
submit "$first" 00000000000000b1 "ms=6000" "$(steps 6)" && echo
await "six runs" runs_now 6
pause "$first"
# shellcheck disable=SC2046
others=$(echo 1 2 3 | tr -d "$first")
# shellcheck disable=SC2086
await "another owner" owner_of $others
# shellcheck disable=SC2086
second=$(owner_of $others)
await "its recovery" has_line "$second" EV5501
# Only a peer or a worker can tell it: it must not find out by calling workers.
control "store?door=$((first - 1))&mode=silent"
resume "$first"
await "the end of its term" has_line "$first" EV5502
control "store?door=$((first - 1))&mode=ok"
await_state "$second" 00000000000000b1 completed
seen '{starts, lapsed, fenced}'
judge

echo "# paused without a successor"
third=$(echo "$others" | tr -d "$second" | tr -d ' ')
stop "flow-$first" >/dev/null
stop "flow-$third" >/dev/null
submit "$second" 00000000000000b2 "ms=4000" "$(steps 6)" && echo
await "six runs" runs_now 6
pause "$second"
sleep 2
resume "$second"
await_state "$second" 00000000000000b2 completed
has_line "$second" EV5506 && echo "it asked the store first"
seen '{starts, lapsed, fenced}'
judge
