# The processes of a random fault run.  Sourced by random-run.sh.
# shellcheck shell=sh
entries="e-1 e-2 e-3"
scheds="s-1 s-2 s-3"
workers="w-1 w-2 w-3 w-4"
az_a_workers="w-1 w-2 w-3"
# What a part of a gang may run beyond a lease after the whole gang ran: one
# renewal (800 ms) that was sent before the loss could be known, one call to a
# worker (300 ms), and 1,000 ms for processes that wait for a busy machine.
gang_margin_ms=2100
# An address of this run only: callers call a daemon also while it is killed, and
# its port may be that of another process by then.
own_address=127.$(($$ / 62500 % 250 + 1)).$(($$ / 250 % 250 + 1)).$(($$ % 250 + 1))
TG_HTTP_ADDR=$own_address:0 TG_RPC_ADDR=$own_address:0
TG_SERVICE_ADDR=$own_address:0
export TG_HTTP_ADDR TG_RPC_ADDR TG_SERVICE_ADDR
TG_SCHED_RENEW_MS=400 TG_SCHED_LEASE_MS=1500 TG_RENEW_MS=800
TG_LEASE_MS=$lease_ms TG_CALL_MS=300 TG_WORKER_LOST_MS=2000
TG_PROBE_MS=500 TG_CHECKPOINT_MS=1000 TG_DRAIN_GRACE_MS=600
# Several times the deadline of a request (4 s) and the longest job (6.1 s).
TG_DRAIN_MAX_MS=25000
export TG_SCHED_RENEW_MS TG_SCHED_LEASE_MS TG_RENEW_MS TG_LEASE_MS \
	TG_CALL_MS TG_WORKER_LOST_MS TG_PROBE_MS TG_CHECKPOINT_MS \
	TG_DRAIN_GRACE_MS TG_DRAIN_MAX_MS

az_of() {
	case $1 in
	e-3 | s-3 | w-4) echo b ;;
	*) echo a ;;
	esac
}

# run_of NAME: the name of its current process, other after each restart
run_of() { eval "echo $1.run-\$$(echo "$1" | tr - _)_runs"; }
is_up() { eval "[ \"\${$(echo "$1" | tr - _)_down:-}\" != 1 ]"; }
set_down() { eval "$(echo "$1" | tr - _)_down=$2"; }

kind_of() {
	case $1 in
	e-*) echo entry ;;
	s-*) echo sched ;;
	*) echo console ;;
	esac
}

list_instance() { # NAME [STATE]
	curl -sf -o /dev/null -m 5 -d "{\"name\":\"$1\",
		\"kind\":\"$(kind_of "$1")\",\"state\":\"${2:-live}\",\"az\":\"$(az_of "$1")\",\"addr\":\"$(http_of "$1")\",
		\"rpc_addr\":\"$(rpc_of "$1")\"}" \
		"http://$platform_http/standin/instances"
}

# launch NAME: starts it, again under a new run
launch() {
	v=$(echo "$1" | tr - _)
	eval "${v}_runs=\$((\${${v}_runs:-0} + 1))"
	r=$(run_of "$1")
	l=$1
	# shellcheck disable=SC2086
	case $l in
	w-*) start "$l" workerd --name="$l" --az="$(az_of "$l")" --rack=r1 \
		--platform="$platform_http" --log-level=warn \
		--log-file="$tmp/$l.log" ;;
	e-*) start "$l" tgentryd --instance="$l" --az="$(az_of "$l")" \
		--platform="$platform_http" $entry_flags ;;
	s-*) start "$l" tgschedd --instance="$l" --az="$(az_of "$l")" \
		--platform="$platform_http" $sched_flags ;;
	console) start console tgconsoled --instance=console --az=a \
		--platform="$platform_http" \
		--operator-key-file="$tmp/key" $console_flags ;;
	esac
	# The log of this process; the file has those of earlier runs, too.
	ln -f "$tmp/$l.err" "$tmp/$r.err"
	case $l in
	w-*) ;;
	*) list_instance "$l" ;;
	esac
	set_down "$l" 0
}

# kill_process NAME: SIGKILL; its log is kept apart from that of the next run
kill_process() {
	set_down "$1" 1
	crash "$1"
	record --arg n "$1" --argjson t "$(now_ms)" \
		'{kind: "killed", name: $n, at_ms: $t}'
	rm -f "$tmp/$1.out" "$tmp/$1.err"
}

# terminate NAME: SIGTERM, as in a planned stop, of which the platform's list
# shows that the instance leaves
terminate() {
	set_down "$1" 1
	t=$(now_ms)
	# At once, as the request that it is to hit takes less than 700 ms.
	is_own "$(pid_of "$1")" && kill -TERM "$(pid_of "$1")"
	record --arg n "$1" --argjson t "$t" \
		'{kind: "terminated", name: $n, at_ms: $t}'
	list_instance "$1" leaving
}

# Longest wait for the end of a terminated process, in seconds; more than
# TG_DRAIN_MAX_MS, after which a daemon ends whatever is left.
end_max_s=30

has_ended() { # PID of a child that has not been waited for
	case $(sed -n 's/.*) \([A-Z]\) .*/\1/p' "/proc/$1/stat" 2>/dev/null) in
	'' | Z) return 0 ;;
	esac
	return 1
}

# end_of NAME: waits until a process that was terminated has ended.  One that
# does not end is killed, and its exit status then shows that in the history.
end_of() {
	limit_ms=$(($(now_ms) + 1000 * end_max_s))
	until has_ended "$(pid_of "$1")"; do
		if [ "$(now_ms)" -gt "$limit_ms" ]; then
			note "$1 did not end after SIGTERM"
			kill_own "$(pid_of "$1")"
			break
		fi
		sleep 0.05
	done
	wait "$(pid_of "$1")"
	record --arg n "$1" --argjson s $? '{kind: "ended", name: $n, status: $s}'
	forget "$(pid_of "$1")"
	rm -f "$tmp/$1.out" "$tmp/$1.err"
}

ready() { curl -sf -m 2 "http://$(http_of "$1")/readyz"; }

sched_serves() { # AZ COUNT: the AZ's scheduler knows that many workers
	[ "$(curl -s -m 2 "http://$e_1_http/v1/workers" | jq --arg az "$1" \
		'[.workers[] | select(.az == $az and .state == "up")] |
		length')" -ge "$2" ]
}

active() { # AZ: a job call reaches its scheduler
	curl -sf -m 3 "http://$e_1_http/v1/guarantees" |
		jq -e '(.unreachable // []) == []'
}

bring_up() {
	start platform platformd --log-level=warn
	echo operator-key-0123456789 >"$tmp/key"
	for p in $workers $entries $scheds; do
		launch "$p"
	done
	launch console
	await "the first document" save_document 0 save-0 0
	for p in $entries $scheds; do
		await "readiness of $p" ready "$p"
	done
	for p in $workers; do
		await "$p at e-1" knows_worker e-1 "$p" up
	done
	await "schedulers" active
	# One that has not found itself in the instance list does not renew.
	for p in $scheds; do
		await "that $p may renew in an outage" may_renew "$p"
	done
}
