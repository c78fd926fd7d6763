#include <string.h>

#include "../flow/drawn-load.h"
#include "../run.h"

/*
 * Accepted tasks waited for seconds beside free workers, because the capacity
 * was kept for gangs that waited themselves, or for urgent jobs to come.
 */

#define SEEDS 60
#define LENGTH_MS 75000
/* Of the rule LOST. */
#define BOUND_MS 3000
#define SHARE_MAX 0.5
#define TIMES_FIT 2

/* When a job began to wait beside free capacity; -1 if it doesn't. */
static int64_t since_ms[LOAD_JOBS_MAX];

static bool waits_beside_capacity(const struct drawn_load *d,
				  const struct load_job *j)
{
	int32_t together = j->gang ? j->tasks : 1;

	return j->at_ms < d->load.now_ms && j->done < j->tasks && !j->running &&
		drawn_load_count_fits(d, j) >= TIMES_FIT * together;
}

static void forget_waits(void)
{
	int i;

	for (i = 0; i < LOAD_JOBS_MAX; i++)
		since_ms[i] = -1;
}

struct keeper {
	const char *job;
	char name[FLOW_JOB_ID_LEN + 32];
};

static void find_keeper(const struct flow_kept_wait *w, void *arg)
{
	struct keeper *k = arg;

	if (!strcmp(w->job, k->job))
		tg_strlcpy(k->name, *w->keeper ? w->keeper : "headroom",
			   sizeof(k->name));
}

static void report_wait(const struct drawn_load *d, const struct load_job *j,
			int64_t for_ms, int seed)
{
	struct keeper k = { .job = j->id, .name = "no known reason" };

	flow_each_kept_wait(d->load.f, d->load.now_ms, find_keeper, &k);
	ck_abort_msg(
		"seed %d, %lld ms: %s, %d tasks of %d accelerators%s%s, has waited %lld ms; %d%% in use, room for %lld tasks kept for %s",
		seed, (long long)d->load.now_ms, j->id, j->tasks,
		j->accelerators, j->gang ? ", gang" : "",
		j->within_rack ? ", one rack" : "", (long long)for_ms,
		(int)(100 * drawn_load_share_used(d)),
		(long long)drawn_load_count_fits(d, j), k.name);
}

static void check_waits(const struct drawn_load *d, int seed)
{
	int64_t now_ms = d->load.now_ms;
	int i;

	if (drawn_load_share_used(d) >= SHARE_MAX) {
		forget_waits();
		return;
	}
	for (i = 0; i < d->load.n_jobs; i++) {
		const struct load_job *j = &d->load.jobs[i];

		if (!waits_beside_capacity(d, j)) {
			since_ms[i] = -1;
			continue;
		}
		if (since_ms[i] < 0)
			since_ms[i] = now_ms;
		if (now_ms - since_ms[i] >= BOUND_MS)
			report_wait(d, j, now_ms - since_ms[i], seed);
	}
}

START_TEST(no_task_waits_beside_capacity_that_nobody_uses)
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
		.urgent_jobs = _i % 3 == 2 ? 15 : 0,
		.owners = _i % 4 == 3 ? 3 : 1,
	};
	struct drawn_load *d = drawn_load_new(&opts, _i);
	int takeovers = 0;

	forget_waits();
	while (d->load.now_ms < LENGTH_MS) {
		drawn_load_advance(d);
		/* The rule counts no time right after a change of the owner. */
		if (d->takeovers != takeovers)
			forget_waits();
		takeovers = d->takeovers;
		check_waits(d, _i);
	}
	drawn_load_free(d);
}
END_TEST

/* Until the next round, and from there until its orders are carried out. */
#define ROUNDS_MS (4 * LOAD_STEP_MS)

/*
 * A gang that needs the whole fleet waits for one run, which takes far longer
 * than declared.  Single tasks that last longer than it was to last arrive.  By
 * their declared times they don't fall behind, so that no minimum share lets
 * them pass the gang.
 */
static void add_gang_behind_long_run(struct load *l, int64_t run_ms)
{
	struct load_job *j = load_add(l, "normal", 0, 1, 8, run_ms);
	int i;

	j->declared_ms = 5000;
	j = load_add(l, "normal", 500, 8, 8, 5000);
	j->gang = true;
	for (i = 0; i < 10; i++)
		load_add(l, "low", 1000 + 1000 * i, 64, 1, 10000)->declared_ms =
			60000;
}

START_TEST(kept_capacity_is_lent_until_the_gang_can_start)
{
	static struct load l;
	const struct load_job *gang = &l.jobs[1];
	const int64_t run_ms = 20000;
	int64_t half_used_ms = 1000;
	char id[16];
	int i;

	l.f = fleet_new();
	for (i = 0; i < 8; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		fleet_add_worker(l.f, id, "r", 8);
	}
	add_gang_behind_long_run(&l, run_ms);
	while (l.now_ms < run_ms) {
		load_advance(&l, l.now_ms + LOAD_STEP_MS);
		if (load_accelerators_in_use(&l) >= SHARE_MAX * 64)
			half_used_ms = l.now_ms;
		ck_assert_int_lt(l.now_ms - half_used_ms, BOUND_MS);
	}
	load_advance(&l, run_ms + STOP_DURATION_MS + ROUNDS_MS);
	ck_assert_int_ge(gang->start_ms, run_ms);
	load_advance(&l, gang->start_ms + gang->run_ms);
	ck_assert_int_eq(gang->stops, 0);
	flow_free(l.f);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("idle");
	TCase *t = tcase_create("drawn");

	tcase_add_loop_test(t, no_task_waits_beside_capacity_that_nobody_uses,
			    0, SEEDS);
	tcase_add_test(t, kept_capacity_is_lent_until_the_gang_can_start);
	suite_add_tcase(s, t);
	suite_add_tcase(s, urgent_never_fits_tcase());
	return run_suite(s);
}
