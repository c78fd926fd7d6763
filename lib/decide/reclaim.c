#include <float.h>

#include "decide/internal.h"

static struct res idle_capacity_after_stops(const struct worker *w)
{
	return res_add(idle_capacity(w), w->stopping);
}

static bool has_shortage(struct res avail)
{
	return avail.acc < 0 || avail.cores < 0 || avail.mem < 0;
}

bool assigned_job_fits(const struct tg_fleet *f, const struct job *j)
{
	bool committed = !j->g && j->class != TG_CLASS_LENT;
	int32_t i;

	for (i = 0; i < j->tasks; i++) {
		const struct worker *w = &f->workers[j->workers[i]];

		if (has_shortage(idle_capacity(w)) ||
		    (committed && has_shortage(uncommitted_capacity(w))))
			return false;
	}
	return true;
}

/*
 * Share of a worker's shortage that stopping the tasks of a job there makes up
 * for: the sum over resources, where each counts for at most 1.
 */
static double shortage_relief(const struct worker_job *r, struct res avail)
{
	const struct res *n = &r->job->need;
	double sum = 0;

	if (avail.acc < 0)
		sum += (double)min32(-avail.acc, r->n * n->acc) / -avail.acc;
	if (avail.cores < 0)
		sum += (double)min32(-avail.cores, r->n * n->cores) /
			-avail.cores;
	if (avail.mem < 0)
		sum += (double)min32(-avail.mem, r->n * n->mem) / -avail.mem;
	return sum;
}

static struct job *best_victim(const struct tg_fleet *f, const struct worker *w,
			       bool uncovered, struct res avail, int64_t now_ms)
{
	struct job *best = NULL;
	double best_cost = DBL_MAX, gain, cost;
	int32_t i;

	for (i = 0; i < w->n_jobs; i++) {
		struct job *j = w->jobs[i].job;

		if (j->reclaiming || j->state != JOB_RUNNING ||
		    (uncovered ? !job_is_uncovered(j) :
				 j->class != TG_CLASS_LENT))
			continue;
		gain = shortage_relief(&w->jobs[i], avail);
		if (gain <= 0)
			continue;
		cost = f->policy->victim_cost(f, j, now_ms) / gain;
		if (cost >= best_cost)
			continue;
		best_cost = cost;
		best = j;
	}
	return best;
}

/*
 * If committed work and the plan exceed the worker, only uncovered jobs can
 * yield.  Once they fit together, any further shortage can be made up for by
 * lent jobs alone.
 */
static struct job *next_victim(const struct tg_fleet *f, const struct worker *w,
			       int64_t now_ms)
{
	struct res uncommitted = uncommitted_capacity(w),
		   idle_soon = idle_capacity_after_stops(w);
	struct job *victim = NULL;

	if (has_shortage(uncommitted))
		victim = best_victim(f, w, true, uncommitted, now_ms);
	if (!victim && has_shortage(idle_soon))
		victim = best_victim(f, w, false, idle_soon, now_ms);
	return victim;
}

size_t reclaim_for(struct tg_fleet *f, const struct job *j, int64_t now_ms,
		   struct job **victims, size_t max)
{
	size_t n = 0;
	int32_t i;

	for (i = 0; i < j->tasks; i++) {
		const struct worker *w = &f->workers[j->workers[i]];
		struct job *victim;

		while (n < max &&
		       (victim = next_victim(f, w, now_ms)) != NULL) {
			usage_mark_stopping(f, victim);
			victims[n++] = victim;
		}
	}
	return n;
}

/*
 * Estimated cost of victims of one kind that release @deficit accelerators.
 * Jobs are counted in the order of the worker's list, not by cost.
 */
static double cost_of_victims(const struct tg_fleet *f, const struct worker *w,
			      bool uncovered, int32_t deficit, int64_t now_ms)
{
	double sum = 0;
	int32_t i;

	for (i = 0; i < w->n_jobs && deficit > 0; i++) {
		const struct job *j = w->jobs[i].job;

		if (uncovered ? !job_is_uncovered(j) :
				j->class != TG_CLASS_LENT)
			continue;
		if (!j->reclaiming)
			sum += f->policy->victim_cost(f, j, now_ms);
		deficit -= w->jobs[i].n * j->need.acc;
	}
	return sum;
}

double reclaim_cost(const struct tg_fleet *f, const struct worker *w,
		    struct res need, int64_t now_ms)
{
	int32_t uncovered_deficit = need.acc - uncommitted_capacity(w).acc;
	int32_t total_deficit = need.acc - idle_capacity_after_stops(w).acc;

	return cost_of_victims(f, w, true, uncovered_deficit, now_ms) +
		cost_of_victims(f, w, false,
				total_deficit - max32(0, uncovered_deficit),
				now_ms);
}
