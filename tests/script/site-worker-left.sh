#!/bin/sh
# A draining worker leaves.  Its tasks waited for its leases to expire, 6 to 10 s
# (incident inc-6c43); it takes no new ones before.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=2
start_instance 1 --lease-ms=10000
await "an owner" owner_of 1
submit 1 00000000000000a1 "ms=2500 acc=8" \
	'[{"count":2,"cpu":1000,"gpu":8,"est-ms":300}]' && echo
await "two runs" runs_now 2
control 'worker?id=w1&mode=drain'
sleep 1
began=$(date +%s)
control 'worker?id=w1&mode=leave'
await_state 1 00000000000000a1 completed
# 2.5 s of work after at most 1.5 s; a lease has 10 s.
[ $(($(date +%s) - began)) -le 6 ] && echo "in time"
seen .starts
judge
