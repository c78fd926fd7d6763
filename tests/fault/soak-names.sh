#!/bin/sh
# A short soak of the queue and flow daemons with long names that begin alike.
# Guards against names that are cut on the way from one owner to the next.
# tests/soak/seeds.sh runs other seeds, with FLAGS=--names.
soak=$(dirname "$0")/../soak/run.sh
sh "$soak" --seed 5 --steps 40 --names
sh "$soak" --seed 6 --steps 30 --names --recuts
