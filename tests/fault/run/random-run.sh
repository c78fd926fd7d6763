#!/bin/sh
# A random fault run: random-run.sh --seed N --steps N [--keep DIRECTORY]
#	[--flag ROLE=FLAG]... [--lease-ms N] [--fault-max-ms N] [--run-max-ms N]
#	[--scene NAME]
# Brings up two AZs, carries out the steps that faultsteps draws from the seed,
# ends all faults, waits until the system is at rest and has faultcheck check
# the recorded history.  --flag gives a flag to every daemon of a role (entry,
# sched or console), such as a switch that turns a protection off, for runs
# that show that a check can fail.  The other options are the length of task
# leases, of the longest fault and of the longest job.  --scene takes the steps
# from scenes/NAME.sh, which wait for each other, instead of drawing them.
. "$(dirname "$0")/../../lib.sh"
seed=1 steps=40 keep= scene=
lease_ms=4000 fault_max_ms=7000 run_max_ms=6000
entry_flags='' sched_flags='' console_flags=''
while [ $# -gt 0 ]; do
	case $1 in
	--seed) seed=$2 ;;
	--steps) steps=$2 ;;
	--keep) keep=$2 ;;
	--scene) scene=$2 ;;
	--flag)
		case $2 in
		entry=*) entry_flags="$entry_flags ${2#*=}" ;;
		sched=*) sched_flags="$sched_flags ${2#*=}" ;;
		console=*) console_flags="$console_flags ${2#*=}" ;;
		*)
			echo "random-run.sh: --flag: no role in $2" >&2
			exit 2
			;;
		esac
		;;
	--lease-ms) lease_ms=$2 ;;
	--fault-max-ms) fault_max_ms=$2 ;;
	--run-max-ms) run_max_ms=$2 ;;
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

run_drawn() {
	"$TG_BIN/faultsteps" --seed="$seed" --steps="$steps" \
		--fault-max-ms="$fault_max_ms" --run-max-ms="$run_max_ms" \
		>"$tmp/steps"
	while read -r number pause_ms what args; do
		[ "$pause_ms" -eq 0 ] ||
			sleep "$(printf '0.%03d' "$pause_ms")"
		note "step $number: $what $args"
		# shellcheck disable=SC2086
		"step_$(echo "$what" | tr - _)" $args
		watch_generations
	done <"$tmp/steps"
}

run_scene() {
	: >"$tmp/steps"
	rest_until_ms=$(($(now_ms) + 1000 * scene_max_s))
	. "$(dirname "$0")/scenes/$scene.sh"
	watch_generations
}

bring_up
if [ -n "$scene" ]; then
	run_scene
else
	run_drawn
fi
heal_all
come_to_rest
collect
if [ -n "$keep" ]; then
	mkdir -p "$keep"
	cp "$tmp/history" "$tmp/steps" "$tmp"/*.err "$keep"/
fi
echo "${scene:-seed $seed: steps $steps}" \
	"$("$TG_BIN/faultcheck" --lease-ms="$lease_ms" \
		--gang-margin-ms="$gang_margin_ms" \
		--drain-grace-ms="$TG_DRAIN_GRACE_MS" --history="$tmp/history" \
		2>"$tmp/violations")"
cat "$tmp/violations" >&2
[ ! -s "$tmp/violations" ]
