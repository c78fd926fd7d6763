#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "flow/flow_internal.h"

/* Initial size of the array; most steps have fewer tasks. */
#define PLACEMENT_MIN 64
/*
 * Least time between two stop orders for a run, so that a worker that refuses
 * connections isn't flooded with them.
 */
#define STOP_RETRY_MS 250

struct round {
	struct flow *f;
	int64_t now_ms, wall_ms;
	const struct flow_ops *ops;
	void *arg;
	struct worker **placement;
	int32_t placement_size;
	bool progress_changed; /* progress must be written */
	bool within_shares; /* places what minimum shares allow, no more */
};

static void clear_reservations(struct round *rd)
{
	struct worker *w;
	struct run *r;

	for (w = rd->f->workers; w; w = w->hh.next) {
		memset(&w->reserved, 0, sizeof(w->reserved));
		memset(&w->victims, 0, sizeof(w->victims));
		memset(&w->booking, 0, sizeof(w->booking));
		for (r = w->runs; r; r = r->next)
			r->victim = false;
	}
	rd->f->victims.n = rd->f->no_fits.n = 0;
	rd->f->workers_checked = 0;
}

static const char *stop_reason(const struct run *r, int64_t now_ms)
{
	if (r->job->cancelled)
		return "cancelled";
	if (flow_has_ended(r->job) && r->job->state != FLOW_COMPLETED)
		return "job failed";
	if (flow_gang_is_partial(r))
		return "gang member missing";
	if (r->step_state->tasks[r->index].run != r)
		return "superseded by another run";
	if (r->step_state->tasks[r->index].done &&
	    !flow_step_of(r->job, r->step_state)->gang)
		return "task is done";
	if (r->victim)
		return r->on_loan ? "recalled" : "preempted";
	if (r->stalled)
		return "no progress";
	if (r->moved)
		return "worker is slow";
	if (flow_must_leave_worker(r, now_ms))
		return "worker may exit soon";
	return NULL;
}

static void drop(struct run *r, const char *why, const struct flow_ops *ops,
		 void *arg)
{
	struct flow_stop_order s = {
		.ref = flow_ref_of(r),
		.worker = r->worker->id,
		.reason = why,
	};

	if (ops->drop)
		ops->drop(&s, arg);
	flow_run_remove(r);
}

static void note_preemption(struct round *rd, const struct run *r)
{
	flow_usage_run_preempted(rd->f, r);
	if (r->on_loan)
		flow_kept_wait_restart(r->step_state, rd->now_ms);
}

static void stop_if_unwanted(struct round *rd, struct run *r)
{
	struct flow_stop_order s = { .worker = r->worker->id };
	const char *why;

	flow_clear_crashes(r);
	r->stalled |= flow_is_stalled(r, rd->now_ms);
	why = stop_reason(r, rd->now_ms);
	if (r->victim && r->state != RUN_STOPPING)
		note_preemption(rd, r);
	if (why && r->state == RUN_DECIDED) {
		drop(r, why, rd->ops, rd->arg);
		rd->progress_changed = true;
		return;
	}
	if (why)
		flow_run_mark_stopping(r);
	/*
	 * A run that is recorded only as planned counts as not started once its
	 * worker doesn't list it, so it must not be stopping then.
	 */
	if (r->state != RUN_STOPPING || !r->stop_pending ||
	    rd->now_ms < r->next_stop_ms ||
	    (r->planned && !flow_is_recorded(r)))
		return;
	r->stop_pending = false;
	r->next_stop_ms = rd->now_ms + STOP_RETRY_MS;
	s.ref = flow_ref_of(r);
	s.reason = why ? why : "no longer wanted";
	rd->ops->stop(&s, rd->arg);
}

static void stop_unwanted_runs(struct round *rd)
{
	struct worker *w;
	struct run *r, *next;

	for (w = rd->f->workers; w; w = w->hh.next)
		for (r = w->runs; r; r = next) {
			next = r->next;
			stop_if_unwanted(rd, r);
		}
}

static int32_t tasks_to_start(const struct flow_step *st,
			      const struct step_state *ss)
{
	int32_t i, n = 0;

	/* A gang restarts once all members of its last run have ended. */
	if (st->gang)
		return ss->n_runs || ss->n_done ? 0 : st->tasks;
	for (i = 0; i < st->tasks; i++)
		n += !ss->tasks[i].done && !ss->tasks[i].n_runs;
	return n;
}

static int32_t next_run(const struct flow_step *st, const struct step_state *ss,
			int32_t index)
{
	int32_t i, last = 0;

	if (!st->gang)
		return ss->tasks[index].last_run + 1;
	for (i = 0; i < st->tasks; i++)
		if (ss->tasks[i].last_run > last)
			last = ss->tasks[i].last_run;
	return last + 1;
}

static void start_task(struct round *rd, struct job *j, struct step_state *ss,
		       int32_t index, struct worker *w, int32_t number,
		       bool on_loan)
{
	struct run *r = flow_run_decide(j, ss, index, w, number, rd->now_ms);

	r->on_loan = on_loan;
	if (flow_run_is_isolated(r, rd->now_ms))
		w->isolated_for = j;
	rd->progress_changed = true;
}

static void start_tasks(struct round *rd, struct job *j, struct step_state *ss,
			int32_t n, bool on_loan)
{
	const struct flow_step *st = flow_step_of(j, ss);
	struct flow_shape need = flow_task_shape(st);
	int32_t run = st->gang ? next_run(st, ss, 0) : 0;
	int32_t i = 0, placed;

	for (placed = 0; placed < n; i++) {
		struct worker *w = rd->placement[placed];

		if (ss->tasks[i].done || ss->tasks[i].n_runs)
			continue;
		flow_shape_add(&w->reserved, &need, -1);
		flow_use_add(j->pool, &need);
		start_task(rd, j, ss, i, w,
			   st->gang ? run : next_run(st, ss, i), on_loan);
		placed++;
	}
}

static void grow_placement(struct round *rd, int32_t n)
{
	if (n <= rd->placement_size)
		return;
	rd->placement = tg_xrealloc(rd->placement, (size_t)n * sizeof(void *));
	rd->placement_size = n;
}

static void schedule_step(struct round *rd, struct job *j,
			  struct step_state *ss)
{
	const struct flow_step *st = flow_step_of(j, ss);
	int32_t want = tasks_to_start(st, ss), n;
	bool wait, on_loan;

	if (!want || ss->waiting_round == rd->f->round ||
	    !flow_is_ready(rd->f, j, ss, rd->wall_ms))
		return;
	if (rd->within_shares)
		want = flow_share_limit(j, st, want);
	if (!want)
		return;
	grow_placement(rd, want);
	n = flow_place(rd->f, j, ss, want, flow_may_preempt(j), rd->placement,
		       &wait, &on_loan, rd->now_ms);
	/* If it has to wait, the capacity stays reserved for this round. */
	if (!wait)
		start_tasks(rd, j, ss, n, on_loan);
	if (wait || !n)
		ss->waiting_round = rd->f->round;
	if (rd->within_shares)
		flow_share_use(j, st, n);
}

static void schedule_jobs(struct round *rd, struct job *const *list, size_t n)
{
	struct step_state *ss;
	size_t i;
	int32_t k;

	for (i = 0; i < n; i++)
		for (k = 0; !flow_may_not_start(list[i]) &&
		     (ss = flow_nth_open(list[i], k));
		     k++)
			schedule_step(rd, list[i], ss);
}

/*
 * These go first, since the jobs before them would book what the recalled runs
 * give back, and so the runs would have been stopped in vain.
 */
static void schedule_recalling_jobs(struct round *rd, struct job *const *list,
				    size_t n)
{
	struct step_state *ss;
	size_t i;
	int32_t k;

	for (i = 0; i < n; i++)
		for (k = 0; (ss = flow_nth_open(list[i], k)); k++)
			if (flow_awaits_recall(rd->f, ss, rd->now_ms))
				schedule_step(rd, list[i], ss);
}

static void schedule_ordinary_jobs(struct round *rd, struct job *const *list,
				   size_t n)
{
	rd->within_shares = true;
	schedule_jobs(rd, list, n);
	rd->within_shares = false;
	schedule_jobs(rd, list, n);
}

bool flow_decide(struct flow *f, int64_t now_ms, int64_t wall_ms,
		 const struct flow_ops *ops, void *arg)
{
	struct round rd = {
		.f = f,
		.now_ms = now_ms,
		.wall_ms = wall_ms,
		.ops = ops,
		.arg = arg,
	};
	struct job **list;
	size_t n, n_urgent = 0;

	f->round++;
	grow_placement(&rd, PLACEMENT_MIN);
	clear_reservations(&rd);
	n = flow_sort_jobs(f, now_ms, &list);
	flow_open_due(f, list, n, wall_ms);
	flow_update_pools(f, now_ms);
	flow_speed_update_pools(f);
	flow_update_use(f, now_ms);
	flow_unused_update(f, now_ms);
	flow_headroom_update(f, list, n, now_ms);
	stop_unwanted_runs(&rd);
	if (f->starts_held)
		goto out;
	if (f->offline) {
		rd.progress_changed |=
			flow_start_planned(f, list, n, now_ms, wall_ms);
		goto out;
	}
	f->scheduling_round++;
	flow_share_update(f, list, n);
	while (n_urgent < n && flow_is_urgent(list[n_urgent]))
		n_urgent++;
	schedule_jobs(&rd, list, n_urgent);
	schedule_recalling_jobs(&rd, list + n_urgent, n - n_urgent);
	schedule_ordinary_jobs(&rd, list + n_urgent, n - n_urgent);
	flow_move_runs(f, now_ms);
	stop_unwanted_runs(&rd);
	flow_plan(f, list, n, now_ms, wall_ms);
	flow_report_reservations(f, now_ms, ops, arg);
out:
	rd.progress_changed |= flow_has_dirty(f);
	free(list);
	free(rd.placement);
	return rd.progress_changed;
}

/* Why a run that was decided on is not to be started any more. */
static const char *drop_reason(const struct run *r, int64_t now_ms)
{
	const char *why = stop_reason(r, now_ms);

	if (!why && !flow_worker_ready(r->worker, now_ms))
		why = "worker gets no starts";
	return why;
}

static void start(struct run *r, int64_t now_ms, const struct flow_ops *ops,
		  void *arg)
{
	struct flow_start_order s = {
		.ref = flow_ref_of(r),
		.worker = r->worker->id,
		.text = r->job->spec->text,
		.saved = r->step_state->tasks[r->index].saved,
		.reason = r->planned	  ? "planned" :
			r->on_loan	  ? "on loan" :
			r->job->rank <= 0 ? "guaranteed" :
					    "by deadline",
	};

	DL_DELETE2(r->job->flow->decided, r, decided_prev, decided_next);
	r->state = RUN_STARTING;
	r->answered_ms = r->added_ms = now_ms;
	ops->start(&s, arg);
}

bool flow_start_recorded(struct flow *f, int64_t now_ms,
			 const struct flow_ops *ops, void *arg)
{
	struct run *r, *next;
	bool dropped = false, again = true;

	/* Without one member the others of a gang are dropped as well. */
	while (again) {
		again = false;
		DL_FOREACH_SAFE2(f->decided, r, next, decided_next)
		{
			const char *why = drop_reason(r, now_ms);

			if (!why)
				continue;
			drop(r, why, ops, arg);
			dropped = again = true;
		}
	}
	if (f->starts_held)
		return dropped;
	DL_FOREACH_SAFE2(f->decided, r, next, decided_next)
	if (r->planned || flow_is_recorded(r))
		start(r, now_ms, ops, arg);
	return dropped;
}

void flow_set_offline(struct flow *f, bool offline)
{
	f->offline = offline;
}

void flow_drop_decided(struct flow *f, const struct flow_ops *ops, void *arg)
{
	while (f->decided)
		drop(f->decided, "owner is stopping", ops, arg);
}
