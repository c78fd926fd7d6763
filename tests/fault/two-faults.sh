#!/bin/sh
# Pairs of faults at the same time.  Guards against protections that hold for
# each fault alone: every line says what ran and what the callers were told.
. "$(dirname "$0")/../lib.sh"
export TG_SCHED_RENEW_MS=200 TG_SCHED_LEASE_MS=1000 TG_RENEW_MS=300
export TG_LEASE_MS=4000 TG_CALL_MS=300 TG_WORKER_LOST_MS=2000

post() { # LABEL ENTRY KEY PATH [CURL-ARGUMENT...]
	l=$1 e=$2 k=$3 p=$4
	shift 4
	call "$l" .path -H 'Tg-Workspace: courts' -H "Idempotency-Key: $k" \
		-d x "http://$(http_of "$e")/v1/svc/responder/$p" "$@"
}
post_later() { # LABEL ENTRY KEY PATH
	later "$1" .path -H 'Tg-Workspace: courts' -H "Idempotency-Key: $3" \
		-d x "http://$(http_of "$2")/v1/svc/responder/$4"
}
new_key() {
	curl -s -X POST "http://$(http_of "$1")/v1/keys" | jq -r .key
}
row_exists() {
	curl -sf "http://$platform_http/v1/table/row?key=$1"
}
end_all() { # NAME...: the processes of a pair
	for x in "$@"; do
		crash "$x"
	done
}
start_table() {
	start platform platformd
	put_document 1 "$document"
}
knows_both() { # ENTRY...
	for x in "$@"; do
		await "w-1 at $x" knows_worker "$x" w-1 up
	done
}

lost_claim() { # NAME FLAG...
	n=$1
	shift
	start_table
	start_worker w-1
	start_entry "$n" "$@"
	start_entry e-2
	knows_both "$n" e-2
	# Writes take effect, and the daemon never learns of it.
	fault platform '{"outage":"lose_answer","only":"table","paths":"/v1/table/txn"}'
	post_later dying "$n" k1 'lost-claim?work_ms=1000'
	if [ $# -gt 0 ]; then
		await "the dispatch" running w-1 1
	else
		await "the claim" row_exists claims/courts/k1
	fi
	crash "$n"
	fault platform '{}'
	join dying
	post "again" e-2 k1 'lost-claim?work_ms=1000'
	await "the end of all requests" running w-1 0
	echo "lost-claim ran $(runs w-1 lost-claim) times"
	end_all e-2 w-1 platform
}
echo "# the claim's answer is lost, and the entry daemon dies before dispatch"
echo "protection off:"
lost_claim u-1 --unsafe-no-claims
echo "protection on:"
lost_claim e-1

echo "# a backend server closes after it read, and the table is down"
closing() { # NAME FLAG...
	n=$1
	shift
	start_table
	start_worker w-1
	start_worker w-2
	start_entry "$n" "$@"
	start_entry "$n-2" "$@"
	knows_both "$n" "$n-2"
	await "w-2" knows_worker "$n" w-2 up
	await "peers" sees_peers "$n" 1
	await "peers" sees_peers "$n-2" 1
	key=$(new_key "$n")
	fault platform '{"outage":"refuse"}'
	fault w-1 '{"close_after_read":true}'
	fault w-2 '{"close_after_read":true}'
	post closed "$n-2" "$key" closing
	fault w-1 '{}'
	fault w-2 '{}'
	post closed-again "$n-2" "$key" closing
	post closed-at-home "$n" "$key" closing
	call other .path -H 'Tg-Workspace: courts' -d x \
		"http://$(http_of "$n")/v1/svc/responder/other"
	echo "closing ran $(($(runs w-1 closing) + $(runs w-2 closing))) times"
	fault platform '{}'
	end_all "$n" "$n-2" w-1 w-2 platform
}
echo "protection off:"
closing u-1 --unsafe-retry-all
echo "protection on:"
closing e-1

echo "# the platform hangs, and an entry daemon drains with requests in progress"
start_table
start_worker w-1
start_entry e-1 --drain-grace-ms=1000 --drain-max-ms=8000
start_entry e-2
# Protection off: its drain waits for the table and is cut off at the limit.
start_entry u-1 --drain-grace-ms=1000 --drain-max-ms=8000 \
	--unsafe-drain-until-written
knows_both e-1 e-2 u-1
await "peers" sees_peers e-1 2
await "peers" sees_peers e-2 2
key=$(new_key e-1)
unused=$(new_key e-1)
post_later callers e-1 k2 'drain-callers?work_ms=2000'
post_later unsafe u-1 k3 'drain-unsafe?work_ms=2000'
await "the first requests" running w-1 2
fault platform '{"outage":"hang"}'
post_later issued e-1 "$key" 'drain-issued?work_ms=2000'
later none .path -H 'Tg-Workspace: courts' -d x \
	"http://$e_1_http/v1/svc/responder/drain-none?work_ms=2000"
await "requests in progress" running w-1 4
kill -TERM "$u_1_pid"
stop e-1
stop u-1
grep -c EV1003 "$tmp/u-1.err"
join unsafe callers issued none
post unused e-2 "$unused" drain-unused
call other .path -H 'Tg-Workspace: courts' -d x \
	"http://$e_2_http/v1/svc/responder/drain-other"
fault platform '{}'
post callers-again e-2 k2 'drain-callers?work_ms=2000'
post issued-again e-2 "$key" 'drain-issued?work_ms=2000'
for p in callers issued none unused other; do
	echo "drain-$p ran $(runs w-1 drain-$p) times"
done
end_all e-2 w-1 platform

echo "# servers leave, the list is late, and the entry daemon that probes dies"
leaving() { # NAME FLAG...
	n=$1
	shift
	start platform platformd --list-lag-ms=4000
	put_document 1 "$document"
	for w in w-1 w-2 w-3 w-4; do
		start_worker $w
	done
	start_entry "$n" "$@"
	start_entry "$n-2" "$@"
	for w in w-1 w-2 w-3 w-4; do
		await "$w" knows_worker "$n" $w up
		await "$w" knows_worker "$n-2" $w up
	done
	await "peers" sees_peers "$n" 1
	await "peers" sees_peers "$n-2" 1
	# Rendezvous hashing of these names gives e-1 two of the four workers, so
	# that at least one of the three loses its prober.
	crash "$n"
	for w in w-1 w-2 w-3; do
		fault $w '{"draining":true}'
	done
	for w in w-1 w-2 w-3; do
		await "the drain of $w" knows_worker "$n-2" $w draining
	done
	before=$(leaving_refused)
	i=0
	while [ $i -lt 20 ]; do
		i=$((i + 1))
		call "leaving-$i" .worker -H 'Tg-Workspace: courts' -d x \
			"http://$(http_of "$n-2")/v1/svc/responder/leaving"
	done | cut -d: -f2 | sort | uniq -c
	if [ "$(leaving_refused)" -gt "$before" ]; then
		echo "leaving servers got requests"
	else
		echo "leaving servers got none"
	fi
	curl -s "http://$platform_http/v1/instances?az=a" |
		jq -c '[.instances[] | select(.kind == "worker") | .state]'
	end_all "$n-2" w-1 w-2 w-3 w-4 platform
}
leaving_refused() {
	for w in w-1 w-2 w-3; do
		curl -s "http://$(http_of $w)/standin/stats"
	done | jq -s 'map(.not_run) | add'
}
echo "protection off:"
leaving u-1 --unsafe-ignore-draining
echo "protection on:"
leaving e-1
