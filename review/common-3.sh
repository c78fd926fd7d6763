# Sourced by the scripts of cases 11 to 15: a small site on loopback addresses.
# The programs of the system run with the commands of the deploy file; the
# platform and its workers are the project's stand-in.
# Exit status of a script: 1 the rule was broken, 0 it held, 2 it couldn't run.
# shellcheck shell=sh
set -u
TROUBLE=${TROUBLE:-1}
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
record=$here/record.txt
tmp=$(mktemp -d) || exit 2
pids=
net=127.$(($$ / 250 % 250 + 1)).$(($$ % 250 + 1))
heartbeat_ms=${heartbeat_ms:-1500}
status_s=${status_s:-120}
key_header=$(sed -n 's/.*"\(X-[A-Za-z-]*\)".*/\1/p' "$root/platform/front.c" |
	head -n 1)
: >"$record"

# is_own PID: whether it is still a child of this shell; the id of a process that
# has ended may belong to another one by now
is_own() {
	[ "$(sed -n 's/.*) [A-Z] \([0-9]*\) .*/\1/p' "/proc/$1/stat" \
		2>/dev/null)" = $$ ]
}

cleanup() {
	for p in $pids; do
		is_own "$p" || continue
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	[ -z "${KEEP:-}" ] || cp "$tmp"/* "$KEEP"/
	rm -rf "$tmp"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

now_ms() { date +%s%3N; }
begun_ms=$(now_ms)

# say TEXT: into the record, with the time since the start in ms
say() {
	printf '%6d %s\n' $(($(now_ms) - begun_ms)) "$*" >>"$record"
}

cannot() { # WHY
	say "could not run: $*"
	exit 2
}

held() { # WHY
	say "held: $*"
	exit 0
}

broken() { # WHY
	say "BROKEN: $*"
	exit 1
}

# start NAME COMMAND...: in the root of the repository; waits for its ready line
start() {
	name=$1
	shift
	: >"$tmp/$name.out"
	(cd "$root" && exec "$@") >"$tmp/$name.out" 2>>"$tmp/$name.err" &
	eval "pid_$name=$!"
	pids="$pids $!"
	i=0
	until grep -q ' ready ' "$tmp/$name.out"; do
		i=$((i + 1))
		[ $i -le 100 ] || cannot "$name does not start"
		sleep 0.1
	done
	say "started $name"
}

address_of() { # NAME
	sed -n 's/.* http=\([^ ]*\).*/\1/p' "$tmp/$1.out"
}

# control CALL [BODY]: to the stand-in
control() {
	printf '%s' "${2:-}" | curl -sf -m 5 -o /dev/null -X POST \
		--data-binary @- "http://$site/standin/$1" ||
		cannot "control call $1"
}

# seen FILTER: what the stand-in has seen
seen() {
	curl -s -m 5 "http://$site/standin/seen" | jq -c "$1"
}

# start_site FLAG...: store and workers, with the bounds of the small sites
start_site() {
	start site target/bin/sited --heartbeat-ms="$heartbeat_ms" \
		--hold-max-ms=10000 --stop-ms=400 --stores=4 "$@"
	site=$(address_of site)
	doors=$(sed -n 's/.* rpc=\([^ ]*\).*/\1/p' "$tmp/site.out")
}

# start_instance N: both roles of instance N
start_instance() {
	n=$1
	cat >"$tmp/i$n.conf" <<-END
		node=front-$n
		role=front
		machine-class=front
		zone=a
		region=ra
		zones.a=ra
		ip=$net.$n
		listen.front=$net.$n:8521
		listen.ready=$net.$n:8523
		listen.control=$net.$n:8526
		internal-ports=7000,7015
		bootstrap=true
		limits.cpu-share=0.25
		limits.cores=1
		limits.memory-mb=260
		limits.max-fds=4100
		platform.address=$(echo "$doors" | cut -d, -f"$n")
		platform.form=table
		platform.row-bytes=65536
		platform.across=true
		heartbeat-ms=$heartbeat_ms
		orders=call
		bounds.grace-s=6
		bounds.hold-max-ms=10000
		bounds.stop-ms=400
		bounds.gang-ms=3000
		bounds.cancel_ms=3000
		bounds.visible_ms=3000
		bounds.early_ms=250
		bounds.status_s=$status_s
		bounds.config-apply-ms=3000
		bounds.reclaim-ms=2900
	END
	export TARRAGONFIELD_NODE_FILE="$tmp/i$n.conf"
	start "queue$n" target/bin/tgqueued --metrics-addr="$net.$n:7001"
	start "flow$n" target/bin/tgflowd --metrics-addr="$net.$n:7002" \
		--follow-speed --fair-shares
}

# front N METHOD PATH [BODY]: prints the status; the body is in $tmp/body
front() {
	status=$(curl -s -m 4 -o "$tmp/body" -w '%{http_code}' -X "$2" \
		-H 'Host: h.example' -H "$key_header: ${key:-k1}" \
		${4:+-d "$4"} "http://$net.$1:8521$3")
	say "instance $1: $2 $3 ${4:-}"
	say "    -> $status $(head -c 200 "$tmp/body" 2>/dev/null)"
	echo "$status"
}

# submit N PATH BODY: until it is accepted
submit() {
	i=0
	until [ "$(front "$1" POST "$2" "$3")" = 200 ]; do
		i=$((i + 1))
		[ $i -le 20 ] || cannot "job $2 is not accepted"
		sleep 0.5
	done
}

# state N PATH: state of the job, or the status of the answer
state() {
	s=$(front "$1" GET "$2")
	if [ "$s" = 200 ]; then
		jq -r .state "$tmp/body"
	else
		echo "$s"
	fi
}

# run_on TASK: worker that runs it now, or nothing
run_on() {
	seen ".runs[] | select(.task == \"$1\") | .worker" | tr -d '"' | head -n 1
}

# await WHAT SECONDS COMMAND...: until the command prints something
await() {
	what=$1 left=$(($2 * 10))
	shift 2
	until [ -n "$("$@")" ]; do
		left=$((left - 1))
		[ $left -gt 0 ] || return 1
		sleep 0.1
	done
	say "$what: $("$@")"
}
