#include <string.h>

#include "fleet.h"

/* Runs on workers that drain. */

/* A stop is due at this time; see STOP_MARGIN_MS in drain.c. */
#define EXIT_MS 10000
#define STOP_DUE_MS (EXIT_MS - STOP_MS - 300)

static struct flow *f;
static struct orders o;
static struct start_order run; /* the first run of "job" */

static void setup(void)
{
	f = fleet_new();
	fleet_add_worker(f, "w1", "r1", 8);
}

static void teardown(void)
{
	flow_free(f);
}

static void drain_worker(const char *id, int64_t earliest_exit_ms)
{
	const struct flow_worker_spec s = {
		.id = id,
		.service = "s",
		.az = "a",
		.rack = "r1",
		.capacity = { 8 * 16000, 8 * 32000, 8 },
		.draining = true,
		.earliest_exit_ms = earliest_exit_ms,
	};

	flow_worker_update(f, &s);
}

/* The worker of @run drains, and others join. */
static void drain(int64_t earliest_exit_ms)
{
	drain_worker("w1", earliest_exit_ms);
	fleet_add_worker(f, "w2", "r1", 8);
	fleet_add_worker(f, "w3", "r1", 8);
}

static void start(struct flow_spec *spec)
{
	fleet_add_job(f, "job", "normal", spec, 0);
	fleet_decide(f, &o, 1000);
	ck_assert_int_gt(o.n_starts, 0);
	fleet_confirm_starts(f, &o, 1001);
	run = o.starts[0];
}

/*
 * A run that ended as done as its worker exited was started again, as the list
 * with its end was lost.
 */
START_TEST(run_is_stopped_before_its_worker_may_exit)
{
	struct flow_run_ref r;

	start(fleet_new_spec(1, 8, false));
	drain(EXIT_MS);
	fleet_decide(f, &o, STOP_DUE_MS - 1);
	ck_assert_int_eq(o.n_stops, 0);
	fleet_decide(f, &o, STOP_DUE_MS);
	ck_assert_int_eq(o.n_stops, 1);
	ck_assert_int_eq(o.n_starts, 0);
	r = fleet_run_ref(&run);
	flow_report_end(f, &r, "w1", FLOW_RUN_STOPPED, "saved", STOP_DUE_MS);
	fleet_decide(f, &o, STOP_DUE_MS + 1);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_str_ne(o.starts[0].worker, "w1");
	ck_assert_str_eq(o.starts[0].saved, "saved");
}
END_TEST

START_TEST(run_that_ends_before_its_stop_is_done)
{
	struct flow_job_status v;

	start(fleet_new_spec(1, 8, false));
	drain(EXIT_MS);
	fleet_decide(f, &o, STOP_DUE_MS);
	ck_assert_int_eq(o.n_stops, 1);
	fleet_end_run(f, &run, FLOW_RUN_DONE, STOP_DUE_MS + 1);
	fleet_decide(f, &o, STOP_DUE_MS + 2);
	ck_assert_int_eq(o.n_starts, 0);
	ck_assert(flow_job_status(f, "job", &v));
	ck_assert_int_eq(v.state, FLOW_COMPLETED);
}
END_TEST

/* Gangs lost work although a worker that stays would have listed their end. */
START_TEST(gang_stays_while_a_worker_of_it_does_not_drain)
{
	fleet_add_worker(f, "w4", "r1", 8);
	start(fleet_new_spec(2, 8, true));
	drain(EXIT_MS);
	fleet_decide(f, &o, STOP_DUE_MS);
	ck_assert_int_eq(o.n_stops, 0);
	drain_worker("w4", 2 * EXIT_MS);
	fleet_decide(f, &o, STOP_DUE_MS + 1);
	ck_assert_int_eq(o.n_stops, 2);
}
END_TEST

/* An endless task is never done, and would only be interrupted sooner. */
START_TEST(endless_task_stays_until_its_worker_exits)
{
	struct flow_spec *s = fleet_new_spec(1, 8, false);

	s->steps[0].endless = true;
	start(s);
	drain(EXIT_MS);
	fleet_decide(f, &o, EXIT_MS);
	ck_assert_int_eq(o.n_stops, 0);
}
END_TEST

START_TEST(run_stays_if_no_exit_is_announced)
{
	start(fleet_new_spec(1, 8, false));
	drain(0);
	fleet_decide(f, &o, EXIT_MS);
	ck_assert_int_eq(o.n_stops, 0);
}
END_TEST

/*
 * A former owner may have started a planned run; stopping and unlisted, it
 * would count as never started.
 */
START_TEST(possible_run_on_draining_worker_is_not_stopped)
{
	struct flow *g = fleet_new();
	json_t *p;

	start(fleet_new_spec(1, 8, false));
	fleet_add_job(f, "next", "normal", fleet_new_spec(1, 8, false), 0);
	fleet_decide(f, &o, 2000);
	p = flow_progress_encode(f, "next");
	flow_free(f);
	f = g;
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "next", "normal", fleet_new_spec(1, 8, false), 0);
	ck_assert(flow_progress_decode(f, "next", p));
	json_decref(p);
	drain(EXIT_MS);
	fleet_decide(f, &o, EXIT_MS);
	ck_assert_int_eq(o.n_starts + o.n_stops, 0);
	flow_report_list_end(f, "w1", EXIT_MS + 1, EXIT_MS + 2);
	fleet_decide(f, &o, EXIT_MS + 3);
	ck_assert_int_eq(o.n_starts, 1);
}
END_TEST

TCase *drain_tcase(void)
{
	TCase *t = tcase_create("drain");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, run_is_stopped_before_its_worker_may_exit);
	tcase_add_test(t, run_that_ends_before_its_stop_is_done);
	tcase_add_test(t, gang_stays_while_a_worker_of_it_does_not_drain);
	tcase_add_test(t, endless_task_stays_until_its_worker_exits);
	tcase_add_test(t, run_stays_if_no_exit_is_announced);
	tcase_add_test(t, possible_run_on_draining_worker_is_not_stopped);
	return t;
}
