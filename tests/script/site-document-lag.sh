#!/bin/sh
# A change of one queue of a large document took as long as reading the document.
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
# 10 Mbit/s
control "store?door=1&mode=rate:1250000"
g=10
for count in 1400 7000 13200; do
	echo "# $count queues, then one more, 1400 more, and one less"
	g=$((g + 10))
	control config "$(wide_config $g $count)"
	for n in 1 2; do
		await "$count on $n" answers_at $n "/more$((count - 1))/" 410
	done
	change 2 "/more$count/" 410 "$(wide_config $((g + 1)) $((count + 1)))"
	change 2 "/more$((count + 1399))/" 410 \
		"$(wide_config $((g + 2)) $((count + 1400)))"
	change 2 "/more$((count + 1399))/" 404 \
		"$(wide_config $((g + 3)) $((count + 1399)))"
done
