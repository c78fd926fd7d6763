#!/bin/sh
# The daemon that issued a key had just restarted, and the one that the request
# reaches has not heard of it.  Guards against taking its last answer, from the
# process before, for proof that the key is lost: the outcome was "unknown" then
# although nothing ran.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$document"
start_worker w-1
start_entry e-1
start_entry e-2
for e in e-1 e-2; do
	await "peer of $e" sees_peers $e 1
	await "w-1 at $e" knows_worker $e w-1 up
done
http=$e_1_http rpc=$e_1_rpc

restart() {
	crash e-1
	start e-1 tgentryd --instance=e-1 --az=a --platform="$platform_http" \
		--http-addr="$http" --rpc-addr="$rpc"
}
new_key() {
	curl -s -X POST "http://$e_1_http/v1/keys" | jq -r .key
}

# e-2 pings e-1 every second, so that it learns of some restarts in time.
for i in 1 2 3 4 5 6; do
	restart
	key=$(new_key)
	call ask .outcome "http://$e_2_http/v1/requests/courts/$key"
done
await "w-1 at e-1" knows_worker e-1 w-1 up
call request .path -H 'Tg-Workspace: courts' -H "Idempotency-Key: $key" \
	-d x "http://$e_2_http/v1/svc/responder/a"
runs w-1 /a

echo "# a key of the process before, whose outcome is recorded"
await "the outcome in the table" row_state "claims/courts/$key" done
restart
call again .path -H 'Tg-Workspace: courts' -H "Idempotency-Key: $key" \
	-d x "http://$e_2_http/v1/svc/responder/a"
call ask .outcome "http://$e_2_http/v1/requests/courts/$key"
runs w-1 /a
stop e-1
stop e-2
