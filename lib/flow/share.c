#include "flow/flow_internal.h"

/*
 * Gives each ordinary queue a minimum share of the workers that urgent jobs
 * leave.  With priorities alone a queue gets nothing for as long as those
 * before it have jobs waiting.  The share is for jobs that have fallen behind:
 * a job that still has time would only take capacity from higher priorities.
 */

/* Minimum share of a queue, relative to an equal split among the queues. */
#define MINIMUM_SHARE 0.5

static double task_share(const struct job *j, const struct flow_step *st)
{
	struct flow_shape need = flow_task_shape(st);

	return flow_dominant_share(&need, &j->pool->largest);
}

static void count_held(struct flow *f)
{
	const struct worker *w;
	const struct run *r;
	struct queue *q;

	for (q = f->queues; q; q = q->hh.next)
		q->held_workers = q->evacuated_workers = 0;
	for (w = f->workers; w; w = w->hh.next)
		for (r = w->runs; r; r = r->next) {
			q = r->job->queue_conf;
			if (!q)
				continue;
			q->held_workers += flow_run_share(r);
			if (w->evacuated)
				q->evacuated_workers += flow_run_share(r);
		}
}

static void count_ordinary_queues(struct flow *f, struct job *const *list,
				  size_t n)
{
	struct queue *q;
	struct pool *p;
	size_t i;

	for (p = f->pools; p; p = p->hh.next)
		p->n_ordinary_queues = 0;
	for (q = f->queues; q; q = q->hh.next)
		q->has_ordinary_jobs = false;
	for (i = 0; i < n; i++) {
		q = list[i]->queue_conf;
		if (q->has_ordinary_jobs || flow_is_urgent(list[i]) ||
		    !list[i]->pool)
			continue;
		q->has_ordinary_jobs = true;
		list[i]->pool->n_ordinary_queues++;
	}
}

void flow_share_update(struct flow *f, struct job *const *list, size_t n)
{
	struct queue *q;

	count_held(f);
	count_ordinary_queues(f, list, n);
	for (q = f->queues; q; q = q->hh.next) {
		const struct pool *p = flow_find_pool(f, q->service);

		q->share_left = 0;
		if (q->has_ordinary_jobs)
			q->share_left = MINIMUM_SHARE *
					(p->n_ready - p->demand) /
					p->n_ordinary_queues -
				(q->held_workers - q->evacuated_workers);
	}
}

int32_t flow_share_limit(const struct job *j, const struct flow_step *st,
			 int32_t want)
{
	double share, left = j->queue_conf->share_left;

	if (!j->pool || !j->behind || j->will_miss_deadline || left <= 0)
		return 0;
	share = task_share(j, st);
	if (share * want <= left)
		return want;
	return st->gang ? 0 : (int32_t)(left / share);
}

void flow_share_use(struct job *j, const struct flow_step *st, int32_t n)
{
	j->queue_conf->share_left -= n * task_share(j, st);
}
