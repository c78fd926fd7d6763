#!/bin/sh
# Random fault runs of four fixed seeds.  Guards against violations of the
# invariants of docs/design.md under faults that no other test combines.
# Seed 210 reclaimed a gang that was done, after a takeover, and ran it again.
# tests/fault/run/random-run.sh runs other seeds.
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for seed in 1 2 3 210; do
	sh "$(dirname "$0")/run/random-run.sh" --seed $seed --steps 40 \
		>"$out/$seed" &
done
wait
cat "$out"/*
