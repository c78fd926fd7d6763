#include <check.h>
#include <string.h>

#include "drawn-load.h"

/*
 * How long gangs wait beside a backlog of single tasks that never ends, and
 * what is stopped for them.
 */

#define SEEDS 30
/* Until the next round, and from there until its orders are carried out. */
#define ROUNDS_MS (4 * LOAD_STEP_MS)

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

static int64_t longest_run_ms(void)
{
	int64_t longest_ms = 0;
	int i;

	for (i = 0; i < d->load.n_jobs; i++) {
		const struct load_job *j = &d->load.jobs[i];

		if (j->run_ms + j->spread_ms > longest_ms)
			longest_ms = j->run_ms + j->spread_ms;
	}
	return longest_ms;
}

static bool is_waiting_gang(const struct load_job *j)
{
	return j->gang && !j->running && j->done < j->tasks &&
		j->at_ms < d->load.now_ms;
}

static int count_gangs_started_since(int64_t since_ms)
{
	int i, n = 0;

	for (i = 0; i < d->load.n_jobs; i++)
		n += d->load.jobs[i].gang &&
			d->load.jobs[i].start_ms >= since_ms;
	return n;
}

/*
 * The runs that hold capacity of the first gang in the order end within the
 * longest run.  Others may begin there meanwhile that should end in time, and
 * last as long.  The next gang in the order may have to wait for all that anew.
 */
static int64_t wait_bound_ms(int64_t since_ms)
{
	int64_t one_ms = 2 * longest_run_ms() + STOP_MS + ROUNDS_MS;

	return (1 + count_gangs_started_since(since_ms)) * one_ms;
}

/* Returns whether there is one. */
static bool check_waiting_gangs(int seed)
{
	bool found = false;
	int i;

	for (i = 0; i < d->load.n_jobs; i++) {
		const struct load_job *j = &d->load.jobs[i];
		int64_t since_ms = j->at_ms, bound_ms;

		if (!is_waiting_gang(j))
			continue;
		found = true;
		/* What it waited for may have gone with a worker. */
		if (d->drained_ms > since_ms)
			since_ms = d->drained_ms;
		bound_ms = wait_bound_ms(since_ms);
		ck_assert_msg(
			d->load.now_ms - since_ms <= bound_ms,
			"seed %d: gang %s of %d tasks of %d accelerators has waited for over %lld ms",
			seed, j->id, j->tasks, j->accelerators,
			(long long)bound_ms);
	}
	return found;
}

START_TEST(gang_starts_beside_endless_backlog)
{
	const struct drawn_opts opts = {
		.workers = DRAWN_WORKERS,
		.workers_min = DRAWN_WORKERS / 2,
		.come_back = _i % 2,
		.until_ms = 20000,
		.overrun = 2,
		.gangs = 8,
		.gang_tasks_max = 11,
	};
	bool waits = false;

	d = drawn_load_new(&opts, _i);
	while (waits || d->load.now_ms < opts.until_ms) {
		drawn_load_fill_backlog(d);
		drawn_load_advance(d);
		waits = check_waiting_gangs(_i);
	}
}
END_TEST

/* struct totals - of all gangs, or of what was stopped for them */
struct totals {
	/* Runs that were stopped; those of a gang count as one. */
	int32_t stopped;
	int32_t gang_starts;
	int32_t gang_accelerators; /* of the gangs that have started */
};

static struct totals count_totals(void)
{
	struct totals t = { 0 };
	int i;

	for (i = 0; i < d->load.n_jobs; i++) {
		const struct load_job *j = &d->load.jobs[i];

		t.stopped += j->gang ? j->stops / j->tasks : j->stops;
		if (!j->gang)
			continue;
		t.gang_starts += j->starts / j->tasks;
		if (j->start_ms >= 0)
			t.gang_accelerators += j->tasks * j->accelerators;
	}
	return t;
}

/*
 * Runs that were given room that is kept for a gang were stopped, and the gang
 * didn't start, so that the same happened again and again.
 */
START_TEST(stopped_runs_make_room_for_a_gang_that_starts)
{
	const struct drawn_opts opts = {
		.workers = DRAWN_WORKERS,
		.workers_min = DRAWN_WORKERS / 3,
		.come_back = _i % 2,
		.until_ms = 30000,
		.overrun = 4,
		.gangs = 40,
		.gang_tasks_max = 30,
		.single_jobs = 40,
	};
	const int64_t bound_ms = STOP_MS + ROUNDS_MS;
	struct totals last = { 0 };
	int64_t first_ms = -1, last_ms = 0; /* stops without a start */

	d = drawn_load_new(&opts, _i);
	while (d->load.now_ms < 75000) {
		struct totals t;

		drawn_load_advance(d);
		t = count_totals();
		if (t.gang_starts > last.gang_starts)
			first_ms = -1;
		if (t.stopped > last.stopped) {
			last_ms = d->load.now_ms;
			if (first_ms < 0)
				first_ms = last_ms;
		}
		ck_assert_msg(
			first_ms < 0 || d->load.now_ms - first_ms <= bound_ms,
			"seed %d: no gang starts after the stops at %lld ms",
			_i, (long long)first_ms);
		/* Until then a gang may yet start for the last of them. */
		if (d->load.now_ms - last_ms > bound_ms)
			ck_assert_int_le(t.stopped, t.gang_accelerators);
		last = t;
	}
}
END_TEST

TCase *gang_wait_tcase(void)
{
	TCase *t = tcase_create("gang-wait");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_loop_test(t, gang_starts_beside_endless_backlog, 0, SEEDS);
	tcase_add_loop_test(t, stopped_runs_make_room_for_a_gang_that_starts, 0,
			    SEEDS);
	return t;
}
