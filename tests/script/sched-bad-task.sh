# A job has a task that workers refuse as invalid.  Guards against a batch that is
# refused again and again with the renewals in it, so that another workspace's
# gangs on the same workers expire.
. "$TG_TESTS/sched-lib.sh"
platform
plain_document
worker w1
worker w2
worker w3
sched s1
await "the scheduler is ready" ready s1 3

for i in 1 2 3; do
	submit s1 "good-$i" 1 2 >/dev/null
done
for i in 1 2 3; do
	await "good-$i runs" gang_is s1 "good-$i" running
done
submit s1 bad 1 1 '"run_ms":"long"' | cut -d' ' -f1
await "the bad job is parked" job_is s1 bad parked
echo "bad: $(call s1 explain courts bad | grep -o 'refused the task as invalid: /ops/[0-9]*/task/run_ms' |
	sed 's/[0-9][0-9]*/N/' | head -n 1)"
# Two leases later all would have expired without renewals.
sleep "$((2 * ${TG_LEASE_MS:-4000} / 1000))"
for i in 1 2 3; do
	echo "good-$i: $(job_field s1 "good-$i" gang), attempt $(job_field s1 "good-$i" attempt)"
done
for n in s1 w1 w2 w3 platform; do
	stop_hard $n
done
