#include <stdlib.h>
#include <string.h>

#include "flow/flow_internal.h"

/*
 * Shares capacity between workspaces within a priority.  By deadline alone, a
 * workspace that submits ten times as much as the others gets most of what its
 * priority gets, while theirs wait behind its backlog.  Only the order changes:
 * what nobody else waits for is still used.  Jobs within a guarantee have no
 * part in it.
 */

/* Time constant of the average of what a workspace has held. */
#define WINDOW_MS 20000.0
/*
 * A workspace may have held this many times an equal share before others go
 * first, so that those with like loads don't take turns.
 */
#define TOLERANCE 1.2
/* An account of a workspace that has held less for long is dropped. */
#define FORGET_WORKERS 0.01

static struct account *get_account(struct flow *f, const char *workspace)
{
	struct account *a;

	HASH_FIND_STR(f->accounts, workspace, a);
	if (a)
		return a;
	a = tg_xcalloc(1, sizeof(*a));
	a->workspace = tg_xstrdup(workspace);
	HASH_ADD_KEYPTR(hh, f->accounts, a->workspace, strlen(a->workspace), a);
	return a;
}

/* Priorities beyond the last level share it. */
static int32_t level_of(const struct job *j)
{
	int32_t priority = j->queue_conf->priority;

	if (priority < 0)
		return 0;
	return priority < FLOW_FAIR_LEVELS ? priority : FLOW_FAIR_LEVELS - 1;
}

static void count_held(struct flow *f)
{
	const struct worker *w;
	const struct run *r;

	for (w = f->workers; w; w = w->hh.next)
		for (r = w->runs; r; r = r->next)
			if (r->job->queue_conf && !flow_is_guaranteed(r->job))
				get_account(f, r->job->workspace)
					->held_now[level_of(r->job)] +=
					flow_run_share(r);
}

static void drop_account(struct flow *f, struct account *a)
{
	HASH_DEL(f->accounts, a);
	free(a->workspace);
	free(a);
}

static bool is_forgotten(const struct account *a)
{
	int32_t i;

	for (i = 0; i < FLOW_FAIR_LEVELS; i++)
		if (a->has_jobs[i] || a->held[i] >= FORGET_WORKERS)
			return false;
	return true;
}

static void average(struct flow *f, int64_t now_ms)
{
	double weight = (double)(now_ms - f->accounts_ms) / WINDOW_MS;
	struct account *a, *tmp;
	int32_t i;

	/* What a former owner has written stands until then. */
	if (!f->accounts_ms)
		weight = 0;
	if (weight > 1)
		weight = 1;
	f->accounts_ms = now_ms;
	for (i = 0; i < FLOW_FAIR_LEVELS; i++) {
		f->fair_held[i] = 0;
		f->n_fair[i] = 0;
	}
	HASH_ITER(hh, f->accounts, a, tmp) {
		for (i = 0; i < FLOW_FAIR_LEVELS; i++) {
			a->held[i] += weight * (a->held_now[i] - a->held[i]);
			if (!a->has_jobs[i])
				continue;
			f->fair_held[i] += a->held[i];
			f->n_fair[i]++;
		}
		if (is_forgotten(a))
			drop_account(f, a);
	}
}

void flow_fairness_update(struct flow *f, struct job *const *list, size_t n,
			  int64_t now_ms)
{
	struct account *a, *tmp;
	size_t i;
	int32_t k;

	if (!f->opts.fair_shares)
		return;
	HASH_ITER(hh, f->accounts, a, tmp)
		for (k = 0; k < FLOW_FAIR_LEVELS; k++) {
			a->held_now[k] = 0;
			a->has_jobs[k] = false;
		}
	count_held(f);
	for (i = 0; i < n; i++)
		get_account(f, list[i]->workspace)
			->has_jobs[level_of(list[i])] = true;
	average(f, now_ms);
	for (i = 0; i < n; i++) {
		k = level_of(list[i]);
		a = get_account(f, list[i]->workspace);
		list[i]->over_share = f->n_fair[k] > 1 &&
			!flow_is_guaranteed(list[i]) &&
			a->held[k] > TOLERANCE * f->fair_held[k] / f->n_fair[k];
	}
}

void flow_fairness_free(struct flow *f)
{
	struct account *a, *tmp;

	HASH_ITER(hh, f->accounts, a, tmp)
		drop_account(f, a);
}

void flow_each_account(const struct flow *f,
		       void (*fn)(const struct flow_account *a, void *arg),
		       void *arg)
{
	const struct account *a;
	int32_t i;

	for (a = f->accounts; a; a = a->hh.next) {
		struct flow_account out = { .workspace = a->workspace };

		for (i = 0; i < FLOW_FAIR_LEVELS; i++) {
			out.held_workers[i] = a->held[i];
			out.over_share |= a->has_jobs[i] && f->n_fair[i] > 1 &&
				a->held[i] > TOLERANCE * f->fair_held[i] /
						f->n_fair[i];
		}
		fn(&out, arg);
	}
}

void flow_set_account(struct flow *f, const struct flow_account *in)
{
	struct account *a = get_account(f, in->workspace);
	int32_t i;

	for (i = 0; i < FLOW_FAIR_LEVELS; i++)
		if (in->held_workers[i] > a->held[i])
			a->held[i] = in->held_workers[i];
}
