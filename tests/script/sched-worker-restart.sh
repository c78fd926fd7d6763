# A worker restarts under a gang and comes back with a new boot.  Its leases are
# known to be gone, so the next attempt need not wait for them to expire.
# Guards against commands that reach the wrong start of a worker, and against a
# wait of a whole lease after each restart.
. "$TG_TESTS/sched-lib.sh"
# Nothing expires within the limits of this test.
export TG_LEASE_MS=600000 TG_WORKER_LOST_MS=600000
platform
plain_document
worker w1
worker w2
sched s1
await "the scheduler is ready" ready s1 2
submit s1 g 2 8 >/dev/null
await "the gang runs" gang_is s1 g running
stop_hard w2
worker w2
again() {
	[ "$(job_field s1 g attempt)" = 2 ] && gang_is s1 g running
}
await "attempt 2 runs" again
echo "reason: $(job_field s1 g reason)"
echo "tasks running: $(running_on w1 g) $(running_on w2 g)"
echo "at one time: $(overlaps w1 w2)"
