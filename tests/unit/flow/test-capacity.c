#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

/*
 * Workers whose capacity shrinks and grows while they run.  A start must never
 * bring a worker over what it has now, counting runs that are being stopped.
 */

#define WORKERS 4
#define ACCELERATORS 8
#define SEEDS 60
#define ROUNDS 80
#define ROUND_MS 100
#define RUNS_MAX 256

/* struct model_run - a run on a model worker; it has ended if @worker is < 0 */
struct model_run {
	struct start_order order;
	int worker;
	int32_t accelerators;
	int64_t end_ms; /* by itself, or because it is stopped */
	bool stopped;
};

static struct flow *f;
static struct orders o;
static struct model_run runs[RUNS_MAX];
static int n_runs;
static int32_t capacity[WORKERS];

static void setup(void)
{
	f = fleet_new();
	n_runs = 0;
}

static void teardown(void)
{
	flow_free(f);
}

static void set_capacity(int i, int32_t accelerators)
{
	char id[8];

	snprintf(id, sizeof(id), "w%d", i);
	capacity[i] = accelerators;
	fleet_add_worker(f, id, "r1", accelerators);
}

static int32_t used(int worker)
{
	int32_t n = 0;
	int i;

	for (i = 0; i < n_runs; i++)
		if (runs[i].worker == worker)
			n += runs[i].accelerators;
	return n;
}

/* Jobs are named by their number and accelerators: "00-4". */
static int32_t accelerators_of(const char *job)
{
	return (int32_t)strtol(strchr(job, '-') + 1, NULL, 10);
}

static void carry_out_starts(struct tg_rng *rng, int64_t now_ms)
{
	int i;

	for (i = 0; i < o.n_starts; i++) {
		struct model_run *r = &runs[n_runs++];

		ck_assert_int_lt(n_runs, RUNS_MAX);
		r->order = o.starts[i];
		r->worker = atoi(r->order.worker + 1);
		r->accelerators = accelerators_of(r->order.job);
		r->end_ms = now_ms + 200 + (int64_t)tg_rng_below(rng, 3000);
		r->stopped = false;
		ck_assert_int_le(used(r->worker), capacity[r->worker]);
	}
	fleet_confirm_starts(f, &o, now_ms);
}

static void carry_out_stops(int64_t now_ms)
{
	int i, k;

	for (i = 0; i < o.n_stops; i++) {
		struct flow_run_ref ref = fleet_run_ref(&o.stops[i]);

		for (k = 0; k < n_runs; k++)
			if (runs[k].worker >= 0 &&
			    !strcmp(runs[k].order.job, ref.job) &&
			    runs[k].order.index == ref.index &&
			    runs[k].order.run == ref.run) {
				runs[k].stopped = true;
				runs[k].end_ms = now_ms + STOP_MS / 2;
			}
		flow_stop_answered(f, &ref, o.stops[i].worker, FLOW_ORDER_DONE,
				   now_ms);
	}
}

static void end_runs(int64_t now_ms)
{
	int i;

	for (i = 0; i < n_runs; i++) {
		if (runs[i].worker < 0 || runs[i].end_ms > now_ms)
			continue;
		runs[i].worker = -1;
		fleet_end_run(f, &runs[i].order,
			      runs[i].stopped ? FLOW_RUN_STOPPED :
						FLOW_RUN_DONE,
			      now_ms);
	}
}

static void add_random_job(struct tg_rng *rng, int number, int64_t now_ms)
{
	static const char *const queues[] = { "urgent", "normal", "low" };
	int32_t accelerators = 1 << tg_rng_below(rng, 4);
	int32_t tasks = 1 + (int32_t)tg_rng_below(rng, 4);
	char id[FLOW_JOB_ID_LEN + 1];

	snprintf(id, sizeof(id), "%02d-%d", number, accelerators);
	fleet_add_job(
		f, id, queues[tg_rng_below(rng, ARRAY_SIZE(queues))],
		fleet_new_spec(tasks, accelerators, tg_rng_below(rng, 3) == 0),
		now_ms);
}

START_TEST(start_fits_into_shrunk_worker)
{
	struct tg_rng rng = { .state = (uint64_t)_i + 1 };
	int64_t now_ms = 1000;
	int i, n_jobs = 0, n_started = 0;

	for (i = 0; i < WORKERS; i++)
		set_capacity(i, ACCELERATORS);
	for (i = 0; i < ROUNDS && n_runs < RUNS_MAX / 2; i++) {
		if (tg_rng_below(&rng, 3) == 0)
			add_random_job(&rng, n_jobs++, now_ms);
		if (tg_rng_below(&rng, 4) == 0)
			set_capacity(
				(int)tg_rng_below(&rng, WORKERS),
				(int32_t)tg_rng_below(&rng, ACCELERATORS + 1));
		end_runs(now_ms);
		fleet_decide(f, &o, now_ms);
		n_started += o.n_starts;
		carry_out_starts(&rng, now_ms);
		carry_out_stops(now_ms);
		now_ms += ROUND_MS;
	}
	ck_assert_int_gt(n_started, 0);
}
END_TEST

START_TEST(waiting_task_starts_when_its_worker_grows_again)
{
	set_capacity(0, ACCELERATORS);
	set_capacity(0, 2);
	fleet_add_job(f, "00-4", "normal", fleet_new_spec(1, 4, false), 0);
	fleet_decide(f, &o, 100);
	ck_assert_int_eq(o.n_starts, 0);
	set_capacity(0, ACCELERATORS);
	fleet_decide(f, &o, 200);
	ck_assert_int_eq(o.n_starts, 1);
}
END_TEST

START_TEST(stopping_run_counts_on_shrunk_worker)
{
	struct flow_run_ref r;

	set_capacity(0, ACCELERATORS);
	fleet_add_job(f, "00-4", "low", fleet_new_spec(1, 4, false), 0);
	fleet_decide(f, &o, 100);
	fleet_confirm_starts(f, &o, 100);
	r = fleet_run_ref(&o.starts[0]);
	ck_assert(flow_cancel(f, "00-4", 200));
	fleet_decide(f, &o, 200);
	ck_assert_int_eq(o.n_stops, 1);
	flow_stop_answered(f, &r, "w0", FLOW_ORDER_DONE, 210);
	set_capacity(0, 4);
	fleet_add_job(f, "01-1", "urgent", fleet_new_spec(1, 1, false), 220);
	fleet_decide(f, &o, 220);
	ck_assert_int_eq(o.n_starts, 0);
	flow_report_end(f, &r, "w0", FLOW_RUN_STOPPED, "", 300);
	fleet_decide(f, &o, 310);
	ck_assert_int_eq(o.n_starts, 1);
}
END_TEST

TCase *capacity_tcase(void)
{
	TCase *t = tcase_create("capacity");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_loop_test(t, start_fits_into_shrunk_worker, 0, SEEDS);
	tcase_add_test(t, waiting_task_starts_when_its_worker_grows_again);
	tcase_add_test(t, stopping_run_counts_on_shrunk_worker);
	return t;
}
