#include <float.h>

#include "decide/internal.h"

static struct res room_soon(const struct worker *w)
{
	return res_add(room_idle(w), w->leaving);
}

static bool is_short(struct res room)
{
	return room.acc < 0 || room.cores < 0 || room.mem < 0;
}

bool reclaim_room(const struct tg_fleet *f, const struct job *j)
{
	bool firm = !j->g && j->class != TG_CLASS_LENT;
	int32_t i;

	for (i = 0; i < j->tasks; i++) {
		const struct worker *w = &f->workers[j->workers[i]];

		if (is_short(room_idle(w)) || (firm && is_short(room_firm(w))))
			return false;
	}
	return true;
}

/* What stopping all tasks of the job on a worker frees of what is short. */
static double useful(const struct resident *r, struct res room)
{
	const struct res *n = &r->job->need;
	double sum = 0;

	if (room.acc < 0)
		sum += (double)min32(-room.acc, r->n * n->acc) / -room.acc;
	if (room.cores < 0)
		sum += (double)min32(-room.cores, r->n * n->cores) /
			-room.cores;
	if (room.mem < 0)
		sum += (double)min32(-room.mem, r->n * n->mem) / -room.mem;
	return sum;
}

static struct job *best_victim(const struct tg_fleet *f, const struct worker *w,
			       bool beyond, struct res room, int64_t now_ms)
{
	struct job *best = NULL;
	double best_cost = DBL_MAX, gain, cost;
	int32_t i;

	for (i = 0; i < w->n_jobs; i++) {
		struct job *j = w->jobs[i].job;

		if (j->reclaiming || j->state != JOB_RUNNING ||
		    (beyond ? !job_is_beyond(j) : j->class != TG_CLASS_LENT))
			continue;
		gain = useful(&w->jobs[i], room);
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
 * What the plan lacks can only come from work beyond guarantees.  With that,
 * the rest can come from lent work, since firm and planned work fit together.
 */
static struct job *next_victim(const struct tg_fleet *f, const struct worker *w,
			       int64_t now_ms)
{
	struct res firm = room_firm(w), soon = room_soon(w);
	struct job *v = NULL;

	if (is_short(firm))
		v = best_victim(f, w, true, firm, now_ms);
	if (!v && is_short(soon))
		v = best_victim(f, w, false, soon, now_ms);
	return v;
}

size_t reclaim_for(struct tg_fleet *f, const struct job *j, int64_t now_ms,
		   struct job **victims, size_t max)
{
	size_t n = 0;
	int32_t i;

	for (i = 0; i < j->tasks; i++) {
		const struct worker *w = &f->workers[j->workers[i]];
		struct job *v;

		while (n < max && (v = next_victim(f, w, now_ms)) != NULL) {
			room_leaving(f, v);
			victims[n++] = v;
		}
	}
	return n;
}

/* Cost of the victims among the jobs of a kind, least first, for @lack. */
static double victims_cost(const struct tg_fleet *f, const struct worker *w,
			   bool beyond, int32_t lack, int64_t now_ms)
{
	double sum = 0;
	int32_t i;

	for (i = 0; i < w->n_jobs && lack > 0; i++) {
		const struct job *j = w->jobs[i].job;

		if (beyond ? !job_is_beyond(j) : j->class != TG_CLASS_LENT)
			continue;
		if (!j->reclaiming)
			sum += f->policy->victim_cost(f, j, now_ms);
		lack -= w->jobs[i].n * j->need.acc;
	}
	return sum;
}

double reclaim_cost(const struct tg_fleet *f, const struct worker *w,
		    struct res need, int64_t now_ms)
{
	int32_t firm = need.acc - room_firm(w).acc;
	int32_t soon = need.acc - room_soon(w).acc;

	return victims_cost(f, w, true, firm, now_ms) +
		victims_cost(f, w, false, soon - max32(0, firm), now_ms);
}
