#!/bin/sh
# A peer's note on a worker is about a start of it that has ended since.  Guards
# against applying it to the worker's present start, which then got no requests
# until the next probe of it or, at a daemon that doesn't probe it, for up to
# 10 s.
. "$(dirname "$0")/../lib.sh"
# The next probe after a note comes too late to hide its effect.
TG_PROBE_MS=1000
export TG_PROBE_MS
start platform platformd
put_document 1 "$document"
start_worker w-1
start_entry e-1
start_entry e-2
for e in e-1 e-2; do
	await "peer of $e" sees_peers $e 1
	await "w-1 at $e" knows_worker $e w-1 up
done

# note SENDER ENTRY STATE: about the start that has ended
note() {
	"$TG_BIN/rpcjob" "$(rpc_of "$2")" note "$1" w-1 "$boot" \
		$((observed + 1)) "$3"
	call "$2-$3" .path -H 'Tg-Workspace: courts' -d x \
		"http://$(http_of "$2")/v1/svc/responder/a"
}

# restart FLAG...: kills w-1, starts it again and sends notes on the former start
restart() {
	probe=$(curl -s "http://$w_1_http/v1/probe")
	boot=$(echo "$probe" | jq -r .boot)
	observed=$(echo "$probe" | jq .now_ms)
	crash w-1
	for e in e-1 e-2; do
		await "end of w-1 at $e" knows_worker $e w-1 down
	done
	start_worker w-1 "$@"
	for e in e-1 e-2; do
		await "the new start of w-1 at $e" knows_worker $e w-1 up
	done
	# rpcjob gives each note the number 1, so each sender is heard once.
	for e in e-1 e-2; do
		note "e-8$#" $e down
		note "e-9$#" $e draining
	done
}

echo "# at another address"
restart
echo "# at the same address"
restart --http-addr="$w_1_http" --service-addr="$w_1_rpc"
stop e-1
stop e-2
