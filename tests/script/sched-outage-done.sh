# Gangs end while the table is down, under the active scheduler and after its
# death.  Guards against a second run of a job that has completed, and against
# a result that is lost with the scheduler that saw it.
. "$TG_TESTS/sched-lib.sh"
platform
plain_document
worker w1
worker w2
sched s1
await "s1 is ready" ready s1 2
sched s2

second_ended() {
	[ "$({
		get "$w1_http" /v1/state
		get "$w2_http" /v1/state
	} | jq '.leases[]|select(.job=="second" and .state=="ended")|.index' |
		wc -l)" = 2 ]
}

await "s1 may renew in an outage" may_renew s1
await "s2 may renew in an outage" may_renew s2
submit s1 first 2 4 '"run_ms":2000' >/dev/null
submit s1 second 2 4 '"run_ms":5000' >/dev/null
await "the first runs" gang_is s1 first running
await "the second runs" gang_is s1 second running
await "s2 sees s1" knows s2 1
faults '{"outage":"refuse"}'
await "s1 sees the outage" grep -q EV3004 "$W/s1.err"
await "the first has ended" gang_is s1 first recording
echo "first: $(job_field s1 first state)"
stop_hard s1
await "the second has ended" second_ended
faults '{}'
await "s2 is ready" ready s2 2
await "the first is done" job_is s2 first done
await "the second is done" job_is s2 second done
echo "attempts: $(job_field s2 first attempt) $(job_field s2 second attempt)"
for j in first second; do
	echo "$j: $({
		history w1 $j
		history w2 $j
	} | grep -c running) tasks ran"
done
