#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "flow/flow_internal.h"

/* Failures in a row, of different jobs, after which a worker is quarantined. */
#define QUARANTINE_FAILURES 3
/* Duration of the first quarantine; doubles each time up to the maximum. */
#define QUARANTINE_INITIAL_MS 4000
#define QUARANTINE_MAX_MS 60000
/* Largest share of a service's workers that may be quarantined at a time. */
#define QUARANTINE_PERCENT 25

/* A task's last attempt avoids workers that failed a task this recently. */
#define AVOID_AFTER_FAILURE_MS 2500

struct worker *flow_find_worker(const struct flow *f, const char *id)
{
	struct worker *w;

	HASH_FIND_STR(f->workers, id, w);
	return w;
}

struct pool *flow_find_pool(const struct flow *f, const char *service)
{
	struct pool *p;

	HASH_FIND_STR(f->pools, service, p);
	return p;
}

static struct pool *get_or_add_pool(struct flow *f, const char *service)
{
	struct pool *p = flow_find_pool(f, service);

	if (p)
		return p;
	p = tg_xcalloc(1, sizeof(*p));
	p->service = tg_xstrdup(service);
	HASH_ADD_KEYPTR(hh, f->pools, p->service, strlen(p->service), p);
	return p;
}

static void count_ordinary(struct worker *w, const struct run *r)
{
	w->ordinary_tasks++;
	w->ordinary_on_loan += r->on_loan;
}

bool flow_stop_is_overdue(const struct flow *f, const struct run *r,
			  int64_t now_ms)
{
	return r->state == RUN_STOPPING && r->stopping_since_ms &&
		now_ms - r->stopping_since_ms >
		f->opts.stop_ms + STOP_MARGIN_MS;
}

static void check_stop(const struct flow *f, struct run *r, int64_t now_ms)
{
	struct flow_shape freed =
		flow_task_shape(flow_step_of(r->job, r->step_state));

	if (!r->stopping_since_ms)
		r->stopping_since_ms = now_ms;
	if (!flow_stop_is_overdue(f, r, now_ms))
		return;
	flow_shape_add(&r->worker->overdue, &freed, 1);
	r->worker->n_overdue++;
}

void flow_update_pools(struct flow *f, int64_t now_ms)
{
	struct pool *p;
	struct worker *w;
	struct run *r;

	for (p = f->pools; p; p = p->hh.next) {
		p->n_ready = p->n_failing = 0;
		p->ready.n = 0;
		p->n_without_ordinary = p->n_urgent_busy = p->n_on_loan = 0;
		memset(&p->largest, 0, sizeof(p->largest));
	}
	for (w = f->workers; w; w = w->hh.next) {
		int32_t n_on_loan = 0;

		w->urgent_tasks = w->ordinary_tasks = w->ordinary_on_loan = 0;
		memset(&w->overdue, 0, sizeof(w->overdue));
		w->n_overdue = 0;
		w->isolated_for = NULL;
		w->cold = now_ms < w->warm_ms;
		for (r = w->runs; r; r = r->next) {
			if (flow_is_urgent(r->job))
				w->urgent_tasks++;
			else
				count_ordinary(w, r);
			if (r->state == RUN_STOPPING)
				check_stop(f, r, now_ms);
			if (flow_run_is_isolated(r, now_ms))
				w->isolated_for = r->job;
			n_on_loan += r->on_loan;
		}
		p = w->pool;
		if (p)
			p->n_on_loan += n_on_loan;
		if (!p || !flow_worker_ready(w, now_ms))
			continue;
		if (w->capacity.accelerators >= p->largest.accelerators)
			p->largest = w->capacity;
		flow_pointers_add(&p->ready, w);
		p->n_ready++;
		p->n_failing += flow_worker_failed_recently(w, now_ms);
		p->n_without_ordinary += !w->ordinary_tasks;
		p->n_urgent_busy += !w->ordinary_tasks && w->urgent_tasks;
	}
}

bool flow_worker_failed_recently(const struct worker *w, int64_t now_ms)
{
	return w->failures_in_row &&
		now_ms - w->failed_ms < AVOID_AFTER_FAILURE_MS;
}

bool flow_pool_can_avoid_failing(const struct pool *p)
{
	return p->n_failing * 100 <= p->n_ready * QUARANTINE_PERCENT;
}

static struct rack *get_or_add_rack(struct flow *f, const char *name)
{
	struct rack *r;

	HASH_FIND_STR(f->racks, name, r);
	if (r)
		return r;
	r = tg_xcalloc(1, sizeof(*r));
	r->name = tg_xstrdup(name);
	HASH_ADD_KEYPTR(hh, f->racks, r->name, strlen(r->name), r);
	return r;
}

static void leave_rack(struct worker *w)
{
	struct worker **list;
	size_t i;

	if (!w->in_rack)
		return;
	list = w->in_rack->workers.items;
	for (i = 0; list[i] != w; i++)
		;
	flow_pointers_remove(&w->in_rack->workers, i);
	w->in_rack = NULL;
}

/* The workers of a rack are sorted by number, like those of a pool. */
static void join_rack(struct worker *w, struct rack *r)
{
	struct worker **list = r->workers.items;
	size_t i = r->workers.n;

	if (w->in_rack == r)
		return;
	leave_rack(w);
	while (i > 0 && list[i - 1]->number > w->number)
		i--;
	flow_pointers_insert(&r->workers, i, w);
	w->in_rack = r;
}

bool flow_worker_ready(const struct worker *w, int64_t now_ms)
{
	return w->present && w->runs_known && !w->suspect && !w->draining &&
		!w->evacuated && w->quarantined_until_ms <= now_ms;
}

bool flow_worker_has_label(const struct worker *w, const char *label)
{
	int32_t i;

	for (i = 0; label && i < w->n_labels; i++)
		if (!strcmp(w->labels[i], label))
			return true;
	return !label;
}

bool flow_shape_fits(const struct flow_shape *need,
		     const struct flow_shape *have)
{
	return need->cpu_millicores <= have->cpu_millicores &&
		need->memory_mb <= have->memory_mb &&
		need->accelerators <= have->accelerators;
}

void flow_shape_add(struct flow_shape *to, const struct flow_shape *s,
		    int32_t sign)
{
	to->cpu_millicores += sign * s->cpu_millicores;
	to->memory_mb += sign * s->memory_mb;
	to->accelerators += sign * s->accelerators;
}

static void limit(int64_t *value, int64_t max)
{
	if (*value > max)
		*value = max;
}

void flow_shape_limit(struct flow_shape *s, const struct flow_shape *max)
{
	limit(&s->cpu_millicores, max->cpu_millicores);
	limit(&s->memory_mb, max->memory_mb);
	limit(&s->accelerators, max->accelerators);
}

double flow_dominant_share(const struct flow_shape *part,
			   const struct flow_shape *whole)
{
	const int64_t parts[] = { part->cpu_millicores, part->memory_mb,
				  part->accelerators };
	const int64_t wholes[] = { whole->cpu_millicores, whole->memory_mb,
				   whole->accelerators };
	double max_share = 0;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(parts); i++) {
		double share = wholes[i] > 0 ?
			(double)parts[i] / (double)wholes[i] :
			0;

		if (share > max_share)
			max_share = share;
	}
	return max_share;
}

struct flow_shape flow_task_shape(const struct flow_step *st)
{
	struct flow_shape s = st->shape;

	if (st->filler)
		s.cpu_millicores = 0;
	return s;
}

struct worker *flow_get_or_add_worker(struct flow *f, const char *id)
{
	struct worker *w = flow_find_worker(f, id);

	if (w)
		return w;
	w = tg_xcalloc(1, sizeof(*w));
	w->id = tg_xstrdup(id);
	w->az = tg_xstrdup("");
	w->rack = tg_xstrdup("");
	w->number = f->n_workers_added++;
	w->speed = 1;
	flow_speed_reset(w);
	HASH_ADD_KEYPTR(hh, f->workers, w->id, strlen(w->id), w);
	return w;
}

void flow_each_undescribed_worker(const struct flow *f,
				  void (*fn)(const char *id, void *arg),
				  void *arg)
{
	const struct worker *w;

	for (w = f->workers; w; w = w->hh.next)
		if (!w->present)
			fn(w->id, arg);
}

void flow_each_run_of(const struct flow *f, const char *worker,
		      bool only_confirmed,
		      void (*fn)(const struct flow_run_ref *r,
				 int64_t started_ms, void *arg),
		      void *arg)
{
	const struct worker *w = flow_find_worker(f, worker);
	const struct run *r;

	for (r = w ? w->runs : NULL; r; r = r->next) {
		struct flow_run_ref ref = flow_ref_of(r);

		if (r->state != RUN_DECIDED &&
		    (r->is_confirmed || !only_confirmed))
			fn(&ref, r->added_ms, arg);
	}
}

void flow_each_unconfirmed(const struct flow *f,
			   void (*fn)(const char *worker, void *arg), void *arg)
{
	const struct run *r;

	DL_FOREACH2(f->unconfirmed, r, unconfirmed_next)
	if (r->state != RUN_POSSIBLE)
		fn(r->worker->id, arg);
}

/* A run of which no start order has been sent runs nowhere. */
static bool may_hold_other_lease(const struct run *r)
{
	return !r->is_confirmed && (r->start_sent || r->state == RUN_POSSIBLE);
}

bool flow_worker_has_unconfirmed(const struct flow *f, const char *id)
{
	const struct worker *w = flow_find_worker(f, id);
	const struct run *r;

	for (r = w ? w->runs : NULL; r; r = r->next)
		if (may_hold_other_lease(r))
			return true;
	return false;
}

static void set_labels(struct worker *w, const struct flow_worker_spec *s)
{
	int32_t i;

	for (i = 0; i < s->n_labels && i < FLOW_LABELS_MAX; i++)
		tg_set_str(&w->labels[i], s->labels[i]);
	w->n_labels = i;
}

void flow_worker_update(struct flow *f, const struct flow_worker_spec *s)
{
	struct worker *w = flow_get_or_add_worker(f, s->id);

	w->pool = get_or_add_pool(f, s->service);
	tg_set_str(&w->az, s->az);
	tg_set_str(&w->rack, s->rack);
	join_rack(w, get_or_add_rack(f, w->rack));
	set_labels(w, s);
	w->capacity = s->capacity;
	w->present = true;
	w->gone = false;
	w->draining = s->draining;
	w->earliest_exit_ms = s->earliest_exit_ms;
	w->warm_ms = s->warm_ms;
	flow_evacuate_update(f, w);
}

void flow_worker_set_runs_known(struct flow *f, const char *id)
{
	struct worker *w = flow_find_worker(f, id);

	if (!w)
		return;
	w->runs_known = true;
	flow_forget_lost_runs(w);
}

void flow_worker_set_suspect(struct flow *f, const char *id, bool suspect)
{
	struct worker *w = flow_find_worker(f, id);

	if (w)
		w->suspect = suspect;
}

void flow_worker_set_gone(struct flow *f, const char *id)
{
	struct worker *w = flow_find_worker(f, id);

	if (w)
		w->suspect = w->gone = true;
}

static void end_run(struct flow *f, struct run *r, int64_t now_ms)
{
	struct worker *w = r->worker;

	if (r->state == RUN_DECIDED) {
		flow_run_remove(r);
		return;
	}
	if (!w->draining && flow_run_was_ordered(r) && !r->process_ended)
		flow_remember_lost_run(w, r);
	flow_run_ended(f, r, FLOW_RUN_LEASE_EXPIRED, NULL, now_ms);
}

static void forget_process(struct worker *w)
{
	w->runs_known = false;
	w->failures_in_row = 0;
	w->quarantined_until_ms = 0;
	w->speed = 1;
	flow_speed_reset(w);
}

void flow_worker_lost(struct flow *f, const char *id, int64_t now_ms)
{
	struct worker *w = flow_find_worker(f, id);

	if (!w)
		return;
	while (w->runs)
		end_run(f, w->runs, now_ms);
	forget_process(w);
}

void flow_worker_lost_confirmed(struct flow *f, const char *id, int64_t now_ms)
{
	struct worker *w = flow_find_worker(f, id);
	struct run *r, *next;

	if (!w)
		return;
	for (r = w->runs; r; r = next) {
		next = r->next;
		if (!may_hold_other_lease(r))
			end_run(f, r, now_ms);
	}
	forget_process(w);
}

void flow_worker_replaced(struct flow *f, struct worker *w,
			  const struct flow_crash *crash, int64_t now_ms)
{
	struct run *r, *next;

	for (r = w->runs; r; r = next) {
		next = r->next;
		if (flow_run_may_outlive(r, crash))
			flow_run_process_ended(r, now_ms);
		else
			end_run(f, r, now_ms);
	}
	forget_process(w);
}

static void forget_worker(struct job *j, struct step_state *ss, int32_t index,
			  const struct worker *w)
{
	struct task *t = &ss->tasks[index];

	if (t->last_failed_on == w)
		t->last_failed_on = NULL;
	if (t->planned_on == w)
		flow_plan_cancel(j, ss, index);
}

void flow_worker_remove(struct flow *f, const char *id, int64_t now_ms)
{
	struct worker *w = flow_find_worker(f, id);
	struct step_state *ss;
	struct job *j, *tmp;
	int32_t i, k;

	if (!w)
		return;
	flow_worker_lost(f, id, now_ms);
	HASH_ITER(hh, f->jobs, j, tmp)
		for (i = 0; (ss = flow_nth_open(j, i)); i++)
			for (k = 0; k < flow_step_of(j, ss)->tasks; k++)
				forget_worker(j, ss, k, w);
	flow_free_worker(f, w);
}

void flow_free_worker(struct flow *f, struct worker *w)
{
	int32_t i;

	HASH_DEL(f->workers, w);
	leave_rack(w);
	flow_forget_lost_runs(w);
	flow_array_free(&w->preemptible);
	flow_array_free(&w->run_ends);
	for (i = 0; i < FLOW_LABELS_MAX; i++)
		free(w->labels[i]);
	free(w->az);
	free(w->rack);
	free(w->id);
	free(w);
}

void flow_worker_succeeded(struct worker *w)
{
	w->failures_in_row = 0;
	w->quarantines = 0;
	w->failed_job[0] = '\0';
}

static bool may_quarantine(const struct flow *f, const struct worker *candidate,
			   int64_t now_ms)
{
	const struct worker *w;
	int32_t n = 0, n_quarantined = 0;

	for (w = f->workers; w; w = w->hh.next) {
		if (!w->present || w->pool != candidate->pool)
			continue;
		n++;
		n_quarantined += w->quarantined_until_ms > now_ms;
	}
	return (n_quarantined + 1) * 100 <= n * QUARANTINE_PERCENT;
}

/*
 * Repeated failures of one job may be the job's own fault, so only failures of
 * different jobs count against the worker.
 */
void flow_worker_failed(struct flow *f, struct worker *w, const char *job,
			int64_t now_ms)
{
	int64_t ms = QUARANTINE_INITIAL_MS;
	int32_t i;

	w->failed_ms = now_ms;
	if (strcmp(w->failed_job, job) != 0)
		w->failures_in_row++;
	tg_strlcpy(w->failed_job, job, sizeof(w->failed_job));
	if (w->failures_in_row < QUARANTINE_FAILURES ||
	    w->quarantined_until_ms > now_ms || !may_quarantine(f, w, now_ms))
		return;
	for (i = 0; i < w->quarantines && ms < QUARANTINE_MAX_MS; i++)
		ms *= 2;
	w->quarantines++;
	w->quarantined_until_ms = now_ms + ms;
	/* A single failure after this quarantine starts the next one. */
	w->failures_in_row = QUARANTINE_FAILURES - 1;
}
