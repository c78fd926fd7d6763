#!/bin/sh
# The common case of a lost worker: all scheduler daemons answer.  Measures the
# time from the cut of the worker until the job's next attempt starts, at default
# periods, with renewals by others ignored (before) and accounted for (now).
# RUNS (default 5) of each run at once.
set -u
cd "$(dirname "$0")" || exit 1
cd ../.. || exit 1
TG_BIN=${TG_BIN:-$PWD/${BUILD:-build}/bin}
TG_TESTS=$PWD/tests
export TG_BIN TG_TESTS
self=$TG_TESTS/bench/bench-worker-lost.sh

attempt_2_began_ms() {
	for w in w1 w2; do
		eval "get \$${w}_http /standin/log"
	done | jq -s '[.[].tasks[] | select(.state == "running" and
		.attempt == 2) | .at_ms][0] // empty'
}
has_begun() {
	[ -n "$(attempt_2_began_ms)" ]
}
mono_ms() {
	awk '{ printf "%d", $1 * 1000 }' /proc/uptime
}

one_run() { # NAME OFFSET
	. "$TG_TESTS/sched-lib.sh"
	unset TG_SCHED_RENEW_MS TG_SCHED_LEASE_MS TG_RENEW_MS TG_LEASE_MS \
		TG_CALL_MS TG_WORKER_LOST_MS
	flags=
	[ "$1" = before ] && flags=--unsafe-ignore-renewers
	platform --log-level=warn
	plain_document
	worker w1
	worker w2
	# shellcheck disable=SC2086
	sched s1 $flags
	await "s1 is ready" ready s1 2
	for n in s2 s3; do
		# shellcheck disable=SC2086
		sched $n $flags
		await "$n sees a peer" knows $n 1
	done
	submit s1 g 1 8 >/dev/null
	await "the job runs" gang_is s1 g running
	w=w2
	[ "$(running_on w1 g)" = 1 ] && w=w1
	# Cuts fall anywhere in the period of renewal.
	sleep "1$2"
	eval "post \$${w}_http /standin/faults '{\"cut\":true}'" >/dev/null
	cut_ms=$(mono_ms)
	await "attempt 2" has_begun
	echo "cut_to_restart_$1 $(($(attempt_2_began_ms) - cut_ms)) ms"
}

if [ "${1:-}" = --one ]; then
	one_run "$2" "$3"
	exit
fi
out=$(mktemp -d)
n=1
while [ "$n" -le "${RUNS:-5}" ]; do
	for s in before now; do
		sh "$self" --one $s "$n" >"$out/$s-$n" 2>/dev/null &
	done
	n=$((n + 1))
done
wait
cat "$out"/*
rm -rf "$out"
