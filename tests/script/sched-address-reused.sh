# The scheduler's list is out of date: at the address that it gives for a worker,
# another worker answers.  Guards against taking the first one's tasks for ended,
# which starts them a second time, and against stopping the other one's tasks as
# orphans.
. "$TG_TESTS/sched-lib.sh"
# Nothing expires within the limits of this test.
export TG_LEASE_MS=600000 TG_WORKER_LOST_MS=600000

# The workers don't register themselves, which would correct the list.
unregistered() { # NAME
	start "$1" workerd --name "$1" --az a --rack r1
}

entry() { # NAME WORKER: lists NAME at the address of WORKER
	eval "_http=\$${2}_http _rpc=\$${2}_rpc"
	post "$platform_http" /standin/instances "{\"name\":\"$1\",\"kind\":\"worker\",\"az\":\"a\",
\"rack\":\"r1\",\"addr\":\"$_http\",\"service_addr\":\"$_rpc\",\"cores\":128,\"memory_gb\":256,
\"accelerators\":8,\"slots\":8,\"connections\":64}" >/dev/null
}

host() { # JOB: worker that it was started on
	call s1 status courts "$1" | grep -o '"workers":\["w[12]' | grep -o 'w[12]'
}

renewals() { # WORKER
	eval "get \$${1}_http /standin/stats" | jq .renew_all
}

renewed() { # WORKER N: its leases were renewed more than N times
	[ "$(renewals "$1")" -gt "$2" ]
}

platform
plain_document
unregistered w1
unregistered w2
entry w1 w1
entry w2 w2
sched s1
await "the scheduler is ready" ready s1 2
submit s1 g 1 8 >/dev/null
submit s1 h 1 8 >/dev/null
await "g runs" gang_is s1 g running
await "h runs" gang_is s1 h running
v=$(host g)
other=$(host h)
entry "$v" "$other"
# The list is read every 2 s.
sleep 4
entry "$v" "$v"
n=$(renewals "$v")
await "the lease of g is renewed again" renewed "$v" "$n"
echo "attempts: $(job_field s1 g attempt) $(job_field s1 h attempt)"
echo "tasks running: $(running_on "$v" g) $(running_on "$other" h)"
echo "at one time: $(overlaps w1 w2)"
