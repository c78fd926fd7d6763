#include <float.h>
#include <stdlib.h>

#include "decide/internal.h"

/* One attempt to place a gang. */
struct attempt {
	struct tg_fleet *f;
	const struct job *j;
	enum view v;
	bool kept; /* may use workers reserved for another job, or for itself */
	bool spare; /* may not use workers that the AZ spares */
	bool avoid; /* workers where the job failed lately */
	int64_t now_ms; /* for the work that victims would lose */
};

static bool is_avoided(const struct attempt *a, int32_t id)
{
	int32_t i;

	for (i = 0; a->avoid && i < a->j->n_failed; i++)
		if (a->j->failed[i] == id)
			return true;
	return false;
}

static int32_t count_on(const struct attempt *a, int32_t id, int32_t max)
{
	const struct worker *w = &a->f->workers[id];

	if ((w->reserved && !a->kept) || (w->spared && a->spare) ||
	    is_avoided(a, id) || w->health != TG_WORKER_UP)
		return 0;
	return res_count(a->j->need, room_of(w, a->v), max);
}

/* Upper bound of the room of one worker of the rack. */
static struct res most_room(const struct rack *r, enum view v)
{
	switch (v) {
	case VIEW_IDLE:
		return r->max_idle;
	case VIEW_FIRM:
		return res_min(r->max_idle, r->max_firm);
	case VIEW_OVER_BEYOND:
		return r->max_beyond;
	case VIEW_OVER_LENT:
		break;
	}
	return r->max_firm;
}

static int32_t count_in_rack(const struct attempt *a, int32_t rack)
{
	const struct rack *r = rack_sums(a->f, rack);
	int32_t i, n = 0;

	if (!res_fits(a->j->need, most_room(r, a->v)))
		return 0;
	for (i = 0; i < r->n_workers && n < a->j->tasks; i++)
		n += count_on(a, r->workers[i], a->j->tasks - n);
	return n;
}

struct choice {
	double cost;
	int32_t worker, n;
};

static int by_cost(const void *a, const void *b)
{
	const struct choice *x = a, *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return x->worker < y->worker ? -1 : 1;
}

static bool weighs_victims(const struct attempt *a)
{
	return a->f->policy->urgent_over_beyond &&
		(a->v == VIEW_OVER_LENT || a->v == VIEW_OVER_BEYOND);
}

static double worker_cost(const struct attempt *a, int32_t id)
{
	const struct tg_policy *p = a->f->policy;
	const struct worker *w = &a->f->workers[id];

	if (weighs_victims(a))
		return reclaim_cost(a->f, w, a->j->need, a->now_ms);
	return p->worker_cost ? p->worker_cost(a->f, a->j, w) : 0;
}

/* Workers of a rack with room for up to @n tasks, those of least cost first. */
static struct choice *choices(const struct attempt *a, int32_t rack, int32_t n,
			      size_t *n_list)
{
	const struct rack *r = &a->f->racks[rack];
	struct choice *list = tg_xcalloc((size_t)r->n_workers, sizeof(*list));
	size_t k = 0;
	int32_t i;

	for (i = 0; i < r->n_workers; i++) {
		int32_t id = r->workers[i];
		int32_t fit = count_on(a, id, n);

		if (!fit)
			continue;
		list[k].cost = worker_cost(a, id);
		list[k].worker = id;
		list[k++].n = fit;
	}
	qsort(list, k, sizeof(*list), by_cost);
	*n_list = k;
	return list;
}

/* Puts @n tasks on workers of a rack that has room for them. */
static void fill_rack(const struct attempt *a, int32_t rack, int32_t n,
		      int32_t *out)
{
	size_t k, c;
	struct choice *list = choices(a, rack, n, &k);
	int32_t i;

	for (c = 0; c < k && n; c++)
		for (i = 0; i < list[c].n && n; i++, n--)
			*out++ = list[c].worker;
	free(list);
}

static double rack_cost(const struct attempt *a, int32_t rack)
{
	const struct tg_policy *p = a->f->policy;
	int32_t left = a->j->tasks;
	struct choice *list;
	double sum = 0;
	size_t k, c;

	if (!weighs_victims(a))
		return p->rack_cost ?
			p->rack_cost(a->f, a->j, &a->f->racks[rack], left) :
			0;
	list = choices(a, rack, left, &k);
	for (c = 0; c < k && left > 0; c++) {
		sum += list[c].cost * min32(left, list[c].n);
		left -= list[c].n;
	}
	free(list);
	return sum;
}

/* Counts the tasks that fit, by rack and in all, up to the job's tasks. */
static int32_t count_in_az(const struct attempt *a, int32_t az,
			   int32_t *best_rack)
{
	const struct tg_policy *p = a->f->policy;
	const struct az *z = &a->f->azs[az];
	double best = DBL_MAX;
	int32_t i, total = 0;

	*best_rack = NONE;
	for (i = 0; i < z->n_racks; i++) {
		int32_t rack = z->racks[i], n = count_in_rack(a, rack);
		double cost;

		a->f->fit[rack] = n;
		total += n;
		if (n < a->j->tasks)
			continue;
		cost = rack_cost(a, rack);
		if (cost >= best)
			continue;
		best = cost;
		*best_rack = rack;
		if (!p->rack_cost)
			break;
	}
	return total;
}

static int by_fit(const void *a, const void *b, void *arg)
{
	const struct tg_fleet *f = arg;
	int32_t x = *(const int32_t *)a, y = *(const int32_t *)b;

	if (f->fit[x] != f->fit[y])
		return f->fit[y] - f->fit[x];
	return x - y;
}

/* As few racks as possible: those with most room first. */
static void fill_racks(const struct attempt *a, int32_t az, int32_t *out)
{
	struct tg_fleet *f = a->f;
	const struct az *z = &f->azs[az];
	int32_t i, left = a->j->tasks, *order = f->order;

	for (i = 0; i < z->n_racks; i++)
		order[i] = z->racks[i];
	if (f->policy->rack_cost)
		qsort_r(order, (size_t)z->n_racks, sizeof(*order), by_fit, f);
	for (i = 0; i < z->n_racks && left; i++) {
		int32_t n = min32(left, f->fit[order[i]]);

		if (!n)
			continue;
		fill_rack(a, order[i], n, out);
		out += n;
		left -= n;
	}
}

static bool is_misfit(struct attempt *a, struct az *z)
{
	const struct job *j = a->j;
	int32_t i;

	if (z->misfits_at != z->freed) {
		z->misfits_at = z->freed;
		z->n_misfits = 0;
	}
	for (i = 0; i < z->n_misfits; i++) {
		const struct misfit *m = &z->misfits[i];

		if (m->view == a->v && res_fits(m->need, j->need) &&
		    m->tasks <= j->tasks &&
		    (!m->within_rack || j->within_rack) &&
		    (m->kept || !a->kept) && (!m->spare || a->spare))
			return true;
	}
	return false;
}

static void add_misfit(const struct attempt *a, struct az *z)
{
	struct misfit *m;

	if (a->avoid)
		return;
	m = &z->misfits[z->n_misfits < MISFITS_MAX ? z->n_misfits++ :
						     MISFITS_MAX - 1];
	*m = (struct misfit){ .need = a->j->need,
			      .tasks = a->j->tasks,
			      .view = a->v,
			      .within_rack = a->j->within_rack,
			      .kept = a->kept,
			      .spare = a->spare };
}

static bool place_in_az(struct attempt *a, int32_t az, int32_t *out)
{
	struct az *z = &a->f->azs[az];
	int32_t rack, total;

	/*
	 * While a guarantee has no place, other firm work would only take what
	 * the guarantee may need.
	 */
	if ((a->v != VIEW_IDLE && z->at_risk) || is_misfit(a, z))
		return false;
	total = count_in_az(a, az, &rack);
	if (rack != NONE) {
		fill_rack(a, rack, a->j->tasks, out);
		return true;
	}
	if (a->j->within_rack || total < a->j->tasks) {
		add_misfit(a, z);
		return false;
	}
	fill_racks(a, az, out);
	return true;
}

bool place_gang(struct tg_fleet *f, const struct job *j, int32_t az,
		enum view v, bool kept, bool spare, int64_t now_ms,
		int32_t *out)
{
	struct attempt a = {
		.f = f,
		.j = j,
		.v = v,
		.kept = kept,
		.spare = spare,
		.now_ms = now_ms,
		.avoid = j->n_failed && now_ms < j->avoid_until_ms,
	};

	return place_in_az(&a, az, out);
}

bool place_in_slots(struct tg_fleet *f, const struct job *j,
		    struct guarantee *g, bool reclaim, int32_t *out)
{
	bool *taken = tg_xcalloc((size_t)g->tasks, sizeof(*taken));
	int32_t i, n = 0;

	for (i = 0; i < g->tasks; i++)
		if (g->slots[i].worker != NONE)
			f->room[g->slots[i].worker] =
				room_idle(&f->workers[g->slots[i].worker]);
	for (i = 0; i < g->tasks && n < j->tasks; i++) {
		int32_t id = g->slots[i].worker;

		if (g->slots[i].job || id == NONE ||
		    f->workers[id].health != TG_WORKER_UP ||
		    !res_fits(j->need, f->room[id]))
			continue;
		f->room[id] = res_sub(f->room[id], j->need);
		taken[i] = true;
		out[n++] = id;
	}
	for (i = 0; reclaim && i < g->tasks && n < j->tasks; i++) {
		int32_t id = g->slots[i].worker;

		if (taken[i] || g->slots[i].job || id == NONE ||
		    f->workers[id].health != TG_WORKER_UP)
			continue;
		out[n++] = id;
	}
	free(taken);
	return n == j->tasks;
}
