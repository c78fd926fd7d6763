#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "drawn-load.h"

/* A worker drains or comes back as often as this, each time by chance. */
#define FLEET_CHANGE_MS 500
/* The fleet shrinks, and grows again, this many times. */
#define FLEET_CYCLES 3

static int draw(struct drawn_load *d, int n)
{
	return (int)tg_rng_below(&d->rng, (uint64_t)n);
}

static int64_t draw_arrival(struct drawn_load *d)
{
	return LOAD_STEP_MS *
		(1 + draw(d, (int)d->opts.until_ms / LOAD_STEP_MS));
}

/* Most runs take about as long as declared, some far longer. */
static void draw_run_time(struct drawn_load *d, struct load_job *j)
{
	j->declared_ms = 3000 + draw(d, 5000);
	j->run_ms = j->declared_ms * (80 + draw(d, 60)) / 100;
	if (draw(d, 12) == 0)
		j->run_ms = j->declared_ms * d->opts.overrun;
	j->spread_ms = j->gang ? 0 : draw(d, 3000);
}

static void add_gang(struct drawn_load *d)
{
	static const int32_t accelerators[] = { 2, 4, 8, 8 };
	int64_t at_ms = draw_arrival(d);
	int32_t tasks = 1 + draw(d, draw(d, 4) ? 6 : d->opts.gang_tasks_max);
	struct load_job *j = load_add(&d->load, "normal", at_ms, tasks,
				      accelerators[draw(d, 4)], 0);

	j->gang = true;
	j->within_rack = draw(d, 10) < 6;
	draw_run_time(d, j);
}

void drawn_load_add_single_tasks(struct drawn_load *d, int64_t at_ms)
{
	struct load_job *j =
		load_add(&d->load, "low", at_ms, 4 + draw(d, 20), 1, 0);

	/* The memory of a worker is the limit for some. */
	if (draw(d, 6) == 0)
		j->shape.memory_mb = 64000;
	draw_run_time(d, j);
}

static int32_t count_waiting_single_tasks(const struct load *l)
{
	int32_t n = 0;
	int i;

	for (i = 0; i < l->n_jobs; i++) {
		const struct load_job *j = &l->jobs[i];

		if (!j->gang && j->at_ms <= l->now_ms)
			n += j->tasks - j->done - j->running;
	}
	return n;
}

void drawn_load_fill_backlog(struct drawn_load *d)
{
	while (count_waiting_single_tasks(&d->load) < DRAWN_BACKLOG_TASKS)
		drawn_load_add_single_tasks(d, d->load.now_ms);
}

static void add_urgent_gang(struct drawn_load *d)
{
	int64_t at_ms = draw_arrival(d);
	struct load_job *j = load_add(&d->load, "urgent", at_ms, 1 + draw(d, 3),
				      DRAWN_ACCELERATORS, 2000);

	j->gang = true;
}

static void update_worker(struct drawn_load *d, int i)
{
	struct drawn_worker *w = &d->workers[i];
	char id[16], rack[16];
	struct flow_worker_spec s = {
		.id = id,
		.service = "s",
		.az = "a",
		.rack = rack,
		.capacity = w->capacity,
		.draining = w->draining,
	};

	snprintf(id, sizeof(id), "w%d", i);
	snprintf(rack, sizeof(rack), "r%d", i % DRAWN_RACKS);
	flow_worker_update(d->load.f, &s);
	flow_worker_set_runs_known(d->load.f, id);
}

static void add_worker(struct drawn_load *d, int i)
{
	d->workers[i] = (struct drawn_worker){
		.present = true,
		.capacity = { DRAWN_ACCELERATORS * 16000,
			      DRAWN_ACCELERATORS * 32000, DRAWN_ACCELERATORS },
	};
	update_worker(d, i);
}

static int worker_of(const struct load_run *r)
{
	return atoi(r->order.worker + 1);
}

static void add_shape(struct flow_shape *to, const struct flow_shape *s)
{
	to->cpu_millicores += s->cpu_millicores;
	to->memory_mb += s->memory_mb;
	to->accelerators += s->accelerators;
}

static void count_used(struct drawn_load *d)
{
	int i;

	for (i = 0; i < d->opts.workers; i++)
		memset(&d->workers[i].used, 0, sizeof(d->workers[i].used));
	for (i = 0; i < d->load.n_runs; i++) {
		const struct load_run *r = &d->load.runs[i];
		struct drawn_worker *w = &d->workers[worker_of(r)];

		add_shape(&w->used, &r->job->shape);
		ck_assert_int_le(w->used.accelerators,
				 w->capacity.accelerators);
	}
}

bool drawn_load_is_ready(const struct drawn_load *d, int worker)
{
	return d->workers[worker].present && !d->workers[worker].draining;
}

static int count_ready(const struct drawn_load *d)
{
	int i, n = 0;

	for (i = 0; i < d->opts.workers; i++)
		n += drawn_load_is_ready(d, i);
	return n;
}

static void remove_idle_workers(struct drawn_load *d)
{
	char id[16];
	int i;

	for (i = 0; i < d->opts.workers; i++) {
		struct drawn_worker *w = &d->workers[i];

		if (!w->present || !w->draining || w->used.cpu_millicores)
			continue;
		snprintf(id, sizeof(id), "w%d", i);
		flow_worker_remove(d->load.f, id, d->load.now_ms);
		w->present = false;
	}
}

/* Workers drain for a third of the time, and come back for another one. */
static void change_fleet(struct drawn_load *d)
{
	int64_t phase =
		3 * FLEET_CYCLES * d->load.now_ms / d->opts.until_ms % 3;
	int i = draw(d, d->opts.workers);
	struct drawn_worker *w = &d->workers[i];

	if (phase == 0 && drawn_load_is_ready(d, i) &&
	    count_ready(d) > d->opts.workers_min) {
		w->draining = true;
		d->drained_ms = d->load.now_ms;
		update_worker(d, i);
	}
	if (phase == 2 && d->opts.come_back && !w->present)
		add_worker(d, i);
}

static void write_progress(struct load *l)
{
	struct drawn_load *d = (struct drawn_load *)l;

	while (record_store_write(&d->store, l->f, RECORD_ROWS_MAX))
		;
}

/* A new owner reads the records and then the list of each worker. */
static void change_owner(struct drawn_load *d)
{
	struct load *l = &d->load;
	char id[16];
	int i, k;

	flow_free(l->f);
	l->f = fleet_new();
	load_submit(l);
	record_store_read(&d->store, l->f);
	for (i = 0; i < d->opts.workers; i++) {
		if (!d->workers[i].present)
			continue;
		update_worker(d, i);
		snprintf(id, sizeof(id), "w%d", i);
		for (k = 0; k < l->n_runs; k++) {
			struct flow_run_ref r =
				fleet_run_ref(&l->runs[k].order);

			if (worker_of(&l->runs[k]) == i)
				flow_report_run(l->f, &r, id, 0, "", l->now_ms);
		}
		flow_report_list_end(l->f, id, l->now_ms, l->now_ms);
	}
	d->takeovers++;
}

struct drawn_load *drawn_load_new(const struct drawn_opts *opts, int seed)
{
	struct drawn_load *d = tg_xcalloc(1, sizeof(*d));
	int i;

	ck_assert_int_le(opts->workers, DRAWN_WORKERS);
	d->opts = *opts;
	d->rng.state = (uint64_t)seed + 1;
	d->load.f = fleet_new();
	d->load.now_ms = LOAD_STEP_MS;
	if (opts->owners > 1)
		d->load.write = write_progress;
	for (i = 0; i < opts->workers; i++)
		add_worker(d, i);
	for (i = 0; i < opts->gangs; i++)
		add_gang(d);
	for (i = 0; i < opts->single_jobs; i++)
		drawn_load_add_single_tasks(d, draw_arrival(d));
	for (i = 0; i < opts->urgent_jobs; i++)
		add_urgent_gang(d);
	return d;
}

void drawn_load_free(struct drawn_load *d)
{
	record_store_clear(&d->store);
	flow_free(d->load.f);
	free(d);
}

void drawn_load_advance(struct drawn_load *d)
{
	struct load *l = &d->load;

	if (l->now_ms < d->opts.until_ms && l->now_ms % FLEET_CHANGE_MS == 0)
		change_fleet(d);
	if (d->takeovers + 1 < d->opts.owners &&
	    l->now_ms > d->opts.until_ms * (d->takeovers + 1) / d->opts.owners)
		change_owner(d);
	load_advance(l, l->now_ms + LOAD_STEP_MS);
	count_used(d);
	remove_idle_workers(d);
}

double drawn_load_share_used(const struct drawn_load *d)
{
	struct flow_shape used = { 0 }, all = { 0 };
	double share = 0;
	int i;

	for (i = 0; i < d->opts.workers; i++) {
		const struct drawn_worker *w = &d->workers[i];

		if (!drawn_load_is_ready(d, i))
			continue;
		add_shape(&used, &w->used);
		add_shape(&all, &w->capacity);
	}
	if (!all.cpu_millicores)
		return 1;
	share = (double)used.cpu_millicores / (double)all.cpu_millicores;
	share = fmax(share, (double)used.memory_mb / (double)all.memory_mb);
	return fmax(share,
		    (double)used.accelerators / (double)all.accelerators);
}

static int64_t min_i64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

int64_t drawn_load_count_fits(const struct drawn_load *d,
			      const struct load_job *j)
{
	const struct flow_shape *need = &j->shape;
	int64_t n = 0;
	int i;

	for (i = 0; i < d->opts.workers; i++) {
		const struct drawn_worker *w = &d->workers[i];
		int64_t cpu =
			w->capacity.cpu_millicores - w->used.cpu_millicores;
		int64_t memory = w->capacity.memory_mb - w->used.memory_mb;
		int64_t accelerators =
			w->capacity.accelerators - w->used.accelerators;

		if (drawn_load_is_ready(d, i))
			n += min_i64(min_i64(cpu / need->cpu_millicores,
					     memory / need->memory_mb),
				     accelerators / need->accelerators);
	}
	return n;
}
