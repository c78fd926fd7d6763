#!/bin/sh
# Clients of all these kinds at once, from many addresses, against the queue
# daemon's three addresses.  Guards against a process that runs out of memory or
# descriptors when there are more of them than it can serve.
. "$(dirname "$0")/../site-lib.sh"
. "$TG_TESTS/flood-lib.sh"
max_fds=400 memory_mb=64 ready_port=7003
start_site --stores=1
start_instance 1
for addr in "$(http_of queue-1)" "$(ready_of 1)"; do
	flood all "$queue_1_pid" --addr="$addr" --kind=all \
		--path=/n/0000000000000001 --connections=300 --addresses=30 \
		--bytes=3000000
	echo "an ordinary request"
	answers 1 410 0000000000000000 && echo answered
	submit 1 00000000000000a1 "ms=100" "$(steps 1)" && echo
	echo "the balancer's look"
	curl -s -m 20 -o /dev/null -w '%{http_code}\n' "http://$(ready_of 1)/ready"
	flood_ends
done
