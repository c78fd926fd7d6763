#!/bin/sh
# A short soak of the queue and flow daemons with zones that are evacuated beside
# faults of daemons, links and the store.  Guards against starts in such a zone by
# an owner whose list is old, and by its successor.
# tests/soak/seeds.sh runs other seeds, with FLAGS=--evacuations.
for seed in 1 2; do
	sh "$(dirname "$0")/../soak/run.sh" --seed $seed --steps 40 --evacuations
done
