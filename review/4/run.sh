#!/bin/sh
# While the store is down, the owner starts a work item, which it can't record,
# and the entries of three workers expire.  Then the owner is killed and the
# store returns; the entries are back 1.9 s later.  The next owner must not
# start the work item again, which a worker without an entry is running.
. "$(dirname "$0")/../lib.sh"
first=00000000000000a1
job=00000000000000a2
workers=6

# hide KEYS: what the store leaves out
hide() {
	for n in 1 2; do
		curl -sf -o /dev/null -X POST \
			"http://$(http_of "limit-$n")/hide?keys=$1" ||
			not_run "the stand-in does not answer"
	done
}

store() { # MODE
	note "store: $1"
	control "store?mode=$1"
}

start_platform --stores=2 --workers=$workers --stop-ms=400
entries=$(stored servers "" |
	jq -c '[.rows[] | {(.key): (.value | @base64d | fromjson)}] | add')
for n in 1 2; do
	start_program "limit-$n" build/bin limitd --target="$(store_door $n)"
	start_machine $n "$(http_of "limit-$n")"
done
await "an owner" 20 has_owner 1 2
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
sleep 4

if [ "$TROUBLE" = 0 ]; then
	await "run of the job" 20 has_run $job
else
	# The job begins while the store is down, which is for 4.4 s.
	store refuse
	up_ms=$(($(now_ms) + 4400))
	await "run of the job" 20 has_run $job
	worker=$(runs_of $job | head -n 1 | cut -d' ' -f1)
	expired=$(echo w1 w2 w3 w4 w5 w6 | xargs -n 1 | grep -vx "$worker" |
		head -n 2 | paste -sd, -),$worker
	note "the entries of $expired expire"
	hide "$expired"
	while [ "$(now_ms)" -lt $((up_ms - 100)) ]; do
		sleep 0.05
	done
	has_owner 1 2 || not_run "no owner"
	note "SIGKILL to the flow daemon of machine $owner, the owner"
	crash "flow-$owner"
	store ok
	sleep 1.9
	note "the entries are back"
	hide ""
	for w in $(echo "$expired" | tr , ' '); do
		control "row?table=servers&key=$w" \
			"$(echo "$entries" | jq -c --arg w "$w" '.[$w]')"
	done
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
