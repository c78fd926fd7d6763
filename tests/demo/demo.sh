#!/bin/sh
# Brings the system up, sends requests, runs one gang, drains, takes it down.
. "$(dirname "$0")/lib.sh"
trap 'down' EXIT
echo "== up: platform, 4 workers, 2 entry daemons, 2 schedulers, 1 console"
up
echo "== 200 requests of courts to responder, in north, keys by the caller"
"$bin/tgload" --target="$(address entry-1)" --mode=requests \
	--service=responder --workspace=courts --method=POST --key=caller \
	--count=200 --concurrency=8 | grep -E '^(sent|answered|not_run|unknown|error|p50|p99)'
echo "== the same key twice: run once"
for i in 1 2; do
	curl -s -H 'Tg-Workspace: courts' -H 'Idempotency-Key: petition-1' \
		-d 'excuse' -D - -o "$dir/reply" \
		"http://$(address entry-1)/v1/svc/responder/petitions" |
		tr -d '\r' | grep -i '^tg-outcome' | tr '\n' ' '
	jq -c '{worker, run}' "$dir/reply" 2>/dev/null || cat "$dir/reply"
done
echo "== a gang of 16 accelerators over two workers"
ctl --workspace=courts --job=train-1 --class=guaranteed --az=north --tasks=2 \
	--accelerators=8 --cores=16 --memory-gb=64 --within-rack \
	--declared-ms=60000 --task='{"run_ms":3000}' submit | grep '^state'
i=0
until ctl status courts train-1 | grep -q '^state: running' || [ $i -gt 100 ]; do
	i=$((i + 1))
	sleep 0.1
done
ctl workers
echo "== tgctl explain courts train-1"
ctl explain courts train-1 | head -12
ctl --wait status courts train-1 2>/dev/null | grep '^state'
echo "== drain"
down && echo "all processes drained and ended"
trap - EXIT
