#!/bin/sh
# A caller's key lets a request that is not idempotent run at most once, at
# whichever instance it arrives, and whatever happens to the claim's write.
# Guards against duplicate replies, the most severe failure of a user.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$document"
start_worker w-1

# post LABEL ENTRY KEY PATH [CURL-ARGUMENT...]
post() {
	l=$1 e=$2 k=$3 p=$4
	shift 4
	call "$l" .path -H 'Tg-Workspace: courts' -H "Idempotency-Key: $k" \
		-d x "http://$(http_of "$e")/v1/svc/responder/$p" "$@"
}
document_is() { # ENTRY GENERATION
	[ "$(metric "$1" tg_document_generation)" -eq "$2" ]
}
post_later() {
	l=$1 e=$2 k=$3 p=$4
	later "$l" .path -H 'Tg-Workspace: courts' -H "Idempotency-Key: $k" \
		-d x "http://$(http_of "$e")/v1/svc/responder/$p"
}

echo "# without claims: the same key at two instances runs twice"
start_entry u-1 --unsafe-no-claims
start_entry u-2 --unsafe-no-claims
for e in u-1 u-2; do
	await "w-1 at $e" knows_worker $e w-1 up
done
post u-1 u-1 k0 unclaimed-keys
post u-2 u-2 k0 unclaimed-keys
runs w-1 unclaimed-keys
grep -c 'EV2000.*--unsafe-no-claims' "$tmp/u-1.err"

echo "# with claims: once, the other attempt is told that it is unknown"
start_entry e-1
start_entry e-2
for e in e-1 e-2; do
	await "w-1 at $e" knows_worker $e w-1 up
done
post_later first e-1 k1 'both?work_ms=1500'
await "the first attempt to run" running w-1 1
post second e-2 k1 'both?work_ms=1500'
grep -i tg-ask "$tmp/second.head" | tr -d '\r'
join first
await "a recorded outcome" has_outcome e-2 courts k1 answered
post third e-2 k1 'both?work_ms=1500'
runs w-1 both
call ask '[.outcome, .status]' "http://$e_2_http/v1/requests/courts/k1"
call ask-none .outcome "http://$e_2_http/v1/requests/courts/none"

echo "# a key with other content"
post other-path e-1 k1 other
call other-body .place -H 'Tg-Workspace: courts' -H 'Idempotency-Key: k1' \
	-d y "http://$e_1_http/v1/svc/responder/both?work_ms=1500"
runs w-1 other

echo "# an outcome beyond 8 KiB"
post big e-1 k2 'big?size=20000'
await "a recorded outcome" has_outcome e-2 courts k2 answered
post big-again e-2 k2 'big?size=20000'
cmp "$tmp/big.body" "$tmp/big-again.body" && wc -c <"$tmp/big-again.body"
runs w-1 big

echo "# the answer of the claim's write is lost once: settled, runs once"
fault platform '{"lose_next":1,"only":"table"}'
post lost-once e-1 k3 lost-once
await "a recorded outcome" has_outcome e-2 courts k3 answered
post lost-once-again e-2 k3 lost-once
runs w-1 lost-once

echo "# all answers of the table are lost, protection off: runs twice"
start_entry u-3 --unsafe-dispatch-unclaimed
fault platform '{"outage":"lose_answer","only":"table"}'
post unclaimed u-3 k4 lost-unsafe
fault platform '{}'
await "the release of the claim" row_state claims/courts/k4 released
post unclaimed-again e-2 k4 lost-unsafe
runs w-1 lost-unsafe

echo "# a repetition in an outage, refused without a look at the row: untrue"
start_entry u-4 --unsafe-refuse-unchecked
post ran e-1 k8 repeated
await "a recorded outcome" has_outcome e-2 courts k8 answered
fault platform '{"outage":"refuse","only":"table"}'
post repeated-unchecked u-4 k8 repeated
echo "# the same: unknown, since the table can't tell"
post repeated e-2 k8 repeated
post first-time e-2 k9 first-time
fault platform '{}'
post repeated-after e-2 k8 repeated
runs w-1 repeated
post first-time-after e-2 k9 first-time
runs w-1 first-time

echo "# a refused repetition gets the recorded answer, not \"not-run\""
limited=$(echo "$document" | jq -c '.workspaces[0].rate_per_s = 1')
put_document 2 "$limited"
for i in 1 2 3 4 5 6; do
	post limited-$i e-2 k8 repeated
done | sort -u -k2,2 | sed 's/[0-9]*:/N:/'
put_document 3 "$document"
for e in e-1 e-2; do
	await "the document" document_is $e 3
done

echo "# all answers of the table are lost: unknown, and nothing runs"
fault platform '{"outage":"lose_answer","only":"table"}'
post lost e-1 k5 lost-all
runs w-1 lost-all
fault platform '{}'
await "the release of the claim" row_state claims/courts/k5 released
call ask-released .outcome "http://$e_2_http/v1/requests/courts/k5"
post lost-again e-2 k5 lost-all
runs w-1 lost-all

echo "# the deadline passes while the table is slow: unknown, then released"
fault platform '{"slow_ms":1500,"only":"table"}'
post slow e-1 k6 slow -H 'Tg-Deadline-Ms: 300'
fault platform '{}'
await "the release of the claim" row_state claims/courts/k6 released
post slow-again e-2 k6 slow
runs w-1 slow

echo "# the claiming instance dies with the request"
post_later dying e-1 k7 'dying?work_ms=2000'
await "the request to run" running w-1 1
crash e-1
join dying
post dying-again e-2 k7 'dying?work_ms=2000'
runs w-1 dying
stop e-2
