#!/bin/sh
# An entry daemon that is started again while the platform is down serves: it
# takes the document and the backend servers from a peer.  Guards against an
# instance that reports ready and refuses every request.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$document"
start_worker w-1
start_entry e-1
start_entry e-2
await "peers" sees_peers e-1 1
await "peers" sees_peers e-2 1
for e in e-1 e-2; do
	await "the worker at $e" knows_worker $e w-1 up
done
fault platform '{"outage":"refuse"}'
crash e-1
start e-1 tgentryd --instance=e-1 --az=a --platform="$platform_http" \
	--peers="$e_2_rpc"
await "readiness" curl -sf "http://$e_1_http/readyz"
# The full set of notes is sent every 10 s; a peer that serves has seen it.
i=0
until knows_worker e-1 w-1 up >/dev/null || [ $i -gt 150 ]; do
	i=$((i + 1))
	sleep 0.1
done
call peer .path -H 'Tg-Workspace: courts' -d x \
	"http://$e_2_http/v1/svc/responder/peer"
call restarted .path -H 'Tg-Workspace: courts' -d x \
	"http://$e_1_http/v1/svc/responder/restarted"
