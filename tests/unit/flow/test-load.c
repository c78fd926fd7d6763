#include <stdlib.h>
#include <string.h>

#include "load.h"

#define RACKS 4
#define WORKERS_PER_RACK 4
#define ACCELERATORS 8
#define FLEET_ACCELERATORS (RACKS * WORKERS_PER_RACK * ACCELERATORS)

static struct load *l;

static void setup(void)
{
	int i;

	l = tg_xcalloc(1, sizeof(*l));
	l->f = fleet_new();
	for (i = 0; i < RACKS * WORKERS_PER_RACK; i++) {
		char id[16], rack[16];

		snprintf(id, sizeof(id), "w%d", i);
		snprintf(rack, sizeof(rack), "r%d", i % RACKS);
		fleet_add_worker(l->f, id, rack, ACCELERATORS);
	}
}

static void teardown(void)
{
	flow_free(l->f);
	free(l);
}

/* More single tasks of 7 s than fit, with ends spread over time. */
static void add_backlog(int64_t until_ms)
{
	int64_t at_ms;

	for (at_ms = 0; at_ms < until_ms; at_ms += 500)
		load_add(l, "low", at_ms, FLEET_ACCELERATORS / 8, 1, 7000);
}

/* Adds a gang that needs a whole rack at 10 s, behind the backlog. */
static struct load_job *add_gang_after_backlog(void)
{
	struct load_job *gang;

	add_backlog(30000);
	load_advance(l, 10000);
	gang = load_add(l, "normal", 10000, WORKERS_PER_RACK, ACCELERATORS,
			5000);
	gang->gang = gang->within_rack = true;
	return gang;
}

/*
 * A gang that needs whole workers never started, since jobs of lower priority
 * filled all capacity that became free.  With runs of 7 s it can start once the
 * longest of them has ended.
 */
START_TEST(gang_starts_despite_backlog)
{
	struct load_job *gang = add_gang_after_backlog();

	load_advance(l, 19000);
	ck_assert_int_ge(gang->start_ms, 10000);
	ck_assert_int_le(gang->start_ms, 18000);
	ck_assert_int_eq(gang->stops, 0);
}
END_TEST

/* Only the reserved rack may idle while a gang waits for it. */
START_TEST(waiting_gang_idles_only_its_rack)
{
	struct load_job *gang = add_gang_after_backlog();

	load_advance(l, 14000);
	ck_assert_int_lt(gang->start_ms, 0);
	ck_assert_int_ge(load_accelerators_in_use(l),
			 FLEET_ACCELERATORS - WORKERS_PER_RACK * ACCELERATORS);
}
END_TEST

static void add_urgent(int64_t from_ms, int64_t until_ms)
{
	int64_t at_ms;

	for (at_ms = from_ms; at_ms < until_ms; at_ms += 700) {
		struct load_job *j = load_add(l, "urgent", at_ms, 2, 8, 2000);

		j->gang = true;
	}
}

/*
 * Each urgent gang preempted ordinary runs that had just started where the last
 * urgent gang ended.  Once the average demand has settled, urgent gangs must
 * start at once and preempt nothing.
 */
START_TEST(urgent_gangs_start_without_preemption)
{
	const int64_t settled_ms = 15000;
	int i;

	add_backlog(30000);
	add_urgent(0, 30000);
	load_advance(l, 30000);
	for (i = 0; i < l->n_jobs; i++) {
		const struct load_job *j = &l->jobs[i];

		if (j->at_ms < settled_ms || j->at_ms > 29000)
			continue;
		ck_assert_int_eq(j->stops, 0);
		if (!strcmp(j->queue, "urgent"))
			ck_assert_int_le(j->start_ms - j->at_ms, 50);
	}
}
END_TEST

/*
 * The average demand rises only slowly when a burst begins.  Until then
 * ordinary tasks started in capacity that had just become free, and were
 * preempted at once by the next urgent gang.
 */
START_TEST(start_of_burst_preempts_no_new_runs)
{
	const int64_t burst_ms = 10000;
	int32_t i;

	for (i = 0; i < 33; i++)
		load_add(l, "low", 100 + 600 * i, FLEET_ACCELERATORS / 8, 1,
			 4000);
	for (i = 0; i < 20; i++)
		load_add(l, "urgent", burst_ms + 300 * i, 1, ACCELERATORS, 4000)
			->gang = true;
	load_advance(l, burst_ms + 10000);
	for (i = 0; i < l->n_jobs; i++)
		ck_assert_int_eq(l->jobs[i].stops, 0);
}
END_TEST

/* Only a part of the capacity idles as headroom, and not long after a burst. */
START_TEST(ordinary_jobs_use_headroom_after_burst)
{
	add_backlog(40000);
	add_urgent(0, 20000);
	load_advance(l, 23000);
	ck_assert_int_ge(load_accelerators_in_use(l),
			 FLEET_ACCELERATORS * 3 / 4);
	load_advance(l, 38000);
	ck_assert_int_ge(load_accelerators_in_use(l),
			 FLEET_ACCELERATORS * 9 / 10);
}
END_TEST

/* An endless task has to start soon, so headroom doesn't hold it back. */
START_TEST(endless_task_may_use_headroom)
{
	struct flow_spec *s = fleet_new_spec(1, 8, false);
	struct orders *o = tg_xcalloc(1, sizeof(*o));
	int i;

	for (i = 0; i < RACKS * WORKERS_PER_RACK - 1; i++)
		load_add(l, "urgent", 0, 1, 8, 60000);
	load_advance(l, 10000);
	fleet_add_job(l->f, "task", "low", fleet_new_spec(1, 8, false), 10000);
	fleet_decide(l->f, o, 10000);
	ck_assert_int_eq(o->n_starts, 0);
	s->steps[0].endless = true;
	fleet_add_job(l->f, "endless", "low", s, 10001);
	fleet_decide(l->f, o, 10001);
	ck_assert_int_eq(o->n_starts, 1);
	ck_assert_str_eq(o->starts[0].job, "endless");
	free(o);
}
END_TEST

static void on_queue_usage(const struct flow_queue_usage *u, void *arg)
{
	struct flow_queue_usage *low = arg;

	if (!strcmp(u->queue, "low"))
		*low = *u;
}

static void on_pool_usage(const struct flow_pool_usage *u, void *arg)
{
	struct flow_pool_usage *pool = arg;

	*pool = *u;
}

/* Without these figures nobody could tell why a queue gets no capacity. */
START_TEST(usage_tells_what_holds_a_queue_back)
{
	const int32_t workers = RACKS * WORKERS_PER_RACK;
	struct flow_queue_usage low = { 0 };
	struct flow_pool_usage pool = { 0 };

	load_add(l, "low", 100, workers, ACCELERATORS, 10000);
	load_add(l, "urgent", 2000, workers, ACCELERATORS, 10000);
	load_advance(l, 1000);
	flow_each_queue_usage(l->f, l->now_ms, on_queue_usage, &low);
	flow_each_pool_usage(l->f, l->now_ms, on_pool_usage, &pool);
	ck_assert_int_eq(low.open_jobs, 1);
	ck_assert_int_eq(low.stalled_jobs, 0);
	ck_assert_int_eq(low.starts, workers);
	ck_assert_double_eq_tol(low.held_workers, workers, 0.01);
	ck_assert_int_eq(pool.ready_workers, workers);
	ck_assert_double_eq_tol(pool.free_workers, 0, 0.01);
	load_advance(l, 5000);
	flow_each_queue_usage(l->f, l->now_ms, on_queue_usage, &low);
	ck_assert_int_eq(low.preempted, workers);
	ck_assert_int_eq(low.stalled_jobs, 1);
	ck_assert_int_ge(low.oldest_stalled_ms, 4900);
	ck_assert_double_eq_tol(low.held_workers, 0, 0.01);
	ck_assert_double_eq_tol(low.lost_worker_ms,
				workers * (1900 + STOP_DURATION_MS),
				workers * 100);
}
END_TEST

TCase *load_tcase(void)
{
	TCase *t = tcase_create("load");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, gang_starts_despite_backlog);
	tcase_add_test(t, waiting_gang_idles_only_its_rack);
	tcase_add_test(t, urgent_gangs_start_without_preemption);
	tcase_add_test(t, start_of_burst_preempts_no_new_runs);
	tcase_add_test(t, ordinary_jobs_use_headroom_after_burst);
	tcase_add_test(t, endless_task_may_use_headroom);
	tcase_add_test(t, usage_tells_what_holds_a_queue_back);
	return t;
}
