#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flow/flow.h"

/*
 * Measures the time of scheduling rounds at several numbers of workers: a
 * round that fills idle workers, and one that can start nothing.  A line per
 * load and size: load, workers, starts, first round and idle round in us, and
 * the longest of the rounds that a backlog of gangs or urgent jobs takes.
 */

#define ACCELERATORS 8
#define WORKERS_PER_RACK 20
#define TASKS_PER_JOB 26
/* Of several idle rounds the fastest is printed: others share the machine. */
#define IDLE_ROUNDS 20
/* Within the objective of the jobs, so that all of them still count. */
#define LATER_MS 500

static const int32_t sizes[] = { 150, 300, 600, 1200, 2400, 9200 };

/**
 * struct bench_load - jobs of a benchmark
 * @accelerators: of each task
 * @percent: accelerators that the jobs ask for, of all
 * @waiting: further jobs that come when the workers are full; of these:
 * @waiting_tasks: tasks of each job, with all accelerators of a worker each
 */
struct bench_load {
	const char *name, *queue, *waiting_queue;
	int32_t accelerators, percent, waiting, waiting_tasks;
};

static const struct bench_load loads[] = {
	{ "empty", "normal", NULL, 1, 43, 0, 0 },
	{ "full", "normal", NULL, 4, 173, 0, 0 },
	{ "gangs", "low", "normal", 1, 100, 20, 16 },
	{ "urgent", "low", "urgent", 1, 100, 20, 8 },
};

struct totals {
	struct flow *flow;
	int64_t starts, stops;
};

static void on_start(const struct flow_start_order *s, void *arg)
{
	struct totals *t = arg;

	(void)s;
	t->starts++;
}

static void on_stop(const struct flow_stop_order *s, void *arg)
{
	struct totals *t = arg;

	(void)s;
	t->stops++;
}

static const struct flow_ops ops = { .start = on_start, .stop = on_stop };

static void set_queues(struct flow *f)
{
	static const char *const names[] = { "urgent", "normal", "low" };
	struct flow_queue q[ARRAY_SIZE(names)];
	size_t i;

	for (i = 0; i < ARRAY_SIZE(names); i++)
		q[i] = (struct flow_queue){
			.name = names[i],
			.service = "s",
			.priority = (int32_t)i,
			.max_attempts = 3,
			.stretch = 3,
			.target_ms = 1000,
		};
	flow_set_queues(f, q, ARRAY_SIZE(q));
}

static void add_workers(struct flow *f, int32_t n)
{
	char id[16], rack[16];
	int32_t i;

	for (i = 0; i < n; i++) {
		struct flow_worker_spec s = {
			.id = id,
			.service = "s",
			.az = "a",
			.rack = rack,
			.capacity = { 128000, 262144, ACCELERATORS },
		};

		snprintf(id, sizeof(id), "w%d", i);
		snprintf(rack, sizeof(rack), "r%d", i / WORKERS_PER_RACK);
		flow_worker_update(f, &s);
		flow_worker_set_runs_known(f, id);
	}
}

static void add_job(struct flow *f, const char *queue, int32_t number,
		    int32_t tasks, int32_t accelerators, bool gang)
{
	struct flow_spec *s = tg_xcalloc(1, sizeof(*s));
	char id[FLOW_JOB_ID_LEN + 1];
	struct flow_job_opts o = {
		.id = id,
		.queue = queue,
		.workspace = "w",
		.spec = s,
		.accepted_ms = 1000,
	};

	snprintf(id, sizeof(id), "%s%d", queue, number);
	s->text = tg_xstrdup("");
	s->n_steps = 1;
	s->steps = tg_xcalloc(1, sizeof(*s->steps));
	s->steps[0] = (struct flow_step){
		.tasks = tasks,
		.shape = { accelerators * 15000LL, accelerators * 31000LL,
			   accelerators },
		.declared_ms = 6000,
		.gang = gang,
		.within_rack = gang,
	};
	flow_add_job(f, &o);
}

static int64_t timed_round(struct totals *t, int64_t now_ms)
{
	int64_t from_us = tg_now_us();

	flow_decide(t->flow, now_ms, now_ms, &ops, t);
	while (flow_take_dirty(t->flow))
		;
	flow_mark_written(t->flow);
	flow_start_recorded(t->flow, now_ms, &ops, t);
	return tg_now_us() - from_us;
}

static void measure(const struct bench_load *l, int32_t workers)
{
	const struct flow_opts opts = { .stop_ms = 900, .reclaim_ms = 3400 };
	int32_t jobs = workers * ACCELERATORS * l->percent / 100 /
		(TASKS_PER_JOB * l->accelerators);
	struct totals t = { .flow = flow_new(&opts) };
	int64_t first_us, idle_us = 0, waiting_us = 0, us, starts;
	int32_t i;

	set_queues(t.flow);
	add_workers(t.flow, workers);
	for (i = 0; i < jobs; i++)
		add_job(t.flow, l->queue, i, TASKS_PER_JOB, l->accelerators,
			false);
	first_us = timed_round(&t, 1000);
	starts = t.starts;
	for (i = 0; i < IDLE_ROUNDS; i++) {
		us = timed_round(&t, 1000 + LATER_MS);
		if (!i || us < idle_us)
			idle_us = us;
	}
	for (i = 0; i < l->waiting; i++)
		add_job(t.flow, l->waiting_queue, jobs + i, l->waiting_tasks,
			ACCELERATORS, true);
	for (i = 0; l->waiting && i < IDLE_ROUNDS; i++) {
		us = timed_round(&t, 1000 + LATER_MS + i);
		if (us > waiting_us)
			waiting_us = us;
	}
	printf("%-8s %6d %6lld %9lld %9lld %9lld\n", l->name, workers,
	       (long long)starts, (long long)first_us, (long long)idle_us,
	       (long long)waiting_us);
	fflush(stdout);
	flow_free(t.flow);
}

int main(int argc, char **argv)
{
	int32_t most = argc > 1 ? atoi(argv[1]) : sizes[ARRAY_SIZE(sizes) - 1];
	size_t i, k;

	printf("%-8s %6s %6s %9s %9s %9s\n", "load", "workers", "starts",
	       "first_us", "idle_us", "waiting_us");
	for (k = 0; k < ARRAY_SIZE(loads); k++)
		for (i = 0; i < ARRAY_SIZE(sizes) && sizes[i] <= most; i++)
			measure(&loads[k], sizes[i]);
	return 0;
}
