#include <math.h>

#include "flow/place_internal.h"

/*
 * Moves runs away from slow workers.  It is for workers that turn slow while
 * tasks run there, and for gangs that turn out to have a slow worker.
 */

/* Runs on workers are looked at that take this many times as long. */
#define SLOWDOWN_MIN 1.6
/* They may move to workers that take less than this many times as long. */
#define SLOWDOWN_ELSEWHERE_MAX 1.2
/* Time from a stop order to the start of the next run, on top of stop_ms. */
#define RESTART_MS 400
/* Work since the last checkpoint that a stop loses. */
#define UNSAVED_MS 1000
/*
 * The move has to end sooner by this factor and this time, since both times are
 * estimates.
 */
#define MOVE_FACTOR 1.3
#define MOVE_GAIN_MS 500
/* Runs moved in one round, the members of a gang counted as one. */
#define MOVES_MAX 4

static double slowdown(const struct worker *w)
{
	return flow_speed_is_known(w) && w->pool ?
		exp(w->slowness.mean - w->pool->slowness_mean) :
		1;
}

/* Time until @r ends if it is stopped now and starts on a typical worker. */
static double moved_ms(const struct run *r, const struct flow_step *st,
		       double pace_ms)
{
	double work_ms = pace_ms * 100;

	if (st->checkpoints)
		work_ms = pace_ms * (100 - r->percent) + UNSAVED_MS;
	return work_ms / slowdown(r->worker) +
		(double)r->job->flow->opts.stop_ms + RESTART_MS;
}

/* Whether the run, or its gang as a whole, ends sooner if it is moved. */
static bool ends_sooner(const struct run *r, int64_t now_ms)
{
	const struct flow_step *st = flow_step_of(r->job, r->step_state);
	double here_ms = 0, there_ms = 0;
	int32_t i;

	for (i = 0; i < st->tasks; i++) {
		const struct run *o =
			st->gang ? r->step_state->tasks[i].run : r;
		double pace_ms, left_ms;

		if (!o || o->run != r->run || o->state != RUN_ACTIVE)
			return false;
		pace_ms = flow_ms_per_percent(o);
		/* A member that has told nothing is no reason to move. */
		if (pace_ms > 0) {
			left_ms = (double)flow_remaining_ms(o, now_ms);
			here_ms = fmax(here_ms, left_ms);
			there_ms = fmax(there_ms, moved_ms(o, st, pace_ms));
		}
		if (!st->gang)
			break;
	}
	return here_ms > MOVE_FACTOR * there_ms + MOVE_GAIN_MS;
}

/* Whether the tasks fit on workers that are not slow, as they are now. */
static bool fits_elsewhere(const struct run *r)
{
	const struct flow_step *st = flow_step_of(r->job, r->step_state);
	const struct pool *p = r->job->pool;
	struct worker *const *workers = p->ready.items;
	struct flow_shape need = flow_task_shape(st);
	int32_t left = st->gang ? st->tasks : 1;
	size_t i;

	for (i = 0; i < p->ready.n && left > 0; i++) {
		struct flow_shape available = workers[i]->capacity;

		if (slowdown(workers[i]) > SLOWDOWN_ELSEWHERE_MAX ||
		    !flow_worker_has_label(workers[i], st->label))
			continue;
		flow_shape_add(&available, &workers[i]->used, -1);
		flow_shape_add(&available, &workers[i]->reserved, -1);
		flow_shape_add(&available, &workers[i]->booking.need, -1);
		while (left > 0 && flow_shape_fits(&need, &available)) {
			flow_shape_add(&available, &need, -1);
			left--;
		}
	}
	return left <= 0;
}

static bool should_move(const struct run *r, int64_t now_ms)
{
	const struct flow_step *st = flow_step_of(r->job, r->step_state);

	return r->state == RUN_ACTIVE && !st->endless && !r->moved &&
		!flow_has_ended(r->job) && r->job->pool && r->job->queue_conf &&
		r->percent < 100 && r->step_state->tasks[r->index].run == r &&
		ends_sooner(r, now_ms) && fits_elsewhere(r);
}

void flow_move_runs(struct flow *f, int64_t now_ms)
{
	struct worker *w;
	struct run *r;
	int moves = 0;

	if (!f->opts.follow_speed)
		return;
	for (w = f->workers; w && moves < MOVES_MAX; w = w->hh.next) {
		if (slowdown(w) < SLOWDOWN_MIN)
			continue;
		for (r = w->runs; r && moves < MOVES_MAX; r = r->next) {
			r->moved |= should_move(r, now_ms);
			moves += r->moved && r->state == RUN_ACTIVE;
		}
	}
}
