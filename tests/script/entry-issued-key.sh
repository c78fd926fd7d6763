#!/bin/sh
# A key that an entry daemon issued makes its home run the request at most
# once, whichever instance it reaches, also without the table.  Guards against
# a second run, and against a request lost in an outage that could be served.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$document"
start_worker w-1

new_key() {
	curl -s -X POST "http://$(http_of "$1")/v1/keys" | jq -r .key
}
post() {
	l=$1 e=$2 k=$3 p=$4
	shift 4
	call "$l" .path -H 'Tg-Workspace: courts' -H "Idempotency-Key: $k" \
		-d x "http://$(http_of "$e")/v1/svc/responder/$p" "$@"
}
post_later() {
	l=$1 e=$2 k=$3 p=$4
	later "$l" .path -H 'Tg-Workspace: courts' -H "Idempotency-Key: $k" \
		-d x "http://$(http_of "$e")/v1/svc/responder/$p"
}

echo "# not passed to the home: runs twice"
start_entry u-1 --unsafe-run-anywhere
start_entry u-2 --unsafe-run-anywhere
for e in u-1 u-2; do
	await "w-1 at $e" knows_worker $e w-1 up
done
key=$(new_key u-1)
post u-1 u-1 "$key" anywhere
post u-2 u-2 "$key" anywhere
runs w-1 anywhere
for e in u-1 u-2; do
	curl -sf -o /dev/null -X DELETE \
		"http://$platform_http/standin/instances/$e"
	stop $e
done

start_entry e-1
start_entry e-2
start_entry e-3
for e in e-1 e-2 e-3; do
	await "peers of $e" sees_peers $e 2
	await "w-1 at $e" knows_worker $e w-1 up
done

echo "# passed to the home, which runs it once for all who wait"
key=$(new_key e-1)
echo "$key" | sed 's/\.[0-9a-f]\{16\}\./.BOOT./'
call unused .outcome "http://$e_2_http/v1/requests/courts/$key"
post_later first e-2 "$key" 'once?work_ms=1500'
await "the request to run" running w-1 1
call running .outcome "http://$e_3_http/v1/requests/courts/$key"
post_later second e-3 "$key" 'once?work_ms=1500'
post_later third e-1 "$key" 'once?work_ms=1500'
join first second third
runs w-1 once
call ask '[.outcome, .status]' "http://$e_3_http/v1/requests/courts/$key"
call ask-other .outcome "http://$e_3_http/v1/requests/small/$key"

echo "# other content, a forged number, a large answer"
post other e-2 "$key" other
post forged e-2 "${key%.*}.99" forged
runs w-1 forged
big=$(new_key e-3)
post big e-2 "$big" 'big?size=200000'
wc -c <"$tmp/big.body"

echo "# table and objects down: issued keys and requests without key run"
fault platform '{"outage":"refuse"}'
call no-key .path -H 'Tg-Workspace: courts' -d x \
	"http://$e_2_http/v1/svc/responder/outage-none"
post callers e-2 my-key outage-callers
out=$(new_key e-1)
post issued e-2 "$out" outage-issued
post issued-again e-3 "$out" outage-issued
runs w-1 outage-callers
runs w-1 outage-issued
call ask-outage .outcome "http://$e_2_http/v1/requests/courts/my-key"
fault platform '{}'
await "the outcome in the table" row_state "claims/courts/$out" done

echo "# a request that did not run leaves the key unused"
fault w-1 '{"draining":true}'
await "the drain" knows_worker e-1 w-1 draining
free=$(new_key e-1)
post refused e-2 "$free" free
fault w-1 '{}'
# A note of the other daemon's earlier probe may arrive after the first "up".
for e in e-1 e-2; do
	await "end of the drain" knows_worker $e w-1 up
done
post served e-2 "$free" free
runs w-1 free

echo "# the home dies: recorded outcomes are there, others are unknown"
await "the outcome in the table" row_state "claims/courts/$key" done
late=$(new_key e-1)
crash e-1
post recorded e-2 "$key" 'once?work_ms=1500'
post unused e-2 "$late" unused
call ask-late .outcome "http://$e_2_http/v1/requests/courts/$late"
runs w-1 once
runs w-1 unused

echo "# the home is there again under another boot: still unknown"
start_entry e-1
await "peers" sees_peers e-2 2
post restarted e-2 "$late" unused
post restarted-home e-1 "$late" unused
runs w-1 unused
stop e-1
stop e-2
stop e-3
