# Sourced by scripted tests: starts programs, waits for states, prints calls.
# Only processes whose ids are kept here are ever signalled.
# shellcheck shell=sh
set -u
: "${TG_BIN:?run by tests/run.sh}"
tmp=$(mktemp -d)
pids=

. "$TG_TESTS/process.inc"

cleanup() {
	# shellcheck disable=SC2086
	kill_own $pids
	keep_logs "$tmp"
	rm -rf "$tmp"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

# start NAME PROGRAM FLAG...: waits for the ready line; sets NAME_pid,
# NAME_http and NAME_rpc ("-" in NAME becomes "_").  Log: $tmp/NAME.err
start() {
	name=$1 prog=$2
	shift 2
	var=$(echo "$name" | tr - _)
	# The line of an earlier process of that name must not be read.
	rm -f "$tmp/$name.out"
	"$TG_BIN/$prog" "$@" >"$tmp/$name.out" 2>>"$tmp/$name.err" &
	p=$!
	pids="$pids $p"
	i=0
	until grep -qs ' ready ' "$tmp/$name.out"; do
		i=$((i + 1))
		if [ $i -gt 300 ] || ! kill -0 "$p" 2>/dev/null; then
			echo "$name did not start"
			cat "$tmp/$name.err" >&2
			exit 1
		fi
		sleep 0.1
	done
	eval "${var}_pid=$p"
	eval "${var}_http=$(sed -n 's/.* http=\([^ ]*\).*/\1/p' "$tmp/$name.out")"
	eval "${var}_rpc=$(sed -n 's/.* rpc=\([^ ]*\).*/\1/p' "$tmp/$name.out")"
}

# pid_of NAME, http_of NAME, rpc_of NAME
pid_of() { eval "echo \$$(echo "$1" | tr - _)_pid"; }
http_of() { eval "echo \$$(echo "$1" | tr - _)_http"; }
rpc_of() { eval "echo \$$(echo "$1" | tr - _)_rpc"; }

# forget PID: it has ended
forget() {
	left=
	for p in $pids; do
		[ "$p" = "$1" ] || left="$left $p"
	done
	pids=$left
}

# stop NAME: SIGTERM, then prints the exit status
stop() {
	is_own "$(pid_of "$1")" && kill -TERM "$(pid_of "$1")"
	wait "$(pid_of "$1")"
	echo "$1 ended with $?"
	forget "$(pid_of "$1")"
}

# crash NAME: SIGKILL
crash() {
	is_own "$(pid_of "$1")" && kill -KILL "$(pid_of "$1")"
	wait "$(pid_of "$1")" 2>/dev/null
	forget "$(pid_of "$1")"
}

# await WHAT COMMAND...: until the command succeeds, at most 30 s, or
# $await_tries times 0.1 s
await() {
	what=$1
	shift
	i=0
	until "$@" >/dev/null 2>&1; do
		i=$((i + 1))
		if [ $i -gt "${await_tries:-300}" ]; then
			echo "no $what"
			exit 1
		fi
		sleep 0.1
	done
}

# fault NAME JSON: sets the faults of a stand-in; {} ends them
fault() {
	curl -sf -m 10 -o /dev/null -d "$2" \
		"http://$(http_of "$1")/standin/faults" ||
		echo "fault not set: $1 $2"
}

# put_document GENERATION TEXT: what a console does, without checks
put_document() {
	printf '%s' "$2" >"$tmp/document"
	curl -sf -o /dev/null -T "$tmp/document" \
		"http://$platform_http/v1/objects/config/$1-test"
	version=$(curl -sf "http://$platform_http/v1/table/row?key=config/current" |
		jq .version)
	jq -nc --argjson g "$1" --argjson v "${version:-0}" '{token: "doc\($g)",
		if: [{key: "config/current", version: $v}],
		put: [{key: "config/current", value: {generation: $g,
			object: "config/\($g)-test", author: "test"}}]}' |
		curl -sf -o /dev/null -d @- "http://$platform_http/v1/table/txn"
}

# register_entry NAME AZ: what the platform does with a started instance
register_entry() {
	curl -sf -o /dev/null -d "{\"name\":\"$1\",\"kind\":\"entry\",
		\"az\":\"$2\",\"addr\":\"$(http_of "$1")\",
		\"rpc_addr\":\"$(rpc_of "$1")\"}" \
		"http://$platform_http/standin/instances"
}

# metric NAME SERIES: value of a counter, 0 if absent
metric() {
	curl -s "http://$(http_of "$1")/metrics" |
		awk -v s="$2" '$1 == s { v = $2 } END { print v + 0 }'
}

# may_renew SCHED: it renews in an outage, since it read the row when listed
may_renew() {
	[ "$(metric "$1" tg_sched_may_renew_in_outage)" = 1 ]
}

# call LABEL FILTER CURL-ARGUMENT...: prints LABEL, status, Tg-Outcome and the
# body through the jq filter; the headers are in $tmp/LABEL.head
call() {
	label=$1 filter=$2
	shift 2
	status=$(curl -s -m 60 -D "$tmp/$label.head" -o "$tmp/$label.body" \
		-w '%{http_code}' "$@")
	rc=$?
	if [ $rc -ne 0 ]; then
		echo "$label: curl $rc"
		return
	fi
	outcome=$(tr -d '\r' <"$tmp/$label.head" |
		sed -n 's/^Tg-Outcome: //p')
	printf '%s: %s %s %s\n' "$label" "$status" "${outcome:--}" \
		"$(jq -cS "$filter" "$tmp/$label.body" 2>/dev/null)"
}

# runs NAME KEY-OR-PATH: how often a worker ran requests with this in the path
runs() {
	curl -s "http://$(http_of "$1")/standin/log" |
		jq --arg p "$2" '[.requests[] | select(.path | contains($p))] | length'
}

# start_worker NAME FLAG...: a worker of AZ a that is in the list
start_worker() {
	wname=$1
	shift
	start "$wname" workerd --name="$wname" --az=a --log-level=warn \
		--platform="$platform_http" "$@"
}

# Defaults of start_entry; flags beat variables.
TG_PROBE_MS=100
TG_DRAIN_GRACE_MS=0
export TG_PROBE_MS TG_DRAIN_GRACE_MS

# start_entry NAME FLAG...: an entry daemon of AZ a, listed and ready
start_entry() {
	ename=$1
	shift
	start "$ename" tgentryd --instance="$ename" --az=a \
		--platform="$platform_http" "$@"
	register_entry "$ename" a
	await "readiness of $ename" \
		curl -sf "http://$(http_of "$ename")/readyz"
}

# knows_worker ENTRY WORKER STATE
knows_worker() {
	curl -s "http://$(http_of "$1")/v1/workers" |
		jq -e --arg w "$2" --arg s "$3" \
			'.workers[] | select(.worker == $w and .state == $s)'
}

# sees_peers ENTRY COUNT: live peers, itself not among them
sees_peers() {
	[ "$(metric "$1" tg_peers_live)" -eq "$2" ]
}

document='{"version":1,"weights":{"completion":70,"fragmentation":30},
"workspaces":[{"name":"courts","max_in_flight":64,"rate_per_s":1000},
 {"name":"small","max_in_flight":2,"rate_per_s":1000}],
"services":[{"name":"responder","workspaces":["courts","small"],"azs":["a"],
 "timeout_ms":5000,"queue":256,"idempotent_methods":["GET","HEAD"]},
 {"name":"brisk","workspaces":["courts"],"azs":["a"],
 "timeout_ms":500,"queue":256,"idempotent_methods":["GET","HEAD"]}]}'

# later LABEL FILTER CURL-ARGUMENT...: call in the background
later() {
	call "$@" >"$tmp/$1.line" &
	eval "later_$(echo "$1" | tr - _)=$!"
}

# join LABEL...: waits for background calls and prints their lines
join() {
	for l in "$@"; do
		eval "wait \$later_$(echo "$l" | tr - _)"
		cat "$tmp/$l.line"
	done
}

# running WORKER COUNT: requests that run there now
running() {
	curl -s "http://$(http_of "$1")/standin/stats" |
		jq -e --argjson n "$2" '.in_use == $n'
}

# has_outcome ENTRY WORKSPACE KEY OUTCOME
has_outcome() {
	curl -s "http://$(http_of "$1")/v1/requests/$2/$3" |
		jq -e --arg o "$4" '.outcome == $o'
}

# row_state KEY-OF-ROW STATE
row_state() {
	curl -s "http://$platform_http/v1/table/row?key=$1" |
		jq -e --arg s "$2" '.value.state == $s'
}
