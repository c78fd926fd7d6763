#!/bin/sh
# Notes of two peers on one worker arrive out of order while its prober
# changes.  Guards against an older observation that replaces a newer one: a
# server that is up then got no requests for up to 10 s.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$document"
start_worker w-1
# No probe after the first, which would replace the notes.
start_entry e-1 --probe-ms 60000
await "w-1" knows_worker e-1 w-1 up

boot=$(curl -s "http://$w_1_http/v1/probe" | jq -r .boot)
observed=$(curl -s "http://$w_1_http/v1/probe" | jq .now_ms)
# note SENDER AGE_MS STATE - STATE as observed AGE_MS before $observed
note() {
	"$TG_BIN/rpcjob" "$e_1_rpc" note "$1" w-1 "$boot" \
		$((observed - $2)) "$3"
	echo "$1 $3 $2 ms before: $(curl -s "http://$e_1_http/v1/workers" |
		jq -r '.workers[] | select(.worker == "w-1") | .state')"
}
note e-8 100000 draining
note e-9 0 draining
note e-8 1 up
note e-9 -1 up
note e-8 2 down
note e-9 -1 down
note e-8 -1 up
note e-9 -2 up
stop e-1
