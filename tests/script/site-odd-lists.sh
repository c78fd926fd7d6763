#!/bin/sh
# Guards against runs that count as ended because a list can't be read: their tasks
# ran twice.
. "$(dirname "$0")/../site-lib.sh"
start_site --workers=12
start_instance 1
await "an owner" owner_of 1

worker_of() { # JOB
	seen ".runs[] | select(.task | startswith(\"$1\")) | .worker" | tr -d '"'
}

has_run() { # JOB
	[ -n "$(worker_of "$1")" ]
}

# list_oddly MODE JOB RUN-MS: the worker of a new run lists it like this
list_oddly() {
	submit 1 "$2" "ms=$3 acc=8" \
		'[{"count":1,"cpu":1000,"gpu":8,"est-ms":300}]' && echo " $1"
	await "run of $2" has_run "$2"
	control "worker?id=$(worker_of "$2")&mode=$1"
}

list_oddly no-running 00000000000000a1 9000
list_oddly odd-running 00000000000000a2 9000
list_oddly odd-run 00000000000000a3 9000
list_oddly no-ended 00000000000000a4 1000
list_oddly odd-ended 00000000000000a5 1000
list_oddly no-born 00000000000000a6 9000
# A run that is missing counts as ended in the third list.
sleep 7
control "worker?id=all&mode=ok"
for k in 1 2 3 4 5 6; do
	await_state 1 "00000000000000a$k" completed
done
judge
