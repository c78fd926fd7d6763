#!/bin/sh
# Checks each model exhaustively, then with each switch that removes a
# protecting rule, where spin must find a violation.
set -u
cd "$(dirname "$0")" || exit 1
BUILD=${BUILD:-build}
out=../$BUILD/spec
mkdir -p "$out"
out=$(cd "$out" && pwd)
pass=0 fail=0

verify() { # MODEL SWITCH
	dir=$out/$1-${2:-whole}
	rm -rf "$dir"
	mkdir -p "$dir"
	cp "$1.pml" "$dir"
	if ! (
		cd "$dir" &&
			spin ${2:+-D$2} -a "$1.pml" &&
			gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=6000 -o pan pan.c
	) >"$dir/build.log" 2>&1; then
		cat "$dir/build.log"
	fi
	(cd "$dir" && ./pan -m200000) >"$dir/pan.log" 2>&1
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.log")
	depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' "$dir/pan.log")
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$dir/pan.log")
	partial=$(grep -c 'Search not completed\|max search depth too small\|out of memory' "$dir/pan.log")
	printf '%-8s %-22s states %-10s depth %-6s errors %s\n' "$1" \
		"${2:-with all rules}" "${states:-?}" "${depth:-?}" "${errors:-?}"
}

# LINES: model and switch; "-" stands for all rules in force.
cases="gang -
gang NO_FENCE
gang REUSE_ATTEMPT
lease -
lease TTL_FROM_RECEIPT
renewal -
renewal RENEW_ANY
renewal COUNT_ONLY
request -
request NO_CLAIM
request OUTAGE_SAYS_NOT_RUN
config -
config NO_CAS
config APPLY_ANY
account -
account NO_ACCOUNT
account SEND_RAISED
account VOUCH_AT_ONCE
account END_AT_ONCE
account NO_LIMIT
holder -
holder NO_FENCE
holder ANY_LIST
holder ACK_EARLY
holder RENEW_ALWAYS
process -
process ANY_ANSWER
process HIGHER_BOOT
process ENTRY_PROVES
process ANY_ADDRESS
fence -
fence NO_RAISE
fence USE_EARLY
fence ANY_LIST
fence ANY_REFUSAL
fence SENT_COUNTS
restart -
restart NO_LIST
restart RESTARTS_ONLY
restart UNCONFIRMED_ONLY
restart NOT_CARRIED
restart ANY_ANSWER
restart UNCONFIRMED_TIMED
restart NOT_CARRIED_TIME
restart ONE_BOUND
takeover -
takeover START_FIRST
takeover NO_FENCE
takeover IGNORE_RECORD
takeover NO_STOP_WAIT
takeover STOP_PLANNED
formers -
formers LAST_ONLY
formers FORGET_LEARNED
bounds -
bounds RENEW_STORED
bounds START_STORED
bounds REMOVE_UNCONFIRMED
bounds TAKE_LATE
bounds REFUSED_FREES
bounds OWN_ONLY
bounds OLD_VERSION"

judge() { # MODEL SWITCH
	if [ "$2" = - ]; then
		verify "$1" ""
		[ "$errors" = 0 ] && [ "$partial" -eq 0 ] && return 0
		echo "FAIL $1: violation or incomplete search"
		tail -n 20 "$dir/pan.log"
		return 1
	fi
	verify "$1" "$2"
	[ "${errors:-0}" -gt 0 ] && return 0
	echo "FAIL $1: no violation without the rule $2"
	return 1
}

# The largest search takes most of the time, so all run at once.
while read -r model switch; do
	(
		judge "$model" "$switch" >"$out/$model$switch.txt" 2>&1
		echo $? >"$out/$model$switch.status"
	) &
done <<END
$cases
END
wait
while read -r model switch; do
	cat "$out/$model$switch.txt"
	if [ "$(cat "$out/$model$switch.status")" = 0 ]; then
		pass=$((pass + 1))
	else
		fail=$((fail + 1))
	fi
done <<END
$cases
END
echo "$pass passed, $fail failed"
[ "$fail" -eq 0 ]
