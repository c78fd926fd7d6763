# What callers, workers and daemons saw, as JSON lines in $tmp/history.
# Sourced by random-run.sh.
# shellcheck shell=sh

now_ms() { "$TG_BIN/faultsteps" --now; }

# record JQ-ARGUMENT... PROGRAM: one line
record() {
	jq -nc "$@" >>"$tmp/history"
}

note() {
	echo "$(now_ms) $1" >>"$tmp/notes.err"
}

# attempt NUMBER ENTRY KIND KEY METHOD PATH: one call of a caller; $6 is unique
# to a request, so that what the workers ran can be matched with it.
attempt() {
	a=$1 e=$2 kind=$3 key=$4 method=$5 path=$6
	f=$tmp/attempt-$a
	begin=$(now_ms)
	set -- -s -m 20 -X "$method" -H 'Tg-Workspace: courts' \
		-H 'Tg-Deadline-Ms: 4000'
	[ -n "$key" ] && set -- "$@" -H "Idempotency-Key: $key"
	[ "$method" = POST ] && set -- "$@" --data-binary "body of $path"
	: >"$f.head"
	: >"$f.body"
	status=$(curl "$@" -D "$f.head" -o "$f.body" -w '%{http_code}' \
		"http://$(http_of "$e")/v1/svc/responder/$path")
	rc=$?
	outcome=$(tr -d '\r' <"$f.head" | sed -n 's/^Tg-Outcome: //p')
	jq -nc --arg a "$a" --arg e "$e" --arg kind "$kind" --arg key "$key" \
		--arg method "$method" --arg path "/$path" \
		--arg outcome "$outcome" --arg sent "body of $path" \
		--argjson status "${status:-0}" --argjson rc "$rc" \
		--argjson from "$begin" --argjson to "$(now_ms)" \
		--rawfile body "$f.body" '{kind: "attempt", attempt: $a,
		entry: $e, key_kind: $kind, key: $key, method: $method,
		path: $path, sent: (if $method == "POST" then $sent else ""
		end), curl: $rc, status: $status, outcome: $outcome,
		begin_ms: $from, end_ms: $to, body: $body}' >"$f.json"
}

# call_line FILE CURL-ARGUMENT...: sets status, outcome, body and ends of a
# call, and times, the fields of these in a record
call_line() {
	f=$1
	shift
	: >"$f.head"
	: >"$f.body"
	begin=$(now_ms)
	status=$(curl -s -m 10 -D "$f.head" -o "$f.body" -w '%{http_code}' "$@")
	rc=$?
	status=${status:-0}
	times="{\"curl\":$rc,\"begin_ms\":$begin,\"end_ms\":$(now_ms)}"
	outcome=$(tr -d '\r' <"$f.head" | sed -n 's/^Tg-Outcome: //p')
}

# watch_generations: what each entry daemon has in force
watch_generations() {
	for w in $entries; do
		is_up "$w" || continue
		g=$(curl -s -m 0.3 "http://$(http_of "$w")/v1/document" |
			jq -r '.generation // empty' 2>/dev/null)
		[ -z "$g" ] && continue
		echo "{\"kind\":\"generation\",\"process\":\"$(run_of "$w")\"," \
			"\"source\":\"api\",\"generation\":$g}" >>"$tmp/history"
	done
}

# collect: joins all records into $tmp/history
collect() {
	for f in "$tmp"/*.json; do
		[ -s "$f" ] || record --arg w "record of $(basename "$f")" \
			'{kind: "not-reached", what: $w}'
	done
	cat "$tmp"/*.json "$tmp"/*.log >>"$tmp/history" 2>/dev/null
	for f in "$tmp"/*.run-*.err; do
		p=$(basename "$f" .err)
		sed -n 's/.*EV1600 .*generation=\([0-9]*\).*/\1/p' "$f" |
			while read -r g; do
				echo "{\"kind\":\"generation\"," \
					"\"process\":\"$p\",\"source\":\"log\"," \
					"\"generation\":$g}"
			done >>"$tmp/history"
	done
	curl -s -m 10 \
		"http://$platform_http/standin/history?prefix=config/current" \
		>"$tmp/versions"
	jq -c '(if type == "array" then . else (.history // .versions // .rows)
		end)[] | select(.version > 0) | .value' "$tmp/versions" |
		while read -r v; do
			object=$(echo "$v" | jq -r .object)
			curl -s -m 10 "http://$platform_http/v1/objects/$object" |
				jq -c --argjson v "$v" '{kind: "version",
					generation: $v.generation,
					marker: .workspaces[-1].name}'
		done >>"$tmp/history"
}
