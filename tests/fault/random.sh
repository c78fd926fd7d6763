#!/bin/sh
# Random fault runs of three fixed seeds.  Guards against violations of the
# invariants of docs/design.md under faults that no other test combines.
# tests/fault/run/random-run.sh runs other seeds.
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for seed in 1 2 3; do
	sh "$(dirname "$0")/run/random-run.sh" --seed $seed --steps 40 \
		>"$out/$seed" &
done
wait
cat "$out"/*
