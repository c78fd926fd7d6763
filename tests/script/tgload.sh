#!/bin/sh
# The load tool against a backend server: its counts must agree with what ran,
# since figures and failure tests rely on them.
. "$TG_TESTS/contract/common.inc"
start w-1 workerd --slots 16
agent=http://$http
server=$rpc

load() { # TITLE FLAG...: the counts; times differ from run to run
	echo "# $1"
	shift
	"$TG_BIN/tgload" --mode direct --target "$server" "$@" >"$tmp/load"
	echo "exit status $?"
	grep -E '^(sent|answered|not_run|unknown|error|wrong) ' "$tmp/load" |
		xargs
}
value() { # KEY
	sed -n "s/^$1 \([0-9]*\) .*/\1/p" "$tmp/load"
}
log() { # FILTER
	curl -s "$agent/standin/log" | jq -c "$1"
}
fault() {
	curl -s -o /dev/null -d "$1" "$agent/standin/faults"
}

load "closed loop" --count 300 --concurrency 8
log '[.requests | length, ([.[].request_id] | unique | length)]'
load "with a rate, keys and bodies" --count 200 --rate 2000 --method POST \
	--key caller --body-bytes 50 --seed 7
log '[.requests[] | select(.method == "POST")] |
	[length, ([.[].key] | unique | length),
	([.[].body_hash] | unique | length), ([.[].body_bytes] | unique)]'
log '[.requests[] | select(.method == "POST") | .body_hash] | sort' \
	>"$tmp/first"
load "same seed again" --count 200 --method POST --body-bytes 50 --seed 7
log '[.requests[] | select(.method == "POST") | .body_hash] | .[200:] | sort' \
	>"$tmp/second"
cmp "$tmp/first" "$tmp/second" && echo "the bodies are the same"

echo "# more than the slots"
before=$(log '.requests | length')
"$TG_BIN/tgload" --mode direct --target "$server" --count 100 \
	--concurrency 50 --query work_ms=100 >"$tmp/load"
echo "some refused: $(($(value not_run) > 0))"
echo "all counted: $(($(value answered) + $(value not_run) == 100))"
echo "answers are those that ran: $((before + $(value answered) == \
	$(log '.requests | length')))"

fault '{"close_after_read":true}'
load "answers lost" --count 20
fault '{"hang_service":true}'
load "no answers" --count 8 --deadline-ms 300
fault '{}'
echo "# bounded in time"
"$TG_BIN/tgload" --mode direct --target "$server" --count 1000 --rate 10 \
	--max-ms 500 >"$tmp/load"
echo "sent less than asked for: $(($(value sent) < 1000))"
kill -KILL "$pid"
wait "$pid"
load "no server" --count 5
echo "# invalid flags"
"$TG_BIN/tgload" --target "$server" --method BURN --key gold --mode x 2>&1
echo "exit status $?"
"$TG_BIN/tgload" --target "$server" --mode direct --key issued 2>&1
echo "exit status $?"
"$TG_BIN/tgload" --count 0 2>&1
echo "exit status $?"
