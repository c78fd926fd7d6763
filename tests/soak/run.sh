#!/bin/sh
# A soak of the queue and flow daemons: run.sh --seed N [--steps N]
#	[--keep DIRECTORY] [--claim JOB] [--outages] [--large]
# Three instances run on a stand-in of the platform, each with a proxy before
# the store.  Steps drawn from the seed submit and cancel jobs and inject faults
# from outside: signals, disturbed connections, faults of store and workers.
# They overlap.  Then all faults end, and what callers and workers saw is
# checked: an accepted job ends completed, one that was refused does not exist,
# no task runs twice or beyond room.  --outages adds outages of the store in
# which entries of workers expire, beside the other faults.  --large submits jobs
# of many small tasks, on a store with rows of 8 KiB, which the progress of a
# job doesn't fit.  --claim says that JOB was accepted, which shows that a lost
# job is found.
. "$(dirname "$0")/../site-lib.sh"
seed=1 steps=40 keep= claim= outages= large=
while [ $# -gt 0 ]; do
	case $1 in
	--seed) seed=$2 ;;
	--steps) steps=$2 ;;
	--keep) keep=$2 ;;
	--claim) claim=$2 ;;
	--outages)
		outages=1
		shift
		continue
		;;
	--large)
		large=1
		row_bytes=8192
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
# A caller gives up after this many tries of 3 s.
tries_max=4

# Numbers of a step: WHAT INSTANCE WORKER TASKS ACCELERATORS RUN_MS PAUSE_MS
draw_steps() {
	awk -v seed="$seed" -v steps="$steps" -v workers="$workers" '
	function rnd(n) { return int(rand() * n) }
	BEGIN {
		srand(seed)
		n = split("submit submit submit submit submit submit cancel " \
			"kill-flow kill-queue term-flow term-queue pause " \
			"hup door door link link link worker worker keys", what, " ")
		for (i = 0; i < steps; i++)
			print what[1 + rnd(n)], 1 + rnd(3), 1 + rnd(workers),
				1 + rnd(6), 1 + rnd(8), 200 + rnd(2500),
				rnd(600), rnd(1000)
	}'
}

say() {
	echo "$(date +%H:%M:%S.%3N) $*" >>"$tmp/steps.log"
}

# What one caller does, in the background: "JOB accepted|refused|unknown"
caller() { # JOB INSTANCE TASKS ACCELERATORS RUN_MS QUEUE
	at=$2 unknown=0 i=0
	while [ $i -lt $tries_max ]; do
		code=$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: h' \
			-H 'X-Api-Key: k1' -H 'Tarragonfield-Deadline-Ms: 3000' \
			-d "{\"spec\":\"ms=$5 acc=$4\",\"steps\":[{\"count\":$3,
			 \"cpu\":$((1 + $4 * 1000)),\"gpu\":$4,\"est-ms\":$5}]}" \
			"http://$net.$at:$(cat "$tmp/port.$at")/$6/$1")
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
		at=$((at % 3 + 1)) i=$((i + 1))
		sleep 0.5
	done
	echo "$1 unknown" >>"$tmp/callers"
}

instance_flow() { # N
	start "flow-$1" tgflowd --settings="$tmp/i$1.conf" \
		--metrics-addr="$net.$1:0" --lease-ms=4000
}

instance_queue() { # N
	start "queue-$1" tgqueued --settings="$tmp/i$1.conf"
	http_of "queue-$1" | sed 's/.*://' >"$tmp/port.$1"
}

# Starts again whatever the steps have ended.
revive() {
	for n in 1 2 3; do
		for role in flow queue; do
			kill -0 "$(pid_of "$role-$n")" 2>/dev/null ||
				"instance_$role" "$n"
		done
	done
}

signal() { # SIGNAL NAME
	is_own "$(pid_of "$2")" && kill "-$1" "$(pid_of "$2")"
}

# Reaps a process that has got SIGTERM or SIGKILL, and starts it again.
end_process() { # SIGNAL NAME
	signal "$1" "$2"
	# A paused process gets a signal once it goes on.
	signal CONT "$2"
	[ "$paused" = "$2" ] && paused=
	wait "$(pid_of "$2")" 2>/dev/null
	forget "$(pid_of "$2")"
	revive
}

link() { # N MODE
	curl -sf -o /dev/null -X POST \
		"http://$(http_of "proxy-$1")/proxy?mode=$2"
}

# The store is down, and entries of three workers expire meanwhile.
outage() { # WORKER
	control "store?mode=refuse"
	for i in 0 1 2; do
		control "worker?id=w$((($1 + i - 1) % workers + 1))&mode=expire"
	done
	sleep 3.5
	control "store?mode=ok"
	sleep 1.9
	control "worker?id=all&mode=listed"
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
		if [ -n "$large" ]; then
			set -- "$1" "$2" "$3" $(($4 * $5 * 20)) 0 "$6" "$7" "$8"
		fi
		caller "$job" "$2" "$4" "$5" "$6" \
			"$(pick "$8" n u)" </dev/null &
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
		control "store?door=$(($2 - 1))&mode=$(pick "$8" \
			refuse silent lose slow ok ok)"
		;;
	link) link "$2" "$(pick "$8" delay silent one-way reset ok ok)" ;;
	worker)
		control "worker?id=w$3&mode=$(pick "$8" silent unanswered \
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

heal() {
	[ -n "$paused" ] && signal CONT "$paused"
	for n in 1 2 3; do
		link "$n" ok
	done
	control 'store?mode=ok'
	control 'worker?id=all&mode=ok'
	control 'worker?id=all&mode=listed'
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

# Prints a line for each promise that was broken.
check_job() { # JOB OUTCOME
	await "end of $1 ($2)" is_settled "$1"
	end=$(cat "$tmp/settled")
	case $2:$end in
	accepted:completed | refused:absent) ;;
	unknown:completed | unknown:absent) ;;
	accepted:cancelled | unknown:cancelled)
		grep -q "$1" "$tmp/cancelled" || echo "$1 was cancelled unasked"
		;;
	*) echo "$1 was $2 and is $end" ;;
	esac
}

: >"$tmp/callers"
: >"$tmp/cancelled"
start_site --stores=3 --workers=$workers --row-bytes=$row_bytes
for n in 1 2 3; do
	start "proxy-$n" proxyd --target="$(echo "$site_rpc" | cut -d, -f$n)"
done
site_rpc="$(rpc_of proxy-1),$(rpc_of proxy-2),$(rpc_of proxy-3)"
for n in 1 2 3; do
	start_instance $n --lease-ms=4000
	http_of "queue-$n" | sed 's/.*://' >"$tmp/port.$n"
done
await "an owner" owner_of 1 2 3
n_jobs=0
n_steps=0
draw_steps >"$tmp/steps"
while read -r what instance worker tasks acc run_ms pause_ms extra; do
	n_steps=$((n_steps + 1))
	if [ -n "$outages" ] && [ $((n_steps % 12)) = 5 ]; then
		say "outage $worker"
		outage "$worker" </dev/null &
	fi
	say "$what $instance $worker $tasks $acc $run_ms $pause_ms $extra"
	step "$what" "$instance" "$worker" "$tasks" "$acc" "$run_ms" \
		"$pause_ms" "$extra"
	sleep "$(printf '0.%03d' "$pause_ms")"
done <"$tmp/steps"
heal
i=0
while [ "$(wc -l <"$tmp/callers")" -lt "$n_jobs" ] && [ $i -lt 300 ]; do
	sleep 0.1
	i=$((i + 1))
done
if [ -n "$claim" ]; then
	echo "$claim accepted" >>"$tmp/callers"
	n_jobs=$((n_jobs + 1))
fi
{
	[ "$(wc -l <"$tmp/callers")" -eq "$n_jobs" ] || echo "a caller hangs"
	while read -r job outcome; do
		check_job "$job" "$outcome"
	done <"$tmp/callers"
	judge | grep -v '"over_room":0,"twice":0,"after_done":0,"refused":0'
} >"$tmp/broken" 2>&1
echo "seed $seed: $n_jobs jobs," \
	"$(grep -c accepted "$tmp/callers") accepted," \
	"$(wc -l <"$tmp/broken") broken promises" >&2
cat "$tmp/broken"
echo "seed $seed ended"
if [ -n "$keep" ]; then
	mkdir -p "$keep"
	cp "$tmp/steps" "$tmp/steps.log" "$tmp/callers" "$tmp/broken" "$tmp"/*.out \
		"$tmp"/*.err "$keep"/
fi
