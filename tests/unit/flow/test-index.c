#include <stdlib.h>
#include <string.h>

#include "fleet.h"

/*
 * On a site with 1,100 workers a round that placed 2,500 tasks took more than
 * half a second, since each task looked at each worker.  In that time the owner
 * answered neither peers nor workers and was taken for dead.
 */

#define WORKERS_MAX 1200
#define WORKERS_PER_RACK 20
#define ACCELERATORS 8
#define TASKS_PER_JOB 26

static struct flow *f;
static struct orders *o;

static void setup(void)
{
	f = fleet_new();
	o = tg_xcalloc(1, sizeof(*o));
}

static void teardown(void)
{
	flow_free(f);
	free(o);
}

static void add_workers(int n)
{
	char id[16], rack[16];
	int i;

	for (i = 0; i < n; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		snprintf(rack, sizeof(rack), "r%d", i / WORKERS_PER_RACK);
		fleet_add_worker(f, id, rack, ACCELERATORS);
	}
}

static void add_jobs(int from, int to, const char *queue, int32_t tasks,
		     int32_t accelerators, bool gang)
{
	char id[16];
	int i;

	for (i = from; i < to; i++) {
		snprintf(id, sizeof(id), "j%d", i);
		fleet_add_job(f, id, queue,
			      fleet_new_spec(tasks, accelerators, gang), 0);
	}
}

static int64_t workers_checked(void)
{
	struct flow_stats s;

	flow_stats(f, &s);
	return s.workers_checked;
}

/* Workers looked at for each task of a round that fills a third of a fleet. */
static double checks_per_task(int workers)
{
	setup();
	add_workers(workers);
	add_jobs(0, workers * ACCELERATORS / 3 / TASKS_PER_JOB, "normal",
		 TASKS_PER_JOB, 1, false);
	fleet_decide(f, o, 100);
	ck_assert_int_gt(o->n_starts, workers);
	return (double)workers_checked() / o->n_starts;
}

START_TEST(cost_of_a_task_is_the_same_on_large_fleets)
{
	double small, large;

	small = checks_per_task(150);
	teardown();
	large = checks_per_task(WORKERS_MAX);
	teardown();
	ck_assert_msg(large < 2 * small, "%.1f and %.1f workers per task",
		      small, large);
}
END_TEST

/* A full fleet is searched once for demands that are alike, not for each job.
 */
START_TEST(waiting_jobs_do_not_search_a_full_fleet)
{
	const int workers = 300, full = workers * ACCELERATORS / TASKS_PER_JOB;

	add_workers(workers);
	add_jobs(0, full + 1, "normal", TASKS_PER_JOB, 1, false);
	fleet_decide(f, o, 100);
	ck_assert_int_eq(o->n_starts, workers * ACCELERATORS);
	fleet_confirm_starts(f, o, 110);
	add_jobs(full + 1, full + 101, "low", TASKS_PER_JOB, 1, false);
	fleet_decide(f, o, 200);
	ck_assert_int_eq(o->n_starts, 0);
	ck_assert_int_le(workers_checked(), workers);
}
END_TEST

/* Urgent gangs that find nothing to preempt are compared with each other. */
START_TEST(urgent_gangs_do_not_search_a_full_fleet_each)
{
	const int workers = 300;

	add_workers(workers);
	add_jobs(0, workers, "urgent", 1, ACCELERATORS, false);
	fleet_decide(f, o, 100);
	ck_assert_int_eq(o->n_starts, workers);
	fleet_confirm_starts(f, o, 110);
	add_jobs(workers, workers + 50, "urgent", 4, ACCELERATORS, false);
	fleet_decide(f, o, 200);
	ck_assert_int_eq(o->n_starts + o->n_stops, 0);
	ck_assert_int_le(workers_checked(), 4 * workers);
}
END_TEST

/* struct model - accelerators that are free on each worker */
struct model {
	int32_t free[64];
	int n;
};

/* As in fitindex.c: free capacity, and apart from idle workers. */
static int64_t model_cost(int32_t available)
{
	return available * (1000000 + 16000 / 10 + 32000 / 100) +
		(available == ACCELERATORS ? 10000000 : 0);
}

/* The task went to a worker on which it fits at least as well as on others. */
static void check_fit(struct model *m, const struct start_order *s,
		      int32_t accelerators)
{
	int w = atoi(s->worker + 1), i;

	ck_assert_int_ge(m->free[w], accelerators);
	for (i = 0; i < m->n; i++)
		if (m->free[i] >= accelerators)
			ck_assert_int_le(model_cost(m->free[w]),
					 model_cost(m->free[i]) + 1000);
	m->free[w] -= accelerators;
}

/* struct model_run - a run, and the accelerators that it takes */
struct model_run {
	struct start_order order;
	int32_t accelerators;
};

START_TEST(index_finds_the_best_fit)
{
	struct model m = { .n = 64 };
	struct model_run runs[1024];
	int32_t sizes[40], n_runs = 0;
	unsigned int seed = (unsigned int)_i + 1;
	int round, i;

	add_workers(m.n);
	for (i = 0; i < m.n; i++)
		m.free[i] = ACCELERATORS;
	for (round = 0; round < (int)ARRAY_SIZE(sizes); round++) {
		sizes[round] = 1 << rand_r(&seed) % 4;
		add_jobs(round, round + 1, "low", 1 + rand_r(&seed) % 9,
			 sizes[round], false);
		fleet_decide(f, o, 100 * round);
		for (i = 0; i < o->n_starts; i++) {
			struct model_run *r = &runs[n_runs++];

			r->order = o->starts[i];
			r->accelerators = sizes[atoi(r->order.job + 1)];
			check_fit(&m, &r->order, r->accelerators);
		}
		fleet_confirm_starts(f, o, 100 * round + 10);
		for (i = 0; i < n_runs && n_runs > 20; i++) {
			if (rand_r(&seed) % 4)
				continue;
			fleet_end_run(f, &runs[i].order, FLOW_RUN_DONE,
				      100 * round + 20);
			m.free[atoi(runs[i].order.worker + 1)] +=
				runs[i].accelerators;
			runs[i] = runs[--n_runs];
		}
	}
}
END_TEST

TCase *index_tcase(void)
{
	TCase *tc = tcase_create("index");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, waiting_jobs_do_not_search_a_full_fleet);
	tcase_add_test(tc, urgent_gangs_do_not_search_a_full_fleet_each);
	tcase_add_loop_test(tc, index_finds_the_best_fit, 0, 20);
	return tc;
}

TCase *fleet_size_tcase(void)
{
	TCase *tc = tcase_create("fleet size");

	tcase_add_test(tc, cost_of_a_task_is_the_same_on_large_fleets);
	return tc;
}
