#!/bin/sh
# Offers of a generation by peers.  Guards against a body that each of several
# peers sends, and against a peer that offers, dies, and so keeps a daemon from
# the document of the others.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$document"
start_entry e-1

offer() {
	"$TG_BIN/rpcjob" "$e_1_rpc" push "$1" "${2-}"
}
echo "first: $(offer 7)"
echo "second, while the body of the first is expected: $(offer 7)"
echo "older: $(offer 6)"
echo "newer: $(offer 8)"
taken() {
	offer 8 | grep -q '^ok'
}
await "the end of the wait for the body" taken
echo "the body never came: asked for again"
echo "body: $(offer 8 "$document")"
echo "the same generation: $(offer 8)"
echo "an older one with its body: $(offer 7 "$document")"
echo "an invalid one: $(offer 9 '{"version":0}')"
echo "offer of the invalid one: $(offer 9)"
echo "newer: $(offer 10)"
stop e-1
