#ifndef TG_SCHEDD_OUTAGE_H
#define TG_SCHEDD_OUTAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/base.h"

/** struct seen_lease - lease that a worker showed in this round */
struct observed_lease {
	char job[TG_NAME_MAX + 1];
	int64_t attempt;
	int32_t index, gang_size;
	bool running; /* else reserved or ended */
	bool ended;
};

/**
 * gang_is_whole() - whether all members of a lease's gang were seen
 * @all: leases of all workers, in any order
 * @n: their number
 * @one: a lease of the gang
 *
 * Every index of the gang must run or have ended, and at least one must run.
 */
bool gang_is_complete(const struct observed_lease *all, size_t n,
		      const struct observed_lease *one);

#endif
