#!/bin/sh
# Daemons are restarted while the platform is down.  Guards against an entry
# daemon that serves without a document or refuses though a peer has it, against
# a scheduler that grants without having been elected, and against a key of an
# earlier start that runs.
. "$(dirname "$0")/../lib.sh"
export TG_SCHED_RENEW_MS=200 TG_SCHED_LEASE_MS=1000 TG_RENEW_MS=300
export TG_LEASE_MS=4000 TG_CALL_MS=300 TG_WORKER_LOST_MS=2000

post() { # LABEL ENTRY KEY PATH
	call "$1" .path -H 'Tg-Workspace: courts' -H "Idempotency-Key: $3" \
		-d x "http://$(http_of "$2")/v1/svc/responder/$4"
}
new_key() {
	curl -s -X POST "http://$(http_of "$1")/v1/keys" | jq -r .key
}
generation_is() {
	curl -s "http://$(http_of "$1")/v1/document" |
		jq -e --argjson g "$2" '.generation == $g'
}
started() { # WORKER: tasks that began
	curl -s "http://$(http_of "$1")/standin/log" |
		jq '[.tasks[] | select(.state == "running")] | length'
}
tried_table() { # SCHED: at least 20 refused calls
	[ "$(curl -s "http://$platform_http/standin/stats" | jq .refused)" -gt \
		"$((refused + 20))" ]
}
start_sched() {
	start "$1" tgschedd --instance="$1" --az=a --drain-grace-ms=0 \
		--platform="$platform_http"
	curl -sf -o /dev/null -d "{\"name\":\"$1\",\"kind\":\"sched\",
		\"az\":\"a\",\"addr\":\"$(http_of "$1")\",
		\"rpc_addr\":\"$(rpc_of "$1")\"}" \
		"http://$platform_http/standin/instances"
}
submit() { # LABEL ENTRY JOB RUN-MS
	call "$1" '.state // .error' -d "{\"workspace\":\"courts\",\"job\":\"$3\",
		\"class\":\"lent\",\"az\":\"a\",\"tasks\":1,
		\"accelerators_per_task\":8,\"cores_per_task\":1,
		\"memory_gb_per_task\":1,\"declared_ms\":60000,
		\"task\":{\"run_ms\":$4}}" "http://$(http_of "$2")/v1/jobs"
}
job_is() { # ENTRY JOB STATE
	curl -s "http://$(http_of "$1")/v1/jobs/courts/$2" |
		jq -e --arg s "$3" '.state == $s'
}
is_ready() {
	curl -sf "http://$(http_of "$1")/readyz"
}

start platform platformd
put_document 1 "$document"
start_worker w-1
start_entry e-1
start_entry e-2
start_entry u-1 --unsafe-run-anywhere
await "peers" sees_peers e-1 2
await "the worker" knows_worker u-1 w-1 up
await "the worker" knows_worker e-1 w-1 up
start_sched s-1
await "the scheduler" is_ready s-1
await "peers" sees_peers e-2 3
first=$(new_key e-1)
unused=$(new_key e-1)
unsafe=$(new_key e-1)
post first e-1 "$first" first
await "its outcome in the table" row_state "claims/courts/$first" done
# The first holds all, so that the restarted scheduler finds one to grant when
# the lease of the first has ended.
submit holds e-1 holds 8000
await "the first job" job_is e-1 holds running
submit waiting e-1 waiting 100

echo "# the platform is down, e-1 starts again with a peer"
fault platform '{"outage":"refuse"}'
crash s-1
crash e-1
start e-1 tgentryd --instance=e-1 --az=a --platform="$platform_http" \
	--peers="$e_2_rpc"
await "readiness" is_ready e-1
generation_is e-1 1 >/dev/null && echo "generation 1 in force"
call ready . "http://$e_1_http/readyz"

echo "# protection off: a key of its earlier start runs"
post unsafe u-1 "$unsafe" unsafe
echo "unsafe ran $(runs w-1 unsafe) times"

echo "# keys of its earlier start run nothing"
post first-again e-1 "$first" first
post first-at-peer e-2 "$first" first
post unused e-1 "$unused" unused
post unused-at-peer e-2 "$unused" unused
echo "first ran $(runs w-1 first) times, unused $(runs w-1 unused) times"

echo "# neither peer nor platform"
start e-3 tgentryd --instance=e-3 --az=a --platform="$platform_http"
call ready .error "http://$e_3_http/readyz"
call request .error -H 'Tg-Workspace: courts' \
	"http://$e_3_http/v1/svc/responder/alone"
call key '.key | split(".") | .[0:3]' -X POST "http://$e_3_http/v1/keys"
echo "alone ran $(runs w-1 alone) times"

# A scheduler that starts within the lease would renew it, as a standby does.
lease_ended() {
	curl -s "http://$w_1_http/v1/state" |
		jq -e '[.leases[] | select(.state != "ended")] == []'
}
await "the end of the lease" lease_ended

echo "# the scheduler starts again"
refused=$(curl -s "http://$platform_http/standin/stats" | jq .refused)
start s-1 tgschedd --instance=s-1 --az=a --drain-grace-ms=0 \
	--platform="$platform_http" --peers="$e_2_rpc"
await "its attempts at the table" tried_table
refused=$(curl -s "http://$platform_http/standin/stats" | jq .refused)
await "further attempts at the table" tried_table
call ready .error "http://$s_1_http/readyz"
submit submission e-2 late 100
echo "tasks that began: $(started w-1)"
curl -s "http://$w_1_http/v1/state" | jq -c '[.leases[] | .state]'

echo "# the platform is back"
curl -sf -o /dev/null -d "{\"name\":\"s-1\",\"kind\":\"sched\",\"az\":\"a\",
	\"addr\":\"$s_1_http\",\"rpc_addr\":\"$s_1_rpc\"}" \
	"http://$platform_http/standin/instances"
register_entry e-1 a
fault platform '{}'
await "the job that waited" job_is e-2 waiting done
await "the first job" job_is e-2 holds done
echo "tasks that began: $(started w-1)"
await "readiness" is_ready e-3
await "the worker" knows_worker e-1 w-1 up
post first-recorded e-1 "$first" first
post unused e-1 "$unused" unused
call no-key .path -H 'Tg-Workspace: courts' -d x \
	"http://$e_1_http/v1/svc/responder/after"
echo "first ran $(runs w-1 first) times, unused $(runs w-1 unused) times"
for x in e-1 e-2 e-3 u-1 s-1; do
	stop $x
done
