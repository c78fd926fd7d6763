#!/bin/sh
# Guards against a late notice of a submission: the owner took it for that of a
# new job, although the job had ended and its rows had been deleted.
. "$(dirname "$0")/../site-lib.sh"
status_s=1
start_site --workers=4
start_instance 1 --keep-ms=500
await "an owner" owner_of 1

stored_row() { # JOB: the row in whichever part it is
	for part in 0 1 2 3; do
		curl -s "http://${site_rpc%%,*}/rows-get?table=jobs&part=$part"
	done | jq -r --arg k "$1" '.rows[] | select(.key == $k) | .value' |
		base64 -d
}
deleted() { # JOB
	grep -aq "EV5513.*job=$1" "$tmp/flow-1.out"
}
read_since() { # READS: the feed is read again and again
	[ "$(seen .reads)" -ge "$(($1 + 8))" ]
}

submit 1 00000000000000a1 "ms=1500" "$(steps 2)" && echo
row=$(stored_row 00000000000000a1)
echo "$row" | jq -r .id
await_state 1 00000000000000a1 completed
await "its deletion" deleted 00000000000000a1
echo "# right after the deletion, and when the feed has told of it"
"$TG_BIN/rpcjob" "$(rpc_of flow-1)" submit "" 00000000000000a1 "$row" |
	cut -d' ' -f1
await "further reads" read_since "$(seen .reads)"
"$TG_BIN/rpcjob" "$(rpc_of flow-1)" submit "" 00000000000000a1 "$row" |
	cut -d' ' -f1
submit 1 00000000000000b1 "ms=100" "$(steps 1)" && echo
await_state 1 00000000000000b1 completed
echo "added: $(grep -ac "EV5510.*job=00000000000000a1" "$tmp/flow-1.out")"
seen .starts
judge
