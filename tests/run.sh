#!/bin/sh
# Runs all tests: unit tests of build/tests, then scripted runs, each compared
# with its expected output.  Usage: run.sh [NAME...]; BUILD names the build,
# JOBS how many tests run at once.  The last line is "N passed, N failed".
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
JOBS=${JOBS:-6}
TG_BIN=$PWD/$BUILD/bin
TG_TESTBIN=$PWD/$BUILD/tests
TG_TESTS=$PWD/tests
export BUILD JOBS TG_BIN TG_TESTBIN TG_TESTS
out=$PWD/$BUILD/test-output

is_known_red() {
	[ -f KNOWN-RED.txt ] && grep -qx "test: $1" KNOWN-RED.txt
}

# A scripted run prints what happened; NAME.exp holds what should have.  If it
# fails, the files of its processes stay beside its log.
run_script() { # FILE LOG
	kept=${2%.log}.files
	TG_KEEP_LOGS=$kept timeout 300 sh "$1" >"$2.out" 2>"$2.err"
	status=$?
	# Without an expected output this fails as well.
	diff -u "${1%.sh}.exp" "$2.out" >"$2" 2>&1 || status=1
	if [ "$status" -eq 0 ]; then
		rm -rf "$kept"
	else
		tail -n 40 "$2.err" >>"$2"
	fi
	return "$status"
}

run_one() { # FILE
	case $1 in
	*.sh)
		name=${1#tests/}
		name=${name%.sh}
		log=$out/$(echo "$name" | tr / -).log
		run_script "$1" "$log"
		;;
	*)
		name=unit/$(basename "$1")
		log=$out/$(basename "$1").log
		"$1" >"$log" 2>&1
		;;
	esac
	if [ $? -eq 0 ]; then
		echo "ok   $name"
	elif is_known_red "$name"; then
		echo "RED  $name (listed in KNOWN-RED.txt)"
	else
		{
			echo "FAIL $name"
			tail -n 60 "$log"
		} >"$log.fail"
		cat "$log.fail"
	fi
}

if [ "${1:-}" = --one ]; then
	run_one "$2"
	exit 0
fi

wanted() {
	[ -z "$only" ] && return 0
	for w in $only; do
		case $1 in *"$w"*) return 0 ;; esac
	done
	return 1
}

only=$*
rm -rf "$out"
mkdir -p "$out"
# The fault tests take longest, so they begin first.
for t in tests/fault/*.sh "$BUILD"/tests/test-* tests/contract/*.sh \
	tests/script/*.sh; do
	case $t in *.d | */measures.sh | */flood-*.sh) continue ;; esac
	[ -f "$t" ] && wanted "$t" && echo "$t"
done | xargs -P "$JOBS" -n 1 sh tests/run.sh --one | tee "$out/summary"
# These press on the machine, so they run one at a time, apart from the others.
for t in tests/script/flood-*.sh; do
	wanted "$t" && echo "$t"
done | xargs -r -n 1 sh tests/run.sh --one | tee -a "$out/summary"
pass=$(grep -c '^ok   ' "$out/summary")
fail=$(grep -c '^FAIL ' "$out/summary")
known=$(grep -c '^RED  ' "$out/summary")
[ "$known" -gt 0 ] && echo "$known known red, see KNOWN-RED.txt"
echo "$pass passed, $fail failed"
[ "$fail" -eq 0 ]
