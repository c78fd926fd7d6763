#include "record-store.h"

/*
 * Which jobs wait to begin.  A decision to start a run counted as its begin, so
 * that jobs whose starts were refused were not counted as waiting and were
 * shown as running, also by the next owner (review/14).
 */

static struct flow *f;
static struct orders o;
static struct record_store store;

static void setup(void)
{
	f = fleet_new();
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", fleet_new_spec(1, 1, false), 0);
}

static void teardown(void)
{
	flow_free(f);
	record_store_clear(&store);
}

static void check_waiting(int64_t n)
{
	struct flow_job_status v;

	ck_assert(flow_job_status(f, "j1", &v));
	ck_assert_int_eq(v.state, n ? FLOW_QUEUED : FLOW_RUNNING);
	ck_assert_int_eq(flow_count_waiting(f, "normal"), n);
}

static void start(int64_t now_ms)
{
	fleet_decide_unwritten(f, &o, now_ms);
	while (record_store_write(&store, f, 90))
		;
	fleet_start_recorded(f, &o, now_ms);
	ck_assert_int_eq(o.n_starts, 1);
}

static void answer(enum flow_order_result how, int64_t now_ms)
{
	struct flow_run_ref r = fleet_run_ref(&o.starts[0]);

	flow_start_answered(f, &r, "w1", how, now_ms);
}

/* A new owner, which has read the store. */
static void take_over(void)
{
	while (record_store_write(&store, f, 90))
		;
	flow_free(f);
	setup();
	record_store_read(&store, f);
}

START_TEST(job_whose_start_is_refused_waits)
{
	int i;

	for (i = 0; i < 3; i++) {
		start(1 + i * 100);
		check_waiting(1);
		answer(FLOW_ORDER_NOT_DONE, 2 + i * 100);
		check_waiting(1);
	}
}
END_TEST

/*
 * A guaranteed gang may span racks as long as its first step has not started.
 * A refused start counted as one, so that the gang was kept to one rack.
 */
START_TEST(guarantee_counts_after_a_refused_start)
{
	struct flow_spec *s = fleet_new_spec(2, 8, true);
	struct flow_quota q = { "w", 64 };
	int i;

	flow_free(f);
	f = fleet_new();
	flow_set_quotas(f, &q, 1);
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_worker(f, "w2", "r2", 8);
	/* With these the pool is in use, so that nothing starts on loan. */
	fleet_add_worker(f, "w6", "r3", 8);
	fleet_add_worker(f, "w7", "r3", 8);
	fleet_add_job(f, "j1", "urgent", fleet_new_spec(4, 8, false), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	fleet_add_worker(f, "w3", "r1", 8);
	fleet_add_worker(f, "w4", "r1", 8);
	s->steps[0].within_rack = true;
	fleet_add_job(f, "j2", "urgent", s, 10);
	fleet_decide(f, &o, 11);
	ck_assert_int_eq(o.n_starts, 2);
	for (i = 0; i < 2; i++) {
		struct flow_run_ref r = fleet_run_ref(&o.starts[i]);

		flow_start_answered(f, &r, o.starts[i].worker,
				    FLOW_ORDER_NOT_DONE, 12);
	}
	flow_worker_remove(f, "w4", 13);
	fleet_add_worker(f, "w5", "r2", 8);
	fleet_decide(f, &o, 14);
	ck_assert_int_eq(o.n_starts, 0);
	fleet_decide(f, &o, 10 + RECLAIM_MS - STOP_MS);
	ck_assert_int_eq(o.n_starts, 2);
}
END_TEST

START_TEST(refused_starts_are_no_runs)
{
	struct flow_job_status v;

	start(1);
	answer(FLOW_ORDER_NOT_DONE, 2);
	start(100);
	answer(FLOW_ORDER_DONE, 101);
	ck_assert(flow_job_status(f, "j1", &v));
	ck_assert_int_eq(v.runs, 1);
}
END_TEST

START_TEST(job_begins_when_its_start_is_answered)
{
	start(1);
	answer(FLOW_ORDER_DONE, 2);
	check_waiting(0);
}
END_TEST

/* It may have begun; the next list tells. */
START_TEST(job_whose_start_has_no_answer_begins_when_it_is_listed)
{
	struct flow_run_ref r = { "j1", 0, 0, 0, 1 };

	start(1);
	answer(FLOW_ORDER_UNKNOWN, 2);
	check_waiting(1);
	flow_report_run(f, &r, "w1", 0, "", 3);
	check_waiting(0);
}
END_TEST

START_TEST(answer_counts_though_the_run_is_given_up)
{
	start(1);
	flow_worker_lost(f, "w1", 2);
	check_waiting(1);
	answer(FLOW_ORDER_DONE, 3);
	check_waiting(0);
}
END_TEST

START_TEST(run_that_is_dropped_has_not_begun)
{
	fleet_decide_unwritten(f, &o, 1);
	fleet_write(f);
	flow_worker_set_suspect(f, "w1", true);
	fleet_start_recorded(f, &o, 2);
	ck_assert_int_eq(o.n_starts, 0);
	check_waiting(1);
}
END_TEST

START_TEST(run_stopped_before_its_answer_has_not_begun)
{
	struct flow_run_ref r = { "j1", 0, 0, 0, 1 };

	start(1);
	answer(FLOW_ORDER_NOT_DONE, 3);
	check_waiting(1);
	/* Its end, though, shows that it had begun. */
	flow_report_end(f, &r, "w1", FLOW_RUN_STOPPED, "", 4);
	check_waiting(0);
}
END_TEST

START_TEST(next_owner_counts_a_recorded_run_once_it_is_listed)
{
	struct flow_run_ref r = { "j1", 0, 0, 0, 1 };

	start(1);
	take_over();
	check_waiting(1);
	flow_report_run(f, &r, "w1", 0, "", 3);
	check_waiting(0);
}
END_TEST

START_TEST(next_owner_knows_that_an_earlier_run_had_begun)
{
	start(1);
	answer(FLOW_ORDER_DONE, 2);
	fleet_end_run(f, &o.starts[0], FLOW_RUN_STOPPED, 3);
	check_waiting(0);
	take_over();
	check_waiting(0);
}
END_TEST

TCase *begun_tcase(void)
{
	TCase *t = tcase_create("begun");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, job_whose_start_is_refused_waits);
	tcase_add_test(t, guarantee_counts_after_a_refused_start);
	tcase_add_test(t, refused_starts_are_no_runs);
	tcase_add_test(t, job_begins_when_its_start_is_answered);
	tcase_add_test(t,
		       job_whose_start_has_no_answer_begins_when_it_is_listed);
	tcase_add_test(t, answer_counts_though_the_run_is_given_up);
	tcase_add_test(t, run_that_is_dropped_has_not_begun);
	tcase_add_test(t, run_stopped_before_its_answer_has_not_begun);
	tcase_add_test(t, next_owner_counts_a_recorded_run_once_it_is_listed);
	tcase_add_test(t, next_owner_knows_that_an_earlier_run_had_begun);
	return t;
}
