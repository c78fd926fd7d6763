#!/bin/sh
# Clients that send requests ahead at the path that says ready, and read no answer.  Guards
# against a process that runs out of memory: it kept all that it had not answered.
. "$(dirname "$0")/../site-lib.sh"
. "$TG_TESTS/flood-lib.sh"
max_fds=400 memory_mb=64 ready_port=7003
start_site --stores=1
start_instance 1
flood ready "$queue_1_pid" --addr="$(ready_of 1)" --kind=ahead --path=/ready \
	--connections=12 --bytes=40000000
echo "an ordinary request"
answers 1 410 0000000000000000 && echo answered
echo "the balancer's look"
curl -s -m 20 -o /dev/null -w '%{http_code}\n' "http://$(ready_of 1)/ready"
flood_ends
