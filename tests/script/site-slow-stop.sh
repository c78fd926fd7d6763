#!/bin/sh
# Guards against runs that count as ended before their worker, whose clock is
# 2 % slow, has stopped them: the next run found no room.
. "$(dirname "$0")/../site-lib.sh"
stop_ms=5000
start_site --workers=1 --stop-ms=5100
start_instance 1
await "an owner" owner_of 1

done_urgent() { # JOB
	front 1 "/u/$1" >/dev/null
	[ "$(jq -r .state "$tmp/body")" = completed ]
}

echo "# an urgent task takes the place of another"
for k in 1 2 3; do
	submit 1 "00000000000000a$k" "ms=60000 acc=8" \
		'[{"count":1,"cpu":1000,"gpu":8,"est-ms":60000}]' && echo
	await "its run" runs_now 1
	submit 1 "00000000000000b$k" "ms=300 acc=8" \
		'[{"count":1,"cpu":1000,"gpu":8,"est-ms":300}]' u && echo
	await "the urgent job" done_urgent "00000000000000b$k"
	front 1 "/n/00000000000000a$k" -X DELETE && echo
	await "its end" runs_now 0
done
judge
