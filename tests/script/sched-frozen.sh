# A scheduler is frozen between the steps of a gang's start while another one
# takes over, then continues.  Guards against a late scheduler that stops or
# starts parts of the gang.  Without the epoch, and with attempt numbers that are
# used again, it does.
. "$TG_TESTS/sched-lib.sh"

# Whether a running member was stopped.  The reservations of s1 that were not
# committed are stopped by s2 and do not count.
stopped() {
	for w in w1 w2; do
		history $w g | awk '$3 == "running" { on = 1 }
			on && $3 == "ended" { bad = 1 } END { exit !bad }' && return 0
	done
	return 1
}

not_active() {
	call "$1" list | grep -q '^not-active'
}

round() { # POINT [FLAGS FLAG-OF-S2]
	platform
	plain_document
	worker w1
	worker w2
	# shellcheck disable=SC2086
	sched s1 --pause-at "$1" ${2:-}
	await "s1 is ready" ready s1 2
	# shellcheck disable=SC2086
	sched s2 ${3:-}
	submit s1 g 2 8 >/dev/null
	await "s1 is frozen" frozen s1
	await "s2 is ready" ready s2 2
	await "s2 runs the gang" gang_is s2 g running
	before=$(job_field s2 g attempt)
	continue_it s1
	if [ -n "${2:-}" ]; then
		await "s1 does harm" stopped
	else
		await "s1 steps down" grep -q EV3002 "$W/s1.err"
		# Whatever s1 still had to send has been sent by then.
		await "s1 is a standby" not_active s1
		await "the gang runs" gang_is s2 g running
	fi
	echo "$1 ${2:-}: attempt $before, ended by the late scheduler:" \
		"$(stopped && echo yes || echo no)"
	# Without protection the late scheduler may also do this, or not.
	[ -n "${2:-}" ] ||
		echo "at one time $(overlaps w1 w2), in part $(parts 2 w1 w2)"
	for n in s1 s2 w1 w2 platform; do
		stop_hard $n
	done
}

round reserve "--unsafe-ignore-epoch --unsafe-reuse-attempts" \
	--unsafe-reuse-attempts
round reserve
round commit
round start
