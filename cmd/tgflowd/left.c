#include "left.h"

#include <stdlib.h>

/* Failed calls, as one may fail for other reasons. */
#define FAILURES 2
/* A worker that lives writes its entry once a heartbeat; with a late one. */
#define BEATS_MISSED 1.6

/*
 * An entry that disappears for lack of heartbeats does so two of them after the
 * last contact at the earliest.
 */
static bool has_unlisted_itself(const struct worker_signs *s)
{
	return !s->listed &&
		llabs(s->unlisted_ms - s->broken_ms) < s->heartbeat_ms;
}

static bool has_ended(const struct worker_signs *s)
{
	return s->refusals >= FAILURES && s->leaves_ms &&
		s->now_ms >= s->leaves_ms &&
		s->now_ms - s->beat_ms >
		(int64_t)(BEATS_MISSED * (double)s->heartbeat_ms);
}

bool worker_has_left(const struct worker_signs *s)
{
	return s->failures >= FAILURES &&
		(has_unlisted_itself(s) || has_ended(s));
}
