# Guards against a scheduler that is active before its AZ has workers and ignores
# the document's guarantees from then on.
. "$TG_TESTS/sched-lib.sh"
platform
document 1 '{"version":1,"workspaces":[
{"name":"courts","guarantees":[{"az":"a","tasks":2,"accelerators_per_task":8,"within_rack":true,
"lapses":"2099-12-06T21:00:00Z"}]},{"name":"rota"}],"services":[],"drains":[]}'
sched s1
await "the scheduler is active" ready s1 0
worker w1
worker w2
await "its workers" ready s1 2
has_place() {
	call s1 guarantees | grep -q '"at_risk":false'
}
await "a place for the guarantee" has_place
call s1 guarantees | grep -o '"at_risk":[a-z]*'
