#!/bin/sh
# Evacuations of zones.  Guards against starts there by an owner and by its
# successor, and by an owner that can't read the list any more.
. "$(dirname "$0")/../site-lib.sh"
evacuate_ms=3000
start_site --stores=2 --workers=4 --evacuate-ms=$evacuate_ms
for w in w1 w2; do
	control "worker?id=$w&mode=zone=x"
done
start_instance 1
start_instance 2
await "an owner" owner_of 1 2
first=$(owner_of 1 2)
other=$(echo 1 2 | tr -d "$first" | tr -d ' ')

# evacuated ZONE VALUE: requests it
evacuated() {
	control "row?table=op&key=evacuate/$1" "$2"
}

workers_evacuated() { # N COUNT
	[ "$(metric "flow-$1" 'tg_flow_pool_evacuated_workers{service="svc"}')" \
		= "$2" ]
}

# explain N JOB: what the flow daemon says of a job
explain() {
	curl -s "http://$(http_of "flow-$1")/explain?job=$2"
}

zones_now() {
	seen '[.runs[].worker] | sort | unique'
}

echo "# a zone is evacuated; the value of its row can't be read"
evacuated x 'no JSON'
await "the evacuation" workers_evacuated "$first" 2
submit "$first" 00000000000000b1 "ms=2500" "$(steps 12)" && echo
await "twelve runs" runs_now 12
zones_now
echo "# a task that fits only there waits, and one query says why"
submit "$first" 00000000000000b2 "ms=100" "$(steps 20 ',"gang":true')" && echo
await_state "$first" 00000000000000b1 completed
explain "$first" 00000000000000b2 | jq -c '{state, waits_for_evacuated_az}'
explain "$first" ffffffffffffffff | jq -c .error
explain "$other" 00000000000000b2 | jq -c '.error | sub("i[12]$"; "the owner")'

echo "# the owner is killed; the next one starts nothing there"
crash "flow-$first"
await "another owner" owner_of "$other"
submit "$other" 00000000000000b3 "ms=2500" "$(steps 12)" && echo
await "twelve runs" runs_now 12
zones_now
await_state "$other" 00000000000000b3 completed

echo "# the store refuses all: nothing is started on a list that is too old"
submit "$other" 00000000000000b4 "ms=6000" "$(steps 24)" && echo
await "sixteen runs" runs_now 16
control "store?mode=refuse"
await "the end of all runs" runs_now 0
sleep 1
seen '.runs | length'
control "store?mode=ok"
await_state "$other" 00000000000000b4 completed

echo "# the zone is in use again"
control "row?table=op&key=evacuate/x&remove=1"
await "the end of the evacuation" workers_evacuated "$other" 0
await_state "$other" 00000000000000b2 completed
seen '{evacuated}'
judge
