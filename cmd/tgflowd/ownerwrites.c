#include "ownerwrites.h"

/*
 * A store that refuses a write answers at once, so several attempts fit into
 * this time.  It may refuse this instance while it serves the neighbours.
 */
#define REFUSED_MS 500

bool owner_reaches_store(const struct owner_writes *s)
{
	if (s->refused_since_ms &&
	    s->now_ms - s->refused_since_ms >= REFUSED_MS)
		return false;
	return s->now_ms - s->written_ms < OWNER_STALE_MS;
}
