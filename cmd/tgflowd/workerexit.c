#include "workerexit.h"

#include <stdlib.h>

/* A single call or connection attempt may fail for other reasons. */
#define FAILURES_MIN 2
/*
 * An entry expires three heartbeat intervals after it was last written.  One
 * that was removed sooner than this was removed by the worker itself.  In
 * a small directory the last write is known to one interval only.
 */
#define BEFORE_EXPIRY_PERCENT 250

/*
 * The time of the removal is an upper bound and that of the last write a lower
 * one, so that rows that are read late don't look like a removal.  While the
 * store is down, entries may expire at any time.
 */
static bool has_removed_entry(const struct worker_exit_signs *s)
{
	return !s->in_directory && s->written_after_ms &&
		s->removed_ms - s->written_after_ms <
		BEFORE_EXPIRY_PERCENT * s->heartbeat_ms / 100 &&
		s->store_since_ms && s->store_since_ms <= s->written_after_ms;
}

/*
 * A cut that times out is noticed late, at a time at which the entry may just
 * expire.
 */
static bool has_closed_connection(const struct worker_exit_signs *s)
{
	return s->closed && s->failures >= FAILURES_MIN &&
		llabs(s->removed_ms - s->first_failure_ms) < s->heartbeat_ms;
}

bool worker_has_exited(const struct worker_exit_signs *s)
{
	return has_removed_entry(s) && has_closed_connection(s) &&
		s->removed_ms >= s->earliest_exit_ms;
}
