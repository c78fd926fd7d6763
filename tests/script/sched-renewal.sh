# Renewal of all leases of a worker in one operation.  Guards against leases
# that end because the worker refuses that operation or its answer is lost, and
# against the renewal of a gang that is not whole beside one that is.
. "$TG_TESTS/sched-lib.sh"

stat() { # WORKER FIELD
	eval "get \$${1}_http /standin/stats" | jq ".$2"
}
above() { # WORKER FIELD N
	[ "$(stat "$1" "$2")" -gt "$3" ]
}
leases() { # WORKER: job and state of each
	eval "get \$${1}_http /v1/state" |
		jq -rc '[.leases[] | [.job, .state]] | sort'
}
# outlive WORKER: the worker's clock moves on by more than a lease
outlive() {
	_from=$(eval "get \$${1}_http /v1/probe" | jq .now_ms)
	await "$1 has run for a lease" passed "$1" $((_from + 5000))
}
passed() { # WORKER NOW-MS
	[ "$(eval "get \$${1}_http /v1/probe" | jq .now_ms)" -gt "$2" ]
}
begin() { # SCHEDULER-ARGS...: job h on w1; gang g on w1 and w2
	platform
	plain_document
	worker w1 --accelerators 8
	sched s1 --log-level debug "$@"
	await "the scheduler is ready" ready s1 1
	submit s1 h 1 2 >/dev/null
	await "h runs" gang_is s1 h running
	worker w2 --accelerators 6
	await "both workers are ready" ready s1 2
	submit s1 g 2 6 >/dev/null
	await "g runs" gang_is s1 g running
	# While g is not whole, h must be renewed by itself.
	renewed=$(stat w1 renew)
}
one_by_one() { # since both gangs run
	echo $(($(stat w1 renew) - renewed))
}
end() {
	for n in s1 w1 w2 platform; do
		stop_hard $n
	done
}

echo "# all leases at once"
begin
n=$(stat w1 renew_all)
await "renewals of all" above w1 renew_all $((n + 3))
outlive w1
echo "w1: $(leases w1), one by one $(one_by_one)"

echo "# lost answers"
post "$w1_http" /standin/faults '{"lose_renewals":true}' >/dev/null
n=$(stat w1 renew_all)
await "a renewal that loses its answer" above w1 renew_all "$n"
n=$(grep -c 'EV3011 .*w1' "$W/s1.err")
post "$w1_http" /standin/faults '{}' >/dev/null
answers() {
	[ "$(grep -c 'EV3011 .*w1' "$W/s1.err")" -gt "$n" ]
}
await "an answer" answers
outlive w1
echo "w1: $(leases w1), attempts $(job_field s1 g attempt) $(job_field s1 h attempt)"

echo "# a lease that the scheduler does not know"
t=$(get "$w1_http" /v1/state | jq '.now_ms + 600000')
n=$(stat w1 renew_all)
post "$w1_http" /v1/commands "$(get "$w1_http" /v1/state | jq -c "{epoch, boot,
	ops: [{op: \"reserve\", job: \"x\", attempt: 1, index: 0, gang_size: 1,
	accelerators: 0, cores: 1, memory_gb: 1, expires_ms: $t},
	{op: \"start\", job: \"x\", attempt: 1, index: 0}]}")" >/dev/null
await "its end" grep -q 'EV3014 .*job=x' "$W/s1.err"
await "renewals of all again" above w1 renew_all $((n + 2))
echo "w1: $(leases w1), mismatches $(grep -c 'EV3015 .*w1' "$W/s1.err"), one by one $(one_by_one)"

echo "# a worker that does not know the operation"
n=$(stat w1 renew)
post "$w1_http" /standin/faults '{"no_renew_all":true}' >/dev/null
await "single renewals" above w1 renew $((n + 3))
outlive w1
echo "w1: $(leases w1), told $(grep -c 'EV3016 .*w1.*place=/ops/0/op' "$W/s1.err") time"
end

gang_not_whole() { # TEXT ARGS...
	text=$1
	shift
	# The loss is not noticed, so only the missing renewal ends g on w1.
	begin --worker-lost-ms 60000 "$@"
	post "$w2_http" /standin/faults '{"cut":true}' >/dev/null
	outlive w1
	outlive w1
	echo "$text: h $(history w1 h | tail -n 1), g $(history w1 g |
		grep '^1 ' | tail -n 1 | cut -d' ' -f3-)"
	end
}
echo "# a gang that is not whole"
gang_not_whole "without the rule" --unsafe-renew-partial-gangs
gang_not_whole "with the rule"
