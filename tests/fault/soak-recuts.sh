#!/bin/sh
# A short soak of the queue and flow daemons with workers that restart and are cut
# off, beside faults of the owner.  Guards against leases that count as expired
# while a next process, or one that a former owner called, still holds them.
# tests/soak/seeds.sh runs other seeds, with FLAGS=--recuts.
sh "$(dirname "$0")/../soak/run.sh" --seed 2 --steps 40 --recuts
