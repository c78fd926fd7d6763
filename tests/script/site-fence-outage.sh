#!/bin/sh
# Guards against workers that get no starts, and owners that give up their term,
# if a token is raised while the store's answers are lost or it is down.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=8 --stores=3
start_instance 1
await "an owner" owner_of 1
whole='[{"count":8,"cpu":1000,"gpu":8,"est-ms":300}]'
lost() { grep -c EV5502 "$tmp/flow-1.out"; }
job=1
# outage MODE: workers restart in it, twice
outage() {
	submit 1 00000000000000a$job "ms=2000 acc=8" "$whole" && echo
	await "its runs" runs_now 8
	control "store?mode=$1"
	sleep 0.3
	control "worker?id=all&mode=restart"
	sleep 1.5
	control "worker?id=all&mode=restart"
	sleep 1
	control "store?mode=ok"
	await_state 1 00000000000000a$job completed
	job=$((job + 1))
	echo "terms lost: $(lost)"
	judge
}
outage lose
outage late
outage refuse
outage silent
