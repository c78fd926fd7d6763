#include <string.h>

#include <utlist.h>

#include "flow/place_internal.h"

/*
 * Decides how long capacity may be kept free for waiting gangs and for urgent
 * jobs to come, and follows for whom it is kept, since when, and which tasks
 * wait beside it.
 *
 * A pool is underused if less than USE_MIN of it is in use.  While it is, tasks
 * that have waited beside kept capacity start there on loan, until it isn't any
 * more.  A gang that goes before them stops runs on loan if it can start then,
 * so a loan delays it by a stop at most.
 */

/*
 * The platform counts accepted tasks as lost that wait for 3 s beside free
 * capacity while less than half of a service is in use.  It learns of starts
 * later and of ends earlier than the owner does, hence a share above one half.
 */
#define USE_MIN 0.55
/*
 * A pool must be underused, and a task have waited, for this long.  The rest of
 * the 3 s is for a round, the write of the record and the start.
 */
#define LOAN_AFTER_MS 1500
/* A job without a run gets a loan after this long, however full the pool is. */
#define STALLED_LOAN_AFTER_MS 20000
/* Time of the orders and lists around a stop, on top of stop_ms. */
#define STOP_MARGIN_MS 300

/* A reservation is overdue this long after the first expected start. */
#define OVERDUE_MS 5000
/* An expected start that is later by less than this has not been postponed. */
#define POSTPONED_MS 100

void flow_kept_wait_note(const struct search *s, const struct worker *w)
{
	struct kept_wait *k = &s->step_state->kept_wait;
	const struct job *keeper = NULL;

	if (k->round + 1 < s->f->round)
		k->since_ms = s->now_ms;
	k->round = s->f->round;
	if (w->booking.from_ms)
		keeper = w->booking.job;
	else if (w->held_for)
		keeper = w->held_for;
	tg_strlcpy(k->worker, w->id, sizeof(k->worker));
	tg_strlcpy(k->keeper, keeper ? keeper->id : "", sizeof(k->keeper));
}

void flow_kept_wait_restart(struct step_state *ss, int64_t now_ms)
{
	ss->kept_wait.since_ms = now_ms;
}

static bool takes_orders(const struct worker *w)
{
	return w->pool && w->present && w->runs_known && !w->suspect &&
		!w->draining;
}

void flow_update_use(struct flow *f, int64_t now_ms)
{
	struct worker *w;
	const struct run *r;
	struct pool *p;

	for (p = f->pools; p; p = p->hh.next) {
		memset(&p->total, 0, sizeof(p->total));
		memset(&p->in_use, 0, sizeof(p->in_use));
		p->n_on_loan = 0;
	}
	for (w = f->workers; w; w = w->hh.next) {
		for (r = w->runs; w->pool && r; r = r->next)
			w->pool->n_on_loan += r->on_loan;
		if (!takes_orders(w))
			continue;
		flow_shape_add(&w->pool->total, &w->capacity, 1);
		flow_shape_add(&w->pool->in_use, &w->used, 1);
	}
	for (p = f->pools; p; p = p->hh.next) {
		if (flow_dominant_share(&p->in_use, &p->total) >= USE_MIN)
			p->underused_since_ms = 0;
		else if (!p->underused_since_ms)
			p->underused_since_ms = now_ms;
	}
}

void flow_use_add(struct pool *p, const struct flow_shape *need)
{
	flow_shape_add(&p->in_use, need, 1);
}

/* How many of @want tasks it takes until the pool isn't underused any more. */
static int32_t underused_limit(const struct search *s, int32_t want)
{
	const struct pool *p = s->job->pool;
	struct flow_shape in_use = p->in_use;
	int32_t n;

	for (n = 0; n < want; n++) {
		if (flow_dominant_share(&in_use, &p->total) >= USE_MIN)
			break;
		flow_shape_add(&in_use, &s->need, 1);
	}
	return n;
}

int32_t flow_loan_limit(const struct search *s, int32_t want)
{
	const struct kept_wait *k = &s->step_state->kept_wait;
	const struct pool *p = s->job->pool;
	int64_t waited_ms = s->now_ms - k->since_ms;
	int32_t n = 0;

	if (k->round + 1 < s->f->round || waited_ms < LOAN_AFTER_MS)
		return 0;
	if (p->underused_since_ms &&
	    s->now_ms - p->underused_since_ms >= LOAN_AFTER_MS)
		n = underused_limit(s, want);
	if (!n && !s->job->n_runs && waited_ms >= STALLED_LOAN_AFTER_MS)
		n = 1;
	return n && s->step->gang ? want : n;
}

bool flow_may_recall(const struct search *s, const struct run *r)
{
	return s->recall && r->on_loan && r->state != RUN_STOPPING &&
		r->job->position > s->job->position;
}

void flow_stop_wait_note(const struct search *s, struct worker *const *out,
			 int32_t n)
{
	struct step_state *ss = s->step_state;
	int32_t i;

	if (ss->stop_wait_round + 1 < s->f->round)
		ss->stop_wait_since_ms = s->now_ms;
	ss->stop_wait_round = s->f->round;
	if (s->now_ms - ss->stop_wait_since_ms <
	    s->f->opts.stop_ms + STOP_MARGIN_MS)
		return;
	for (i = 0; i < n; i++) {
		flow_shape_add(&out[i]->held, &s->need, 1);
		out[i]->held_for = s->job;
		flow_index_update(s->f, out[i]);
	}
}

void flow_each_kept_wait(const struct flow *f, int64_t now_ms,
			 void (*fn)(const struct flow_kept_wait *w, void *arg),
			 void *arg)
{
	const struct job *j;
	int32_t i;

	for (j = f->jobs; j; j = j->hh.next)
		for (i = 0; i < j->n_step_states; i++) {
			const struct step_state *ss = &j->step_states[i];
			const struct flow_kept_wait w = {
				.job = j->id,
				.occurrence = ss->occurrence,
				.step = ss->step,
				.worker = ss->kept_wait.worker,
				.keeper = ss->kept_wait.keeper,
				.for_ms = now_ms - ss->kept_wait.since_ms,
			};

			if (f->round && ss->kept_wait.round == f->round)
				fn(&w, arg);
		}
}

void flow_reservation_update(struct step_state *ss, int64_t now_ms,
			     int64_t expected_ms)
{
	struct reservation *r = &ss->reservation;
	struct flow *f = ss->job->flow;

	if (!r->round) {
		*r = (struct reservation){
			.since_ms = now_ms,
			.first_expected_ms = expected_ms,
			.expected_ms = expected_ms,
		};
		DL_APPEND2(f->reservations, ss, reserved_prev, reserved_next);
	}
	r->postponed += expected_ms > r->expected_ms + POSTPONED_MS;
	r->expected_ms = expected_ms;
	r->round = f->round;
}

void flow_reservation_forget(struct step_state *ss)
{
	if (!ss->reservation.round)
		return;
	ss->reservation.round = 0;
	DL_DELETE2(ss->job->flow->reservations, ss, reserved_prev,
		   reserved_next);
}

static struct flow_reservation describe(const struct step_state *ss,
					enum flow_reservation_state state,
					int64_t now_ms)
{
	const struct flow_step *st = flow_step_of(ss->job, ss);
	const struct reservation *r = &ss->reservation;

	return (struct flow_reservation){
		.job = ss->job->id,
		.occurrence = ss->occurrence,
		.step = ss->step,
		.state = state,
		.tasks = st->tasks,
		.need = flow_task_shape(st),
		.for_ms = now_ms - r->since_ms,
		.expected_in_ms = r->expected_ms - now_ms,
		.late_ms = r->expected_ms - r->first_expected_ms,
		.postponed = r->postponed,
	};
}

static enum flow_reservation_state state_of(const struct step_state *ss,
					    int64_t now_ms)
{
	const struct reservation *r = &ss->reservation;

	if (r->round != ss->job->flow->round)
		return ss->n_runs ? FLOW_RESERVATION_USED :
				    FLOW_RESERVATION_DROPPED;
	return now_ms > r->first_expected_ms + OVERDUE_MS ?
		FLOW_RESERVATION_OVERDUE :
		FLOW_RESERVATION_BEGUN;
}

void flow_report_reservations(struct flow *f, int64_t now_ms,
			      const struct flow_ops *ops, void *arg)
{
	struct step_state *ss, *next;

	DL_FOREACH_SAFE2(f->reservations, ss, next, reserved_next)
	{
		enum flow_reservation_state state = state_of(ss, now_ms);
		struct flow_reservation d = describe(ss, state, now_ms);

		if (ops->reservation && state != ss->reservation.reported)
			ops->reservation(&d, arg);
		ss->reservation.reported = state;
		if (state >= FLOW_RESERVATION_USED)
			flow_reservation_forget(ss);
	}
}

void flow_each_reservation(const struct flow *f, int64_t now_ms,
			   void (*fn)(const struct flow_reservation *r,
				      void *arg),
			   void *arg)
{
	const struct step_state *ss;

	DL_FOREACH2(f->reservations, ss, reserved_next)
	{
		struct flow_reservation d =
			describe(ss, state_of(ss, now_ms), now_ms);

		fn(&d, arg);
	}
}
