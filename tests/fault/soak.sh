#!/bin/sh
# A short soak of the queue and flow daemons with fixed seeds.  Guards against
# jobs that are lost, doubled or run beyond room under overlapping faults.
# tests/soak/seeds.sh runs other seeds.
soak=$(dirname "$0")/../soak/run.sh
# Seed 37: a new owner started tasks whose former runs were still being stopped.
for seed in 1 2 37; do
	sh "$soak" --seed $seed --steps 40
done
# Seeds 7 and 10: a new owner, while entries of workers were missing after an
# outage, started tasks that its predecessor had started without a record.
for seed in 7 10; do
	sh "$soak" --seed $seed --steps 40 --outages
done
# Jobs whose progress takes several rows, of which a take-over may find some
# written and others not.
for seed in 1 4; do
	sh "$soak" --seed $seed --steps 40 --large
done
echo "# a job that is lost is found"
sh "$soak" --seed 3 --steps 4 --claim 00000000000000ff
