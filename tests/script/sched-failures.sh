# A worker that fails every task is quarantined, and a job that fails on
# several workers is parked.  Guards against a worker that eats all jobs and
# against a job that is started for ever.  The jobs are lent work, since the
# library keeps some room free from guaranteed work outside of guarantees.
. "$TG_TESTS/sched-lib.sh"
platform
plain_document
worker w1
worker w2
worker w3
sched s1
await "the scheduler is ready" ready s1 3

submit s1 bad 1 8 '"fail":true' lent >/dev/null
await "the job is parked" job_is s1 bad parked
echo "row: $(get "$platform_http" "/v1/table/row?key=jobs/a/bad" | jq -r .value.state)"
echo "workers tried: $(for w in w1 w2 w3; do history $w bad; done | grep -c 'ended failed')"

post "$w1_http" /standin/faults '{"fail_tasks":true}' >/dev/null
post "$w2_http" /standin/faults '{"draining":true}' >/dev/null
post "$w3_http" /standin/faults '{"draining":true}' >/dev/null
drained() {
	[ "$(call s1 workers | grep -o '"state":"draining"' | wc -l)" = 2 ]
}
await "only w1 takes tasks" drained
for j in j1 j2 j3; do
	submit s1 $j 1 8 '"run_ms":100' lent >/dev/null
done
quarantined() {
	call s1 workers | grep -q '"state":"quarantined"'
}
await "w1 is quarantined" quarantined
post "$w2_http" /standin/faults '{}' >/dev/null
post "$w3_http" /standin/faults '{}' >/dev/null
for j in j1 j2 j3; do
	await "$j is done" job_is s1 $j done
done
echo "quarantined: $(call s1 workers | jq -R -r 'ltrimstr("ok ")|fromjson|.workers[]|select(.state=="quarantined")|.worker')"
