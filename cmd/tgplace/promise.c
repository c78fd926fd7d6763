#include <stdlib.h>
#include <string.h>

#include "place.h"

static bool is_inside(const struct promise *p, const struct job *j,
		      const struct input *in)
{
	int k;

	for (k = 0; k < 3; k++)
		if (j->need[k] > p->need[k])
			return false;
	return !strcmp(p->workspace, j->workspace) &&
		(!strcmp(j->az, "any") || !strcmp(j->az, in->azs[p->az]));
}

int32_t promise_for(const struct sim *s, const struct job *j)
{
	int32_t i;

	if (j->class != TG_CLASS_GUARANTEED)
		return -1;
	for (i = 0; i < s->in->n_promises; i++) {
		const struct promise *p = &s->in->promises[i];

		if (s->now_ms < p->lapses_ms &&
		    j->tasks <= p->tasks - p->used && is_inside(p, j, s->in))
			return i;
	}
	return -1;
}

/*
 * Counts a running job's tasks as use of a guarantee where it runs.  Which of
 * a workspace's jobs are inside is a matter of order, so that a job that is
 * larger than what is left uses that.
 */
void promise_enter(struct sim *s, struct job *j)
{
	int32_t az = s->in->workers[j->workers[0]].az, i;

	if (j->class != TG_CLASS_GUARANTEED || j->promise >= 0)
		return;
	for (i = 0; i < s->in->n_promises; i++) {
		struct promise *p = &s->in->promises[i];
		int32_t left = p->tasks - p->used;

		if (s->now_ms >= p->lapses_ms || p->az != az || !left ||
		    j->tasks > p->tasks || !is_inside(p, j, s->in))
			continue;
		j->promise = i;
		j->promised = j->tasks < left ? j->tasks : left;
		p->used += j->promised;
		return;
	}
}

void promise_leave(struct sim *s, struct job *j)
{
	size_t i;

	if (j->promise < 0)
		return;
	s->in->promises[j->promise].used -= j->promised;
	j->promise = -1;
	/* What still runs in the AZ takes the place in the books. */
	for (i = 0; i < s->in->n_jobs; i++) {
		struct job *o = &s->in->jobs[i];

		if (o == j || o->state != J_RUNNING ||
		    o->class != TG_CLASS_GUARANTEED)
			continue;
		if (o->promise >= 0 && o->promised < o->tasks) {
			s->in->promises[o->promise].used -= o->promised;
			o->promise = -1;
		}
		promise_enter(s, o);
	}
}

/* --- packing of what is promised, on the driver's own books --- */

struct demand {
	int32_t az, tasks;
	const int32_t *need;
	bool within_rack;
};

struct room {
	int32_t left[3];
	int32_t az, rack;
};

static int32_t count(const struct room *r, const int32_t *need)
{
	int32_t n = INT32_MAX;
	int k;

	for (k = 0; k < 3; k++) {
		if (r->left[k] < 0)
			return 0;
		if (need[k] && r->left[k] / need[k] < n)
			n = r->left[k] / need[k];
	}
	return n;
}

static void take(struct room *r, const int32_t *need, int32_t n)
{
	int k;

	for (k = 0; k < 3; k++)
		r->left[k] -= n * need[k];
}

/* Workers with least accelerators left first. */
static bool pack(struct room *rooms, int32_t n, const struct demand *d,
		 int32_t rack)
{
	int32_t left = d->tasks, i;

	while (left) {
		int32_t best = -1, fit;

		for (i = 0; i < n; i++) {
			if (rooms[i].az != d->az ||
			    (rack >= 0 && rooms[i].rack != rack) ||
			    !count(&rooms[i], d->need))
				continue;
			if (best < 0 || rooms[i].left[0] < rooms[best].left[0])
				best = i;
		}
		if (best < 0)
			return false;
		fit = count(&rooms[best], d->need);
		fit = fit < left ? fit : left;
		take(&rooms[best], d->need, fit);
		left -= fit;
	}
	return true;
}

/* The rack that the gang fits into most tightly, or -1. */
static int32_t tightest_rack(const struct room *rooms, int32_t n,
			     int32_t n_racks, const struct demand *d)
{
	int64_t *fit = tg_xcalloc((size_t)n_racks, sizeof(*fit));
	int32_t i, best = -1;

	for (i = 0; i < n; i++)
		if (rooms[i].az == d->az)
			fit[rooms[i].rack] += count(&rooms[i], d->need);
	for (i = 0; i < n_racks; i++)
		if (fit[i] >= d->tasks && (best < 0 || fit[i] < fit[best]))
			best = i;
	free(fit);
	return best;
}

static bool pack_all(const struct sim *s, const struct demand *list, size_t n,
		     bool with_lost)
{
	const struct input *in = s->in;
	struct room *rooms = tg_xcalloc((size_t)in->n_workers, sizeof(*rooms));
	bool fits = true;
	int32_t i, rack;
	size_t d;
	int k;

	for (i = 0; i < in->n_workers; i++) {
		const struct worker *w = &in->workers[i];
		bool usable = with_lost || (w->up && !w->quarantined);

		rooms[i].az = w->az;
		rooms[i].rack = w->rack_id;
		for (k = 0; k < 3; k++)
			rooms[i].left[k] = usable ? w->cap[k] - w->firm[k] : -1;
	}
	for (d = 0; d < n && fits; d++) {
		rack = -1;
		if (list[d].within_rack) {
			rack = tightest_rack(rooms, in->n_workers, in->n_racks,
					     &list[d]);
			fits = rack >= 0;
		}
		fits = fits && pack(rooms, in->n_workers, &list[d], rack);
	}
	free(rooms);
	return fits;
}

static int by_size(const void *a, const void *b)
{
	const struct demand *x = a, *y = b;
	int64_t n = (int64_t)y->within_rack - x->within_rack;

	if (!n)
		n = (int64_t)y->tasks * y->need[0] -
			(int64_t)x->tasks * x->need[0];
	return n < 0 ? -1 : n > 0;
}

/*
 * A request that waits is a violation unless only lost workers stand in the
 * way: what is promised in its AZ and not in use, itself included, would fit
 * if they were there, and does not without them.
 */
static bool is_violation(const struct sim *s, int32_t az)
{
	const struct input *in = s->in;
	struct demand *list = tg_xcalloc((size_t)in->n_promises, sizeof(*list));
	size_t n = 0;
	int32_t i;
	bool lost;

	for (i = 0; i < in->n_promises; i++) {
		const struct promise *p = &in->promises[i];

		if (p->az != az || s->now_ms >= p->lapses_ms ||
		    p->used == p->tasks)
			continue;
		list[n++] = (struct demand){ az, p->tasks - p->used, p->need,
					     p->within_rack };
	}
	qsort(list, n, sizeof(*list), by_size);
	lost = !pack_all(s, list, n, false) && pack_all(s, list, n, true);
	free(list);
	return !lost;
}

void promise_check(struct sim *s)
{
	size_t i, n = 0;

	for (i = 0; i < s->n_waiting; i++) {
		struct job *j = &s->in->jobs[s->waiting[i]];
		int32_t p;

		if (j->state != J_QUEUED)
			continue;
		s->waiting[n++] = s->waiting[i];
		if (j->counted)
			continue;
		p = promise_for(s, j);
		if (p < 0 || !is_violation(s, s->in->promises[p].az))
			continue;
		j->counted = true;
		s->violations++;
	}
	s->n_waiting = n;
}
