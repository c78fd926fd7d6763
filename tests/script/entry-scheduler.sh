#!/bin/sh
# Job calls that a scheduler serves, and the takeover of another.  Guards
# against a submission that is reported as not run although it is a job.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$document"
start_worker w-1
start_entry e-1
url=http://$e_1_http/v1
for s in s-1 s-2; do
	start $s tgschedd --instance=$s --az=a --platform="$platform_http" \
		--sched-lease-ms=1500 --sched-renew-ms=300
	curl -sf -o /dev/null -d "{\"name\":\"$s\",\"kind\":\"sched\",
		\"az\":\"a\",\"addr\":\"$(http_of $s)\",
		\"rpc_addr\":\"$(rpc_of $s)\"}" \
		"http://$platform_http/standin/instances"
done
active() {
	curl -s "$url/peers" | jq -r '.peers[] |
		select(.active and .live) | .instance' | grep .
}
job() { # JOB FILTER
	jq -nc --arg j "$1" '{workspace: "courts", job: $j, class: "lent",
		az: "a", tasks: 1, accelerators_per_task: 1, cores_per_task: 1,
		memory_gb_per_task: 1, within_rack: false, declared_ms: 1000,
		task: {run_ms: 600000}}' | jq -c "${2:-.}"
}
await "an active scheduler" active

echo "# submission, repetition, other content"
call submit '[.job, .az]' -d "$(job j-1)" "$url/jobs"
call again '[.job, .az]' -d "$(job j-1)" "$url/jobs" | cut -d' ' -f1,3-
call other .error -d "$(job j-1 '.tasks = 2')" "$url/jobs"
call issued '.job | startswith("j-")' -d "$(job x 'del(.job)')" "$url/jobs"
call any '[.job, .az]' -d "$(job j-2 '.az = "any"')" "$url/jobs"
call never .error -d "$(job j-3 '.tasks = 100')" "$url/jobs"

echo "# status, list, cancellation"
call status .job "$url/jobs/courts/j-1"
call explain '.explanation | length > 0' "$url/jobs/courts/j-1/explain"
call list '[(.jobs | length), .unreachable]' "$url/jobs?workspace=courts"
call workers '.workers | length' "$url/workers?view=scheduler"
call none .error "$url/jobs/courts/j-9"
call other-workspace .error "$url/jobs/small/j-1"
call cancel .job -X DELETE "$url/jobs/courts/j-1"

echo "# the active one is paused: unknown; the answer is there later"
first=$(active)
kill -STOP "$(pid_of "$first")"
call paused .error -d "$(job j-4)" "$url/jobs"
kill -CONT "$(pid_of "$first")"
found() {
	curl -s -o /dev/null -w '%{http_code}' "$url/jobs/courts/j-4" |
		grep -q '200\|404'
}
await "the truth about the job" found
call settled '.job' -d "$(job j-4)" "$url/jobs" | cut -d' ' -f1,3-

echo "# it dies: a standby takes over and serves"
crash "$(active)"
await "takeover" active
taken() {
	curl -sf -o /dev/null -d "$(job j-5)" "$url/jobs"
}
await "a submission after the takeover" taken
call after .job "$url/jobs/courts/j-5"
stop e-1
