#include <check.h>
#include <string.h>

#include "fleet.h"

/*
 * Evacuated availability zones.  Guards against starts there of what was
 * decided, recorded or planned before, and against capacity there that others
 * count with.
 */

static struct flow *f;
static struct orders o;

static void add_worker(const char *id, const char *az, const char *label)
{
	const struct flow_worker_spec s = {
		.id = id,
		.service = "s",
		.az = az,
		.rack = az,
		.labels = { label },
		.n_labels = 1,
		.capacity = { 8 * 16000, 8 * 32000, 8 },
	};

	flow_worker_update(f, &s);
	flow_worker_set_runs_known(f, id);
}

static void evacuate(const char *az)
{
	flow_set_evacuated(f, &az, az ? 1 : 0);
}

static void setup(void)
{
	f = fleet_new();
	add_worker("a1", "a", "old");
	add_worker("b1", "b", "new");
}

static void teardown(void)
{
	flow_free(f);
}

/* Ends the last round's starts, so that the workers are idle. */
static void end_all(int64_t now_ms)
{
	struct orders started = o;
	int i;

	fleet_confirm_starts(f, &started, now_ms);
	for (i = 0; i < started.n_starts; i++)
		fleet_end_run(f, &started.starts[i], FLOW_RUN_DONE, now_ms);
}

START_TEST(nothing_starts_in_an_evacuated_az)
{
	int i;

	evacuate("a");
	fleet_add_job(f, "j", "urgent", fleet_new_spec(12, 1, false), 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 8);
	for (i = 0; i < o.n_starts; i++)
		ck_assert_str_eq(o.starts[i].worker, "b1");
	end_all(2);
	evacuate(NULL);
	fleet_decide(f, &o, 3);
	ck_assert_int_eq(o.n_starts, 4);
}
END_TEST

/* The record of a run may become durable after the request. */
START_TEST(decided_run_is_dropped)
{
	fleet_add_job(f, "j", "normal", fleet_new_spec(16, 1, false), 0);
	fleet_decide_unwritten(f, &o, 1);
	evacuate("a");
	fleet_write(f);
	fleet_start_recorded(f, &o, 2);
	ck_assert_int_eq(o.n_starts, 8);
	ck_assert_str_eq(o.starts[0].worker, "b1");
	end_all(3);
	fleet_decide(f, &o, 4);
	ck_assert_int_eq(o.n_starts, 8);
	ck_assert_str_eq(o.starts[0].worker, "b1");
}
END_TEST

/* An order may wait in the queue of orders when the request is seen. */
START_TEST(start_order_that_was_not_sent_is_given_up)
{
	struct flow_run_ref r;
	int i, given_up = 0;

	fleet_add_job(f, "j", "normal", fleet_new_spec(16, 1, false), 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 16);
	evacuate("a");
	for (i = 0; i < o.n_starts; i++) {
		r = fleet_run_ref(&o.starts[i]);
		if (strcmp(o.starts[i].worker, "a1") != 0)
			continue;
		given_up++;
		ck_assert(!flow_starting_text(f, &r, "a1"));
		ck_assert(!flow_has_run(f, &r, "a1"));
	}
	ck_assert_int_eq(given_up, 8);
}
END_TEST

/*
 * A copy that got no answer may have been carried out: the run stays known, and
 * no further copy is sent.
 */
START_TEST(unanswered_start_is_not_repeated)
{
	struct flow_run_ref r;

	flow_worker_set_suspect(f, "b1", true);
	fleet_add_job(f, "j", "normal", fleet_new_spec(1, 1, false), 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 1);
	r = fleet_run_ref(&o.starts[0]);
	flow_start_sent(f, &r, "a1");
	flow_start_unanswered(f, &r, "a1");
	evacuate("a");
	ck_assert(!flow_starting_text(f, &r, "a1"));
	ck_assert(flow_has_run(f, &r, "a1"));
	/* It is not in the next list, so a stop refuses a late copy. */
	flow_start_answered(f, &r, "a1", FLOW_ORDER_UNKNOWN, 100);
	flow_report_list_end(f, "a1", 200, 201);
	fleet_decide(f, &o, 202);
	ck_assert_int_eq(o.n_stops, 1);
	ck_assert_int_eq(o.n_starts, 0);
}
END_TEST

START_TEST(runs_in_an_evacuated_az_go_on)
{
	fleet_add_job(f, "j", "normal", fleet_new_spec(16, 1, false), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	evacuate("a");
	fleet_decide(f, &o, 3);
	ck_assert_int_eq(o.n_stops, 0);
	ck_assert_int_eq(o.n_starts, 0);
}
END_TEST

/* Urgent work finds its victims where it may start. */
START_TEST(no_run_is_preempted_in_an_evacuated_az)
{
	int i;

	fleet_add_job(f, "low", "low", fleet_new_spec(16, 1, false), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	evacuate("a");
	fleet_add_job(f, "urgent", "urgent", fleet_new_spec(1, 8, true), 3);
	fleet_decide(f, &o, 3);
	ck_assert_int_eq(o.n_stops, 8);
	for (i = 0; i < o.n_stops; i++)
		ck_assert_str_eq(o.stops[i].worker, "b1");
}
END_TEST

START_TEST(nothing_starts_while_the_list_is_not_known)
{
	fleet_add_job(f, "j", "normal", fleet_new_spec(1, 1, false), 0);
	flow_hold_starts(f, true);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 0);
	flow_hold_starts(f, false);
	fleet_decide_unwritten(f, &o, 2);
	fleet_write(f);
	flow_hold_starts(f, true);
	fleet_start_recorded(f, &o, 3);
	ck_assert_int_eq(o.n_starts, 0);
	flow_hold_starts(f, false);
	fleet_start_recorded(f, &o, 4);
	ck_assert_int_eq(o.n_starts, 1);
}
END_TEST

/* Cancellations must not wait for the store. */
START_TEST(stops_are_ordered_while_starts_are_held)
{
	fleet_add_job(f, "j", "normal", fleet_new_spec(1, 1, false), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	flow_hold_starts(f, true);
	flow_cancel(f, "j", 3);
	fleet_decide(f, &o, 4);
	ck_assert_int_eq(o.n_stops, 1);
}
END_TEST

static void count_pool(const struct flow_pool_usage *u, void *arg)
{
	*(struct flow_pool_usage *)arg = *u;
}

START_TEST(evacuated_capacity_is_neither_free_nor_in_use)
{
	struct flow_pool_usage u;

	fleet_add_job(f, "j", "normal", fleet_new_spec(16, 1, false), 0);
	fleet_decide(f, &o, 1);
	fleet_confirm_starts(f, &o, 2);
	evacuate("a");
	fleet_decide(f, &o, 3);
	flow_each_pool_usage(f, 3, count_pool, &u);
	ck_assert_int_eq(u.ready_workers, 1);
	ck_assert_int_eq(u.evacuated_workers, 1);
	ck_assert_int_eq(u.evacuated_runs, 8);
	ck_assert(u.free_workers < 0.5);
}
END_TEST

START_TEST(job_that_fits_only_there_says_so)
{
	struct flow_spec *spec = fleet_new_spec(1, 1, false);

	spec->steps[0].label = tg_xstrdup("old");
	fleet_add_job(f, "old", "normal", spec, 0);
	fleet_add_job(f, "gang", "normal", fleet_new_spec(2, 8, true), 0);
	fleet_add_job(f, "any", "normal", fleet_new_spec(1, 1, false), 0);
	fleet_add_job(f, "never", "normal", fleet_new_spec(3, 8, true), 0);
	evacuate("a");
	ck_assert_str_eq(flow_find_evacuated_fit(f, "old"), "a");
	ck_assert_str_eq(flow_find_evacuated_fit(f, "gang"), "a");
	ck_assert(!flow_find_evacuated_fit(f, "any"));
	ck_assert(!flow_find_evacuated_fit(f, "never"));
	ck_assert(!flow_find_evacuated_fit(f, "none"));
	evacuate(NULL);
	ck_assert(!flow_find_evacuated_fit(f, "old"));
}
END_TEST

/* A worker's process may start anew while its AZ is evacuated. */
START_TEST(worker_that_joins_an_evacuated_az_gets_nothing)
{
	evacuate("c");
	add_worker("c1", "c", "old");
	flow_worker_set_suspect(f, "a1", true);
	flow_worker_set_suspect(f, "b1", true);
	fleet_add_job(f, "j", "urgent", fleet_new_spec(1, 1, false), 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 0);
}
END_TEST

/* Zones are taken back cold; what can go elsewhere does. */
START_TEST(cold_worker_is_used_last)
{
	struct flow_worker_spec s = {
		.id = "a1",
		.service = "s",
		.az = "a",
		.rack = "a",
		.capacity = { 8 * 16000, 8 * 32000, 8 },
		.warm_ms = 1000,
	};
	int i;

	flow_worker_update(f, &s);
	fleet_add_job(f, "j", "urgent", fleet_new_spec(8, 1, false), 0);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(o.n_starts, 8);
	for (i = 0; i < o.n_starts; i++)
		ck_assert_str_eq(o.starts[i].worker, "b1");
	fleet_add_job(f, "k", "urgent", fleet_new_spec(1, 1, false), 0);
	fleet_decide(f, &o, 2);
	ck_assert_str_eq(o.starts[0].worker, "a1");
	end_all(3);
	fleet_add_job(f, "l", "urgent", fleet_new_spec(1, 1, false), 0);
	fleet_decide(f, &o, 1000);
	ck_assert_str_eq(o.starts[0].worker, "a1");
}
END_TEST

TCase *evacuate_tcase(void)
{
	TCase *t = tcase_create("evacuate");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, nothing_starts_in_an_evacuated_az);
	tcase_add_test(t, decided_run_is_dropped);
	tcase_add_test(t, start_order_that_was_not_sent_is_given_up);
	tcase_add_test(t, unanswered_start_is_not_repeated);
	tcase_add_test(t, runs_in_an_evacuated_az_go_on);
	tcase_add_test(t, no_run_is_preempted_in_an_evacuated_az);
	tcase_add_test(t, nothing_starts_while_the_list_is_not_known);
	tcase_add_test(t, stops_are_ordered_while_starts_are_held);
	tcase_add_test(t, evacuated_capacity_is_neither_free_nor_in_use);
	tcase_add_test(t, job_that_fits_only_there_says_so);
	tcase_add_test(t, worker_that_joins_an_evacuated_az_gets_nothing);
	tcase_add_test(t, cold_worker_is_used_last);
	return t;
}
