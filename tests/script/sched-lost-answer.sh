# The table commits a write and its answer is lost.  Guards against a second
# start after a commit that seemed to fail, and against a submission that is
# answered as refused although the job is in the table.
. "$TG_TESTS/sched-lib.sh"
platform
plain_document
worker w1
worker w2
sched s1 --pause-at reserve
await "the scheduler is ready" ready s1 2
submit s1 g 2 8 '"run_ms":1500' >/dev/null
# Frozen with all reserved and the commit not yet sent.
await "s1 is frozen" frozen s1
faults '{"lose_next":3}'
continue_it s1
await "the gang is done" job_is s1 g done
echo "attempts: $(job_field s1 g attempt), at one time $(overlaps w1 w2)"
history w1 g
echo "answers lost: $(get "$platform_http" /standin/stats | jq .lost)"

# Every answer of the table is lost: the job may be in the table.
faults '{"outage":"lose_answer","only":"table"}'
echo "submission: $(submit s1 h 2 8 '"run_ms":100' | cut -d' ' -f1)"
faults '{}'
repeat() {
	submit s1 h 2 8 '"run_ms":100' | grep -q '^ok'
}
await "a repetition is answered" repeat
await "the job is done" job_is s1 h done
echo "attempts: $(job_field s1 h attempt)"
