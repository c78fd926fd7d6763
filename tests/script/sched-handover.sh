# SIGTERM to the active scheduler: it gives up the row, a standby takes over
# without waiting for the lease, and the gang goes on.  Guards against planned
# stops that end tasks or leave the AZ without a scheduler for a lease.
. "$TG_TESTS/sched-lib.sh"
# A standby that has to wait for this lease does not finish in the test.
export TG_SCHED_LEASE_MS=1800000
start_gang() { # ACTIVE STANDBY [FLAG...]: with a gang that runs
	_a=$1 _b=$2
	shift 2
	platform
	plain_document
	worker w1
	worker w2
	sched "$_a" "$@"
	await "$_a is ready" ready "$_a" 2
	sched "$_b"
	submit "$_a" g 2 8 >/dev/null
	await "the gang runs" gang_is "$_a" g running
}
table_reads() { # NAME
	eval "get \$${1}_http /metrics" | sed -n 's/^tg_table_reads_total //p'
}
reads_reach() {
	[ "$(table_reads "$1")" -ge "$2" ]
}

echo "# protection off: the row keeps its holder, and the standby waits"
start_gang u1 u2 --unsafe-keep-row
kill -TERM "$u1_pid"
wait "$u1_pid"
echo "exit status: $?"
await "ten polls of the row" reads_reach u2 $(($(table_reads u2) + 10))
get "$platform_http" "/v1/table/row?key=sched/a" | jq -r '"row: \(.value.epoch) \(.value.holder)"'
echo "standby: $(call u2 list | cut -d' ' -f1)"
for x in u2 w1 w2 platform; do
	stop_hard $x
done

echo "# protection on"
start_gang s1 s2
kill -TERM "$s1_pid"
wait "$s1_pid"
echo "exit status: $?"
await "s2 is ready" ready s2 2
await "the gang was adopted" gang_is s2 g running
echo "attempt: $(job_field s2 g attempt)"
history w1 g
get "$platform_http" "/v1/table/row?key=sched/a" | jq -r '"row: \(.value.epoch) \(.value.holder)"'
# The last scheduler of the AZ leaves; the gang's leases stay in force.
kill -TERM "$s2_pid"
wait "$s2_pid"
echo "exit status: $?"
get "$platform_http" "/v1/table/row?key=sched/a" | jq -r '"row: \(.value.epoch) \"\(.value.holder)\""'
echo "tasks running: $(running_on w1 g) $(running_on w2 g)"
