# Cancellation of a queued and of a running job.  Guards against a cancelled
# job that starts later and against tasks that go on after the cancellation.
. "$TG_TESTS/sched-lib.sh"
platform
plain_document
worker w1
worker w2
sched s1
await "the scheduler is ready" ready s1 2

submit s1 first 2 8 >/dev/null
await "the first runs" gang_is s1 first running
submit s1 second 2 8 >/dev/null
echo "second: $(job_field s1 second state)"
echo "cancel queued: $(field "$(call s1 cancel courts second)" state)"
echo "cancel running: $(call s1 cancel courts first | cut -d' ' -f1)"
await "the first is cancelled" job_is s1 first cancelled
echo "tasks running: $(running_on w1 first) $(running_on w2 first)"
echo "cancel again: $(field "$(call s1 cancel courts first)" state)"
echo "cancel unknown: $(call s1 cancel courts none)"
submit s1 third 2 8 >/dev/null
await "the third runs" gang_is s1 third running
echo "second ever ran: $(history w1 second | wc -l)"
get "$platform_http" "/v1/table/rows?prefix=jobs/&limit=10" |
	jq -r '.rows[]|"\(.key) \(.value.state)"'
