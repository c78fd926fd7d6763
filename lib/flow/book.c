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

/** struct run_end - a run, and the estimated time until it ends */
struct run_end {
	const struct run *run;
	int64_t after_ms;
};

struct slot_plan {
	struct slot *slots;
	int32_t n_slots, slots_size;
	struct run_end *run_ends; /* of one worker at a time */
	int32_t run_ends_size;
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

/* Makes space for item @n of an array whose items have @bytes. */
static void *grow_array(void *array, int32_t n, int32_t *size, size_t bytes)
{
	if (n < *size)
		return array;
	*size = *size ? 2 * *size : 32;
	return tg_xrealloc(array, (size_t)*size * bytes);
}

/* Lists the runs of a worker that will end, soonest first. */
static int32_t list_run_ends(const struct search *s, const struct worker *w,
			     struct slot_plan *p)
{
	const struct run *r;
	int32_t n = 0;

	for (r = w->runs; r; r = r->next) {
		if (flow_step_of(r->job, r->step_state)->endless)
			continue;
		p->run_ends = grow_array(p->run_ends, n, &p->run_ends_size,
					 sizeof(*p->run_ends));
		p->run_ends[n++] = (struct run_end){
			.run = r,
			.after_ms = r->state == RUN_STOPPING ?
				s->f->opts.stop_ms :
				flow_remaining_ms(r, s->now_ms),
		};
	}
	if (n)
		qsort(p->run_ends, (size_t)n, sizeof(*p->run_ends),
		      compare_run_ends);
	return n;
}

static struct flow_shape unbooked_capacity(const struct worker *w)
{
	struct flow_shape available = w->capacity;

	flow_shape_add(&available, &w->used, -1);
	flow_shape_add(&available, &w->reserved, -1);
	flow_shape_add(&available, &w->booking.need, -1);
	return available;
}

/* Adds a slot for each task that fits on the worker, now or as runs end. */
static void add_slots(const struct search *s, struct worker *w,
		      struct slot_plan *p)
{
	struct flow_shape available = unbooked_capacity(w);
	int32_t n = list_run_ends(s, w, p), i = 0, n_found = 0;
	int32_t max_slots = s->step->per_worker_max ? s->step->per_worker_max :
						      s->step->tasks;
	int64_t free_ms = 0;

	while (n_found < max_slots) {
		if (flow_shape_fits(&s->need, &available)) {
			flow_shape_add(&available, &s->need, -1);
			p->slots =
				grow_array(p->slots, p->n_slots, &p->slots_size,
					   sizeof(*p->slots));
			p->slots[p->n_slots++] = (struct slot){
				.worker = w,
				.free_ms = free_ms,
				.left = available,
			};
			n_found++;
		} else if (i < n) {
			const struct run *r = p->run_ends[i].run;
			struct flow_shape freed = flow_task_shape(
				flow_step_of(r->job, r->step_state));

			free_ms = p->run_ends[i++].after_ms;
			flow_shape_add(&available, &freed, 1);
		} else {
			return;
		}
	}
}

/* Time until @want tasks fit in a rack (or ANY_RACK); -1 if they never do. */
static int64_t find_slots(struct search *s, int32_t rack, int32_t want,
			  struct slot_plan *p)
{
	struct worker *w;

	p->n_slots = 0;
	s->rack = rack;
	for (w = s->f->workers; w; w = w->hh.next)
		if (flow_worker_allowed(s, w))
			add_slots(s, w, p);
	s->rack = ANY_RACK;
	if (!p->n_slots || p->n_slots < want)
		return -1;
	qsort(p->slots, (size_t)p->n_slots, sizeof(*p->slots), compare_slots);
	return p->slots[want - 1].free_ms;
}

/* The rack where the tasks fit first, or ANY_RACK if they fit in none. */
static int32_t earliest_rack(struct search *s, int32_t want,
			     struct slot_plan *p)
{
	int32_t rack, best = ANY_RACK;
	int64_t best_ms = 0;

	for (rack = 0; rack < s->f->n_racks; rack++) {
		int64_t ms = find_slots(s, rack, want, p);

		if (ms < 0 || (best != ANY_RACK && ms >= best_ms))
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
	if (!b->from_ms || from_ms < b->from_ms)
		b->from_ms = from_ms;
	flow_shape_add(&b->need, &s->need, 1);
}

void flow_book_earliest(struct search *s, int32_t want)
{
	struct slot_plan p = { 0 };
	int32_t rack = ANY_RACK, i;
	int64_t after_ms = -1;

	s->source = CAPACITY_FREE;
	if (s->one_rack)
		rack = earliest_rack(s, want, &p);
	if (!s->one_rack || rack != ANY_RACK)
		after_ms = find_slots(s, rack, want, &p);
	for (i = 0; i < want && after_ms >= 0; i++)
		book_slot(s, &p.slots[i], s->now_ms + after_ms);
	free(p.slots);
	free(p.run_ends);
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
