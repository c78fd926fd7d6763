#!/bin/sh
# A soak of the queue and flow daemons: run.sh --seed N [--steps N]
#	[--keep DIRECTORY] [--claim JOB] [--outages] [--large] [--workers]
#	[--heartbeat-ms N] [--instances N] [--gangs] [--recuts] [--evacuations]
#	[--names]
# Three instances (or N) run on a stand-in of the platform, with three proxies
# before the store.  Steps drawn from the seed submit and cancel jobs and inject
# faults from outside: signals, disturbed connections, faults of store and
# workers.  They overlap.  Then all faults end, and what callers and workers saw
# is checked: an accepted job ends completed, one that was refused does not
# exist, no task runs twice or beyond room, no job has waited for 3 s beside free
# workers while no fault was near, no owner took runs for ended that went on, and
# no daemon ended by itself.
# --outages adds outages of the store in which entries of workers
# expire, beside the other faults.  --large submits jobs of many small tasks, or
# of as many occurrences that are all due, on a store with rows of 8 KiB, which
# the progress of a job doesn't fit.  --workers
# adds series of faults of workers: they drain, are cut off, with entries that
# expire about the time at which that is noticed, leave calls unanswered and carry
# them out late, exit, and restart at the same and at other addresses, their clocks
# are slow, the time of day steps between two processes, and entries of earlier
# ones are read.  --gangs plays N seconds instead of steps, with the figures of a
# site of the users: a backlog of gangs, some of them wider than the fleet, with
# single tasks and urgent gangs.  Tasks take longer than declared, workers leave in
# series, some for good, and one series of faults of the owner overlaps with that.
# --recuts plays N seconds as well: workers fall silent, restart, some with their
# connections open, and are cut off again while their new processes may hold the
# longest leases; the owner has a fault near most of these cuts.
# --evacuations evacuates two of three zones in turn and together, beside the other
# faults, on workers of uneven speed; a start in one of them that comes too late is
# a broken promise.
# --names gives queues, workspaces, services, racks, labels, workers and instances
# names of over 63 bytes, alike in their first ones.
# --claim says that JOB was accepted, which shows that a lost job
# is found.
. "$(dirname "$0")/../site-lib.sh"
seed=1 steps=40 keep= claim= outages= large= series= gangs= instances=3 lease_ms=4000
evacuations= names= worker=w
while [ $# -gt 0 ]; do
	case $1 in
	--seed) seed=$2 ;;
	--steps) steps=$2 ;;
	--keep) keep=$2 ;;
	--claim) claim=$2 ;;
	--instances) instances=$2 ;;
	--heartbeat-ms) heartbeat_ms=$2 ;;
	--outages)
		outages=1
		shift
		continue
		;;
	--evacuations)
		evacuations=1
		evacuate_ms=3000
		shift
		continue
		;;
	--names)
		names=1
		shift
		continue
		;;
	--large)
		large=1
		row_bytes=8192
		shift
		continue
		;;
	--workers)
		series=1
		# As on the platform: a cut is noticed 0.7 to 2.7 s late, and
		# an entry expires 3 to 4.5 s after it, within a lease.
		heartbeat_ms=1500 lease_ms=9000
		shift
		continue
		;;
	--gangs)
		gangs=1
		heartbeat_ms=1500 lease_ms=9000 stop_ms=400
		shift
		continue
		;;
	--recuts)
		gangs=recuts
		heartbeat_ms=1500
		shift
		continue
		;;
	*)
		echo "run.sh: unknown flag $1" >&2
		exit 2
		;;
	esac
	shift 2
done
workers=6
if [ -n "$gangs" ]; then
	workers=24
	[ "$gangs" != recuts ] || workers=12
	config=$(echo "$config" | jq -c '.tenants[0].guaranteed.gpu = 30 |
		.routes += [.routes[0] | .name = "low" | .priority = 2 |
			.["path-prefix"] = "/l/" | .["target-runtime-ms"] = 3000] |
		.routes[0]["target-runtime-ms"] = 1500')
fi
if [ -n "$names" ]; then
	# The first 63 bytes end within a character.
	long=$(printf 'é%.0s' $(seq 64))
	worker=w$(printf '%0150d-' 0)
	node_prefix=i$(printf '%0150d-' 0)
	config=$(echo "$config" | jq -c --arg long "$long" \
		'(.routes[], .services[], .tenants[]) |= (.name = $long + .name) |
		.routes[].service |= $long + .')
fi
# A caller gives up after this many tries of 3 s.
tries_max=4

# Numbers of a step: WHAT INSTANCE WORKER TASKS ACCELERATORS RUN_MS PAUSE_MS
draw_steps() {
	awk -v seed="$seed" -v steps="$steps" -v workers="$workers" \
		-v instances="$instances" '
	function rnd(n) { return int(rand() * n) }
	BEGIN {
		srand(seed)
		n = split("submit submit submit submit submit submit cancel " \
			"kill-flow kill-queue term-flow term-queue pause " \
			"hup door door link link link worker worker keys", what, " ")
		for (i = 0; i < steps; i++)
			print what[1 + rnd(n)], 1 + rnd(instances), 1 + rnd(workers),
				1 + rnd(6), 1 + rnd(8), 200 + rnd(2500),
				rnd(600), rnd(1000)
	}'
}

# Series of faults of workers, one a line, WORKER the first of COUNT; OLD has a
# digit for each entry of an earlier process, its number of lives ago, CLOCK is
# the percentage by which clocks are fast, STEP_MS that by which the time of day
# differs from the next process on; calls are carried out late after LATE_MS:
# PAUSE_MS WORKER COUNT DRAIN WAIT_MS LOST LOST_MS CUT CUT_MS END AWAY_MS OLD
# CLOCK STEP_MS LATE_MS
draw_series() {
	awk -v seed="$seed" -v n="$((steps / 3))" -v workers="$workers" '
	function rnd(n) { return int(rand() * n) }
	function pick(words, n, word) {
		n = split(words, word, " ")
		return word[1 + rnd(n)]
	}
	BEGIN {
		# The same sequence as that of the steps would couple them.
		srand(seed + 1000000)
		for (i = 0; i < n; i++)
			print rnd(4000), 1 + rnd(workers), 1 + rnd(3),
				pick("none drain drain drain=100 drain=3000"),
				rnd(1500),
				pick("never never before before at after"),
				rnd(4500),
				pick("none silent silent refuse refuse deaf " \
					"unanswered mute one-way calls-late " \
					"holds-late stops-late"),
				500 + rnd(6500),
				pick("heal heal heal heal leave leave linger " \
					"restart move crash"),
				1000 + rnd(3000),
				pick("0 0 0 0 1 1 2 3 12 21 13"),
				rnd(3) - 2, pick("0 0 -3000 -600000 3000"),
				500 + rnd(4000)
	}'
}

# What happens with --recuts, one a line as with --gangs, and AT_MS worker MODE
# WORKER...
draw_recuts() {
	awk -v seed="$seed" -v end_ms=$((steps * 1000)) -v workers="$workers" \
		-v instances="$instances" '
	function rnd(n) { return int(rand() * n) }
	function pick(words, n, word) {
		n = split(words, word, " ")
		return word[1 + rnd(n)]
	}
	function some(first, count, i, list) {
		for (i = 0; i < count; i++)
			list = list " " (first + i) % workers + 1
		return list
	}
	BEGIN {
		srand(seed + 3000000)
		for (at = rnd(800); at < end_ms; at += 200 + rnd(900)) {
			est = 1000 + rnd(8000)
			print at, "single", 1 + rnd(instances), pick("n n u l"),
				1 + rnd(4), 5000, 20000, pick("1 2 4 8"), est,
				est, pick("gang x=0 x=0 x=0")
		}
		# Earlier, the first owner waits for the longest leases anyway.
		at = 11000
		for (k = 1; at < end_ms; k++) {
			list = some(rnd(workers), 1 + rnd(workers / 2))
			dark = 100 + rnd(1400)
			born = pick("reborn reborn restart")
			cut = at + dark + rnd(pick("200 800 2500"))
			print at, "worker", pick("silent silent deaf holds-later"), list
			print at + dark, "worker", born, list
			print at + dark + rnd(30), "worker",
				pick("ok ok ok mute-holds mute"), list
			print cut, "worker", pick("silent silent deaf refuse"), list
			print cut + 3000 + rnd(8000), "worker", "ok", list
			what = pick("none kill kill kill term freeze cut")
			owner = cut - 1200 + rnd(1800)
			if (what != "none") {
				print owner, what, k
				print owner + 100 + rnd(2500), "heal", k
			}
			at = cut + 3000 + rnd(6000)
		}
	}' | sort -n
}

# What happens with --gangs, one a line: AT_MS gang|single|urgent INSTANCE QUEUE
# TASKS CPU MEMORY_MB ACCELERATORS RUN_MS DECLARED_MS FIELDS; AT_MS leave|back
# WORKER; AT_MS kill|term|freeze|cut K, which happens to the owner, and then
# AT_MS heal K
draw_gangs() {
	awk -v seed="$seed" -v end_ms=$((steps * 1000)) -v workers="$workers" \
		-v instances="$instances" '
	function rnd(n) { return int(rand() * n) }
	function pick(words, n, word) {
		n = split(words, word, " ")
		return word[1 + rnd(n)]
	}
	function job(at, what, queue, tasks, cpu, memory, acc, est, late, fields) {
		print int(at), what, 1 + rnd(instances), queue, tasks, cpu, memory,
			acc, int(est * (1 + rand() * late)), int(est), fields
	}
	# A gang of whole workers, or of what fits beside others.
	function gang(at, tasks, acc) {
		job(at, "gang", "n", tasks, 52000, 210000, acc, 2000 + rnd(4000),
			2, pick("gang gang gang,same-rack"))
	}
	function leave(n, at, first, i, w) {
		first = rnd(workers)
		for (i = 0; i < n; i++) {
			w = 1 + (first + i * 5) % workers
			at += rnd(800)
			print at, "leave", w
			if (rand() < 0.3)
				print at + 6000 + rnd(9000), "back", w
		}
	}
	BEGIN {
		srand(seed + 2000000)
		bursts = end_ms < 20000 ? 1 : 2 + rnd(2)
		for (b = 0; b < bursts; b++) {
			start = b * end_ms / bursts + rnd(2000)
			for (i = 3 + rnd(4); i > 0; i--)
				gang(start + rnd(2500), 1 + rnd(6),
					pick("1 2 4 8 8 8 8"))
			# A few workers are kept for much longer than declared.
			job(start, "single", "n", 1 + rnd(5), 52000, 210000,
				pick("1 2 4"), 2000, 6, "")
			# Wider than what is left.
			gang(start + rnd(2500), int(workers / 2) + rnd(workers / 2), 8)
			for (i = 4 + rnd(6); i > 0; i--)
				job(start + rnd(4000), "single", "l", 1 + rnd(8),
					11000, 33000, 1, 2000 + rnd(4000), 1, "")
		}
		job(rnd(end_ms / 2), "never", "n", workers + 1 + rnd(9), 52000,
			210000, 8, 3000, 1, "gang")
		for (at = rnd(2000); at < end_ms; at += 400 + rnd(5000))
			job(at, "urgent", "u", 1 + rnd(5), 15000, 79000,
				pick("1 2 4 8 8"), 800 + rnd(2500), 0.5, "gang")
		for (at = end_ms / 2; at < end_ms; at += 1000 + rnd(3000))
			job(at, "single", "l", 1 + rnd(4), 11000, 33000, 1,
				2000 + rnd(4000), 1, "")
		leave(int(workers * (0.3 + 0.3 * rand())), 2000 + rnd(end_ms / 2))
		at = rnd(end_ms * 0.5)
		for (k = 1; seed % 4 && k <= 1 + rnd(4); k++) {
			print at, pick("kill kill term freeze cut"), k
			print at + 500 + rnd(3000), "heal", k
			at += rnd(1500)
		}
	}' | sort -n
}

say() {
	echo "$(date +%H:%M:%S.%3N) $*" >>"$tmp/steps.log"
}

# What one caller does, in the background: "JOB accepted|refused|unknown"
caller() { # JOB INSTANCE QUEUE BODY
	at=$2 unknown=0 i=0
	while [ $i -lt $tries_max ]; do
		code=$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: h' \
			-H 'X-Api-Key: k1' -H 'Tarragonfield-Deadline-Ms: 3000' \
			-d "$4" \
			"http://$net.$at:$(cat "$tmp/port.$at")/$3/$1")
		case $code in
		200)
			echo "$1 accepted" >>"$tmp/callers"
			return
			;;
		503 | 429)
			if [ $unknown = 0 ] && [ $i -ge $((tries_max - 1)) ]; then
				echo "$1 refused" >>"$tmp/callers"
				return
			fi
			;;
		*) unknown=1 ;;
		esac
		at=$((at % instances + 1)) i=$((i + 1))
		sleep 0.5
	done
	echo "$1 unknown" >>"$tmp/callers"
}

# A client that keeps its connection while the process serves it; in the
# background.  The answers to its many calls name states or refuse.
keep_calling() { # INSTANCE
	jobs=$(seq $((seed * 1000 + 1)) $((seed * 1000 + 60)) |
		xargs printf '%016x,')
	while [ -e "$tmp/calling" ]; do
		curl -s -m 3 --rate 20/s -o /dev/null -w '%{http_code}\n' \
			-H 'Host: h' -H 'X-Api-Key: k1' \
			"http://$net.$1:$(cat "$tmp/port.$1")/n/{${jobs%,}}" \
			>>"$tmp/answers"
	done
}

instance_flow() { # N
	# A start replaces the log of the process before.
	cat "$tmp/flow-$1.out" >>"$tmp/flow-$1.log"
	start "flow-$1" tgflowd --settings="$tmp/i$1.conf" \
		--metrics-addr="$net.$1:0" --lease-ms=$lease_ms \
		${evacuations:+--follow-speed}
	control "fault?end=flow-$1"
}

instance_queue() { # N
	start "queue-$1" tgqueued --settings="$tmp/i$1.conf"
	http_of "queue-$1" | sed 's/.*://' >"$tmp/port.$1"
	control "fault?end=queue-$1"
}

# Starts again whatever the steps have ended.
revive() {
	for n in $(seq "$instances"); do
		for role in flow queue; do
			kill -0 "$(pid_of "$role-$n")" 2>/dev/null ||
				"instance_$role" "$n"
		done
	done
}

signal() { # SIGNAL NAME
	is_own "$(pid_of "$2")" || return 0
	case $1 in
	KILL | TERM | STOP) control "fault?begin=$2" ;;
	CONT) control "fault?end=$2" ;;
	esac
	# One that was killed may have been reaped.
	kill "-$1" "$(pid_of "$2")" 2>/dev/null
}

# Reaps a process that has got SIGTERM or SIGKILL, and starts it again.
end_process() { # SIGNAL NAME
	signal "$1" "$2"
	# A paused process gets a signal once it goes on.
	signal CONT "$2"
	[ "$paused" = "$2" ] && paused=
	wait "$(pid_of "$2")" 2>/dev/null
	check_status $? "$2"
	forget "$(pid_of "$2")"
	revive
}

# check_status STATUS NAME: of a process that has got SIGTERM or SIGKILL
check_status() {
	case $1 in
	0 | 1 | 137 | 143) ;;
	*) echo "$2 ended by itself with $1" >>"$tmp/ended" ;;
	esac
}

# Of processes that were not told to end.
check_processes() {
	for n in $(seq "$instances"); do
		for role in flow queue; do
			case $(sed 's/.*) \(.\) .*/\1/' \
				"/proc/$(pid_of "$role-$n")/stat" 2>/dev/null) in
			Z | '') echo "$role-$n ended by itself" >>"$tmp/ended" ;;
			esac
		done
	done
}

# door_of INSTANCE: its address of the store, and the proxy before it
door_of() {
	echo $((($1 - 1) % 3 + 1))
}

link() { # INSTANCE MODE
	case $2 in
	ok) control "fault?end=link-$(door_of "$1")" ;;
	*) control "fault?begin=link-$(door_of "$1")" ;;
	esac
	curl -sf -o /dev/null -X POST \
		"http://$(http_of "proxy-$(door_of "$1")")/proxy?mode=$2"
}

# The store is down, and entries of three workers expire meanwhile.
outage() { # WORKER
	control "store?mode=refuse"
	for i in 0 1 2; do
		control "worker?id=$worker$((($1 + i - 1) % workers + 1))&mode=expire"
	done
	sleep 3.5
	control "store?mode=ok"
	sleep 1.9
	control "worker?id=all&mode=listed"
}

# One zone is evacuated for one to four seconds, or two are.
evacuate() { # WORKER
	zones=$(echo "x y" | cut -d' ' -f$(($1 % 3 + 1)))
	[ $(($1 % 3)) -lt 2 ] || zones="x y"
	for z in $zones; do
		control "row?table=op&key=evacuate/$z" '{}'
	done
	sleep $(($1 % 4 + 1))
	for z in $zones; do
		control "row?table=op&key=evacuate/$z&remove=1"
	done
}

pause() { # MS
	sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"
}

# of_each MODE WORKER...
of_each() {
	mode=$(echo "$1" | sed 's/=/%3D/')
	shift
	for w in "$@"; do
		control "worker?id=$worker$w&mode=$mode"
	done
}

# lose AT WHEN MS WORKER...: heartbeats no longer reach the store; how long before
# the cut decides when the entry expires
lose() {
	[ "$1" = "$2" ] || return 0
	shift 2
	ms=$1
	shift
	of_each lost "$@"
	pause "$ms"
}

# One series of faults of some workers, as draw_series() names it.
one_series() {
	drain=$4 wait_ms=$5 lost=$6 lost_ms=$7 cut=$8 cut_ms=$9
	some=$(seq "$2" $(($2 + $3 - 1)) | awk -v n="$workers" \
		'{ print ($1 - 1) % n + 1 }')
	shift 9
	end=$1 away_ms=$2 old=$3 clock=$4 step_ms=$5 late_ms=$6
	# shellcheck disable=SC2086
	{
		of_each "clock=$clock" $some
		of_each "step=$step_ms" $some
		of_each "late=$late_ms" $some
		[ "$drain" = none ] || of_each "$drain" $some
		pause "$wait_ms"
		lose "$lost" before "$lost_ms" $some
		lose "$lost" at 0 $some
		[ "$cut" = none ] || of_each "$cut" $some
		lose "$lost" after $((lost_ms / 3)) $some
		for n in $(echo "$old" | sed 's/./& /g'); do
			of_each "old=$n" $some
			sleep 0.3
		done
		pause "$cut_ms"
		case $end in
		leave | crash | linger)
			[ "$end" != linger ] || of_each ok $some
			of_each "$(echo "$end" |
				sed "s/linger/&=$((late_ms / 10))/")" $some
			pause "$away_ms"
			of_each ok $some
			of_each listed $some
			of_each back $some
			return
			;;
		restart | move)
			of_each "$end" $some
			;;
		esac
		of_each ok $some
		of_each listed $some
		# Half of those that drain leave; others stay until all faults
		# end, or another series restarts them.
		[ "$drain" != none ] && [ $((away_ms % 2)) = 0 ] || return 0
		pause $((away_ms * 2))
		of_each leave $some
		pause 500
		of_each back $some
	}
}

run_series() {
	while read -r pause_ms line; do
		say "series $line"
		# shellcheck disable=SC2086
		one_series - $line </dev/null &
		pause "$pause_ms"
	done
	wait
}

pick() { # NUMBER WORD...: the word that the number chooses
	n=$1
	shift
	eval "echo \${$((n % $# + 1))}"
}

paused=
step() { # WHAT INSTANCE WORKER TASKS ACCELERATORS RUN_MS PAUSE_MS EXTRA
	case $1 in
	submit)
		n_jobs=$((n_jobs + 1))
		job=$(printf '%016x' $((seed * 1000 + n_jobs)))
		if [ -n "$series" ]; then
			set -- "$1" "$2" "$3" "$4" "$5" $(($6 * 3)) "$7" "$8"
		fi
		if [ -n "$large" ]; then
			set -- "$1" "$2" "$3" $(($4 * $5 * 20)) 0 "$6" "$7" "$8"
		fi
		times=
		if [ -n "$large" ] && [ $(($8 % 3)) = 0 ]; then
			times="\"times\":$4,\"first-ms\":1,"
			set -- "$1" "$2" "$3" 1 0 "$6" "$7" "$8"
		fi
		caller "$job" "$2" "$(pick "$8" n u)" \
			"{\"spec\":\"ms=$6 acc=$5\",$times\"steps\":[{\"count\":$4,
			 \"cpu\":$((1 + $5 * 1000)),\"gpu\":$5,\"est-ms\":$6}]}" \
			</dev/null &
		;;
	cancel)
		job=$(printf '%016x' $((seed * 1000 + (n_jobs > 0 ? n_jobs : 1))))
		code=$(front "$2" "/n/$job" -X DELETE)
		say "cancel $job: $code"
		[ "$code" = 410 ] || echo "$job" >>"$tmp/cancelled"
		;;
	kill-flow) end_process KILL "flow-$2" ;;
	kill-queue) end_process KILL "queue-$2" ;;
	term-flow) end_process TERM "flow-$2" ;;
	term-queue) end_process TERM "queue-$2" ;;
	pause)
		[ -n "$paused" ] && signal CONT "$paused"
		paused=$(pick "$8" "flow-$2" "queue-$2")
		signal STOP "$paused"
		;;
	hup) signal HUP "$(pick "$8" "flow-$2" "queue-$2")" ;;
	door)
		control "store?door=$(($(door_of "$2") - 1))&mode=$(pick "$8" \
			refuse silent lose slow ok ok)"
		;;
	link) link "$2" "$(pick "$8" delay silent one-way reset ok ok)" ;;
	worker)
		control "worker?id=$worker$3&mode=$(pick "$8" silent unanswered \
			mute unhealthy restart ok ok)"
		;;
	keys)
		control config "$(echo "$config" |
			sed "s/\"version\":7/\"version\":$((8 + n_jobs))/
				s/\"k2\"/\"k$8\"/")"
		;;
	esac
	[ -n "$paused" ] && [ "$1" != pause ] && [ "$(($8 % 3))" = 0 ] &&
		signal CONT "$paused" && paused=
	return 0
}

find_owner() {
	for n in $(seq "$instances"); do
		curl -s -m 0.3 "http://$(http_of "flow-$n")/metrics" |
			grep -qx 'tg_flow_owner 1' && echo "$n" && return
	done
	return 1
}

# A worker announces that it drains, and exits 3 s later.
leave_for_good() { # WORKER
	control "worker?id=$worker$1&mode=drain%3D3000"
	pause 3050
	control "worker?id=$worker$1&mode=leave"
}

gang_job() { # WHAT INSTANCE QUEUE TASKS CPU MEMORY ACCELERATORS RUN_MS EST_MS FIELDS
	n_jobs=$((n_jobs + 1))
	job=$(printf '%016x' $((seed * 1000 + n_jobs)))
	fields=$(echo "${10:-}" | sed 's/x=0//; s/[a-z][a-z-]*/,"&":true/g; s/,,/,/g')
	[ "$1" != never ] || echo "$job" >>"$tmp/never"
	caller "$job" "$2" "$3" "{\"spec\":\"ms=$8 acc=$7\",\"steps\":[{
		\"count\":$4,\"cpu\":$5,\"mem-mb\":$6,\"gpu\":$7,
		\"est-ms\":$9$fields}]}" </dev/null &
}

# owner_fault WHAT K: a fault that lasts until heal_owner K
owner_fault() {
	owner=$(find_owner) || return 0
	say "$1 owner $owner"
	eval "fault_$2='$1 $owner'"
	case $1 in
	kill) signal KILL "flow-$owner" ;;
	term)
		signal TERM "flow-$owner"
		signal TERM "queue-$owner"
		;;
	freeze) signal STOP "flow-$owner" ;;
	cut) link "$owner" silent ;;
	esac
}

heal_owner() { # K
	eval "fault=\${fault_$1:-}"
	owner=${fault#* }
	case ${fault% *} in
	kill) end_process KILL "flow-$owner" ;;
	term)
		end_process TERM "flow-$owner"
		end_process TERM "queue-$owner"
		;;
	freeze) signal CONT "flow-$owner" ;;
	cut) link "$owner" ok ;;
	esac
}

play_gangs() {
	begun_ms=$(date +%s%3N)
	while read -r at_ms what line; do
		now_ms=$(($(date +%s%3N) - begun_ms))
		[ "$now_ms" -ge "$at_ms" ] || pause $((at_ms - now_ms))
		say "$what $line"
		# shellcheck disable=SC2086
		case $what in
		leave) leave_for_good $line </dev/null & ;;
		back) control "worker?id=$worker$line&mode=back" ;;
		worker) of_each $line ;;
		heal) heal_owner "$line" ;;
		kill | term | freeze | cut) owner_fault "$what" "$line" ;;
		*) gang_job "$what" $line ;;
		esac
	done
}

# Of gangs that never fit; callers are asked until one answers.
cancel_never() {
	while read -r job; do
		await "cancellation of $job" is_cancelled "$job"
	done <"$tmp/never"
}

is_cancelled() { # JOB
	case $(front 1 "/n/$1" -X DELETE) in
	200 | 202 | 204) echo "$1" >>"$tmp/cancelled" ;;
	410) ;;
	*) return 1 ;;
	esac
}

heal() {
	[ -n "$paused" ] && signal CONT "$paused"
	for n in 1 2 3; do
		link "$n" ok
	done
	control 'store?mode=ok'
	control 'worker?id=all&mode=ok'
	control 'worker?id=all&mode=listed'
	[ -z "$series$gangs" ] || control 'worker?id=all&mode=back'
	revive
}

is_settled() { # JOB
	case $(front 1 "/n/$1") in
	410) echo absent >"$tmp/settled" ;;
	200)
		jq -r .state "$tmp/body" >"$tmp/settled"
		grep -qE 'completed|failed|cancelled' "$tmp/settled"
		;;
	*) return 1 ;;
	esac
}

# Only what has been restarted has an older log.
flow_logs() {
	cat "$tmp"/flow-*.out "$tmp"/flow-*.log 2>/dev/null
}

# Restarts may end three processes under a task, after which its job fails
# (EV5538).
is_blamed() { # JOB
	{ [ -n "$series" ] || [ "$gangs" = recuts ]; } && flow_logs |
		grep -q "EV5538.*job=$1 .*crashes=3" &&
		echo "$1" >>"$tmp/blamed"
}

# Prints a line for each promise that was broken.
check_job() { # JOB OUTCOME
	await "end of $1 ($2)" is_settled "$1"
	end=$(cat "$tmp/settled")
	case $2:$end in
	accepted:completed | refused:absent) ;;
	unknown:completed | unknown:absent) ;;
	accepted:failed | unknown:failed)
		is_blamed "$1" || echo "$1 was $2 and is failed"
		;;
	accepted:cancelled | unknown:cancelled)
		grep -q "$1" "$tmp/cancelled" || echo "$1 was cancelled unasked"
		;;
	*) echo "$1 was $2 and is $end" ;;
	esac
}

# Prints a line for each owner that took runs for ended that went on.
check_verdicts() {
	flow_logs | grep EV5542
	for n in $(seq "$instances"); do
		count=$(metric "flow-$n" tg_flow_runs_outlived_total)
		[ "$count" = 0 ] || echo "flow-$n: $count wrong verdicts"
	done
}

: >"$tmp/callers"
: >"$tmp/ended"
: >"$tmp/cancelled"
: >"$tmp/never"
start_site --stores=3 --workers=$workers --row-bytes=$row_bytes \
	${names:+"--worker-prefix=$worker" "--service=${long}svc"} \
	${names:+"--kind=${long}kind" "--rack-prefix=${long}r"} \
	--stop-ms="$stop_ms" ${evacuate_ms:+--evacuate-ms=$evacuate_ms} \
	${gangs:+--memory-mb=524288 --rack-workers=8 --clock-ms=60000}
for n in 1 2 3; do
	start "proxy-$n" proxyd --target="$(echo "$site_rpc" | cut -d, -f$n)"
done
site_rpc=
for n in $(seq "$instances"); do
	site_rpc="$site_rpc$(rpc_of "proxy-$(door_of "$n")"),"
done
if [ -n "$evacuations" ]; then
	for w in 1 2 3 4; do
		control "worker?id=$worker$w&mode=zone=$([ $w -le 2 ] && echo x || echo y)"
		control "worker?id=$worker$w&mode=pace=$((150 - 30 * w))"
	done
fi
if [ -n "$series" ]; then
	for mode in move restart move; do
		control "worker?id=all&mode=$mode"
	done
fi
for n in $(seq "$instances"); do
	start_instance "$n" --lease-ms=$lease_ms ${evacuations:+--follow-speed}
	http_of "queue-$n" | sed 's/.*://' >"$tmp/port.$n"
done
# shellcheck disable=SC2046
await "an owner" owner_of $(seq "$instances")
n_jobs=0
n_steps=0
draw_steps >"$tmp/steps"
if [ -n "$series$gangs" ]; then
	: >"$tmp/calling"
	for n in 1 2 3; do
		keep_calling $n </dev/null &
	done
fi
if [ -n "$gangs" ]; then
	if [ "$gangs" = recuts ]; then draw_recuts; else draw_gangs; fi >"$tmp/series"
	play_gangs <"$tmp/series"
	: >"$tmp/steps"
elif [ -n "$series" ]; then
	draw_series >"$tmp/series"
	run_series <"$tmp/series" &
	series_pid=$!
fi
while read -r what instance worker tasks acc run_ms pause_ms extra; do
	n_steps=$((n_steps + 1))
	if [ -n "$outages" ] && [ $((n_steps % 12)) = 5 ]; then
		say "outage $worker"
		outage "$worker" </dev/null &
	fi
	if [ -n "$evacuations" ] && [ $((n_steps % 5)) = 2 ]; then
		say "evacuate $worker"
		evacuate "$worker" </dev/null &
	fi
	say "$what $instance $worker $tasks $acc $run_ms $pause_ms $extra"
	step "$what" "$instance" "$worker" "$tasks" "$acc" "$run_ms" \
		"$pause_ms" "$extra"
	sleep "$(printf '0.%03d' "$pause_ms")"
done <"$tmp/steps"
[ -z "$series" ] || wait $series_pid
rm -f "$tmp/calling"
check_processes
heal
cancel_never
i=0
while [ "$(wc -l <"$tmp/callers")" -lt "$n_jobs" ] && [ $i -lt 300 ]; do
	sleep 0.1
	i=$((i + 1))
done
if [ -n "$claim" ]; then
	echo "$claim accepted" >>"$tmp/callers"
	n_jobs=$((n_jobs + 1))
fi
# Wide gangs of a backlog run one after the other once all workers are back.
[ -z "$gangs" ] || await_tries=1200
# A job without an end ends the subshell.
(
	[ "$(wc -l <"$tmp/callers")" -eq "$n_jobs" ] || echo "a caller hangs"
	while read -r job outcome; do
		check_job "$job" "$outcome"
	done <"$tmp/callers"
	judge | grep -v '"over_room":0,"twice":0,"after_done":0,"refused":0'
	[ "$(seen .evacuated)" = 0 ] ||
		echo "starts in evacuated zones: $(seen .evacuated)"
	[ "$(seen .waited_idle)" = 0 ] || {
		echo "waited_idle=$(seen .waited_idle)"
		grep waited_idle "$tmp/site.err"
	}
	check_verdicts
	cat "$tmp/ended"
	[ -z "$series$gangs" ] || grep -vE '^(000|200|410|429|503|504)$' "$tmp/answers"
) >"$tmp/broken" 2>&1
echo "seed $seed: $n_jobs jobs," \
	"$(grep -c accepted "$tmp/callers") accepted," \
	"$(cat "$tmp/blamed" 2>/dev/null | wc -l) failed by crashes," \
	"$(wc -l <"$tmp/broken") broken promises" >&2
cat "$tmp/broken"
echo "seed $seed ended"
if [ -n "$keep" ]; then
	mkdir -p "$keep"
	# There are series and logs of ended processes only sometimes.
	cp "$tmp"/steps* "$tmp"/series* "$tmp/callers" "$tmp/broken" \
		"$tmp/answers" "$tmp"/*.out "$tmp"/*.log "$tmp"/*.err "$keep"/ 2>/dev/null
fi
