#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "../run.h"
#include "../flow/fleet.h"
#include "speed.h"

/*
 * Estimates of workers' speeds under a drawn load: declared times that are off
 * by half, tasks that differ within their step, some of which take seven times
 * as long, and some that stand still.
 */

#define WORKERS 60
#define ACCELERATORS 8
#define STEP_MS 100
#define PLAYED_MS 40000

struct sim_run {
	struct start_order order;
	double work_ms, done_ms;
	bool stands_still;
	struct sim_run *next;
};

static struct flow *f;
static struct tg_rng rng;
static double factor[WORKERS]; /* of run times */
static struct sim_run *runs;
static int64_t now_ms;
static int n_jobs;

static double draw(double from, double to)
{
	return from + (to - from) * (double)(tg_rng_next(&rng) % 10000) / 10000;
}

static int worker_index(const char *id)
{
	return atoi(id + 1);
}

static void setup(void)
{
	const struct flow_opts opts = { .stop_ms = 200, .follow_speed = true };
	const struct flow_queue q[] = { fleet_queue("urgent", 0),
					fleet_queue("normal", 1),
					fleet_queue("low", 2) };
	int i;

	f = flow_new(&opts);
	flow_set_queues(f, q, ARRAY_SIZE(q));
	rng = (struct tg_rng){ .state = 1 };
	now_ms = 1000;
	n_jobs = 0;
	runs = NULL;
	for (i = 0; i < WORKERS; i++) {
		char id[16], rack[16];

		snprintf(id, sizeof(id), "w%d", i);
		snprintf(rack, sizeof(rack), "r%d", i / 6);
		fleet_add_worker(f, id, rack, ACCELERATORS);
		factor[i] = 1;
	}
}

static void make_uneven(void)
{
	static const double factors[] = { 1 / 1.6, 1, 1 / 0.6 };
	int i;

	for (i = 0; i < WORKERS; i++)
		factor[i] = factors[tg_rng_next(&rng) % ARRAY_SIZE(factors)];
}

static void teardown(void)
{
	while (runs) {
		struct sim_run *r = runs;

		runs = r->next;
		free(r);
	}
	flow_free(f);
}

/* @text: "WORK_MS SEED", from which the tasks' own times follow. */
static void add_job(const char *queue, int32_t tasks, int32_t accelerators,
		    bool gang, double work_ms)
{
	struct flow_spec *spec = fleet_new_spec(tasks, accelerators, gang);
	char id[32];

	free(spec->text);
	spec->text = tg_xasprintf("%.0f", work_ms);
	spec->steps[0].declared_ms = (int64_t)(work_ms * draw(0.5, 1.5));
	snprintf(id, sizeof(id), "%s-%d", queue, n_jobs++);
	fleet_add_job(f, id, queue, spec, now_ms);
}

static void begin(const struct start_order *o)
{
	struct flow_run_ref ref = fleet_run_ref(o);
	const char *text = flow_starting_text(f, &ref, o->worker);
	struct sim_run *r = tg_xcalloc(1, sizeof(*r));

	r->order = *o;
	r->work_ms = atof(text) * draw(0.75, 1.25);
	if (draw(0, 1) < 0.03)
		r->work_ms *= 7;
	r->stands_still = draw(0, 1) < 0.01;
	r->next = runs;
	runs = r;
}

/* Ends runs, and lists the progress of those of some workers. */
static void run_workers(void)
{
	struct sim_run **p = &runs;

	while (*p) {
		struct sim_run *r = *p;
		int w = worker_index(r->order.worker);
		struct flow_run_ref ref = fleet_run_ref(&r->order);

		if (!flow_has_run(f, &ref, r->order.worker)) {
			*p = r->next;
			free(r);
			continue;
		}
		if (!r->stands_still)
			r->done_ms += STEP_MS / factor[w];
		if (flow_is_stopping(f, &ref, r->order.worker)) {
			fleet_end_run(f, &r->order, FLOW_RUN_STOPPED, now_ms);
			continue;
		}
		if (r->done_ms >= r->work_ms) {
			fleet_end_run(f, &r->order, FLOW_RUN_DONE, now_ms);
			continue;
		}
		if ((now_ms / STEP_MS + w) % 20 == 0)
			flow_report_run(
				f, &ref, r->order.worker,
				(int32_t)(100 * r->done_ms / r->work_ms), NULL,
				now_ms);
		p = &r->next;
	}
}

static struct orders o;

static void advance(void)
{
	int i;

	fleet_decide(f, &o, now_ms);
	for (i = 0; i < o.n_starts; i++)
		begin(&o.starts[i]);
	fleet_confirm_starts(f, &o, now_ms);
	now_ms += STEP_MS;
	run_workers();
}

static void play(int64_t ms)
{
	int64_t end_ms = now_ms + ms;

	while (now_ms < end_ms) {
		if (now_ms % 1000 == 0)
			add_job("low", 20, 1, false, draw(3000, 7000));
		if (now_ms % 2000 == 0)
			add_job("normal", 4, 4, true, draw(5000, 9000));
		advance();
	}
}

/* Number of workers of that factor whose estimate is known and on that side. */
static int count_known(double of, double from, double to)
{
	struct flow_speed v;
	int i, n = 0;

	for (i = 0; i < WORKERS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "w%d", i);
		n += fabs(factor[i] - of) < 0.01 &&
			flow_worker_speed(f, id, &v) && v.mean >= from &&
			v.mean <= to;
	}
	return n;
}

START_TEST(slow_and_fast_workers_are_told_apart)
{
	make_uneven();
	play(PLAYED_MS);
	ck_assert_int_ge(10 * count_known(1 / 0.6, 0.2, 5),
			 8 * count_known(1 / 0.6, -5, 5));
	ck_assert_int_ge(10 * count_known(1 / 1.6, -5, -0.2),
			 8 * count_known(1 / 1.6, -5, 5));
	/* Single tasks are placed so that they find out. */
	ck_assert_int_ge(10 *
				 (count_known(1 / 0.6, -5, 5) +
				  count_known(1, -5, 5) +
				  count_known(1 / 1.6, -5, 5)),
			 7 * WORKERS);
	/* Hardly any is taken for the opposite. */
	ck_assert_int_le(count_known(1 / 0.6, -5, -0.2), 1);
	ck_assert_int_le(count_known(1 / 1.6, 0.2, 5), 1);
}
END_TEST

/* Workers that are alike must not be placed by noise. */
START_TEST(alike_workers_are_not_uneven)
{
	int i;

	for (i = 0; i < 20; i++) {
		play(PLAYED_MS / 20);
		ck_assert_int_eq(count_known(1, -5, 5), 0);
	}
}
END_TEST

/*
 * Urgent gangs beside single tasks: they were as slow as the slowest of the
 * workers that the tightest fit gave them.
 */
START_TEST(urgent_gangs_avoid_slow_workers)
{
	int slow = 0, all = 0, i, k;

	make_uneven();
	play(PLAYED_MS);
	for (k = 0; k < 40; k++) {
		add_job("urgent", 4, 4, true, 2000);
		advance();
		for (i = 0; i < o.n_starts; i++) {
			if (strncmp(o.starts[i].job, "urgent", 6) != 0)
				continue;
			all++;
			slow += factor[worker_index(o.starts[i].worker)] > 1.2;
		}
		play(1000);
	}
	ck_assert_int_ge(all, 100);
	/* A third of the workers is slow. */
	ck_assert_int_le(10 * slow, all);
}
END_TEST

/* Patient work takes the slow workers, and still ends. */
START_TEST(single_tasks_are_not_starved)
{
	struct flow_job_status v;
	int64_t done = 0, tasks = 0;
	int i, n_first;

	make_uneven();
	play(PLAYED_MS / 2);
	n_first = n_jobs;
	play(PLAYED_MS / 2);
	for (i = 0; i < n_first; i++) {
		char id[32];

		snprintf(id, sizeof(id), "low-%d", i);
		if (!flow_job_status(f, id, &v))
			continue;
		done += v.done;
		tasks += v.tasks;
	}
	/* But for those that take seven times as long, or stood still. */
	ck_assert_int_ge(10 * done, 9 * tasks);
}
END_TEST

/* A worker that turns slow is found out, and its run moved. */
START_TEST(run_is_moved_off_a_worker_that_turned_slow)
{
	bool moved = false;
	int i, k;

	make_uneven();
	play(PLAYED_MS);
	for (i = 0; i < WORKERS; i++)
		if (i % 3 == 0 && factor[i] < 1.2)
			factor[i] = 5;
	for (k = 0; k < 200 && !moved; k++) {
		play(STEP_MS);
		for (i = 0; i < o.n_stops; i++)
			moved |= factor[worker_index(o.stops[i].worker)] > 4;
	}
	ck_assert(moved);
}
END_TEST

/* Another process may be on another machine. */
START_TEST(estimate_ends_with_the_process)
{
	struct flow_speed v;
	char id[16];
	int i;

	make_uneven();
	play(PLAYED_MS);
	for (i = 0; i < WORKERS; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		if (flow_worker_speed(f, id, &v))
			break;
	}
	ck_assert_int_lt(i, WORKERS);
	flow_worker_lost(f, id, now_ms);
	ck_assert(!flow_worker_speed(f, id, &v));
}
END_TEST

/*
 * One task that takes seven times as long doesn't make its worker slow: less is
 * known after it than after a task that takes as long as expected, and a few
 * such tasks outweigh it.
 */
START_TEST(outlier_counts_little)
{
	struct estimate worker = { 0, 0.16 }, step = { 0, 0.01 };
	struct estimate usual = worker, usual_step = step;
	int i;

	estimate_pair(&worker, &step, log(7), 0.04);
	estimate_pair(&usual, &usual_step, 0, 0.04);
	ck_assert(worker.var > 2 * usual.var);
	for (i = 0; i < 4; i++)
		estimate_pair(&worker, &step, 0, 0.04);
	ck_assert(worker.mean < 0.2);
}
END_TEST

START_TEST(sample_of_an_unknown_step_tells_little_of_the_worker)
{
	struct estimate a = { 0, 0.16 }, b = { 0, 0.16 };
	struct estimate unknown = { 0, 0.4 }, known = { 0, 0.01 };

	estimate_pair(&a, &unknown, 0.5, 0.04);
	estimate_pair(&b, &known, 0.5, 0.04);
	ck_assert(a.mean < b.mean);
	ck_assert(a.var > b.var);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("speed");
	TCase *t = tcase_create("speed");

	tcase_set_timeout(t, 60);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, slow_and_fast_workers_are_told_apart);
	tcase_add_test(t, alike_workers_are_not_uneven);
	tcase_add_test(t, urgent_gangs_avoid_slow_workers);
	tcase_add_test(t, single_tasks_are_not_starved);
	tcase_add_test(t, run_is_moved_off_a_worker_that_turned_slow);
	tcase_add_test(t, estimate_ends_with_the_process);
	tcase_add_test(t, outlier_counts_little);
	tcase_add_test(t, sample_of_an_unknown_step_tells_little_of_the_worker);
	suite_add_tcase(s, t);
	suite_add_tcase(s, speeds_row_tcase());
	suite_add_tcase(s, accounts_row_tcase());
	return run_suite(s);
}
