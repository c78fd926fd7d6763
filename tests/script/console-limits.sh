#!/bin/sh
# Wrong operator keys are limited by address, and objects that no row names are
# deleted.  Guards against unbounded guesses of the key, against a limit that
# keeps operators of other addresses out, and against objects that stay for
# ever after each change.
. "$(dirname "$0")/../lib.sh"
key=operator-key-0123456789
echo "$key" >"$tmp/key"
start platform platformd --log-level=warn
start console tgconsoled --instance=c-1 --az=a --drain-grace-ms=0 \
	--platform="$platform_http" --operator-key-file="$tmp/key" \
	--wrong-keys-per-min=30 --secure-cookie
url=http://$console_http

# status CURL-ARGUMENT...
status() {
	curl -s -o "$tmp/body" -D "$tmp/head" -w '%{http_code}' "$@"
}
document() { # KEY CURL-ARGUMENT...
	k=$1
	shift
	status -H "Authorization: Bearer $k" "$url/v1/document" "$@"
}

echo "# cookie"
echo "login: $(status -d "name=ada&key=$key" "$url/login")"
grep -o 'Max-Age.*Secure' "$tmp/head"

echo "# wrong keys"
echo "first: $(document wrong-key)"
# limited COMMAND...: whether it is refused right after a wrong key was.  Time
# may make up for one wrong key in between, so it is tried again.
limited() {
	until [ "$(document wrong-key)" = 429 ]; do
		:
	done
	[ "$("$@")" = 429 ]
}
await "a refused right key" limited document "$key"
echo "right key: refused"
await "a refused login" limited status -d "name=ada&key=$key" "$url/login"
echo "login: refused"
limited document wrong-key
grep -c '^Retry-After: [1-9]' "$tmp/head"
echo "other address: $(document "$key" --interface 127.0.0.2)"
accepted() {
	[ "$(document "$key")" = 200 ]
}
await "the end of the limit" accepted
echo "right key later: $(document "$key")"

# put GENERATION: saves a document made from GENERATION
put() {
	status -H "Authorization: Bearer $key" -X PUT \
		-d "{\"version\":1,\"weights\":{\"completion\":$1}}" \
		"$url/v1/document?generation=$1"
}
# named: objects that the row names
named() {
	curl -s "http://$platform_http/v1/table/row?key=config/current" |
		jq -r '.value.history[].object'
}
# kept NAME...: how many of these objects there are
kept() {
	for o in "$@"; do
		curl -s -o "$tmp/object" -w '%{http_code}\n' \
			"http://$platform_http/v1/objects/$o"
	done | grep -c 200
}
kept_are() { # COUNT NAME...
	n=$1
	shift
	[ "$(kept "$@")" = "$n" ]
}

echo "# objects"
g=0
while [ $g -lt 8 ]; do
	put $g >"$tmp/status"
	g=$((g + 1))
done
first=$(named)
# shellcheck disable=SC2086
echo "of the first 8: $(kept $first)"
while [ $g -lt 40 ]; do
	put $g >"$tmp/status"
	g=$((g + 1))
done
# shellcheck disable=SC2086
await "the deletions" kept_are 0 $first
# shellcheck disable=SC2046
echo "of the 32 that the row names: $(kept $(named))"

echo "# a lost race"
objects() {
	curl -s "http://$platform_http/standin/stats" | jq .objects
}
objects
fault platform '{"slow_ms":300,"paths":"/v1/table/txn"}'
put 40 >"$tmp/one" &
one=$!
put 40 >"$tmp/two"
wait "$one"
echo "$(cat "$tmp/one") $(cat "$tmp/two")" | tr ' ' '\n' | sort
fault platform '{}'
objects_are() {
	[ "$(objects)" = "$1" ]
}
await "the deletion of the loser's" objects_are 32
# shellcheck disable=SC2046
echo "of the 32 that the row names: $(kept $(named))"
stop console
