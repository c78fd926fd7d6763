#!/bin/sh
# Documents reach all entry daemons and never revert.  Guards against a daemon
# that serves by an old document, or by one that does not validate.
. "$(dirname "$0")/../lib.sh"
start platform platformd

echo "# not ready without a document"
start e-1 tgentryd --instance=e-1 --az=a --platform="$platform_http"
register_entry e-1 a
call ready .error "http://$e_1_http/readyz"
call early .error -H 'Tg-Workspace: courts' \
	"http://$e_1_http/v1/svc/responder/a"

generation_is() {
	[ "$(curl -s "http://$(http_of "$1")/v1/document" |
		jq .generation)" = "$2" ]
}
put_document 5 "$document"
await "the first document" generation_is e-1 5
start_entry e-2
start_entry e-3
start_entry e-4
await "peers" sees_peers e-1 3

echo "# a new one is in force at all"
put_document 6 "$(echo "$document" | jq '.workspaces[0].max_in_flight = 7')"
for e in e-1 e-2 e-3 e-4; do
	await "generation 6 at $e" generation_is $e 6
done
echo done

echo "# one that does not validate is refused, the old one stays"
put_document 7 '{"version":1,"workspaces":[{"name":"A B"}]}'
refused() {
	[ "$(metric "$1" tg_documents_refused_total)" -gt 0 ]
}
await "a refusal" refused e-1
generation_is e-1 6 && echo "6 in force"

# push ENTRY GENERATION: as a peer with a late or repeated document does
push() {
	"$TG_BIN/rpcjob" "$(rpc_of "$1")" push "$2" "$document"
}
reads_reach() {
	[ "$(metric "$1" tg_table_reads_total)" -ge "$2" ]
}
# polls ENTRY: two reads of the row by it begin and end.  The third begins only
# when the second is evaluated.
polls() {
	await "two polls of $1" reads_reach "$1" \
		"$(($(metric "$1" tg_table_reads_total) + 3))"
}

echo "# protection off: a lower generation is applied, pushed or polled"
six=$(echo "$document" | jq '.workspaces[0].max_in_flight = 7')
put_document 6 "$six"
# Alone in its AZ, so that it polls every second.
start u-1 tgentryd --instance=u-1 --az=off --platform="$platform_http" \
	--unsafe-apply-any-generation
await "generation 6 at u-1" generation_is u-1 6
push u-1 3
await "generation 6 again, from the row" generation_is u-1 6
put_document 3 "$document"
await "generation 3, from the row" generation_is u-1 3
echo "3 in force"
stop u-1

echo "# a lower generation is not applied, pushed or polled"
put_document 6 "$six"
start p-1 tgentryd --instance=p-1 --az=off --platform="$platform_http"
await "generation 6 at p-1" generation_is p-1 6
put_document 3 "$document"
polls p-1
for e in p-1 e-1 e-2 e-3 e-4; do
	push $e 3
	generation_is $e 6 && echo "6 in force at $e"
done
stop p-1
put_document 8 "$document"
await "generation 8" generation_is e-2 8
put_document 4 "$document"
start_entry e-5 --peers="$e_1_rpc"
await "generation 8 from a peer" generation_is e-5 8
for e in e-1 e-2 e-3 e-4; do
	await "generation 8 at $e" generation_is $e 8
done

echo "# without the platform a peer gives the document"
crash platform
start e-6 tgentryd --instance=e-6 --az=a --peers="$e_1_rpc"
await "generation 8" generation_is e-6 8
call ready . "http://$e_6_http/readyz"
for e in e-1 e-2 e-3 e-4 e-5 e-6; do
	stop $e
done
