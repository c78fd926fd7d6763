#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "flow/flow_internal.h"

struct run *flow_run_add(struct job *j, struct step_state *ss, int32_t index,
			 struct worker *w, int32_t run, int64_t now_ms)
{
	struct run *r = tg_xcalloc(1, sizeof(*r));
	struct task *t = &ss->tasks[index];
	struct flow_shape available = flow_task_shape(flow_step_of(j, ss));

	r->job = j;
	r->step_state = ss;
	r->index = index;
	r->run = run;
	r->worker = w;
	r->answered_ms = r->added_ms = now_ms;
	/*
	 * Of two runs the one with the higher number is current: whoever
	 * ordered it knew of the other one.
	 */
	if (!t->run || t->run->run < run)
		t->run = r;
	t->n_runs++;
	t->planned_on = NULL;
	if (run > t->last_run)
		t->last_run = run;
	ss->n_runs++;
	j->n_runs++;
	flow_shape_add(&w->used, &available, 1);
	ss->gang_checked_round = w->run_ends_round = 0;
	r->next = w->runs;
	if (w->runs)
		w->runs->prev = r;
	w->runs = r;
	DL_APPEND2(j->flow->unconfirmed, r, unconfirmed_prev, unconfirmed_next);
	return r;
}

void flow_run_set_confirmed(struct run *r, bool confirmed)
{
	struct flow *f = r->job->flow;

	if (r->is_confirmed == confirmed)
		return;
	r->is_confirmed = confirmed;
	if (confirmed)
		DL_DELETE2(f->unconfirmed, r, unconfirmed_prev,
			   unconfirmed_next);
	else
		DL_APPEND2(f->unconfirmed, r, unconfirmed_prev,
			   unconfirmed_next);
}

size_t flow_count_runs(const struct worker *w)
{
	const struct run *r;
	size_t n = 0;

	for (r = w->runs; r; r = r->next)
		n++;
	return n;
}

struct flow_run_ref flow_ref_of(const struct run *r)
{
	return (struct flow_run_ref){
		.job = r->job->id,
		.occurrence = r->step_state->occurrence,
		.step = r->step_state->step,
		.index = r->index,
		.run = r->run,
	};
}

struct run *flow_run_decide(struct job *j, struct step_state *ss, int32_t index,
			    struct worker *w, int32_t run, int64_t now_ms)
{
	struct run *r = flow_run_add(j, ss, index, w, run, now_ms);

	r->state = RUN_DECIDED;
	r->decision = ++j->flow->decisions;
	DL_APPEND2(j->flow->decided, r, decided_prev, decided_next);
	flow_mark_dirty(j, ss, index);
	return r;
}

bool flow_run_was_ordered(const struct run *r)
{
	return r->state != RUN_DECIDED && r->state != RUN_POSSIBLE;
}

static void unlist_decided(struct run *r)
{
	if (r->state == RUN_DECIDED)
		DL_DELETE2(r->job->flow->decided, r, decided_prev,
			   decided_next);
}

void flow_run_remove(struct run *r)
{
	struct flow_shape available =
		flow_task_shape(flow_step_of(r->job, r->step_state));
	struct task *t = &r->step_state->tasks[r->index];

	unlist_decided(r);
	flow_run_set_confirmed(r, true);
	flow_mark_dirty(r->job, r->step_state, r->index);
	flow_shape_add(&r->worker->used, &available, -1);
	if (r->state == RUN_STOPPING)
		flow_shape_add(&r->worker->stopping, &available, -1);
	if (t->run == r)
		t->run = NULL;
	r->step_state->gang_checked_round = 0;
	t->n_runs--;
	r->step_state->n_runs--;
	r->job->n_runs--;
	if (flow_has_ended(r->job) && !r->job->n_runs)
		flow_mark_state_dirty(r->job);
	if (r->prev)
		r->prev->next = r->next;
	else
		r->worker->runs = r->next;
	if (r->next)
		r->next->prev = r->prev;
	free(r);
}

void flow_run_mark_stopping(struct run *r)
{
	struct flow_shape available =
		flow_task_shape(flow_step_of(r->job, r->step_state));

	if (r->state == RUN_STOPPING)
		return;
	r->state = RUN_STOPPING;
	r->stop_pending = true;
	r->step_state->gang_checked_round = 0;
	flow_shape_add(&r->worker->stopping, &available, 1);
}

/* Whether the step's runs are other than one run of all its tasks. */
static bool is_partial(const struct run *r)
{
	const struct flow_step *st = flow_step_of(r->job, r->step_state);
	int32_t i;

	for (i = 0; i < st->tasks; i++) {
		const struct run *o = r->step_state->tasks[i].run;

		if (!o || o->run != r->run || o->state == RUN_STOPPING)
			return true;
	}
	return false;
}

bool flow_gang_is_partial(const struct run *r)
{
	struct step_state *ss = r->step_state;

	if (!flow_step_of(r->job, ss)->gang || ss->n_done)
		return false;
	/* All members but those of another run get the same answer. */
	if (r->step_state->tasks[r->index].run != r)
		return is_partial(r);
	if (ss->gang_checked_round != r->job->flow->round) {
		ss->gang_checked_round = r->job->flow->round;
		ss->gang_is_partial = is_partial(r);
	}
	return ss->gang_is_partial;
}

void flow_store_checkpoint(struct job *j, struct step_state *ss, int32_t index,
			   const char *saved)
{
	const struct flow_step *st = flow_step_of(j, ss);
	int32_t i;

	if (!saved || !*saved || strlen(saved) > FLOW_CHECKPOINT_LEN)
		return;
	if (!st->gang) {
		tg_strlcpy(ss->tasks[index].saved, saved,
			   FLOW_CHECKPOINT_LEN + 1);
		return;
	}
	/* All members of a gang resume from the same checkpoint. */
	for (i = 0; i < st->tasks; i++)
		tg_strlcpy(ss->tasks[i].saved, saved, FLOW_CHECKPOINT_LEN + 1);
}

void flow_gang_done(struct job *j, struct step_state *ss)
{
	int32_t i;

	for (i = 0; i < flow_step_of(j, ss)->tasks; i++)
		flow_task_done(j, ss, i);
}

static void record_done(struct job *j, struct step_state *ss, int32_t index)
{
	if (flow_step_of(j, ss)->gang) {
		flow_gang_done(j, ss);
		flow_mark_step_dirty(j, ss);
		return;
	}
	flow_task_done(j, ss, index);
	flow_mark_dirty(j, ss, index);
}

/* Failures and the checkpoint of a gang are recorded for its first task. */
static void mark_shared_dirty(struct job *j, const struct step_state *ss,
			      int32_t index)
{
	flow_mark_dirty(j, ss, flow_step_of(j, ss)->gang ? 0 : index);
}

static struct run_numbers *failures_of(const struct job *j,
				       struct step_state *ss, int32_t index)
{
	return &ss->tasks[flow_step_of(j, ss)->gang ? 0 : index].failures;
}

void flow_fail_if_exhausted(struct flow *f, struct job *j,
			    struct step_state *ss, int32_t index)
{
	const struct queue *q = flow_find_queue(f, j->queue);

	if (!q || flow_has_ended(j) || flow_step_of(j, ss)->endless ||
	    flow_count_run_numbers(failures_of(j, ss, index)) < q->max_attempts)
		return;
	j->state = FLOW_FAILED;
	flow_mark_state_dirty(j);
}

/* Counts a failure once, however often its worker reports it. */
static void record_failure(struct flow *f, struct job *j, struct step_state *ss,
			   int32_t index, int32_t run)
{
	if (!flow_add_run_number(failures_of(j, ss, index), run))
		return;
	j->failures++;
	mark_shared_dirty(j, ss, index);
	flow_fail_if_exhausted(f, j, ss, index);
}

/* Records the end of a run for its job; the run need not be known. */
static void record_end(struct flow *f, struct job *j, struct step_state *ss,
		       int32_t index, int32_t run, enum flow_run_result how,
		       const char *saved)
{
	struct task *t = &ss->tasks[index];
	bool endless = flow_step_of(j, ss)->endless;

	if (run > t->last_run)
		t->last_run = run;
	if (how == FLOW_RUN_DONE && !endless) {
		record_done(j, ss, index);
		return;
	}
	flow_store_checkpoint(j, ss, index, saved);
	if (saved && *saved)
		mark_shared_dirty(j, ss, index);
	if (how == FLOW_RUN_FAILED)
		record_failure(f, j, ss, index, run);
}

void flow_run_ended(struct flow *f, struct run *r, enum flow_run_result how,
		    const char *saved, int64_t now_ms)
{
	struct job *j = r->job;
	struct step_state *ss = r->step_state;
	struct worker *w = r->worker;
	int32_t index = r->index, run = r->run;
	bool stalled = r->stalled;

	if (how == FLOW_RUN_DONE)
		flow_speed_done(r, now_ms);
	flow_usage_run_ended(f, r, how, saved, now_ms);
	flow_run_remove(r);
	record_end(f, j, ss, index, run, how, saved);
	if (how == FLOW_RUN_DONE)
		flow_worker_succeeded(w);
	if (how == FLOW_RUN_FAILED || stalled) {
		ss->tasks[index].last_failed_on = w;
		flow_worker_failed(f, w, j->id, now_ms);
	}
}

/*
 * A decision, a record and an order show only that a run is wanted.  That it
 * has begun shows in the answer to its start, or in a list of its worker.
 */
static void note_begun(struct job *j, struct step_state *ss, int32_t index)
{
	j->begun = ss->tasks[index].begun = true;
}

static void run_begun(struct run *r)
{
	struct queue *q = flow_find_queue(r->job->flow, r->job->queue);

	if (r->begun)
		return;
	r->begun = true;
	r->job->runs_begun++;
	if (q)
		q->starts++;
	note_begun(r->job, r->step_state, r->index);
}

/* Finds a task of an open occurrence, or opens the one that a report names. */
static bool find_task(const struct flow *f, const struct flow_run_ref *ref,
		      bool open, struct job **j, struct step_state **ss)
{
	*j = flow_find_job(f, ref->job);
	if (!*j || ref->step < 0 || ref->step >= (*j)->spec->n_steps ||
	    ref->index < 0 || ref->index >= (*j)->spec->steps[ref->step].tasks)
		return false;
	*ss = open ? flow_open_step_state(*j, ref->occurrence, ref->step) :
		     flow_step_state(*j, ref->occurrence, ref->step);
	return *ss;
}

/* A worker may have many runs, so its list is searched last. */
static struct run *find_run(const struct flow *f,
			    const struct flow_run_ref *ref, struct worker *w)
{
	struct step_state *ss;
	const struct task *t;
	struct run *r;
	struct job *j;

	if (!w || !find_task(f, ref, false, &j, &ss))
		return NULL;
	t = &ss->tasks[ref->index];
	if (t->run && t->run->worker == w && t->run->run == ref->run)
		return t->run;
	/* It has no run but the current one. */
	if (t->n_runs <= (t->run ? 1 : 0))
		return NULL;
	for (r = w->runs; r; r = r->next)
		if (r->step_state == ss && r->index == ref->index &&
		    r->run == ref->run)
			return r;
	return NULL;
}

const char *flow_starting_text(const struct flow *f,
			       const struct flow_run_ref *ref,
			       const char *worker)
{
	struct run *r = find_run(f, ref, flow_find_worker(f, worker));

	if (!r || r->state != RUN_STARTING || r->worker->evacuated)
		return NULL;
	return r->job->spec->text;
}

bool flow_run_may_outlive(const struct run *r, const struct flow_crash *crash)
{
	if (crash->orders_lost || !flow_run_was_ordered(r))
		return false;
	return r->state == RUN_STARTING || r->start_unanswered ||
		(crash->asked_ms && r->answered_ms >= crash->asked_ms);
}

void flow_run_process_ended(struct run *r, int64_t now_ms)
{
	flow_run_mark_stopping(r);
	r->process_ended = r->start_unanswered = r->stop_pending = true;
	flow_run_set_confirmed(r, false);
	/* The next process has neither seen a stop order nor listed it. */
	r->stop_confirmed = false;
	r->next_stop_ms = 0;
	r->answered_ms = now_ms;
}

void flow_start_unanswered(struct flow *f, const struct flow_run_ref *ref,
			   const char *worker)
{
	struct run *r = find_run(f, ref, flow_find_worker(f, worker));

	if (r)
		r->start_unanswered = true;
}

void flow_start_sent(struct flow *f, const struct flow_run_ref *ref,
		     const char *worker)
{
	struct run *r = find_run(f, ref, flow_find_worker(f, worker));

	if (r)
		r->start_sent = true;
}

void flow_start_confirmed(struct flow *f, const struct flow_run_ref *ref,
			  const char *worker)
{
	struct run *r = find_run(f, ref, flow_find_worker(f, worker));

	if (r && !r->process_ended)
		flow_run_set_confirmed(r, true);
}

void flow_start_answered(struct flow *f, const struct flow_run_ref *ref,
			 const char *worker, enum flow_order_result end,
			 int64_t now_ms)
{
	struct worker *w = flow_find_worker(f, worker);
	struct run *r = find_run(f, ref, w);
	struct step_state *ss;
	struct job *j;

	/* Also if the run has been given up in the meantime. */
	if (!r && end == FLOW_ORDER_DONE && find_task(f, ref, false, &j, &ss))
		note_begun(j, ss, ref->index);
	if (!r)
		return;
	if (end == FLOW_ORDER_DONE)
		run_begun(r);
	r->start_unanswered |= end == FLOW_ORDER_UNKNOWN;
	if (end == FLOW_ORDER_DONE || end == FLOW_ORDER_UNKNOWN) {
		if (r->state != RUN_STARTING)
			return;
		r->state =
			end == FLOW_ORDER_DONE ? RUN_ACTIVE : RUN_START_UNKNOWN;
		r->answered_start = end == FLOW_ORDER_DONE;
		r->answered_ms = now_ms;
		return;
	}
	if (end == FLOW_ORDER_INVALID && !flow_has_ended(r->job)) {
		r->job->state = FLOW_FAILED;
		flow_mark_state_dirty(r->job);
	}
	if (end == FLOW_ORDER_NOT_DONE)
		flow_worker_failed(f, w, r->job->id, now_ms);
	flow_run_remove(r);
}

void flow_stop_answered(struct flow *f, const struct flow_run_ref *ref,
			const char *worker, enum flow_order_result end,
			int64_t now_ms)
{
	struct run *r = find_run(f, ref, flow_find_worker(f, worker));

	if (!r || r->state != RUN_STOPPING)
		return;
	if (end == FLOW_ORDER_DONE) {
		r->stop_confirmed = true;
		r->answered_ms = now_ms;
	} else {
		r->stop_pending = true;
	}
}

bool flow_has_run(const struct flow *f, const struct flow_run_ref *ref,
		  const char *worker)
{
	return find_run(f, ref, flow_find_worker(f, worker)) != NULL;
}

bool flow_is_stopping(const struct flow *f, const struct flow_run_ref *ref,
		      const char *worker)
{
	const struct run *r = find_run(f, ref, flow_find_worker(f, worker));

	return r && r->state == RUN_STOPPING;
}

enum flow_listed flow_report_run(struct flow *f, const struct flow_run_ref *ref,
				 const char *worker, int32_t percent,
				 const char *saved, int64_t now_ms)
{
	enum flow_listed listed = FLOW_LISTED_KNOWN;
	struct worker *w = flow_find_worker(f, worker);
	struct run *r = find_run(f, ref, w);
	struct step_state *ss;
	struct job *j;
	struct task *t;

	if (!w || !find_task(f, ref, true, &j, &ss))
		return FLOW_LISTED_UNKNOWN;
	t = &ss->tasks[ref->index];
	if (!r) {
		bool wanted = !t->done && !flow_has_ended(j) &&
			ref->run >= t->last_run;

		r = flow_run_add(j, ss, ref->index, w, ref->run, now_ms);
		r->state = RUN_ACTIVE;
		listed = FLOW_LISTED_ADDED;
		flow_mark_dirty(j, ss, ref->index);
		/* The record of an ended job says whether it has runs. */
		if (flow_has_ended(j))
			flow_mark_state_dirty(j);
		if (!wanted || t->run != r)
			flow_run_mark_stopping(r);
	}
	unlist_decided(r);
	flow_run_set_confirmed(r, true);
	if (r->state != RUN_STOPPING)
		r->state = RUN_ACTIVE;
	run_begun(r);
	r->listed_ms = now_ms;
	flow_pace_update(r, percent, now_ms);
	flow_store_checkpoint(j, ss, ref->index, saved);
	return listed;
}

bool flow_report_list_end(struct flow *f, const char *worker, int64_t asked_ms,
			  int64_t now_ms)
{
	struct worker *w = flow_find_worker(f, worker);
	bool active_missing = false;
	struct run *r, *next;

	if (!w)
		return false;
	for (r = w->runs; r; r = next) {
		next = r->next;
		if (r->listed_ms >= now_ms || r->answered_ms >= asked_ms)
			continue;
		/* Not in a list that was requested after the answer. */
		switch (r->state) {
		case RUN_DECIDED:
		case RUN_STARTING:
			break;
		case RUN_POSSIBLE:
			/* Planned runs are stopped only once recorded. */
			flow_run_remove(r);
			break;
		case RUN_START_UNKNOWN:
			flow_run_mark_stopping(r);
			break;
		case RUN_STOPPING:
			if (!r->stop_confirmed ||
			    r->answered_ms + f->opts.stop_ms >= asked_ms)
				break;
			flow_run_ended(f, r, FLOW_RUN_LEASE_EXPIRED, NULL,
				       now_ms);
			break;
		case RUN_ACTIVE:
			/*
			 * Another process that owned the site before may have
			 * just stopped it, so that it still runs.
			 */
			flow_run_mark_stopping(r);
			r->stop_pending = false;
			r->stop_confirmed = true;
			r->answered_ms = now_ms;
			active_missing = true;
			break;
		}
	}
	return active_missing;
}

bool flow_report_end(struct flow *f, const struct flow_run_ref *ref,
		     const char *worker, enum flow_run_result how,
		     const char *saved, int64_t now_ms)
{
	struct run *r = find_run(f, ref, flow_find_worker(f, worker));
	struct step_state *ss;
	struct job *j;

	if (r) {
		run_begun(r);
		flow_run_ended(f, r, how, saved, now_ms);
		return true;
	}
	if (!find_task(f, ref, true, &j, &ss))
		return false;
	note_begun(j, ss, ref->index);
	record_end(f, j, ss, ref->index, ref->run, how, saved);
	return true;
}
