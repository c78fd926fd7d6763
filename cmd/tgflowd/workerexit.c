#include "workerexit.h"

#include <stdlib.h>

/* A single call or connection attempt may fail for other reasons. */
#define FAILURES_MIN 2
/*
 * A running worker updates its entry once per heartbeat interval; the fraction
 * allows for a late update.
 */
#define HEARTBEATS_MISSED 1.6

/*
 * An entry that expires because heartbeats are missing disappears at least two
 * heartbeat intervals after the last contact.  One that disappears within one
 * interval of the first failed call was removed by the worker itself.
 */
static bool has_removed_entry(const struct worker_exit_signs *s)
{
	return !s->in_directory &&
		llabs(s->removed_ms - s->first_failure_ms) < s->heartbeat_ms;
}

/*
 * Whether the announced exit time has passed, the worker refuses connections
 * and its heartbeat is missing.
 */
static bool has_stopped_serving(const struct worker_exit_signs *s)
{
	return s->refusals >= FAILURES_MIN && s->earliest_exit_ms &&
		s->now_ms >= s->earliest_exit_ms &&
		s->now_ms - s->last_heartbeat_ms >
		(int64_t)(HEARTBEATS_MISSED * (double)s->heartbeat_ms);
}

bool worker_has_exited(const struct worker_exit_signs *s)
{
	return s->failures >= FAILURES_MIN &&
		(has_removed_entry(s) || has_stopped_serving(s));
}
