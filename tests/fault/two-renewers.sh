# A worker that runs a job answers another scheduler daemon, but not the active
# one.  Guards against an active scheduler that counts the job's lease as
# expired and starts it again while the other daemon renews the lease.
#
# Two stand-ins of the platform show one state to two sides of a partition.  The
# active scheduler reads "platform", where the worker has an address at which
# nothing listens; the other daemon reads "far", which then has an outage.
. "$TG_TESTS/sched-lib.sh"
nowhere=127.0.0.1:1

list() { # PLATFORM NAME KIND ADDR RPC-ADDR
	post "$1" /standin/instances "{\"name\":\"$2\",\"kind\":\"$3\",\"az\":\"a\",
\"rack\":\"r1\",\"addr\":\"$4\",\"service_addr\":\"$4\",\"rpc_addr\":\"$5\",
\"cores\":128,\"memory_gb\":256,\"accelerators\":8,\"slots\":8,
\"connections\":64}" >/dev/null
}
unlist() { # PLATFORM NAME
	curl -s -m 5 -X DELETE "http://$1/standin/instances/$2" >/dev/null
}
# copy KEY: a row of the platform to the far side
copy() {
	get "$platform_http" "/v1/table/row?key=$1" |
		jq -c '{token: "copy", if: [], put: [{key, value}]}' |
		curl -s -m 5 -o /dev/null -d @- "http://$far_http/v1/table/txn"
}
attempt_runs() { # SCHED ATTEMPT
	[ "$(job_field "$1" g attempt)" = "$2" ] && gang_is "$1" g running
}
unaccounted() { # SCHED
	grep -q EV3033 "$W/$1.err"
}
lease_runs() { # WORKER
	[ "$(running_on "$1" g)" = 1 ]
}
renews() { # SCHED: in the outage
	grep -q EV3030 "$W/$1.err"
}
end_all() {
	for n in s1 s2 w1 w2 platform far; do
		stop_hard $n
	done 2>/dev/null
}
begin() {
	platform
	start far platformd
	plain_document
	# They register by themselves on the far side only, again every 5 s.
	for w in w1 w2; do
		start $w workerd --name $w --az a --rack r1 \
			--platform "$far_http"
		eval "list $platform_http $w worker \$${w}_http ''"
	done
}
cut_off() { # PLATFORM WORKER
	list "$1" "$2" worker $nowhere ""
}
run_job() { # SCHED
	submit "$1" g 1 8 >/dev/null
	await "the job runs" gang_is "$1" g running
	lease_runs w1 && v=w1 || v=w2
}

# judge TEXT SCHED: prints what the active one did, with the protection off
judge_off() {
	await "attempt 2 runs" attempt_runs "$2" 2
	await "its task began" ran_twice
	echo "$1: at one time: $([ "$(overlaps w1 w2)" -gt 0 ] && echo yes ||
		echo no)"
}
ran_twice() {
	[ "$(lives w1 w2 | awk '$1 == "g"' | wc -l)" = 2 ]
}
# judge_on TEXT SCHED OTHER: attempt 2 waits for the end of the other daemon
judge_on() {
	await "$2 waits for $3" unaccounted "$2"
	# Three leases pass.
	sleep 12
	echo "$1: after 3 leases: attempt $(job_field "$2" g attempt)," \
		"attempt 1 runs: $(lease_runs $v && echo yes || echo no)"
	stop_hard "$3"
	unlist "$platform_http" "$3"
	await "attempt 2 runs" attempt_runs "$2" 2
	await "its task began" ran_twice
	echo "$1: at one time: $(overlaps w1 w2)"
}

standby() { # TEXT FLAG...
	text=$1
	shift
	begin
	sched s1 "$@"
	await "s1 is ready" ready s1 2
	copy sched/a
	copy config/current
	list "$far_http" s2 sched $nowhere $nowhere
	start s2 tgschedd --instance s2 --az a --platform "$far_http" \
		--drain-grace-ms 0 --sched-lease-ms 600000 "$@"
	list "$platform_http" s2 sched "$s2_http" "$s2_rpc"
	await "s1 sees s2" knows s1 1
	run_job s1
	await "s2 may renew" may_renew s2
	post "$far_http" /standin/faults '{"outage":"refuse"}' >/dev/null
	await "s2 renews" renews s2
	cut_off "$platform_http" $v
	if [ $# -gt 0 ]; then
		judge_off "$text" s1
	else
		judge_on "$text" s1 s2
	fi
	end_all
}

former() { # TEXT FLAG...
	text=$1
	shift
	begin
	# s1 is on the far side from the start.
	document_on_far
	start s1 tgschedd --instance s1 --az a --platform "$far_http" \
		--drain-grace-ms 0 "$@"
	list "$far_http" s1 sched "$s1_http" "$s1_rpc"
	list "$platform_http" s1 sched "$s1_http" "$s1_rpc"
	await "s1 is ready" ready s1 2
	run_job s1
	await "s1 may renew" may_renew s1
	back sched/a
	back jobs/a/g
	cut_off "$platform_http" $v
	post "$far_http" /standin/faults '{"outage":"refuse"}' >/dev/null
	sched s2 "$@"
	await "s2 is active" active s2
}
document_on_far() {
	copy config/current
	get "$platform_http" /v1/objects/config/1-t |
		curl -s -m 5 -o /dev/null -X PUT --data-binary @- \
			"http://$far_http/v1/objects/config/1-t"
}
# back KEY: a row of the far side to the platform
back() {
	get "$far_http" "/v1/table/row?key=$1" |
		jq -c '{token: "copy", if: [], put: [{key, value}]}' |
		curl -s -m 5 -o /dev/null -d @- \
			"http://$platform_http/v1/table/txn"
}

former_off() {
	former "$@"
	judge_off "$1" s2
	end_all
}
former_on() {
	former "$@"
	judge_on "$1" s2 s1
	end_all
}
# Nobody ends s1; its renewals end by themselves, and s2 waits for that.
former_limit() {
	former "$@"
	await "s2 waits for s1" unaccounted s2
	await "attempt 2 runs" attempt_runs s2 2
	await "its task began" ran_twice
	echo "$1: at one time: $(overlaps w1 w2)"
	end_all
}

# The lost worker holds the raised epoch when it is reached again, and is called
# with the one before.  Guards against a scheduler that steps down by its own
# epoch.
own_epoch() { # TEXT
	begin
	sched s1
	await "s1 is ready" ready s1 2
	run_job s1
	cut_off "$platform_http" $v
	await "the epoch is raised" grep -q EV3032 "$W/s1.err"
	eval "addr=\$${v}_http"
	post "$addr" /v1/epoch '{"az":"a","epoch":2,"holder":"s1"}' >/dev/null
	list "$platform_http" $v worker "$addr" ""
	await "the job runs again" job_runs_again
	await "both workers are up" ready s1 2
	echo "$1: steps down: $(grep -c EV3002 "$W/s1.err")," \
		"epoch of the worker: $(get "$addr" /v1/state | jq .epoch)"
	for n in s1 w1 w2 platform far; do
		stop_hard $n
	done
}
job_runs_again() {
	attempt_runs s1 2
}

standby "standby, protection off" --unsafe-ignore-renewers
standby "standby"
former_off "former scheduler, protection off" --unsafe-ignore-renewers
former_on "former scheduler"
former_limit "former scheduler, limit of 6 s" --outage-renewal-max-ms=6000
own_epoch "own former epoch"
