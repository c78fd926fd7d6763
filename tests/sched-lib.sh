# Shell helpers of the scheduler's scripted runs; sourced, not run.
# Processes are ended by their pid when the script ends.
set -u
. "$TG_TESTS/process.inc"
# Defaults of the schedulers; a flag beats them.
export TG_SCHED_RENEW_MS=200 TG_SCHED_LEASE_MS=1000 TG_RENEW_MS=300
export TG_LEASE_MS=4000 TG_CALL_MS=300 TG_WORKER_LOST_MS=2000
W=$(mktemp -d)
PIDS=
trap finish EXIT INT TERM

finish() {
	# shellcheck disable=SC2086
	kill_own $PIDS
	wait 2>/dev/null
	keep_logs "$W"
	for f in "$W"/*.err; do
		[ -f "$f" ] && echo "== $(basename "$f")" >&2 && tail -n 15 "$f" >&2
	done
	rm -rf "$W"
}

listens() { # NAME PID: also if it has ended, which sets dead
	grep -q ready "$W/$1.out" && return 0
	kill -0 "$2" 2>/dev/null && return 1
	dead=$1
}

# start NAME PROGRAM ARGS...: sets NAME_pid, NAME_http, NAME_rpc
start() {
	_n=$1
	shift
	dead=
	# The line of an earlier process of that name must not be read.
	rm -f "$W/$_n.out"
	: >"$W/$_n.out"
	"$TG_BIN/$@" >>"$W/$_n.out" 2>"$W/$_n.err" &
	_p=$!
	PIDS="$PIDS $_p"
	await "$_n listens" listens "$_n" "$_p"
	if [ -n "$dead" ]; then
		echo "$dead ended at start"
		exit 1
	fi
	_l=$(head -n 1 "$W/$_n.out")
	_h=${_l#*http=}
	eval "${_n}_pid=$_p ${_n}_http=${_h%% *} ${_n}_rpc=${_l#*rpc=}"
}

# await TEXT COMMAND...: until the command succeeds
await() {
	_t=$1
	shift
	_i=0
	while ! "$@" >/dev/null 2>&1; do
		_i=$((_i + 1))
		if [ "$_i" -gt 1200 ]; then
			echo "not reached: $_t"
			exit 1
		fi
		sleep 0.05
	done
}

# stop_hard NAME: SIGKILL
stop_hard() {
	eval "_p=\$${1}_pid"
	kill -KILL "$_p"
	wait "$_p" 2>/dev/null
	return 0
}

post() { # ADDR PATH BODY
	curl -s -m 5 -d "$3" "http://$1$2"
}

get() { # ADDR PATH
	curl -s -m 5 "http://$1$2"
}

platform() {
	start platform platformd "$@"
}

faults() { # BODY
	post "$platform_http" /standin/faults "$1" >/dev/null
}

# worker NAME [ARGS...]: with 8 accelerators in rack r1 of AZ a
worker() {
	_w=$1
	shift
	start "$_w" workerd --name "$(echo "$_w" | tr _ -)" --az a --rack r1 \
		--platform "$platform_http" "$@"
}

document() { # GENERATION BODY
	curl -s -m 5 -X PUT --data-binary "$2" \
		"http://$platform_http/v1/objects/config/$1-t" >/dev/null
	post "$platform_http" /v1/table/txn "{\"token\":\"doc$1\",\"if\":[],\"put\":[{\"key\":
\"config/current\",\"value\":{\"generation\":$1,\"object\":\"config/$1-t\",\"author\":\"t\"}}]}" >/dev/null
}

plain_document() {
	document 1 '{"version":1,"weights":{"completion":70,"fragmentation":30},"workspaces":[
{"name":"courts"},{"name":"rota"}],"services":[],"drains":[]}'
}

# sched NAME [ARGS...]: with short periods, listed in the instance list
sched() {
	_s=$1
	shift
	start "$_s" tgschedd --instance "$_s" --az a --platform "$platform_http" \
		--drain-grace-ms 0 "$@"
	eval "_rpc=\$${_s}_rpc _http=\$${_s}_http"
	post "$platform_http" /standin/instances "{\"name\":\"$_s\",\"kind\":\"sched\",\"az\":\"a\",
\"addr\":\"$_http\",\"rpc_addr\":\"$_rpc\"}" >/dev/null
}

# call NAME CALL ARGS...: an RPC to a scheduler
call() {
	eval "_rpc=\$${1}_rpc"
	shift
	"$TG_BIN/rpcjob" "$_rpc" "$@"
}

active() { # NAME
	call "$1" list | grep -q '^ok'
}

ready() { # NAME: active with a document and all workers $2 up
	active "$1" && [ "$(call "$1" workers | grep -o '"state":"up"' |
		wc -l)" = "$2" ] &&
		eval "get \$${1}_http /readyz" | grep -q . &&
		[ "$(eval "curl -s -o /dev/null -w %{http_code} http://\$${1}_http/readyz")" = 200 ]
}

field() { # JSON-TEXT NAME: first value of a field
	printf '%s\n' "$1" | grep -o "\"$2\":[^,}]*" | head -n 1 | cut -d: -f2- | tr -d '" '
}

job_field() { # SCHED JOB FIELD
	field "$(call "$1" status courts "$2")" "$3"
}

job_is() { # SCHED JOB STATE
	[ "$(job_field "$1" "$2" state)" = "$3" ]
}

gang_is() { # SCHED JOB GANG-STATE
	[ "$(job_field "$1" "$2" gang)" = "$3" ]
}

# spec JOB TASKS ACCELERATORS [MORE]
spec() {
	printf '{"workspace":"courts","job":"%s","class":"%s","az":"a","tasks":%s,"accelerators_per_task":%s,
"cores_per_task":1,"memory_gb_per_task":1,"declared_ms":60000,"task":{%s}}' \
		"$1" "${5:-lent}" "$2" "$3" "${4:-}"
}

submit() { # SCHED JOB TASKS ACCELERATORS [TASK [CLASS]]
	_sc=$1
	shift
	call "$_sc" submit courts "$1" "$(spec "$@")"
}

running_on() { # WORKER JOB: leases in state running
	eval "get \$${1}_http /v1/state" | jq "[.leases[]|select(.job==\"$2\" and .state==\"running\")]|length"
}

# history WORKER JOB: "attempt index state [reason]" of each change
history() {
	eval "get \$${1}_http /standin/log" |
		jq -r ".tasks[]|select(.job==\"$2\")|\"\(.attempt) \(.index) \(.state) \(.reason // \"\")\"" |
		sed 's/ *$//'
}

# lives WORKERS... : from the workers' logs, one line per lease that ran:
# "job attempt index begin_ms end_ms" on the machine's clock
lives() {
	for _x in "$@"; do
		eval "get \$${_x}_http /standin/log" | jq -c '.tasks[]'
	done | jq -rs 'group_by([.job,.attempt,.index])[]|
		(map(select(.state=="running"))|.[0]) as $r|
		(map(select(.state=="ended"))|.[0]) as $e|
		select($r)|"\($r.job) \($r.attempt) \($r.index) \($r.at_ms) \($e.at_ms // 9e15)"'
}

# overlaps WORKERS...: pairs of attempts of one job that ran at one time
overlaps() {
	lives "$@" | awk '{ for (i = 1; i <= n; i++) if (job[i] == $1 &&
		att[i] != $2 && $4 < end[i] && beg[i] < $5) bad++
		n++; job[n] = $1; att[n] = $2; beg[n] = $4; end[n] = $5 }
		END { print bad + 0 }'
}

# parts SIZE WORKERS...: attempts of which a part ran, but never the whole gang
parts() {
	_size=$1
	shift
	lives "$@" | awk -v size="$_size" '{ seen[$1 " " $2]++ }
		END { for (k in seen) if (seen[k] != size) bad++
		print bad + 0 }'
}

# frozen NAME: whether a process is stopped
frozen() {
	eval "_p=\$${1}_pid"
	grep -q '^State:.T' "/proc/$_p/status"
}

continue_it() { # NAME
	eval "kill -CONT \$${1}_pid"
}

# may_renew NAME: it renews in an outage, since it read the row when listed
may_renew() {
	eval "get \$${1}_http /metrics" |
		grep -q '^tg_sched_may_renew_in_outage 1'
}

# knows NAME N: whether a process has seen N live peers
knows() {
	[ "$(grep -c 'EV1602 ' "$W/$1.err")" -ge "$2" ]
}
