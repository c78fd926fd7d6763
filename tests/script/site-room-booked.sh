#!/bin/sh
# A gang that needs all workers waits for tasks that run longer than declared.
# Guards against room that is booked for it and stands idle for as long as it
# waits, while single tasks wait beside it.
. "$(dirname "$0")/../site-lib.sh"
# No task is guaranteed, so that none may preempt others.
config=$(echo "$config" | jq -c '.tenants[0].guaranteed.gpu = 0 | .routes +=
	[.routes[0] | .name = "low" | .["path-prefix"] = "/l/" | .priority = 2]')
start_site --workers=6 --memory-mb=524288 --rack-workers=3
start_instance 1
await "an owner" owner_of 1

# task COUNT CPU MEMORY ACCELERATORS EST_MS [FIELDS]: JSON of a job's only step
task() {
	echo "[{\"count\":$1,\"cpu\":$2,\"mem-mb\":$3,\"gpu\":$4,\"est-ms\":$5${6:-}}]"
}

waited() {
	seen '{waited_idle}'
}

echo "# tasks on three workers take 14 s instead of 1 s"
for i in 1 2 3; do
	submit 1 00000000000000a$i "ms=14000 acc=5" \
		"$(task 1 52000 210000 5 1000)" && echo
done
await "three runs" runs_now 3
echo "# a gang that needs all six workers"
submit 1 00000000000000b1 "ms=500 acc=8" \
	"$(task 6 52000 210000 8 20000 ',"gang":true')" && echo
sleep 0.5
echo "# single tasks, for which there is room on three workers at least"
for i in 1 2 3 4; do
	submit 1 00000000000000c$i "ms=4000 acc=1" \
		"$(task 1 11000 33000 1 8000)" l && echo
done
await_state 1 00000000000000b1 completed
await "the end of all runs" runs_now 0
waited
judge
