# A guarantee whose place is lent is reclaimed: the lent gang is checkpointed,
# stopped and queued, the guaranteed one runs, and the lent one goes on from its
# checkpoint later.  Guards against guarantees that wait for lent work.
. "$TG_TESTS/sched-lib.sh"
platform
document 1 '{"version":1,"weights":{"completion":70,"fragmentation":30},"workspaces":[
{"name":"courts","guarantees":[{"az":"a","tasks":2,"accelerators_per_task":8,"within_rack":true,
"lapses":"2099-12-06T21:00:00Z"}]},{"name":"rota"}],"services":[],"drains":[]}'
worker w1
worker w2
sched s1
await "the scheduler is ready" ready s1 2
call s1 guarantees | grep -o '"at_risk":[a-z]*'
submit s1 lent 2 8 '"run_ms":4000' lent >/dev/null
await "the lent gang runs" gang_is s1 lent running
submit s1 own 2 8 '"run_ms":1500' guaranteed >/dev/null
await "the guaranteed gang runs" gang_is s1 own running
echo "lent: $(job_field s1 lent state), own: $(job_field s1 own state)"
call s1 explain courts lent | grep -o 'reclaimed for own' | head -n 1
echo "row: $(get "$platform_http" "/v1/table/row?key=jobs/a/lent" |
	jq -r '"\(.value.state) \(.value.checkpoints|length)"')"
await "the guaranteed gang is done" job_is s1 own done
await "the lent gang is done" job_is s1 lent done
echo "attempts: $(job_field s1 lent attempt) $(job_field s1 own attempt)," \
	"at one time $(overlaps w1 w2), in part $(parts 2 w1 w2)"
