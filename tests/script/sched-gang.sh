# A gang of 16 accelerators over two workers runs whole, with its leases
# renewed, and ends as done.  Guards against members that start alone, against
# leases that are not renewed, and against records left on the workers.
. "$TG_TESTS/sched-lib.sh"
platform
plain_document
worker w1
worker w2
sched s1
await "the scheduler is ready" ready s1 2

echo "submit: $(field "$(submit s1 long 2 8 '"run_ms":6000')" state)"
await "the gang runs" gang_is s1 long running
echo "tasks running: $(running_on w1 long) $(running_on w2 long)"
# The task takes longer than a lease of 4 s.
await "the job is done" job_is s1 long done
echo "attempt: $(job_field s1 long attempt)"
await "records are released" sh -c "! curl -s http://$w1_http/v1/state http://$w2_http/v1/state | grep -q long"
history w1 long
history w2 long | sed 's/^1 [01]/1 x/'

echo "row: $(get "$platform_http" "/v1/table/row?key=jobs/a/long" |
	jq -r '"\(.value.state) attempt \(.value.attempt)"')"
echo "explained: $(call s1 explain courts long | grep -c 'attempt 1 runs')"
