#include <stdlib.h>
#include <string.h>

#include "../run.h"
#include "drawn-load.h"

static struct flow *f;
static struct orders o;

static void setup(void)
{
	f = fleet_new();
}

static void teardown(void)
{
	flow_free(f);
}

static enum flow_state state(const char *job)
{
	struct flow_job_status v;

	ck_assert(flow_job_status(f, job, &v));
	return v.state;
}

/* A job is completed when its last task is done, and not before. */
START_TEST(job_completes_after_last_task)
{
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(3, 1, false), 0);
	ck_assert_int_eq(state("j1"), FLOW_QUEUED);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 3);
	ck_assert_int_eq(o.starts[0].run, 1);
	fleet_confirm_starts(f, &o, 2);
	ck_assert_int_eq(state("j1"), FLOW_RUNNING);
	fleet_end_run(f, &o.starts[0], FLOW_RUN_DONE, 10);
	fleet_end_run(f, &o.starts[1], FLOW_RUN_DONE, 10);
	ck_assert_int_eq(state("j1"), FLOW_RUNNING);
	fleet_end_run(f, &o.starts[2], FLOW_RUN_DONE, 11);
	ck_assert_int_eq(state("j1"), FLOW_COMPLETED);
	fleet_decide(f, &o, 12);
	ck_assert_int_eq(o.n_starts, 0);
}
END_TEST

/* A step needs the results of all tasks of the steps it depends on. */
START_TEST(step_waits_for_its_dependencies)
{
	struct flow_spec *s = fleet_new_spec(2, 1, false);

	s->n_steps = 2;
	s->steps = tg_xrealloc(s->steps, 2 * sizeof(*s->steps));
	s->steps[1] = s->steps[0];
	s->steps[1].after[0] = 0;
	s->steps[1].n_after = 1;
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", s, 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 2);
	fleet_confirm_starts(f, &o, 2);
	fleet_end_run(f, &o.starts[0], FLOW_RUN_DONE, 3);
	struct start_order last = o.starts[1];

	fleet_decide(f, &o, 4);
	ck_assert_int_eq(o.n_starts, 0);
	fleet_end_run(f, &last, FLOW_RUN_DONE, 5);
	fleet_decide(f, &o, 6);
	ck_assert_int_eq(o.n_starts, 2);
	ck_assert_int_eq(o.starts[0].step, 1);
}
END_TEST

/* An occurrence must not start before it is due. */
START_TEST(occurrence_waits_for_its_time)
{
	struct flow_spec *s = fleet_new_spec(1, 1, false);

	s->times = 2;
	s->first_wall_ms = 1000;
	s->interval_ms = 500;
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", s, 0);
	fleet_decide(f, &o, 999);
	ck_assert_int_eq(o.n_starts, 0);
	fleet_decide(f, &o, 1000);
	ck_assert_int_eq(o.n_starts, 1);
	fleet_decide(f, &o, 1500);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_int_eq(o.starts[0].occurrence, 1);
}
END_TEST

/* If only some members were started they would wait for the others in vain. */
START_TEST(gang_starts_all_members_or_none)
{
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_worker(f, "w2", "r1", 4);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(2, 8, true), 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 0);
	fleet_add_worker(f, "w3", "r1", 8);
	fleet_decide(f, &o, 2);
	ck_assert_int_eq(o.n_starts, 2);
	ck_assert_int_eq(o.starts[0].run, o.starts[1].run);
}
END_TEST

/* Without one member the others can't go on: all stop, then restart. */
START_TEST(gang_restarts_with_all_members)
{
	struct orders first;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_worker(f, "w2", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(2, 8, true), 0);
	fleet_decide(f, &first, 1);
	fleet_confirm_starts(f, &first, 2);
	fleet_end_run(f, &first.starts[0], FLOW_RUN_LEASE_EXPIRED, 3);
	fleet_decide(f, &o, 4);
	ck_assert_int_eq(o.n_starts, 0);
	ck_assert_int_eq(o.n_stops, 1);
	fleet_end_run(f, &first.starts[1], FLOW_RUN_STOPPED, 5);
	fleet_decide(f, &o, 6);
	ck_assert_int_eq(o.n_starts, 2);
	ck_assert_int_eq(o.starts[0].run, 2);
	ck_assert_int_eq(o.starts[1].run, 2);
}
END_TEST

/*
 * A stopped run that its worker no longer lists may still run until STOP_MS
 * have passed.  A start before then would exceed the worker's capacity.
 */
START_TEST(stopping_run_holds_capacity)
{
	struct flow_run_ref r;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(1, 8, false), 0);
	fleet_add_job(f, "j2", "normal", fleet_new_spec(1, 8, false), 1);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	r = fleet_run_ref(&o.starts[0]);
	flow_cancel(f, "j1", 3);
	fleet_decide(f, &o, 4);
	ck_assert_int_eq(o.n_stops, 1);
	flow_stop_answered(f, &r, "w1", FLOW_ORDER_DONE, 10);
	flow_report_list_end(f, "w1", 10 + STOP_MS, 1000);
	fleet_decide(f, &o, 1001);
	ck_assert_int_eq(o.n_starts, 0);
	flow_report_list_end(f, "w1", 11 + STOP_MS, 1002);
	fleet_decide(f, &o, 1003);
	ck_assert_int_eq(o.n_starts, 1);
}
END_TEST

/*
 * A worker that refused connections got the same stop order again at once,
 * 13,000 times in two seconds (incident inc-04b5).
 */
START_TEST(unconfirmed_stop_is_rate_limited)
{
	struct flow_run_ref r;
	int64_t now_ms;
	int n = 0;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(1, 8, false), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	r = fleet_run_ref(&o.starts[0]);
	flow_cancel(f, "j1", 3);
	for (now_ms = 1000; now_ms < 3000; now_ms += 5) {
		fleet_decide(f, &o, now_ms);
		n += o.n_stops;
		if (o.n_stops)
			flow_stop_answered(f, &r, "w1", FLOW_ORDER_NOT_DONE,
					   now_ms);
	}
	ck_assert_int_ge(n, 4);
	ck_assert_int_le(n, 20);
}
END_TEST

/*
 * The capacity of a run chosen for preemption was given to the next job of the
 * same round while the run still used it, which exceeded the worker's capacity.
 */
START_TEST(victim_holds_capacity_until_it_ends)
{
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "low", fleet_new_spec(1, 8, false), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	fleet_add_job(f, "j2", "urgent", fleet_new_spec(1, 2, false), 3);
	fleet_add_job(f, "j3", "low", fleet_new_spec(6, 1, false), 3);
	fleet_decide(f, &o, 4);
	ck_assert_int_eq(o.n_stops, 1);
	ck_assert_str_eq(o.stops[0].job, "j1");
	ck_assert_int_eq(o.n_starts, 0);
}
END_TEST

/* Another job must not get the capacity that was freed for an urgent one. */
START_TEST(freed_capacity_goes_to_preempting_job)
{
	struct start_order victim;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "low", fleet_new_spec(1, 8, false), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	victim = o.starts[0];
	fleet_add_job(f, "j2", "urgent", fleet_new_spec(1, 8, true), 3);
	fleet_decide(f, &o, 4);
	ck_assert_int_eq(o.n_stops, 1);
	fleet_end_run(f, &victim, FLOW_RUN_STOPPED, 500);
	fleet_decide(f, &o, 501);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_eq(o.starts[0].job, "j2");
}
END_TEST

/* The first rack that could be freed was chosen, however much work was lost. */
START_TEST(rack_with_least_lost_work_is_preempted)
{
	struct flow_spec *s = fleet_new_spec(1, 8, true);
	int i;

	s->steps[0].within_rack = true;
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_worker(f, "w2", "r2", 8);
	fleet_add_worker(f, "w3", "r3", 8);
	for (i = 0; i < 3; i++) {
		static const char *const jobs[] = { "j1", "j2", "j3" };
		static const int64_t begin_ms[] = { 1000, 5000, 3000 };

		fleet_add_job(f, jobs[i], "low", fleet_new_spec(1, 8, false),
			      i);
		fleet_decide(f, &o, begin_ms[i]);
		fleet_confirm_starts(f, &o, begin_ms[i]);
	}
	fleet_add_job(f, "j9", "urgent", s, 6000);
	fleet_decide(f, &o, 6000);
	ck_assert_int_eq(o.n_stops, 1);
	ck_assert_str_eq(o.stops[0].job, "j2");
}
END_TEST

/* A run that takes most of a worker's processors counts for more than one. */
START_TEST(run_with_few_accelerators_is_no_cheap_victim)
{
	struct flow_spec *s = fleet_new_spec(1, 1, false);

	s->steps[0].shape.cpu_millicores = 8 * 16000;
	s->steps[0].declared_ms = 10000;
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_worker(f, "w2", "r1", 8);
	fleet_add_job(f, "large", "low", s, 0);
	s = fleet_new_spec(1, 3, false);
	s->steps[0].declared_ms = 10000;
	fleet_add_job(f, "small", "low", s, 1);
	fleet_decide(f, &o, 10);
	ck_assert_int_eq(o.n_starts, 2);
	fleet_confirm_starts(f, &o, 10);
	fleet_add_job(f, "j9", "urgent", fleet_new_spec(1, 8, false), 2000);
	fleet_decide(f, &o, 2000);
	ck_assert_int_eq(o.n_stops, 1);
	ck_assert_str_eq(o.stops[0].job, "small");
}
END_TEST

/*
 * Stopping one member ends its gang.  The capacity of all members is used
 * before another gang is stopped.
 */
START_TEST(gang_is_preempted_as_a_unit)
{
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_worker(f, "w2", "r1", 8);
	fleet_add_worker(f, "w3", "r1", 8);
	fleet_add_worker(f, "w4", "r1", 8);
	fleet_add_job(f, "j1", "low", fleet_new_spec(2, 8, true), 0);
	fleet_add_job(f, "j2", "low", fleet_new_spec(2, 8, true), 1);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 4);
	fleet_confirm_starts(f, &o, 2);
	fleet_add_job(f, "j9", "urgent", fleet_new_spec(2, 8, true), 500);
	fleet_decide(f, &o, 501);
	ck_assert_int_eq(o.n_stops, 2);
	ck_assert_str_eq(o.stops[0].job, o.stops[1].job);
}
END_TEST

/*
 * A guaranteed gang that prefers one rack waited for ever, beyond RECLAIM_MS,
 * while each rack had a guaranteed run (load mix "jurisum", seed 977205878380).
 */
START_TEST(guaranteed_gang_spans_racks_near_bound)
{
	struct flow_spec *s = fleet_new_spec(2, 8, true);
	struct flow_quota q = { "w", 64 };

	flow_set_quotas(f, &q, 1);
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_worker(f, "w2", "r2", 8);
	fleet_add_job(f, "j1", "urgent", fleet_new_spec(2, 8, false), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	ck_assert_int_eq(o.n_starts, 2);
	fleet_add_worker(f, "w3", "r1", 8);
	fleet_add_worker(f, "w4", "r2", 8);
	s->steps[0].within_rack = true;
	fleet_add_job(f, "j2", "urgent", s, 10);
	fleet_decide(f, &o, 11);
	ck_assert_int_eq(o.n_starts, 0);
	fleet_decide(f, &o, 10 + RECLAIM_MS - STOP_MS);
	ck_assert_int_eq(o.n_starts, 2);
}
END_TEST

/*
 * A guaranteed gang that needs a whole worker never started, despite
 * RECLAIM_MS, while each worker had a guaranteed task, although all those tasks
 * would have fitted on one worker.
 */
START_TEST(guaranteed_task_is_moved_near_bound)
{
	struct flow_quota q = { "w", 16 };
	struct flow_run_ref r = { "j1", 0, 0, 0, 1 };

	flow_set_quotas(f, &q, 1);
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_worker(f, "w2", "r1", 8);
	fleet_add_job(f, "j1", "urgent", fleet_new_spec(1, 1, false), 0);
	fleet_add_job(f, "j2", "urgent", fleet_new_spec(1, 5, false), 0);
	ck_assert(flow_report_run(f, &r, "w1", 0, "", 1));
	r.job = "j2";
	ck_assert(flow_report_run(f, &r, "w2", 0, "", 1));
	fleet_add_job(f, "j3", "urgent", fleet_new_spec(1, 8, true), 10);
	fleet_decide(f, &o, 11);
	ck_assert_int_eq(o.n_stops, 0);
	fleet_decide(f, &o, 10 + RECLAIM_MS - STOP_MS);
	ck_assert_int_eq(o.n_stops, 1);
	ck_assert_str_eq(o.stops[0].job, "j1");
	fleet_end_run(f, &o.stops[0], FLOW_RUN_STOPPED,
		      RECLAIM_MS - STOP_MS + 100);
	fleet_decide(f, &o, RECLAIM_MS - STOP_MS + 101);
	ck_assert_int_eq(o.n_starts, 2);
	/* The task that was moved does not preempt the gang in turn. */
	fleet_confirm_starts(f, &o, RECLAIM_MS - STOP_MS + 110);
	fleet_decide(f, &o, RECLAIM_MS + 1000);
	ck_assert_int_eq(o.n_stops, 0);
}
END_TEST

/* A task's last attempt failed on a worker that had just failed another. */
START_TEST(last_attempt_avoids_failing_workers)
{
	struct flow_run_ref r = { "j1", 0, 0, 0, 1 };
	int i;

	fleet_add_worker(f, "w1", "r1", 1);
	fleet_add_worker(f, "w2", "r1", 1);
	fleet_add_worker(f, "w3", "r1", 1);
	fleet_add_worker(f, "w4", "r1", 1);
	fleet_add_job(f, "j0", "normal", fleet_new_spec(3, 1, false), 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 3);
	fleet_confirm_starts(f, &o, 2);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(1, 1, false), 10);
	fleet_decide(f, &o, 11);
	ck_assert_int_eq(o.n_starts, 1);
	fleet_end_run(f, &o.starts[0], FLOW_RUN_FAILED, 20);
	fleet_add_job(f, "j2", "normal", fleet_new_spec(1, 1, false), 5);
	r.job = "j2";
	for (i = 1; i < 3; i++) {
		r.run = i;
		flow_report_end(f, &r, "w9", FLOW_RUN_FAILED, "", 21);
	}
	flow_cancel(f, "j1", 22);
	fleet_decide(f, &o, 23);
	ck_assert_int_eq(o.n_starts, 0);
	fleet_decide(f, &o, 20 + 2600);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_eq(o.starts[0].job, "j2");
}
END_TEST

/* A job fails with the last attempt of a task, which isn't started again. */
START_TEST(attempts_are_limited)
{
	int i;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(1, 1, false), 0);
	for (i = 0; i < 3; i++) {
		fleet_decide(f, &o, 10 * i + 1);
		ck_assert_int_eq(o.n_starts, 1);
		fleet_confirm_starts(f, &o, 10 * i + 2);
		fleet_end_run(f, &o.starts[0], FLOW_RUN_FAILED, 10 * i + 3);
	}
	ck_assert_int_eq(state("j1"), FLOW_FAILED);
	fleet_decide(f, &o, 100);
	ck_assert_int_eq(o.n_starts, 0);
}
END_TEST

/*
 * After a take-over workers report ends again, in any order.  A failure of run
 * 2 reported after that of run 3 was not counted, so that the task got more
 * attempts than its queue allows.
 */
/* A new owner may read the ends of runs before it knows the queue's limit. */
START_TEST(attempts_used_before_queue_is_known_count)
{
	const struct flow_queue q = fleet_queue("later", 1);
	struct flow_run_ref ref = { .job = "00000000000000aa" };
	struct flow_job_status v;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, ref.job, "later", fleet_new_spec(1, 1, false), 0);
	for (ref.run = 1; ref.run <= 3; ref.run++)
		ck_assert(flow_report_end(f, &ref, "w1", FLOW_RUN_FAILED, "",
					  10));
	flow_set_queues(f, &q, 1);
	fleet_decide(f, &o, 20);
	ck_assert_int_eq(o.n_starts, 0);
	ck_assert(flow_job_status(f, ref.job, &v));
	ck_assert_int_eq(v.state, FLOW_FAILED);
}
END_TEST

/*
 * Each queue was looked for in the new list from its start.  With 11,000 queues
 * that held the owner up for 0.9 s, and it was replaced.
 */
START_TEST(large_document_takes_time_in_proportion_to_its_queues)
{
	enum { QUEUES = 50000, MOST_MS = 2000 };
	struct flow_queue *q = tg_xcalloc(QUEUES, sizeof(*q));
	char(*names)[16] = tg_xcalloc(QUEUES, sizeof(*names));
	int64_t from_ms;
	int i;

	for (i = 0; i < QUEUES; i++) {
		snprintf(names[i], sizeof(names[i]), "q%d", i);
		q[i] = fleet_queue(names[i], 1);
	}
	flow_set_queues(f, q, QUEUES);
	from_ms = tg_now_ms();
	flow_set_queues(f, q, QUEUES);
	ck_assert_int_lt(tg_now_ms() - from_ms, MOST_MS);
	flow_set_queues(f, q, QUEUES / 2);
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "q24999", fleet_new_spec(1, 1, false), 0);
	fleet_add_job(f, "j2", "q25000", fleet_new_spec(1, 1, false), 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_eq(o.starts[0].job, "j1");
	free(q);
	free(names);
}
END_TEST

START_TEST(failures_are_counted_in_any_order)
{
	static const int32_t runs[] = { 3, 1, 3, 2, 1 };
	struct flow_run_ref r = { "j1", 0, 0, 0, 0 };
	size_t i;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(1, 1, false), 0);
	for (i = 0; i < ARRAY_SIZE(runs); i++) {
		/* A run that has failed had begun. */
		ck_assert_int_eq(state("j1"),
				 !i	       ? FLOW_QUEUED :
					 i < 4 ? FLOW_RUNNING :
						 FLOW_FAILED);
		r.run = runs[i];
		ck_assert(flow_report_end(f, &r, "w1", FLOW_RUN_FAILED, "", 5));
	}
}
END_TEST

/*
 * The end of a run whose job is not loaded yet must not be acknowledged, or the
 * task would run again.
 */
START_TEST(reports_on_unknown_jobs_are_refused)
{
	struct flow_run_ref r = { "j9", 0, 0, 0, 1 };

	fleet_add_worker(f, "w1", "r1", 8);
	ck_assert(!flow_report_end(f, &r, "w1", FLOW_RUN_DONE, "", 5));
	ck_assert(!flow_report_run(f, &r, "w1", 0, "", 5));
}
END_TEST

/*
 * A run whose start order had no answer may be running: it keeps its capacity
 * and its task is not started again until the worker's list or a stop settles
 * it.
 */
START_TEST(unanswered_start_is_resolved_by_run_list)
{
	struct flow_run_ref r;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(1, 8, false), 0);
	fleet_decide(f, &o, 1);
	r = fleet_run_ref(&o.starts[0]);
	flow_start_answered(f, &r, "w1", FLOW_ORDER_UNKNOWN, 900);
	fleet_decide(f, &o, 901);
	ck_assert_int_eq(o.n_starts + o.n_stops, 0);
	/* A list requested no later than the time-out settles nothing. */
	flow_report_list_end(f, "w1", 900, 1000);
	fleet_decide(f, &o, 1001);
	ck_assert_int_eq(o.n_starts + o.n_stops, 0);
	/* Not in a later list: a stop order ensures that it never runs. */
	flow_report_list_end(f, "w1", 901, 1002);
	fleet_decide(f, &o, 1003);
	ck_assert_int_eq(o.n_stops, 1);
	ck_assert_int_eq(o.n_starts, 0);
	flow_stop_answered(f, &r, "w1", FLOW_ORDER_UNKNOWN, 1900);
	fleet_decide(f, &o, 1901);
	ck_assert_int_eq(o.n_stops, 1);
	flow_stop_answered(f, &r, "w1", FLOW_ORDER_DONE, 2000);
	flow_report_list_end(f, "w1", 2001 + STOP_MS, 3000);
	fleet_decide(f, &o, 3001);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_int_eq(o.starts[0].run, 2);
}
END_TEST

/*
 * A recovered job may have runs that the owner before started: nothing starts
 * until all workers have listed their runs.
 */
START_TEST(recovered_job_waits_for_run_lists)
{
	struct flow_job_opts j = {
		.id = "j1",
		.queue = "normal",
		.workspace = "w",
		.spec = fleet_new_spec(2, 1, false),
		.recovered = true,
	};
	struct flow_run_ref r = { "j1", 0, 0, 1, 1 };

	fleet_add_worker(f, "w1", "r1", 8);
	ck_assert(flow_add_job(f, &j));
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 0);
	ck_assert(flow_report_run(f, &r, "w1", 10, "", 2));
	flow_end_recovery(f);
	fleet_decide(f, &o, 3);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_int_eq(o.starts[0].index, 0);
}
END_TEST

/* Decoded progress must equal what the owner before encoded. */
START_TEST(progress_survives_takeover)
{
	struct flow_spec *s = fleet_new_spec(4, 1, false);
	struct flow_opts opts = { .stop_ms = STOP_MS };
	struct flow_queue q = fleet_queue("normal", 1);
	struct flow *g = flow_new(&opts);
	struct flow_run_ref r;
	struct flow_job_status v;
	json_t *p;

	s->steps[0].checkpoints = true;
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", s, 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	fleet_end_run(f, &o.starts[0], FLOW_RUN_DONE, 3);
	fleet_end_run(f, &o.starts[2], FLOW_RUN_DONE, 3);
	fleet_end_run(f, &o.starts[3], FLOW_RUN_FAILED, 3);
	r = fleet_run_ref(&o.starts[1]);
	flow_report_end(f, &r, "w1", FLOW_RUN_STOPPED, "c1", 4);
	ck_assert_str_eq(flow_take_dirty(f), "j1");
	ck_assert_ptr_null(flow_take_dirty(f));
	p = flow_progress_encode(f, "j1");

	flow_set_queues(g, &q, 1);
	fleet_add_worker(g, "w1", "r1", 8);
	fleet_add_job(g, "j1", "normal", fleet_new_spec(4, 1, false), 0);
	ck_assert(flow_progress_decode(g, "j1", p));
	json_decref(p);
	ck_assert(flow_job_status(g, "j1", &v));
	ck_assert_int_eq(v.done, 2);
	fleet_decide(g, &o, 10);
	ck_assert_int_eq(o.n_starts, 2);
	ck_assert_int_eq(o.starts[0].index, 1);
	ck_assert_str_eq(o.starts[0].saved, "c1");
	ck_assert_int_eq(o.starts[0].run, 2);
	ck_assert_int_eq(o.starts[1].run, 2);
	flow_free(g);
}
END_TEST

/*
 * A run that the owner before stopped is not listed while it ends.  Its task
 * was started elsewhere at once, so that it ran twice, and its capacity was
 * given to others, beyond the worker's capacity.
 */
START_TEST(recorded_run_may_be_stopping)
{
	struct flow_opts opts = { .stop_ms = STOP_MS };
	struct flow_queue q = fleet_queue("normal", 1);
	struct flow *g = flow_new(&opts);
	json_t *p;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(1, 8, false), 0);
	fleet_decide_unwritten(f, &o, 1);
	ck_assert_str_eq(flow_take_dirty(f), "j1");
	p = flow_progress_encode(f, "j1");

	flow_set_queues(g, &q, 1);
	fleet_add_worker(g, "w1", "r1", 8);
	fleet_add_worker(g, "w2", "r1", 8);
	fleet_add_job(g, "j1", "normal", fleet_new_spec(1, 8, false), 0);
	ck_assert(flow_progress_decode(g, "j1", p));
	json_decref(p);
	/* Without a later list, which no end causes, the task waits. */
	ck_assert(flow_report_list_end(g, "w1", 1000, 1001));
	fleet_decide(g, &o, 1002);
	ck_assert_int_eq(o.n_starts, 0);
	ck_assert(
		!flow_report_list_end(g, "w1", 1001 + STOP_MS, 1002 + STOP_MS));
	fleet_decide(g, &o, 1003 + STOP_MS);
	ck_assert_int_eq(o.n_starts, 0);
	ck_assert(
		!flow_report_list_end(g, "w1", 1002 + STOP_MS, 1003 + STOP_MS));
	fleet_decide(g, &o, 1004 + STOP_MS);
	ck_assert_int_eq(o.n_starts, 1);
	flow_free(g);
}
END_TEST

/*
 * The owner before could not write its last start: the record names run 1 on
 * w1, while run 2 runs on w2.  Run 2 must go on and no other run start, or the
 * task would run twice.
 */
START_TEST(listed_run_supersedes_record)
{
	struct flow_run_ref r = { "j1", 0, 0, 0, 2 };
	json_t *p = json_loads("{\"state\":0,\"steps\":[{\"done\":\"\","
			       "\"tasks\":{},\"runs\":[[0,1,\"w1\"]]}]}",
			       0, NULL);

	fleet_add_job(f, "j1", "normal", fleet_new_spec(1, 1, false), 0);
	ck_assert(flow_progress_decode(f, "j1", p));
	json_decref(p);
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_worker(f, "w2", "r1", 8);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 0);
	ck_assert(flow_report_run(f, &r, "w2", 0, "", 5));
	flow_report_list_end(f, "w2", 4, 5);
	fleet_decide(f, &o, 6);
	ck_assert_int_eq(o.n_starts, 0);
	flow_report_list_end(f, "w1", 5, 6);
	fleet_decide(f, &o, 7);
	ck_assert_int_eq(o.n_starts + o.n_stops, 0);
	fleet_end_run(f, &(struct start_order){ "j1", "w2", "", 0, 0, 0, 2 },
		      FLOW_RUN_DONE, 8);
	ck_assert_int_eq(state("j1"), FLOW_COMPLETED);
}
END_TEST

/* A task must not start while a superseded run of it is still stopping. */
START_TEST(task_waits_for_stopping_runs)
{
	struct flow_run_ref r = { "j1", 0, 0, 0, 1 };

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_worker(f, "w2", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(1, 1, false), 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 1);
	fleet_end_run(f, &o.starts[0], FLOW_RUN_LEASE_EXPIRED, 2);
	fleet_decide(f, &o, 3);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert(flow_report_run(f, &r, "w2", 0, "", 4));
	fleet_end_run(f, &o.starts[0], FLOW_RUN_LEASE_EXPIRED, 5);
	fleet_decide(f, &o, 6);
	ck_assert_int_eq(o.n_stops, 1);
	ck_assert_int_eq(o.n_starts, 0);
}
END_TEST

/*
 * Runs were started before they were recorded.  An owner that was cut off from
 * the store went on starting, and the next one, which read the progress,
 * started the same tasks (review/1).
 */
START_TEST(start_order_waits_for_its_record)
{
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(2, 8, false), 0);
	ck_assert_ptr_null(flow_take_dirty(f));
	fleet_decide_unwritten(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 0);
	fleet_start_recorded(f, &o, 2);
	ck_assert_int_eq(o.n_starts, 0);
	ck_assert_str_eq(flow_take_dirty(f), "j1");
	fleet_start_recorded(f, &o, 3);
	ck_assert_int_eq(o.n_starts, 0);
	/* The write that is in progress doesn't hold this decision. */
	fleet_add_worker(f, "w2", "r1", 8);
	fleet_decide_unwritten(f, &o, 4);
	flow_mark_written(f);
	fleet_start_recorded(f, &o, 5);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_eq(o.starts[0].worker, "w1");
	fleet_write(f);
	fleet_start_recorded(f, &o, 6);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_eq(o.starts[0].worker, "w2");
}
END_TEST

/* A start that was decided on is not ordered if its worker fell silent since.
 */
START_TEST(decided_gang_is_dropped_with_its_worker)
{
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_worker(f, "w2", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(2, 8, true), 0);
	fleet_decide_unwritten(f, &o, 1);
	fleet_write(f);
	flow_worker_set_suspect(f, "w1", true);
	fleet_start_recorded(f, &o, 2);
	ck_assert_int_eq(o.n_starts + o.n_stops, 0);
	flow_worker_set_suspect(f, "w1", false);
	fleet_decide(f, &o, 3);
	ck_assert_int_eq(o.n_starts, 2);
	ck_assert_int_eq(o.starts[0].run, 2);
}
END_TEST

/*
 * A run that an owner learned from a worker's list was not recorded.  The next
 * owner started its task again while that worker was cut off (review/5).
 */
START_TEST(run_learned_from_a_list_is_recorded)
{
	struct flow_opts opts = { .stop_ms = STOP_MS };
	struct flow_queue q = fleet_queue("normal", 1);
	struct flow *g = flow_new(&opts);
	struct flow_run_ref r = { "j1", 0, 0, 0, 1 };
	json_t *p;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(1, 8, false), 0);
	ck_assert(flow_report_run(f, &r, "w1", 0, "", 5));
	ck_assert_str_eq(flow_take_dirty(f), "j1");
	p = flow_progress_encode(f, "j1");

	flow_set_queues(g, &q, 1);
	fleet_add_worker(g, "w2", "r1", 8);
	fleet_add_job(g, "j1", "normal", fleet_new_spec(1, 8, false), 0);
	ck_assert(flow_progress_decode(g, "j1", p));
	json_decref(p);
	fleet_decide(g, &o, 10);
	ck_assert_int_eq(o.n_starts, 0);
	flow_free(g);
}
END_TEST

/*
 * A run that is being stopped uses capacity, and its worker doesn't list it.
 * The next owner learns of it from the record, also if its job has ended.
 */
START_TEST(run_of_a_cancelled_job_holds_capacity_after_a_takeover)
{
	struct flow_opts opts = { .stop_ms = STOP_MS };
	struct flow_queue q = fleet_queue("normal", 1);
	struct flow *g = flow_new(&opts);
	struct flow_job_status v;
	json_t *p;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(1, 8, false), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	flow_cancel(f, "j1", 3);
	ck_assert_str_eq(flow_take_dirty(f), "j1");
	p = flow_progress_encode(f, "j1");
	flow_mark_written(f);
	ck_assert(flow_job_status(f, "j1", &v) && v.durable);
	/* The end of the run changes the record, but not the state shown. */
	fleet_end_run(f, &o.starts[0], FLOW_RUN_STOPPED, 4);
	ck_assert(flow_job_status(f, "j1", &v) && v.durable);
	ck_assert_str_eq(flow_take_dirty(f), "j1");

	flow_set_queues(g, &q, 1);
	fleet_add_worker(g, "w1", "r1", 8);
	fleet_add_job(g, "j1", "normal", fleet_new_spec(1, 8, false), 0);
	fleet_add_job(g, "j2", "normal", fleet_new_spec(1, 8, false), 0);
	ck_assert(flow_progress_decode(g, "j1", p));
	json_decref(p);
	flow_report_list_end(g, "w1", 1000, 1001);
	fleet_decide(g, &o, 1002);
	ck_assert_int_eq(o.n_starts, 0);
	flow_report_list_end(g, "w1", 1002 + STOP_MS, 1003 + STOP_MS);
	fleet_decide(g, &o, 1004 + STOP_MS);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_eq(o.starts[0].job, "j2");
	flow_free(g);
}
END_TEST

/* A run that began on one worker may end done on another: its copy is needless.
 */
START_TEST(second_run_of_a_done_task_is_stopped)
{
	struct flow_run_ref r = { "j1", 0, 0, 0, 1 };

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(2, 1, false), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	ck_assert_int_eq(o.n_starts, 2);
	flow_report_end(f, &r, "w2", FLOW_RUN_DONE, "", 3);
	fleet_decide(f, &o, 4);
	ck_assert_int_eq(o.n_stops, 1);
	ck_assert_int_eq(o.stops[0].index, 0);
}
END_TEST

static void report_percent(const struct start_order *s, int32_t percent,
			   int64_t now_ms)
{
	struct flow_run_ref r = fleet_run_ref(s);

	ck_assert(flow_report_run(f, &r, s->worker, percent, "", now_ms));
}

/* A task whose run made no progress was never started elsewhere. */
START_TEST(stalled_run_is_stopped)
{
	struct start_order first;
	int64_t t;

	fleet_add_worker(f, "w1", "r1", 1);
	fleet_add_worker(f, "w2", "r1", 1);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(1, 1, false), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	first = o.starts[0];
	for (t = 100; t <= 3000; t += 100) {
		report_percent(&first, 20, t);
		fleet_decide(f, &o, t);
		ck_assert_int_eq(o.n_stops, 0);
	}
	report_percent(&first, 20, 3300);
	fleet_decide(f, &o, 3300);
	ck_assert_int_eq(o.n_stops, 1);
	fleet_end_run(f, &first, FLOW_RUN_STOPPED, 3400);
	fleet_decide(f, &o, 3401);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_ne(o.starts[0].worker, first.worker);
}
END_TEST

/* With stretch 3 and 1 s on top, a job of 1 s is due after 4 s. */
static void first_of_two_jobs_is(const char *job, int64_t late_accepted_ms)
{
	const int64_t now_ms = 20000;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "old", "low", fleet_new_spec(1, 8, false),
		      late_accepted_ms);
	fleet_add_job(f, "new", "low", fleet_new_spec(1, 8, false),
		      now_ms - 100);
	fleet_decide(f, &o, now_ms);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_eq(o.starts[0].job, job);
}

/*
 * Once its objective was missed, a job displaced jobs that could still meet
 * theirs, as soon as its final deadline came before theirs.
 */
START_TEST(job_in_time_goes_before_late_job)
{
	first_of_two_jobs_is("new", 20000 - 10500);
}
END_TEST

/* Declared run times are often too short, so an end just in time is late. */
START_TEST(job_without_margin_is_late)
{
	first_of_two_jobs_is("new", 20000 - 2900);
}
END_TEST

START_TEST(older_job_in_time_goes_first)
{
	first_of_two_jobs_is("old", 20000 - 2700);
}
END_TEST

/*
 * A job of endless tasks counted as late once it was older than its objective,
 * so that a task of it that ended waited behind all jobs in time.
 */
START_TEST(endless_task_is_restarted_before_later_jobs)
{
	struct flow_spec *s = fleet_new_spec(1, 8, false);
	const int64_t now_ms = 60000;

	s->steps[0].endless = true;
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "endless", "low", s, 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 1);
	fleet_confirm_starts(f, &o, 2);
	fleet_end_run(f, &o.starts[0], FLOW_RUN_FAILED, now_ms);
	fleet_add_job(f, "new", "low", fleet_new_spec(1, 8, false), now_ms);
	fleet_decide(f, &o, now_ms);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_eq(o.starts[0].job, "endless");
}
END_TEST

/* An urgent job preempted a run that would have ended as soon by itself. */
START_TEST(run_about_to_end_is_not_preempted)
{
	struct start_order low[2];

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_worker(f, "w2", "r1", 8);
	fleet_add_job(f, "j1", "low", fleet_new_spec(2, 8, false), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	low[0] = o.starts[0];
	low[1] = o.starts[1];
	report_percent(&low[0], 0, 100);
	report_percent(&low[1], 0, 100);
	report_percent(&low[0], 10, 1100);
	report_percent(&low[1], 98, 1100);
	fleet_add_job(f, "j2", "urgent", fleet_new_spec(1, 8, false), 1100);
	fleet_decide(f, &o, 1101);
	ck_assert_int_eq(o.n_stops, 0);
	fleet_end_run(f, &low[1], FLOW_RUN_DONE, 1130);
	fleet_decide(f, &o, 1131);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_eq(o.starts[0].job, "j2");
}
END_TEST

/* A slow worker gets a task only if no other worker has capacity. */
START_TEST(slow_worker_is_avoided)
{
	struct start_order first;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_worker(f, "w2", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(1, 1, false), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	first = o.starts[0];
	for (int i = 0; i < 12; i++)
		report_percent(&first, 5 * i, 10 + 500 * i);
	fleet_add_job(f, "j2", "normal", fleet_new_spec(1, 1, false), 6000);
	fleet_decide(f, &o, 6001);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_ne(o.starts[0].worker, first.worker);
}
END_TEST

/* Failures of several jobs in a row quarantine a worker. */
START_TEST(failing_worker_is_quarantined)
{
	int i;

	for (i = 0; i < 4; i++) {
		char id[16];

		snprintf(id, sizeof(id), "w%d", i);
		fleet_add_worker(f, id, "r1", 1);
	}
	for (i = 0; i < 3; i++) {
		struct flow_run_ref r = { NULL, 0, 0, 0, 1 };
		char id[16];

		snprintf(id, sizeof(id), "j%d", i);
		r.job = id;
		fleet_add_job(f, id, "normal", fleet_new_spec(1, 1, false), i);
		ck_assert(flow_report_run(f, &r, "w0", 0, "", 1));
		flow_report_end(f, &r, "w0", FLOW_RUN_FAILED, "", 2);
	}
	fleet_decide(f, &o, 3);
	ck_assert_int_eq(o.n_starts, 3);
	for (i = 0; i < 3; i++)
		ck_assert_str_ne(o.starts[i].worker, "w0");
}
END_TEST

int main(void)
{
	Suite *s = suite_create("flow");
	TCase *t = tcase_create("engine");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, job_completes_after_last_task);
	tcase_add_test(t, step_waits_for_its_dependencies);
	tcase_add_test(t, occurrence_waits_for_its_time);
	tcase_add_test(t, gang_starts_all_members_or_none);
	tcase_add_test(t, gang_restarts_with_all_members);
	tcase_add_test(t, stopping_run_holds_capacity);
	tcase_add_test(t, unconfirmed_stop_is_rate_limited);
	tcase_add_test(t, victim_holds_capacity_until_it_ends);
	tcase_add_test(t, freed_capacity_goes_to_preempting_job);
	tcase_add_test(t, rack_with_least_lost_work_is_preempted);
	tcase_add_test(t, run_with_few_accelerators_is_no_cheap_victim);
	tcase_add_test(t, gang_is_preempted_as_a_unit);
	tcase_add_test(t, guaranteed_gang_spans_racks_near_bound);
	tcase_add_test(t, guaranteed_task_is_moved_near_bound);
	tcase_add_test(t, last_attempt_avoids_failing_workers);
	tcase_add_test(t, attempts_are_limited);
	tcase_add_test(t, attempts_used_before_queue_is_known_count);
	tcase_add_test(t, failures_are_counted_in_any_order);
	tcase_add_test(t, reports_on_unknown_jobs_are_refused);
	tcase_add_test(t, unanswered_start_is_resolved_by_run_list);
	tcase_add_test(t, recovered_job_waits_for_run_lists);
	tcase_add_test(t, start_order_waits_for_its_record);
	tcase_add_test(t, decided_gang_is_dropped_with_its_worker);
	tcase_add_test(t, run_learned_from_a_list_is_recorded);
	tcase_add_test(t,
		       run_of_a_cancelled_job_holds_capacity_after_a_takeover);
	tcase_add_test(t, second_run_of_a_done_task_is_stopped);
	tcase_add_test(t, progress_survives_takeover);
	tcase_add_test(t, recorded_run_may_be_stopping);
	tcase_add_test(t, listed_run_supersedes_record);
	tcase_add_test(t, task_waits_for_stopping_runs);
	tcase_add_test(t, stalled_run_is_stopped);
	tcase_add_test(t, run_about_to_end_is_not_preempted);
	tcase_add_test(t, job_in_time_goes_before_late_job);
	tcase_add_test(t, job_without_margin_is_late);
	tcase_add_test(t, older_job_in_time_goes_first);
	tcase_add_test(t, endless_task_is_restarted_before_later_jobs);
	tcase_add_test(t, slow_worker_is_avoided);
	tcase_add_test(t,
		       large_document_takes_time_in_proportion_to_its_queues);
	tcase_add_test(t, failing_worker_is_quarantined);
	suite_add_tcase(s, t);
	suite_add_tcase(s, load_tcase());
	suite_add_tcase(s, crash_tcase());
	suite_add_tcase(s, names_tcase());
	suite_add_tcase(s, capacity_tcase());
	suite_add_tcase(s, drain_tcase());
	suite_add_tcase(s, evacuate_tcase());
	suite_add_tcase(s, kept_tcase());
	suite_add_tcase(s, loans_tcase());
	suite_add_tcase(s, occurrences_tcase());
	suite_add_tcase(s, plan_tcase());
	suite_add_tcase(s, record_tcase());
	suite_add_tcase(s, takeover_tcase());
	suite_add_tcase(s, begun_tcase());
	suite_add_tcase(s, gang_wait_tcase());
	suite_add_tcase(s, never_fits_tcase());
	suite_add_tcase(s, unconfirmed_tcase());
	suite_add_tcase(s, unused_tcase());
	suite_add_tcase(s, index_tcase());
	suite_add_tcase(s, fleet_size_tcase());
	return run_suite(s);
}
