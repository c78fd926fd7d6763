#!/bin/sh
# A job whose only work item lasts.  The worker that runs it crashes and starts
# again; so does, some seconds later, the next one, and the one after that.  The
# work item must be restarted however it ends, and no run has ended as failed,
# so the job must not be shown as failed.
. "$(dirname "$0")/../lib.sh"
job=00000000000000a1

# Six workers, so that one of them is a share of 0.167.
start_platform --stores=2 --workers=6 --stop-ms=400
start_machine 1 "$(store_door 1)"
start_machine 2 "$(store_door 2)"
await "an owner" 20 has_owner 1 2
watch_runs

request_job 1 $job "ms=600000 acc=8" '[{"count":1,"cpu":52000,"mem-mb":1000,
	"gpu":8,"est-ms":1000,"continuous":true}]' ||
	not_run "the job was not accepted"

# crash_after SECONDS: the worker that runs the job is cut off and crashes
# behind the cut, after the job has run there for so long
crash_after() {
	await "run of the job" 20 has_run $job
	sleep "$1"
	worker=$(runs_of $job | head -n 1 | cut -d' ' -f1)
	[ -n "$worker" ] || return
	fault_at "$worker" silent
	sleep 0.5
	fault_at "$worker" restart
	fault_at "$worker" ok
}

for n in 1 2 3; do
	if [ "$TROUBLE" = 0 ]; then
		sleep 6
	else
		crash_after 5
	fi
	ask_state 1 $job
done

# Time to restart the work item.
until_ms=$(($(now_ms) + 15000))
while [ "$(now_ms)" -lt "$until_ms" ]; do
	ask_state 2 $job
	[ "$shown" = failed ] &&
		verdict 1 "LOST: shown as failed; no run has ended as failed"
	sleep 1
done
has_run $job || verdict 1 "LOST: the work item was not restarted"
verdict 0 "held: the work item runs, and the job is shown as $shown"
