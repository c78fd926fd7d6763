# The active scheduler is killed; the standby takes over and the gang goes on
# with the same attempt.  Guards against restarts and lost gangs at a takeover.
. "$TG_TESTS/sched-lib.sh"
platform
plain_document
worker w1
worker w2
sched s1
await "s1 is ready" ready s1 2
sched s2
submit s1 g 2 8 '"run_ms":9000' >/dev/null
submit s1 waits 2 8 '"run_ms":1' >/dev/null
await "the gang runs" gang_is s1 g running
echo "standby answers: $(call s2 status courts g | cut -d' ' -f1)"
stop_hard s1
await "s2 is ready" ready s2 2
await "the gang was adopted" gang_is s2 g running
echo "attempt: $(job_field s2 g attempt), waiting: $(job_field s2 waits state)"
await "the gang is done" job_is s2 g done
await "the waiting job is done" job_is s2 waits done
history w1 g
echo "row: $(get "$platform_http" "/v1/table/row?key=sched/a" |
	jq -r '"\(.value.epoch) \(.value.holder)"')"
