#!/bin/sh
# Clients that send headers without an end and read nothing.  Guards against a
# process that runs out of memory or descriptors, and against callers that get no
# answer meanwhile.
. "$(dirname "$0")/../site-lib.sh"
. "$TG_TESTS/flood-lib.sh"
max_fds=400 memory_mb=64 ready_port=7003
start_site --stores=1
start_instance 1
flood headers "$queue_1_pid" --addr="$(http_of queue-1)" --kind=headers \
	--path=/n/0000000000000001 --connections=24 --bytes=20000000
echo "an ordinary request"
answers 1 410 0000000000000000 && echo answered
submit 1 00000000000000a1 "ms=100" "$(steps 1)" && echo
await_state 1 00000000000000a1 completed
flood_ends
