#include "flow/place_internal.h"

/*
 * Runs of a lower rank that are stopped for an urgent task: where least work is
 * lost.  A gang ends with its member and counts as one victim.
 */

/* About the time that a stop takes. */
#define SOON_MS 300

/* A run that ends by itself sooner than a stop would end another. */
static bool ends_soon(const struct search *s, const struct run *r)
{
	return r->state == RUN_ACTIVE &&
		!flow_step_of(r->job, r->inst)->endless &&
		flow_remaining_ms(r, s->now_ms) <= SOON_MS;
}

struct flow_shape flow_room_of(const struct search *s, const struct worker *w,
			       enum room_kind kind)
{
	struct flow_shape room = w->capacity;
	const struct run *r;

	flow_shape_add(&room, &w->used, -1);
	flow_shape_add(&room, &w->reserved, -1);
	if (kind == ROOM_FREE)
		return room;
	flow_shape_add(&room, &w->stopping, 1);
	flow_shape_add(&room, &w->victims, 1);
	for (r = w->runs; r; r = r->next)
		if (!r->victim && ends_soon(s, r)) {
			struct flow_shape freed =
				flow_room(flow_step_of(r->job, r->inst));

			flow_shape_add(&room, &freed, 1);
		}
	return room;
}

/* Work that is lost if @r is stopped now, in accelerator-milliseconds. */
static int64_t lost_work(const struct search *s, const struct run *r)
{
	const struct flow_step *st = flow_step_of(r->job, r->inst);
	int64_t weight = st->shape.accelerators + 1;
	int64_t ran_ms = s->now_ms - r->since_ms;

	/* One member takes the others with it. */
	if (st->gang)
		weight *= st->tasks;
	/* A checkpoint keeps most of it; stopping has a cost of its own. */
	return weight * (st->checkpoints ? ran_ms / 8 + 200 : ran_ms + 500);
}

static bool may_stop(const struct search *s, const struct run *r)
{
	if (r->state == RUN_STOPPING || r->victim || !r->job->q ||
	    ends_soon(s, r))
		return false;
	if (r->job->rank > s->job->rank)
		return true;
	/* It has begun in time and fits elsewhere, once the others move. */
	return r->job != s->job && r->job->rank == s->job->rank &&
		s->must_begin && flow_has_begun(r->job);
}

static void mark_victim(struct run *r)
{
	struct flow_shape freed = flow_room(flow_step_of(r->job, r->inst));

	if (r->victim || r->state == RUN_STOPPING)
		return;
	r->victim = true;
	flow_shape_add(&r->worker->victims, &freed, 1);
}

/* A gang ends with its member, so all its room will be free. */
static void mark_victims(struct run *r)
{
	const struct flow_step *st = flow_step_of(r->job, r->inst);
	int32_t i;

	mark_victim(r);
	for (i = 0; st->gang && i < st->tasks; i++)
		if (r->inst->tasks[i].run)
			mark_victim(r->inst->tasks[i].run);
}

static struct run *cheapest_victim(const struct search *s,
				   const struct worker *w)
{
	struct run *r, *best = NULL;

	for (r = w->runs; r; r = r->next)
		if (may_stop(s, r) && !r->considered &&
		    (!best || r->job->rank > best->job->rank ||
		     (r->job->rank == best->job->rank &&
		      lost_work(s, r) < lost_work(s, best))))
			best = r;
	return best;
}

/* Adds the room of @v and of the other members of its gang on its worker. */
static void consider(struct run *v, struct flow_shape *room)
{
	struct flow_shape freed = flow_room(flow_step_of(v->job, v->inst));
	bool gang = flow_step_of(v->job, v->inst)->gang;
	struct run *r;

	for (r = v->worker->runs; r; r = r->next)
		if (r == v ||
		    (gang && r->inst == v->inst && !r->victim &&
		     r->state != RUN_STOPPING)) {
			r->considered = true;
			flow_shape_add(room, &freed, 1);
		}
}

int64_t flow_choose_victims(const struct search *s, struct worker *w, bool mark)
{
	struct flow_shape room = flow_room_of(s, w, ROOM_STOPPING);
	int64_t cost = 0;
	struct run *r;

	while (!flow_fits(&s->need, &room)) {
		struct run *v = cheapest_victim(s, w);

		if (!v) {
			cost = -1;
			break;
		}
		cost += lost_work(s, v);
		consider(v, &room);
	}
	for (r = w->runs; r; r = r->next) {
		if (r->considered && mark && cost >= 0)
			mark_victims(r);
		r->considered = false;
	}
	return cost;
}

void flow_drop_victims(struct flow *f)
{
	struct worker *w;
	struct run *r;

	for (w = f->workers; w; w = w->hh.next)
		for (r = w->runs; r; r = r->next)
			if (r->victim && r->state != RUN_STOPPING &&
			    !r->victim_kept) {
				struct flow_shape freed = flow_room(
					flow_step_of(r->job, r->inst));

				r->victim = false;
				flow_shape_add(&w->victims, &freed, -1);
			}
}

void flow_keep_victims(struct flow *f)
{
	struct worker *w;
	struct run *r;

	for (w = f->workers; w; w = w->hh.next)
		for (r = w->runs; r; r = r->next)
			r->victim_kept = r->victim;
}
