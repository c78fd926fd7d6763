#include <stdlib.h>
#include <string.h>

#include "record-store.h"

/*
 * Property test: owners that take over from each other between any two
 * transactions never run a task twice, or again after its end was acknowledged,
 * and every job ends.  Jobs have more tasks than a row holds.
 */

#define SEEDS 60
#define STEPS 400
#define WORKERS 4
#define RUNS_MAX 20000

/* A run as its worker knows it. */
struct real_run {
	struct start_order order;
	bool ended, acked;
	bool reported; /* its end, to the present owner */
	enum flow_run_result how;
};

struct job_def {
	const char *id;
	int32_t tasks;
	bool gang;
	int32_t times;
};

static const struct job_def jobs[] = {
	{ "a1", 100, false, 0 }, { "b2", 40, true, 0 },	 { "c3", 25, false, 3 },
	{ "d4", 32, false, 0 },	 { "e5", 33, false, 0 }, { "f6", 1, false, 0 },
};

static struct flow *f;
static struct record_store store;
static struct real_run runs[RUNS_MAX];
static size_t n_runs;
static struct tg_rng rng;
static int64_t now_ms;

static const char *worker_name(int i)
{
	static const char *const names[WORKERS] = { "w0", "w1", "w2", "w3" };

	return names[i];
}

static bool same_task(const struct start_order *a, const struct start_order *b)
{
	return !strcmp(a->job, b->job) && a->occurrence == b->occurrence &&
		a->step == b->step && a->index == b->index;
}

static void begin_run(const struct flow_start_order *s, void *arg)
{
	struct real_run *r = &runs[n_runs++];
	size_t i;

	(void)arg;
	ck_assert_uint_lt(n_runs, RUNS_MAX);
	memset(r, 0, sizeof(*r));
	tg_strlcpy(r->order.job, s->ref.job, sizeof(r->order.job));
	tg_strlcpy(r->order.worker, s->worker, sizeof(r->order.worker));
	r->order.occurrence = s->ref.occurrence;
	r->order.step = s->ref.step;
	r->order.index = s->ref.index;
	r->order.run = s->ref.run;
	for (i = 0; i + 1 < n_runs; i++) {
		if (!same_task(&runs[i].order, &r->order))
			continue;
		ck_assert_msg(runs[i].ended, "%s.%d.%d runs twice",
			      r->order.job, r->order.occurrence,
			      r->order.index);
		ck_assert_msg(!runs[i].acked || runs[i].how != FLOW_RUN_DONE,
			      "%s.%d.%d starts after its end", r->order.job,
			      r->order.occurrence, r->order.index);
	}
}

static void report_end(struct real_run *r)
{
	struct flow_run_ref ref = fleet_run_ref(&r->order);

	r->reported = true;
	flow_report_end(f, &ref, r->order.worker, r->how, "", now_ms);
}

static void end_run(struct real_run *r, enum flow_run_result how)
{
	r->ended = true;
	r->how = how;
	report_end(r);
}

static void stop_run(const struct flow_stop_order *s, void *arg)
{
	(void)s;
	*(bool *)arg = true;
}

static const struct flow_ops ops = { .start = begin_run, .stop = stop_run };

/* The store has all that was reported. */
static void acknowledge(void)
{
	size_t i;

	for (i = 0; i < n_runs; i++)
		runs[i].acked |= runs[i].reported;
}

static void confirm_starts(void)
{
	size_t i;

	for (i = 0; i < n_runs; i++) {
		struct flow_run_ref ref = fleet_run_ref(&runs[i].order);

		flow_start_answered(f, &ref, runs[i].order.worker,
				    FLOW_ORDER_DONE, now_ms);
	}
}

static void decide(void)
{
	bool stopped = false;
	size_t i;

	flow_decide(f, now_ms, now_ms, &ops, &stopped);
	flow_start_recorded(f, now_ms, &ops, &stopped);
	confirm_starts();
	/* Only members of gangs that have lost one are stopped here. */
	for (i = 0; stopped && i < n_runs; i++)
		if (!runs[i].ended && !strcmp(runs[i].order.job, "b2"))
			end_run(&runs[i], FLOW_RUN_STOPPED);
}

static void write_some(size_t max)
{
	if (tg_rng_below(&rng, 10) == 0) {
		record_store_refuse(f, max);
		return;
	}
	record_store_write(&store, f, max);
	if (!flow_has_dirty(f))
		acknowledge();
	flow_start_recorded(f, now_ms, &ops, &(bool){ false });
	confirm_starts();
}

static void end_some(void)
{
	size_t i;

	for (i = 0; i < n_runs; i++)
		if (!runs[i].ended && tg_rng_below(&rng, 20) == 0)
			end_run(&runs[i],
				tg_rng_below(&rng, 8) ? FLOW_RUN_DONE :
							FLOW_RUN_LEASE_EXPIRED);
}

/* A worker's list, complete and under the fence of the owner. */
static void apply_list(const char *worker)
{
	size_t i;

	fleet_add_worker(f, worker, "r1", 40);
	for (i = 0; i < n_runs; i++) {
		struct real_run *r = &runs[i];
		struct flow_run_ref ref = fleet_run_ref(&r->order);

		if (strcmp(r->order.worker, worker) != 0)
			continue;
		if (!r->ended)
			flow_report_run(f, &ref, worker, 0, "", now_ms);
		else if (!r->acked)
			report_end(r);
	}
	flow_report_list_end(f, worker, now_ms, now_ms);
}

static void begin_term(void)
{
	size_t i;

	flow_free(f);
	f = fleet_new();
	for (i = 0; i < n_runs; i++)
		runs[i].reported = false;
	for (i = 0; i < ARRAY_SIZE(jobs); i++) {
		struct flow_spec *s =
			fleet_new_spec(jobs[i].tasks, 1, jobs[i].gang);

		s->times = jobs[i].times;
		fleet_add_job(f, jobs[i].id, "normal", s, 0);
	}
	record_store_read(&store, f);
}

static void step(void)
{
	now_ms += 1 + (int64_t)tg_rng_below(&rng, 400);
	switch (tg_rng_below(&rng, 8)) {
	case 0:
	case 1:
		decide();
		break;
	case 2:
	case 3:
		write_some(1 + tg_rng_below(&rng, 3));
		break;
	case 4:
		write_some(90);
		break;
	case 5:
		end_some();
		break;
	case 6:
		apply_list(worker_name((int)tg_rng_below(&rng, WORKERS)));
		break;
	default:
		if (tg_rng_below(&rng, 4) == 0)
			begin_term();
	}
}

static bool all_completed(void)
{
	struct flow_job_status v;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(jobs); i++)
		if (!flow_job_status(f, jobs[i].id, &v) ||
		    v.state != FLOW_COMPLETED || !v.durable)
			return false;
	return true;
}

START_TEST(owners_agree_on_what_runs)
{
	int i, w;

	rng.state = (uint64_t)_i + 1;
	n_runs = 0;
	now_ms = 1;
	begin_term();
	for (i = 0; i < STEPS; i++)
		step();
	begin_term();
	for (i = 0; i < 400 && !all_completed(); i++) {
		now_ms += STOP_MS;
		for (w = 0; w < WORKERS; w++)
			apply_list(worker_name(w));
		decide();
		write_some(90);
		end_some();
	}
	ck_assert_msg(all_completed(), "seed %d", _i);
	while (record_store_write(&store, f, 90))
		;
	ck_assert_uint_eq(store.n, ARRAY_SIZE(jobs));
	ck_assert_uint_lt(store.largest_bytes, 4096);
	flow_free(f);
	f = NULL;
	record_store_clear(&store);
}
END_TEST

TCase *takeover_tcase(void)
{
	TCase *t = tcase_create("takeover");

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, owners_agree_on_what_runs, 0, SEEDS);
	return t;
}
