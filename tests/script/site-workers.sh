#!/bin/sh
# Workers that fall silent, restart, refuse, carry out starts late, and entries
# of other writers.  Guards against a task that runs twice.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=3
control 'row?table=servers&key=w9' 'not JSON'
control 'row?table=servers&key=w8' '{"service":"svc","address":7,"state":"ready"}'
start_instance 1 --lease-ms=2000
await "an owner" owner_of 1

echo "# a silent worker: its tasks start elsewhere once the lease is over"
submit 1 00000000000000a1 "ms=1500 acc=8" \
	'[{"count":3,"cpu":1000,"gpu":8,"est-ms":300}]' && echo
await "three runs" runs_now 3
control 'worker?id=w1&mode=silent'
await_state 1 00000000000000a1 completed
control 'worker?id=w1&mode=ok'
judge

echo "# a worker that starts again has lost its runs"
submit 1 00000000000000a2 "ms=3000 acc=8" \
	'[{"count":3,"cpu":1000,"gpu":8,"est-ms":300}]' && echo
await "three runs" runs_now 3
control 'worker?id=w2&mode=restart'
await_state 1 00000000000000a2 completed
judge

echo "# a worker that shrinks gets no more than it has, until it grows again"
control 'worker?id=all&mode=size%3D2'
submit 1 00000000000000b1 "ms=6000" "$(steps 6)" && echo
await "six runs" runs_now 6
submit 1 00000000000000b2 "ms=100" "$(steps 4)" && echo
is_state 1 00000000000000b2 queued && echo "b2 waits"
judge
control 'worker?id=w1&mode=size%3D8'
await_state 1 00000000000000b2 completed
is_state 1 00000000000000b1 running && echo "b1 still runs"
control 'worker?id=all&mode=size%3D8'
await_state 1 00000000000000b1 completed
judge

echo "# starts that are not answered and carried out late"
control 'worker?id=all&mode=unanswered'
submit 1 00000000000000a3 "ms=500" "$(steps 4)" && echo
sleep 2
control 'worker?id=all&mode=ok'
await_state 1 00000000000000a3 completed
judge

echo "# a worker that refuses everything is passed over"
control 'worker?id=w3&mode=unhealthy'
submit 1 00000000000000a4 "ms=100" "$(steps 12)" && echo
await_state 1 00000000000000a4 completed
judge

echo "# starts that are carried out at once and not answered, nor are lists"
control 'worker?id=w3&mode=ok'
for i in 1 2 3; do
	sleep 2
	control 'worker?id=all&mode=mute'
	submit 1 00000000000000c$i "ms=100" "$(steps 3)" && echo
	sleep 1.2
	for w in 1 2 3; do
		control "worker?id=w$(((w + i) % 3 + 1))&mode=ok"
		sleep 0.3
	done
	await_state 1 00000000000000c$i completed
done
sleep 1
judge
