#include <stdlib.h>
#include <string.h>

#include "flow/flow_internal.h"

struct run *flow_run_new(struct job *j, struct inst *in, int32_t index,
			 struct worker *w, int32_t run, int64_t now_ms)
{
	struct run *r = tg_xcalloc(1, sizeof(*r));
	struct task *t = &in->tasks[index];
	struct flow_shape room = flow_room(flow_step_of(j, in));

	r->job = j;
	r->inst = in;
	r->index = index;
	r->run = run;
	r->worker = w;
	r->since_ms = now_ms;
	/* Of two runs the later one was ordered by somebody who knew more. */
	if (!t->run || t->run->run < run)
		t->run = r;
	t->n_runs++;
	if (run > t->last_run)
		t->last_run = run;
	in->n_runs++;
	j->n_runs++;
	j->runs_total++;
	j->begun = true;
	flow_shape_add(&w->used, &room, 1);
	r->next = w->runs;
	if (w->runs)
		w->runs->prev = r;
	w->runs = r;
	return r;
}

void flow_run_free(struct run *r)
{
	struct flow_shape room = flow_room(flow_step_of(r->job, r->inst));
	struct task *t = &r->inst->tasks[r->index];

	flow_shape_add(&r->worker->used, &room, -1);
	if (r->state == RUN_STOPPING)
		flow_shape_add(&r->worker->stopping, &room, -1);
	if (t->run == r)
		t->run = NULL;
	t->n_runs--;
	r->inst->n_runs--;
	r->job->n_runs--;
	if (r->prev)
		r->prev->next = r->next;
	else
		r->worker->runs = r->next;
	if (r->next)
		r->next->prev = r->prev;
	free(r);
}

void flow_run_stop(struct run *r)
{
	struct flow_shape room = flow_room(flow_step_of(r->job, r->inst));

	if (r->state == RUN_STOPPING)
		return;
	r->state = RUN_STOPPING;
	r->resend_stop = true;
	flow_shape_add(&r->worker->stopping, &room, 1);
}

static void keep_checkpoint(struct job *j, struct inst *in, int32_t index,
			    const char *saved)
{
	const struct flow_step *st = flow_step_of(j, in);
	int32_t i;

	if (!saved || !*saved)
		return;
	if (!st->gang) {
		tg_strlcpy(in->tasks[index].saved, saved, FLOW_SAVED_LEN + 1);
		return;
	}
	/* All members of a gang continue from one checkpoint. */
	for (i = 0; i < st->tasks; i++)
		tg_strlcpy(in->tasks[i].saved, saved, FLOW_SAVED_LEN + 1);
}

static void record_done(struct job *j, struct inst *in, int32_t index)
{
	const struct flow_step *st = flow_step_of(j, in);
	int32_t i;

	if (!st->gang) {
		flow_task_done(j, in, index);
		return;
	}
	for (i = 0; i < st->tasks; i++)
		flow_task_done(j, in, i);
}

/* Counts a failure once, however often a worker lists it. */
static void record_failure(struct flow *f, struct job *j, struct inst *in,
			   int32_t index, int32_t run)
{
	const struct flow_step *st = flow_step_of(j, in);
	struct failures *fl = &in->tasks[st->gang ? 0 : index].failures;
	struct queue *q;

	if (!flow_add_failure(fl, run))
		return;
	j->failures++;
	HASH_FIND_STR(f->queues, j->queue, q);
	if (q && fl->n >= q->max_attempts && !st->endless && !flow_is_over(j))
		j->state = FLOW_FAILED;
}

/* What an end means for the job, whether its run is known here or not. */
static void record_end(struct flow *f, struct job *j, struct inst *in,
		       int32_t index, int32_t run, enum flow_how how,
		       const char *saved)
{
	struct task *t = &in->tasks[index];
	bool endless = flow_step_of(j, in)->endless;

	if (run > t->last_run)
		t->last_run = run;
	if (how == FLOW_DONE && !endless) {
		record_done(j, in, index);
		flow_touch(j);
		return;
	}
	keep_checkpoint(j, in, index, saved);
	if (how == FLOW_FAILURE)
		record_failure(f, j, in, index, run);
	if (how == FLOW_FAILURE || (saved && *saved))
		flow_touch(j);
}

void flow_run_over(struct flow *f, struct run *r, enum flow_how how,
		   const char *saved, int64_t now_ms)
{
	struct job *j = r->job;
	struct inst *in = r->inst;
	struct worker *w = r->worker;
	int32_t index = r->index, run = r->run;
	bool stalled = r->stalled;

	flow_run_free(r);
	record_end(f, j, in, index, run, how, saved);
	if (how == FLOW_DONE)
		flow_worker_succeeded(w);
	if (how == FLOW_FAILURE || stalled) {
		in->tasks[index].failed_on = w;
		flow_worker_failed(f, w, j->id, now_ms);
	}
}

static bool resolve(struct flow *f, const struct flow_ref *ref, struct job **j,
		    struct inst **in)
{
	*j = flow_job(f, ref->job);
	*in = *j ? flow_inst(*j, ref->occurrence, ref->step) : NULL;
	return *in && ref->index >= 0 &&
		ref->index < flow_step_of(*j, *in)->tasks;
}

static struct run *find_run(struct flow *f, const struct flow_ref *ref,
			    struct worker *w)
{
	struct inst *in;
	struct run *r;
	struct job *j;

	if (!w || !resolve(f, ref, &j, &in))
		return NULL;
	for (r = w->runs; r; r = r->next)
		if (r->inst == in && r->index == ref->index &&
		    r->run == ref->run)
			return r;
	return NULL;
}

void flow_start_answered(struct flow *f, const struct flow_ref *ref,
			 const char *worker, enum flow_order_end end,
			 int64_t now_ms)
{
	struct worker *w = flow_worker(f, worker);
	struct run *r = find_run(f, ref, w);

	if (!r)
		return;
	if (end == FLOW_ORDER_DONE || end == FLOW_ORDER_UNKNOWN) {
		if (r->state != RUN_STARTING)
			return;
		r->state = end == FLOW_ORDER_DONE ? RUN_ACTIVE : RUN_UNSURE;
		r->since_ms = now_ms;
		return;
	}
	if (end == FLOW_ORDER_INVALID && !flow_is_over(r->job)) {
		r->job->state = FLOW_FAILED;
		flow_touch(r->job);
	}
	if (end == FLOW_ORDER_NOT_DONE)
		flow_worker_failed(f, w, r->job->id, now_ms);
	flow_run_free(r);
}

void flow_stop_answered(struct flow *f, const struct flow_ref *ref,
			const char *worker, enum flow_order_end end,
			int64_t now_ms)
{
	struct run *r = find_run(f, ref, flow_worker(f, worker));

	if (!r || r->state != RUN_STOPPING)
		return;
	if (end == FLOW_ORDER_DONE) {
		r->refused_later = true;
		r->since_ms = now_ms;
	} else {
		r->resend_stop = true;
	}
}

bool flow_listed_run(struct flow *f, const struct flow_ref *ref,
		     const char *worker, int32_t percent, const char *saved,
		     int64_t now_ms)
{
	struct worker *w = flow_worker(f, worker);
	struct run *r = find_run(f, ref, w);
	struct inst *in;
	struct job *j;
	struct task *t;

	if (!w || !resolve(f, ref, &j, &in))
		return false;
	t = &in->tasks[ref->index];
	if (!r) {
		bool wanted =
			!t->done && !flow_is_over(j) && ref->run >= t->last_run;

		r = flow_run_new(j, in, ref->index, w, ref->run, now_ms);
		r->state = RUN_ACTIVE;
		if (!wanted || t->run != r)
			flow_run_stop(r);
	}
	if (r->state == RUN_STARTING || r->state == RUN_UNSURE)
		r->state = RUN_ACTIVE;
	r->listed_ms = now_ms;
	flow_pace_listed(r, percent, now_ms);
	keep_checkpoint(j, in, ref->index, saved);
	return true;
}

void flow_listed_all(struct flow *f, const char *worker, int64_t asked_ms,
		     int64_t now_ms)
{
	struct worker *w = flow_worker(f, worker);
	struct run *r, *next;

	if (!w)
		return;
	for (r = w->runs; r; r = next) {
		next = r->next;
		if (r->listed_ms >= now_ms || r->since_ms >= asked_ms)
			continue;
		/* Not listed, although the list is younger than the answer. */
		switch (r->state) {
		case RUN_STARTING:
			break;
		case RUN_UNSURE:
			flow_run_stop(r);
			break;
		case RUN_STOPPING:
			if (!r->refused_later ||
			    r->since_ms + f->opts.stop_ms >= asked_ms)
				break;
			flow_run_over(f, r, FLOW_LAPSED, NULL, now_ms);
			break;
		case RUN_ACTIVE:
			/* A former owner may have stopped it a moment ago. */
			flow_run_stop(r);
			r->resend_stop = false;
			r->refused_later = true;
			r->since_ms = now_ms;
			break;
		}
	}
}

bool flow_ended_run(struct flow *f, const struct flow_ref *ref,
		    const char *worker, enum flow_how how, const char *saved,
		    int64_t now_ms)
{
	struct run *r = find_run(f, ref, flow_worker(f, worker));
	struct inst *in;
	struct job *j;

	if (r) {
		flow_run_over(f, r, how, saved, now_ms);
		return true;
	}
	if (!resolve(f, ref, &j, &in))
		return false;
	record_end(f, j, in, ref->index, ref->run, how, saved);
	return true;
}
