#!/bin/sh
# The whole path on the platform's stand-in: accepted once, run once, shown as
# it is.  Guards against doubled jobs, untrue states and bad input that starts
# something or ends the daemon.
. "$(dirname "$0")/../site-lib.sh"
start_site
start_instance 1
start_instance 2

echo "# a job of two steps, handed in twice"
two='[{"count":2,"cpu":1000,"gpu":1,"est-ms":300},
 {"count":3,"cpu":1000,"gpu":2,"est-ms":300,"after":[0]}]'
submit 1 00000000000000a1 "ms=200" "$two" && echo
submit 2 00000000000000a1 "ms=200" "$two" && echo
submit 2 00000000000000a1 "ms=999" "$two" && echo
await_state 1 00000000000000a1 completed
is_state 2 00000000000000a1 completed && echo "shown by both"
seen .starts

echo "# a job that fails, and one that is cancelled"
submit 1 00000000000000a2 "ms=50 fail" "$(steps 1)" && echo
await_state 2 00000000000000a2 failed
submit 1 00000000000000a3 "ms=60000" "$(steps 2)" && echo
await "two runs" runs_now 2
front 2 /n/00000000000000a3 -X DELETE && echo
await_state 1 00000000000000a3 cancelled
await "no runs" runs_now 0
front 2 /n/00000000000000a9 -X DELETE && echo

echo "# a gang with a run number of its own"
submit 1 00000000000000a4 "ms=200 acc=8" \
	"$(echo '[{"count":3,"cpu":1000,"gpu":8,"est-ms":300,"gang":true}]')" && echo
await_state 1 00000000000000a4 completed

echo "# queue, unknown queue, key"
front 1 /n/ && jq -c . "$tmp/body"
front 1 /x/00000000000000a1 && echo
key=wrong
front 1 /n/00000000000000a1 && echo
key=k1

echo "# bad input"
bad() { # LABEL BODY
	printf '%s ' "$1"
	front 1 /n/00000000000000b1 -d "$2"
	printf ' '
	jq -r .error "$tmp/body" | cut -c1-70
}
bad not-json '{"spec"'
bad list '[]'
bad no-steps '{"spec":"s","steps":[]}'
bad steps-type '{"spec":"s","steps":{}}'
bad negative '{"steps":[{"count":-1}]}'
bad huge '{"steps":[{"count":99999999999}]}'
bad fraction '{"steps":[{"count":1.5}]}'
bad text-number '{"steps":[{"count":"1"}]}'
bad forward '{"steps":[{"count":1,"after":[1]},{"count":1}]}'
bad itself '{"steps":[{"count":1,"after":[0]}]}'
bad circle '{"steps":[{"count":1,"after":[1]},{"count":1,"after":[0]}]}'
bad too-many '{"steps":[{"count":20000},{"count":20000}]}'
bad gang-type '{"steps":[{"count":1,"gang":"yes"}]}'
bad label-type '{"steps":[{"count":1,"requires":7}]}'
bad rack-type '{"steps":[{"count":1,"data-rack":["r1"]}]}'
bad image-type '{"steps":[{"count":1,"image":{}}]}'
bad long-spec "{\"spec\":\"$(printf '%05000d' 0)\",\"steps\":[{\"count\":1}]}"
bad times '{"times":-2,"steps":[{"count":1}]}'
printf 'id '
submit 1 xyz "ms=1" "$(steps 1)" && echo
printf 'method '
front 1 /n/00000000000000b1 -X PUT && echo
front 1 /n/00000000000000b1 && echo

judge
echo "# a request that arrives while its instance is held up as it stops"
kill -TERM "$queue_2_pid"
sleep 1
kill -STOP "$queue_2_pid"
later held . -H 'Host: h' -H "X-Api-Key: $key" "http://$(http_of queue-2)/n/"
sleep 2
kill -CONT "$queue_2_pid"
join held
echo "# a request that waits for an owner while its instance stops"
stop flow-1
stop flow-2
later count . -H 'Host: h' -H "X-Api-Key: $key" \
	-H 'Tarragonfield-Deadline-Ms: 20000' "http://$(http_of queue-1)/n/"
sleep 0.3
stop queue-1
join count
