#!/bin/sh
# The link of an instance is so narrow that reads take longer than the time limit
# of a call.  They were given up half way and begun again, for ever.
. "$(dirname "$0")/../site-lib.sh"

start_site --stores=2
start_instance 1

echo "# a document that takes longer to transfer than a call to the feed"
control "store?mode=narrow"
control config "$(large_config 9 1200)"
await "the large document" answers_at 1 /more1199/ 410
echo "in force"
awk '/EV1705.*generation=9/ { n++ } END { print n + 0, "daemons" }' "$tmp"/*.out

echo "# changes that come faster than the link can transfer each version"
control "store?mode=ok"
control config "$(large_config 10 600)"
await "the document of 600 queues" answers_at 1 /more1199/ 404
control "store?mode=narrow"
for g in $(seq 11 35); do
	control config "$(large_config "$g" "$((g + 600))")"
done
await "the last document" answers_at 1 /more634/ 410
echo "in force"

echo "# a new owner reads a job table that takes longer than a call"
control "store?mode=ok"
spec=$(printf '%03900d' 0)
for i in $(seq 10 89); do
	submit 1 "00000000000000$i" "ms=1 $spec" "$(steps 1)" && echo
done | sort | uniq -c | tr -s ' '
await "the last job" is_state 1 0000000000000089 completed
crash flow-1
control "store?mode=narrow"
start flow-1 tgflowd --settings="$tmp/i1.conf" --metrics-addr="$net.1:0"
submit 1 00000000000000a1 "ms=1" "$(steps 1)" && echo
await_state 1 00000000000000a1 completed
judge
