#include "standing.h"

/* Longer than a write to a slow store takes. */
#define STALE_MS 1600
/*
 * A store that refuses answers at once, so that some tries fit in this.  It may
 * refuse this instance and serve its neighbours.
 */
#define REFUSED_MS 500

bool owner_stands(const struct owner_standing *s)
{
	if (s->refused_ms && s->now_ms - s->refused_ms >= REFUSED_MS)
		return false;
	return s->now_ms - s->written_ms < STALE_MS;
}
