#include "flow/flow_internal.h"

/*
 * Estimates from the progress of runs when they end, which are stalled, and how
 * fast their workers are.  Declared times alone are far from the actual ones.
 */

/* Least progress, in percent, from which a rate is computed. */
#define RATE_MIN_PERCENT 4
/* A run is stalled after this plus a tenth of its declared time. */
#define STALL_MS 3000
/* Estimate for a run that should have ended already. */
#define OVERDUE_REMAINING_MS 500
/* Weight of a new sample in the moving average of a worker's speed. */
#define SPEED_WEIGHT 0.2
#define SPEED_MIN 0.05
#define SPEED_MAX 3.0

static int64_t declared_ms(const struct run *r)
{
	return flow_step_of(r->job, r->step_state)->declared_ms;
}

double flow_ms_per_percent(const struct run *r)
{
	int32_t percent = r->percent - r->first_percent;

	if (!r->first_percent_ms || percent < RATE_MIN_PERCENT)
		return 0;
	return (double)(r->percent_ms - r->first_percent_ms) / percent;
}

static void observe_speed(const struct run *r)
{
	double pace = flow_ms_per_percent(r), speed;

	if (pace <= 0 || declared_ms(r) <= 0)
		return;
	speed = (double)declared_ms(r) / (100 * pace);
	if (speed < SPEED_MIN)
		speed = SPEED_MIN;
	if (speed > SPEED_MAX)
		speed = SPEED_MAX;
	r->worker->speed += SPEED_WEIGHT * (speed - r->worker->speed);
}

void flow_pace_update(struct run *r, int32_t percent, int64_t now_ms)
{
	flow_speed_listed(r, percent, now_ms);
	if (!r->first_percent_ms) {
		r->first_percent = r->percent = percent;
		r->first_percent_ms = r->percent_ms = now_ms;
		return;
	}
	if (percent == r->percent)
		return;
	r->percent = percent;
	r->percent_ms = now_ms;
	observe_speed(r);
}

int64_t flow_remaining_ms(const struct run *r, int64_t now_ms)
{
	double pace = flow_ms_per_percent(r);
	int64_t end_ms;

	if (pace > 0)
		end_ms = r->percent_ms + (int64_t)(pace * (100 - r->percent));
	else
		end_ms = r->answered_ms + declared_ms(r);
	return end_ms > now_ms ? end_ms - now_ms : OVERDUE_REMAINING_MS;
}

bool flow_is_stalled(const struct run *r, int64_t now_ms)
{
	const struct flow_step *st = flow_step_of(r->job, r->step_state);

	if (r->state != RUN_ACTIVE || !r->first_percent_ms || st->endless ||
	    r->percent >= 100)
		return false;
	/* A run isn't stalled just because its worker has sent no list. */
	return r->listed_ms - r->percent_ms > STALL_MS + st->declared_ms / 10 &&
		now_ms >= r->listed_ms;
}
