# SIGTERM to the active scheduler: it gives up the row, a standby takes over
# without waiting for the lease, and the gang goes on.  Guards against planned
# stops that end tasks or leave the AZ without a scheduler for a lease.
. "$TG_TESTS/sched-lib.sh"
# A standby that has to wait for this lease does not finish in the test.
export TG_SCHED_LEASE_MS=1800000
platform
plain_document
worker w1
worker w2
sched s1
await "s1 is ready" ready s1 2
sched s2
submit s1 g 2 8 >/dev/null
await "the gang runs" gang_is s1 g running
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
