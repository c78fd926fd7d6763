#!/bin/sh
# Random fault runs of seven fixed seeds, four at once.  Guards against violations
# of the invariants of docs/design.md under faults that no other test combines.
# Seed 210 reclaimed a gang that was done, after a takeover, and ran it again.
# tests/fault/run/random-run.sh runs other seeds.
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
run() { # SEED STEPS OPTION...
	seed=$1 steps=$2
	shift 2
	sh "$(dirname "$0")/run/random-run.sh" --seed "$seed" --steps "$steps" \
		"$@" >"$out/$seed" &
}
run 1 40
run 2 40
run 3 40
run 210 40
wait
run 6 24
run 107 22
run 17 20 --lease-ms 6000 --fault-max-ms 12000 --run-max-ms 14000
wait
cat "$out"/*
