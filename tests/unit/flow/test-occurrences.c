#include <string.h>

#include "record-store.h"

/*
 * Jobs of many occurrences.  Their state was kept from the submission on: 36
 * accepted jobs of 20,000 occurrences exceeded the memory of each owner in turn
 * (review/11), whether they were due or not.
 */

#define TIMES 20000
#define DUE_MS 100000
/* What the daemons may take in all at the size of the target, per job. */
#define OPEN_MAX 1000

static struct flow *f;
static struct orders o;
static struct record_store store;
static int32_t starts[TIMES];

static void setup(void)
{
	f = fleet_new();
	memset(starts, 0, sizeof(starts));
}

static void teardown(void)
{
	flow_free(f);
	record_store_clear(&store);
}

static struct flow_spec *new_spec(int64_t interval_ms)
{
	struct flow_spec *s = fleet_new_spec(1, 1, false);

	s->times = TIMES;
	s->first_wall_ms = DUE_MS;
	s->interval_ms = interval_ms;
	return s;
}

static void add_job(int64_t interval_ms)
{
	fleet_add_job(f, "j1", "normal", new_spec(interval_ms), 0);
}

static int64_t open_now(void)
{
	struct flow_stats s;

	flow_stats(f, &s);
	return s.open_occurrences;
}

static struct flow_job_status status(void)
{
	struct flow_job_status v;

	ck_assert(flow_job_status(f, "j1", &v));
	return v;
}

static void count_starts(void)
{
	int i;

	for (i = 0; i < o.n_starts; i++)
		starts[o.starts[i].occurrence]++;
}

/* Runs a round, and all that it starts, to the end. */
static void run_round(int64_t now_ms)
{
	int i;

	fleet_decide_unwritten(f, &o, now_ms);
	while (record_store_write(&store, f, 90))
		;
	fleet_start_recorded(f, &o, now_ms);
	fleet_confirm_starts(f, &o, now_ms);
	count_starts();
	for (i = 0; i < o.n_starts; i++)
		fleet_end_run(f, &o.starts[i], FLOW_RUN_DONE, now_ms + 1);
}

START_TEST(occurrences_to_come_have_no_state)
{
	fleet_add_worker(f, "w1", "r1", 8);
	add_job(60000);
	fleet_decide(f, &o, 1);
	ck_assert_int_eq(open_now(), 0);
	ck_assert_int_eq(status().tasks, TIMES);
	fleet_decide(f, &o, DUE_MS + 60000);
	ck_assert_int_eq(o.n_starts, 2);
	ck_assert_int_eq(open_now(), 2);
}
END_TEST

/* With @_i workers nothing starts, or all capacity is taken. */
START_TEST(due_occurrences_that_wait_have_little_state)
{
	int i;

	if (_i)
		fleet_add_worker(f, "w1", "r1", 100);
	add_job(0);
	for (i = 0; i < 10; i++)
		fleet_decide(f, &o, DUE_MS + i);
	ck_assert_int_le(open_now(), OPEN_MAX + 100 * _i);
}
END_TEST

START_TEST(all_due_occurrences_run_once)
{
	int64_t now_ms = DUE_MS;
	int i;

	fleet_add_worker(f, "w1", "r1", 400);
	add_job(0);
	for (; status().state != FLOW_COMPLETED; now_ms += 2) {
		ck_assert_int_lt(now_ms, DUE_MS + 2 * TIMES);
		run_round(now_ms);
		ck_assert_int_le(open_now(), OPEN_MAX + 400);
	}
	for (i = 0; i < TIMES; i++)
		ck_assert_int_eq(starts[i], 1);
	ck_assert_int_eq(status().done, TIMES);
}
END_TEST

START_TEST(occurrences_that_are_done_stay_so_after_a_takeover)
{
	int64_t now_ms = DUE_MS;
	int i;

	fleet_add_worker(f, "w1", "r1", 100);
	add_job(0);
	for (i = 0; i < 10; i++, now_ms += 2)
		run_round(now_ms);
	while (record_store_write(&store, f, 90))
		;
	flow_free(f);
	f = fleet_new();
	fleet_add_worker(f, "w1", "r1", 100);
	add_job(0);
	record_store_read(&store, f);
	ck_assert_int_eq(status().done, 1000);
	ck_assert_int_le(open_now(), OPEN_MAX);
	for (i = 0; i < 5; i++, now_ms += 2)
		run_round(now_ms);
	for (i = 0; i < TIMES; i++)
		ck_assert_int_eq(starts[i], i < 1500);
}
END_TEST

/* Workers list ends again, and late runs, after the state was freed. */
START_TEST(reports_on_a_closed_occurrence_change_nothing)
{
	struct flow_run_ref r = { "j1", 0, 0, 0, 1 };

	fleet_add_worker(f, "w1", "r1", 1);
	add_job(1000);
	run_round(DUE_MS);
	fleet_decide(f, &o, DUE_MS + 10);
	ck_assert_int_eq(open_now(), 0);
	ck_assert(flow_report_end(f, &r, "w1", FLOW_RUN_DONE, "", DUE_MS + 20));
	ck_assert_int_eq(status().done, 1);
	r.run = 2;
	flow_report_run(f, &r, "w1", 5, "", DUE_MS + 30);
	fleet_decide(f, &o, DUE_MS + 40);
	ck_assert_int_eq(o.n_starts, 0);
	ck_assert_int_eq(o.n_stops, 1);
	ck_assert_int_eq(status().done, 1);
	fleet_end_run(f, &o.stops[0], FLOW_RUN_STOPPED, DUE_MS + 50);
	fleet_decide(f, &o, DUE_MS + 60);
	ck_assert_int_eq(open_now(), 0);
	ck_assert_int_eq(status().done, 1);
}
END_TEST

/* Else occurrences that last would keep later ones from starting. */
START_TEST(occurrences_that_last_do_not_hold_up_others)
{
	struct flow_spec *s = new_spec(0);
	int n = 0, i;

	s->times = 3000;
	s->steps[0].endless = true;
	fleet_add_worker(f, "w1", "r1", 3000);
	fleet_add_job(f, "j1", "normal", s, 0);
	for (i = 0; i < 30; i++) {
		fleet_decide(f, &o, DUE_MS + i);
		fleet_confirm_starts(f, &o, DUE_MS + i);
		n += o.n_starts;
	}
	ck_assert_int_eq(n, 3000);
}
END_TEST

START_TEST(steps_of_an_occurrence_wait_for_each_other)
{
	struct flow_spec *s = new_spec(1000);

	s->n_steps = 2;
	s->steps = tg_xrealloc(s->steps, 2 * sizeof(*s->steps));
	s->steps[1] = s->steps[0];
	s->steps[1].after[0] = 0;
	s->steps[1].n_after = 1;
	s->times = 2;
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "j1", "normal", s, 0);
	run_round(DUE_MS + 2000);
	ck_assert_int_eq(o.n_starts, 2);
	ck_assert_int_eq(o.starts[0].step, 0);
	ck_assert_int_eq(o.starts[1].step, 0);
	run_round(DUE_MS + 2010);
	ck_assert_int_eq(o.n_starts, 2);
	ck_assert_int_eq(o.starts[0].step, 1);
	fleet_decide(f, &o, DUE_MS + 2020);
	ck_assert_int_eq(status().state, FLOW_COMPLETED);
}
END_TEST

/* The share of a job shrinks, so that a thousand of them take no more. */
START_TEST(state_of_all_jobs_together_is_limited)
{
	char id[FLOW_JOB_ID_LEN + 1];
	int i;

	for (i = 0; i < 1000; i++) {
		snprintf(id, sizeof(id), "j%d", i);
		fleet_add_job(f, id, "normal", new_spec(0), 0);
	}
	fleet_decide(f, &o, DUE_MS);
	ck_assert_int_ge(open_now(), 1000);
	ck_assert_int_le(open_now(), 64 * OPEN_MAX);
}
END_TEST

TCase *occurrences_tcase(void)
{
	TCase *t = tcase_create("occurrences");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, occurrences_to_come_have_no_state);
	tcase_add_loop_test(t, due_occurrences_that_wait_have_little_state, 0,
			    2);
	tcase_add_test(t, all_due_occurrences_run_once);
	tcase_add_test(t, occurrences_that_are_done_stay_so_after_a_takeover);
	tcase_add_test(t, reports_on_a_closed_occurrence_change_nothing);
	tcase_add_test(t, occurrences_that_last_do_not_hold_up_others);
	tcase_add_test(t, steps_of_an_occurrence_wait_for_each_other);
	tcase_add_test(t, state_of_all_jobs_together_is_limited);
	return t;
}
