#include <stdlib.h>
#include <string.h>

#include "flow/flow_internal.h"

/*
 * Order in which jobs get capacity.  It matters in bursts that exceed the
 * capacity of all workers, when not every job can meet its deadline.
 */

/* Declared run times are often too short; remaining ones count this much. */
#define RUN_TIME_MARGIN 1.25

/* A late job keeps part of its value until this many times its objective. */
#define FINAL_DEADLINE_FACTOR 3

/* Time from a preemption to the start of the new run, on top of stop_ms. */
#define RECLAIM_MARGIN_MS 350

enum { RANK_GUARANTEED, RANK_URGENT, RANK_ORDINARY };

/* Declared time of the longest path from step @i; done steps count if @all. */
static int64_t critical_path_from(struct job *j, int32_t occurrence, int32_t i,
				  bool all, int64_t *memo)
{
	const struct flow_spec *s = j->spec;
	int64_t longest = 0;
	struct step_state *ss = flow_step_state(j, occurrence, i);
	int32_t k, a;

	if (memo[i] >= 0)
		return memo[i];
	for (k = i + 1; k < s->n_steps; k++)
		for (a = 0; a < s->steps[k].n_after; a++)
			if (s->steps[k].after[a] == i) {
				int64_t c = critical_path_from(j, occurrence, k,
							       all, memo);

				if (c > longest)
					longest = c;
			}
	/* Without @all the job has no times, and its occurrence is open. */
	if (all || ss->n_done < s->steps[i].tasks)
		longest += s->steps[i].declared_ms;
	memo[i] = longest;
	return longest;
}

static int64_t critical_path_ms(struct job *j, bool all)
{
	int64_t memo[FLOW_STEPS_MAX], longest = 0;
	int32_t i;

	for (i = 0; i < FLOW_STEPS_MAX; i++)
		memo[i] = -1;
	for (i = 0; i < j->spec->n_steps; i++) {
		int64_t c = critical_path_from(j, 0, i, all, memo);

		if (c > longest)
			longest = c;
	}
	return longest;
}

/* Accelerators that the job's largest step needs to run all its tasks. */
static int64_t peak_accelerators(const struct job *j)
{
	int64_t n = 0;
	int32_t i;

	for (i = 0; i < j->spec->n_steps; i++) {
		const struct flow_step *st = &j->spec->steps[i];
		int64_t here = st->tasks * st->shape.accelerators;

		if (here > n)
			n = here;
	}
	return n;
}

static void set_behind(struct job *j, int64_t now_ms, int64_t end_ms)
{
	int64_t waited_ms = now_ms - j->accepted_ms;
	int64_t can_wait_ms =
		j->deadline_ms - j->accepted_ms - (end_ms - now_ms);

	j->behind = 2 * waited_ms > can_wait_ms;
}

/* Occurrences at given times and endless tasks can't be late as a whole. */
static bool has_end(const struct job *j)
{
	int32_t i;

	for (i = 0; i < j->spec->n_steps; i++)
		if (j->spec->steps[i].endless)
			return false;
	return !j->spec->times;
}

static void update_deadline(struct job *j, int64_t now_ms)
{
	int64_t objective = (int64_t)(j->queue_conf->stretch *
				      (double)critical_path_ms(j, true)) +
		j->queue_conf->target_ms;
	int64_t end_ms = now_ms;

	if (has_end(j))
		end_ms += (int64_t)(RUN_TIME_MARGIN *
				    (double)critical_path_ms(j, false));
	j->deadline_ms = j->accepted_ms + objective;
	j->will_miss_deadline = false;
	j->late = has_end(j) && end_ms > j->deadline_ms;
	set_behind(j, now_ms, end_ms);
	if (!j->late)
		return;
	/* Too late for its full value: try to end while it has any. */
	j->deadline_ms = j->accepted_ms + FINAL_DEADLINE_FACTOR * objective;
	j->will_miss_deadline = end_ms > j->deadline_ms;
	set_behind(j, now_ms, end_ms);
}

static int compare_urgency(const void *a, const void *b)
{
	const struct job *x = *(struct job *const *)a;
	const struct job *y = *(struct job *const *)b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->will_miss_deadline != y->will_miss_deadline)
		return x->will_miss_deadline ? 1 : -1;
	if (x->over_share != y->over_share)
		return x->over_share ? 1 : -1;
	if (x->late != y->late)
		return x->late ? 1 : -1;
	if (x->deadline_ms != y->deadline_ms)
		return x->deadline_ms < y->deadline_ms ? -1 : 1;
	return strcmp(x->id, y->id);
}

static int compare_accepted(const void *a, const void *b)
{
	const struct job *x = *(struct job *const *)a;
	const struct job *y = *(struct job *const *)b;

	if (x->accepted_ms != y->accepted_ms)
		return x->accepted_ms < y->accepted_ms ? -1 : 1;
	return strcmp(x->id, y->id);
}

/* The oldest urgent jobs that fit their workspace's guarantee go first. */
static void rank_guaranteed(struct flow *f, struct job **list, size_t n)
{
	struct quota *q;
	size_t i;

	for (q = f->quotas; q; q = q->hh.next)
		q->left = q->guaranteed;
	qsort(list, n, sizeof(void *), compare_accepted);
	for (i = 0; i < n; i++) {
		struct job *j = list[i];
		int64_t need = peak_accelerators(j);

		if (j->queue_conf->priority != 0)
			continue;
		HASH_FIND_STR(f->quotas, j->workspace, q);
		if (!q || need > q->left)
			continue;
		q->left -= need;
		j->rank = RANK_GUARANTEED;
	}
}

size_t flow_sort_jobs(struct flow *f, int64_t now_ms, struct job ***out)
{
	struct job *j, *tmp, **list;
	size_t n = 0, i;

	list = tg_xcalloc(HASH_COUNT(f->jobs) + 1, sizeof(void *));
	HASH_ITER(hh, f->jobs, j, tmp) {
		j->queue_conf = flow_find_queue(f, j->queue);
		if (flow_has_ended(j) || !j->queue_conf)
			continue;
		j->pool = flow_find_pool(f, j->queue_conf->service);
		update_deadline(j, now_ms);
		j->rank = j->queue_conf->priority <= 0 ?
			RANK_URGENT :
			RANK_ORDINARY + j->queue_conf->priority;
		list[n++] = j;
	}
	rank_guaranteed(f, list, n);
	flow_fairness_update(f, list, n, now_ms);
	qsort(list, n, sizeof(void *), compare_urgency);
	for (i = 0; i < n; i++)
		list[i]->position = (int32_t)i;
	*out = list;
	return n;
}

bool flow_is_guaranteed(const struct job *j)
{
	return j->rank == RANK_GUARANTEED;
}

bool flow_is_urgent(const struct job *j)
{
	return j->rank <= RANK_URGENT;
}

/* No other work is lost for a job that has no value when it ends. */
bool flow_may_preempt(const struct job *j)
{
	return j->rank == RANK_GUARANTEED ||
		(j->rank == RANK_URGENT && !j->will_miss_deadline);
}

bool flow_first_step_started(struct job *j)
{
	const struct step_state *ss = flow_step_state(j, 0, 0);
	int32_t i;

	if (!ss)
		return flow_occurrence_is_done(j, 0);
	for (i = 0; i < flow_step_of(j, ss)->tasks; i++)
		if (!ss->tasks[i].done && !ss->tasks[i].begun)
			return false;
	return true;
}

bool flow_reclaim_due(const struct flow *f, struct job *j, int64_t now_ms)
{
	return j->rank == RANK_GUARANTEED && f->opts.reclaim_ms > 0 &&
		now_ms - j->accepted_ms >
		f->opts.reclaim_ms - f->opts.stop_ms - RECLAIM_MARGIN_MS &&
		!flow_first_step_started(j);
}
