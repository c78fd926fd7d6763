#include <string.h>

#include "fleet.h"

/* Runs that another process of their worker than the known one may have. */

static struct flow *f;
static struct orders o;

/* Two tasks of a job are starting on w1. */
static void setup(void)
{
	f = fleet_new();
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "job", "normal", fleet_new_spec(2, 4, false), 0);
	fleet_decide_unwritten(f, &o, 1);
}

static void teardown(void)
{
	flow_free(f);
}

static void start_both(void)
{
	int i;

	fleet_write(f);
	fleet_start_recorded(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 2);
	for (i = 0; i < 2; i++) {
		struct flow_run_ref r = fleet_run_ref(&o.starts[i]);

		flow_start_sent(f, &r, "w1");
	}
}

static void count(const char *worker, void *arg)
{
	ck_assert_str_eq(worker, "w1");
	++*(int *)arg;
}

static int count_unconfirmed(const struct flow *g)
{
	int n = 0;

	flow_each_unconfirmed(g, count, &n);
	return n;
}

/* Guards against a task that starts again while another process runs it. */
START_TEST(unconfirmed_run_keeps_its_task_when_leases_expire)
{
	struct flow_run_ref r;
	int32_t index;

	start_both();
	fleet_confirm_starts(f, &o, 2);
	index = o.starts[0].index;
	r = fleet_run_ref(&o.starts[0]);
	flow_start_confirmed(f, &r, "w1");
	ck_assert(flow_worker_has_unconfirmed(f, "w1"));
	flow_worker_lost_confirmed(f, "w1", 6000);
	ck_assert(flow_worker_has_unconfirmed(f, "w1"));
	fleet_add_worker(f, "w2", "r1", 8);
	fleet_decide(f, &o, 6001);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_int_eq(o.starts[0].index, index);
	flow_worker_lost(f, "w1", 11000);
	fleet_decide(f, &o, 11001);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_int_ne(o.starts[0].index, index);
}
END_TEST

/* The owner's row lists the worker in the write that records the run. */
START_TEST(run_is_unconfirmed_from_its_decision_on)
{
	ck_assert_int_eq(count_unconfirmed(f), 2);
	/* No order has been sent yet, so it runs nowhere. */
	ck_assert(!flow_worker_has_unconfirmed(f, "w1"));
	flow_worker_lost_confirmed(f, "w1", 6000);
	ck_assert_int_eq(count_unconfirmed(f), 0);
}
END_TEST

START_TEST(run_without_a_sent_order_ends_with_the_known_process)
{
	struct flow_run_ref r;

	fleet_write(f);
	fleet_start_recorded(f, &o, 1);
	r = fleet_run_ref(&o.starts[0]);
	flow_start_sent(f, &r, "w1");
	flow_worker_lost_confirmed(f, "w1", 6000);
	ck_assert(flow_has_run(f, &r, "w1"));
	r = fleet_run_ref(&o.starts[1]);
	ck_assert(!flow_has_run(f, &r, "w1"));
}
END_TEST

START_TEST(list_confirms_a_run)
{
	struct flow_run_ref r;

	start_both();
	r = fleet_run_ref(&o.starts[0]);
	ck_assert_int_eq(flow_report_run(f, &r, "w1", 0, NULL, 3),
			 FLOW_LISTED_KNOWN);
	ck_assert_int_eq(count_unconfirmed(f), 1);
}
END_TEST

/* A copy of its start order may be carried out by the next process. */
START_TEST(run_of_a_process_that_has_ended_is_unconfirmed_again)
{
	const struct flow_crash c = { .worker = "w1", .silent_ms = 4 };
	struct flow_run_ref r;

	start_both();
	r = fleet_run_ref(&o.starts[0]);
	flow_start_unanswered(f, &r, "w1");
	flow_report_run(f, &r, "w1", 0, NULL, 3);
	flow_worker_crashed(f, &c, 5);
	ck_assert_int_eq(count_unconfirmed(f), 2);
	flow_start_confirmed(f, &r, "w1");
	ck_assert_int_eq(count_unconfirmed(f), 2);
}
END_TEST

/* A former owner starts planned runs without another write. */
START_TEST(planned_run_of_a_former_owner_is_unconfirmed)
{
	struct flow *g = fleet_new();
	json_t *p;

	/* One task runs; the other one is planned for when it ends. */
	flow_free(f);
	f = fleet_new();
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "job", "normal", fleet_new_spec(2, 8, false), 0);
	fleet_decide(f, &o, 1);
	fleet_decide(f, &o, 1000);
	p = flow_progress_encode(f, "job");
	fleet_add_job(g, "job", "normal", fleet_new_spec(2, 8, false), 0);
	ck_assert(flow_progress_decode(g, "job", p));
	json_decref(p);
	ck_assert(flow_worker_has_unconfirmed(g, "w1"));
	/* Its record shows it, so that the row doesn't list the worker. */
	ck_assert_int_eq(count_unconfirmed(g), 0);
	flow_worker_lost_confirmed(g, "w1", 6000);
	fleet_add_worker(g, "w2", "r1", 16);
	fleet_decide(g, &o, 6001);
	ck_assert_int_eq(o.n_starts, 1);
	flow_worker_lost(g, "w1", 11000);
	fleet_decide(g, &o, 11001);
	ck_assert_int_eq(o.n_starts, 1);
	flow_free(g);
}
END_TEST

TCase *unconfirmed_tcase(void)
{
	TCase *t = tcase_create("unconfirmed");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, unconfirmed_run_keeps_its_task_when_leases_expire);
	tcase_add_test(t, run_is_unconfirmed_from_its_decision_on);
	tcase_add_test(t, run_without_a_sent_order_ends_with_the_known_process);
	tcase_add_test(t, list_confirms_a_run);
	tcase_add_test(t, run_of_a_process_that_has_ended_is_unconfirmed_again);
	tcase_add_test(t, planned_run_of_a_former_owner_is_unconfirmed);
	return t;
}
