#include <string.h>

#include "fleet.h"

/* Starts while progress can't be written, and what the next owner knows. */

static struct flow *f;
static struct orders o;
static struct start_order busy; /* the only run on w1 */

/* One worker is busy; the job "next" waits for it. */
static void setup(void)
{
	f = fleet_new();
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "busy", "normal", fleet_new_spec(1, 8, false), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	busy = o.starts[0];
	fleet_add_job(f, "next", "normal", fleet_new_spec(1, 8, false), 3);
}

static void teardown(void)
{
	flow_free(f);
}

/* The store goes down, and the worker becomes free. */
static void free_worker_offline(void)
{
	flow_set_offline(f, true);
	fleet_end_run(f, &busy, FLOW_RUN_DONE, 1000);
	fleet_decide_unwritten(f, &o, 1001);
	fleet_start_recorded(f, &o, 1001);
}

/* Tasks waited for the store although their worker was free. */
START_TEST(planned_task_starts_while_offline)
{
	fleet_decide(f, &o, 1000);
	free_worker_offline();
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_eq(o.starts[0].job, "next");
	ck_assert_str_eq(o.starts[0].worker, "w1");
}
END_TEST

START_TEST(plan_that_is_not_recorded_starts_nothing)
{
	fleet_decide_unwritten(f, &o, 1000);
	free_worker_offline();
	ck_assert_int_eq(o.n_starts, 0);
	fleet_write(f);
	flow_set_offline(f, false);
	fleet_decide(f, &o, 1002);
	ck_assert_int_eq(o.n_starts, 1);
}
END_TEST

/* An engine of the next owner, with workers w1 and w2, and the job "next". */
static struct flow *next_owner(void)
{
	struct flow *g = fleet_new();
	json_t *p = flow_progress_encode(f, "next");

	fleet_add_worker(g, "w1", "r1", 8);
	fleet_add_worker(g, "w2", "r1", 8);
	flow_worker_set_suspect(g, "w1", true);
	fleet_add_job(g, "next", "normal", fleet_new_spec(1, 8, false), 0);
	ck_assert(flow_progress_decode(g, "next", p));
	json_decref(p);
	return g;
}

/* Worker of the only run that the progress of "next" names. */
static const char *planned_worker(const struct flow *g)
{
	static char worker[TG_NAME_MAX + 1];
	json_t *p = flow_progress_encode(g, "next");
	const char *id;
	int index, run;

	ck_assert(!json_unpack(p, "{s:[{s:[[iis]]}]}", "steps", "runs", &index,
			       &run, &id));
	tg_strlcpy(worker, id, sizeof(worker));
	json_decref(p);
	return worker;
}

/* The former owner may have started it on w1, which doesn't answer. */
START_TEST(planned_run_may_exist_after_a_takeover)
{
	struct flow_job_status v;
	struct flow *g;

	fleet_decide(f, &o, 1000);
	g = next_owner();
	fleet_decide(g, &o, 2000);
	ck_assert_int_eq(o.n_starts, 0);
	ck_assert(flow_job_status(g, "next", &v));
	ck_assert(!v.begun);
	/* The owner after it has to know it as well. */
	ck_assert(!strcmp(planned_worker(g), "w1"));
	/* Once w1 doesn't list it, it doesn't exist; nothing is stopping. */
	flow_report_list_end(g, "w1", 2001, 2002);
	fleet_decide(g, &o, 2003);
	ck_assert_int_eq(o.n_starts, 1);
	flow_free(g);
}
END_TEST

START_TEST(planned_run_that_is_listed_goes_on)
{
	struct flow_run_ref r = { "next", 0, 0, 0, 1 };
	struct flow *g;

	fleet_decide(f, &o, 1000);
	g = next_owner();
	ck_assert(flow_report_run(g, &r, "w1", 0, "", 2002));
	flow_report_list_end(g, "w1", 2001, 2002);
	fleet_decide(g, &o, 2003);
	ck_assert_int_eq(o.n_starts + o.n_stops, 0);
	flow_free(g);
}
END_TEST

/*
 * A run that is stopping isn't listed: the next owner would hold it for one
 * that was never started.
 */
START_TEST(run_recorded_as_planned_is_not_stopped)
{
	fleet_decide(f, &o, 1000);
	free_worker_offline();
	fleet_confirm_starts(f, &o, 1002);
	flow_cancel(f, "next", 1003);
	fleet_decide_unwritten(f, &o, 1004);
	ck_assert_int_eq(o.n_stops, 0);
	fleet_write(f);
	flow_set_offline(f, false);
	fleet_decide(f, &o, 1005);
	ck_assert_int_eq(o.n_stops, 1);
}
END_TEST

/* Workers come and go; a plan must not name one that has been removed. */
START_TEST(plan_follows_its_workers)
{
	fleet_decide(f, &o, 1000);
	flow_worker_remove(f, "w1", 1001);
	fleet_decide(f, &o, 2000);
	ck_assert_int_eq(o.n_starts, 0);
	fleet_add_worker(f, "w2", "r1", 8);
	fleet_decide(f, &o, 3000);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_eq(o.starts[0].worker, "w2");
}
END_TEST

TCase *plan_tcase(void)
{
	TCase *t = tcase_create("plans");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, planned_task_starts_while_offline);
	tcase_add_test(t, plan_that_is_not_recorded_starts_nothing);
	tcase_add_test(t, planned_run_may_exist_after_a_takeover);
	tcase_add_test(t, planned_run_that_is_listed_goes_on);
	tcase_add_test(t, run_recorded_as_planned_is_not_stopped);
	tcase_add_test(t, plan_follows_its_workers);
	return t;
}
