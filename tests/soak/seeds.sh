#!/bin/sh
# Runs seeds of a soak, some at a time: seeds.sh FROM TO [AT-ONCE] [KEEP]
# SOAK names the soak: run (the default), document or record; FLAGS are passed
# to it.
# TG_BIN names other programs than those of BUILD.
# Prints the lines of seeds that broke a promise, then a count.
cd "$(dirname "$0")/../.." || exit 1
TG_BIN=${TG_BIN:-$PWD/${BUILD:-build}/bin}
TG_TESTBIN=${TG_TESTBIN:-$PWD/${BUILD:-build}/tests}
TG_TESTS=$PWD/tests
FLAGS=${FLAGS:-}
export TG_BIN TG_TESTBIN TG_TESTS SOAK FLAGS
from=$1 to=$2 at_once=${3:-4} keep=${4:-}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
seq "$from" "$to" | xargs -P "$at_once" -I '{}' sh -c \
	'sh "tests/soak/${SOAK:-run}.sh" --seed "$1" ${3:+--keep "$3/$1"} $FLAGS \
		>"$2/$1" 2>"$2/$1.err"; tail -n 1 "$2/$1.err"' \
	- '{}' "$out" "$keep"
bad=0
for seed in $(seq "$from" "$to"); do
	if [ "$(cat "$out/$seed")" != "seed $seed ended" ]; then
		bad=$((bad + 1))
		sed "s/^/seed $seed: /" "$out/$seed"
	fi
done
echo "$((to - from + 1)) seeds, $bad with broken promises"
[ $bad -eq 0 ]
