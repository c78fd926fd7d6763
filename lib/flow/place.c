#include <stdlib.h>
#include <string.h>

#include "flow/place_internal.h"

/*
 * Places tasks by best fit, and gangs as a whole or not at all.  Best fit is
 * for a mix of gangs whose tasks need all accelerators of a worker with many
 * tasks that need one.
 */

/*
 * Workers below SLOW_SPEED are avoided: what they lack of it, times
 * SLOW_WORKER_COST, is added to their placement cost.  One free accelerator
 * that the task doesn't need costs 1000000.
 */
#define SLOW_SPEED 0.6
#define SLOW_WORKER_COST 60000000
/*
 * Cost of placing a task on a worker without tasks of its class, that of 10
 * free accelerators.  It keeps urgent and ordinary tasks apart, so that whole
 * workers become free for urgent gangs.
 */
#define MIXED_COST 10000000
/*
 * Cost of placing a task that may crash its worker beside other runs, and in
 * addition for a whole worker of such runs.  An idle worker goes before the
 * data.
 */
#define COMPANY_COST 2000000000LL
#define COMPANY_WORKER_COST 1000000000.0

static bool has_label(const struct worker *w, const char *label)
{
	int32_t i;

	for (i = 0; i < w->n_labels; i++)
		if (!strcmp(w->labels[i], label))
			return true;
	return false;
}

static bool is_eligible(const struct search *s, const struct worker *w)
{
	if (!flow_worker_ready(w, s->now_ms) || w->pool != s->job->pool ||
	    (s->rack != ANY_RACK && w->rack_index != s->rack) ||
	    (s->last_attempt && flow_pool_can_avoid_failing(w->pool) &&
	     flow_worker_failed_recently(w, s->now_ms)))
		return false;
	if (w->isolated_for && !s->reclaim_due &&
	    (w->isolated_for != s->job || !s->step->gang))
		return false;
	return !*s->step->label || has_label(w, s->step->label);
}

bool flow_worker_allowed(const struct search *s, const struct worker *w)
{
	return is_eligible(s, w) &&
		(s->source != CAPACITY_FREE ||
		 flow_headroom_allows(s->job, s->step, w));
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

static bool below_worker_limit(const struct search *s, const struct worker *w,
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
			      const struct flow_shape *available,
			      const struct task *t)
{
	int64_t cost =
		(available->accelerators - s->need.accelerators) * 1000000;

	cost += (available->cpu_millicores - s->need.cpu_millicores) / 10;
	cost += (available->memory_mb - s->need.memory_mb) / 100;
	if (flow_is_urgent(s->job) ? !w->urgent_tasks : !w->ordinary_tasks)
		cost += MIXED_COST;
	if (w->speed < SLOW_SPEED)
		cost += (int64_t)((SLOW_SPEED - w->speed) * SLOW_WORKER_COST);
	if (*s->step->data_rack && strcmp(w->rack, s->step->data_rack) != 0)
		cost += 1000000000;
	if (t->last_failed_on == w)
		cost += 500000000;
	return cost + w->failures_in_row * 20000000LL;
}

static struct worker *best_worker(const struct search *s, const struct task *t,
				  struct worker *const *out, int32_t n)
{
	struct worker *w, *best = NULL;
	int64_t best_cost = 0;

	for (w = s->f->workers; w; w = w->hh.next) {
		struct flow_shape available;
		int64_t cost;

		if (!flow_worker_allowed(s, w) ||
		    !below_worker_limit(s, w, out, n))
			continue;
		if (s->source == CAPACITY_VICTIMS) {
			if (!flow_shape_fits(&s->need, &w->capacity))
				continue;
			cost = flow_choose_victims(s, w, false);
			if (cost < 0)
				continue;
		} else {
			available = flow_available(s, w, s->source);
			if (!flow_shape_fits(&s->need, &available))
				continue;
			cost = placement_cost(s, w, &available, t);
			if (flow_may_crash_worker(t))
				cost += cost_of_company(s, w, out, n);
		}
		if (!best || cost < best_cost) {
			best = w;
			best_cost = cost;
		}
	}
	return best;
}

/* Adds (or with -1 takes back) a task to what this round places on a worker. */
static void reserve_task(const struct search *s, struct worker *w, int32_t sign)
{
	flow_shape_add(&w->reserved, &s->need, sign);
	if (flow_outlasts_booking(s, w))
		flow_shape_add(&w->booking.left, &s->need, -sign);
}

/* Chooses workers for up to @want tasks and reserves their capacity. */
static int32_t place_tasks(struct search *s, int32_t want, struct worker **out)
{
	int32_t n = 0, index = 0;

	while (n < want) {
		struct task *t;
		struct worker *w;

		while (s->step_state->tasks[index].done ||
		       s->step_state->tasks[index].n_runs)
			index++;
		t = &s->step_state->tasks[index++];
		w = best_worker(s, t, out, n);
		if (!w)
			break;
		if (s->source == CAPACITY_VICTIMS)
			s->cost += flow_choose_victims(s, w, true);
		reserve_task(s, w, 1);
		flow_headroom_add_task(s->job, w);
		out[n++] = w;
	}
	return n;
}

static void undo_placement(const struct search *s, struct worker **out,
			   int32_t n)
{
	while (n > 0) {
		reserve_task(s, out[--n], -1);
		flow_headroom_remove_task(s->job, out[n]);
	}
	if (s->source == CAPACITY_VICTIMS)
		flow_rollback_victims(s->f);
}

/* Number of tasks of the step that fit into @available of one worker. */
static int64_t fit_count(const struct search *s,
			 const struct flow_shape *available)
{
	int64_t n = INT32_MAX;

	if (s->need.cpu_millicores > 0)
		n = available->cpu_millicores / s->need.cpu_millicores;
	if (s->need.memory_mb > 0 &&
	    available->memory_mb / s->need.memory_mb < n)
		n = available->memory_mb / s->need.memory_mb;
	if (s->need.accelerators > 0 &&
	    available->accelerators / s->need.accelerators < n)
		n = available->accelerators / s->need.accelerators;
	if (s->step->per_worker_max && n > s->step->per_worker_max)
		n = s->step->per_worker_max;
	return n > 0 ? n : 0;
}

static int64_t rack_fit_count(struct search *s, int32_t rack, bool empty)
{
	struct worker *w;
	int64_t n = 0;

	s->rack = rack;
	for (w = s->f->workers; w; w = w->hh.next) {
		struct flow_shape available;

		if (!(empty ? is_eligible(s, w) : flow_worker_allowed(s, w)))
			continue;
		available =
			empty ? w->capacity : flow_available(s, w, s->source);
		n += fit_count(s, &available);
	}
	s->rack = ANY_RACK;
	return n;
}

/* Whether all tasks would fit in some rack if it were idle. */
static bool fits_in_one_rack(struct search *s, int32_t want)
{
	int32_t rack;

	for (rack = 0; rack < s->f->n_racks; rack++)
		if (rack_fit_count(s, rack, true) >= want)
			return true;
	return false;
}

static int32_t place_in_rack(struct search *s, int32_t rack, int32_t want,
			     struct worker **out)
{
	int32_t n;

	s->rack = rack;
	s->cost = 0;
	n = place_tasks(s, want, out);
	s->rack = ANY_RACK;
	if (n == want)
		return n;
	undo_placement(s, out, n);
	return 0;
}

/* Number of tasks that fit, or work lost; -1 if the tasks can't be placed. */
static int64_t rack_cost(struct search *s, int32_t rack, int32_t want,
			 struct worker **out)
{
	int64_t n_slots =
		rack_fit_count(s, rack, s->source == CAPACITY_VICTIMS);

	if (n_slots < want)
		return -1;
	if (s->source != CAPACITY_VICTIMS)
		return n_slots;
	if (!place_in_rack(s, rack, want, out))
		return -1;
	undo_placement(s, out, want);
	return s->cost;
}

/* Best fit among racks, or the rack where the least work is lost. */
static int32_t place_in_best_rack(struct search *s, int32_t want,
				  struct worker **out)
{
	int32_t rack, best = ANY_RACK;
	int64_t best_cost = 0;

	for (rack = 0; rack < s->f->n_racks; rack++) {
		int64_t cost = rack_cost(s, rack, want, out);

		if (cost < 0 || (best != ANY_RACK && cost >= best_cost))
			continue;
		best = rack;
		best_cost = cost;
	}
	return best == ANY_RACK ? 0 : place_in_rack(s, best, want, out);
}

static int32_t place_gang_tasks(struct search *s, int32_t want,
				struct worker **out)
{
	int32_t n;

	if (s->one_rack) {
		n = place_in_best_rack(s, want, out);
		if (n == want || !s->reclaim_due)
			return n;
	}
	n = place_tasks(s, want, out);
	if (n == want)
		return n;
	undo_placement(s, out, n);
	return 0;
}

static bool is_last_attempt(const struct job *j, const struct step_state *ss)
{
	int32_t i;

	for (i = 0; i < flow_step_of(j, ss)->tasks; i++) {
		const struct task *t = &ss->tasks[i];

		if (!t->done && t->failures.n &&
		    t->failures.n >= j->queue_conf->max_attempts - 1)
			return true;
	}
	return false;
}

int32_t flow_place(struct flow *f, struct job *j, struct step_state *ss,
		   int32_t want, bool preempt, struct worker **out, bool *wait,
		   int64_t now_ms)
{
	struct search s = {
		.f = f,
		.job = j,
		.step_state = ss,
		.step = flow_step_of(j, ss),
		.need = flow_task_shape(flow_step_of(j, ss)),
		.now_ms = now_ms,
		.rack = ANY_RACK,
		.last_attempt = is_last_attempt(j, ss),
		.reclaim_due = flow_reclaim_due(f, j, now_ms),
	};
	enum capacity_source last_source =
		preempt ? CAPACITY_VICTIMS : CAPACITY_FREE;
	int32_t n = 0;

	*wait = false;
	s.one_rack = s.step->gang && s.step->within_rack &&
		fits_in_one_rack(&s, want);
	for (s.source = CAPACITY_FREE; s.source <= last_source; s.source++) {
		n = s.step->gang ? place_gang_tasks(&s, want, out) :
				   place_tasks(&s, want, out);
		if (n == want)
			break;
		/* Single tasks use what is free now; the others wait. */
		if (s.source == CAPACITY_FREE && !s.step->gang && n > 0)
			return n;
		if (s.source != last_source || s.step->gang) {
			if (!s.step->gang)
				undo_placement(&s, out, n);
			n = 0;
		}
	}
	if (n > 0)
		*wait = s.source != CAPACITY_FREE;
	else if (s.step->gang)
		flow_book_earliest(&s, want);
	flow_commit_victims(f);
	return n;
}
