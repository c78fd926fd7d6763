# The active scheduler is killed; the standby takes over and the gang goes on
# with the same attempt.  Guards against restarts and lost gangs at a takeover.
. "$TG_TESTS/sched-lib.sh"
start_pair() { # ACTIVE STANDBY RUN-MS [FLAG...]: with a gang that runs
	_a=$1 _b=$2 _ms=$3
	shift 3
	platform
	plain_document
	worker w1
	worker w2
	sched "$_a" "$@"
	await "$_a is ready" ready "$_a" 2
	sched "$_b" "$@"
	submit "$_a" g 2 8 "\"run_ms\":$_ms" >/dev/null
	submit "$_a" waits 2 8 '"run_ms":1' >/dev/null
	await "the gang runs" gang_is "$_a" g running
}
has_run() { # NAME: attempt 2 of the gang
	gang_is "$1" g running && [ "$(job_field "$1" g attempt)" = 2 ]
}

echo "# protection off: the gang is stopped and started again"
start_pair u1 u2 600000 --unsafe-takeover-restarts
stop_hard u1
await "u2 is ready" ready u2 2
await "attempt 2" has_run u2
history w1 g
for x in u2 w1 w2 platform; do
	stop_hard $x
done

echo "# protection on"
start_pair s1 s2 9000
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
