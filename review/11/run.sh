#!/bin/sh
# Thirty-six jobs of one small work item come, two a second, each with 20,000
# times at intervals of a minute.  A process that exceeds the memory of its
# machine is killed and started again, as the platform does.
. "$(dirname "$0")/../common-3.sh"
memory_mb=260
times=20000
[ "$TROUBLE" = 1 ] || times=8
start_site --workers=10
control config '{"version":3,"routes":[{"name":"normal","host":"h.example",
 "path-prefix":"/n/","priority":1,"service":"svc","max-attempts":2,
 "stretch":3.0,"target-runtime-ms":1500}],
 "services":[{"name":"svc","admission-check":false}],
 "limits":{"max-body-bytes":262144},
 "tenants":[{"name":"parish","api-keys":["k1"],"guaranteed":{"gpu":8}}]}'
start_instance 1
start_instance 2
start_instance 3

rss_kb() { # NAME
	eval "pid=\$pid_$1"
	awk '/^VmRSS/ { print $2 }' "/proc/$pid/status" 2>/dev/null
}

# look: ends and restarts what has exceeded its limit
look() {
	for name in flow1 flow2 flow3 queue1 queue2 queue3; do
		kb=$(rss_kb $name)
		[ "${kb:-0}" -gt $((memory_mb * 1024)) ] || continue
		eval "kill -KILL \$pid_$name; ends_$name=\$((ends_$name + 1))"
		say "$name has $kb kB, over $memory_mb MB: killed"
		sleep 0.3
		restart $name
	done
}

# restart NAME: with the command of the deploy file
restart() {
	case $1 in
	flow*) n=${1#flow} ;;
	queue*) n=${1#queue} ;;
	esac
	export TARRAGONFIELD_NODE_FILE="$tmp/i$n.conf"
	case $1 in
	flow*) start "$1" target/bin/tgflowd --metrics-addr="$net.$n:7002" \
		--follow-speed --fair-shares ;;
	queue*) start "$1" target/bin/tgqueued --metrics-addr="$net.$n:7001" ;;
	esac
}

for name in flow1 flow2 flow3 queue1 queue2 queue3; do eval "ends_$name=0"; done
first_ms=$(($(now_ms) + 60000))
accepted=0
k=0
while [ $k -lt 36 ]; do
	k=$((k + 1))
	s=$(front $((k % 3 + 1)) POST "/n/00000000000001$(printf %02d $k)" \
		"{\"spec\":\"ms=200\",\"times\":$times,\"first-ms\":$first_ms,
 \"interval-ms\":60000,\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":1000,
 \"gpu\":1,\"est-ms\":200}]}")
	[ "$s" != 200 ] || accepted=$((accepted + 1))
	look
	sleep 0.4
done
say "$accepted jobs accepted"
end_ms=$((begun_ms + 70000))
while [ "$(now_ms)" -lt $end_ms ]; do
	look
	sleep 0.1
done
machines=0
for n in 1 2 3; do
	eval "ends=\$((ends_flow$n + ends_queue$n))"
	say "instance $n: $ends ends"
	[ $ends -lt 3 ] || machines=$((machines + 1))
done
state 1 /n/0000000000000101 >/dev/null
for name in flow1 flow2 flow3; do say "$name has $(rss_kb $name) kB"; done
[ $machines -lt 2 ] || broken "on $machines of 3 machines processes ended three times or more"
held "processes ended three times on $machines machines"
