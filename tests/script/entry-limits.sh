#!/bin/sh
# Limits of workspaces, the queue, and deadlines.  Guards against a workspace
# that takes the slots of others, and against requests that wait although
# their deadline can't be met.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$(echo "$document" | jq '.services[].timeout_ms = 30000 |
	.services[1].queue = 2 | .workspaces += [{"name":"rated",
	"max_in_flight":64,"rate_per_s":1}] |
	.services[1].workspaces = ["courts", "rated"]')"
start_worker w-1 --slots=2
start_entry e-1
await "backend server" knows_worker e-1 w-1 up
url=http://$e_1_http/v1/svc

queued() {
	[ "$(metric e-1 "tg_queue_length{service=\"$1\"}")" -eq "$2" ]
}

echo "# in flight: the third request of the workspace is refused"
later one .path -H 'Tg-Workspace: small' "$url/responder/one?work_ms=2000"
later two .path -H 'Tg-Workspace: small' "$url/responder/two?work_ms=2000"
await "two requests to run" running w-1 2
call three .place -H 'Tg-Workspace: small' "$url/responder/three"
join one two
call four .path -H 'Tg-Workspace: small' "$url/responder/four"

echo "# rate: one request/s"
call rated-1 .path -H 'Tg-Workspace: rated' "$url/brisk/rated"
for i in 2 3 4 5 6 7 8; do
	call "rated-$i" .place -H 'Tg-Workspace: rated' "$url/brisk/rated"
done | grep -q '429 not-run "Tg-Workspace"' && echo "refused"

echo "# the queue of a service holds two"
for i in 1 2; do
	later "run-$i" .path -H 'Tg-Workspace: courts' \
		"$url/brisk/run?work_ms=3000"
done
await "two requests to run" running w-1 2
for i in 1 2; do
	later "wait-$i" .path -H 'Tg-Workspace: courts' "$url/brisk/wait"
done
await "two requests in the queue" queued brisk 2
call full .error -H 'Tg-Workspace: courts' "$url/brisk/full"

echo "# the deadline passes in the queue: not run"
call late .error -H 'Tg-Workspace: courts' -H 'Tg-Deadline-Ms: 200' \
	-d x "$url/responder/late"
join run-1 run-2 wait-1 wait-2
runs w-1 late

echo "# a caller that goes away keeps its slot until the server is done"
curl -s -m 1 -H 'Tg-Workspace: small' -d x \
	"$url/responder/gone?work_ms=4000" >/dev/null
curl -s -m 1 -H 'Tg-Workspace: small' -d x \
	"$url/responder/gone?work_ms=4000" >/dev/null
call counted .place -H 'Tg-Workspace: small' "$url/responder/counted"
await "the server to be idle" running w-1 0
call freed .path -H 'Tg-Workspace: small' "$url/responder/freed"

echo "# short deadlines of one caller do not make the server failing"
for i in 1 2 3 4; do
	call "short-$i" . -H 'Tg-Workspace: small' -H 'Tg-Deadline-Ms: 100' \
		-d x "$url/responder/short?work_ms=400" | cut -d' ' -f2-3
	await "the server to be idle" running w-1 0
done
knows_worker e-1 w-1 up >/dev/null && echo "up"

echo "# a caller that goes away in the middle of its reply"
curl -s -H 'Tg-Workspace: courts' "$url/responder/half?size=4000000" |
	head -c 10 | wc -c
call after .path -H 'Tg-Workspace: courts' "$url/responder/after"
stop e-1
