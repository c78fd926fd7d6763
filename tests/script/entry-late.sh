#!/bin/sh
# A backend server answers after the deadline on a connection of the pool, and
# another caller's request follows.  Guards against answers that reach the
# wrong caller.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$document"
start_worker w-1 --slots=1

# late_then_next ENTRY: the first request times out, the second is prompt
late_then_next() {
	url=http://$(http_of "$1")/v1/svc/responder
	call "warm-$1" .path -H 'Tg-Workspace: courts' "$url/warm"
	fault w-1 '{"answer_late_ms":900}'
	call "first-$1" .path -H 'Tg-Workspace: courts' \
		-H 'Tg-Deadline-Ms: 500' -d x "$url/first"
	fault w-1 '{}'
	call "second-$1" '[.path, .workspace]' -H 'Tg-Workspace: small' \
		"$url/second"
}

echo "# reuse after a timeout: the second caller gets the first one's answer"
start_entry u-1 --unsafe-reuse-after-timeout
await "backend server" knows_worker u-1 w-1 up
late_then_next u-1
stop u-1

echo "# the connection is closed: the second caller gets its own"
start_entry e-1
await "backend server" knows_worker e-1 w-1 up
late_then_next e-1
stop e-1
