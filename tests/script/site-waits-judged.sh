#!/bin/sh
# The stand-in counts jobs that wait beside free workers.  Guards against a check
# that finds nothing: here no daemon runs, so that accepted jobs start nowhere.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=4

# accept JOB TASKS ACCELERATORS GANG: what a queue daemon stores
accept() {
	control "row?table=jobs&key=$1" "{\"id\":\"$1\",\"spec\":{\"steps\":[
		{\"tasks\":$2,\"cpu\":1000,\"accelerators\":$3,\"gang\":$4}]}}"
}

waited() {
	echo "$(seen .waited_idle) $(sed -n 's/.*waited_idle job=\([^ ]*\).*/\1/p' \
		"$tmp/site.err" | sort | paste -sd' ')"
}

echo "# near a fault nothing is counted"
accept 00000000000000a1 9 1 0
accept 00000000000000a2 2 8 1
echo "# a gang that fits once, and a task that fits nowhere"
accept 00000000000000b1 3 8 1
accept 00000000000000b2 1 9 0
echo "# a job that ends, and one that is cancelled"
accept 00000000000000c1 1 1 0
accept 00000000000000c2 1 1 0
control 'fault?begin=process'
sleep 3.5
control 'row?table=progress&key=00000000000000c1' '{"state":2}'
control 'row?table=jobs&key=00000000000000c2~cancel' '{}'
control 'fault?end=process'
sleep 6.5
waited
echo "# 3 s after 4 s without a fault"
sleep 1
waited
