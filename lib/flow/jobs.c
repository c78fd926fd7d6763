#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "flow/flow_internal.h"

const char *flow_state_name(enum flow_state s)
{
	static const char *const names[] = {
		[FLOW_QUEUED] = "queued",	[FLOW_RUNNING] = "running",
		[FLOW_COMPLETED] = "completed", [FLOW_FAILED] = "failed",
		[FLOW_CANCELLED] = "cancelled",
	};

	return names[s];
}

struct flow *flow_new(const struct flow_opts *opts)
{
	struct flow *f = tg_xcalloc(1, sizeof(*f));

	f->opts = *opts;
	return f;
}

struct job *flow_find_job(const struct flow *f, const char *id)
{
	struct job *j;

	HASH_FIND_STR(f->jobs, id, j);
	return j;
}

const struct flow_step *flow_step_of(const struct job *j,
				     const struct step_state *ss)
{
	return &j->spec->steps[ss->step];
}

bool flow_has_ended(const struct job *j)
{
	return j->state >= FLOW_COMPLETED;
}

bool flow_may_not_start(const struct job *j)
{
	return j->recovered || j->unsplit;
}

bool flow_add_job(struct flow *f, const struct flow_job_opts *o)
{
	struct job *j = flow_find_job(f, o->id);

	if (j) {
		flow_spec_free(o->spec);
		return false;
	}
	j = tg_xcalloc(1, sizeof(*j));
	j->flow = f;
	tg_strlcpy(j->id, o->id, sizeof(j->id));
	tg_set_str(&j->queue, o->queue);
	tg_set_str(&j->workspace, o->workspace);
	j->spec = o->spec;
	j->accepted_ms = o->accepted_ms;
	j->recovered = o->recovered;
	flow_occurrences_init(j);
	flow_records_init(j);
	f->held_bytes += flow_job_bytes(j->spec);
	HASH_ADD_STR(f->jobs, id, j);
	return true;
}

bool flow_has_job(const struct flow *f, const char *id)
{
	return flow_find_job(f, id) != NULL;
}

/* Workers report an end until it is acknowledged, and in any order. */
bool flow_add_run_number(struct run_numbers *fl, int32_t run)
{
	int32_t i;

	for (i = 0; i < fl->n && fl->runs[i] < run; i++)
		;
	if (i < fl->n && fl->runs[i] == run)
		return false;
	if (!i && fl->n_older)
		return false;
	fl->runs =
		tg_xrealloc(fl->runs, (size_t)(fl->n + 1) * sizeof(*fl->runs));
	memmove(fl->runs + i + 1, fl->runs + i,
		(size_t)(fl->n - i) * sizeof(*fl->runs));
	fl->runs[i] = run;
	if (fl->n < RUN_NUMBERS_MAX) {
		fl->n++;
		return true;
	}
	fl->n_older++;
	memmove(fl->runs, fl->runs + 1, (size_t)fl->n * sizeof(*fl->runs));
	return true;
}

int32_t flow_count_run_numbers(const struct run_numbers *fl)
{
	return fl->n + fl->n_older;
}

static void free_job(struct job *j)
{
	j->flow->held_bytes -= flow_job_bytes(j->spec);
	flow_records_free(j);
	flow_occurrences_free(j);
	flow_spec_free(j->spec);
	free(j->queue);
	free(j->workspace);
	free(j);
}

bool flow_remove_job(struct flow *f, const char *id)
{
	struct job *j = flow_find_job(f, id);

	if (!j || !flow_has_ended(j) || j->n_runs)
		return false;
	HASH_DEL(f->jobs, j);
	free_job(j);
	return true;
}

bool flow_cancel(struct flow *f, const char *id, int64_t now_ms)
{
	struct job *j = flow_find_job(f, id);

	(void)now_ms;
	if (!j)
		return false;
	if (flow_has_ended(j))
		return true;
	j->cancelled = true;
	j->state = FLOW_CANCELLED;
	flow_mark_state_dirty(j);
	return true;
}

void flow_task_done(struct job *j, struct step_state *ss, int32_t index)
{
	struct task *t = &ss->tasks[index];
	const struct flow_step *st = flow_step_of(j, ss);

	if (t->done)
		return;
	t->done = true;
	ss->n_done++;
	if (ss->n_done < st->tasks)
		return;
	if (++ss->of->n_steps_done < j->spec->n_steps)
		return;
	if (++j->n_occurrences_done < j->n_occurrences || flow_has_ended(j))
		return;
	j->state = FLOW_COMPLETED;
	flow_mark_state_dirty(j);
}

bool flow_is_ready(const struct flow *f, struct job *j,
		   const struct step_state *ss, int64_t wall_ms)
{
	const struct flow_step *st = flow_step_of(j, ss);
	int32_t k;

	if (!flow_is_due(f, j, ss->occurrence, wall_ms))
		return false;
	for (k = 0; k < st->n_after; k++) {
		const struct step_state *p = &ss->of->steps[st->after[k]];

		if (p->n_done < flow_step_of(j, p)->tasks)
			return false;
	}
	return true;
}

void flow_end_recovery(struct flow *f)
{
	struct job *j, *tmp;

	HASH_ITER(hh, f->jobs, j, tmp)
		j->recovered = false;
}

static int64_t count_done(const struct job *j)
{
	int64_t n = (int64_t)j->n_occurrences_closed * j->occurrence_tasks;
	const struct step_state *ss;
	int32_t i;

	for (i = 0; (ss = flow_nth_open(j, i)); i++)
		if (!flow_occurrence_is_done(j, ss->occurrence))
			n += ss->n_done;
	return n;
}

bool flow_job_status(const struct flow *f, const char *id,
		     struct flow_job_status *v)
{
	struct job *j = flow_find_job(f, id);

	if (!j)
		return false;
	memset(v, 0, sizeof(*v));
	v->state = j->state;
	if (j->state == FLOW_QUEUED && j->begun)
		v->state = FLOW_RUNNING;
	v->durable = flow_has_ended(j) ? j->end_durable : flow_is_durable(j);
	v->begun = j->begun;
	v->runs = j->runs_begun;
	v->failures = j->failures;
	v->tasks = flow_spec_tasks(j->spec);
	v->done = count_done(j);
	return true;
}

int64_t flow_count_waiting(const struct flow *f, const char *queue)
{
	struct job *j, *tmp;
	int64_t n = 0;

	HASH_ITER(hh, f->jobs, j, tmp)
		n += !j->begun && !flow_has_ended(j) && !j->spec->times &&
			!strcmp(j->queue, queue);
	return n;
}

struct queue *flow_find_queue(const struct flow *f, const char *name)
{
	struct queue *q;

	HASH_FIND_STR(f->queues, name, q);
	return q;
}

/* Attempts may have been recorded before the limit of the queue was known. */
static void fail_exhausted_jobs(struct flow *f)
{
	struct step_state *ss;
	struct job *j, *tmp;
	int32_t i, k;

	HASH_ITER(hh, f->jobs, j, tmp)
		for (i = 0; (ss = flow_nth_open(j, i)); i++) {
			for (k = 0; k < flow_step_of(j, ss)->tasks; k++)
				if (!ss->tasks[k].done)
					flow_fail_if_exhausted(f, j, ss, k);
		}
}

/* A queue that stays keeps its counts. */
void flow_set_queues(struct flow *f, const struct flow_queue *q, size_t n)
{
	struct queue *e, *tmp;
	size_t i;

	HASH_ITER(hh, f->queues, e, tmp)
		e->listed = false;
	for (i = 0; i < n; i++) {
		e = flow_find_queue(f, q[i].name);
		if (!e) {
			e = tg_xcalloc(1, sizeof(*e));
			e->name = tg_xstrdup(q[i].name);
			HASH_ADD_KEYPTR(hh, f->queues, e->name, strlen(e->name),
					e);
		}
		tg_set_str(&e->service, q[i].service);
		e->priority = q[i].priority;
		e->max_attempts = q[i].max_attempts;
		e->stretch = q[i].stretch;
		e->target_ms = q[i].target_ms;
		e->listed = true;
	}
	HASH_ITER(hh, f->queues, e, tmp) {
		if (e->listed)
			continue;
		HASH_DEL(f->queues, e);
		free(e->name);
		free(e->service);
		free(e);
	}
	fail_exhausted_jobs(f);
}

void flow_set_quotas(struct flow *f, const struct flow_quota *q, size_t n)
{
	struct quota *old, *tmp;
	size_t i;

	HASH_ITER(hh, f->quotas, old, tmp) {
		HASH_DEL(f->quotas, old);
		free(old->workspace);
		free(old);
	}
	for (i = 0; i < n; i++) {
		struct quota *e = tg_xcalloc(1, sizeof(*e));

		e->workspace = tg_xstrdup(q[i].workspace);
		e->guaranteed = q[i].guaranteed;
		HASH_ADD_KEYPTR(hh, f->quotas, e->workspace,
				strlen(e->workspace), e);
	}
}

void flow_free(struct flow *f)
{
	struct job *j, *jt;
	struct worker *w, *wt;
	struct pool *p, *pt;
	struct rack *k, *kt;
	int32_t i;

	if (!f)
		return;
	flow_set_queues(f, NULL, 0);
	flow_set_quotas(f, NULL, 0);
	HASH_ITER(hh, f->workers, w, wt) {
		while (w->runs)
			flow_run_remove(w->runs);
		flow_free_worker(f, w);
	}
	HASH_ITER(hh, f->pools, p, pt) {
		HASH_DEL(f->pools, p);
		flow_array_free(&p->ready);
		for (i = 0; i < FIT_LISTS; i++)
			flow_array_free(&p->fit[i]);
		free(p->service);
		free(p);
	}
	HASH_ITER(hh, f->racks, k, kt) {
		HASH_DEL(f->racks, k);
		flow_array_free(&k->workers);
		free(k->name);
		free(k);
	}
	flow_array_free(&f->victims);
	flow_array_free(&f->no_fits);
	flow_evacuate_free(f);
	flow_fairness_free(f);
	HASH_ITER(hh, f->jobs, j, jt) {
		HASH_DEL(f->jobs, j);
		free_job(j);
	}
	free(f);
}

void flow_stats(const struct flow *f, struct flow_stats *out)
{
	struct job *j, *jt;
	struct worker *w, *wt;
	struct run *r;

	memset(out, 0, sizeof(*out));
	out->workers_checked = f->workers_checked;
	HASH_ITER(hh, f->jobs, j, jt) {
		out->jobs++;
		out->open_occurrences += (int64_t)j->open.n;
		if (flow_has_ended(j))
			continue;
		out->open_jobs++;
		out->waiting_tasks +=
			flow_spec_tasks(j->spec) - count_done(j) - j->n_runs;
	}
	HASH_ITER(hh, f->workers, w, wt) {
		out->workers++;
		out->ready_workers +=
			w->present && w->runs_known && !w->suspect;
		out->quarantined += w->quarantined_until_ms > 0;
		out->free_accelerators +=
			w->capacity.accelerators - w->used.accelerators;
		for (r = w->runs; r; r = r->next) {
			out->runs++;
			out->stopping += r->state == RUN_STOPPING;
			out->unsure += r->state == RUN_START_UNKNOWN;
		}
	}
}
