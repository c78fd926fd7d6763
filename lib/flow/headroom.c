#include "flow/flow_internal.h"

/*
 * Keeps workers free of ordinary tasks as headroom for urgent jobs.  This is
 * for urgent gangs that arrive every few hundred milliseconds while ordinary
 * jobs could fill all workers.  Without headroom, each gang preempts runs that
 * have just begun and has to wait until they have stopped.
 */

/* Headroom as a multiple of the average demand of urgent jobs. */
#define HEADROOM_FACTOR 1.3
/* Time constant of that average: several run times of a typical urgent job. */
#define DEMAND_AVERAGE_MS 8000.0
/*
 * At most this share of a pool idles as headroom, so that ordinary jobs get
 * capacity soon after a burst of urgent ones.
 */
#define IDLE_SHARE_MAX 0.25

/* Whether there is less capacity than the task or the gang needs in all. */
static bool never_fits(const struct flow_step *st, const struct pool *p)
{
	struct flow_shape need = flow_task_shape(st);

	if (!flow_shape_fits(&need, &p->largest))
		return true;
	need.cpu_millicores *= st->tasks;
	need.memory_mb *= st->tasks;
	need.accelerators *= st->tasks;
	return st->gang && !flow_shape_fits(&need, &p->total);
}

/* Number of workers that a step would occupy without its @n_done tasks. */
static double step_demand(const struct flow_step *st, const struct pool *p,
			  int32_t n_done)
{
	struct flow_shape need = flow_task_shape(st);

	if (never_fits(st, p))
		return 0;
	return (st->tasks - n_done) * flow_dominant_share(&need, &p->largest);
}

/* Number of workers that the remaining tasks of a job would occupy. */
static double job_demand(struct job *j, const struct pool *p)
{
	int64_t untouched = flow_count_untouched(j);
	const struct step_state *ss;
	double sum = 0;
	int32_t i;

	for (i = 0; i < j->spec->n_steps; i++)
		sum += (double)untouched *
			step_demand(&j->spec->steps[i], p, 0);
	for (i = 0; (ss = flow_nth_open(j, i)); i++)
		sum += step_demand(flow_step_of(j, ss), p, ss->n_done);
	return sum;
}

static void update_urgent_reserve(struct pool *p, int64_t now_ms)
{
	double weight = (double)(now_ms - p->demand_ms) / DEMAND_AVERAGE_MS;
	double limit = p->n_urgent_busy + IDLE_SHARE_MAX * p->n_ready;
	double expected;

	if (!p->demand_ms || weight > 1)
		weight = 1;
	p->demand_ms = now_ms;
	p->demand += weight * (p->demand_now - p->demand);
	/* The average lags behind the start of a burst. */
	expected = p->demand > p->demand_now ? p->demand : p->demand_now;
	p->urgent_reserve = HEADROOM_FACTOR * expected;
	if (p->urgent_reserve > limit)
		p->urgent_reserve = limit;
}

void flow_headroom_update(struct flow *f, struct job *const *list, size_t n,
			  int64_t now_ms)
{
	struct pool *p;
	size_t i;

	for (p = f->pools; p; p = p->hh.next)
		p->demand_now = 0;
	for (i = 0; i < n; i++)
		if (flow_is_urgent(list[i]) && list[i]->pool)
			list[i]->pool->demand_now +=
				job_demand(list[i], list[i]->pool);
	for (p = f->pools; p; p = p->hh.next)
		update_urgent_reserve(p, now_ms);
}

bool flow_headroom_allows(const struct job *j, const struct flow_step *st,
			  const struct pool *p, bool runs_ordinary)
{
	return flow_is_urgent(j) || st->endless || runs_ordinary ||
		p->n_without_ordinary > p->urgent_reserve;
}

void flow_headroom_add_task(const struct job *j, struct worker *w)
{
	if (flow_is_urgent(j))
		w->urgent_tasks++;
	else if (!w->ordinary_tasks++)
		w->pool->n_without_ordinary--;
}

void flow_headroom_remove_task(const struct job *j, struct worker *w)
{
	if (flow_is_urgent(j))
		w->urgent_tasks--;
	else if (!--w->ordinary_tasks)
		w->pool->n_without_ordinary++;
}
