#include <stdarg.h>
#include <string.h>

#include "decide/internal.h"

struct text {
	char *out;
	size_t size, n;
};

static void append(struct text *t, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void append(struct text *t, const char *fmt, ...)
{
	va_list ap;
	int n;

	if (t->n >= t->size)
		return;
	va_start(ap, fmt);
	n = vsnprintf(t->out + t->n, t->size - t->n, fmt, ap);
	va_end(ap);
	if (n > 0)
		t->n += (size_t)n;
}

void action_log_add(struct tg_fleet *f, const struct tg_action *a,
		    int64_t now_ms)
{
	struct action_record *n =
		&f->action_log[f->n_logged++ % ACTION_LOG_SIZE];

	n->at_ms = now_ms;
	n->kind = a->kind;
	tg_strlcpy(n->job, a->job ? a->job : "", sizeof(n->job));
	tg_strlcpy(n->text, a->reason, sizeof(n->text));
}

static void append_workers(struct text *t, const struct tg_fleet *f,
			   const struct job *j)
{
	int32_t i;

	append(t, "workers:");
	for (i = 0; i < j->tasks; i++)
		append(t, " %s", f->workers[j->workers[i]].name);
	append(t, "\n");
}

static void append_az(struct text *t, const struct tg_fleet *f, int32_t az)
{
	const struct az *z = &f->azs[az];
	struct res idle = { 0 }, uncommitted = { 0 };
	int32_t i;

	for (i = 0; i < f->n_workers; i++) {
		const struct worker *w = &f->workers[i];

		if (w->az != az || w->health != TG_WORKER_UP)
			continue;
		idle = res_add(idle,
			       res_max(idle_capacity(w), (struct res){ 0 }));
		uncommitted = res_add(
			uncommitted,
			res_max(capacity_of(w, CAPACITY_IDLE_UNCOMMITTED),
				(struct res){ 0 }));
	}
	append(t,
	       "az %s: %d accelerators idle, %d of them not reserved for "
	       "guarantees\n",
	       z->name, idle.acc, uncommitted.acc);
	if (z->at_risk)
		append(t,
		       "az %s: a guarantee is at risk, so urgent jobs and jobs "
		       "outside of guarantees do not start\n",
		       z->name);
	if (z->reservation.job)
		append(t, "az %s: %d workers are reserved for job %s\n",
		       z->name, z->reservation.n_workers,
		       z->reservation.job->name);
}

static void append_queued(struct text *t, const struct tg_fleet *f,
			  const struct job *j, int64_t now_ms)
{
	const struct queue *q = &f->queues[j->class];
	size_t i;
	int32_t az;

	for (i = 0; i < q->n && q->jobs[i] != j; i++)
		;
	append(t, "queued, position %zu of %zu in its class\n", i + 1, q->n);
	append(t, "needs %d tasks of %d accelerators, %d cores, %d GB%s\n",
	       j->tasks, j->need.acc, j->need.cores, j->need.mem,
	       j->within_rack ? " within a rack" : "");
	if (now_ms < j->not_before_ms)
		append(t,
		       "a worker refused the start; next attempt in %lld "
		       "ms\n",
		       (long long)(j->not_before_ms - now_ms));
	if (j->ws->quota && j->ws->used_acc + job_acc(j) > j->ws->quota)
		append(t, "quota: %lld of %d accelerators in use\n",
		       (long long)j->ws->used_acc, j->ws->quota);
	if (j->class == TG_CLASS_GUARANTEED && !guarantee_for(f, j, false))
		append(t, "outside of the workspace's guarantees\n");
	else if (j->class == TG_CLASS_GUARANTEED && !guarantee_for(f, j, true))
		append(t,
		       "too few tasks of the guarantee are unused and placed\n");
	for (az = 0; az < f->n_azs; az++)
		if (j->az == NONE || j->az == az)
			append_az(t, f, az);
}

int tg_fleet_explain_job(const struct tg_fleet *f, const char *job,
			 int64_t now_ms, char *out, size_t size)
{
	struct text t = { .out = out, .size = size };
	struct job *j;
	uint64_t i, first;

	HASH_FIND_STR(f->jobs, job, j);
	if (!j)
		return -1;
	if (size)
		*out = '\0';
	switch (j->state) {
	case JOB_QUEUED:
		append_queued(&t, f, j, now_ms);
		break;
	case JOB_ASSIGNED:
		append(&t,
		       "assigned; waits for other jobs on its workers to stop\n");
		append_workers(&t, f, j);
		break;
	case JOB_RUNNING:
		append(&t, "running for %lld ms%s\n",
		       (long long)(now_ms - j->started_ms),
		       j->g ? " in a guarantee of its workspace" : "");
		append_workers(&t, f, j);
		break;
	case JOB_PARKED:
		append(&t, "%s\n", j->reason);
		break;
	}
	first = f->n_logged > ACTION_LOG_SIZE ? f->n_logged - ACTION_LOG_SIZE :
						0;
	for (i = first; i < f->n_logged; i++) {
		const struct action_record *n =
			&f->action_log[i % ACTION_LOG_SIZE];

		if (!strcmp(n->job, job))
			append(&t, "%lld ms ago: %s\n",
			       (long long)(now_ms - n->at_ms), n->text);
	}
	return 0;
}
