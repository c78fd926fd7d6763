# Sourced by scripted tests of the queue and flow daemons: a site on the
# stand-in of the users' platform.
# shellcheck shell=sh
. "$TG_TESTS/lib.sh"

# Loopback addresses of this run, so that runs beside it don't meet.
net=127.$(($$ / 250 % 250 + 1)).$(($$ % 250 + 1))
key=k1
status_s=120
share=0.5
row_bytes=${row_bytes:-65536}
heartbeat_ms=${heartbeat_ms:-500}
stop_ms=${stop_ms:-200}
hold_max_ms=${hold_max_ms:-10000}
zone=${zone:-a}
config='{"version":7,"routes":[
 {"name":"normal","host":"h","path-prefix":"/n/","priority":1,"service":"svc",
  "max-attempts":3,"stretch":3.0,"target-runtime-ms":1000},
 {"name":"urgent","host":"h","path-prefix":"/u/","priority":0,"service":"svc",
  "max-attempts":3,"stretch":1.5,"target-runtime-ms":500}],
 "services":[{"name":"svc","admission-check":false}],
 "limits":{"max-body-bytes":262144},
 "tenants":[{"name":"courts","api-keys":["k1","k2"],"guaranteed":{"gpu":8}}]}'

# control PATH [BODY]: a control call of the stand-in
control() {
	printf '%s' "${2:-}" | curl -sf -o /dev/null -X POST --data-binary @- \
		"http://$site_http/standin/$1" || echo "control call failed: $1"
}

# seen FILTER: what the stand-in saw
seen() {
	curl -s "http://$site_http/standin/seen" | jq -c "$1"
}

# large_config GENERATION COUNT: JSON of the document with COUNT more queues
large_config() {
	echo "$config" | jq -c --argjson g "$1" --argjson n "$2" '.version = $g |
		.routes += [range($n) as $i | .routes[0] | .name = "more\($i)" |
			.["path-prefix"] = "/more\($i)/"]'
}

# start_site FLAG...: the platform
start_site() {
	start site sited --heartbeat-ms="$heartbeat_ms" \
		--hold-max-ms="$hold_max_ms" "$@"
	control config "$config"
}

# start_instance N [FLOW-FLAG...]: instance N uses address N of the store
start_instance() {
	n=$1
	shift
	door=$(echo "$site_rpc" | cut -d, -f"$n")
	cat >"$tmp/i$n.conf" <<-END
		node=${node_prefix:-i}$n
		zone=$zone
		ip=$net.$n
		listen.front=$net.$n:0
		listen.ready=$net.$n:${ready_port:-0}
		platform.address=$door
		platform.row-bytes=$row_bytes
		internal-ports=7000,7015
		heartbeat-ms=$heartbeat_ms
		limits.cpu-share=$share
		limits.cores=1
		bounds.grace-s=3
		bounds.hold-max-ms=$hold_max_ms
		bounds.stop-ms=$stop_ms
		bounds.status_s=$status_s
		bounds.reclaim-ms=3400
		bounds.early_ms=250
		${evacuate_ms:+bounds.evacuate-ms=$evacuate_ms}
		${max_fds:+limits.max-fds=$max_fds}
		${memory_mb:+limits.memory-mb=$memory_mb}
		unknown.field=ignored
	END
	start "queue-$n" tgqueued --settings="$tmp/i$n.conf"
	start "flow-$n" tgflowd --settings="$tmp/i$n.conf" \
		--metrics-addr="$net.$n:0" "$@"
	await "document on $n" answers "$n" 410 0000000000000000
}

# ready_of N: its address for readiness checks, if ready_port is set
ready_of() {
	echo "$net.$1:$ready_port"
}

# restart_flow N FLAG...: its flow daemon crashes and starts again
restart_flow() {
	n=$1
	shift
	crash "flow-$n"
	start "flow-$n" tgflowd --settings="$tmp/i$n.conf" \
		--metrics-addr="$net.$n:0" "$@"
}

# front N PATH CURL-FLAG...: status of a call; the body is in $tmp/body
front() {
	n=$1 path=$2
	shift 2
	curl -s -m 20 -o "$tmp/body" -D "$tmp/head" -w '%{http_code}' \
		-H 'Host: h' -H "X-Api-Key: $key" "$@" \
		"http://$(http_of "queue-$n")$path"
}

answers() { # N STATUS JOB
	[ "$(front "$1" "/n/$3")" = "$2" ]
}

answers_at() { # N PREFIX STATUS
	[ "$(front "$1" "${2}0000000000000000")" = "$3" ]
}

# steps COUNT [FIELDS]: JSON of a job's only step
steps() {
	echo "[{\"count\":$1,\"cpu\":1000,\"mem-mb\":1000,\"gpu\":1,\"est-ms\":300${2:-}}]"
}

# submit N JOB SPEC STEPS [QUEUE]: status
submit() {
	front "$1" "/${5:-n}/$2" -d "{\"spec\":\"$3\",\"steps\":$4}"
}

state() { # N JOB
	front "$1" "/n/$2" >/dev/null
	jq -r .state "$tmp/body"
}

is_state() { # N JOB STATE
	[ "$(state "$1" "$2")" = "$3" ]
}

# await_state N JOB STATE
await_state() {
	await "$3 of $2" is_state "$1" "$2" "$3"
	echo "$2 $3"
}

owns() { # N
	[ "$(metric "flow-$1" tg_flow_owner)" = 1 ]
}

# owner_of N...: number of the instance that owns the site
owner_of() {
	for n in "$@"; do
		owns "$n" && echo "$n" && return
	done
	return 1
}

runs_now() { # COUNT
	[ "$(seen '.runs | length')" -eq "$1" ]
}

# judge: what no worker may have seen, nor the store: writes beyond its limits
judge() {
	seen '{over_room, twice, after_done, refused}'
}
