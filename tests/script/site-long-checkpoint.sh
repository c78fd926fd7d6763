#!/bin/sh
# Checkpoints were cut after 63 bytes, so that the next start carried one that
# no run has saved.  One that is too long must count as none, and others must
# reach the next start whole.
. "$TG_TESTS/site-lib.sh"
start_site --stores=2 --workers=1
start_instance 1
start_instance 2
await "an owner" owner_of 1 2

starts_are() { [ "$(seen .starts)" -eq "$1" ]; }

# restart_runs JOB BYTES STARTS: a run of it ends with its worker
restart_runs() {
	submit 1 "$1" "ms=60000 acc=1 saved=$2" "$(steps 1 \
		',"saves-progress":true')" && echo
	await "a run" runs_now 1
	# The next list has its checkpoint.
	sleep 3
	control "worker?id=w1&mode=restart"
	await "another run" starts_are "$3"
	echo "checkpoint of $2 bytes: $(seen '{resumed, odd_checkpoints}')"
	front 1 "/n/$1" -X DELETE && echo
	await_state 1 "$1" cancelled
	await "no run" runs_now 0
}

restart_runs 00000000000000a1 63 2
restart_runs 00000000000000a2 64 4
restart_runs 00000000000000a3 82 6
restart_runs 00000000000000a4 200 8
echo "logged: $(cat "$tmp"/flow-*.out | grep -o 'EV1802.* job=[^ ]*' | head -n 1)"
