#!/bin/sh
# A backend server is leaving while the platform still lists it as live.
# Guards against new requests to a server that is about to end; what it says
# of itself beats the list, also at the instance that does not probe it.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$document"
start_worker w-1
start_worker w-2

# refused: requests that w-1 had to refuse
refused() {
	curl -s "http://$w_1_http/standin/stats" | jq .not_run
}
send_many() {
	i=0
	while [ $i -lt 20 ]; do
		i=$((i + 1))
		call "$1-$i" .worker -H 'Tg-Workspace: courts' -d x \
			"http://$(http_of "$1")/v1/svc/responder/a"
	done | cut -d: -f2 | sort | uniq -c
}

echo "# protection off: the leaving server is still sent requests"
start_entry u-1 --unsafe-ignore-draining
await "w-1" knows_worker u-1 w-1 up
await "w-2" knows_worker u-1 w-2 up
fault w-1 '{"draining":true}'
await "the probe" knows_worker u-1 w-1 draining
send_many u-1 >/dev/null
[ "$(refused)" -gt 0 ] && echo "w-1 got requests"
curl -sf -o /dev/null -X DELETE \
	"http://$platform_http/standin/instances/u-1"
stop u-1
fault w-1 '{}'

echo "# both instances leave it out, one learns it by a note"
start_entry e-1
start_entry e-2
await "peers" sees_peers e-1 1
await "peers" sees_peers e-2 1
for e in e-1 e-2; do
	await "w-1" knows_worker $e w-1 up
	await "w-2" knows_worker $e w-2 up
done
before=$(refused)
fault w-1 '{"draining":true}'
for e in e-1 e-2; do
	await "word of the drain" knows_worker $e w-1 draining
done
send_many e-1
send_many e-2
echo "refused by w-1: $(($(refused) - before))"
curl -s "http://$platform_http/v1/instances?az=a" |
	jq -c '.instances[] | select(.name == "w-1") | .state'

echo "# operators drain a worker in the document"
fault w-1 '{}'
for e in e-1 e-2; do
	await "end of the drain" knows_worker $e w-1 up
done
put_document 2 "$(echo "$document" | jq '.drains = [{"worker":"w-1"}]')"
for e in e-1 e-2; do
	await "the drain of the document" knows_worker $e w-1 draining
done
send_many e-1
send_many e-2

echo "# the list loses a worker that answers its probes"
put_document 3 "$document"
for e in e-1 e-2; do
	await "end of the drain" knows_worker $e w-1 up
done
curl -sf -o /dev/null -X DELETE "http://$platform_http/standin/instances/w-1"
start_worker w-3
await "the next list" knows_worker e-1 w-3 up
knows_worker e-1 w-1 up >/dev/null && echo "up"
stop e-1
stop e-2
