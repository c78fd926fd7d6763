#!/bin/sh
# A short soak of the queue and flow daemons with series of faults of workers.
# Guards against an owner that takes the runs of a worker for ended while they go
# on, so that their tasks run twice: a draining worker is cut off, or an entry of
# an earlier process is read.
# tests/soak/seeds.sh runs other seeds, with FLAGS=--workers.
soak=$(dirname "$0")/../soak/run.sh
for seed in 4 5; do
	sh "$soak" --seed $seed --steps 15 --workers
done
