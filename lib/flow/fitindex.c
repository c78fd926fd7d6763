#include <stdlib.h>

#include "flow/place_internal.h"

/*
 * Index of the ready workers of a pool by what a best fit prefers, so that a
 * task finds its worker without a look at all of them.  It is for sites with
 * hundreds of workers, where each round places hundreds of tasks.
 *
 * A worker's key grows with its free capacity and with what speaks against it;
 * the demand of the task only shifts all keys.  The index is built when a round
 * first needs it and follows what the round places.
 */

/*
 * Workers below SLOW_SPEED are avoided: what they lack of it, times
 * SLOW_WORKER_COST, is added to their cost.
 */
#define SLOW_SPEED 0.6
#define SLOW_WORKER_COST 60000000
#define FAILURE_COST 20000000LL
/* As that of a failure: other workers go before, and mixing costs less. */
#define COLD_COST 20000000LL
/*
 * Cost of placing a task on a worker without tasks of its class, that of 10
 * free accelerators.  It keeps urgent and ordinary tasks apart, so that whole
 * workers become free for urgent gangs.
 */
#define MIXED_COST 10000000

static struct flow_shape free_capacity(const struct worker *w)
{
	struct flow_shape available = w->capacity;

	flow_shape_add(&available, &w->used, -1);
	flow_shape_add(&available, &w->reserved, -1);
	return available;
}

int64_t flow_fit_cost(const struct worker *w,
		      const struct flow_shape *available)
{
	int64_t cost = available->accelerators * FLOW_ACCELERATOR_COST +
		available->cpu_millicores / 10 + available->memory_mb / 100;

	if (w->speed < SLOW_SPEED && w->speed_class == SPEED_UNKNOWN)
		cost += (int64_t)((SLOW_SPEED - w->speed) * SLOW_WORKER_COST);
	if (w->cold)
		cost += COLD_COST;
	return cost + w->failures_in_row * FAILURE_COST;
}

enum fit_class flow_fit_class(const struct worker *w)
{
	return (enum fit_class)((w->urgent_tasks ? FIT_URGENT : 0) |
				(w->ordinary_tasks ? FIT_ORDINARY : 0));
}

int64_t flow_class_cost(const struct job *j, enum fit_class c)
{
	return c & (flow_is_urgent(j) ? FIT_URGENT : FIT_ORDINARY) ? 0 :
								     MIXED_COST;
}

static int compare_entries(const void *a, const void *b)
{
	const struct fit_entry *x = a, *y = b;

	if (x->key != y->key)
		return x->key < y->key ? -1 : 1;
	return x->number - y->number;
}

/* Index of the first entry that is not before @e. */
static size_t lower_bound(const struct array *a, const struct fit_entry *e)
{
	const struct fit_entry *items = a->items;
	size_t from = 0, to = a->n;

	while (from < to) {
		size_t middle = from + (to - from) / 2;

		if (compare_entries(&items[middle], e) < 0)
			from = middle + 1;
		else
			to = middle;
	}
	return from;
}

static struct fit_entry new_entry(struct worker *w)
{
	struct flow_shape available = free_capacity(w);

	w->fit_key = flow_fit_cost(w, &available);
	w->fit_list = (int32_t)flow_fit_class(w) * SPEED_CLASSES +
		(int32_t)w->speed_class;
	return (struct fit_entry){ w->fit_key, w->number, w };
}

static void build(struct flow *f, struct pool *p)
{
	struct worker **ready = p->ready.items;
	size_t i;

	for (i = 0; i < FIT_LISTS; i++)
		p->fit[i].n = 0;
	for (i = 0; i < p->ready.n; i++) {
		struct fit_entry e = new_entry(ready[i]), *to;

		to = flow_array_add(&p->fit[ready[i]->fit_list], sizeof(e));
		*to = e;
		ready[i]->fit_round = f->round;
	}
	for (i = 0; i < FIT_LISTS; i++)
		if (p->fit[i].n)
			qsort(p->fit[i].items, p->fit[i].n,
			      sizeof(struct fit_entry), compare_entries);
	p->fit_round = f->round;
}

void flow_index_update(struct flow *f, struct worker *w)
{
	struct fit_entry old = { w->fit_key, w->number, w }, *to, e;
	struct array *a;

	if (!w->pool || w->fit_round != f->round)
		return;
	a = &w->pool->fit[w->fit_list];
	flow_array_remove(a, lower_bound(a, &old), sizeof(old));
	e = new_entry(w);
	a = &w->pool->fit[w->fit_list];
	to = flow_array_insert(a, lower_bound(a, &e), sizeof(e));
	*to = e;
}

static bool fits(const struct search *s, struct worker *w,
		 struct worker *const *out, int32_t n)
{
	struct flow_shape available;

	if (!flow_worker_allowed(s, w) ||
	    !flow_below_worker_limit(s, w, out, n))
		return false;
	available = flow_available(s, w, s->source);
	return flow_shape_fits(&s->need, &available);
}

/* struct cursor - position in the entries of a class, and what it adds */
struct cursor {
	const struct array *a;
	size_t i;
	int64_t extra_cost;
};

static const struct fit_entry *entry_at(const struct cursor *c)
{
	const struct fit_entry *items = c->a->items;

	return c->i < c->a->n ? &items[c->i] : NULL;
}

/* The cursor whose worker costs least, or NULL after the last worker. */
static struct cursor *cheapest(struct cursor *c, size_t n)
{
	struct cursor *best = NULL;
	size_t i;

	for (i = 0; i < n; i++) {
		const struct fit_entry *e = entry_at(&c[i]), *b;
		int64_t cost, best_cost;

		if (!e)
			continue;
		b = best ? entry_at(best) : NULL;
		cost = e->key + c[i].extra_cost;
		best_cost = b ? b->key + best->extra_cost : 0;
		if (!b || cost < best_cost ||
		    (cost == best_cost && e->number < b->number))
			best = &c[i];
	}
	return best;
}

struct worker *flow_index_best(const struct search *s,
			       const struct worker *exclude,
			       struct worker *const *out, int32_t n)
{
	const struct fit_entry first = {
		.key = s->need.accelerators * FLOW_ACCELERATOR_COST,
		.number = -1,
	};
	struct cursor cursors[FIT_LISTS], *c;
	struct pool *p = s->job->pool;
	size_t n_cursors = 0, k;

	if (!p)
		return NULL;
	if (p->fit_round != s->f->round)
		build(s->f, p);
	for (k = 0; k < FIT_LISTS; k++) {
		enum fit_class class = (enum fit_class)(k / SPEED_CLASSES);
		enum speed_class speed = (enum speed_class)(k % SPEED_CLASSES);

		if (!p->fit[k].n ||
		    !flow_headroom_permits(s, class & FIT_ORDINARY))
			continue;
		cursors[n_cursors++] = (struct cursor){
			.a = &p->fit[k],
			.i = lower_bound(&p->fit[k], &first),
			.extra_cost = flow_class_cost(s->job, class) +
				flow_speed_cost(s->job, s->step, speed),
		};
	}
	while ((c = cheapest(cursors, n_cursors))) {
		struct worker *w = entry_at(c)->worker;

		if (w != exclude && fits(s, w, out, n))
			return w;
		c->i++;
	}
	return NULL;
}
