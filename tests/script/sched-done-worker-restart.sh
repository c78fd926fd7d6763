# A worker restarts after its task of a gang is done, while the other task still
# runs.  Guards against taking the task for lost, since the worker has no record
# of it any more: the whole gang was started again.
. "$TG_TESTS/sched-lib.sh"
# Nothing expires within the limits of this test.
export TG_LEASE_MS=600000 TG_WORKER_LOST_MS=600000
done_on() { # WORKER: the task has ended as done
	[ "$(history "$1" g | tail -n 1 | cut -d' ' -f3-)" = "ended done" ]
}
asked() { # WORKER: the scheduler has installed its epoch there
	[ "$(eval "get \$${1}_http /standin/stats" | jq .epoch)" -gt 0 ]
}
platform
plain_document
worker w1
worker w2
sched s1 --pause-at reserve
await "the scheduler is ready" ready s1 2
submit s1 g 2 8 '"run_ms":5000' >/dev/null
# Frozen with all reserved and nothing started.
await "the scheduler is frozen" frozen s1
kill -STOP "$w2_pid"
continue_it s1
await "the task on w1 is done" done_on w1
kill -CONT "$w2_pid"
await "the gang counts as running" gang_is s1 g running
# The scheduler polls every 300 ms.
sleep 1.5
echo "running on w2: $(running_on w2 g)"
stop_hard w1
worker w1
await "w1 has answered again" asked w1
await "the gang is done" job_is s1 g done
echo "attempts: $(job_field s1 g attempt)"
history w2 g
