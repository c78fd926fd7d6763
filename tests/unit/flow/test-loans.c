#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"
#include "record-store.h"

/* Loans of kept capacity: what ends them, and what keeps them from starting. */

#define WORKERS 8
#define ACCELERATORS 8
/* Of the rule LOST. */
#define BOUND_MS 3000
/* A task that lasts may be away this long before the rule counts. */
#define LASTING_AWAY_MS 6000

static struct load *l;
static struct orders o;

static void setup(void)
{
	int i;

	l = tg_xcalloc(1, sizeof(*l));
	l->f = fleet_new();
	for (i = 0; i < WORKERS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "w%d", i);
		fleet_add_worker(l->f, id, "r", ACCELERATORS);
	}
}

static void teardown(void)
{
	flow_free(l->f);
	free(l);
}

static void decide(int64_t now_ms)
{
	fleet_decide(l->f, &o, now_ms);
	fleet_confirm_starts(l->f, &o, now_ms);
}

/* One worker is busy for a minute; a gang waits for it, and keeps the others.
 */
static struct load_job *add_waiting_gang(void)
{
	struct load_job *gang;

	load_add(l, "normal", 0, 1, ACCELERATORS, 60000);
	load_advance(l, 100);
	gang = load_add(l, "normal", 100, WORKERS, ACCELERATORS, 5000);
	gang->gang = true;
	return gang;
}

/* The gang took back what it lent, in each round, and could not start. */
START_TEST(run_on_loan_is_not_recalled_for_a_gang_that_waits_for_another_stop)
{
	int64_t now_ms, ends_ms = 0;
	struct start_order run = { 0 };
	int i, starts = 0, stops = 0;

	fleet_add_job(l->f, "low", "low",
		      fleet_new_spec(1, ACCELERATORS, false), 0);
	decide(0);
	fleet_add_job(l->f, "urgent", "urgent",
		      fleet_new_spec(WORKERS, ACCELERATORS, true), 100);
	fleet_add_job(l->f, "single", "low", fleet_new_spec(1, 1, false), 100);
	for (now_ms = 100; now_ms < 20000; now_ms += 100) {
		if (ends_ms && now_ms >= ends_ms) {
			fleet_end_run(l->f, &run, FLOW_RUN_STOPPED, now_ms);
			ends_ms = 0;
		}
		fleet_decide_unwritten(l->f, &o, now_ms);
		for (i = 0; i < o.n_stops; i++)
			if (!strcmp(o.stops[i].job, "single")) {
				stops += !ends_ms;
				ends_ms = now_ms + STOP_DURATION_MS;
			}
		fleet_write(l->f);
		fleet_start_recorded(l->f, &o, now_ms);
		fleet_confirm_starts(l->f, &o, now_ms);
		if (o.n_starts) {
			run = o.starts[0];
			starts++;
		}
	}
	ck_assert_msg(stops == 0, "%d starts and %d stops", starts, stops);
}
END_TEST

/* A write that took long, once a second, put off all loans. */
START_TEST(offline_round_does_not_restart_a_wait)
{
	struct load_job *gang;
	int i;

	add_waiting_gang();
	gang = load_add(l, "low", 200, 2, 4, 20000);
	gang->gang = true;
	for (i = 0; i < 10; i++) {
		load_advance(l, l->now_ms + 1000);
		flow_set_offline(l->f, true);
		load_advance(l, l->now_ms + LOAD_STEP_MS);
		flow_set_offline(l->f, false);
	}
	ck_assert_msg(gang->start_ms >= 0, "not started in 10 s");
}
END_TEST

/* Room booked for a gang went to planned tasks, which it could not recall. */
START_TEST(planned_start_in_booked_capacity_is_on_loan)
{
	struct load_job *gang, *single;

	load_add(l, "normal", 0, 1, ACCELERATORS, 10000);
	load_advance(l, 100);
	gang = load_add(l, "normal", 100, WORKERS, ACCELERATORS, 5000);
	gang->gang = true;
	single = load_add(l, "low", 200, 4, 1, 60000);
	load_advance(l, 1200);
	flow_set_offline(l->f, true);
	load_advance(l, l->now_ms + LOAD_STEP_MS);
	flow_set_offline(l->f, false);
	ck_assert_int_ge(single->start_ms, 0);
	load_advance(l, 20000);
	ck_assert_msg(gang->start_ms >= 0, "not started in 20 s");
}
END_TEST

static struct flow_spec *endless_spec(int32_t tasks, int32_t accelerators)
{
	struct flow_spec *s = fleet_new_spec(tasks, accelerators, false);

	s->steps[0].endless = true;
	return s;
}

/* Of a job with other runs, such a task waited for as long as the gang. */
START_TEST(endless_task_of_a_job_with_runs_does_not_wait_for_a_gang)
{
	struct flow_spec *s = fleet_new_spec(6, ACCELERATORS, false);
	struct start_order ended;
	int64_t now_ms;
	int i;

	fleet_add_worker(l->f, "w8", "r", ACCELERATORS);
	s->steps[0].declared_ms = 60000;
	fleet_add_job(l->f, "busy", "low", s, 0);
	decide(0);
	fleet_add_job(l->f, "lasting", "low", endless_spec(2, ACCELERATORS), 0);
	decide(50);
	ck_assert_int_eq(o.n_starts, 2);
	ended = o.starts[1];
	fleet_add_job(l->f, "gang", "normal",
		      fleet_new_spec(8, ACCELERATORS, true), 100);
	for (i = 100; i < 1000; i += 100)
		decide(i);
	fleet_end_run(l->f, &ended, FLOW_RUN_STOPPED, 1000);
	for (now_ms = 1000; now_ms < 60000; now_ms += 100) {
		decide(now_ms);
		if (o.n_starts)
			break;
	}
	ck_assert_int_le(now_ms, 1000 + LASTING_AWAY_MS + BOUND_MS);
}
END_TEST

/*
 * The workers counted against the headroom as soon as the runs on loan had
 * been stopped, so that the gang had to wait on.
 */
START_TEST(gang_that_recalls_starts_when_the_stops_have_ended)
{
	struct load_job *first, *burst, *single, *gang;

	load_add(l, "urgent", 0, 1, ACCELERATORS, 60000);
	load_advance(l, 100);
	first = load_add(l, "normal", 100, WORKERS, ACCELERATORS, 5000);
	first->gang = true;
	single = load_add(l, "low", 200, WORKERS - 1, 1, 60000);
	/* One task a worker. */
	single->shape.memory_mb = 130000;
	load_advance(l, 2000);
	ck_assert_int_eq(single->running, WORKERS - 1);
	ck_assert(flow_cancel(l->f, first->id, 2000));
	/* Many urgent jobs, which need more than is there, are cancelled. */
	burst = load_add(l, "urgent", 2000, 2 * WORKERS, ACCELERATORS, 60000);
	burst->gang = true;
	load_advance(l, 8000);
	ck_assert_int_eq(single->stops, 0);
	ck_assert(flow_cancel(l->f, burst->id, 8000));
	load_advance(l, 8100);
	gang = load_add(l, "normal", 8100, WORKERS - 1, ACCELERATORS, 5000);
	gang->gang = true;
	load_advance(l, 20000);
	ck_assert_msg(!single->stops ||
			      (gang->start_ms >= 0 &&
			       gang->start_ms <= 8100 + STOP_DURATION_MS + 300),
		      "%d stops, gang starts at %lld ms", single->stops,
		      (long long)gang->start_ms);
}
END_TEST

static void add_busy_task(void)
{
	struct flow_spec *s = fleet_new_spec(1, ACCELERATORS, false);

	s->steps[0].declared_ms = 10000;
	fleet_add_job(l->f, "busy", "normal", s, 0);
}

/* A gang that needs all workers, and an endless task. */
static void add_waiting_jobs(void)
{
	fleet_add_job(l->f, "gang", "normal",
		      fleet_new_spec(WORKERS, ACCELERATORS, true), 100);
	fleet_add_job(l->f, "lasting", "low", endless_spec(1, 1), 100);
}

static void decide_and_store(struct record_store *store, int64_t now_ms)
{
	fleet_decide_unwritten(l->f, &o, now_ms);
	while (record_store_write(store, l->f, RECORD_ROWS_MAX))
		;
	fleet_start_recorded(l->f, &o, now_ms);
	fleet_confirm_starts(l->f, &o, now_ms);
}

/* An endless run on loan held its worker for good after a take-over. */
START_TEST(gang_gets_what_an_endless_run_of_a_former_owner_borrowed)
{
	static struct record_store store;
	struct start_order loan = { 0 }, busy;
	struct flow_run_ref ref;
	int64_t now_ms;
	int i;

	add_busy_task();
	decide_and_store(&store, 0);
	ck_assert_int_eq(o.n_starts, 1);
	busy = o.starts[0];
	add_waiting_jobs();
	for (now_ms = 100; now_ms < 5000 && !*loan.job; now_ms += 100) {
		decide_and_store(&store, now_ms);
		if (o.n_starts)
			loan = o.starts[0];
	}
	ck_assert_str_eq(loan.job, "lasting");
	flow_free(l->f);
	l->f = fleet_new();
	for (i = 0; i < WORKERS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "w%d", i);
		fleet_add_worker(l->f, id, "r", ACCELERATORS);
	}
	add_busy_task();
	add_waiting_jobs();
	record_store_read(&store, l->f);
	record_store_clear(&store);
	ref = fleet_run_ref(&loan);
	flow_report_run(l->f, &ref, loan.worker, 0, "", now_ms);
	fleet_end_run(l->f, &busy, FLOW_RUN_DONE, now_ms);
	for (i = 0; i < WORKERS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "w%d", i);
		flow_report_list_end(l->f, id, now_ms, now_ms);
	}
	for (; now_ms < 60000; now_ms += 100) {
		decide(now_ms);
		for (i = 0; i < o.n_stops; i++)
			fleet_end_run(l->f, &o.stops[i], FLOW_RUN_STOPPED,
				      now_ms);
		if (o.n_starts > 1)
			return;
	}
	ck_abort_msg("the gang has not started");
}
END_TEST

/*
 * Tasks waited from the first stop that ended, the gang from the last one, so
 * that they got the workers back first and were recalled again.
 */
START_TEST(gang_and_runs_on_loan_do_not_take_turns_without_end)
{
	struct load_job *first, *burst, *single, *gang;

	load_add(l, "urgent", 0, 1, ACCELERATORS, 120000);
	load_advance(l, 100);
	first = load_add(l, "normal", 100, WORKERS, ACCELERATORS, 5000);
	first->gang = true;
	single = load_add(l, "low", 200, WORKERS - 1, 1, 100000);
	/* One task a worker. */
	single->shape.memory_mb = 130000;
	single->stop_step_ms = 100;
	load_advance(l, 2000);
	ck_assert_int_eq(single->running, WORKERS - 1);
	ck_assert(flow_cancel(l->f, first->id, 2000));
	/* Headroom is kept for urgent jobs that wait. */
	burst = load_add(l, "urgent", 2000, 2 * WORKERS, ACCELERATORS, 60000);
	burst->gang = true;
	load_advance(l, 8000);
	ck_assert_int_eq(single->stops, 0);
	gang = load_add(l, "normal", 8100, WORKERS - 1, ACCELERATORS, 5000);
	gang->gang = true;
	load_advance(l, 60000);
	ck_assert_msg(gang->start_ms >= 0 && gang->start_ms <= 20000,
		      "%d stops, gang starts at %lld ms", single->stops,
		      (long long)gang->start_ms);
}
END_TEST

/* It waited for the stop alone, however long that took. */
START_TEST(gang_that_waits_for_an_overdue_stop_gets_kept_capacity)
{
	struct flow_spec *s = fleet_new_spec(1, ACCELERATORS, false);
	int64_t now_ms;
	int i;

	fleet_add_worker(l->f, "x", "x", ACCELERATORS);
	s->steps[0].declared_ms = 120000;
	s->steps[0].label = tg_xstrdup("x");
	fleet_add_job(l->f, "victim", "low", s, 0);
	decide(0);
	s = fleet_new_spec(1, ACCELERATORS, false);
	s->steps[0].declared_ms = 60000;
	s->steps[0].label = tg_xstrdup("r");
	fleet_add_job(l->f, "busy", "urgent", s, 0);
	decide(50);
	ck_assert_int_eq(o.n_starts, 1);
	s = fleet_new_spec(WORKERS, ACCELERATORS, true);
	s->steps[0].label = tg_xstrdup("r");
	s->steps[0].declared_ms = 20000;
	fleet_add_job(l->f, "first", "urgent", s, 100);
	decide(100);
	ck_assert_int_eq(o.n_stops, 0);
	s = fleet_new_spec(1, ACCELERATORS, true);
	s->steps[0].declared_ms = 30000;
	fleet_add_job(l->f, "gang", "urgent", s, 200);
	for (now_ms = 200; now_ms < 30000; now_ms += 100) {
		decide(now_ms);
		for (i = 0; i < o.n_starts; i++)
			if (!strcmp(o.starts[i].job, "gang")) {
				ck_assert_int_le(now_ms,
						 200 + STOP_MS + BOUND_MS);
				return;
			}
	}
	ck_abort_msg("not started in 30 s");
}
END_TEST

TCase *loans_tcase(void)
{
	TCase *t = tcase_create("loans");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(
		t,
		run_on_loan_is_not_recalled_for_a_gang_that_waits_for_another_stop);
	tcase_add_test(t, offline_round_does_not_restart_a_wait);
	tcase_add_test(t, planned_start_in_booked_capacity_is_on_loan);
	tcase_add_test(
		t, endless_task_of_a_job_with_runs_does_not_wait_for_a_gang);
	tcase_add_test(t, gang_that_recalls_starts_when_the_stops_have_ended);
	tcase_add_test(
		t, gang_gets_what_an_endless_run_of_a_former_owner_borrowed);
	tcase_add_test(t, gang_and_runs_on_loan_do_not_take_turns_without_end);
	tcase_add_test(t,
		       gang_that_waits_for_an_overdue_stop_gets_kept_capacity);
	return t;
}
