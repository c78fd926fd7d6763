#!/bin/sh
# Burn rates from recorded samples and from a live instance.  Guards against
# counters of a restarted instance that are taken as negative or counted twice,
# against gaps that are read as times without failures, and against windows
# that claim more data than there is.
. "$(dirname "$0")/../lib.sh"
burn="$TG_BIN/tgburn"
cat >"$tmp/document" <<'END'
{"version":1,"workspaces":[{"name":"courts"},{"name":"clerks"}],
"services":[{"name":"responder","workspaces":["courts","clerks"],"azs":["a"],
"objective":{"availability":0.999,"latency_ms":200,"latency_share":0.99}}]}
END

# Three days in steps of 5 min.  Each step of each instance has 600 requests
# of courts: 597 answered (3 of them with status 500), 2 not run, 1 unknown,
# 6 slow; that is 1% failed and 6 of 597 slow.  clerks sends 100 requests
# without a failure in the last hour only.  e-1 restarts with a new boot at
# step 400; e-2 has no boot and falls to 0 at step 500; e-3 lives from step 600
# to 650; from step 200 to 224 (2 h) nothing is collected.
awk 'BEGIN {
	start = 1796256000000
	for (i = 0; i <= 864; i++) {
		if (i > 200 && i < 224)
			continue
		for (e = 1; e <= 3; e++) {
			if (e == 3 && (i < 600 || i > 650))
				continue
			n = i
			if (e == 1 && i >= 400)
				n = i - 400
			if (e == 2 && i >= 500)
				n = i - 500
			boot = e == 2 ? "-" : (e == 1 && i >= 400 ? "b2" : "b1")
			print "sample", sprintf("%.0f", start + i * 300000), \
				"e-" e, boot
			s = "service=\"responder\",workspace=\"courts\""
			print "tg_requests_total{" s ",outcome=\"answered\"}", 597 * n
			print "tg_requests_total{" s ",outcome=\"not-run\"}", 2 * n
			print "tg_requests_total{" s ",outcome=\"unknown\"}", n
			print "tg_requests_failed_total{" s "}", 6 * n
			print "tg_requests_slow_total{" s "}", 6 * n
			if (e == 1 && i >= 852) {
				s = "service=\"responder\",workspace=\"clerks\""
				print "tg_requests_total{" s ",outcome=\"answered\"}", \
					100 * (i - 852)
				print "tg_requests_failed_total{" s "}", 0
			}
		}
	}
}' >"$tmp/samples"

echo "# recorded, text"
"$burn" --samples="$tmp/samples" --document="$tmp/document" --count=0 \
	--max-gap-ms=300000 --svg="$tmp/plot.svg"
echo "exit $?"
echo "# recorded, CSV"
"$burn" --samples="$tmp/samples" --document="$tmp/document" --count=0 \
	--max-gap-ms=300000 --format=csv
echo "# plot"
grep -c '<polyline' "$tmp/plot.svg"
grep -c 'fill="#dddddd"' "$tmp/plot.svg"
grep '<text' "$tmp/plot.svg"

echo "# without a document"
head -n 13 "$tmp/samples" | "$burn" --samples=/dev/stdin --count=0 \
	--max-gap-ms=300000 | head -n 12

echo "# invalid lines"
printf '%s\n' 'sample 1796256000000 e-1 b1' \
	'tg_requests_total{service="s",workspace="w",outcome="answered"} 10' \
	'tg_requests_total{service="s",workspace="w",outcome="unknown"} -4' \
	'tg_requests_total{service="s",workspace="w",outcome="unknown"} x' \
	'sample 1796256000000 e-1 b1' \
	'sample now e-1 b1' 'what' 'missed 1796256005000 e-1' \
	'sample 1796256010000 e-1 b1' \
	'tg_requests_total{service="s",workspace="w",outcome="answered"} 15' \
	'tg_requests_total{service="s",worksp' >"$tmp/bad"
"$burn" --samples="$tmp/bad" --count=0 2>"$tmp/messages" | head -n 7
sed "s|$tmp|TMP|" "$tmp/messages"

echo "# usage"
"$burn" 2>&1
echo "exit $?"
"$burn" --format=xml --interval-ms=1 nowhere 2>&1
echo "exit $?"
"$burn" --samples="$tmp/none" --count=0 2>&1
echo "exit $?"

echo "# live"
start platform platformd --log-level=warn
put_document 1 "$(cat "$tmp/document")"
start_worker w-1
start_entry e-1
await "backend server" knows_worker e-1 w-1 up
svc=http://$e_1_http/v1/svc/responder/a
# The first sample has the counters of this request.
curl -sf -o /dev/null -H 'Tg-Workspace: courts' "$svc"
"$burn" --platform="$platform_http" --samples="$tmp/live" >/dev/null
for i in 1 2 3 4 5 6 7 8 9; do
	curl -sf -o /dev/null -H 'Tg-Workspace: courts' "$svc"
done
curl -s -o /dev/null -H 'Tg-Workspace: courts' "$svc?status=500"
"$TG_BIN/tgctl" burn --platform="$platform_http" --samples="$tmp/live" \
	--format=csv | cut -d , -f 1-5,7- | grep availability
grep -c "^sample [0-9]* e-1 [0-9a-f]*$" "$tmp/live"
crash e-1
"$burn" --platform="$platform_http" --samples="$tmp/live" \
	--document="$tmp/document" | sed -n 2p
grep -c '^missed [0-9]* e-1$' "$tmp/live"
