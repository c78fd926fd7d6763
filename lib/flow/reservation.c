#include <utlist.h>

#include "flow/flow_internal.h"

/*
 * Follows for which gangs capacity is booked, since when, and how their
 * expected starts move, so that the log leads from kept capacity to a job.
 */

/* A reservation is overdue this long after the first expected start. */
#define OVERDUE_MS 5000
/* An expected start that is later by less than this has not been postponed. */
#define POSTPONED_MS 100

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
	r->round = f->scheduling_round;
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

	if (r->round != ss->job->flow->scheduling_round)
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
