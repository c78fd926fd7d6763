#!/bin/sh
# The owner's machine is dark for 3.5 s, and the next owner's processes are
# killed as well.  A worker that drained has left meanwhile; a work item that
# lasts ran there and has to begin again elsewhere in time.
. "$(dirname "$0")/../common-3.sh"
job=00000000000000b1
task=$job.0.0.0
start_site --workers=16
control config '{"version":3,"routes":[{"name":"normal","host":"h.example",
 "path-prefix":"/n/","priority":1,"service":"svc","max-attempts":2,
 "stretch":3.0,"target-runtime-ms":1500}],
 "services":[{"name":"svc","admission-check":false}],
 "limits":{"max-body-bytes":262144},
 "tenants":[{"name":"parish","api-keys":["k1"],"guaranteed":{"gpu":8}}]}'
start_instance 1
start_instance 2
start_instance 3

owner() {
	for n in 1 2 3; do
		[ "$(curl -s -m 2 "http://$net.$n:7002/metrics" |
			awk '$1 == "tg_flow_owner" { print $2 }')" != 1 ] ||
			echo $n
	done
}

submit 1 /n/$job '{"spec":"ms=200000","steps":[{"count":1,"cpu":1000,
 "mem-mb":1000,"gpu":1,"est-ms":200000,"continuous":true}]}'
await "$job runs on" 20 run_on $task || cannot "$job does not start"
# All instances have been in touch for long; no earlier owner acts any more.
sleep 15
worker=$(run_on $task)
first=$(owner)
say "owner: instance $first"
say "$worker drains, for 3 s at least"
control "worker?id=$worker&mode=drain=3000"
drained_ms=$(($(now_ms) + 3200))
kill_instance() {
	say "the processes of instance $1 are killed"
	eval "kill -KILL \$pid_flow$1 \$pid_queue$1"
}
sleep 2.2
if [ "$TROUBLE" = 1 ]; then
	kill_instance $first
	dark_until_ms=$(($(now_ms) + 3500))
	await "next owner: instance" 5 owner || cannot "no next owner"
	second=$(owner)
	kill_instance $second
fi
until [ "$(now_ms)" -ge $drained_ms ]; do sleep 0.02; done
control "worker?id=$worker&mode=leave"
left_ms=$(now_ms)
say "$worker has left; owner: instance $(owner)"
if [ "$TROUBLE" = 1 ]; then
	start_instance $second
	await "next owner: instance" 10 owner || cannot "no third owner"
	until [ "$(now_ms)" -ge $dark_until_ms ]; do sleep 0.02; done
	start_instance $first
fi
away_ms=0
until [ -n "$(run_on $task)" ]; do
	away_ms=$(($(now_ms) - left_ms))
	[ $away_ms -lt 30000 ] || break
	sleep 0.1
done
say "runs again after $away_ms ms: $(seen .runs)"
state 1 /n/$job >/dev/null
# 6 s after its last run, then 3 s; 0.3 s for the script's own looks.
[ $away_ms -le 9300 ] || broken "a work item that lasts had no run for $away_ms ms beside fifteen idle workers"
held "it had no run for $away_ms ms"
