#!/bin/sh
# SIGTERM during requests.  Guards against a planned stop that interrupts a
# request, cuts a reply, or leaves a caller without an answer.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$(echo "$document" | jq '.services[].timeout_ms = 30000')"
start_worker w-1

echo "# cut short: the caller gets no answer"
start_entry u-1 --drain-max-ms=100
await "backend server" knows_worker u-1 w-1 up
later cut .path -H 'Tg-Workspace: courts' -d x \
	"http://$u_1_http/v1/svc/responder/cut?work_ms=2000"
await "the request to run" running w-1 1
stop u-1
join cut
await "the worker to be idle" running w-1 0

echo "# drained: answers, queued requests and large replies are whole"
start_entry e-1 --drain-grace-ms=6000
await "backend server" knows_worker e-1 w-1 up
url=http://$e_1_http/v1/svc/responder
for i in 1 2 3 4 5 6 7 8; do
	later "slow-$i" .path -H 'Tg-Workspace: courts' -d x \
		-H 'Tg-Deadline-Ms: 30000' \
		"$url/slow?work_ms=5000"
done
await "requests to run" running w-1 8
queued() {
	[ "$(metric e-1 'tg_queue_length{service="responder"}')" -eq "$1" ]
}
for i in 1 2 3; do
	later "queued-$i" .path -H 'Tg-Workspace: courts' -d x \
		-H 'Tg-Deadline-Ms: 30000' "$url/queued"
done
await "requests in the queue" queued 3
later big . --limit-rate 2M -H 'Tg-Workspace: courts' \
	-H 'Tg-Deadline-Ms: 30000' "$url/big?size=4000000"
await "another in the queue" queued 4
kill -TERM "$e_1_pid"
not_ready() {
	[ "$(curl -s -o /dev/null -w '%{http_code}' \
		"http://$e_1_http/readyz")" = 503 ]
}
await "readyz to fail" not_ready
call in-grace .path -H 'Tg-Workspace: courts' \
	-H 'Tg-Deadline-Ms: 30000' "$url/grace"
call no-key .error -X POST "http://$e_1_http/v1/keys"
join slow-1 slow-2 slow-3 slow-4 slow-5 slow-6 slow-7 slow-8 \
	queued-1 queued-2 queued-3 big
wc -c <"$tmp/big.body"
wait "$e_1_pid"
echo "e-1 ended with $?"
echo "cut off: $(grep -c EV1003 "$tmp/e-1.err")"
