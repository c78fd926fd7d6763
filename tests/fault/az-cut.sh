#!/bin/sh
# An AZ is cut off from the platform and from the other AZ while it runs a gang.
# Guards against an AZ that stops serving or ends its gangs in a partition,
# against a document that is lost in it, and against work that runs twice after.
#
# The cut is shown from one side at a time.  First AZ a: platform calls hang and
# the daemons of AZ b are stopped.  Then AZ b: the daemons of AZ a are stopped,
# for less than a lease, and the platform answers.
#
# Two AZs have a mechanism turned off.  In c the active scheduler does not renew
# without the table; in d an entry daemon looks for no further document.
. "$(dirname "$0")/../lib.sh"
export TG_SCHED_RENEW_MS=200 TG_SCHED_LEASE_MS=1000 TG_RENEW_MS=300
export TG_LEASE_MS=8000 TG_CALL_MS=300 TG_WORKER_LOST_MS=2000
key=operator-key-0123456789
echo "$key" >"$tmp/key"
auth="Authorization: Bearer $key"
two_azs=$(echo "$document" | jq -c '.services[].azs = ["a", "b"]')

# member NAME KIND PROGRAM AZ FLAG...: started and listed
member() {
	m=$1 kind=$2 prog=$3 az=$4
	shift 4
	start "$m" "$prog" --instance="$m" --az="$az" --drain-grace-ms=0 \
		--platform="$platform_http" "$@"
	curl -sf -o /dev/null -d "{\"name\":\"$m\",\"kind\":\"$kind\",
		\"az\":\"$az\",\"addr\":\"$(http_of "$m")\",
		\"rpc_addr\":\"$(rpc_of "$m")\"}" \
		"http://$platform_http/standin/instances"
}
ready() {
	curl -sf "http://$(http_of "$1")/readyz"
}
# signal_az SIGNAL AZ: to its daemons
signal_az() {
	for x in "e-$2" "s-$2"; do
		is_own "$(pid_of "$x")" && kill "-$1" "$(pid_of "$x")"
	done
}
# submit LABEL ENTRY JOB AZ RUN-MS: a gang of two, with half of both workers
submit() {
	call "$1" '.state // .error' -d "{\"workspace\":\"courts\",\"job\":\"$3\",
		\"class\":\"lent\",\"az\":\"$4\",\"tasks\":2,
		\"accelerators_per_task\":4,\"cores_per_task\":1,
		\"memory_gb_per_task\":1,\"declared_ms\":60000,
		\"task\":{\"run_ms\":$5}}" "http://$(http_of "$2")/v1/jobs"
}
job_is() { # ENTRY JOB STATE
	curl -s "http://$(http_of "$1")/v1/jobs/courts/$2" |
		jq -e --arg s "$3" '.state == $s'
}
generation_is() {
	curl -s "http://$(http_of "$1")/v1/document" |
		jq -e --argjson g "$2" '.generation == $g'
}
# starts JOB: how often tasks of it began
starts() {
	for x in w-a1 w-a2 w-b1 w-b2 w-c1 w-c2; do
		curl -s "http://$(http_of $x)/standin/log"
	done | jq -s --arg j "$1" '[.[].tasks[] |
		select(.job == $j and .state == "running")] | length'
}
running_of() { # JOB
	for x in w-a1 w-a2 w-c1 w-c2; do
		curl -s "http://$(http_of $x)/v1/state"
	done | jq -s --arg j "$1" '[.[].leases[] |
		select(.job == $j and .state == "running")] | length'
}
requests_of() { # PATH
	echo $(($(runs w-a1 "$1") + $(runs w-a2 "$1") +
		$(runs w-b1 "$1") + $(runs w-b2 "$1")))
}
post() { # LABEL ENTRY KEY PATH
	call "$1" .path -H 'Tg-Workspace: courts' -H "Idempotency-Key: $3" \
		-H 'Tg-Deadline-Ms: 3000' -d x \
		"http://$(http_of "$2")/v1/svc/responder/$4"
}
outage_seen() {
	grep -q EV3004 "$tmp/$1.err"
}
has_ended() { # JOB
	[ "$(running_of "$1")" = 0 ]
}
has_begun() { # JOB TASKS
	[ "$(starts "$1")" = "$2" ]
}
reads_reach() {
	[ "$(metric "$1" tg_table_reads_total)" -ge "$2" ]
}

start platform platformd
put_document 1 "$two_azs"
start_worker w-a1
start_worker w-a2
for w in w-b1 w-b2 w-c1 w-c2; do
	az=${w#w-}
	start $w workerd --name=$w --az="${az%?}" --log-level=warn \
		--platform="$platform_http"
done
member s-a sched tgschedd a
member s-b sched tgschedd b
member e-a entry tgentryd a
member e-b entry tgentryd b
member c-b console tgconsoled b --operator-key-file="$tmp/key"
member s-c sched tgschedd c --unsafe-renew-with-table-only
member e-c entry tgentryd c
member e-d entry tgentryd d --unsafe-no-document-polls
for x in s-a s-b s-c e-a e-b e-c e-d c-b; do
	await "readiness of $x" ready $x
done
for w in a1 a2 b1 b2 c1 c2; do
	await "w-$w at e-${w%?}" knows_worker "e-${w%?}" "w-$w" up
done
submits() { # ENTRY AZ
	submit "try-$2" "$1" "first-$2" "$2" 100 | grep -q ': 20[01] '
}
await "jobs in a" submits e-a a
await "jobs in b" submits e-b b
await "jobs in c" submits e-c c
await "the first job of c" job_is e-c first-c done
for x in s-a s-c; do
	await "that $x may renew in an outage" may_renew $x
done
await "the first job of a" job_is e-a first-a done
submit gang e-a gang a 600000
submit short e-a short a 6000
submit waits e-a waits a 100
submit unrenewed e-c unrenewed c 600000
await "the gang" job_is e-a gang running
await "the gang of c" job_is e-c unrenewed running
await "the short gang" job_is e-a short running
issued=$(curl -s -X POST "http://$e_a_http/v1/keys" | jq -r .key)

echo "# AZ a is cut off"
fault platform '{"outage":"hang"}'
signal_az STOP b
await "the outage at s-a" outage_seen s-a
call no-key .path -H 'Tg-Workspace: courts' -d x \
	"http://$e_a_http/v1/svc/responder/cut-none"
post issued e-a "$issued" cut-issued
post issued-again e-a "$issued" cut-issued
post callers e-a callers-1 cut-callers
submit late e-a late a 100
ms=$(curl -s "http://$w_a1_http/v1/state" | jq .now_ms)
past_lease() {
	curl -s "http://$w_a1_http/v1/state" |
		jq -e --argjson m "$ms" '.now_ms > $m + 10000'
}
await "more than a lease" past_lease
await "the end of the short gang" has_ended short
await "the outage at s-c" outage_seen s-c
await "the end of the gang of c" has_ended unrenewed
echo "protection off, tasks of the gang of c: $(running_of unrenewed)"
echo "tasks of the gang: $(running_of gang), of the waiting one: $(running_of waits)"
generation_is e-a 1 >/dev/null && echo "generation 1 in force"
ready e-a >/dev/null && echo "e-a is ready"

echo "# the other side of the cut"
signal_az STOP a
fault platform '{}'
signal_az CONT b
put_new() {
	curl -sf -X PUT -H "$auth" -H 'X-Tg-Operator: ada' \
		-d "$(echo "$two_azs" | jq -c '.workspaces[0].max_in_flight = 7')" \
		"http://$c_b_http/v1/document?generation=1"
}
await "generation 2 is saved" put_new
await "generation 2 at e-b" generation_is e-b 2

echo "# the cut ends"
signal_az CONT a
await "generation 2 at e-a" generation_is e-a 2
polls=$(metric e-a tg_table_reads_total)
await "the waiting job" job_is e-a waits done
await "the short one" job_is e-a short done
job_is e-a gang running >/dev/null && echo "the gang runs"
await "another attempt of the gang of c" has_begun unrenewed 4
generation_is e-b 2 >/dev/null && echo "generation 2 in force in both"
# Refused means not run: the same name and key are free afterwards.
submit late-again e-a late a 100
await "the late one" job_is e-a late done
post callers-again e-a callers-1 cut-callers
# An entry daemon alone in its AZ reads the row every second.
await "two more polls of e-a" reads_reach e-a $((polls + 3))
generation_is e-d 1 >/dev/null && echo "protection off: generation 1 at e-d"
for j in gang short waits late unrenewed; do
	echo "$j: $(starts $j) tasks began"
done
for p in none issued callers; do
	echo "cut-$p ran $(requests_of "cut-$p") times"
done
for x in e-a e-b e-c e-d s-a s-b s-c c-b; do
	stop $x
done
