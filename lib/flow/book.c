#include <stdlib.h>

#include "flow/place_internal.h"

/*
 * Books capacity for a waiting gang.  Without it, a backlog of single tasks
 * fills each worker before it is empty enough, and a gang that needs whole
 * workers never starts.  Other tasks may run in what is booked if they end in
 * time, and in what the gang will not need; else most of a pool idles while
 * several gangs wait.
 */

/*
 * A task counts as ending in time by this many times its declared run time.
 * Declared times are often too short, and a gang starts with the last of its
 * workers.
 */
#define BACKFILL_MARGIN 1.5

/**
 * struct slot - capacity for one task on a worker, available after @free_ms
 * @left: capacity of the worker that remains then
 */
struct slot {
	struct worker *worker;
	int64_t free_ms;
	struct flow_shape left;
};

struct slot_plan {
	struct array slots; /* of struct slot */
};

static int compare_run_ends(const void *a, const void *b)
{
	const struct run_end *x = a, *y = b;

	return (x->after_ms > y->after_ms) - (x->after_ms < y->after_ms);
}

static int compare_slots(const void *a, const void *b)
{
	const struct slot *x = a, *y = b;

	return (x->free_ms > y->free_ms) - (x->free_ms < y->free_ms);
}

/* Lists the runs of a worker that will end, once a round. */
static void list_run_ends(const struct search *s, struct worker *w)
{
	const struct run *r;
	struct run_end *e;

	if (w->run_ends_round == s->f->round)
		return;
	w->run_ends_round = s->f->round;
	w->run_ends.n = 0;
	for (r = w->runs; r; r = r->next) {
		if (flow_step_of(r->job, r->step_state)->endless)
			continue;
		e = flow_array_add(&w->run_ends, sizeof(*e));
		e->run = r;
		e->after_ms = r->state == RUN_STOPPING ?
			s->f->opts.stop_ms :
			flow_remaining_ms(r, s->now_ms);
	}
	if (w->run_ends.n)
		qsort(w->run_ends.items, w->run_ends.n, sizeof(*e),
		      compare_run_ends);
}

static struct flow_shape unbooked_capacity(const struct worker *w)
{
	struct flow_shape available = w->capacity;

	flow_shape_add(&available, &w->used, -1);
	flow_shape_add(&available, &w->reserved, -1);
	flow_shape_add(&available, &w->booking.need, -1);
	return available;
}

/* What the runs on loan that the gang may stop hold on the worker. */
static struct flow_shape recallable_capacity(const struct search *s,
					     const struct worker *w)
{
	struct flow_shape sum = { 0 };
	const struct run *r;

	for (r = w->runs; s->recall && r; r = r->next) {
		struct flow_shape freed =
			flow_task_shape(flow_step_of(r->job, r->step_state));

		if (flow_may_recall(s, r) && r->state != RUN_STOPPING)
			flow_shape_add(&sum, &freed, 1);
	}
	return sum;
}

/* Adds a slot for each task that fits on the worker, now or as runs end. */
static void add_slots(const struct search *s, struct worker *w,
		      struct slot_plan *p)
{
	struct flow_shape available = unbooked_capacity(w);
	const struct run_end *run_ends;
	int32_t n_found = 0;
	size_t i = 0;
	int32_t max_slots = s->step->per_worker_max ? s->step->per_worker_max :
						      s->step->tasks;
	bool recalled = !s->recall;
	int64_t free_ms = 0;

	list_run_ends(s, w);
	run_ends = w->run_ends.items;
	while (n_found < max_slots) {
		if (flow_shape_fits(&s->need, &available)) {
			struct slot *slot;

			flow_shape_add(&available, &s->need, -1);
			slot = flow_array_add(&p->slots, sizeof(*slot));
			*slot = (struct slot){
				.worker = w,
				.free_ms = free_ms,
				.left = available,
			};
			n_found++;
		} else if (!recalled) {
			struct flow_shape freed = recallable_capacity(s, w);

			recalled = true;
			if (freed.cpu_millicores || freed.memory_mb)
				free_ms = s->f->opts.stop_ms;
			flow_shape_add(&available, &freed, 1);
		} else if (i < w->run_ends.n) {
			const struct run *r = run_ends[i].run;
			struct flow_shape freed = flow_task_shape(
				flow_step_of(r->job, r->step_state));

			if (s->recall && r->state != RUN_STOPPING &&
			    flow_may_recall(s, r)) {
				i++;
				continue;
			}
			if (run_ends[i].after_ms > free_ms)
				free_ms = run_ends[i].after_ms;
			i++;
			flow_shape_add(&available, &freed, 1);
		} else {
			return;
		}
	}
}

/*
 * Time until @want tasks fit in a rack (or, if it is NULL, anywhere); -1 if
 * they never do.
 */
static int64_t find_slots(struct search *s, const struct rack *rack,
			  int32_t want, struct slot_plan *p)
{
	const struct array *list;
	struct worker **workers;
	const struct slot *slots;
	size_t i;

	p->slots.n = 0;
	s->rack = rack;
	list = flow_search_workers(s);
	workers = list->items;
	for (i = 0; i < list->n; i++)
		if (flow_worker_allowed(s, workers[i]))
			add_slots(s, workers[i], p);
	s->rack = NULL;
	if (!p->slots.n || (int32_t)p->slots.n < want)
		return -1;
	slots = p->slots.items;
	qsort(p->slots.items, p->slots.n, sizeof(*slots), compare_slots);
	return slots[want - 1].free_ms;
}

/* The rack where the tasks fit first, or NULL if they fit in none. */
static const struct rack *earliest_rack(struct search *s, int32_t want,
					struct slot_plan *p)
{
	const struct rack *rack, *best = NULL;
	int64_t best_ms = 0;

	for (rack = s->f->racks; rack; rack = rack->hh.next) {
		int64_t ms = find_slots(s, rack, want, p);

		if (ms < 0 || (best && ms >= best_ms))
			continue;
		best = rack;
		best_ms = ms;
	}
	return best;
}

static void book_slot(const struct search *s, const struct slot *slot,
		      int64_t from_ms)
{
	struct booking *b = &slot->worker->booking;

	if (b->from_ms)
		flow_shape_limit(&b->left, &slot->left);
	else
		b->left = slot->left;
	if (!b->from_ms || from_ms < b->from_ms) {
		b->from_ms = from_ms;
		b->job = s->job;
	}
	flow_shape_add(&b->need, &s->need, 1);
}

void flow_book_earliest(struct search *s, int32_t want)
{
	struct slot_plan p = { 0 };
	const struct rack *rack = NULL;
	const struct slot *slots;
	int64_t after_ms = -1;
	int32_t i;

	s->source = CAPACITY_FREE;
	if (s->one_rack)
		rack = earliest_rack(s, want, &p);
	if (!s->one_rack || rack)
		after_ms = find_slots(s, rack, want, &p);
	slots = p.slots.items;
	for (i = 0; i < want && after_ms >= 0; i++)
		book_slot(s, &slots[i], s->now_ms + after_ms);
	if (after_ms >= 0)
		flow_reservation_update(s->step_state, s->now_ms,
					s->now_ms + after_ms);
	flow_array_free(&p.slots);
}

bool flow_outlasts_booking(const struct search *s, const struct worker *w)
{
	double speed = w->speed < 1 ? w->speed : 1;
	double run_ms = BACKFILL_MARGIN * (double)s->step->declared_ms / speed;

	if (!w->booking.from_ms)
		return false;
	/* The end of a gang is less sure: it is that of its slowest task. */
	return s->step->gang || s->step->endless ||
		s->now_ms + (int64_t)run_ms > w->booking.from_ms;
}
