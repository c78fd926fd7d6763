# Guaranteed-class work beyond any guarantee fills all workers, and an urgent job
# comes.  Guards against urgent work that waits for the end of work that no
# guarantee covers, and against a victim that is not queued again.
. "$TG_TESTS/sched-lib.sh"
platform
plain_document
worker w1
worker w2
sched s1
await "the scheduler is ready" ready s1 2

submit s1 firm 2 8 '' guaranteed >/dev/null
await "the firm gang runs" gang_is s1 firm running
submit s1 urgent 1 8 '"run_ms":1500' urgent >/dev/null
await "the urgent job runs" gang_is s1 urgent running
echo "urgent: attempt $(job_field s1 urgent attempt)"
echo "firm: $(job_field s1 firm state)"
await "the urgent job is done" job_is s1 urgent done
await "the firm gang runs again" gang_is s1 firm running
echo "firm: attempt $(job_field s1 firm attempt), from a checkpoint:" \
	"$(eval "get \$w1_http /standin/log" | jq '[.tasks[]|select(.job=="firm" and
	.attempt==2 and .state=="running" and .progress_ms>0)]|length')"
echo "members of firm by attempt: $(lives w1 w2 | awk '$1 == "firm" { n[$2]++ }
	END { print n[1], n[2] }'), at one time: $(overlaps w1 w2)"
for n in s1 w1 w2 platform; do
	stop_hard $n
done
