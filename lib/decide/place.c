#include <float.h>
#include <stdlib.h>

#include "decide/internal.h"

/* One attempt to place a gang. */
struct attempt {
	struct tg_fleet *f;
	const struct job *j;
	enum capacity_kind kind;
	bool use_reserved; /* workers of the AZ's reservation may be chosen */
	bool avoid_kept_free; /* workers that the AZ keeps free may not be
				 chosen */
	bool avoid_failed; /* workers where the job failed may not be chosen */
	int64_t now_ms; /* for the cost of victims */
};

static bool is_avoided(const struct attempt *a, int32_t id)
{
	int32_t i;

	for (i = 0; a->avoid_failed && i < a->j->n_failed_workers; i++)
		if (a->j->failed_workers[i] == id)
			return true;
	return false;
}

static int32_t tasks_on_worker(const struct attempt *a, int32_t id, int32_t max)
{
	const struct worker *w = &a->f->workers[id];

	if ((w->reserved && !a->use_reserved) ||
	    (w->kept_free && a->avoid_kept_free) || is_avoided(a, id) ||
	    w->health != TG_WORKER_UP)
		return 0;
	return res_count(a->j->need, capacity_of(w, a->kind), max);
}

/* Upper bound of the capacity of any one worker of the rack. */
static struct res rack_max_capacity(const struct rack *r,
				    enum capacity_kind kind)
{
	switch (kind) {
	case CAPACITY_IDLE:
		return r->max_idle;
	case CAPACITY_IDLE_UNCOMMITTED:
		return res_min(r->max_idle, r->max_uncommitted);
	case CAPACITY_RECLAIM_UNCOVERED:
		return r->max_urgent;
	case CAPACITY_RECLAIM_LENT:
		break;
	}
	return r->max_uncommitted;
}

static int32_t tasks_in_rack(const struct attempt *a, int32_t rack)
{
	const struct rack *r = rack_sums(a->f, rack);
	int32_t i, n = 0;

	if (!res_fits(a->j->need, rack_max_capacity(r, a->kind)))
		return 0;
	for (i = 0; i < r->n_workers && n < a->j->tasks; i++)
		n += tasks_on_worker(a, r->workers[i], a->j->tasks - n);
	return n;
}

struct candidate {
	double cost;
	int32_t worker, n; /* @n tasks fit on @worker */
};

static int by_cost(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return x->worker < y->worker ? -1 : 1;
}

static bool uses_victim_cost(const struct attempt *a)
{
	return a->f->policy->urgent_reclaims_uncovered &&
		(a->kind == CAPACITY_RECLAIM_LENT ||
		 a->kind == CAPACITY_RECLAIM_UNCOVERED);
}

static double worker_cost(const struct attempt *a, int32_t id)
{
	const struct tg_policy *p = a->f->policy;
	const struct worker *w = &a->f->workers[id];

	if (uses_victim_cost(a))
		return reclaim_cost(a->f, w, a->j->need, a->now_ms);
	return p->worker_cost ? p->worker_cost(a->f, a->j, w) : 0;
}

/*
 * Workers of a rack that hold at least one task, the cheapest first, with the
 * number of tasks that each holds, up to @n.  The caller frees the result.
 */
static struct candidate *rack_candidates(const struct attempt *a, int32_t rack,
					 int32_t n, size_t *n_candidates)
{
	const struct rack *r = &a->f->racks[rack];
	struct candidate *candidates =
		tg_xcalloc((size_t)r->n_workers, sizeof(*candidates));
	size_t k = 0;
	int32_t i;

	for (i = 0; i < r->n_workers; i++) {
		int32_t id = r->workers[i];
		int32_t fit = tasks_on_worker(a, id, n);

		if (!fit)
			continue;
		candidates[k].cost = worker_cost(a, id);
		candidates[k].worker = id;
		candidates[k++].n = fit;
	}
	qsort(candidates, k, sizeof(*candidates), by_cost);
	*n_candidates = k;
	return candidates;
}

/* Places @n tasks in a rack that holds them; @out receives the workers. */
static void fill_rack(const struct attempt *a, int32_t rack, int32_t n,
		      int32_t *out)
{
	size_t k, c;
	struct candidate *candidates = rack_candidates(a, rack, n, &k);
	int32_t i;

	for (c = 0; c < k && n; c++)
		for (i = 0; i < candidates[c].n && n; i++, n--)
			*out++ = candidates[c].worker;
	free(candidates);
}

static double rack_cost(const struct attempt *a, int32_t rack)
{
	const struct tg_policy *p = a->f->policy;
	int32_t left = a->j->tasks;
	struct candidate *candidates;
	double sum = 0;
	size_t k, c;

	if (!uses_victim_cost(a))
		return p->rack_cost ?
			p->rack_cost(a->f, a->j, &a->f->racks[rack], left) :
			0;
	candidates = rack_candidates(a, rack, left, &k);
	for (c = 0; c < k && left > 0; c++) {
		sum += candidates[c].cost * min32(left, candidates[c].n);
		left -= candidates[c].n;
	}
	free(candidates);
	return sum;
}

/*
 * Counts the tasks that fit, by rack and in all.  No more than the job's tasks
 * are counted in each rack.  @best_rack receives the cheapest rack that holds
 * all tasks, or NONE; the count may stop there.
 */
static int32_t tasks_in_az(const struct attempt *a, int32_t az,
			   int32_t *best_rack)
{
	const struct tg_policy *p = a->f->policy;
	const struct az *z = &a->f->azs[az];
	double best = DBL_MAX;
	int32_t i, total = 0;

	*best_rack = NONE;
	for (i = 0; i < z->n_racks; i++) {
		int32_t rack = z->racks[i], n = tasks_in_rack(a, rack);
		double cost;

		a->f->rack_fit[rack] = n;
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

	if (f->rack_fit[x] != f->rack_fit[y])
		return f->rack_fit[y] - f->rack_fit[x];
	return x - y;
}

/*
 * Places the job in several racks.  Racks that hold most tasks come first, so
 * that it uses as few as possible, except with first fit.
 */
static void fill_racks(const struct attempt *a, int32_t az, int32_t *out)
{
	struct tg_fleet *f = a->f;
	const struct az *z = &f->azs[az];
	int32_t i, left = a->j->tasks, *order = f->rack_order;

	for (i = 0; i < z->n_racks; i++)
		order[i] = z->racks[i];
	if (f->policy->rack_cost)
		qsort_r(order, (size_t)z->n_racks, sizeof(*order), by_fit, f);
	for (i = 0; i < z->n_racks && left; i++) {
		int32_t n = min32(left, f->rack_fit[order[i]]);

		if (!n)
			continue;
		fill_rack(a, order[i], n, out);
		out += n;
		left -= n;
	}
}

static bool failed_before(struct attempt *a, struct az *z)
{
	const struct job *j = a->j;
	int32_t i;

	if (z->failed_placements_at != z->release_seq) {
		z->failed_placements_at = z->release_seq;
		z->n_failed_placements = 0;
	}
	for (i = 0; i < z->n_failed_placements; i++) {
		const struct failed_placement *m = &z->failed_placements[i];

		if (m->kind == a->kind && res_fits(m->need, j->need) &&
		    m->tasks <= j->tasks &&
		    (!m->within_rack || j->within_rack) &&
		    (m->use_reserved || !a->use_reserved) &&
		    (!m->avoid_kept_free || a->avoid_kept_free))
			return true;
	}
	return false;
}

static void remember_failure(const struct attempt *a, struct az *z)
{
	struct failed_placement *m;

	if (a->avoid_failed)
		return;
	m = &z->failed_placements[z->n_failed_placements <
						  FAILED_PLACEMENTS_MAX ?
					  z->n_failed_placements++ :
					  FAILED_PLACEMENTS_MAX - 1];
	*m = (struct failed_placement){ .need = a->j->need,
					.tasks = a->j->tasks,
					.kind = a->kind,
					.within_rack = a->j->within_rack,
					.use_reserved = a->use_reserved,
					.avoid_kept_free = a->avoid_kept_free };
}

static bool place_in_az(struct attempt *a, int32_t az, int32_t *out)
{
	struct az *z = &a->f->azs[az];
	int32_t rack, total;

	/*
	 * While a guarantee is at risk, urgent and uncovered jobs don't start,
	 * since they could take capacity that the guarantee needs.
	 */
	if ((a->kind != CAPACITY_IDLE && z->at_risk) || failed_before(a, z))
		return false;
	total = tasks_in_az(a, az, &rack);
	if (rack != NONE) {
		fill_rack(a, rack, a->j->tasks, out);
		return true;
	}
	if (a->j->within_rack || total < a->j->tasks) {
		remember_failure(a, z);
		return false;
	}
	fill_racks(a, az, out);
	return true;
}

bool place_gang(struct tg_fleet *f, const struct job *j, int32_t az,
		enum capacity_kind kind, bool use_reserved,
		bool avoid_kept_free, int64_t now_ms, int32_t *out)
{
	struct attempt a = {
		.f = f,
		.j = j,
		.kind = kind,
		.use_reserved = use_reserved,
		.avoid_kept_free = avoid_kept_free,
		.now_ms = now_ms,
		.avoid_failed =
			j->n_failed_workers && now_ms < j->avoid_until_ms,
	};

	return place_in_az(&a, az, out);
}

bool place_in_slots(struct tg_fleet *f, const struct job *j,
		    struct guarantee *g, bool reclaim, int32_t *out)
{
	bool *chosen = tg_xcalloc((size_t)g->tasks, sizeof(*chosen));
	int32_t i, n = 0;

	for (i = 0; i < g->tasks; i++)
		if (g->slots[i].worker != NONE)
			f->avail[g->slots[i].worker] =
				idle_capacity(&f->workers[g->slots[i].worker]);
	for (i = 0; i < g->tasks && n < j->tasks; i++) {
		int32_t id = g->slots[i].worker;

		if (g->slots[i].job || id == NONE ||
		    f->workers[id].health != TG_WORKER_UP ||
		    !res_fits(j->need, f->avail[id]))
			continue;
		f->avail[id] = res_sub(f->avail[id], j->need);
		chosen[i] = true;
		out[n++] = id;
	}
	for (i = 0; reclaim && i < g->tasks && n < j->tasks; i++) {
		int32_t id = g->slots[i].worker;

		if (chosen[i] || g->slots[i].job || id == NONE ||
		    f->workers[id].health != TG_WORKER_UP)
			continue;
		out[n++] = id;
	}
	free(chosen);
	return n == j->tasks;
}
