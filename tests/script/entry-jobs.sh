#!/bin/sh
# Job calls without a scheduler that serves them.  Guards against "not-run"
# for a submission that a scheduler may have taken, and against "unknown" for
# one that none can have.
. "$(dirname "$0")/../lib.sh"
start platform platformd
put_document 1 "$document"
start_entry e-1
url=http://$e_1_http/v1

# listed_sched RPC-ADDRESS: the list names a scheduler there
listed_sched() {
	curl -sf -o /dev/null -d "{\"name\":\"s-1\",\"kind\":\"sched\",
		\"az\":\"a\",\"addr\":\"127.0.0.1:1\",\"rpc_addr\":\"$1\"}" \
		"http://$platform_http/standin/instances"
	await "the scheduler at $1 in the list" peer_known "$1"
}
peer_known() {
	[ "$(curl -s "$url/peers" | jq -r '.peers[] | select(.role == "sched") |
		.rpc_addr')" = "$1" ]
}
spec='{"workspace":"courts","job":"j-1","class":"lent","az":"a","tasks":1,
"accelerators_per_task":1,"cores_per_task":1,"memory_gb_per_task":1,
"within_rack":false,"declared_ms":1000,"task":{"run_ms":1000}}'
submit() {
	call "$1" .error -d "$spec" "$url/jobs"
	grep -i '^tg-ask' "$tmp/$1.head" | tr -d '\r'
}

echo "# invalid calls"
call no-json .error -d '{' "$url/jobs"
call no-object .place -d '[]' "$url/jobs"
call no-workspace .place -d '{}' "$url/jobs"
call unknown-workspace .place -d '{"workspace":"nobody","az":"a"}' "$url/jobs"
call bad-job .place -d '{"workspace":"courts","job":"A","az":"a"}' "$url/jobs"
call bad-az .place -d '{"workspace":"courts","az":7}' "$url/jobs"
call bad-path .place "$url/jobs/courts"
call bad-query .place "$url/jobs?workspace=A"
jq -nc '{workspace: "courts", az: "a", task: ("x" * 70000)}' >"$tmp/long"
call too-long .place -d "@$tmp/long" "$url/jobs"

echo "# no scheduler is known"
submit none

echo "# nothing listens there: not run"
start_worker w-1
dead=$w_1_http
crash w-1
curl -sf -o /dev/null -X DELETE "http://$platform_http/standin/instances/w-1"
listed_sched "$dead"
submit dead
call get-dead .error "$url/jobs/courts/j-1"

echo "# it breaks the connection after it read the call: unknown"
start breaks workerd --name=breaks --az=b
listed_sched "$breaks_http"
submit breaks

echo "# it is paused: unknown, and a read is refused"
start paused workerd --name=paused --az=b
kill -STOP "$paused_pid"
listed_sched "$paused_http"
submit paused
# At the same time, since each waits for its deadline.
later get-paused .error "$url/jobs/courts/j-1"
later cancel-paused .error -X DELETE "$url/jobs/courts/j-1"
join get-paused cancel-paused
kill -CONT "$paused_pid"
call list .unreachable "$url/jobs?workspace=courts"
call guarantees .error "$url/guarantees"

echo "# a scheduler reads the submission after its deadline and takes the job"
start_worker w-2
start s-1 tgschedd --instance=s-1 --az=a --platform="$platform_http" \
	--sched-renew-ms=200 --sched-lease-ms=1000
listed_sched "$s_1_rpc"
start_entry u-1 --unsafe-unknown-as-not-run
submit_at() { # LABEL ENTRY JOB
	call "$1" .error -d "$(echo "$spec" | jq -c --arg j "$3" '.job = $j')" \
		"http://$(http_of "$2")/v1/jobs"
}
is_taken() { # ENTRY JOB
	submit_at try "$1" "$2" | grep -q ': 20[01] '
}
await "a job of e-1" is_taken e-1 first
await "a job of u-1" is_taken u-1 first
in_table() { # JOB
	curl -s "http://$platform_http/v1/table/row?key=jobs/a/$1" |
		jq -e '.value.state'
}
kill -STOP "$s_1_pid"
submit_at off u-1 late-off >"$tmp/off.line" &
off=$!
submit_at on e-1 late-on >"$tmp/on.line"
wait $off
kill -CONT "$s_1_pid"
for l in off on; do
	await "late-$l in the table" in_table "late-$l"
	echo "protection $(cat "$tmp/$l.line"), and the job is in the table"
done
stop e-1
