#!/bin/sh
# Guards against tasks that wait for the leases of workers that restarted at an
# address that another worker had, or that run twice then.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=4
start_instance 1 --lease-ms=10000
await "an owner" owner_of 1

submit 1 00000000000000a1 "ms=3000 acc=8" \
	'[{"count":2,"cpu":1000,"gpu":8,"est-ms":3000}]' && echo
await "two runs" runs_now 2
a=$(seen '.runs[0].worker' | tr -d '"')
b=$(seen '.runs[1].worker' | tr -d '"')
began=$(date +%s)
control "worker?id=$a&mode=swap%3D${b#w}"
await_state 1 00000000000000a1 completed
[ $(($(date +%s) - began)) -le 8 ] && echo "in time"
grep -q 'EV5535.*source=421' "$tmp/flow-1.out" && echo "by the other worker's answer"
judge
