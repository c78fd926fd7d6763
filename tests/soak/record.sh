#!/bin/sh
# The record of docs/incidents/twice.md with real processes: record.sh --seed N
#	[--seconds N] [--workers N] [--keep DIRECTORY] [--only WORD,...]
# Nine instances in three zones run jobs on workers with the figures of the users'
# sites.  The instances of the owner's zone lose the store one after the other, a
# while later nobody gets answers of the store for a moment, then the owner is
# killed.  Meanwhile workers drain, are cut off, leave, restart, leave calls
# unanswered and carry them out late; entries expire and old ones are read; clocks
# are slow or fast, and the time of day steps.  All is drawn from the seed.  Then
# faults end, and what workers and owners saw is checked.  --only leaves out all
# faults of workers but those that have one of the words in their line.
. "$(dirname "$0")/../site-lib.sh"
seed=1 seconds=60 workers= keep= only=
while [ $# -gt 0 ]; do
	case $1 in
	--seed) seed=$2 ;;
	--seconds) seconds=$2 ;;
	--workers) workers=$2 ;;
	--keep) keep=$2 ;;
	--only) only=$2 ;;
	*)
		echo "record.sh: unknown flag $1" >&2
		exit 2
		;;
	esac
	shift 2
done
instances=9 per_zone=3
: "${workers:=$((24 + seed % 3 * 12))}"
heartbeat_ms=1500 stop_ms=$((seed % 2 * 500 + 400))
config=$(echo "$config" | jq -c '.tenants[0].guaranteed.gpu = 64')

# What happens when, one a line, in order: AT_MS WHAT...
draw() {
	awk -v seed="$seed" -v end_ms=$((seconds * 1000)) -v workers="$workers" \
		-v instances="$instances" '
	function rnd(n) { return int(rand() * n) }
	function pick(words, n, word) {
		n = split(words, word, " ")
		return word[1 + rnd(n)]
	}
	function job(at, n, ms, acc, tries) {
		printf "%d job %d %d %d %d %d %s %d\n", at, 1 + rnd(instances),
			n, acc, ms, ms * (0.5 + rand()),
			rand() < 0.15 ? "u" : "n", rand() < 0.2
	}
	BEGIN {
		srand(seed)
		# The load of jurisum, scaled to the number of workers.
		for (at = 0; at < end_ms; at += int(430 * 48 / workers * (0.5 + rand()))) {
			r = rand()
			if (r < 0.63)
				job(at, 3, 2500 + rnd(2000), 1 + rnd(8))
			else if (r < 0.84)
				job(at, 5, 5000 + rnd(7000), 1 + rnd(8))
			else
				job(at, 12 + rnd(5), 5000 + rnd(7000), 1)
			if (rand() < 0.06)
				print at + 1000 + rnd(14000), "cancel", 1 + rnd(instances), ++n_cancels
		}
		for (at = 3000; at < end_ms; at += 1000 + rnd(80000 / workers))
			print at, "series", 1 + rnd(workers), 1 + rnd(3),
				pick("none drain drain drain=100 drain=3000"),
				rnd(1500),
				pick("never never never before at after"),
				rnd(4500),
				pick("none silent silent refuse refuse deaf " \
					"one-way one-way unanswered unanswered " \
					"calls-late calls-late " \
					"stops-late holds-late mute reset"),
				500 + rnd(6500),
				pick("heal heal heal heal leave leave linger " \
					"restart restart move crash"),
				1000 + rnd(3000),
				pick("0 0 0 0 1 1 2 3 12 21 13"),
				rnd(5) - 2, pick("0 0 0 -3000 -600000 3000"),
				500 + rnd(4000)
		for (at = 5000; at < end_ms; at += 2000 + rnd(8000))
			print at, "pace", 1 + rnd(workers), pick("0 0 50"),
				3000 + rnd(9000)
		lose = int(end_ms / 6) + rnd(4000)
		print lose, "lose", 700 + rnd(600), 1000 + rnd(2000),
			pick("silent silent one-way"), 4000 + rnd(14000),
			pick("none none lost silent refuse")
		for (at = 4000; seed % 4 == 3 && at < end_ms; at += 6000 + rnd(9000))
			print at, "freeze", 1 + rnd(instances), 500 + rnd(rnd(9000))
		silent = lose + 9000 + rnd(12000)
		print silent, "silent", 850 + rnd(500)
		print silent + 4000 + rnd(15000), "kill", 1000 + rnd(5000)
	}' | sort -n
}

say() {
	echo "$(date +%H:%M:%S.%3N) $*" >>"$tmp/steps.log"
}

# behind COMMAND...: in the background.  Ids of processes are used again too soon to
# wait for them.
behind() {
	mkdir -p "$tmp/behind"
	note=$(mktemp "$tmp/behind/XXXXXX")
	"$@"
	rm "$note"
}

await_behind() {
	i=0
	while [ -n "$(ls "$tmp/behind")" ] && [ $i -lt 600 ]; do
		sleep 0.1
		i=$((i + 1))
	done
}

pause() { # MS
	sleep "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))"
}

# One caller: it tries up to four times, elsewhere each time.
job() { # ID INSTANCE TASKS ACCELERATORS RUN_MS EST_MS QUEUE TWO-STEPS
	one="{\"count\":$3,\"cpu\":$(($4 * 1000)),\"gpu\":$4,\"est-ms\":$6}"
	steps="[$one]" at=$2
	[ "$8" = 0 ] || steps="[$one,${one%\}},\"after\":[0]}]"
	for i in 1 2 3 4; do
		code=$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: h' \
			-H 'X-Api-Key: k1' -H 'Tarragonfield-Deadline-Ms: 3000' \
			-d "{\"spec\":\"ms=$5 acc=$4 progress\",\"steps\":$steps}" \
			"http://$net.$at:$(cat "$tmp/port.$at")/$7/$1")
		if [ "$code" = 200 ]; then
			echo "$1 $7" >>"$tmp/accepted"
			return
		fi
		at=$((at % instances + 1))
		sleep 0.5
	done
}

cancel() { # INSTANCE
	# shellcheck disable=SC2046
	set -- "$1" $(tail -n 7 "$tmp/accepted" | head -n 1)
	[ $# = 3 ] || return 0
	echo "$2" >>"$tmp/cancelled"
	say "cancel $2: $(curl -s -m 3 -o /dev/null -w '%{http_code}' -X DELETE \
		-H 'Host: h' -H 'X-Api-Key: k1' \
		"http://$net.$1:$(cat "$tmp/port.$1")/$3/$2")"
}

link() { # INSTANCE MODE
	curl -sf -o /dev/null -X POST \
		"http://$(http_of "proxy-$1")/proxy?mode=$2"
}

# of_each MODE WORKER...
of_each() {
	mode=$(echo "$1" | sed 's/=/%3D/')
	shift
	for w in "$@"; do
		control "worker?id=w$w&mode=$mode"
	done
}

# lose_entry AT WHEN MS WORKER...: heartbeats no longer reach the store
lose_entry() {
	[ "$1" = "$2" ] || return 0
	ms=$3
	shift 3
	of_each lost "$@"
	pause "$ms"
}

series() { # as draw() names it
	[ -z "$only" ] || echo "$*" | tr ' ' '\n' |
		grep -qxF "$(echo "$only" | tr , '\n')" || return 0
	drain=$3 wait_ms=$4 lost=$5 lost_ms=$6 cut=$7 cut_ms=$8
	some=$(seq "$1" $(($1 + $2 - 1)) | awk -v n="$workers" \
		'{ print ($1 - 1) % n + 1 }')
	shift 8
	end=$1 away_ms=$2 old=$3 clock=$4 step=$5 late=$6
	# shellcheck disable=SC2086
	{
		of_each "late=$late" $some
		of_each "clock=$clock" $some
		of_each "step=$step" $some
		[ "$drain" = none ] || of_each "$drain" $some
		pause "$wait_ms"
		lose_entry "$lost" before "$lost_ms" $some
		lose_entry "$lost" at 0 $some
		[ "$cut" = none ] || of_each "$cut" $some
		lose_entry "$lost" after $((lost_ms / 3)) $some
		for n in $(echo "$old" | sed 's/./& /g'); do
			of_each "old=$n" $some
			sleep 0.3
		done
		pause "$cut_ms"
		case $end in
		leave | crash | linger)
			if [ "$end" = linger ]; then
				of_each ok $some
				of_each "linger=$((late / 10))" $some
			else
				of_each "$end" $some
			fi
			pause "$away_ms"
			of_each ok $some
			of_each listed $some
			of_each back $some
			return
			;;
		restart | move) of_each "$end" $some ;;
		esac
		of_each ok $some
		of_each listed $some
		[ "$drain" != none ] || return 0
		pause $((away_ms * 2))
		of_each leave $some
		pause 500
		of_each listed $some
		of_each back $some
	}
}

pace() { # WORKER PERCENT MS
	of_each "pace=$2" "$1"
	pause "$3"
	of_each pace=100 "$1"
}

freeze() { # INSTANCE MS
	signal STOP "$1"
	pause "$2"
	signal CONT "$1"
}

signal() { # SIGNAL INSTANCE
	for role in flow queue; do
		is_own "$(pid_of "$role-$2")" &&
			kill "-$1" "$(pid_of "$role-$2")"
	done
}

# The workers of a zone: every third one.
zone_workers() { # ZONE MODE...
	some=$(seq "$1" 3 "$workers")
	shift
	for mode in "$@"; do
		# shellcheck disable=SC2086
		of_each "$mode" $some
	done
}

# The instances of the owner's zone lose the store one after the other, and
# perhaps its workers lose the store, or are cut off from all.
lose() { # MS MS MODE MS WORKERS-MODE
	owner=$(find_owner) || return 0
	first=$(((owner - 1) / per_zone * per_zone))
	say "owner $owner loses the store"
	link "$owner" "$3"
	case $5 in
	none) ;;
	lost) zone_workers $((first / per_zone + 1)) lost ;;
	*) zone_workers $((first / per_zone + 1)) "$5" ;;
	esac
	pause "$1"
	link $((first + owner % per_zone + 1)) "$3"
	pause "$2"
	link $((first + (owner + 1) % per_zone + 1)) "$3"
	pause "$4"
	for n in $(seq $((first + 1)) $((first + per_zone))); do
		link "$n" ok
	done
	[ "$5" = none ] || zone_workers $((first / per_zone + 1)) ok listed
	say "zone of $owner is back"
}

silent() { # MS
	say "the store is silent"
	control "store?mode=silent"
	pause "$1"
	control "store?mode=ok"
}

find_owner() {
	# shellcheck disable=SC2046
	owner_of $(seq "$instances")
}

flow() { # N
	# A start replaces the log of the process before.
	cat "$tmp/flow-$1.out" >>"$tmp/flow-$1.log"
	start "flow-$1" tgflowd --settings="$tmp/i$1.conf" \
		--metrics-addr="$net.$1:0"
}

kill_owner() {
	killed=$(find_owner) || return 0
	say "owner $killed is killed"
	crash "flow-$killed"
	crash "queue-$killed"
}

revive() {
	[ -n "$killed" ] || return 0
	say "owner $killed is back"
	flow "$killed"
	start "queue-$killed" tgqueued --settings="$tmp/i$killed.conf"
	http_of "queue-$killed" | sed 's/.*://' >"$tmp/port.$killed"
	killed=
}

flow_logs() {
	cat "$tmp"/flow-*.out "$tmp"/flow-*.log 2>/dev/null
}

count() { # EVENT
	flow_logs | grep -c "$1"
}

is_settled() { # JOB QUEUE
	front 1 "/$2/$1" >"$tmp/status"
	[ "$(cat "$tmp/status")" = 410 ] ||
		jq -r .state "$tmp/body" | grep -E 'completed|failed|cancelled' \
			>"$tmp/end"
}

# Prints a line if an accepted job has not ended as it must.
check_job() { # JOB QUEUE
	: >"$tmp/end"
	await "end of $1" is_settled "$1" "$2"
	case $(cat "$tmp/end") in
	completed) ;;
	cancelled) grep -q "$1" "$tmp/cancelled" || echo "$1 is cancelled" ;;
	# Crashes of workers under a task fail its job.
	failed) flow_logs | grep -q "EV5538.*job=$1 " || echo "$1 is failed" ;;
	*) echo "$1 is unknown" ;;
	esac
}

: >"$tmp/accepted"
: >"$tmp/cancelled"
start_site --stores=3 --workers="$workers" --stop-ms="$stop_ms"
site_doors=$site_rpc site_rpc=
for n in $(seq "$instances"); do
	start "proxy-$n" proxyd --target="$(echo "$site_doors" |
		cut -d, -f$(((n - 1) / per_zone + 1)))"
	site_rpc="$site_rpc$(rpc_of "proxy-$n"),"
done
for mode in move restart move; do
	control "worker?id=all&mode=$mode"
done
for n in $(seq "$instances"); do
	zone=z$(((n - 1) / per_zone))
	start_instance "$n"
	http_of "queue-$n" | sed 's/.*://' >"$tmp/port.$n"
done
await "an owner" find_owner
draw >"$tmp/steps"
n_jobs=0 killed='' back_ms=0
begun_ms=$(date +%s%3N)
while read -r at_ms what line; do
	now_ms=$(($(date +%s%3N) - begun_ms))
	[ "$now_ms" -ge "$at_ms" ] || pause $((at_ms - now_ms))
	if [ -n "$killed" ] && [ "$at_ms" -ge "$back_ms" ]; then
		revive
	fi
	case $what in
	job)
		n_jobs=$((n_jobs + 1))
		# shellcheck disable=SC2086
		behind job "$(printf '%016x' $((seed * 10000 + n_jobs)))" \
			$line </dev/null &
		;;
	kill) kill_owner && back_ms=$((at_ms + line)) ;;
	*)
		say "$what $line"
		# shellcheck disable=SC2086
		behind "$what" $line </dev/null &
		;;
	esac
done <"$tmp/steps"
revive
await_behind
for n in $(seq "$instances"); do
	link "$n" ok
done
control "store?mode=ok"
for mode in ok listed back pace%3D100; do
	control "worker?id=all&mode=$mode"
done
i=0
until runs_now 0 || [ $i -ge 300 ]; do
	sleep 0.2
	i=$((i + 1))
done
{
	judge | grep -v '"over_room":0,"twice":0,"after_done":0,"refused":0'
	flow_logs | grep EV5542
	grep ' task=' "$tmp/site.err"
	while read -r id queue; do
		check_job "$id" "$queue" </dev/null
	done <"$tmp/accepted"
} >"$tmp/broken" 2>&1
echo "seed $seed: $workers workers, $n_jobs jobs," \
	"$(wc -l <"$tmp/accepted") accepted," \
	"$(seen .starts) starts, $(judge) EV5501 $(count EV5501)" \
	"EV5534 $(count EV5534) EV5535 $(count EV5535)" \
	"EV5542 $(count EV5542) EV5525 $(count EV5525)" \
	"EV5504 $(count EV5504) left $(seen '.runs | length')" \
	"load $(cut -d' ' -f1 /proc/loadavg)" >&2
cat "$tmp/broken"
echo "seed $seed ended"
if [ -n "$keep" ]; then
	mkdir -p "$keep"
	cp "$tmp"/steps* "$tmp"/accepted "$tmp"/cancelled "$tmp/broken" \
		"$tmp"/*.out "$tmp"/*.log "$tmp"/*.err "$keep"/ 2>/dev/null
fi
