#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

/*
 * Capacity that is kept free: how long, what is told about it, and who gets it
 * on loan.
 */

#define WORKERS 8
#define ACCELERATORS 8
#define EVENTS_MAX 16

static struct load *l;

/* What the callbacks were given last, and how often. */
static struct flow_kept_wait wait;
static char wait_job[FLOW_JOB_ID_LEN + 1], wait_keeper[FLOW_JOB_ID_LEN + 1];
static int n_waits;
static enum flow_reservation_state states[EVENTS_MAX];
static int n_states;

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

static void on_wait(const struct flow_kept_wait *w, void *arg)
{
	(void)arg;
	n_waits++;
	wait = *w;
	tg_strlcpy(wait_job, w->job, sizeof(wait_job));
	tg_strlcpy(wait_keeper, w->keeper, sizeof(wait_keeper));
}

static void get_waits(void)
{
	n_waits = 0;
	flow_each_kept_wait(l->f, l->now_ms, on_wait, NULL);
}

/* One worker is busy for 10 s; a gang waits for it, and keeps the others. */
static struct load_job *add_waiting_gang(void)
{
	struct load_job *gang;

	load_add(l, "normal", 0, 1, ACCELERATORS, 10000);
	load_advance(l, 100);
	gang = load_add(l, "normal", 100, WORKERS, ACCELERATORS, 5000);
	gang->gang = true;
	return gang;
}

/* Without it nobody could tell which job a task waits for. */
START_TEST(wait_names_the_gang_that_capacity_is_kept_for)
{
	struct load_job *gang = add_waiting_gang(), *single;

	single = load_add(l, "low", 200, 1, 1, 20000);
	load_advance(l, 1300);
	get_waits();
	ck_assert_int_eq(n_waits, 1);
	ck_assert_str_eq(wait_job, single->id);
	ck_assert_str_eq(wait_keeper, gang->id);
	ck_assert_int_ge(wait.for_ms, 1000);
	ck_assert_int_le(wait.for_ms, 1100);
}
END_TEST

START_TEST(wait_beside_headroom_names_no_job)
{
	int i;

	for (i = 0; i < WORKERS - 1; i++)
		load_add(l, "urgent", 0, 1, ACCELERATORS, 60000);
	load_advance(l, 100);
	load_add(l, "low", 100, 1, 1, 20000);
	load_advance(l, 1300);
	get_waits();
	ck_assert_int_eq(n_waits, 1);
	ck_assert_str_eq(wait_keeper, "");
}
END_TEST

/* A task that fits nowhere waits for capacity, not beside it. */
START_TEST(task_that_does_not_fit_does_not_wait_beside_capacity)
{
	load_add(l, "normal", 0, WORKERS, ACCELERATORS, 10000);
	load_advance(l, 100);
	load_add(l, "low", 100, 1, 1, 20000);
	load_advance(l, 1300);
	get_waits();
	ck_assert_int_eq(n_waits, 0);
}
END_TEST

static void on_reservation(const struct flow_reservation *r, void *arg)
{
	(void)arg;
	ck_assert_int_lt(n_states, EVENTS_MAX);
	states[n_states++] = r->state;
}

/* The runs of a fleet that is only told of orders never end. */
static const struct flow_ops ops = { .reservation = on_reservation };

/* A reservation that nobody uses could not be found in the log. */
START_TEST(reservation_is_reported_when_it_begins_is_late_and_ends)
{
	struct flow_spec *s = fleet_new_spec(WORKERS, ACCELERATORS, true);

	load_add(l, "normal", 0, 1, ACCELERATORS, 60000);
	load_advance(l, 100);
	n_states = 0;
	fleet_add_job(l->f, "gang", "normal", s, 100);
	flow_decide(l->f, 100, 100, &ops, NULL);
	flow_decide(l->f, 200, 200, &ops, NULL);
	ck_assert_int_eq(n_states, 1);
	ck_assert_int_eq(states[0], FLOW_RESERVATION_BEGUN);
	flow_decide(l->f, 70000, 70000, &ops, NULL);
	ck_assert_int_eq(n_states, 2);
	ck_assert_int_eq(states[1], FLOW_RESERVATION_OVERDUE);
	flow_decide(l->f, 71000, 71000, &ops, NULL);
	ck_assert(flow_cancel(l->f, "gang", 71100));
	flow_decide(l->f, 71100, 71100, &ops, NULL);
	ck_assert_int_eq(n_states, 3);
	ck_assert_int_eq(states[2], FLOW_RESERVATION_DROPPED);
}
END_TEST

/* Room that is kept for a gang idled for as long as the gang had to wait. */
START_TEST(task_borrows_kept_capacity_of_an_underused_service)
{
	struct load_job *gang = add_waiting_gang(), *single;

	single = load_add(l, "low", 200, 4, 1, 20000);
	load_advance(l, 1700);
	ck_assert_int_lt(single->start_ms, 0);
	load_advance(l, 2000);
	ck_assert_int_ge(single->start_ms, 1700);
	ck_assert_int_lt(gang->start_ms, 0);
}
END_TEST

/* The platform counts workers that the owner can't reach as free. */
START_TEST(workers_that_do_not_answer_count_as_not_in_use)
{
	struct load_job *single;

	flow_worker_set_suspect(l->f, "w6", true);
	flow_worker_set_suspect(l->f, "w7", true);
	load_add(l, "normal", 0, 4, ACCELERATORS, 10000);
	load_advance(l, 100);
	load_add(l, "normal", 100, 6, ACCELERATORS, 5000)->gang = true;
	single = load_add(l, "low", 200, 1, 1, 20000);
	load_advance(l, 2500);
	ck_assert_int_ge(single->start_ms, 1700);
}
END_TEST

/* Otherwise a gang would wait behind each task that came after it. */
START_TEST(gang_recalls_what_is_on_loan)
{
	struct load_job *gang = add_waiting_gang(), *single;

	single = load_add(l, "low", 200, 4, 1, 60000);
	load_advance(l, 11000);
	ck_assert_int_ge(gang->start_ms, 10000);
	ck_assert_int_le(gang->start_ms, 10000 + STOP_DURATION_MS + 200);
	ck_assert_int_eq(single->stops, 4);
	load_advance(l, 16500);
	ck_assert_int_eq(gang->done, WORKERS);
	ck_assert_int_eq(single->stops, 4);
}
END_TEST

/* Without a limit the loans would fill what the gang waits for. */
START_TEST(loans_end_when_the_service_is_in_use)
{
	add_waiting_gang();
	load_add(l, "low", 200, 200, 1, 60000);
	load_advance(l, 9000);
	ck_assert_int_ge(load_accelerators_in_use(l),
			 WORKERS * ACCELERATORS * 55 / 100);
	ck_assert_int_le(load_accelerators_in_use(l),
			 WORKERS * ACCELERATORS * 55 / 100 + 1);
}
END_TEST

/* Urgent gangs need the headroom while ordinary jobs use the rest. */
START_TEST(headroom_of_a_service_in_use_is_not_lent)
{
	struct load_job *single;
	int i;

	for (i = 0; i < WORKERS - 1; i++)
		load_add(l, "urgent", 0, 1, ACCELERATORS, 60000);
	load_advance(l, 100);
	single = load_add(l, "low", 100, 1, 1, 20000);
	load_advance(l, 30000);
	ck_assert_int_lt(single->start_ms, 0);
}
END_TEST

/* A busy service kept room from a job for as long as gangs waited. */
START_TEST(job_without_a_run_gets_one_task_on_loan_in_the_end)
{
	struct load_job *gang, *single;
	int i;

	for (i = 0; i < WORKERS - 2; i++)
		load_add(l, "normal", 0, 1, ACCELERATORS, 60000);
	load_advance(l, 100);
	gang = load_add(l, "normal", 100, WORKERS, ACCELERATORS, 5000);
	gang->gang = true;
	single = load_add(l, "low", 200, 4, 1, 60000);
	load_advance(l, 20000);
	ck_assert_int_lt(single->start_ms, 0);
	load_advance(l, 20500);
	ck_assert_int_ge(single->start_ms, 20000);
	ck_assert_int_eq(load_accelerators_in_use(l),
			 (WORKERS - 2) * ACCELERATORS + 1);
}
END_TEST

/* A gang that prefers one rack waited for it beside free workers. */
START_TEST(gang_in_an_underused_service_spans_racks)
{
	struct load_job *busy, *gang;

	fleet_add_worker(l->f, "x0", "r2", ACCELERATORS);
	fleet_add_worker(l->f, "x1", "r2", ACCELERATORS);
	busy = load_add(l, "normal", 0, WORKERS / 2 - 1, ACCELERATORS, 60000);
	load_advance(l, 100);
	ck_assert_int_ge(busy->start_ms, 0);
	gang = load_add(l, "normal", 100, WORKERS / 2 + 2, ACCELERATORS, 5000);
	gang->gang = gang->within_rack = true;
	load_advance(l, 3000);
	ck_assert_int_ge(gang->start_ms, 1600);
}
END_TEST

/* A stop that a worker never carries out kept the other workers of a gang idle.
 */
START_TEST(capacity_beside_an_overdue_stop_is_lent)
{
	static struct orders o;
	int64_t now_ms, started_ms = -1;

	fleet_add_job(l->f, "low", "low",
		      fleet_new_spec(1, ACCELERATORS, false), 0);
	fleet_decide(l->f, &o, 0);
	fleet_confirm_starts(l->f, &o, 0);
	fleet_add_job(l->f, "urgent", "urgent",
		      fleet_new_spec(WORKERS, ACCELERATORS, true), 100);
	fleet_add_job(l->f, "single", "low", fleet_new_spec(1, 1, false), 100);
	for (now_ms = 100; now_ms < 5000 && started_ms < 0; now_ms += 100) {
		fleet_decide(l->f, &o, now_ms);
		if (o.n_starts)
			started_ms = now_ms;
	}
	ck_assert_int_ge(started_ms, 100 + STOP_MS);
	ck_assert_int_le(started_ms, 100 + 3000);
	ck_assert_str_eq(o.starts[0].job, "single");
}
END_TEST

/*
 * A gang that headroom held back waited for runs on loan to stop, with all its
 * workers free.
 */
START_TEST(gang_held_back_by_headroom_does_not_wait_for_stops)
{
	struct load_job *first = add_waiting_gang(), *single, *gang;

	single = load_add(l, "low", 200, 1, 1, 60000);
	load_advance(l, 2000);
	ck_assert_int_ge(single->start_ms, 1700);
	ck_assert(flow_cancel(l->f, first->id, 2000));
	load_add(l, "urgent", 2000, 4, ACCELERATORS, 6000);
	load_advance(l, 8050);
	gang = load_add(l, "normal", 8050, WORKERS - 2, ACCELERATORS, 6000);
	gang->gang = true;
	load_advance(l, 9700);
	ck_assert_int_ge(gang->start_ms, 8050);
	ck_assert_int_eq(single->stops, 0);
}
END_TEST

/* Two jobs that took room from each other in turns would never end. */
START_TEST(gang_recalls_nothing_of_a_job_that_goes_before)
{
	struct load_job *first, *gang;
	int i;

	/* Its deadline is earlier than that of the gang that comes last. */
	add_waiting_gang();
	first = load_add(l, "normal", 200, 1, 1, 7000);
	load_advance(l, 2000);
	ck_assert_int_ge(first->start_ms, 1700);
	gang = load_add(l, "normal", 2000, WORKERS - 1, ACCELERATORS, 60000);
	gang->gang = true;
	for (i = 2000; i < 8000; i += 100)
		load_advance(l, i);
	ck_assert_int_eq(first->stops, 0);
}
END_TEST

TCase *kept_tcase(void)
{
	TCase *t = tcase_create("kept");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, wait_names_the_gang_that_capacity_is_kept_for);
	tcase_add_test(t, wait_beside_headroom_names_no_job);
	tcase_add_test(t, task_that_does_not_fit_does_not_wait_beside_capacity);
	tcase_add_test(t,
		       reservation_is_reported_when_it_begins_is_late_and_ends);
	tcase_add_test(t, task_borrows_kept_capacity_of_an_underused_service);
	tcase_add_test(t, workers_that_do_not_answer_count_as_not_in_use);
	tcase_add_test(t, gang_recalls_what_is_on_loan);
	tcase_add_test(t, loans_end_when_the_service_is_in_use);
	tcase_add_test(t, headroom_of_a_service_in_use_is_not_lent);
	tcase_add_test(t, job_without_a_run_gets_one_task_on_loan_in_the_end);
	tcase_add_test(t, gang_in_an_underused_service_spans_racks);
	tcase_add_test(t, capacity_beside_an_overdue_stop_is_lent);
	tcase_add_test(t, gang_held_back_by_headroom_does_not_wait_for_stops);
	tcase_add_test(t, gang_recalls_nothing_of_a_job_that_goes_before);
	return t;
}
