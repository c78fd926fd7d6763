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
	int32_t i;

	for (i = 0; i < j->tasks; i++)
		if (is_short(room_idle(&f->workers[j->workers[i]])))
			return false;
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
			       int64_t now_ms)
{
	struct res room = room_soon(w);
	struct job *best = NULL;
	double best_cost = DBL_MAX, gain, cost;
	int32_t i;

	for (i = 0; i < w->n_jobs; i++) {
		struct job *j = w->jobs[i].job;

		if (j->class != TG_CLASS_LENT || j->reclaiming ||
		    j->state != JOB_RUNNING)
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

size_t reclaim_for(struct tg_fleet *f, const struct job *j, int64_t now_ms,
		   struct job **victims, size_t max)
{
	size_t n = 0;
	int32_t i;

	for (i = 0; i < j->tasks; i++) {
		const struct worker *w = &f->workers[j->workers[i]];

		while (is_short(room_soon(w))) {
			struct job *v;

			if (n == max)
				return n;
			v = best_victim(f, w, now_ms);
			if (!v)
				break;
			room_leaving(f, v);
			victims[n++] = v;
		}
	}
	return n;
}
