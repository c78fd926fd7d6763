#include <stdlib.h>
#include <string.h>

#include "place.h"

static bool guarantee_covers(const struct guarantee *p, const struct job *j,
			     const struct input *in)
{
	int k;

	for (k = 0; k < 3; k++)
		if (j->per_task[k] > p->per_task[k])
			return false;
	return !strcmp(p->workspace, j->workspace) &&
		(!strcmp(j->az, "any") || !strcmp(j->az, in->azs[p->az]));
}

int32_t guarantee_find(const struct sim *s, const struct job *j)
{
	int32_t i;

	if (j->class != TG_CLASS_GUARANTEED)
		return -1;
	for (i = 0; i < s->in->n_guarantees; i++) {
		const struct guarantee *p = &s->in->guarantees[i];

		if (s->now_ms < p->lapses_ms &&
		    j->tasks <= p->tasks - p->used &&
		    guarantee_covers(p, j, s->in))
			return i;
	}
	return -1;
}

/*
 * Charges a job's tasks to a guarantee in the AZ where it runs.  Jobs are
 * charged when they start, and guarantee_release() charges running jobs again
 * in job order.  A job with more tasks than are left is charged for those that
 * are left.
 */
void guarantee_charge(struct sim *s, struct job *j)
{
	int32_t az = s->in->workers[j->workers[0]].az, i;

	if (j->class != TG_CLASS_GUARANTEED || j->guarantee >= 0)
		return;
	for (i = 0; i < s->in->n_guarantees; i++) {
		struct guarantee *p = &s->in->guarantees[i];
		int32_t left = p->tasks - p->used;

		if (s->now_ms >= p->lapses_ms || p->az != az || !left ||
		    j->tasks > p->tasks || !guarantee_covers(p, j, s->in))
			continue;
		j->guarantee = i;
		j->guaranteed_tasks = j->tasks < left ? j->tasks : left;
		p->used += j->guaranteed_tasks;
		return;
	}
}

void guarantee_release(struct sim *s, struct job *j)
{
	size_t i;

	if (j->guarantee < 0)
		return;
	s->in->guarantees[j->guarantee].used -= j->guaranteed_tasks;
	j->guarantee = -1;
	/* Charge the tasks released to other running jobs that they cover. */
	for (i = 0; i < s->in->n_jobs; i++) {
		struct job *o = &s->in->jobs[i];

		if (o == j || o->state != J_RUNNING ||
		    o->class != TG_CLASS_GUARANTEED)
			continue;
		if (o->guarantee >= 0 && o->guaranteed_tasks < o->tasks) {
			s->in->guarantees[o->guarantee].used -=
				o->guaranteed_tasks;
			o->guarantee = -1;
		}
		guarantee_charge(s, o);
	}
}

/* --- packing of the unused guaranteed tasks --- */

struct demand {
	int32_t az, tasks;
	const int32_t *per_task;
	bool within_rack;
};

struct free_resources {
	int32_t left[3];
	int32_t az, rack;
};

static int32_t count_fitting_tasks(const struct free_resources *r,
				   const int32_t *per_task)
{
	int32_t n = INT32_MAX;
	int k;

	for (k = 0; k < 3; k++) {
		if (r->left[k] < 0)
			return 0;
		if (per_task[k] && r->left[k] / per_task[k] < n)
			n = r->left[k] / per_task[k];
	}
	return n;
}

static void allocate_tasks(struct free_resources *r, const int32_t *per_task,
			   int32_t n)
{
	int k;

	for (k = 0; k < 3; k++)
		r->left[k] -= n * per_task[k];
}

/* Best fit: fills the workers with the fewest free accelerators first. */
static bool pack_best_fit(struct free_resources *workers, int32_t n,
			  const struct demand *d, int32_t rack)
{
	int32_t left = d->tasks, i;

	while (left) {
		int32_t best = -1, fit;

		for (i = 0; i < n; i++) {
			if (workers[i].az != d->az ||
			    (rack >= 0 && workers[i].rack != rack) ||
			    !count_fitting_tasks(&workers[i], d->per_task))
				continue;
			if (best < 0 ||
			    workers[i].left[0] < workers[best].left[0])
				best = i;
		}
		if (best < 0)
			return false;
		fit = count_fitting_tasks(&workers[best], d->per_task);
		fit = fit < left ? fit : left;
		allocate_tasks(&workers[best], d->per_task, fit);
		left -= fit;
	}
	return true;
}

/* The fitting rack that could take the fewest tasks like these, or -1. */
static int32_t tightest_rack(const struct free_resources *workers, int32_t n,
			     int32_t n_racks, const struct demand *d)
{
	int64_t *fit = tg_xcalloc((size_t)n_racks, sizeof(*fit));
	int32_t i, best = -1;

	for (i = 0; i < n; i++)
		if (workers[i].az == d->az)
			fit[workers[i].rack] +=
				count_fitting_tasks(&workers[i], d->per_task);
	for (i = 0; i < n_racks; i++)
		if (fit[i] >= d->tasks && (best < 0 || fit[i] < fit[best]))
			best = i;
	free(fit);
	return best;
}

static bool all_demands_fit(const struct sim *s, const struct demand *list,
			    size_t n, bool include_lost)
{
	const struct input *in = s->in;
	struct free_resources *workers =
		tg_xcalloc((size_t)in->n_workers, sizeof(*workers));
	bool fits = true;
	int32_t i, rack;
	size_t d;
	int k;

	for (i = 0; i < in->n_workers; i++) {
		const struct worker *w = &in->workers[i];
		bool usable = include_lost || (w->up && !w->quarantined);

		workers[i].az = w->az;
		workers[i].rack = w->rack_id;
		for (k = 0; k < 3; k++)
			workers[i].left[k] = usable ?
				w->capacity[k] - w->used_nonlent[k] :
				-1;
	}
	for (d = 0; d < n && fits; d++) {
		rack = -1;
		if (list[d].within_rack) {
			rack = tightest_rack(workers, in->n_workers,
					     in->n_racks, &list[d]);
			fits = rack >= 0;
		}
		fits = fits &&
			pack_best_fit(workers, in->n_workers, &list[d], rack);
	}
	free(workers);
	return fits;
}

static int compare_demands(const void *a, const void *b)
{
	const struct demand *x = a, *y = b;
	int64_t n = (int64_t)y->within_rack - x->within_rack;

	if (!n)
		n = (int64_t)y->tasks * y->per_task[0] -
			(int64_t)x->tasks * x->per_task[0];
	return n < 0 ? -1 : n > 0;
}

/*
 * A queued job that its guarantee covers is a violation unless lost workers are
 * the only cause: the unused guaranteed tasks of the AZ, this job's included,
 * fit with the lost workers and do not fit without them.
 */
static bool is_violation(const struct sim *s, int32_t az)
{
	const struct input *in = s->in;
	struct demand *list =
		tg_xcalloc((size_t)in->n_guarantees, sizeof(*list));
	size_t n = 0;
	int32_t i;
	bool lost;

	for (i = 0; i < in->n_guarantees; i++) {
		const struct guarantee *p = &in->guarantees[i];

		if (p->az != az || s->now_ms >= p->lapses_ms ||
		    p->used == p->tasks)
			continue;
		list[n++] = (struct demand){ az, p->tasks - p->used,
					     p->per_task, p->within_rack };
	}
	qsort(list, n, sizeof(*list), compare_demands);
	lost = !all_demands_fit(s, list, n, false) &&
		all_demands_fit(s, list, n, true);
	free(list);
	return !lost;
}

void guarantee_check(struct sim *s)
{
	size_t i, n = 0;

	for (i = 0; i < s->n_waiting; i++) {
		struct job *j = &s->in->jobs[s->waiting[i]];
		int32_t p;

		if (j->state != J_QUEUED)
			continue;
		s->waiting[n++] = s->waiting[i];
		if (j->violation_counted)
			continue;
		p = guarantee_find(s, j);
		if (p < 0 || !is_violation(s, s->in->guarantees[p].az))
			continue;
		j->violation_counted = true;
		s->violations++;
	}
	s->n_waiting = n;
}
