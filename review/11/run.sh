#!/bin/sh
# Two workers of twenty flap: they go down and up by turns of 1.4 s, for 6.5 s.
# No run of the two jobs that need it ends "failed", so neither may be shown as
# failed: one has to complete, the other one lasts until it is cancelled.
. "$(dirname "$0")/../common-3.sh"
plain=00000000000000a1
lasting=00000000000000a2
start_site --workers=20 --rack-workers=1
control config '{"version":3,"routes":[{"name":"normal","host":"h.example",
 "path-prefix":"/n/","priority":1,"service":"svc","max-attempts":2,
 "stretch":3.0,"target-runtime-ms":1500}],
 "services":[{"name":"svc","admission-check":false}],
 "limits":{"max-body-bytes":262144},
 "tenants":[{"name":"parish","api-keys":["k1"],"guaranteed":{"gpu":8}}]}'
start_instance 1
start_instance 2
start_instance 3
submit 1 /n/$plain '{"spec":"ms=8000 progress","steps":[{"count":1,"cpu":1000,
 "mem-mb":1000,"gpu":1,"est-ms":8000,"requires":"r1"}]}'
submit 1 /n/$lasting '{"spec":"ms=200000","steps":[{"count":1,"cpu":1000,
 "mem-mb":1000,"gpu":1,"est-ms":200000,"requires":"r2","continuous":true}]}'
for job in $plain $lasting; do
	await "$job runs on" 20 run_on $job.0.0.0 || cannot "$job does not start"
done
sleep 1
if [ "$TROUBLE" = 1 ]; then
	for turn in "1.4 1.4" "1.4 1.4" "0.9 0"; do
		say "workers w1 and w2 go down"
		control 'worker?id=w1&mode=crash'
		control 'worker?id=w2&mode=crash'
		sleep "${turn% *}"
		say "workers w1 and w2 are up again"
		control 'worker?id=w1&mode=back'
		control 'worker?id=w2&mode=back'
		sleep "${turn#* }"
		say "runs: $(seen .runs)"
	done
fi
left=45
until [ $left -eq 0 ]; do
	left=$((left - 1))
	for job in $plain $lasting; do
		s=$(state 2 /n/$job)
		case $s in
		failed | cancelled | 410)
			say "$plain: $(state 3 /n/$plain), $lasting: $(state 3 /n/$lasting)"
			broken "$job is shown as $s; no run of it has ended \"failed\""
			;;
		esac
	done
	[ "$(state 2 /n/$plain)" != completed ] || [ $left -gt 25 ] ||
		held "$plain has completed, and $lasting is $s"
	sleep 1
done
cannot "$plain has not ended"
