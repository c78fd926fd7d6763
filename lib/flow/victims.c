#include <stdlib.h>
#include <string.h>

#include "flow/place_internal.h"

/*
 * Chooses runs of a greater rank to preempt for a task, so that the least work
 * is lost.  A gang ends when a member is stopped, so it is one victim.
 */

/* About the time from a stop order to the end of the run. */
#define ENDS_SOON_MS 300

/* Whether the run ends by itself sooner than a stop would end another. */
static bool ends_soon(const struct search *s, const struct run *r)
{
	return r->state == RUN_ACTIVE &&
		!flow_step_of(r->job, r->step_state)->endless &&
		flow_remaining_ms(r, s->now_ms) <= ENDS_SOON_MS;
}

/* Adds what runs on loan hold that the search may stop, or that are stopping.
 */
static void add_loans(const struct search *s, const struct worker *w,
		      struct flow_shape *available)
{
	const struct run *r;

	for (r = w->runs; r; r = r->next) {
		struct flow_shape freed =
			flow_task_shape(flow_step_of(r->job, r->step_state));

		if (flow_may_recall(s, r) &&
		    !flow_stop_is_overdue(s->f, r, s->now_ms))
			flow_shape_add(available, &freed, 1);
	}
}

struct flow_shape flow_available(const struct search *s, struct worker *w,
				 enum capacity_source source)
{
	struct flow_shape available = w->capacity;

	flow_shape_add(&available, &w->used, -1);
	flow_shape_add(&available, &w->reserved, -1);
	if (source == CAPACITY_KEPT)
		return available;
	if (source == CAPACITY_RECALL)
		add_loans(s, w, &available);
	if (source == CAPACITY_FREE || source == CAPACITY_RECALL) {
		if (flow_outlasts_booking(s, w))
			flow_shape_limit(&available, &w->booking.left);
		return available;
	}
	flow_shape_add(&available, &w->booking.need, -1);
	flow_shape_add(&available, &w->stopping, 1);
	flow_shape_add(&available, &w->overdue, -1);
	flow_shape_add(&available, &w->victims, 1);
	flow_prepare_victims(s, w);
	flow_shape_add(&available, &w->ends_soon, 1);
	return available;
}

/* Work lost if @r is stopped now, in thousandths of a worker-millisecond. */
static int64_t lost_work(const struct search *s, const struct run *r)
{
	const struct flow_step *st = flow_step_of(r->job, r->step_state);
	int64_t weight = (int64_t)(1000 * flow_run_share(r));
	int64_t ran_ms = s->now_ms - r->answered_ms;

	/* Stopping one member ends them all. */
	if (st->gang)
		weight *= st->tasks;
	/* A checkpoint saves most of the work; a stop itself costs some. */
	return weight * (st->checkpoints ? ran_ms / 8 + 200 : ran_ms + 500);
}

/* The first to preempt first: of the greatest rank, with least work lost. */
static int compare_preemptible(const void *a, const void *b)
{
	const struct run *x = *(struct run *const *)a;
	const struct run *y = *(struct run *const *)b;

	if (x->job->rank != y->job->rank)
		return x->job->rank > y->job->rank ? -1 : 1;
	return (x->lost_work > y->lost_work) - (x->lost_work < y->lost_work);
}

void flow_prepare_victims(const struct search *s, struct worker *w)
{
	struct run *r;

	if (w->victims_round == s->f->round)
		return;
	w->victims_round = s->f->round;
	w->preemptible.n = 0;
	memset(&w->ends_soon, 0, sizeof(w->ends_soon));
	for (r = w->runs; r; r = r->next) {
		struct flow_shape freed =
			flow_task_shape(flow_step_of(r->job, r->step_state));

		r->ends_soon = ends_soon(s, r);
		if (r->ends_soon && !r->victim)
			flow_shape_add(&w->ends_soon, &freed, 1);
		if (r->ends_soon || r->state == RUN_STOPPING ||
		    !r->job->queue_conf)
			continue;
		r->lost_work = lost_work(s, r);
		flow_pointers_add(&w->preemptible, r);
	}
	flow_pointers_sort(&w->preemptible, compare_preemptible);
}

static bool is_preemptible(const struct search *s, const struct run *r)
{
	if (r->victim)
		return false;
	if (flow_may_recall(s, r))
		return true;
	if (r->job->rank > s->job->rank)
		return true;
	/*
	 * A job that started within its bound already can be moved: it fits
	 * elsewhere once the other runs have moved.
	 */
	return r->job != s->job && r->job->rank == s->job->rank &&
		s->reclaim_due && flow_first_step_started(r->job);
}

/* Marks a run as victim, or with -1 takes the mark back. */
static void set_victim(struct run *r, int32_t sign)
{
	struct flow_shape freed =
		flow_task_shape(flow_step_of(r->job, r->step_state));

	r->victim = sign > 0;
	flow_shape_add(&r->worker->victims, &freed, sign);
	if (r->ends_soon)
		flow_shape_add(&r->worker->ends_soon, &freed, -sign);
}

static void mark_victim(const struct search *s, struct run *r)
{
	if (r->victim || r->state == RUN_STOPPING)
		return;
	flow_prepare_victims(s, r->worker);
	set_victim(r, 1);
	flow_pointers_add(&s->f->victims, r);
}

/* A gang ends with any member, which frees the capacity of all. */
static void mark_victims(const struct search *s, struct run *r)
{
	const struct flow_step *st = flow_step_of(r->job, r->step_state);
	int32_t i;

	mark_victim(s, r);
	for (i = 0; st->gang && i < st->tasks; i++)
		if (r->step_state->tasks[i].run)
			mark_victim(s, r->step_state->tasks[i].run);
}

/* The first that qualifies, from index @i on; @i becomes the one after it. */
static struct run *next_victim(const struct search *s, const struct worker *w,
			       size_t *i)
{
	struct run **list = w->preemptible.items;

	while (*i < w->preemptible.n) {
		struct run *r = list[(*i)++];

		if (!r->is_candidate && is_preemptible(s, r))
			return r;
	}
	return NULL;
}

/* Adds what @v and members of its gang occupy on its worker to @available. */
static void add_candidate(struct run *v, struct flow_shape *available)
{
	struct flow_shape freed =
		flow_task_shape(flow_step_of(v->job, v->step_state));
	struct run *r;

	v->is_candidate = true;
	flow_shape_add(available, &freed, 1);
	if (!flow_step_of(v->job, v->step_state)->gang)
		return;
	for (r = v->worker->runs; r; r = r->next)
		if (r != v && r->step_state == v->step_state && !r->victim &&
		    r->state != RUN_STOPPING) {
			r->is_candidate = true;
			flow_shape_add(available, &freed, 1);
		}
}

int64_t flow_choose_victims(const struct search *s, struct worker *w, bool mark)
{
	struct flow_shape available = flow_available(s, w, CAPACITY_STOPPING);
	int64_t cost = 0;
	struct run *r;
	size_t i = 0;

	while (!flow_shape_fits(&s->need, &available)) {
		struct run *v = next_victim(s, w, &i);

		if (!v) {
			cost = -1;
			break;
		}
		cost += v->lost_work;
		add_candidate(v, &available);
	}
	for (r = w->runs; i && r; r = r->next) {
		if (r->is_candidate && mark && cost >= 0)
			mark_victims(s, r);
		r->is_candidate = false;
	}
	return cost;
}

void flow_recall_loans(const struct search *s, struct worker *w)
{
	static const struct flow_shape none;
	struct flow_shape left = w->capacity;
	struct run *r;

	flow_shape_add(&left, &w->used, -1);
	flow_shape_add(&left, &w->reserved, -1);
	flow_shape_add(&left, &w->victims, 1);
	for (r = w->runs; r; r = r->next)
		if (r->state == RUN_STOPPING && flow_may_recall(s, r)) {
			struct flow_shape freed = flow_task_shape(
				flow_step_of(r->job, r->step_state));

			flow_shape_add(&left, &freed, 1);
		}
	for (r = w->runs; r && !flow_shape_fits(&none, &left); r = r->next) {
		struct flow_shape freed =
			flow_task_shape(flow_step_of(r->job, r->step_state));

		if (r->victim || r->state == RUN_STOPPING ||
		    !flow_may_recall(s, r))
			continue;
		mark_victims(s, r);
		flow_shape_add(&left, &freed, 1);
	}
}

void flow_rollback_victims(struct flow *f)
{
	struct run **list = f->victims.items;

	while (f->victims.n)
		set_victim(list[--f->victims.n], -1);
}

void flow_commit_victims(struct flow *f)
{
	f->victims.n = 0;
}
