#!/bin/sh
# The store refuses a row of one job for good, from whatever cause.  Guards
# against an owner that repeats such a write for ever, so that no job goes on.
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=2 --workers=4
start_instance 1
start_instance 2
await "an owner" owner_of 1 2

echo "# a row of a large job is refused while other jobs run"
control "store?reject=progress/00000000000000a1~00032"
submit 1 00000000000000a2 "ms=1500 acc=1" "$(steps 8)" && echo
submit 1 00000000000000a1 "ms=1500 acc=0" '[{"count":100,"cpu":10,
	"mem-mb":10,"est-ms":1500}]' && echo
submit 2 00000000000000a3 "ms=1500 acc=1" "$(steps 8)" && echo
await_state 1 00000000000000a1 failed
await_state 1 00000000000000a2 completed
await_state 2 00000000000000a3 completed
owner=$(owner_of 1 2)
echo "refused: $(metric "flow-$owner" tg_flow_refused_records_total)"
cat "$tmp"/flow-*.out | grep -o 'EV5527.* record=[^ ]*'
cat "$tmp"/flow-*.out | grep -c 'EV5502'
seen '{over_room, twice, after_done}'

echo "# the next owner knows it as well"
kill -9 "$(pid_of "flow-$owner")"
wait "$(pid_of "flow-$owner")" 2>/dev/null
forget "$(pid_of "flow-$owner")"
await "the other owner" owner_of $((3 - owner)) >/dev/null
await_state 1 00000000000000a1 failed
submit 1 00000000000000a4 "ms=300 acc=1" "$(steps 2)" && echo
await_state 1 00000000000000a4 completed
seen '{over_room, twice, after_done}'

echo "# no job fails because the store refuses every write for a while"
submit 1 00000000000000a5 "ms=1500 acc=1" "$(steps 40)" && echo
await "runs" runs_now 32
control "store?reject=*"
sleep 3
control "store?reject="
await_state 1 00000000000000a5 completed
seen '{over_room, twice, after_done}'
