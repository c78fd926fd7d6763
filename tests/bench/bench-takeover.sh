#!/bin/sh
# Takeover of the scheduler's row, with the settings before (2 s, 6 s), with
# short ones alone (1 s, 3 s) and with short ones and a holder that answers left
# alone (now): the time from SIGKILL of the active scheduler until its AZ starts
# a job, and changes of the holder in 30 s, while no scheduler dies, under a
# table that answers late or loses the answers of writes.  KILLS (default 5) and
# SETTINGS (before, short, now) limit it.
set -u
cd "$(dirname "$0")" || exit 1
cd ../.. || exit 1
TG_BIN=${TG_BIN:-$PWD/${BUILD:-build}/bin}
TG_TESTS=$PWD/tests
export TG_BIN TG_TESTS
self=$TG_TESTS/bench/bench-takeover.sh
kills=${KILLS:-5}

settings() { # NAME
	case $1 in
	before) echo "--sched-renew-ms=2000 --sched-lease-ms=6000 \
		--unsafe-ignore-holder" ;;
	short) echo "--sched-renew-ms=1000 --sched-lease-ms=3000 \
		--unsafe-ignore-holder" ;;
	*) echo "--sched-renew-ms=1000 --sched-lease-ms=3000" ;;
	esac
}

# Each figure comes from a run of this script with processes of its own.
begin() { # NAME
	. "$TG_TESTS/sched-lib.sh"
	flags="$(settings "$1") --lease-ms=30000 --renew-ms=5000
		--call-ms=1000 --worker-lost-ms=15000"
	platform --log-level=warn
	plain_document
	worker w1
}

mono_ms() {
	awk '{ printf "%d", $1 * 1000 }' /proc/uptime
}

began_ms() { # JOB: on the machine's clock
	get "$w1_http" /standin/log | jq --arg j "$1" '[.tasks[] |
		select(.job == $j and .state == "running") | .at_ms][0] // empty'
}

has_begun() {
	[ -n "$(began_ms "$1")" ]
}

submitted() { # SCHED JOB
	submit "$1" "$2" 1 1 '"run_ms":100' | grep -q '^ok'
}

kill_runs() { # NAME
	begin "$1"
	# shellcheck disable=SC2086
	sched s0 $flags
	await "s0 is ready" ready s0 1
	n=1
	while [ "$n" -le "$kills" ]; do
		# shellcheck disable=SC2086
		sched "s$n" $flags
		await "the standby sees the active one" knows "s$n" 1
		# Kills fall anywhere in the period of the row.
		sleep "2.$((n * 37 % 100))"
		killed=$(mono_ms)
		stop_hard "s$((n - 1))"
		await "the next scheduler" submitted "s$n" "job-$n"
		await "the job" has_begun "job-$n"
		echo "kill_to_start_$1 $(($(began_ms "job-$n") - killed)) ms"
		n=$((n + 1))
	done
}

changes() { # of the row's holder
	get "$platform_http" "/standin/history?prefix=sched/a" | jq -c '
		[.. | objects | select(has("boot")) | .boot] as $b |
		[range(1; $b | length) | select($b[.] != $b[. - 1])] | length'
}

slow_runs() { # NAME CALLS MS
	begin "$1"
	# shellcheck disable=SC2086
	sched s0 $flags
	await "s0 is ready" ready s0 1
	# shellcheck disable=SC2086
	sched s1 $flags
	# shellcheck disable=SC2086
	sched s2 $flags
	await "s1 sees both" knows s1 2
	await "s2 sees both" knows s2 2
	case $2 in
	all) faults "{\"only\":\"table\",\"slow_ms\":$3}" ;;
	writes) faults "{\"paths\":\"/v1/table/txn\",\"slow_ms\":$3}" ;;
	lost) faults '{"paths":"/v1/table/txn","outage":"lose_answer"}' ;;
	esac
	sleep 30
	echo "slow_$1_$2_$3 changes_of_holder $(changes)" \
		"step_downs $(cat "$W"/s[0-9].err | grep -c 'EV3002 ')"
}

case ${1:-} in
--kill)
	kill_runs "$2"
	exit
	;;
--slow)
	slow_runs "$2" "$3" "$4"
	exit
	;;
esac
out=$(mktemp -d)
for s in ${SETTINGS:-before short now}; do
	sh "$self" --kill $s >"$out/$s-kill" 2>/dev/null &
	sh "$self" --slow $s lost 0 >"$out/$s-lost" 2>/dev/null &
	for ms in 500 1000 2000; do
		for calls in all writes; do
			sh "$self" --slow $s $calls $ms >"$out/$s-$calls-$ms" \
				2>/dev/null &
		done
	done
done
wait
cat "$out"/*
rm -rf "$out"
