#include "flow/flow_internal.h"

/*
 * Accounts capacity by queue and by pool, so that metrics and logs show which
 * queue has what, how much work is lost, and why capacity is idle.
 */

double flow_run_share(const struct run *r)
{
	struct flow_shape need =
		flow_task_shape(flow_step_of(r->job, r->step_state));

	return flow_dominant_share(&need, &r->worker->capacity);
}

void flow_usage_run_ended(struct flow *f, const struct run *r,
			  enum flow_run_result how, const char *saved,
			  int64_t now_ms)
{
	struct queue *q = flow_find_queue(f, r->job->queue);
	double ms = flow_run_share(r) * (double)(now_ms - r->added_ms);

	/* The start time of a run that an earlier owner started is unknown. */
	if (!q || !r->added_ms)
		return;
	if (how == FLOW_RUN_DONE || (saved && *saved))
		q->done_worker_ms += ms;
	else
		q->lost_worker_ms += ms;
}

void flow_usage_run_preempted(struct flow *f, const struct run *r)
{
	struct queue *q = flow_find_queue(f, r->job->queue);

	if (q)
		q->preempted++;
}

/* Counts the open jobs of all queues, in one pass over the jobs. */
static void count_jobs(const struct flow *f, int64_t now_ms)
{
	const struct job *j;
	struct queue *q;

	for (q = f->queues; q; q = q->hh.next)
		q->open_jobs = q->stalled_jobs = q->oldest_stalled_ms = 0;
	for (j = f->jobs; j; j = j->hh.next) {
		q = flow_find_queue(f, j->queue);
		if (!q || flow_has_ended(j))
			continue;
		q->open_jobs++;
		if (j->n_runs || j->spec->times)
			continue;
		q->stalled_jobs++;
		if (now_ms - j->accepted_ms > q->oldest_stalled_ms)
			q->oldest_stalled_ms = now_ms - j->accepted_ms;
	}
}

void flow_each_queue_usage(const struct flow *f, int64_t now_ms,
			   void (*fn)(const struct flow_queue_usage *u,
				      void *arg),
			   void *arg)
{
	const struct queue *q;

	count_jobs(f, now_ms);
	for (q = f->queues; q; q = q->hh.next) {
		const struct flow_queue_usage u = {
			.queue = q->name,
			.priority = q->priority,
			.open_jobs = q->open_jobs,
			.stalled_jobs = q->stalled_jobs,
			.oldest_stalled_ms = q->oldest_stalled_ms,
			.held_workers = q->held_workers,
			.starts = q->starts,
			.preempted = q->preempted,
			.done_worker_ms = q->done_worker_ms,
			.lost_worker_ms = q->lost_worker_ms,
		};

		if (u.open_jobs)
			fn(&u, arg);
	}
}

void flow_each_pool_usage(const struct flow *f, int64_t now_ms,
			  void (*fn)(const struct flow_pool_usage *u,
				     void *arg),
			  void *arg)
{
	const struct worker *w;
	const struct pool *p;

	for (p = f->pools; p; p = p->hh.next) {
		struct flow_pool_usage u = {
			.service = p->service,
			.share_in_use =
				flow_dominant_share(&p->in_use, &p->total),
			.on_loan = p->n_on_loan,
			.known_workers = p->n_known,
			.fast_workers = p->n_fast,
			.slow_workers = p->n_slow,
			.uneven = p->uneven,
		};

		if (p->underused_since_ms)
			u.underused_ms = now_ms - p->underused_since_ms;

		for (w = f->workers; w; w = w->hh.next) {
			double free_share;

			if (w->pool == p && w->present && w->evacuated) {
				u.evacuated_workers++;
				u.evacuated_runs += (int32_t)flow_count_runs(w);
			}
			if (w->pool != p || !flow_worker_ready(w, now_ms))
				continue;
			free_share =
				1 - flow_dominant_share(&w->used, &w->capacity);
			u.ready_workers++;
			u.free_workers += free_share;
			u.reserved_workers +=
				flow_dominant_share(&w->reserved,
						    &w->capacity) +
				flow_dominant_share(&w->booking.need,
						    &w->capacity);
			if (!w->ordinary_tasks &&
			    p->n_without_ordinary <= p->urgent_reserve)
				u.headroom_workers += free_share;
		}
		if (u.ready_workers || u.evacuated_workers)
			fn(&u, arg);
	}
}
