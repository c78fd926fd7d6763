# A guarantee lapses while its place is lent: a submission just before the
# instant reclaims it, one after the instant does not, also if the scheduler
# died shortly before.  Guards against a guarantee that ends before its instant
# or is honoured beyond it, and against a takeover that moves the instant.
. "$TG_TESTS/sched-lib.sh"

now_ms() {
	date +%s%3N
}

guarantee_document() { # GENERATION INSTANT
	body='{"version":1,"weights":{"completion":70,"fragmentation":30},"workspaces":[
{"name":"courts","guarantees":[{"az":"a","tasks":2,"accelerators_per_task":8,"within_rack":true,
"lapses":"'"$2"'"}]},{"name":"rota"}],"services":[],"drains":[]}'
	document "$1" "$body"
}

lists() { # SCHED TEXT
	call "$1" guarantees | grep -qF "$2"
}

# Reads the list until 500 ms after the instant, and counts the answers that
# contradict the times before and after the call.
watch_list() { # SCHED INSTANT_MS
	wrong=0 seen=0 lapsed=0
	while :; do
		before=$(now_ms)
		text=$(call "$1" guarantees)
		after=$(now_ms)
		case $text in
		*'"lapsed":true'*)
			lapsed=$((lapsed + 1))
			[ "$after" -lt "$2" ] && wrong=$((wrong + 1))
			;;
		*'"lapsed":false'*)
			seen=$((seen + 1))
			[ "$before" -ge "$2" ] && wrong=$((wrong + 1))
			;;
		*)
			wrong=$((wrong + 1))
			;;
		esac
		[ "$before" -gt $(($2 + 500)) ] && break
		sleep 0.02
	done
}

round() { # TEXT SECONDS-AHEAD [takeover]
	platform
	guarantee_document 1 2099-12-06T21:00:00Z
	worker w1
	worker w2
	sched s1
	await "s1 is ready" ready s1 2
	s=s1
	if [ -n "${3:-}" ]; then
		sched s2
		await "s2 sees s1" knows s2 1
	fi
	submit s1 lent 2 8 '"run_ms":9000' lent >/dev/null
	await "the lent gang runs" gang_is s1 lent running
	at=$(($(date +%s) + $2))
	instant=$(date -u -d "@$at" +%Y-%m-%dT%H:%M:%SZ)
	guarantee_document 2 "$instant"
	# As a console does.  A scheduler by itself reads the row every 10 s.
	for x in s1 ${3:+s2}; do
		call "$x" push 2 "$body" >/dev/null
	done
	await "the instant is in force" lists s1 "$instant"
	if [ -n "${3:-}" ]; then
		stop_hard s1
		s=s2
		await "s2 is ready" ready s2 2
		await "the lent gang was adopted" gang_is s2 lent running
	fi
	# The rest of the time but 2 s, which the submission and the reclaim
	# have.
	left=$((at * 1000 - $(now_ms) - 2000))
	[ "$left" -gt 0 ] &&
		sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
	submit $s own 2 8 '"run_ms":4000' guaranteed >/dev/null
	[ "$(now_ms)" -lt $((at * 1000)) ] || echo "$1: submitted too late"
	watch_list $s $((at * 1000))
	[ $seen -gt 0 ] && [ $lapsed -gt 0 ] && echo "$1: listed before and after," \
		"wrong $wrong"
	await "the guaranteed gang runs" gang_is $s own running
	echo "$1: lent $(job_field $s lent state), own $(job_field $s own state)"
	await "the guaranteed gang is done" job_is $s own done
	await "the lent gang runs again" gang_is $s lent running
	submit $s after 2 8 '"run_ms":100' guaranteed | cut -d' ' -f1
	await "the lent gang is done" job_is $s lent done
	await "the late one is done" job_is $s after done
	echo "$1: lent ran in attempts" \
		"$(history w1 lent | awk '$3 == "running" { print $1 }' | xargs)," \
		"at one time $(overlaps w1 w2), in part $(parts 2 w1 w2)"
	echo "$1: late one began" "$(lives w1 | awk '
		$1 == "lent" { if ($5 > end) end = $5 }
		$1 == "after" { at = $4 }
		END { print (at >= end ? "after" : "before") }') the end of the lent one"
	for n in $s w1 w2 platform; do
		stop_hard $n
	done
}

round "same scheduler" 4
round "after a takeover" 9 takeover
