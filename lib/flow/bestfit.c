#include <stdlib.h>
#include <string.h>

#include "flow/place_internal.h"

/*
 * Chooses workers for single tasks by best fit.  Best fit is for a mix of gangs
 * whose tasks need all accelerators of a worker with many tasks that need one.
 */

/* An idle worker goes before the data, the data before recent failures. */
#define DATA_RACK_COST 1000000000
#define LAST_FAILED_COST 500000000
/*
 * Cost of placing a task that may crash its worker beside other runs, and in
 * addition for a whole worker of such runs.
 */
#define COMPANY_COST 2000000000LL
#define COMPANY_WORKER_COST 1000000000.0
#define NO_FIT INT64_MAX

/**
 * struct candidates - cost of each worker of a search, for tasks without needs
 * of their own
 * @workers: as returned by flow_search_workers()
 * @costs: by index in @workers; NO_FIT if the task doesn't fit; NULL before use
 */
struct candidates {
	const struct array *workers;
	int64_t *costs;
};

bool flow_is_eligible(const struct search *s, const struct worker *w)
{
	s->f->workers_checked++;
	if (w->pool != s->job->pool || !flow_worker_ready(w, s->now_ms) ||
	    (s->last_attempt && flow_pool_can_avoid_failing(w->pool) &&
	     flow_worker_failed_recently(w, s->now_ms)))
		return false;
	if (w->isolated_for && !s->reclaim_due &&
	    (w->isolated_for != s->job || !s->step->gang))
		return false;
	return flow_worker_has_label(w, s->step->label);
}

bool flow_search_uses_headroom(const struct search *s)
{
	return s->source == CAPACITY_KEPT &&
		(!s->on_loan || s->job->pool->underused_since_ms);
}

bool flow_headroom_permits(const struct search *s, bool runs_ordinary)
{
	return flow_search_uses_headroom(s) ||
		flow_headroom_allows(s->job, s->step, s->job->pool,
				     runs_ordinary);
}

/*
 * Runs on loan that are stopped for the search don't count.  Until then their
 * worker isn't among those without ordinary tasks.
 */
static bool headroom_permits_recall(const struct search *s,
				    const struct worker *w)
{
	const struct pool *p = w->pool;

	return w->ordinary_tasks != w->ordinary_on_loan ||
		flow_is_urgent(s->job) || s->step->endless ||
		p->n_without_ordinary + (w->ordinary_tasks > 0) >
		p->urgent_reserve;
}

bool flow_worker_allowed(const struct search *s, const struct worker *w)
{
	if (!flow_is_eligible(s, w))
		return false;
	switch (s->source) {
	case CAPACITY_STOPPING:
	case CAPACITY_VICTIMS:
		return true; /* only urgent jobs search there */
	case CAPACITY_RECALL:
		return headroom_permits_recall(s, w);
	case CAPACITY_FREE:
	case CAPACITY_KEPT:
		break;
	}
	return flow_headroom_permits(s, w->ordinary_tasks > 0);
}

const struct array *flow_search_workers(const struct search *s)
{
	static const struct array none;

	if (s->rack)
		return &s->rack->workers;
	return s->job->pool ? &s->job->pool->ready : &none;
}

static int32_t count_on_worker(const struct search *s, const struct worker *w,
			       struct worker *const *out, int32_t n)
{
	const struct run *r;
	int32_t i, count = 0;

	for (r = w->runs; r; r = r->next)
		count += r->step_state == s->step_state;
	for (i = 0; i < n; i++)
		count += out[i] == w;
	return count;
}

bool flow_below_worker_limit(const struct search *s, const struct worker *w,
			     struct worker *const *out, int32_t n)
{
	return !s->step->per_worker_max ||
		count_on_worker(s, w, out, n) < s->step->per_worker_max;
}

/* What a crash of the worker would cost others. */
static int64_t cost_of_company(const struct search *s, const struct worker *w,
			       struct worker *const *out, int32_t n)
{
	const struct run *r;
	double share = 0;

	if (!w->runs && !count_on_worker(s, w, out, n))
		return 0;
	for (r = w->runs; r; r = r->next)
		share += flow_run_share(r);
	return COMPANY_COST + (int64_t)(share * COMPANY_WORKER_COST);
}

/* Lower is better: tight fit, near the data, no recent failures. */
static int64_t placement_cost(const struct search *s, const struct worker *w,
			      const struct flow_shape *available)
{
	int64_t cost = flow_fit_cost(w, available) +
		flow_class_cost(s->job, flow_fit_class(w)) +
		flow_speed_cost(s->job, s->step, w->speed_class);

	if (s->step->data_rack && strcmp(w->rack, s->step->data_rack) != 0)
		cost += DATA_RACK_COST;
	return cost;
}

/* NO_FIT if the worker can't get the task. */
static int64_t worker_cost(const struct search *s, struct worker *w,
			   struct worker *const *out, int32_t n)
{
	struct flow_shape available;
	int64_t cost;

	if (!flow_worker_allowed(s, w) ||
	    !flow_below_worker_limit(s, w, out, n))
		return NO_FIT;
	if (s->source == CAPACITY_VICTIMS) {
		if (!flow_shape_fits(&s->need, &w->capacity))
			return NO_FIT;
		cost = flow_choose_victims(s, w, false);
		return cost < 0 ?
			NO_FIT :
			cost + flow_speed_cost(s->job, s->step, w->speed_class);
	}
	available = flow_available(s, w, s->source);
	return flow_shape_fits(&s->need, &available) ?
		placement_cost(s, w, &available) :
		NO_FIT;
}

/* For a task with a history: a failed run, or crashed workers. */
static struct worker *best_of_all(const struct search *s, const struct task *t,
				  struct worker *const *out, int32_t n)
{
	const struct array *list = flow_search_workers(s);
	struct worker **workers = list->items, *best = NULL;
	int64_t best_cost = NO_FIT;
	size_t i;

	for (i = 0; i < list->n; i++) {
		int64_t cost = worker_cost(s, workers[i], out, n);

		if (cost == NO_FIT)
			continue;
		if (t->last_failed_on == workers[i])
			cost += LAST_FAILED_COST;
		if (flow_may_crash_worker(t))
			cost += cost_of_company(s, workers[i], out, n);
		if (!best || cost < best_cost) {
			best = workers[i];
			best_cost = cost;
		}
	}
	return best;
}

static void update_candidate(const struct search *s, struct candidates *c,
			     struct worker *w, struct worker *const *out,
			     int32_t n)
{
	struct worker **workers = c->workers->items;

	if (c->costs && w->candidate < c->workers->n &&
	    workers[w->candidate] == w)
		c->costs[w->candidate] = worker_cost(s, w, out, n);
}

static struct worker *best_candidate(const struct search *s,
				     struct candidates *c,
				     struct worker *const *out, int32_t n)
{
	struct worker **workers = c->workers->items;
	size_t i, best = 0;

	if (!c->workers->n)
		return NULL;
	if (!c->costs) {
		c->costs = tg_xcalloc(c->workers->n, sizeof(*c->costs));
		for (i = 0; i < c->workers->n; i++) {
			workers[i]->candidate = i;
			c->costs[i] = worker_cost(s, workers[i], out, n);
		}
	}
	for (;;) {
		for (i = 1; i < c->workers->n; i++)
			if (c->costs[i] < c->costs[best])
				best = i;
		if (c->costs[best] == NO_FIT)
			return NULL;
		/* Earlier tasks of the step may have used up the headroom. */
		if (flow_worker_allowed(s, workers[best]))
			return workers[best];
		c->costs[best] = NO_FIT;
	}
}

static const struct rack *data_rack(const struct search *s)
{
	struct rack *r = NULL;

	if (s->step->data_rack)
		HASH_FIND_STR(s->f->racks, s->step->data_rack, r);
	return r;
}

/* From the free capacity of the whole pool: near the data if that can be. */
static struct worker *best_free(struct search *s, const struct task *t,
				struct worker *const *out, int32_t n)
{
	struct worker *w;

	s->rack = data_rack(s);
	w = s->rack ? best_of_all(s, t, out, n) : NULL;
	s->rack = NULL;
	if (!w)
		w = flow_index_best(s, t->last_failed_on, out, n);
	if (!w && t->last_failed_on)
		w = flow_index_best(s, NULL, out, n);
	return w;
}

static struct worker *best_worker(struct search *s, const struct task *t,
				  struct candidates *c,
				  struct worker *const *out, int32_t n)
{
	if (s->source != CAPACITY_VICTIMS && flow_may_crash_worker(t))
		return best_of_all(s, t, out, n);
	if ((s->source == CAPACITY_FREE || s->source == CAPACITY_KEPT) &&
	    !s->rack)
		return best_free(s, t, out, n);
	if (s->source != CAPACITY_VICTIMS && t->last_failed_on)
		return best_of_all(s, t, out, n);
	return best_candidate(s, c, out, n);
}

/* Adds (or with -1 takes back) a task to what this round places on a worker. */
static void reserve_task(const struct search *s, struct worker *w, int32_t sign)
{
	flow_shape_add(&w->reserved, &s->need, sign);
	if (flow_outlasts_booking(s, w))
		flow_shape_add(&w->booking.left, &s->need, -sign);
	if (sign > 0)
		flow_headroom_add_task(s->job, w);
	else
		flow_headroom_remove_task(s->job, w);
	flow_index_update(s->f, w);
}

/* The victims of a task that was placed may be on several workers. */
static void update_candidates(const struct search *s, struct candidates *c,
			      size_t n_victims, struct worker *const *out,
			      int32_t n)
{
	struct run **victims = s->f->victims.items;
	size_t i;

	for (i = n_victims; i < s->f->victims.n; i++)
		update_candidate(s, c, victims[i]->worker, out, n);
	update_candidate(s, c, out[n - 1], out, n);
}

int32_t flow_place_tasks(struct search *s, int32_t want, struct worker **out)
{
	struct candidates c = { .workers = flow_search_workers(s) };
	int32_t n = 0, index = 0;

	while (n < want) {
		size_t n_victims = s->f->victims.n;
		struct task *t;
		struct worker *w;

		while (s->step_state->tasks[index].done ||
		       s->step_state->tasks[index].n_runs)
			index++;
		t = &s->step_state->tasks[index++];
		w = best_worker(s, t, &c, out, n);
		if (!w)
			break;
		if (s->source == CAPACITY_VICTIMS)
			s->cost += flow_choose_victims(s, w, true) +
				flow_speed_cost(s->job, s->step,
						w->speed_class);
		reserve_task(s, w, 1);
		out[n++] = w;
		update_candidates(s, &c, n_victims, out, n);
	}
	free(c.costs);
	return n;
}

void flow_undo_tasks(const struct search *s, struct worker **out, int32_t n)
{
	while (n > 0)
		reserve_task(s, out[--n], -1);
	if (s->source == CAPACITY_VICTIMS)
		flow_rollback_victims(s->f);
}
