#include "flow/flow_internal.h"

/*
 * Everything on a worker ends as it exits, and nothing tells whether a run had
 * ended as done just before.  Its runs are stopped so early that their ends are
 * listed by then.
 */

/*
 * From the time at which a stop is due until the worker has the order, and from
 * the end of the run until its list has arrived: a round, and two round trips
 * beside a write.
 */
#define EXIT_MARGIN_MS 300

/*
 * The members of a gang end as done together, so a worker that stays lists the
 * end.
 */
static bool is_listed_elsewhere(const struct run *r)
{
	const struct flow_step *st = flow_step_of(r->job, r->step_state);
	int32_t i;

	for (i = 0; st->gang && i < st->tasks; i++) {
		const struct run *o = r->step_state->tasks[i].run;

		if (o && o->run == r->run && !o->worker->draining)
			return true;
	}
	return false;
}

bool flow_must_leave_worker(const struct run *r, int64_t now_ms)
{
	const struct worker *w = r->worker;

	if (!w->draining || !w->earliest_exit_ms)
		return false;
	/* The worker's next list tells whether a planned run exists. */
	if (r->state == RUN_POSSIBLE)
		return false;
	/* An endless task is never done. */
	if (flow_step_of(r->job, r->step_state)->endless)
		return false;
	if (now_ms <
	    w->earliest_exit_ms - r->job->flow->opts.stop_ms - EXIT_MARGIN_MS)
		return false;
	return !is_listed_elsewhere(r);
}
