#!/bin/sh
# The instance that reads fastest takes 1 s, and small ones read the document too.
. "$(dirname "$0")/../site-lib.sh"
bound_ms=3000

now_ms() { date +%s%3N; }

# wide_config GENERATION COUNT: queues as large as the platform's
wide_config() {
	large_config "$1" "$2" | jq -c '.routes[] |= . + {kind: "unsafe",
		"timeout-ms": 3000, "allow-anonymous": false}'
}

# change N PREFIX STATUS JSON: time until it is in force on instance N
change() {
	n=$1 prefix=$2 status=$3
	control config "$4"
	acked_ms=$(now_ms)
	await "$prefix on $n" answers_at "$n" "$prefix" "$status"
	took_ms=$(($(now_ms) - acked_ms))
	if [ "$took_ms" -le "$bound_ms" ]; then
		echo "instance $n, $prefix: in time"
	else
		echo "instance $n, $prefix: after $took_ms ms"
	fi
}

start_site --stores=2
start_instance 1
start_instance 2
control "store?door=0&mode=rate:4000000"
# 10 Mbit/s
control "store?door=1&mode=rate:1250000"
control config "$(wide_config 10 14000)"
for n in 1 2; do
	await "14000 on $n" answers_at $n /more13999/ 410
done
for i in 0 1 2; do
	change 2 "/more$((14000 + i))/" 410 "$(wide_config $((11 + i)) $((14001 + i)))"
done
