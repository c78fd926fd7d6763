#!/bin/sh
# Workers restart, so that the owner's calls to them carry a higher token.
# Guards against owners that give up their term for a token of their own, and
# against successors that use a token that was used before.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=32 --stores=3
start_instance 1
await "an owner" owner_of 1

row() { # FILTER: of the owner's row
	curl -s "http://$(echo "$site_rpc" | cut -d, -f3)/rows-get?table=owner&part=owner" |
		jq -r '.rows[0].value' | base64 -d | jq -c "$1"
}
whole_workers='[{"count":32,"cpu":1000,"gpu":8,"est-ms":300}]'
is_raised() { [ "$(row '.fence > .term')" = true ]; }
is_refused() { [ "$(seen .fenced)" -gt 0 ]; }
lost() { grep -c EV5502 "$tmp/flow-1.out"; }

echo "# many workers restart at once"
control "worker?id=all&mode=restart"
await "a higher token" is_raised
submit 1 00000000000000a1 "ms=300 acc=8" "$whole_workers" && echo
await_state 1 00000000000000a1 completed
row '.fence - .term <= 16'

echo "# a call with the token before reaches a restarted worker late"
for i in 1 2 3 4 5; do
	control "worker?id=w1&mode=hold-overtaken"
	control "worker?id=w1&mode=restart"
	sleep 1
	is_refused && break
done
is_refused && echo "refused"
echo "terms lost: $(lost)"

echo "# a peer reads the row with the raised token"
start_instance 2
sleep 1
echo "terms lost: $(lost)"

echo "# the owner ends"
fence=$(row .fence)
crash flow-1
await "a new owner" owner_of 2
row ".term > $fence"
submit 2 00000000000000a2 "ms=300 acc=8" "$whole_workers" && echo
await_state 2 00000000000000a2 completed
judge
