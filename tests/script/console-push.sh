#!/bin/sh
# A saved document is in force at the AZ's daemons at once, and a console that
# is stopped ends the save in progress.  Guards against changes that wait for
# the next poll, and against a stop that leaves an operator without an answer.
. "$(dirname "$0")/../lib.sh"
key=operator-key-0123456789
echo "$key" >"$tmp/key"
auth="Authorization: Bearer $key"

# start_console NAME FLAG...: sets url
start_console() {
	c=$1
	shift
	start "$c" tgconsoled --instance=c-1 --az=a --drain-grace-ms=0 \
		--platform="$platform_http" --operator-key-file="$tmp/key" "$@"
	url=http://$(http_of "$c")/v1/document
	await "readiness" curl -sf "http://$(http_of "$c")/readyz"
	# From then on the next read of the table is that of a save.
	await "the document" grep -q EV1600 "$tmp/$c.err"
}
reads_reach() {
	[ "$(metric "$1" tg_table_reads_total)" -ge "$2" ]
}
# stop_in_save CONSOLE GENERATION: SIGTERM while it saves; prints both ends
stop_in_save() {
	rm -f "$tmp/slow"
	fault platform '{"slow_ms":500}'
	reads=$(($(metric "$1" tg_table_reads_total) + 1))
	curl -s -X PUT -H "$auth" -o "$tmp/slow" \
		-d '{"version":1,"weights":{"completion":1}}' \
		"$url?generation=$2" &
	slow=$!
	await "the save to begin" reads_reach "$1" "$reads"
	kill -TERM "$(pid_of "$1")"
	[ -e "$tmp/slow" ] && echo "answered before the stop"
	wait $slow
	echo "curl $?"
	wait "$(pid_of "$1")"
	echo "ended with $?"
	forget "$(pid_of "$1")"
	fault platform '{}'
}

start platform platformd --log-level=warn
put_document 1 "$document"
echo "# without the drain: no answer to a save when the console is stopped"
start_console unsafe --drain-max-ms=0
stop_in_save unsafe 1

start_entry e-1
start_console console
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
stop_in_save console 3
jq .generation "$tmp/slow"
await "generation 4" in_force 4
