#!/bin/sh
# A random fault run: random-run.sh --seed N --steps N [--keep DIRECTORY]
# Brings up two AZs, carries out the steps that faultsteps draws from the seed,
# ends all faults, waits until the system is at rest and has faultcheck check
# the recorded history.  ENTRY_FLAGS and SCHED_FLAGS are given to every entry
# and scheduler daemon, for runs that show that a check can fail.
. "$(dirname "$0")/../../lib.sh"
seed=1 steps=40 keep=
while [ $# -gt 0 ]; do
	case $1 in
	--seed) seed=$2 ;;
	--steps) steps=$2 ;;
	--keep) keep=$2 ;;
	*)
		echo "random-run.sh: unknown flag $1" >&2
		exit 2
		;;
	esac
	shift 2
done
. "$(dirname "$0")/record.sh"
. "$(dirname "$0")/processes.sh"
. "$(dirname "$0")/steps.sh"

bring_up
"$TG_BIN/faultsteps" --seed="$seed" --steps="$steps" >"$tmp/steps"
while read -r number pause_ms what args; do
	[ "$pause_ms" -eq 0 ] || sleep "$(printf '0.%03d' "$pause_ms")"
	note "step $number: $what $args"
	# shellcheck disable=SC2086
	"step_$(echo "$what" | tr - _)" $args
	watch_generations
done <"$tmp/steps"
heal_all
come_to_rest
collect
if [ -n "$keep" ]; then
	mkdir -p "$keep"
	cp "$tmp/history" "$tmp/steps" "$tmp"/*.err "$keep"/
fi
echo "seed $seed: steps $steps" \
	"$("$TG_BIN/faultcheck" --lease-ms="$lease_ms" \
		--gang-margin-ms="$gang_margin_ms" --history="$tmp/history" \
		2>"$tmp/violations")"
cat "$tmp/violations" >&2
[ ! -s "$tmp/violations" ]
