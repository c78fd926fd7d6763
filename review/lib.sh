# Sourced by the scripts review/N/run.sh: starts the daemons with the commands
# of deploy/system.toml beside the project's stand-in of the platform, and keeps
# a record.  Exit status: 0 the rule held, 1 it was broken, 2 not run.
# shellcheck shell=sh
case_dir=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_dir/../.." && pwd)
TROUBLE=${TROUBLE:-1}
record=$case_dir/record.txt
TG_BIN=$root/build/bin
TG_TESTS=$root/tests
export TG_BIN TG_TESTS

for f in "$root/target/bin/tgqueued" "$root/target/bin/tgflowd" \
	"$TG_BIN/sited"; do
	[ -x "$f" ] || { echo "missing: $f; see review/build.sh" && exit 2; }
done
for f in curl jq; do
	command -v $f >/dev/null || { echo "missing: $f" && exit 2; }
done
cd "$root" || exit 2
. "$TG_TESTS/site-lib.sh"
trap 'exit 2' INT TERM
: >"$record"
began_ms=$(date +%s%3N)

# now_ms: since the start of the script
now_ms() {
	echo $(($(date +%s%3N) - began_ms))
}

# note TEXT...: a line of the record
note() {
	printf '%7d ms  %s\n' "$(now_ms)" "$*" >>"$record"
}

# not_run WHY
not_run() {
	note "could not run: $*"
	echo "could not run: $*"
	exit 2
}

# await WHAT SECONDS COMMAND...: until the command succeeds
await() {
	what=$1
	until_ms=$(($(now_ms) + $2 * 1000))
	shift 2
	until "$@" >/dev/null 2>&1; do
		[ "$(now_ms)" -lt "$until_ms" ] || not_run "no $what"
		sleep 0.05
	done
}

# start_program NAME BINARY-FOLDER PROGRAM FLAG...
start_program() {
	TG_BIN=$root/$2
	name=$1 prog=$3
	shift 3
	# start() exits with 1 if the program doesn't start.
	trap 'cleanup; exit 2' EXIT
	start "$name" "$prog" "$@"
	trap cleanup EXIT
	TG_BIN=$root/build/bin
	note "started $name, process $(pid_of "$name")"
}

# start_platform FLAG...: store and workers, with the operator's config
start_platform() {
	start_program site build/bin sited "$@"
	control config "$config"
}

# write_settings N STORE-ADDRESS: settings of machine N, as a small site has
# them (sites/zpdk-rota.toml)
write_settings() {
	cat >"$tmp/i$1.conf" <<-END
		node=front-a-$1
		role=queue
		machine-class=front
		serves=front,control
		ip=$net.$1
		zone=a
		region=r
		zones.a=r
		listen.front=$net.$1:8521
		listen.ready=$net.$1:8523
		listen.control=$net.$1:8526
		internal-ports=7000,7015
		seeds=$net.1:8526
		limits.cpu-share=0.25
		limits.cores=1
		limits.memory-mb=260
		limits.max-fds=4100
		heartbeat-ms=1500
		bounds.stable-window-ms=4000
		bounds.ack-ms=5000
		bounds.grace-s=6
		bounds.config-apply-ms=3000
		bounds.hold-max-ms=10000
		bounds.stop-ms=400
		bounds.gang-ms=3000
		bounds.cancel_ms=3000
		bounds.visible_ms=3000
		bounds.early_ms=250
		bounds.finish_s=14
		bounds.status_s=120
		bounds.reclaim-ms=2900
		orders=call
		platform.address=$2
		platform.form=table
		platform.row-bytes=65536
		platform.across=true
	END
}

# start_queue N, start_flow N: the roles of deploy/system.toml
start_queue() {
	export TARRAGONFIELD_NODE_FILE="$tmp/i$1.conf"
	start_program "queue-$1" target/bin tgqueued --metrics-addr="$net.$1:7001"
}

start_flow() {
	export TARRAGONFIELD_NODE_FILE="$tmp/i$1.conf"
	start_program "flow-$1" target/bin tgflowd --metrics-addr="$net.$1:7002"
}

# start_machine N STORE-ADDRESS
start_machine() {
	write_settings "$1" "$2"
	start_queue "$1"
	start_flow "$1"
	await "config on machine $1" 20 answers "$1" 410 0000000000000000
}

# store_door N: address of the store for machine N
store_door() {
	echo "$site_rpc" | cut -d, -f"$1"
}

has_owner() { # N...
	owner=$(owner_of "$@")
}

# request_job N JOB SPEC STEPS [QUEUE [FIELDS]]: a consumer hands a job in
request_job() {
	code=$(front "$1" "/${5:-n}/$2" \
		-d "{\"spec\":\"$3\",\"steps\":$4${6:-}}")
	note "consumer: POST job $2 ($3) to machine $1: $code"
	[ "$code" = 200 ]
}

# ask_state N JOB [QUEUE]: sets $shown
ask_state() {
	code=$(front "$1" "/${3:-n}/$2")
	shown=$(jq -r '.state // empty' "$tmp/body" 2>/dev/null)
	note "consumer: GET job $2 from machine $1: $code ${shown:--}"
}

# fault_at WORKER MODE: what happens to a worker
fault_at() {
	note "worker $1: $2"
	control "worker?id=$1&mode=$2"
}

# runs_of TASK-PREFIX: "WORKER TASK RUN" of the runs that workers have now
runs_of() {
	seen '.runs[]' | jq -r --arg p "$1" 'select(.task | startswith($p)) |
		"\(.worker) \(.task) \(.run)"'
}

has_run() { # TASK-PREFIX
	[ -n "$(runs_of "$1")" ]
}

# watch_runs: notes the runs on all workers whenever they change
watch_runs() {
	(
		last=
		while kill -0 $$ 2>/dev/null; do
			next=$(seen '[.runs[] | "\(.task) run \(.run) on \(.worker)"] |
				sort | join("; ")')
			[ "$next" = "$last" ] || note "workers run: $next"
			last=$next
			sleep 0.1
		done
	) &
	pids="$pids $!"
}

# keep_logs: what the daemons logged, for whoever follows the case
keep_logs() {
	note "--- what the daemons logged (warnings and worse)"
	cat "$tmp"/*.out | grep -E ' (WARN|ERROR) |EV5500|EV5501|EV5502' |
		grep -v EV1801 | sed 's/call=[^ ]*/call=[...]/' | cut -c1-220 |
		head -n 60 >>"$record"
}

# verdict STATUS TEXT
verdict() {
	note "verdict: $2"
	keep_logs
	echo "$2"
	exit "$1"
}

# stored TABLE PART: rows of the platform's store, as it answers
stored() {
	call=$(grep -o '"/rows-[g]et' "$root/platform/store.c" | head -n 1)
	curl -sf "http://$(store_door 1)${call#\"}?table=$1&part=$2"
}

# put_before WORKER PROGRAM: calls to the worker pass a program of ours from now
# on, which is started as NAME PROGRAM-WORKER
put_before() {
	entry=$(stored servers "" | jq -r --arg w "$1" \
		'.rows[] | select(.key == $w).value' | base64 -d)
	start_program "$2-$1" build/bin "$2" \
		--target="$(echo "$entry" | jq -r .address)"
	control "row?table=servers&key=$1" "$(echo "$entry" |
		jq -c --arg a "$(rpc_of "$2-$1")" '.address = $a')"
}

# limits NAME: what the limitd of that name has seen
limits() {
	curl -s "http://$(http_of "$1")/limits"
}
