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

struct flow_shape flow_available(const struct search *s, const struct worker *w,
				 enum capacity_source source)
{
	struct flow_shape available = w->capacity;
	const struct run *r;

	flow_shape_add(&available, &w->used, -1);
	flow_shape_add(&available, &w->reserved, -1);
	if (source == CAPACITY_FREE) {
		if (flow_outlasts_booking(s, w))
			flow_shape_limit(&available, &w->booking.left);
		return available;
	}
	flow_shape_add(&available, &w->booking.need, -1);
	flow_shape_add(&available, &w->stopping, 1);
	flow_shape_add(&available, &w->victims, 1);
	for (r = w->runs; r; r = r->next)
		if (!r->victim && ends_soon(s, r)) {
			struct flow_shape freed = flow_task_shape(
				flow_step_of(r->job, r->step_state));

			flow_shape_add(&available, &freed, 1);
		}
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

static bool is_preemptible(const struct search *s, const struct run *r)
{
	if (r->state == RUN_STOPPING || r->victim || !r->job->queue_conf ||
	    ends_soon(s, r))
		return false;
	if (r->job->rank > s->job->rank)
		return true;
	/*
	 * A job that started within its bound already can be moved: it fits
	 * elsewhere once the other runs have moved.
	 */
	return r->job != s->job && r->job->rank == s->job->rank &&
		s->reclaim_due && flow_first_step_started(r->job);
}

static void mark_victim(struct run *r)
{
	struct flow_shape freed =
		flow_task_shape(flow_step_of(r->job, r->step_state));

	if (r->victim || r->state == RUN_STOPPING)
		return;
	r->victim = true;
	flow_shape_add(&r->worker->victims, &freed, 1);
}

/* A gang ends with any member, which frees the capacity of all. */
static void mark_victims(struct run *r)
{
	const struct flow_step *st = flow_step_of(r->job, r->step_state);
	int32_t i;

	mark_victim(r);
	for (i = 0; st->gang && i < st->tasks; i++)
		if (r->step_state->tasks[i].run)
			mark_victim(r->step_state->tasks[i].run);
}

static struct run *cheapest_victim(const struct search *s,
				   const struct worker *w)
{
	struct run *r, *best = NULL;

	for (r = w->runs; r; r = r->next)
		if (is_preemptible(s, r) && !r->is_candidate &&
		    (!best || r->job->rank > best->job->rank ||
		     (r->job->rank == best->job->rank &&
		      lost_work(s, r) < lost_work(s, best))))
			best = r;
	return best;
}

/* Adds what @v and members of its gang occupy on its worker to @available. */
static void add_candidate(struct run *v, struct flow_shape *available)
{
	struct flow_shape freed =
		flow_task_shape(flow_step_of(v->job, v->step_state));
	bool gang = flow_step_of(v->job, v->step_state)->gang;
	struct run *r;

	for (r = v->worker->runs; r; r = r->next)
		if (r == v ||
		    (gang && r->step_state == v->step_state && !r->victim &&
		     r->state != RUN_STOPPING)) {
			r->is_candidate = true;
			flow_shape_add(available, &freed, 1);
		}
}

int64_t flow_choose_victims(const struct search *s, struct worker *w, bool mark)
{
	struct flow_shape available = flow_available(s, w, CAPACITY_STOPPING);
	int64_t cost = 0;
	struct run *r;

	while (!flow_shape_fits(&s->need, &available)) {
		struct run *v = cheapest_victim(s, w);

		if (!v) {
			cost = -1;
			break;
		}
		cost += lost_work(s, v);
		add_candidate(v, &available);
	}
	for (r = w->runs; r; r = r->next) {
		if (r->is_candidate && mark && cost >= 0)
			mark_victims(r);
		r->is_candidate = false;
	}
	return cost;
}

void flow_rollback_victims(struct flow *f)
{
	struct worker *w;
	struct run *r;

	for (w = f->workers; w; w = w->hh.next)
		for (r = w->runs; r; r = r->next)
			if (r->victim && r->state != RUN_STOPPING &&
			    !r->victim_committed) {
				struct flow_shape freed = flow_task_shape(
					flow_step_of(r->job, r->step_state));

				r->victim = false;
				flow_shape_add(&w->victims, &freed, -1);
			}
}

void flow_commit_victims(struct flow *f)
{
	struct worker *w;
	struct run *r;

	for (w = f->workers; w; w = w->hh.next)
		for (r = w->runs; r; r = r->next)
			r->victim_committed = r->victim;
}
