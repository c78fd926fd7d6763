#!/bin/sh
# A saved document is in force at the AZ's daemons at once, and a console that
# is stopped ends the save in progress.  Guards against changes that wait for
# the next poll, and against a stop that leaves an operator without an answer.
. "$(dirname "$0")/../lib.sh"
key=operator-key-0123456789
echo "$key" >"$tmp/key"
start platform platformd --log-level=warn
put_document 1 "$document"
start_entry e-1
start console tgconsoled --instance=c-1 --az=a --drain-grace-ms=0 \
	--platform="$platform_http" --operator-key-file="$tmp/key"
url=http://$console_http/v1/document
auth="Authorization: Bearer $key"
await "readiness" curl -sf "http://$console_http/readyz"
await "the entry daemon as a peer" sees_peers console 1

call put .generation -X PUT -H "$auth" -d '{"version":1}' "$url?generation=1"
in_force() { # GENERATION
	curl -s "http://$e_1_http/v1/document" |
		jq -e --argjson g "$1" '.generation == $g'
}
await "generation 2" in_force 2
echo "pushed $(metric console tg_document_pushes_total)"

echo "# clients that go away while the platform is slow"
curl -s -c "$tmp/jar" -o /dev/null -d "name=Ada&key=$key" \
	"http://$console_http/login"
fault platform '{"slow_ms":400}'
saves_before=$(metric console 'tg_console_saves_total{outcome="done"}')
curl -s -m 0.1 -H "$auth" "$url"
curl -s -m 0.1 -H "$auth" "$url/history"
curl -s -m 0.1 -b "$tmp/jar" "http://$console_http/"
curl -s -m 0.1 -b "$tmp/jar" "http://$console_http/history"
curl -s -m 0.1 -X PUT -H "$auth" -d '{"version":1}' "$url?generation=2"
has_saved() {
	[ "$(metric console 'tg_console_saves_total{outcome="done"}')" -gt \
		"$saves_before" ]
}
await "the save without its client" has_saved
fault platform '{}'
call after .generation -H "$auth" "$url"

echo "# a save in progress when the console is stopped"
fault platform '{"slow_ms":500}'
reads=$(metric console tg_table_reads_total)
curl -s -X PUT -H "$auth" -d '{"version":1,"weights":{"completion":1}}' \
	-o "$tmp/slow" "$url?generation=3" &
slow=$!
is_saving() {
	[ "$(curl -s "http://$console_http/metrics" |
		awk '/^tg_table_reads_total/ { print $2 }')" -gt "$reads" ]
}
await "the save to begin" is_saving
kill -TERM "$console_pid"
[ -e "$tmp/slow" ] && echo "answered before the stop"
wait $slow
jq .generation "$tmp/slow"
wait "$console_pid"
echo "ended with $?"
fault platform '{}'
await "generation 4" in_force 4
