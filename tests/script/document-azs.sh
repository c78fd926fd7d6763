#!/bin/sh
# A saved document is in force at every daemon of two AZs.  Guards against an AZ
# that gets no push of the console and does not poll, or polls seldom.
#
# The time to be in force has a bound of 3 s.  It is asserted by counts, so that
# a slow machine gives the same verdict: the daemons that poll fast read the row
# about once per round of pings, which are sent every second, and the others do
# not need a read of their own.
. "$(dirname "$0")/../lib.sh"
key=operator-key-0123456789
echo "$key" >"$tmp/key"
auth="Authorization: Bearer $key"

# member NAME KIND PROGRAM AZ FLAG...: started and listed
member() {
	m=$1 kind=$2 prog=$3 az=$4
	shift 4
	start "$m" "$prog" --instance="$m" --az="$az" --drain-grace-ms=0 \
		--platform="$platform_http" "$@"
	curl -sf -o /dev/null -d "{\"name\":\"$m\",\"kind\":\"$kind\",
		\"az\":\"$az\",\"addr\":\"$(http_of "$m")\",
		\"rpc_addr\":\"$(rpc_of "$m")\"}" \
		"http://$platform_http/standin/instances"
}
# start_az AZ FLAG...: three entry daemons with these flags, and the others
start_az() {
	az_name=$1
	shift
	for x in 1 2 3; do
		member "e-$az_name$x" entry tgentryd "$az_name" "$@"
	done
	member "s-$az_name" sched tgschedd "$az_name"
	member "c-$az_name" console tgconsoled "$az_name" \
		--operator-key-file="$tmp/key"
}
daemons_of() { # AZ
	echo "e-${1}1 e-${1}2 e-${1}3 s-$1 c-$1"
}
generation_is() {
	[ "$(metric "$1" tg_document_generation)" = "$2" ]
}
in_force() { # GENERATION AZ
	for x in $(daemons_of "$2"); do
		await "generation $1 at $x" generation_is "$x" "$1"
	done
	echo "generation $1 at all daemons of $2"
}
# counts ENTRY PEERS: reads of the row, and rounds of pings to the peers in its
# AZ, both from one answer
counts() {
	curl -s "http://$(http_of "$1")/metrics" | awk -v peers="$2" '
		$1 == "tg_table_reads_total" { reads = $2 }
		$1 == "tg_pings_total" { pings = $2 }
		END { print reads + 0, int(pings / peers) }'
}
rounds_reach() { # ENTRY PEERS ROUNDS
	# shellcheck disable=SC2046
	set -- "$3" $(counts "$1" "$2")
	[ "$3" -ge "$1" ]
}
# sees_own_az ENTRY PEERS: so many other daemons of its AZ are live
sees_own_az() {
	az_of=${1#e-}
	curl -s "http://$(http_of "$1")/v1/peers" |
		jq -e --arg az "${az_of%?}" --argjson n "$2" \
			'[.peers[] | select(.live and .az == $az)] | length == $n'
}
# pushed AZ: whoever has the document first pushes it to the four others
pushed() {
	n=0
	for x in $(daemons_of "$1"); do
		n=$((n + $(metric "$x" tg_document_pushes_total)))
	done
	[ $n -ge 4 ] && echo "pushed in $1"
}
# fast_pollers AZ PEERS: entry daemons that read the row in at least every second
# of six rounds of pings.  Those that poll slowly do so in one of ten.
fast_pollers() {
	fast=0
	for x in 1 2 3; do
		counts "e-$1$x" "$2" >"$tmp/from-$1$x"
	done
	for x in 1 2 3; do
		read -r reads rounds <"$tmp/from-$1$x"
		await "pings of e-$1$x" rounds_reach "e-$1$x" "$2" $((rounds + 6))
		counts "e-$1$x" "$2" >"$tmp/to-$1"
		read -r reads_to rounds_to <"$tmp/to-$1"
		[ $((2 * (reads_to - reads))) -ge $((rounds_to - rounds)) ] &&
			fast=$((fast + 1))
	done
	echo "fast pollers of $1: $fast" >"$tmp/fast-$1"
}
save() { # GENERATION RATE
	call "save-$1" .generation -X PUT -H "$auth" -d "$(echo "$document" |
		jq -c --argjson r "$2" '.workspaces[0].rate_per_s = $r')" \
		"http://$c_a_http/v1/document?generation=$1"
}

start platform platformd --log-level=warn
put_document 1 "$document"
start_az a
start_az b
# Protection off: neither polls nor pulls, and the console pushes only in its AZ.
for x in 1 2 3; do
	member "e-off$x" entry tgentryd off --unsafe-no-document-polls
done
for x in 1 2 3; do
	await "peers of e-a$x" sees_own_az "e-a$x" 4
	await "peers of e-b$x" sees_own_az "e-b$x" 4
	await "peers of e-off$x" sees_own_az "e-off$x" 2
	await "generation 1 at e-off$x" generation_is "e-off$x" 1
done
for x in $(daemons_of a) $(daemons_of b); do
	await "generation 1 at $x" generation_is "$x" 1
done

save 1 500
in_force 2 a
in_force 2 b
pushed b

echo "# six rounds of pings"
fast_pollers a 4 &
fast_a=$!
fast_pollers b 4 &
fast_b=$!
fast_pollers off 2
wait $fast_a
wait $fast_b
cat "$tmp/fast-a" "$tmp/fast-b" "$tmp/fast-off"

save 2 600
in_force 3 a
in_force 3 b
for x in 1 2 3; do
	generation_is "e-off$x" 1 && echo "protection off: generation 1 at e-off$x"
done
