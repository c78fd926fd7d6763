# A scheduler is frozen after the commit of a gang and before its start, and a
# worker of the gang dies; another scheduler takes over.  Guards against a gang
# that is started in part, and against a late scheduler that disturbs the next
# attempt.
. "$TG_TESTS/sched-lib.sh"

not_active() {
	call "$1" list | grep -q '^not-active'
}
# disturbed: a member that ran was stopped by the late scheduler
disturbed() {
	for w in w1 w3; do
		history $w g | awk '$3 == "running" { on = 1 }
			on && $3 == "ended" { bad = 1 } END { exit !bad }' && return 0
	done
	return 1
}

round() { # TEXT FLAG...
	text=$1
	shift
	platform
	plain_document
	worker w1
	worker w2
	# The frozen s1 doesn't answer s2, which would wait for it for 6 h.
	set -- --outage-renewal-max-ms 1000 "$@"
	sched s1 --pause-at commit "$@"
	await "s1 is ready" ready s1 2
	sched s2 --outage-renewal-max-ms 1000
	submit s1 g 2 8 >/dev/null
	await "s1 is frozen" frozen s1
	echo "$text: committed attempt $(get "$platform_http" \
		"/v1/table/row?key=jobs/a/g" | jq .value.attempt)"
	stop_hard w2
	worker w3
	await "s2 is active" active s2
	await "s2 runs the gang" gang_is s2 g running
	before=$(job_field s2 g attempt)
	continue_it s1
	if [ $# -gt 2 ]; then
		# What else the late scheduler does depends on the order of messages.
		await "s1 does harm" disturbed
		echo "$text: attempt $before, ended by the late scheduler"
	else
		await "s1 steps down" grep -q EV3002 "$W/s1.err"
		await "s1 is a standby" not_active s1
		await "the gang runs" gang_is s2 g running
		echo "$text: attempt $before," \
			"disturbed $(disturbed && echo yes || echo no)," \
			"at one time $(overlaps w1 w3), in part $(parts 2 w1 w3)"
	fi
	for n in s1 s2 w1 w3 platform; do
		stop_hard $n
	done
}

round "protection off" --unsafe-ignore-epoch
round "protection on"
