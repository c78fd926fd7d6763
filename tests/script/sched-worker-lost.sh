# A worker is killed, or cut off, under a gang.  The other members are stopped
# and attempt 2 starts from the checkpoint that is complete for the gang, once
# no lease of attempt 1 can be in force.  Guards against two attempts at one
# time and against gangs that run in part for longer than a lease.
. "$TG_TESTS/sched-lib.sh"

cluster() { # ARGS...
	platform
	plain_document
	worker w1
	worker w2
	worker w3
	sched s1 "$@"
	await "the scheduler is ready" ready s1 3
}

end_cluster() {
	for n in s1 w1 w2 w3 platform; do
		stop_hard $n
	done
}

checkpointed() { # JOB
	get "$platform_http" "/v1/table/row?key=jobs/a/$1" |
		jq -e '.value.checkpoints|length == 2'
}

attempt_runs() { # JOB ATTEMPT
	[ "$(job_field s1 "$1" attempt)" = "$2" ] && gang_is s1 "$1" running
}

# Place of the member with index 1, so that the test knows whom to hit.
victim() {
	call s1 status courts g | grep -o '"workers":\["w[1-3]","w[1-3]"' |
		grep -o 'w[1-3]"$' | tr -d '"'
}

echo "== worker killed"
cluster --checkpoint-ms 300
submit s1 g 2 8 >/dev/null
await "the gang runs" gang_is s1 g running
await "a checkpoint is recorded" checkpointed g
stop_hard "$(victim)"
await "attempt 2 runs" attempt_runs g 2
left=
for w in w1 w2 w3; do
	eval "kill -0 \$${w}_pid" 2>/dev/null && left="$left $w"
done
# shellcheck disable=SC2086
echo "at one time: $(overlaps $left)"
# The log has the progress at the start; a lease has that of its last checkpoint,
# which attempt 2 may have taken by now.
echo "from checkpoints of attempt 1: $(for w in $left; do
	eval "get \$${w}_http /standin/log"
done | jq '.tasks[]|select(.attempt==2 and .state=="running" and
	.progress_ms>0)|.index' | wc -l)"
end_cluster 2>/dev/null

cut_off() { # TEXT ARGS...
	text=$1
	shift
	cluster "$@"
	submit s1 g 2 8 >/dev/null
	await "the gang runs" gang_is s1 g running
	v=$(victim)
	eval "post \$${v}_http /standin/faults '{\"cut\":true}'" >/dev/null
	await "attempt 2 runs" attempt_runs g 2
	echo "$text: at one time: $([ "$(overlaps w1 w2 w3)" -gt 0 ] &&
		echo yes || echo no)"
	end_cluster
}

echo "== worker cut off"
export TG_LEASE_MS=8000
cut_off "without the wait for expiry" --unsafe-restart-before-expiry
cut_off "with it" --checkpoint-ms 0
export TG_LEASE_MS=4000

# With the loss detected late, only the lease ends the rest of the gang.
half() { # TEXT ARGS...
	text=$1
	shift
	cluster --worker-lost-ms 600000 "$@"
	submit s1 g 2 8 >/dev/null
	await "the gang runs" gang_is s1 g running
	v=$(victim)
	eval "post \$${v}_http /standin/faults '{\"cut\":true}'" >/dev/null
	# Three leases; by then a gang that is not renewed has ended.
	sleep 12
	echo "$text: members running $(for w in w1 w2 w3; do
		running_on $w g
	done | paste -sd+ | bc)"
	end_cluster
}

echo "== loss not detected"
half "partial gangs renewed" --unsafe-renew-partial-gangs
half "whole gangs only" --checkpoint-ms 0
