#!/bin/sh
# While the store is down, more runs of a worker end than one of its lists names.
# Guards against tasks that are started again although they are done, since their
# runs are neither listed as running nor as ended (review/2).
. "$(dirname "$0")/../site-lib.sh"
start_site --stores=1 --workers=1 --accelerators=1000
start_instance 1
await "an owner" owner_of 1

echo "# 900 runs end while the store is down"
submit 1 00000000000000a1 "ms=2500 acc=1" '[{"count":900,"cpu":100,
	"mem-mb":10,"est-ms":2500}]' && echo
await "all runs" runs_now 900
control "store?mode=refuse"
await "ends of all" runs_now 0
# Longer than a stop takes, and a few lists.
sleep 2
control "store?mode=ok"
await_state 1 00000000000000a1 completed
seen '{starts}'
judge
