#include <stdlib.h>
#include <string.h>

#include "decide/internal.h"

/*
 * Limit of the exhaustive search, in workers tried.  The search is complete for
 * fleets of tens of workers and takes a millisecond or two on large ones.
 */
#define SEARCH_STEPS_MAX 300000
/* Limit of the slots of an AZ, and so of the depth of recursion. */
#define SEARCH_SLOTS_MAX 4096

static bool is_in_force_in(const struct guarantee *g, int32_t az)
{
	return g->az == az && !g->lapsed;
}

/* Rack that a within_rack guarantee is bound to by its used slots, or NONE. */
static int32_t fixed_rack(const struct tg_fleet *f, const struct guarantee *g)
{
	int32_t i;

	for (i = 0; g->within_rack && i < g->tasks; i++)
		if (g->slots[i].job)
			return f->workers[g->slots[i].worker].rack;
	return NONE;
}

static struct res slot_capacity(const struct worker *w)
{
	return w->health == TG_WORKER_UP ? uncommitted_capacity(w) :
					   (struct res){ 0 };
}

static int32_t slots_in_rack(struct tg_fleet *f, int32_t rack, struct res need,
			     int32_t max)
{
	const struct rack *r = rack_sums(f, rack);
	int32_t i, n = 0;

	if (!res_fits(need, r->max_uncommitted))
		return 0;
	for (i = 0; i < r->n_workers && n < max; i++)
		n += res_count(need, slot_capacity(&f->workers[r->workers[i]]),
			       max - n);
	return n;
}

/*
 * The worker with the least uncommitted capacity that holds a slot, and among
 * equals the one with the least lent use, so that workers that are entirely
 * free are left for larger slots.
 */
static int32_t tightest_worker(const struct tg_fleet *f, const struct rack *r,
			       struct res need)
{
	int32_t i, best = NONE;
	int64_t best_cost = INT64_MAX;

	for (i = 0; i < r->n_workers; i++) {
		int32_t id = r->workers[i];
		struct res avail = slot_capacity(&f->workers[id]);
		int64_t cost = avail.acc * 1000LL + f->workers[id].lent.acc;

		if (!res_fits(need, avail) || cost >= best_cost)
			continue;
		best_cost = cost;
		best = id;
	}
	return best;
}

static void fill_from_rack(struct tg_fleet *f, struct guarantee *g,
			   int32_t rack)
{
	int32_t i, id;

	for (i = 0; i < g->tasks; i++) {
		if (g->slots[i].worker != NONE)
			continue;
		id = tightest_worker(f, &f->racks[rack], g->need);
		if (id == NONE)
			return;
		slot_set(f, g, &g->slots[i], id);
	}
}

static int32_t count_unplaced(const struct guarantee *g)
{
	int32_t i, n = 0;

	for (i = 0; i < g->tasks; i++)
		n += g->slots[i].worker == NONE;
	return n;
}

/*
 * The rack that holds most slots, up to @n, and among equals the one with the
 * least uncommitted capacity, then the least lent use.  @fit receives the
 * number of slots.
 */
static int32_t tightest_rack(struct tg_fleet *f, const struct guarantee *g,
			     int32_t n, int32_t *fit)
{
	const struct az *az = &f->azs[g->az];
	int32_t i, best = NONE;
	int64_t best_cost = INT64_MAX;

	*fit = 0;
	for (i = 0; i < az->n_racks; i++) {
		const struct rack *r = rack_sums(f, az->racks[i]);
		int32_t k = slots_in_rack(f, az->racks[i], g->need, n);
		int64_t cost = 0;
		int32_t m;

		if (!k || k < *fit)
			continue;
		for (m = 0; m < r->n_workers; m++) {
			const struct worker *w = &f->workers[r->workers[m]];

			cost += slot_capacity(w).acc * 1000LL + w->lent.acc;
		}
		if (k == *fit && cost >= best_cost)
			continue;
		*fit = k;
		best = az->racks[i];
		best_cost = cost;
	}
	return best;
}

static bool place_unplaced(struct tg_fleet *f, struct guarantee *g)
{
	int32_t n = count_unplaced(g), rack = fixed_rack(f, g), fit;

	if (rack != NONE) {
		fill_from_rack(f, g, rack);
		return !count_unplaced(g);
	}
	while (n) {
		rack = tightest_rack(f, g, n, &fit);
		if (rack == NONE || (g->within_rack && fit < n))
			return false;
		fill_from_rack(f, g, rack);
		n = count_unplaced(g);
	}
	return true;
}

static void unplace_unused(struct tg_fleet *f, struct guarantee *g)
{
	int32_t i;

	for (i = 0; i < g->tasks; i++)
		if (!g->slots[i].job)
			slot_set(f, g, &g->slots[i], NONE);
}

/*
 * Unplaces unused slots on workers that are no longer up.  If a within_rack
 * guarantee is not placed whole then, all its slots are unplaced, unless used
 * slots bind it to its rack.
 */
static void unplace_lost(struct tg_fleet *f, struct guarantee *g)
{
	int32_t i, n_unplaced = 0;

	for (i = 0; i < g->tasks; i++) {
		struct slot *s = &g->slots[i];

		if (s->job)
			continue;
		if (s->worker != NONE &&
		    f->workers[s->worker].health != TG_WORKER_UP)
			slot_set(f, g, s, NONE);
		n_unplaced += s->worker == NONE;
	}
	if (n_unplaced && g->within_rack && fixed_rack(f, g) == NONE)
		unplace_unused(f, g);
}

/* --- exhaustive search --- */

struct search_slot {
	struct guarantee *g;
	int32_t slot;
};

struct search {
	struct tg_fleet *f;
	int32_t az;
	struct search_slot *slots;
	int32_t n;
	int64_t steps;
};

static bool equal_worker_tried(const struct search *s, const struct rack *r,
			       int32_t first, int32_t i)
{
	struct res a = s->f->avail[r->workers[i]];
	int32_t k;

	for (k = first; k < i; k++) {
		struct res b = s->f->avail[r->workers[k]];

		if (a.acc == b.acc && a.cores == b.cores && a.mem == b.mem)
			return true;
	}
	return false;
}

static bool search_from(struct search *s, int32_t n);

static bool search_rack(struct search *s, int32_t n, int32_t rack,
			int32_t first)
{
	const struct rack *r = &s->f->racks[rack];
	struct guarantee *g = s->slots[n].g;
	struct slot *slot = &g->slots[s->slots[n].slot];
	int32_t i;

	for (i = first; i < r->n_workers && s->steps-- > 0; i++) {
		struct res *avail = &s->f->avail[r->workers[i]];

		/* A worker with equal capacity would give the same result. */
		if (!res_fits(g->need, *avail) ||
		    equal_worker_tried(s, r, first, i))
			continue;
		*avail = res_sub(*avail, g->need);
		slot->worker = r->workers[i];
		if (search_from(s, n + 1))
			return true;
		*avail = res_add(*avail, g->need);
		slot->worker = NONE;
	}
	return false;
}

static int32_t index_in(const int32_t *a, int32_t n, int32_t v)
{
	int32_t i;

	for (i = 0; i < n; i++)
		if (a[i] == v)
			return i;
	return 0;
}

/*
 * Places slot @n of the search and all after it.  Slots of one guarantee are
 * interchangeable, so each is only tried on the worker of the one before and on
 * later workers.
 */
static bool search_from(struct search *s, int32_t n)
{
	const struct az *az = &s->f->azs[s->az];
	int32_t i = 0, last = az->n_racks - 1, first = 0, fixed;
	struct guarantee *g;

	if (n == s->n)
		return true;
	g = s->slots[n].g;
	if (n && s->slots[n - 1].g == g) {
		int32_t w = g->slots[s->slots[n - 1].slot].worker;
		const struct rack *r = &s->f->racks[s->f->workers[w].rack];

		i = index_in(az->racks, az->n_racks, s->f->workers[w].rack);
		first = index_in(r->workers, r->n_workers, w);
		if (g->within_rack)
			last = i;
	} else {
		fixed = fixed_rack(s->f, g);
		if (fixed != NONE)
			i = last = index_in(az->racks, az->n_racks, fixed);
	}
	for (; i <= last; i++, first = 0) {
		if (search_rack(s, n, az->racks[i], first))
			return true;
		if (s->steps <= 0)
			return false;
	}
	return false;
}

static int by_size(const void *a, const void *b)
{
	const struct search_slot *x = a, *y = b;
	int64_t n;

	if (x->g != y->g) {
		n = (int64_t)y->g->within_rack - x->g->within_rack;
		if (!n)
			n = y->g->need.acc - x->g->need.acc;
		if (!n)
			n = y->g->tasks - x->g->tasks;
		if (n)
			return n < 0 ? -1 : 1;
		return x->g < y->g ? -1 : 1;
	}
	return x->slot - y->slot;
}

static bool search_az(struct tg_fleet *f, int32_t az)
{
	struct search s = { .f = f, .az = az, .steps = SEARCH_STEPS_MAX };
	size_t i;
	int32_t k, worker;
	bool found;

	for (i = 0; i < f->n_guarantees; i++)
		if (is_in_force_in(&f->guarantees[i], az))
			s.n += count_unplaced(&f->guarantees[i]);
	if (s.n > SEARCH_SLOTS_MAX)
		return false;
	s.slots = tg_xcalloc((size_t)s.n, sizeof(*s.slots));
	s.n = 0;
	for (i = 0; i < f->n_guarantees; i++) {
		struct guarantee *g = &f->guarantees[i];

		for (k = 0; is_in_force_in(g, az) && k < g->tasks; k++)
			if (g->slots[k].worker == NONE)
				s.slots[s.n++] = (struct search_slot){ g, k };
	}
	qsort(s.slots, (size_t)s.n, sizeof(*s.slots), by_size);
	for (k = 0; k < f->n_workers; k++)
		f->avail[k] = slot_capacity(&f->workers[k]);
	found = search_from(&s, 0);
	/* The search set the slots without accounting for them. */
	for (k = 0; k < s.n; k++) {
		struct slot *slot = &s.slots[k].g->slots[s.slots[k].slot];

		worker = slot->worker;
		slot->worker = NONE;
		if (found)
			slot_set(f, s.slots[k].g, slot, worker);
	}
	free(s.slots);
	return found;
}

/* --- plan of an AZ --- */

static int by_demand(const void *a, const void *b)
{
	const struct guarantee *x = *(struct guarantee *const *)a;
	const struct guarantee *y = *(struct guarantee *const *)b;
	int64_t n = (int64_t)y->within_rack - x->within_rack;

	if (!n)
		n = (int64_t)y->tasks * y->need.acc -
			(int64_t)x->tasks * x->need.acc;
	if (n)
		return n < 0 ? -1 : 1;
	return x < y ? -1 : 1;
}

static bool place_all(struct tg_fleet *f, struct guarantee **list, size_t n)
{
	bool all = true;
	size_t i;

	for (i = 0; i < n; i++)
		if (!place_unplaced(f, list[i]))
			all = false;
	return all;
}

static int32_t *save_placement(struct guarantee **list, size_t n)
{
	size_t i, total = 0;
	int32_t *out, k;

	for (i = 0; i < n; i++)
		total += (size_t)list[i]->tasks;
	out = tg_xcalloc(total, sizeof(*out));
	for (total = 0, i = 0; i < n; i++)
		for (k = 0; k < list[i]->tasks; k++)
			out[total++] = list[i]->slots[k].worker;
	return out;
}

static void restore_placement(struct tg_fleet *f, struct guarantee **list,
			      size_t n, const int32_t *placement)
{
	size_t i, at = 0;
	int32_t k;

	for (i = 0; i < n; i++)
		unplace_unused(f, list[i]);
	for (i = 0; i < n; i++)
		for (k = 0; k < list[i]->tasks; k++, at++)
			if (!list[i]->slots[k].job)
				slot_set(f, list[i], &list[i]->slots[k],
					 placement[at]);
}

/*
 * Unplaces a within_rack guarantee of which only some slots could be placed,
 * unless used slots bind it to its rack.
 */
static void unplace_partial(struct tg_fleet *f, struct guarantee *g)
{
	if (count_unplaced(g) && g->within_rack && fixed_rack(f, g) == NONE)
		unplace_unused(f, g);
}

static bool replan_all(struct tg_fleet *f, int32_t az, struct guarantee **list,
		       size_t n)
{
	int32_t *placement = save_placement(list, n);
	bool all;
	size_t i;

	for (i = 0; i < n; i++)
		unplace_unused(f, list[i]);
	all = place_all(f, list, n);
	if (!all) {
		for (i = 0; i < n; i++)
			unplace_unused(f, list[i]);
		all = search_az(f, az);
	}
	if (!all)
		restore_placement(f, list, n, placement);
	free(placement);
	return all;
}

void plan_az(struct tg_fleet *f, int32_t az)
{
	struct guarantee **list =
		tg_xcalloc(f->n_guarantees, sizeof(struct guarantee *));
	size_t i, n = 0;
	bool all;

	f->azs[az].needs_replan = false;
	for (i = 0; i < f->n_guarantees; i++)
		if (is_in_force_in(&f->guarantees[i], az))
			list[n++] = &f->guarantees[i];
	qsort(list, n, sizeof(struct guarantee *), by_demand);
	for (i = 0; i < n; i++)
		unplace_lost(f, list[i]);
	all = place_all(f, list, n);
	if (!all)
		all = replan_all(f, az, list, n);
	for (i = 0; i < n; i++)
		unplace_partial(f, list[i]);
	f->azs[az].at_risk = !all;
	free(list);
}

void plan_check(struct tg_fleet *f)
{
	int32_t i;

	guarantee_bind_adopted(f);
	for (i = 0; i < f->n_azs; i++)
		if (f->azs[i].needs_replan)
			plan_az(f, i);
}

void plan_clear(struct tg_fleet *f, int32_t az)
{
	size_t i;

	for (i = 0; i < f->n_guarantees; i++)
		if (is_in_force_in(&f->guarantees[i], az))
			unplace_unused(f, &f->guarantees[i]);
	f->azs[az].needs_replan = true;
}

void plan_lapse(struct tg_fleet *f, int64_t now_ms)
{
	size_t i;
	int32_t k;

	for (i = 0; i < f->n_guarantees; i++) {
		struct guarantee *g = &f->guarantees[i];

		if (g->lapsed || now_ms < g->lapses_ms)
			continue;
		for (k = 0; k < g->tasks; k++) {
			struct slot *s = &g->slots[k];

			if (s->job)
				guarantee_unbind(f, s->job);
			slot_set(f, g, s, NONE);
		}
		g->lapsed = true;
		f->azs[g->az].needs_replan = true;
	}
}

static bool can_bind(const struct tg_fleet *f, const struct guarantee *g,
		     const struct job *j)
{
	int32_t i, unused = 0, rack = fixed_rack(f, g);

	/* A job that is being reclaimed gets slots when it starts again. */
	if (j->reclaiming || g->ws != j->ws || g->lapsed ||
	    !res_fits(j->need, g->need) ||
	    f->workers[j->workers[0]].az != g->az)
		return false;
	for (i = 0; i < g->tasks; i++)
		unused += !g->slots[i].job;
	if (unused < j->tasks)
		return false;
	if (!g->within_rack)
		return true;
	if (rack == NONE)
		rack = f->workers[j->workers[0]].rack;
	for (i = 0; i < j->tasks; i++)
		if (f->workers[j->workers[i]].rack != rack)
			return false;
	return true;
}

bool plan_bind(struct tg_fleet *f, struct guarantee *g, struct job *j)
{
	int32_t i, k = 0;

	if (!can_bind(f, g, j))
		return false;
	unplace_unused(f, g);
	for (i = 0; i < j->tasks; i++, k++) {
		struct worker *w = &f->workers[j->workers[i]];
		struct res avail = res_add(uncommitted_capacity(w), j->need);

		while (g->slots[k].job)
			k++;
		if (!res_fits(g->need, avail))
			break;
		usage_set_covered(w, j, 1);
		g->slots[k].job = j;
		slot_set(f, g, &g->slots[k], j->workers[i]);
	}
	if (i == j->tasks) {
		j->g = g;
		return true;
	}
	while (i-- > 0)
		usage_set_covered(&f->workers[j->workers[i]], j, -1);
	for (k = 0; k < g->tasks; k++)
		if (g->slots[k].job == j) {
			g->slots[k].job = NULL;
			slot_set(f, g, &g->slots[k], NONE);
		}
	return false;
}
