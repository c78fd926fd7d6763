#include <check.h>

#include "drawn-load.h"

/*
 * Gangs that are wider than the fleet, or whose tasks are larger than any
 * worker, beside a backlog of single tasks that never ends.
 */

#define SEEDS 20

static struct drawn_load *d;

static void setup(void)
{
	d = NULL;
}

static void teardown(void)
{
	if (d)
		drawn_load_free(d);
}

static int32_t count_ready_workers(void)
{
	int32_t n = 0;
	int i;

	for (i = 0; i < d->opts.workers; i++)
		n += drawn_load_is_ready(d, i);
	return n;
}

static void add_wide_gang(const char *queue, int32_t tasks, bool within_rack)
{
	struct load_job *j = load_add(&d->load, queue, d->load.now_ms, tasks,
				      DRAWN_ACCELERATORS, 5000);

	j->gang = true;
	j->within_rack = within_rack;
}

static void add_gang_of_large_tasks(const char *queue)
{
	struct load_job *j = load_add(&d->load, queue, d->load.now_ms, 2,
				      DRAWN_ACCELERATORS + 1, 5000);

	j->gang = true;
}

static void check_no_single_task_fits(int seed)
{
	int i;

	for (i = 0; i < d->load.n_jobs; i++) {
		const struct load_job *j = &d->load.jobs[i];

		if (j->gang || j->at_ms >= d->load.now_ms ||
		    j->done + j->running == j->tasks)
			continue;
		ck_assert_msg(!drawn_load_count_fits(d, j),
			      "seed %d, %lld ms: tasks of %s fit and wait",
			      seed, (long long)d->load.now_ms, j->id);
	}
}

static void check_fleet_is_filled_beside_gangs(const char *queue, int seed)
{
	const struct drawn_opts opts = {
		.workers = DRAWN_WORKERS,
		.workers_min = DRAWN_WORKERS / 2,
		.come_back = seed % 2,
		.until_ms = 10000,
		.overrun = 2,
	};

	d = drawn_load_new(&opts, seed);
	if (seed % 3)
		add_gang_of_large_tasks(queue);
	else
		add_wide_gang(queue, DRAWN_WORKERS + 1, seed % 4 == 0);
	while (d->load.now_ms < 2 * opts.until_ms) {
		if (d->load.now_ms == opts.until_ms)
			add_wide_gang(queue, count_ready_workers() + 1, false);
		drawn_load_fill_backlog(d);
		drawn_load_advance(d);
		check_no_single_task_fits(seed);
	}
}

START_TEST(gang_that_never_fits_keeps_nothing)
{
	check_fleet_is_filled_beside_gangs(_i % 5 ? "normal" : "low", _i);
}
END_TEST

START_TEST(urgent_gang_that_never_fits_keeps_nothing)
{
	check_fleet_is_filled_beside_gangs("urgent", _i);
}
END_TEST

TCase *never_fits_tcase(void)
{
	TCase *t = tcase_create("never-fits");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_loop_test(t, gang_that_never_fits_keeps_nothing, 0, SEEDS);
	return t;
}

TCase *urgent_never_fits_tcase(void)
{
	TCase *t = tcase_create("urgent-never-fits");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_loop_test(t, urgent_gang_that_never_fits_keeps_nothing, 0,
			    SEEDS);
	return t;
}
