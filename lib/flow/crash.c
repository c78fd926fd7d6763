#include <stdlib.h>
#include <string.h>

#include "flow/flow_internal.h"

/*
 * Finds tasks that crash the workers that start them.
 *
 * A crash ends all runs on its worker.  It is blamed on those that began
 * shortly before, and of these on the ones that were blamed before.  A task
 * that was blamed gets a worker to itself for a moment if there is one, so that
 * the next crash costs others little and tells whether it is the cause.  A task
 * that outlives the age at which its workers crashed is cleared.
 */

/* Most tasks that crash their worker do so this soon after their start. */
#define YOUNG_MS 2000
/*
 * A run that began this shortly before its worker crashed is blamed even if
 * other workers went silent at the same time: few tasks start in that time, and
 * an innocent one would have to be as unlucky CRASHES_MAX times.
 */
#define VERY_YOUNG_MS 250
/* A job fails when this many crashes are blamed on one of its tasks. */
#define CRASHES_MAX 3
/*
 * Workers that are silent at the same time have a common cause: a rack, an
 * availability zone, a network path.  Silence is noticed with a delay of up to
 * this much.
 */
#define SAME_TIME_MS 3000
#define SAME_TIME_WORKERS 2

/* struct casualty - a run that ended with its worker */
struct casualty {
	struct job *job;
	struct step_state *step_state;
	struct task *task;
	int32_t index, run;
	int64_t age_ms;
};

bool flow_may_crash_worker(const struct task *t)
{
	return t->crashes.n > 1 || (t->crashes.n && t->crash_age_ms < YOUNG_MS);
}

/* Age up to which a crash is put down to a run rather than to older ones. */
static int64_t probation_ms(const struct task *t)
{
	int64_t ms = t->crashes.n ? 2 * t->crash_age_ms : 0;

	return ms > YOUNG_MS ? ms : YOUNG_MS;
}

/* -1 if the run was started by a former owner. */
static int64_t age_at(const struct run *r, int64_t ms)
{
	int64_t age_ms = ms - r->added_ms;

	if (!r->added_ms)
		return -1;
	return age_ms > 0 ? age_ms : 0;
}

bool flow_run_is_isolated(const struct run *r, int64_t now_ms)
{
	return flow_may_crash_worker(&r->step_state->tasks[r->index]) &&
		age_at(r, now_ms) >= 0 && age_at(r, now_ms) < YOUNG_MS;
}

void flow_clear_crashes(struct run *r)
{
	struct task *t = &r->step_state->tasks[r->index];

	/* What its worker has not listed may have crashed since. */
	if (!t->crashes.n || age_at(r, r->listed_ms) < probation_ms(t))
		return;
	t->crashes.n = t->crashes.n_older = 0;
	t->crash_age_ms = 0;
	flow_mark_dirty(r->job, r->step_state, r->index);
}

void flow_worker_silent(struct flow *f, const char *id, int64_t now_ms)
{
	struct worker *w = flow_find_worker(f, id);
	const struct run *r;

	if (!w)
		return;
	w->silent_ms = now_ms;
	w->may_have_own_cause = false;
	/* The age of runs that a former owner started is not known. */
	for (r = w->runs; r; r = r->next)
		w->may_have_own_cause |=
			flow_run_was_ordered(r) && age_at(r, now_ms) < YOUNG_MS;
}

void flow_worker_back(struct flow *f, const char *id)
{
	struct worker *w = flow_find_worker(f, id);

	if (w)
		w->silent_ms = 0;
}

/*
 * Whether other workers ended at the same time.  Those that have a run which
 * may have crashed them are left out, and those that were only silent.
 */
static bool has_common_cause(const struct flow *f, const struct worker *w,
			     int64_t silent_ms)
{
	const struct worker *o;
	int32_t n = 0;

	for (o = f->workers; o; o = o->hh.next)
		n += o != w && o->pool == w->pool && o->silent_ms &&
			!o->may_have_own_cause &&
			llabs(o->silent_ms - silent_ms) <= SAME_TIME_MS;
	return n >= SAME_TIME_WORKERS;
}

static bool is_on_probation(const struct casualty *c)
{
	return c->age_ms >= 0 && c->age_ms < probation_ms(c->task);
}

static void blame(const struct casualty *c, const struct flow_crash *crash)
{
	struct flow_blame b = {
		.ref = { .job = c->job->id,
			 .occurrence = c->step_state->occurrence,
			 .step = c->step_state->step,
			 .index = c->index,
			 .run = c->run },
		.age_ms = c->age_ms,
	};

	if (!flow_add_run_number(&c->task->crashes, c->run))
		return;
	if (c->age_ms > c->task->crash_age_ms)
		c->task->crash_age_ms = c->age_ms;
	if (c->task->crashes.n >= CRASHES_MAX && !flow_has_ended(c->job)) {
		c->job->state = FLOW_FAILED;
		flow_mark_state_dirty(c->job);
		b.given_up = true;
	}
	flow_mark_dirty(c->job, c->step_state, c->index);
	b.crashes = c->task->crashes.n;
	if (crash->on_blame)
		crash->on_blame(&b, crash->arg);
}

/* Whether the run is blamed although there may be a common cause. */
static bool is_telling(const struct casualty *c)
{
	return is_on_probation(c) &&
		(c->age_ms < VERY_YOUNG_MS || c->task->crashes.n);
}

/* Drops the casualties that a common cause explains; returns how many remain.
 */
static size_t keep_telling(struct casualty *list, size_t n)
{
	size_t i, kept = 0;

	for (i = 0; i < n; i++)
		if (is_telling(&list[i]))
			list[kept++] = list[i];
	return kept;
}

static void find_culprits(const struct casualty *list, size_t n,
			  const struct flow_crash *crash)
{
	bool any_on_probation = false;
	int32_t most_crashes = 0;
	size_t i;

	for (i = 0; i < n; i++)
		any_on_probation |= is_on_probation(&list[i]);
	for (i = 0; i < n; i++)
		if (is_on_probation(&list[i]) == any_on_probation &&
		    list[i].task->crashes.n > most_crashes)
			most_crashes = list[i].task->crashes.n;
	for (i = 0; i < n; i++)
		if (is_on_probation(&list[i]) == any_on_probation &&
		    list[i].task->crashes.n == most_crashes)
			blame(&list[i], crash);
}

static struct casualty casualty_of(const struct run *r, int64_t silent_ms)
{
	return (struct casualty){
		.job = r->job,
		.step_state = r->step_state,
		.task = &r->step_state->tasks[r->index],
		.index = r->index,
		.run = r->run,
		.age_ms = age_at(r, silent_ms),
	};
}

/* Adds the runs that ended when the leases of the silent worker expired. */
static size_t add_lost_runs(struct flow *f, const struct worker *w,
			    struct casualty *list)
{
	size_t i, n = 0;

	for (i = 0; i < w->n_lost_runs; i++) {
		const struct lost_run *l = &w->lost_runs[i];
		struct job *j = flow_find_job(f, l->job);
		struct step_state *ss =
			j ? flow_step_state(j, l->occurrence, l->step) : NULL;

		if (!ss || ss->tasks[l->index].done)
			continue;
		list[n++] = (struct casualty){
			.job = j,
			.step_state = ss,
			.task = &ss->tasks[l->index],
			.index = l->index,
			.run = l->run,
			.age_ms = l->age_ms,
		};
	}
	return n;
}

void flow_remember_lost_run(struct worker *w, const struct run *r)
{
	struct lost_run *l;

	w->lost_runs = tg_xrealloc(
		w->lost_runs, (w->n_lost_runs + 1) * sizeof(*w->lost_runs));
	l = &w->lost_runs[w->n_lost_runs++];
	tg_strlcpy(l->job, r->job->id, sizeof(l->job));
	l->occurrence = r->step_state->occurrence;
	l->step = r->step_state->step;
	l->index = r->index;
	l->run = r->run;
	l->age_ms = age_at(r, w->silent_ms);
}

void flow_forget_lost_runs(struct worker *w)
{
	free(w->lost_runs);
	w->lost_runs = NULL;
	w->n_lost_runs = 0;
}

void flow_worker_crashed(struct flow *f, const struct flow_crash *crash,
			 int64_t now_ms)
{
	struct worker *w = flow_find_worker(f, crash->worker);
	struct casualty *list;
	const struct run *r;
	size_t n;

	if (!w)
		return;
	list = tg_xcalloc(w->n_lost_runs + flow_count_runs(w) + 1,
			  sizeof(*list));
	n = add_lost_runs(f, w, list);
	for (r = w->runs; r; r = r->next)
		if (flow_run_was_ordered(r) && !r->process_ended)
			list[n++] = casualty_of(r, crash->silent_ms);
	if (has_common_cause(f, w, crash->silent_ms))
		n = keep_telling(list, n);
	if (!w->draining)
		find_culprits(list, n, crash);
	free(list);
	flow_worker_replaced(f, w, crash, now_ms);
	flow_forget_lost_runs(w);
}
