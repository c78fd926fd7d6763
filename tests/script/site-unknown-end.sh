#!/bin/sh
# Guards against a run whose end follows that of an unknown job in its worker's
# list: it counted as lost, and its task, which was done, started again.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=1
start_instance 1
await "an owner" owner_of 1
door=$(echo "$site_rpc" | cut -d, -f1)
worker=$(curl -s "http://$door/rows-get?table=servers&part=" |
	jq -r '.rows[0].value' | base64 -d | jq -r .address)
fence=$(curl -s "http://$door/rows-get?table=owner&part=owner" |
	jq -r '.rows[0].value' | base64 -d | jq .fence)

# start_unknown MS: a run of a job that the store doesn't have
start_unknown() {
	curl -s -o /dev/null -w '%{http_code}\n' "http://$worker/run-start" -d "{
		\"task\":\"00000000000000ff.0.0.0\",\"run\":1,\"spec\":\"ms=$1\",
		\"until-ms\":99999999,\"fence-token\":$fence}"
}

submit 1 00000000000000a1 "ms=1000" "$(steps 2)" && echo
await "two runs" runs_now 2
start_unknown 300
await_state 1 00000000000000a1 completed
sleep 1
judge
