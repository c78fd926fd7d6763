#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

/*
 * What the engine tells about capacity that is kept free: for whom, since when,
 * and which tasks wait beside it.
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

TCase *kept_tcase(void)
{
	TCase *t = tcase_create("kept");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, wait_names_the_gang_that_capacity_is_kept_for);
	tcase_add_test(t, wait_beside_headroom_names_no_job);
	tcase_add_test(t, task_that_does_not_fit_does_not_wait_beside_capacity);
	tcase_add_test(t,
		       reservation_is_reported_when_it_begins_is_late_and_ends);
	return t;
}
