# A reservation of one member gets no answer.  Guards against members that run
# although the gang can't; starting each member as soon as it is reserved
# shows the failure.
. "$TG_TESTS/sched-lib.sh"

round() { # TEXT ARGS...
	text=$1
	shift
	platform
	plain_document
	worker w1
	worker w2
	sched s1 "$@"
	await "the scheduler is ready" ready s1 2
	post "$w2_http" /standin/faults '{"cut":true}' >/dev/null
	submit s1 g 2 8 >/dev/null
	await "the gang was given up" grep -q EV3021 "$W/s1.err"
	post "$w2_http" /standin/faults '{}' >/dev/null
	# The next attempt may have begun by now, in part as well.
	if [ "$(parts 2 w1)" -gt 0 ]; then
		echo "$text: in part"
	else
		echo "$text: never in part"
	fi
	for n in s1 w1 w2 platform; do
		stop_hard $n
	done
}

round "start at once" --unsafe-start-before-reserved
round "start when all are reserved"
