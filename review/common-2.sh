# Sourced by the scripts of review/6 to review/10: a small site on the project's
# stand-in of the platform.  The programs are those of the deploy file, with its
# commands.
# shellcheck shell=sh
case_dir=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_dir/../.." && pwd)
cd "$root" || exit 2
TG_TESTS=$root/tests TG_BIN=$root/target/bin
export TG_TESTS TG_BIN
for p in tgqueued tgflowd sited; do
	[ -x "$TG_BIN/$p" ] || {
		echo "$p is not built" >&2
		exit 2
	}
done
TROUBLE=${TROUBLE:-1}
# shellcheck disable=SC2034
stop_ms=400 heartbeat_ms=1500
. "$TG_TESTS/site-lib.sh"
# An assertion of the library that fails shows no broken rule.
trap 'exit 2' INT TERM
record=$case_dir/record.txt
: >"$record"
began_s=$(date +%s)

# note TEXT...: a line of the record, with the seconds since the start
note() {
	printf '%3d s  %s\n' $(($(date +%s) - began_s)) "$*" >>"$record"
}

# cannot TEXT...: the case could not run
cannot() {
	note "could not run: $*"
	exit 2
}

# attempt TRIES COMMAND...: every 0.1 s until it succeeds
attempt() {
	tries=$1
	shift
	until "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ $tries -gt 0 ] || return 1
		sleep 0.1
	done
}

# launch NAME PROGRAM FLAG...: a program of the deploy file on instance $n
launch() {
	TARRAGONFIELD_NODE_FILE=$tmp/i$n.conf
	export TARRAGONFIELD_NODE_FILE
	start "$@"
}

# deploy N: both roles of the deploy file on an instance of its own
deploy() {
	n=$1
	door=$(echo "$site_rpc" | cut -d, -f"$n")
	cat >"$tmp/i$n.conf" <<-END
		node=i$n
		zone=a
		ip=$net.$n
		listen.front=$net.$n:0
		listen.ready=$net.$n:0
		platform.address=$door
		platform.row-bytes=65536
		internal-ports=7000,7015
		heartbeat-ms=$heartbeat_ms
		limits.cpu-share=0.25
		limits.cores=1
		limits.memory-mb=260
		limits.max-fds=4100
		bounds.grace-s=6
		bounds.hold-max-ms=10000
		bounds.stop-ms=$stop_ms
		bounds.status_s=120
		bounds.reclaim-ms=2900
		bounds.early_ms=250
	END
	launch "queue-$n" tgqueued --metrics-addr="$net.$n:7001"
	launch "flow-$n" tgflowd --metrics-addr="$net.$n:7002" \
		--follow-speed --fair-shares
	attempt 300 answers "$n" 410 0000000000000000 ||
		cannot "no configuration on instance $n"
}

# start_platform FLAG...: as start_site, with the stand-in $site_program
start_platform() {
	start site "${site_program:-sited}" --heartbeat-ms="$heartbeat_ms" \
		--hold-max-ms="$hold_max_ms" "$@"
	control config "$config"
}

# site FLAG...: the platform and two instances, one of which owns the site
site() {
	start_platform --stores=2 --stop-ms="$stop_ms" "$@"
	deploy 1
	deploy 2
	attempt 300 owner_of 1 2 || cannot "no owner"
	note "site is up: instances 1 and 2, owner $(owner_of 1 2)"
}

# hand_in N JOB SPEC STEPS [QUEUE]: it has to be accepted
hand_in() {
	code=$(submit "$@")
	note "sent POST $2 (spec \"$3\", steps $4): $code"
	[ "$code" = 200 ] || cannot "$2 was not accepted"
}

# shown N JOB [QUEUE]: state or status that a caller is shown, into the record
shown() {
	code=$(front "$1" "/${3:-n}/$2")
	text=$(jq -r .state "$tmp/body" 2>/dev/null)
	note "sent GET $2: $code ${text:-}"
	[ "$code" = 200 ] && echo "$text" || echo "$code"
}

# runs_of JOB: runs of the job on all workers, one a line
runs_of() {
	seen '.runs[]' | jq -r --arg j "$1." \
		'select(.task | startswith($j)) | "\(.task) run \(.run) on \(.worker)"'
}

has_runs() { # JOB COUNT
	[ "$(runs_of "$1" | wc -l)" -eq "$2" ]
}

note_runs() {
	note "runs on workers: $(seen '.runs[]' |
		jq -r '"\(.task)#\(.run)@\(.worker)"' | tr '\n' ' ')"
}

# verdict STATUS TEXT...
verdict() {
	status=$1
	shift
	note "$*"
	echo "$*"
	exit "$status"
}
