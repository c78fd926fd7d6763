#!/bin/sh
# Figures of failures, as "key value unit" lines; not a test.
# Usage: TG_BIN=$PWD/build/bin TG_TESTS=$PWD/tests sh tests/fault/measures.sh
. "$(dirname "$0")/../lib.sh"
CALLS=200
DEADLINE_MS=2000

figure() { # KEY of the load tool's output
	sed -n "s/^$1 \([0-9]*\) .*/\1/p" "$tmp/load"
}
share() { # NAME COUNT
	echo "$1 $(echo "$2" | awk -v n=$CALLS '{ printf "%.1f", 100 * $1 / n }') %"
}
# load ENTRY KEY-KIND SEED
load() {
	"$TG_BIN/tgload" --target "$(http_of "$1")" --method POST --key "$2" \
		--count $CALLS --concurrency 50 --body-bytes 20 \
		--deadline-ms $DEADLINE_MS --seed "$3" >"$tmp/load"
}
# ran_twice SEED: requests of that load that ran more than once; the path of the
# load tool's requests names the seed and the number of the request
ran_twice() {
	curl -s "http://$w_1_http/standin/log" | jq --arg p "/load/$1/" \
		'[[.requests[].path | select(startswith($p))] | group_by(.)[] |
			select(length > 1)] | length'
}

seed=1
outage() { # NAME FAULT
	for pair in none:e-1:after caller:u-1:no_claims \
		caller:v-1:unchecked caller:e-1:after issued:e-1:after; do
		kind=${pair%%:*}
		rest=${pair#*:}
		entry=${rest%%:*}
		seed=$((seed + 1))
		k=$1_${kind}_key_${rest#*:}
		fault platform "$2"
		load "$entry" "$kind" $seed
		share "${k}_answered" "$(figure answered)"
		share "${k}_refused" "$(figure not_run)"
		share "${k}_unknown" "$(figure unknown)"
		[ "$(figure error)" = 0 ] || share "${k}_error" "$(figure error)"
		fault platform '{}'
		[ "$kind" = caller ] || continue
		# The same keys at the other daemon, after the outage.
		other=${entry%1}2
		load "$other" caller $seed
		echo "${k}_repeated_ran_twice $(ran_twice $seed) requests"
	done
}

start platform platformd
# The limit in flight is shared by the entry daemons and must not be reached.
put_document 1 "$(echo "$document" | jq -c '.workspaces[0] |=
	(.rate_per_s = 100000 | .max_in_flight = 1000)')"
start_worker w-1 --slots=64
start_entry e-1
start_entry e-2
start_entry u-1 --unsafe-no-claims
start_entry u-2 --unsafe-no-claims
start_entry v-1 --unsafe-refuse-unchecked
start_entry v-2 --unsafe-refuse-unchecked
for e in e-1 e-2 u-1 u-2 v-1 v-2; do
	await "w-1 at $e" knows_worker $e w-1 up
	await "peers of $e" sees_peers $e 5
done
outage none '{}'
outage refuse '{"outage":"refuse"}'
outage hang '{"outage":"hang"}'
outage slow_500ms '{"slow_ms":500}'
outage lose_answer '{"outage":"lose_answer"}'
for e in e-1 e-2 u-1 u-2 v-1 v-2; do
	crash $e
	curl -sf -o /dev/null -X DELETE "http://$platform_http/standin/instances/$e"
done

# Load runs while the server begins to leave; what reaches it from then on is
# what it refuses.
leaving() { # NAME ENTRY FLAG...
	l=$1 e=$2
	shift 2
	start_entry "$e" "$@"
	await "w-1" knows_worker "$e" w-1 up
	await "w-2" knows_worker "$e" w-2 up
	before=$(curl -s "http://$w_1_http/standin/stats" | jq .not_run)
	"$TG_BIN/tgload" --target "$(http_of "$e")" --method POST --count 1500 \
		--rate 300 --concurrency 32 --deadline-ms 2000 --seed 900 \
		>"$tmp/load" &
	loading=$!
	await "the load" some_ran "$e"
	fault w-1 '{"draining":true}'
	wait $loading
	reached=$(($(curl -s "http://$w_1_http/standin/stats" | jq .not_run) -
		before))
	echo "leaving_server_reached_$l $reached requests"
	echo "leaving_server_answered_$l $(figure answered) requests"
	fault w-1 '{}'
	crash "$e"
	curl -sf -o /dev/null -X DELETE \
		"http://$platform_http/standin/instances/$e"
}
some_ran() {
	curl -s "http://$(http_of "$1")/metrics" |
		awk '/^tg_requests_total/ { n += $2 } END { exit !(n > 100) }'
}
start_worker w-2 --slots=64
leaving before u-3 --unsafe-ignore-draining
leaving after e-3

# From SIGKILL of the active scheduler until a job that is submitted again and
# again begins to run; default periods (row lease 3 s).
job_spec() {
	echo "{\"workspace\":\"courts\",\"job\":\"$1\",\"class\":\"lent\",\"az\":\"a\",
\"tasks\":1,\"accelerators_per_task\":1,\"cores_per_task\":1,\"memory_gb_per_task\":1,
\"declared_ms\":1000,\"task\":{\"run_ms\":100}}"
}
start_sched() {
	start "$1" tgschedd --instance="$1" --az=a --drain-grace-ms=0 \
		--platform="$platform_http"
	curl -sf -o /dev/null -d "{\"name\":\"$1\",\"kind\":\"sched\",
		\"az\":\"a\",\"addr\":\"$(http_of "$1")\",
		\"rpc_addr\":\"$(rpc_of "$1")\"}" \
		"http://$platform_http/standin/instances"
}
began_ms() { # JOB: on the machine's clock
	for w in w-1 w-2; do
		curl -s "http://$(http_of $w)/standin/log"
	done | jq -s --arg j "$1" '[.[].tasks[] |
		select(.job == $j and .state == "running") | .at_ms][0] // empty'
}
has_begun() {
	[ -n "$(began_ms "$1")" ]
}
submitted() { # JOB
	"$TG_BIN/rpcjob" "$(rpc_of "$2")" submit courts "$1" \
		"$(job_spec "$1")" | grep -q '^ok'
}
mono_ms() {
	awk '{ printf "%d", $1 * 1000 }' /proc/uptime
}
start_sched s-0
await "the first scheduler" submitted warm s-0
await "a job" has_begun warm
for n in 1 2 3; do
	start_sched "s-$n"
	await "a standby" curl -sf "http://$(http_of "s-$n")/readyz"
	killed=$(mono_ms)
	crash "s-$((n - 1))"
	await "the next scheduler" submitted "job-$n" "s-$n"
	await "the job" has_begun "job-$n"
	echo "scheduler_kill_to_start_$n $(($(began_ms "job-$n") - killed)) ms"
done
