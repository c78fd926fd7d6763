#include <stdlib.h>
#include <string.h>

#include "flow/flow_internal.h"

/*
 * Order in which jobs get room.  Load it answers: bursts beyond the fleet, in
 * which not every job can end in time.
 */

/* A job is worth a part of its value until this many times its objective. */
#define LATE_FACTOR 3

/* From a decision to stop others to the start in their room, besides stop_ms.
 */
#define BEGIN_MARGIN_MS 350

enum { RANK_GUARANTEED, RANK_URGENT, RANK_OTHERS };

/* Longest chain of declared times from step @i on, done steps left out. */
static int64_t chain_from(struct job *j, int32_t occurrence, int32_t i,
			  bool all, int64_t *memo)
{
	const struct flow_spec *s = j->spec;
	int64_t longest = 0;
	struct inst *in = flow_inst(j, occurrence, i);
	int32_t k, a;

	if (memo[i] >= 0)
		return memo[i];
	for (k = i + 1; k < s->n_steps; k++)
		for (a = 0; a < s->steps[k].n_after; a++)
			if (s->steps[k].after[a] == i) {
				int64_t c =
					chain_from(j, occurrence, k, all, memo);

				if (c > longest)
					longest = c;
			}
	if (all || in->n_done < s->steps[i].tasks)
		longest += s->steps[i].declared_ms;
	memo[i] = longest;
	return longest;
}

static int64_t chain(struct job *j, bool all)
{
	int64_t memo[FLOW_STEPS_MAX], longest = 0;
	int32_t i;

	for (i = 0; i < FLOW_STEPS_MAX; i++)
		memo[i] = -1;
	for (i = 0; i < j->spec->n_steps; i++) {
		int64_t c = chain_from(j, 0, i, all, memo);

		if (c > longest)
			longest = c;
	}
	return longest;
}

/* Accelerators that the job's widest ready part takes at once. */
static int64_t accelerators(const struct job *j)
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

static void judge(struct job *j, int64_t now_ms)
{
	int64_t objective = (int64_t)(j->q->stretch * (double)chain(j, true)) +
		j->q->target_ms;
	int64_t end_ms = now_ms + (j->spec->times ? 0 : chain(j, false));

	j->due_ms = j->accepted_ms + objective;
	j->hopeless = false;
	if (j->spec->times || end_ms <= j->due_ms)
		return;
	/* Too late for the whole value: the next bound is that of any value. */
	j->due_ms = j->accepted_ms + LATE_FACTOR * objective;
	j->hopeless = end_ms > j->due_ms;
}

static int compare(const void *a, const void *b)
{
	const struct job *x = *(struct job *const *)a;
	const struct job *y = *(struct job *const *)b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	if (x->hopeless != y->hopeless)
		return x->hopeless ? 1 : -1;
	if (x->due_ms != y->due_ms)
		return x->due_ms < y->due_ms ? -1 : 1;
	return strcmp(x->id, y->id);
}

static int compare_age(const void *a, const void *b)
{
	const struct job *x = *(struct job *const *)a;
	const struct job *y = *(struct job *const *)b;

	if (x->accepted_ms != y->accepted_ms)
		return x->accepted_ms < y->accepted_ms ? -1 : 1;
	return strcmp(x->id, y->id);
}

/* The oldest urgent jobs of a workspace that fit its guarantee come first. */
static void rank_guaranteed(struct flow *f, struct job **list, size_t n)
{
	struct quota *q, *tmp;
	size_t i;

	qsort(list, n, sizeof(void *), compare_age);
	HASH_ITER(hh, f->quotas, q, tmp) {
		int64_t left = q->guaranteed;

		for (i = 0; i < n; i++) {
			struct job *j = list[i];
			int64_t need = accelerators(j);

			if (j->q->priority != 0 ||
			    strcmp(j->workspace, q->workspace) != 0 ||
			    need > left)
				continue;
			left -= need;
			j->rank = RANK_GUARANTEED;
		}
	}
}

size_t flow_order(struct flow *f, int64_t now_ms, struct job ***out)
{
	struct job *j, *tmp, **list;
	size_t n = 0;

	list = tg_xcalloc(HASH_COUNT(f->jobs) + 1, sizeof(void *));
	HASH_ITER(hh, f->jobs, j, tmp) {
		if (flow_is_over(j))
			continue;
		HASH_FIND_STR(f->queues, j->queue, j->q);
		if (!j->q)
			continue;
		j->pool = flow_pool(f, j->q->service);
		judge(j, now_ms);
		j->rank = j->q->priority <= 0 ? RANK_URGENT :
						RANK_OTHERS + j->q->priority;
		list[n++] = j;
	}
	rank_guaranteed(f, list, n);
	qsort(list, n, sizeof(void *), compare);
	*out = list;
	return n;
}

bool flow_is_urgent(const struct job *j)
{
	return j->rank <= RANK_URGENT;
}

/* A job that can't end while it is of use stops no work of others. */
bool flow_may_preempt(const struct job *j)
{
	return j->rank == RANK_GUARANTEED ||
		(j->rank == RANK_URGENT && !j->hopeless);
}

bool flow_has_begun(struct job *j)
{
	const struct inst *in = flow_inst(j, 0, 0);
	int32_t i;

	for (i = 0; i < flow_step_of(j, in)->tasks; i++)
		if (!in->tasks[i].last_run)
			return false;
	return true;
}

bool flow_must_begin(const struct flow *f, struct job *j, int64_t now_ms)
{
	return j->rank == RANK_GUARANTEED && f->opts.reclaim_ms > 0 &&
		now_ms - j->accepted_ms >
		f->opts.reclaim_ms - f->opts.stop_ms - BEGIN_MARGIN_MS &&
		!flow_has_begun(j);
}
