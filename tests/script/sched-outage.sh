# The table is down and then the active scheduler dies.  A standby renews whole
# gangs and grants nothing; submissions are refused as not run.  Guards against
# gangs that end because nobody may be elected.
. "$TG_TESTS/sched-lib.sh"
# A peer counts as live for 3 s after its last answer.
export TG_LEASE_MS=8000

round() { # TEXT ARGS...
	text=$1
	shift
	platform
	plain_document
	worker w1
	worker w2
	sched s1 "$@"
	await "s1 is ready" ready s1 2
	sched s2 "$@"
	sched s3 "$@"
	submit s1 g 2 8 >/dev/null
	submit s1 waits 1 8 >/dev/null
	await "the gang runs" gang_is s1 g running
	# The standbys must know each other before the list is gone.
	await "s2 sees s1 and s3" knows s2 2
	await "s3 sees s1 and s2" knows s3 2
	for n in s1 s2 s3; do
		await "$n may renew in an outage" may_renew $n
	done
	faults '{"outage":"refuse"}'
	await "s1 sees the outage" grep -q EV3004 "$W/s1.err"
	echo "$text: submission in the outage: $(submit s1 late 1 1 | cut -d' ' -f1)"
	# More than a lease passes under the active scheduler.
	sleep 10
	echo "$text: active alone: $(running_on w1 g) $(running_on w2 g)"
	stop_hard s1
	# Two leases pass without it.
	sleep 17
	echo "$text: without it: $(running_on w1 g) $(running_on w2 g)"
	echo "$text: renewers: $(grep -l EV3030 "$W"/s2.err "$W"/s3.err 2>/dev/null | wc -l)"
	faults '{}'
	await "a standby takes over" one_active
	# Without renewal the waiting job may have the place by now, or the gang
	# may have begun its next attempt.
	if [ "$#" -eq 0 ]; then
		await "the gang runs" gang_is "$now" g running
		echo "$text: attempt $(job_field "$now" g attempt)"
	fi
	echo "$text: at one time $(overlaps w1 w2)"
	for n in s2 s3 w1 w2 platform; do
		stop_hard $n
	done
}

one_active() {
	for now in s2 s3; do
		ready "$now" 2 && return 0
	done
	return 1
}

round "no outage renewal" --unsafe-no-outage-renewal
round "outage renewal"
