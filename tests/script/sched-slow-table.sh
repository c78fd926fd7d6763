# Writes of the table take effect and their answers are lost, so that each is
# given up after 3 s.  Guards against standbys that take the row from a holder
# whose renewals are only slow, and against a claim that took effect while its
# process does not know, which leaves the row to nobody.
. "$TG_TESTS/sched-lib.sh"
# The row changes every 3.5 s to 4.5 s; its lease with the rule is 6 s.
export TG_SCHED_RENEW_MS=500 TG_SCHED_LEASE_MS=1500

rows() { # FILTER: of the versions of the row
	get "$platform_http" "/standin/history?prefix=sched/a" |
		jq -c "[.. | objects | select(has(\"boot\"))] | $1"
}
has_rows() { # FILTER
	[ "$(rows "$1")" = true ]
}
changes='[.[].boot] as $b | [range(1; $b | length) |
	select($b[.] != $b[. - 1])] | length'
lose='{"paths":"/v1/table/txn","outage":"lose_answer"}'

holder() { # TEXT FLAG...
	text=$1
	shift
	platform
	plain_document
	worker w1
	sched s1 "$@"
	await "s1 is ready" ready s1 1
	sched s2 "$@"
	await "s2 sees s1" knows s2 1
	faults "$lose"
	before=$(rows length)
	if [ $# -gt 0 ]; then
		await "two takeovers" has_rows "($changes) >= 2"
		echo "$text: the row changes hands again and again"
	else
		await "renewals" has_rows "length >= $((before + 4))"
		echo "$text: changes of hands: $(rows "$changes")"
		faults '{}'
		await "s1 is ready" ready s1 1
	fi
	for n in s1 s2 w1 platform; do
		stop_hard $n
	done
}

claim() { # TEXT FLAG...
	text=$1
	shift
	platform
	plain_document
	worker w1
	faults "$lose"
	sched s1 "$@"
	if [ $# -gt 0 ]; then
		await "a second claim" has_rows 'any(.[]; .epoch >= 2)'
		echo "$text: claims known to be won: $(grep -c EV3000 "$W/s1.err")"
	else
		await "the claim is known" grep -q EV3000 "$W/s1.err"
		faults '{}'
		await "s1 is ready" ready s1 1
		echo "$text: epochs $(rows '[.[].epoch] | unique')"
	fi
	for n in s1 w1 platform; do
		stop_hard $n
	done
}

holder "any holder" --unsafe-ignore-holder
holder "a holder that answers"
claim "unknown claims dropped" --unsafe-ignore-holder
claim "unknown claims read back"
