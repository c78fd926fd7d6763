# A guarantee whose place is lent is reclaimed: the lent gang is checkpointed,
# stopped and queued, the guaranteed one runs, and the lent one goes on from its
# checkpoint later.  Guards against guarantees that wait for lent work.
. "$TG_TESTS/sched-lib.sh"
has_place() {
	call "$1" guarantees | grep -q '"at_risk":false'
}

start_lent() { # NAME RUN-MS [FLAG...]: a scheduler with a lent gang
	_by=$1 _ms=$2
	shift 2
	platform
	document 1 '{"version":1,"weights":{"completion":70,"fragmentation":30},"workspaces":[
{"name":"courts","guarantees":[{"az":"a","tasks":2,"accelerators_per_task":8,"within_rack":true,
"lapses":"2099-12-06T21:00:00Z"}]},{"name":"rota"}],"services":[],"drains":[]}'
	worker w1
	worker w2
	sched "$_by" "$@"
	await "the scheduler is ready" ready "$_by" 2
	# The decision after the last worker's answer finds the place.
	await "a place for the guarantee" has_place "$_by"
	call "$_by" guarantees | grep -o '"at_risk":[a-z]*'
	submit "$_by" lent 2 8 "\"run_ms\":$_ms" lent >/dev/null
	await "the lent gang runs" gang_is "$_by" lent running
}
# own_waited: whether the guaranteed gang began only after the lent one's end
own_waited() {
	lives w1 w2 | awk '$1 == "lent" && $5 > end { end = $5 }
		$1 == "own" { begin = $4 }
		END { print (begin >= end ? "yes" : "no") }'
}

echo "# protection off: the guaranteed gang waits for the lent one"
start_lent u1 2000 --unsafe-no-reclaim
submit u1 own 2 8 '"run_ms":100' guaranteed >/dev/null
await "the guaranteed gang is done" job_is u1 own done
echo "lent: $(job_field u1 lent state), attempts $(job_field u1 lent attempt)"
echo "began after the end of the lent work: $(own_waited)"
for x in u1 w1 w2 platform; do
	stop_hard $x
done

echo "# protection on"
start_lent s1 4000
submit s1 own 2 8 '"run_ms":4000' guaranteed >/dev/null
await "the guaranteed gang runs" gang_is s1 own running
echo "lent: $(job_field s1 lent state), own: $(job_field s1 own state)"
call s1 explain courts lent | grep -o 'reclaimed for own' | head -n 1
echo "row: $(get "$platform_http" "/v1/table/row?key=jobs/a/lent" |
	jq -r '"\(.value.state) \(.value.checkpoints|length)"')"
await "the guaranteed gang is done" job_is s1 own done
await "the lent gang is done" job_is s1 lent done
echo "attempts: $(job_field s1 lent attempt) $(job_field s1 own attempt)," \
	"at one time $(overlaps w1 w2), in part $(parts 2 w1 w2)"
echo "began after the end of the lent work: $(own_waited)"
