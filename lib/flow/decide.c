#include <stdlib.h>
#include <string.h>

#include "flow/flow_internal.h"

/* Most steps are narrower. */
#define PLACES_MIN 64
/*
 * Between two stops of a run, so that a worker that refuses connections gets no
 * flood of them.
 */
#define RESEND_MS 250

struct round {
	struct flow *f;
	int64_t now_ms, wall_ms;
	const struct flow_ops *ops;
	void *arg;
	struct worker **places;
	int32_t n_places;
	bool touched; /* progress has to be written */
};

static struct flow_ref ref_of(const struct run *r)
{
	return (struct flow_ref){
		.job = r->job->id,
		.occurrence = r->inst->occurrence,
		.step = r->inst->step,
		.index = r->index,
		.run = r->run,
	};
}

static void clear_reservations(struct round *rd)
{
	struct worker *w;
	struct run *r;

	for (w = rd->f->workers; w; w = w->hh.next) {
		memset(&w->reserved, 0, sizeof(w->reserved));
		memset(&w->victims, 0, sizeof(w->victims));
		for (r = w->runs; r; r = r->next)
			r->victim = r->victim_kept = false;
	}
}

/* A gang of which a member is missing can't work any more. */
static bool gang_is_partial(const struct run *r)
{
	const struct flow_step *st = flow_step_of(r->job, r->inst);
	int32_t i;

	if (!st->gang || r->inst->n_done)
		return false;
	for (i = 0; i < st->tasks; i++) {
		const struct run *o = r->inst->tasks[i].run;

		if (!o || o->run != r->run || o->state == RUN_STOPPING)
			return true;
	}
	return false;
}

static const char *unwanted(const struct run *r)
{
	if (r->job->cancelled)
		return "cancelled";
	if (flow_is_over(r->job) && r->job->state != FLOW_COMPLETED)
		return "job failed";
	if (gang_is_partial(r))
		return "gang member missing";
	if (r->inst->tasks[r->index].run != r)
		return "another run of the task";
	if (r->victim)
		return "preempted";
	if (r->stalled)
		return "no progress";
	return NULL;
}

static void stop_unwanted(struct round *rd)
{
	struct worker *w;
	struct run *r;

	for (w = rd->f->workers; w; w = w->hh.next)
		for (r = w->runs; r; r = r->next) {
			struct flow_stop s = { .worker = w->id };
			const char *why;

			r->stalled |= flow_is_stalled(r, rd->now_ms);
			why = unwanted(r);
			if (why)
				flow_run_stop(r);
			if (r->state != RUN_STOPPING || !r->resend_stop ||
			    rd->now_ms < r->next_stop_ms)
				continue;
			r->resend_stop = false;
			r->next_stop_ms = rd->now_ms + RESEND_MS;
			s.ref = ref_of(r);
			s.reason = why ? why : "no longer wanted";
			rd->ops->stop(&s, rd->arg);
		}
}

static int32_t tasks_to_start(const struct flow_step *st, const struct inst *in)
{
	int32_t i, n = 0;

	/* A gang starts again once nothing of its last run is left. */
	if (st->gang)
		return in->n_runs || in->n_done ? 0 : st->tasks;
	for (i = 0; i < st->tasks; i++)
		n += !in->tasks[i].done && !in->tasks[i].n_runs;
	return n;
}

static int32_t next_run(const struct flow_step *st, const struct inst *in,
			int32_t index)
{
	int32_t i, last = 0;

	if (!st->gang)
		return in->tasks[index].last_run + 1;
	for (i = 0; i < st->tasks; i++)
		if (in->tasks[i].last_run > last)
			last = in->tasks[i].last_run;
	return last + 1;
}

static void start_task(struct round *rd, struct job *j, struct inst *in,
		       int32_t index, struct worker *w, int32_t number)
{
	struct run *r = flow_run_new(j, in, index, w, number, rd->now_ms);
	struct flow_start s = {
		.ref = ref_of(r),
		.worker = w->id,
		.text = j->spec->text,
		.saved = in->tasks[index].saved,
		.reason = j->rank <= 0 ? "guaranteed" : "in order",
	};

	rd->ops->start(&s, rd->arg);
	flow_touch(j);
	rd->touched = true;
}

static void start_tasks(struct round *rd, struct job *j, struct inst *in,
			int32_t n)
{
	const struct flow_step *st = flow_step_of(j, in);
	struct flow_shape need = flow_room(st);
	int32_t run = st->gang ? next_run(st, in, 0) : 0;
	int32_t i = 0, placed;

	for (placed = 0; placed < n; i++) {
		struct worker *w = rd->places[placed];

		if (in->tasks[i].done || in->tasks[i].n_runs)
			continue;
		flow_shape_add(&w->reserved, &need, -1);
		start_task(rd, j, in, i, w,
			   st->gang ? run : next_run(st, in, i));
		placed++;
	}
}

static void grow_places(struct round *rd, int32_t n)
{
	if (n <= rd->n_places)
		return;
	rd->places = tg_xrealloc(rd->places, (size_t)n * sizeof(void *));
	rd->n_places = n;
}

static void serve_step(struct round *rd, struct job *j, struct inst *in)
{
	const struct flow_step *st = flow_step_of(j, in);
	int32_t want = tasks_to_start(st, in), n;
	bool wait;

	if (!want || !flow_is_ready(rd->f, j, in, rd->wall_ms))
		return;
	grow_places(rd, want);
	n = flow_place(rd->f, j, in, want, flow_may_preempt(j), rd->places,
		       &wait, rd->now_ms);
	/* Otherwise the room stays reserved for this round. */
	if (!wait)
		start_tasks(rd, j, in, n);
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
	size_t n, i;
	int32_t k;

	grow_places(&rd, PLACES_MIN);
	clear_reservations(&rd);
	n = flow_order(f, now_ms, &list);
	flow_count_pools(f, now_ms);
	flow_headroom_plan(f, list, n, now_ms);
	stop_unwanted(&rd);
	for (i = 0; i < n; i++)
		for (k = 0; k < list[i]->n_insts && !list[i]->recovered; k++)
			serve_step(&rd, list[i], &list[i]->insts[k]);
	stop_unwanted(&rd);
	free(list);
	free(rd.places);
	return rd.touched;
}
