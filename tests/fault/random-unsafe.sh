#!/bin/sh
# Random fault runs of fixed seeds, each with a protection turned off and on.
# Guards against checks of tests/fault/check that can't fail, and against runs
# whose faults no longer hit what they are meant for.
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
here=$(dirname "$0")

# Four runs at once start about 60 processes.
cat >"$out/cases" <<'END'
not-renewed 17 sched=--unsafe-no-outage-renewal --steps 20 --lease-ms 6000 --fault-max-ms 12000 --run-max-ms 14000
part-alone 10 sched=--unsafe-renew-partial-gangs --steps 20 --lease-ms 2400 --fault-max-ms 9000 --run-max-ms 9000 --flag sched=--worker-lost-ms=600000
ran-again 107 sched=--unsafe-ignore-epoch --steps 22
two-attempts 62 sched=--unsafe-restart-before-expiry --steps 16
cut-request 10 entry=--drain-max-ms=50 --steps 8
END
while read -r name seed flag args; do
	echo "$out/$name.on --seed $seed $args"
	echo "$out/$name.off --seed $seed $args --flag $flag"
done <"$out/cases" |
	xargs -P 4 -L 1 sh -c 'o=$0; sh "'"$here"'/run/random-run.sh" "$@" \
		>"$o" 2>"$o.violations"'
while read -r name seed flag args; do
	echo "$name, seed $seed, $flag: $(grep -q "^violation $name:" \
		"$out/$name.off.violations" && echo found || echo not found)"
	echo "$name, seed $seed: $(sed 's/.*\(violations.*\)/\1/' \
		"$out/$name.on")"
	cat "$out/$name.on.violations" >&2
done <"$out/cases"
