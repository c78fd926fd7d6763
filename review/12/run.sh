#!/bin/sh
# A configuration drops a route while a job that it has accepted is at work on
# its first step.  The second step has to begin all the same.
. "$(dirname "$0")/../common-3.sh"
job=00000000000000b1
config='{"version":3,"routes":[
 {"name":"normal","host":"h.example","path-prefix":"/n/","priority":1,
  "service":"svc","max-attempts":2,"stretch":3.0,"target-runtime-ms":1500},
 {"name":"swap","host":"h.example","path-prefix":"/s/","priority":1,
  "service":"svc","max-attempts":2,"stretch":3.0,"target-runtime-ms":1500}],
 "services":[{"name":"svc","admission-check":false}],
 "limits":{"max-body-bytes":262144},
 "tenants":[{"name":"parish","api-keys":["k1"],"guaranteed":{"gpu":8}}]}'
start_site --workers=10
control config "$config"
start_instance 1
start_instance 2
start_instance 3
submit 1 /s/$job '{"spec":"ms=3000 progress","steps":[{"count":1,"cpu":1000,
 "mem-mb":1000,"gpu":1,"est-ms":3000},{"count":1,"cpu":1000,"mem-mb":1000,
 "gpu":1,"est-ms":3000,"after":[0]}]}'
await "step 0 runs on" 20 run_on $job.0.0.0 || cannot "step 0 does not start"
if [ "$TROUBLE" = 1 ]; then
	say "version 5 drops the route"
	control config "$(echo "$config" |
		jq -c '.version = 5 | del(.routes[1])')"
fi
left=200
while [ -n "$(run_on $job.0.0.0)" ]; do
	left=$((left - 1))
	[ $left -gt 0 ] || cannot "step 0 does not end"
	sleep 0.1
done
say "step 0 has ended; runs: $(seen .runs)"
if await "step 1 runs on" 30 run_on $job.0.1.0; then
	held "step 1 has begun"
fi
say "starts seen by all workers: $(seen .starts), runs: $(seen .runs)"
state 2 /s/$job >/dev/null
broken "step 1 has not begun 30 s after step 0 ended, with ten idle workers"
