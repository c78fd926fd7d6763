#!/bin/sh
# The second of three owners learns of a run from its worker's list only, since
# the first one could not record it.  Then the worker is cut off, and the second
# owner is killed.  The third one must not start the work item again while the
# worker that is cut off may run it.
. "$(dirname "$0")/../lib.sh"
first=00000000000000a1
job=00000000000000a2
workers=6 # one of them is a share of 0.167

# cut_off WORKER: silently; it runs on
cut_off() {
	note "worker $1 is cut off from all machines of the system"
	curl -sf -o /dev/null -X POST \
		"http://$(http_of "proxyd-$1")/proxy?mode=silent" ||
		not_run "the proxy does not answer"
}

store() { # MODE
	note "store: $1"
	control "store?mode=$1"
}

kill_owner() { # N...
	has_owner "$@" || not_run "no owner"
	note "SIGKILL to the flow daemon of machine $owner, the owner"
	crash "flow-$owner"
}

start_platform --stores=3 --workers=$workers --stop-ms=400
for n in 1 2 3 4 5 6; do
	put_before w$n proxyd
done
for n in 1 2 3; do
	start_machine $n "$(store_door $n)"
done
await "an owner" 20 has_owner 1 2 3
watch_runs

whole_worker='"cpu":52000,"mem-mb":1000,"gpu":8'
# All workers are busy for 8 s; the second job has to wait for one of them.
request_job 1 $first "ms=8000 acc=8" \
	"[{\"count\":$workers,$whole_worker,\"est-ms\":8000}]" ||
	not_run "the first job was not accepted"
await "six runs" 10 runs_now $workers
request_job 1 $job "ms=40000 acc=8" \
	"[{\"count\":1,$whole_worker,\"est-ms\":40000}]" ||
	not_run "the second job was not accepted"
sleep 5

if [ "$TROUBLE" = 0 ]; then
	await "run of the job" 20 has_run $job
	sleep 12
else
	# The store is down for less than 4.5 s; the job begins meanwhile.
	store refuse
	await "run of the job" 20 has_run $job
	sleep 0.3
	kill_owner 1 2 3
	store ok
	rest=$(echo 1 2 3 | sed "s/$owner//")
	# shellcheck disable=SC2086
	await "second owner" 20 has_owner $rest
	sleep 3
	worker=$(runs_of $job | head -n 1 | cut -d' ' -f1)
	cut_off "$worker"
	await "sign that the owner has noticed" 10 \
		grep -q "EV5532.*worker=$worker" "$tmp/flow-$owner.out"
	# Time to write that to the store.
	sleep 0.8
	# shellcheck disable=SC2086
	kill_owner $rest
fi

until_ms=$(($(now_ms) + 8000))
while [ "$(now_ms)" -lt "$until_ms" ]; do
	[ "$(seen .twice)" = 0 ] || break
	sleep 0.1
done
note "runs of job $job: $(runs_of $job | tr '\n' ';')"
note "the platform has seen: $(judge)"
[ "$(seen .twice)" = 0 ] && [ "$(seen .after_done)" = 0 ] ||
	verdict 1 "TWICE: two runs of one work item at the same time"
verdict 0 "held: no work item ran twice"
