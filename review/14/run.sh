#!/bin/sh
# Nine of ten workers are full.  The tenth refuses starts for some 6 s, as an
# unhealthy worker does.  Jobs whose start it refused have not begun, so the
# count of the queue has to name them.
. "$(dirname "$0")/../common-3.sh"
start_site --workers=10
control config '{"version":3,"routes":[
 {"name":"normal","host":"h.example","path-prefix":"/n/","priority":1,
  "service":"svc","max-attempts":2,"stretch":3.0,"target-runtime-ms":1500},
 {"name":"funeral","host":"h.example","path-prefix":"/f/","priority":2,
  "service":"svc","max-attempts":4,"stretch":3.0,"target-runtime-ms":3000}],
 "services":[{"name":"svc","admission-check":false}],
 "limits":{"max-body-bytes":262144},
 "tenants":[{"name":"parish","api-keys":["k1"],"guaranteed":{"gpu":8}}]}'
start_instance 1
start_instance 2
start_instance 3
# job SPEC COUNT GPU
job() {
	echo "{\"spec\":\"$1\",\"steps\":[{\"count\":$2,\"cpu\":$(($3 * 1000)),
 \"mem-mb\":1000,\"gpu\":$3,\"est-ms\":100000}]}"
}
runs() { seen '.runs | length'; }
submit 1 /n/00000000000000c0 "$(job 'ms=100000 acc=8 progress' 9 8)"
left=100
until [ "$(runs)" = 9 ]; do
	left=$((left - 1))
	[ $left -gt 0 ] || cannot "nine work items don't start"
	sleep 0.1
done
n=1
while [ -n "$(seen ".runs[] | select(.worker == \"w$n\") | .run")" ]; do
	n=$((n + 1))
done
say "worker w$n is idle"
if [ "$TROUBLE" = 1 ]; then
	say "w$n refuses starts"
	control "worker?id=w$n&mode=unhealthy"
fi
for k in 1 2 3 4 5 6; do
	submit $((k % 3 + 1)) /f/00000000000000c$k \
		"$(job 'ms=100000 acc=1 progress' 1 1)"
done
# Counts concern jobs accepted over visible_ms + 2 s before.
sleep 5.2
worst=
begun_now() {
	seen '[.runs[].task | select(startswith("00000000000000c0") | not)] |
		length'
}
for round in 1 2 3 4 5 6 7 8; do
	for k in 1 2 3; do
		begun=$(begun_now)
		[ "$(front $k GET /f/)" = 200 ] || continue
		told=$(jq .waiting "$tmp/body")
		# A job may begin just now.
		[ "$(begun_now)" = "$begun" ] || continue
		waiting=$((6 - begun))
		say "round $round: $begun of 6 jobs have begun, $waiting wait, instance $k tells $told"
		[ $((2 * told)) -ge "$waiting" ] ||
			worst="instance $k told $told of $waiting"
	done
	[ $round -ne 1 ] || [ "$TROUBLE" != 1 ] || {
		say "w$n accepts starts again"
		control "worker?id=w$n&mode=ok"
	}
	sleep 0.8
done
say "runs: $(seen .runs)"
[ -z "$worst" ] || broken "$worst"
held "each count named half of the waiting jobs or more"
