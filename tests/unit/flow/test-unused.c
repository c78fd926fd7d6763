#include <check.h>
#include <string.h>

#include "fleet.h"

/*
 * What the engine tells about capacity that gets no starts although it may be
 * free.  Without it a task that waits for such capacity could not be told from
 * one that waits for a busy fleet.
 */

static struct flow *f;
static struct orders o;
static struct flow_unused unused;
static int n_reports;

static void setup(void)
{
	f = fleet_new();
	fleet_add_worker(f, "w0", "r", 2);
	fleet_add_worker(f, "w1", "r", 2);
}

static void teardown(void)
{
	flow_free(f);
}

static void on_unused(const struct flow_unused *u, void *arg)
{
	(void)arg;
	n_reports++;
	unused = *u;
}

/* Runs a round, and reads what it tells. */
static void read_unused(int64_t now_ms)
{
	fleet_decide(f, &o, now_ms);
	n_reports = 0;
	memset(&unused, 0, sizeof(unused));
	flow_each_unused(f, now_ms, on_unused, NULL);
}

static void check_unready(enum flow_unready why, const char *worker,
			  int64_t for_ms)
{
	int i;

	ck_assert_int_eq(n_reports, 1);
	for (i = 0; i < FLOW_UNREADY_REASONS; i++)
		ck_assert_int_eq((int)unused.unready[i].workers, i == (int)why);
	ck_assert_str_eq(unused.unready[why].worker, worker);
	ck_assert_int_eq(unused.unready[why].longest_ms, for_ms);
}

static void check_held(enum flow_held by, double workers, int64_t for_ms)
{
	int i;

	ck_assert_int_eq(n_reports, 1);
	for (i = 0; i < FLOW_HELD_KINDS; i++)
		ck_assert_int_eq(unused.held[i].runs, i == (int)by);
	ck_assert_double_eq_tol(unused.held[by].workers, workers, 0.01);
	ck_assert_int_eq(unused.held[by].longest_ms, for_ms);
}

START_TEST(fleet_that_is_in_use_is_not_reported)
{
	fleet_add_job(f, "a1", "normal", fleet_new_spec(2, 1, false), 0);
	read_unused(0);
	fleet_confirm_starts(f, &o, 10);
	read_unused(100);
	ck_assert_int_eq(n_reports, 0);
}
END_TEST

START_TEST(worker_without_starts_is_counted_by_reason)
{
	read_unused(0);
	flow_worker_set_suspect(f, "w1", true);
	read_unused(1000);
	read_unused(4000);
	check_unready(FLOW_UNREADY_SUSPECT, "w1", 3000);
	/* Its leases have expired; it answers, and hasn't listed its runs. */
	flow_worker_lost(f, "w1", 4100);
	flow_worker_set_suspect(f, "w1", false);
	read_unused(5000);
	check_unready(FLOW_UNREADY_UNLISTED, "w1", 0);
	flow_worker_set_runs_known(f, "w1");
	read_unused(6000);
	ck_assert_int_eq(n_reports, 0);
}
END_TEST

static void fail_on(const char *worker, const char *job, int64_t now_ms)
{
	struct flow_run_ref r = { job, 0, 0, 0, 1 };

	fleet_add_job(f, job, "normal", fleet_new_spec(1, 1, false), now_ms);
	flow_report_run(f, &r, worker, 0, "", now_ms);
	flow_report_end(f, &r, worker, FLOW_RUN_FAILED, "", now_ms);
	flow_cancel(f, job, now_ms);
}

/* Else those of a fleet that was replaced would count as not answering. */
START_TEST(worker_that_is_not_listed_any_more_is_counted_as_gone)
{
	read_unused(0);
	flow_worker_set_gone(f, "w1");
	read_unused(1000);
	check_unready(FLOW_UNREADY_GONE, "w1", 0);
	fleet_add_worker(f, "w1", "r", 2);
	flow_worker_set_suspect(f, "w1", false);
	read_unused(2000);
	ck_assert_int_eq(n_reports, 0);
}
END_TEST

START_TEST(quarantined_worker_is_counted)
{
	fleet_add_worker(f, "w2", "r", 2);
	fleet_add_worker(f, "w3", "r", 2);
	fail_on("w1", "a1", 100);
	fail_on("w1", "a2", 200);
	fail_on("w1", "a3", 300);
	read_unused(400);
	read_unused(1400);
	check_unready(FLOW_UNREADY_QUARANTINED, "w1", 1000);
}
END_TEST

START_TEST(start_that_waits_for_its_record_holds_capacity)
{
	fleet_add_job(f, "a1", "normal", fleet_new_spec(1, 1, false), 0);
	fleet_decide_unwritten(f, &o, 0);
	fleet_decide_unwritten(f, &o, 100);
	fleet_decide_unwritten(f, &o, 2100);
	flow_each_unused(f, 2100, on_unused, NULL);
	check_held(FLOW_HELD_UNRECORDED, 0.5, 2000);
}
END_TEST

START_TEST(start_without_answer_and_its_stop_hold_capacity)
{
	struct flow_run_ref r;

	fleet_add_job(f, "a1", "normal", fleet_new_spec(1, 1, false), 0);
	read_unused(0);
	r = fleet_run_ref(&o.starts[0]);
	flow_start_answered(f, &r, o.starts[0].worker, FLOW_ORDER_UNKNOWN, 900);
	read_unused(1000);
	read_unused(1500);
	check_held(FLOW_HELD_UNANSWERED, 0.5, 500);
	flow_report_list_end(f, o.n_starts ? o.starts[0].worker : "w0", 1600,
			     1700);
	flow_report_list_end(f, "w1", 1600, 1700);
	read_unused(2000);
	flow_stop_answered(f, &r, "w0", FLOW_ORDER_NOT_DONE, 2100);
	read_unused(6000);
	check_held(FLOW_HELD_STOPPING, 0.5, 4000);
}
END_TEST

START_TEST(runs_on_a_worker_that_does_not_answer_are_counted)
{
	const char *worker;

	fleet_add_job(f, "a1", "normal", fleet_new_spec(1, 1, false), 0);
	read_unused(0);
	fleet_confirm_starts(f, &o, 10);
	worker = o.starts[0].worker;
	flow_worker_set_suspect(f, worker, true);
	read_unused(100);
	read_unused(3100);
	check_held(FLOW_HELD_AWAY, 0.5, 3000);
	check_unready(FLOW_UNREADY_SUSPECT, unused.held[FLOW_HELD_AWAY].worker,
		      3000);
}
END_TEST

TCase *unused_tcase(void)
{
	TCase *t = tcase_create("unused");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, fleet_that_is_in_use_is_not_reported);
	tcase_add_test(t, worker_without_starts_is_counted_by_reason);
	tcase_add_test(t,
		       worker_that_is_not_listed_any_more_is_counted_as_gone);
	tcase_add_test(t, quarantined_worker_is_counted);
	tcase_add_test(t, start_that_waits_for_its_record_holds_capacity);
	tcase_add_test(t, start_without_answer_and_its_stop_hold_capacity);
	tcase_add_test(t, runs_on_a_worker_that_does_not_answer_are_counted);
	return t;
}
