#!/bin/sh
# Backend servers that break or vanish.  Guards against a second run of a
# request that is not idempotent, and against an answer "not-run" when a byte
# was handed over.
#
# Also guards against an answer that is cut short and passed on as whole.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$document"
start_worker w-1
start_worker w-2

both_up() {
	await "w-1" knows_worker "$1" w-1 up
	await "w-2" knows_worker "$1" w-2 up
}
total_runs() {
	echo $(($(runs w-1 "$1") + $(runs w-2 "$1")))
}

echo "# both read and close; protection off: a POST runs more than once"
start_entry u-1 --unsafe-retry-all
both_up u-1
fault w-1 '{"close_after_read":true}'
fault w-2 '{"close_after_read":true}'
call retried .error -H 'Tg-Workspace: courts' -d x \
	"http://$u_1_http/v1/svc/responder/post-unsafe"
total_runs post-unsafe
stop u-1

echo "# both read and close: a POST runs once, a GET is tried on both"
start_entry e-1
both_up e-1
url=http://$e_1_http/v1/svc/responder
call post .error -H 'Tg-Workspace: courts' -d x "$url/post-broken"
total_runs post-broken
call get .error -H 'Tg-Workspace: courts' "$url/get-broken"
total_runs get-broken
fault w-1 '{}'
fault w-2 '{}'

cut_short() { # LABEL ENTRY CURL-ARGUMENT...
	l=$1 e=$2
	shift 2
	call "$l" .error -H 'Tg-Workspace: courts' "$@" \
		"http://$(http_of "$e")/v1/svc/responder/$l"
	echo "body: $(head -c 20 "$tmp/$l.body" | grep -o 'half of')"
	total_runs "$l"
}
echo "# an answer without length is cut short; protection off: it is passed on"
start_entry u-2 --unsafe-pass-undelimited
both_up u-2
fault w-1 '{"undelimited":true}'
fault w-2 '{"undelimited":true}'
cut_short off-get u-2
cut_short off-post u-2 -d x
stop u-2

echo "# it is not: the outcome of a POST is unknown, a GET is tried on both"
cut_short on-get e-1
cut_short on-post e-1 -d x
fault w-1 '{}'
fault w-2 '{}'

echo "# one closes: GETs are answered by the other"
fault w-1 '{"close_after_read":true}'
for i in 1 2 3 4 5 6; do
	call "get-$i" .worker -H 'Tg-Workspace: courts' "$url/get-one"
done | cut -d: -f2 | sort | uniq -c
fault w-1 '{}'

echo "# it dies after half a request"
fault w-2 '{"draining":true}'
await "w-2 draining" knows_worker e-1 w-2 draining
await "w-1 up again" knows_worker e-1 w-1 up
kill -STOP "$w_1_pid"
head -c 700000 /dev/zero >"$tmp/body"
later half .error -H 'Tg-Workspace: courts' --data-binary "@$tmp/body" \
	"$url/half"
sent() {
	[ "$(metric e-1 tg_attempts_total)" -gt "$1" ]
}
await "the request to be sent" sent "$(($(metric e-1 tg_attempts_total) - 1))"
busy() {
	curl -s "http://$e_1_http/v1/workers" |
		jq -e '.workers[] | select(.worker == "w-1").own_requests == 1'
}
await "the request to be in flight" busy
crash w-1
fault w-2 '{}'
join half
runs w-2 half

echo "# dead and still listed: nothing was handed over, the other one answers"
await "w-2 up" knows_worker e-1 w-2 up
for i in 1 2 3 4 5 6; do
	call "post-$i" .worker -H 'Tg-Workspace: courts' -d x "$url/post-dead"
done
runs w-2 post-dead

echo "# none left"
crash w-2
call none . -H 'Tg-Workspace: courts' -d x "$url/none" |
	cut -d" " -f1-3
stop e-1
