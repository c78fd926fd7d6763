#!/bin/sh
# A short soak of the queue and flow daemons with a backlog of gangs, on a fleet
# that shrinks.  Guards against tasks that wait beside free workers, because all
# that is free is kept for gangs that can't start.
# tests/soak/seeds.sh runs other seeds, with FLAGS=--gangs.  With --steps 30, seeds
# 201, 202, 203 and 206 failed on 4eaba2eb for that reason: gangs of 16, 20, 22 and
# 14 whole workers waited.
sh "$(dirname "$0")/../soak/run.sh" --seed 1 --steps 20 --gangs
