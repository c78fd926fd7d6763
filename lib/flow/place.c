#include <stdlib.h>
#include <string.h>

#include "flow/place_internal.h"

/*
 * Placement by best fit, a gang whole or not at all.  Load it answers: gangs of
 * tasks with all accelerators of a worker beside many tasks with one.
 */

/* Slower workers are passed over, as if they had more free accelerators. */
#define SLOW_SPEED 0.6
#define SLOW_COST 60000000
/*
 * Urgent and ordinary tasks stay on workers of their own, as if others had this
 * many more free accelerators: then whole workers become free for urgent gangs.
 */
#define APART_COST 10000000

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
	    (s->rack != ANY_RACK && w->rack_no != s->rack) ||
	    (s->last_attempt && flow_is_avoidable(w->pool) &&
	     flow_has_failed_lately(w, s->now_ms)))
		return false;
	return !*s->step->label || has_label(w, s->step->label);
}

bool flow_may_place(const struct search *s, const struct worker *w)
{
	return is_eligible(s, w) &&
		(s->kind != ROOM_FREE ||
		 flow_headroom_allows(s->job, s->step, w));
}

static int32_t on_worker(const struct search *s, const struct worker *w,
			 struct worker *const *out, int32_t n)
{
	const struct run *r;
	int32_t i, count = 0;

	for (r = w->runs; r; r = r->next)
		count += r->inst == s->inst;
	for (i = 0; i < n; i++)
		count += out[i] == w;
	return count;
}

static bool apart_enough(const struct search *s, const struct worker *w,
			 struct worker *const *out, int32_t n)
{
	return !s->step->per_worker_max ||
		on_worker(s, w, out, n) < s->step->per_worker_max;
}

/* Lower is better: a tight fit, near the data, on a worker of good record. */
static int64_t misfit(const struct search *s, const struct worker *w,
		      const struct flow_shape *room, const struct task *t)
{
	int64_t cost = (room->accelerators - s->need.accelerators) * 1000000;

	cost += (room->cpu_millicores - s->need.cpu_millicores) / 10;
	cost += (room->memory_mb - s->need.memory_mb) / 100;
	if (flow_is_urgent(s->job) ? !w->urgent_tasks : !w->ordinary_tasks)
		cost += APART_COST;
	if (w->speed < SLOW_SPEED)
		cost += (int64_t)((SLOW_SPEED - w->speed) * SLOW_COST);
	if (*s->step->data_rack && strcmp(w->rack, s->step->data_rack) != 0)
		cost += 1000000000;
	if (t->failed_on == w)
		cost += 500000000;
	return cost + w->failures_in_row * 20000000LL;
}

static struct worker *best_worker(const struct search *s, const struct task *t,
				  struct worker *const *out, int32_t n)
{
	struct worker *w, *best = NULL;
	int64_t best_cost = 0;

	for (w = s->f->workers; w; w = w->hh.next) {
		struct flow_shape room;
		int64_t cost;

		if (!flow_may_place(s, w) || !apart_enough(s, w, out, n))
			continue;
		if (s->kind == ROOM_VICTIMS) {
			if (!flow_fits(&s->need, &w->capacity))
				continue;
			cost = flow_choose_victims(s, w, false);
			if (cost < 0)
				continue;
		} else {
			room = flow_room_of(s, w, s->kind);
			if (!flow_fits(&s->need, &room))
				continue;
			cost = misfit(s, w, &room, t);
		}
		if (!best || cost < best_cost) {
			best = w;
			best_cost = cost;
		}
	}
	return best;
}

/* Workers for up to @want tasks, their room reserved. */
static int32_t fill(struct search *s, int32_t want, struct worker **out)
{
	int32_t n = 0, index = 0;

	while (n < want) {
		struct task *t;
		struct worker *w;

		while (s->inst->tasks[index].done ||
		       s->inst->tasks[index].n_runs)
			index++;
		t = &s->inst->tasks[index++];
		w = best_worker(s, t, out, n);
		if (!w)
			break;
		if (s->kind == ROOM_VICTIMS)
			s->cost += flow_choose_victims(s, w, true);
		flow_shape_add(&w->reserved, &s->need, 1);
		flow_headroom_take(s->job, w);
		out[n++] = w;
	}
	return n;
}

static void release(const struct search *s, struct worker **out, int32_t n)
{
	while (n > 0) {
		flow_shape_add(&out[--n]->reserved, &s->need, -1);
		flow_headroom_give_back(s->job, out[n]);
	}
	if (s->kind == ROOM_VICTIMS)
		flow_drop_victims(s->f);
}

/* Tasks of the step that fit on one worker. */
static int64_t slots(const struct search *s, const struct flow_shape *room)
{
	int64_t n = INT32_MAX;

	if (s->need.cpu_millicores > 0)
		n = room->cpu_millicores / s->need.cpu_millicores;
	if (s->need.memory_mb > 0 && room->memory_mb / s->need.memory_mb < n)
		n = room->memory_mb / s->need.memory_mb;
	if (s->need.accelerators > 0 &&
	    room->accelerators / s->need.accelerators < n)
		n = room->accelerators / s->need.accelerators;
	if (s->step->per_worker_max && n > s->step->per_worker_max)
		n = s->step->per_worker_max;
	return n > 0 ? n : 0;
}

static int64_t rack_slots(struct search *s, int32_t rack, bool empty)
{
	struct worker *w;
	int64_t n = 0;

	s->rack = rack;
	for (w = s->f->workers; w; w = w->hh.next) {
		struct flow_shape room;

		if (!(empty ? is_eligible(s, w) : flow_may_place(s, w)))
			continue;
		room = empty ? w->capacity : flow_room_of(s, w, s->kind);
		n += slots(s, &room);
	}
	s->rack = ANY_RACK;
	return n;
}

/* Whether an empty rack could hold all tasks. */
static bool some_rack_suffices(struct search *s, int32_t want)
{
	int32_t rack;

	for (rack = 0; rack < s->f->n_racks; rack++)
		if (rack_slots(s, rack, true) >= want)
			return true;
	return false;
}

static int32_t fill_rack(struct search *s, int32_t rack, int32_t want,
			 struct worker **out)
{
	int32_t n;

	s->rack = rack;
	s->cost = 0;
	n = fill(s, want, out);
	s->rack = ANY_RACK;
	if (n == want)
		return n;
	release(s, out, n);
	return 0;
}

/* Cost of having the tasks on a rack, or -1: what is least loaded or lost. */
static int64_t rack_cost(struct search *s, int32_t rack, int32_t want,
			 struct worker **out)
{
	int64_t n_slots = rack_slots(s, rack, s->kind == ROOM_VICTIMS);

	if (n_slots < want)
		return -1;
	if (s->kind != ROOM_VICTIMS)
		return n_slots;
	if (!fill_rack(s, rack, want, out))
		return -1;
	release(s, out, want);
	return s->cost;
}

/* The rack with the least room that suffices, or with the cheapest victims. */
static int32_t fill_one_rack(struct search *s, int32_t want,
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
	return best == ANY_RACK ? 0 : fill_rack(s, best, want, out);
}

static int32_t fill_gang(struct search *s, int32_t want, struct worker **out)
{
	int32_t n;

	if (s->one_rack) {
		n = fill_one_rack(s, want, out);
		if (n == want || !s->must_begin)
			return n;
	}
	n = fill(s, want, out);
	if (n == want)
		return n;
	release(s, out, n);
	return 0;
}

static bool is_last_attempt(const struct job *j, const struct inst *in)
{
	int32_t i;

	for (i = 0; i < flow_step_of(j, in)->tasks; i++) {
		const struct task *t = &in->tasks[i];

		if (!t->done && t->failures.n &&
		    t->failures.n >= j->q->max_attempts - 1)
			return true;
	}
	return false;
}

int32_t flow_place(struct flow *f, struct job *j, struct inst *in, int32_t want,
		   bool preempt, struct worker **out, bool *wait,
		   int64_t now_ms)
{
	struct search s = {
		.f = f,
		.job = j,
		.inst = in,
		.step = flow_step_of(j, in),
		.need = flow_room(flow_step_of(j, in)),
		.now_ms = now_ms,
		.rack = ANY_RACK,
		.last_attempt = is_last_attempt(j, in),
		.must_begin = flow_must_begin(f, j, now_ms),
	};
	enum room_kind last = preempt ? ROOM_VICTIMS : ROOM_FREE;
	int32_t n = 0;

	*wait = false;
	s.one_rack = s.step->gang && s.step->within_rack &&
		some_rack_suffices(&s, want);
	for (s.kind = ROOM_FREE; s.kind <= last; s.kind++) {
		n = s.step->gang ? fill_gang(&s, want, out) :
				   fill(&s, want, out);
		if (n == want)
			break;
		/* Single tasks take what is free; the rest waits. */
		if (s.kind == ROOM_FREE && !s.step->gang && n > 0)
			return n;
		if (s.kind != last || s.step->gang) {
			if (!s.step->gang)
				release(&s, out, n);
			n = 0;
		}
	}
	if (n > 0)
		*wait = s.kind != ROOM_FREE;
	else if (s.step->gang)
		flow_reserve(&s, want);
	flow_keep_victims(f);
	return n;
}
