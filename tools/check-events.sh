#!/bin/sh
# Fails if docs/EVENTS.md differs from the event tables, if two events have one
# number, or if a source file logs an event that no table defines.
set -eu
cd "$(dirname "$0")/.."
status=0
sh tools/events.sh | diff -u docs/EVENTS.md - || {
	echo "docs/EVENTS.md is out of date: run tools/events.sh" >&2
	status=1
}
twice=$(sed -n 's/^| \(EV[0-9]*\) .*/\1/p' docs/EVENTS.md | uniq -d)
[ -z "$twice" ] || { echo "numbers used twice: $twice" >&2; status=1; }
defined=$(cat $(git ls-files -co --exclude-standard '*events.def') |
	sed -n 's/^TG_EVENT(\([A-Z0-9_]*\),.*/EV_\1/p')
for e in $(git ls-files -co --exclude-standard 'lib/*.c' 'cmd/*.c' 'tests/*.c' |
	xargs grep -oh '\bEV_[A-Z][A-Z0-9_]*\b' | sort -u); do
	case $e in EV_READ | EV_WRITE | EV_PERSIST | EV_TIMEOUT | EV_SIGNAL | \
		EV_ET | EV_CLOSED | EV_FINALIZE) continue ;; esac
	echo "$defined" | grep -qx "$e" || {
		echo "$e is logged but not defined" >&2
		status=1
	}
done
exit $status
