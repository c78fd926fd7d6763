#!/bin/sh
# Requests sent ahead, their answers unread, at the other daemons' addresses:
# entry, scheduler, console, and the flow daemon's metrics.  Guards against a
# process that runs out of memory.
. "$(dirname "$0")/../site-lib.sh"
. "$TG_TESTS/flood-lib.sh"
max_fds=400 memory_mb=64 ready_port=7003
start_site --stores=1
start_instance 1
start platform platformd
start worker workerd --platform="$platform_http"
start entry tgentryd --http-addr=127.0.0.1:0 --rpc-addr=127.0.0.1:0 \
	--instance=e-1 --az=a --platform="$platform_http"
start sched tgschedd --http-addr=127.0.0.1:0 --rpc-addr=127.0.0.1:0 \
	--instance=e-1 --az=a --platform="$platform_http"
echo operator-key-0123456789 >"$tmp/key"
start console tgconsoled --http-addr=127.0.0.1:0 --rpc-addr=127.0.0.1:0 \
	--instance=e-1 --az=a --platform="$platform_http" \
	--operator-key-file="$tmp/key"
for name in flow-1 entry sched console; do
	flood "$name" "$(pid_of "$name")" --addr="$(http_of "$name")" \
		--kind=ahead --path=/no/such/path --connections=12 --bytes=40000000
	echo "$name: an ordinary request"
	curl -s -m 20 "http://$(http_of "$name")/healthz"
	flood_ends
done
