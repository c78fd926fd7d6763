#ifndef TG_SCHEDD_OUTAGE_H
#define TG_SCHEDD_OUTAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/base.h"

/** struct observed_lease - lease that a worker listed in the current round */
struct observed_lease {
	char job[TG_NAME_MAX + 1];
	int64_t attempt;
	int32_t index, gang_size;
	bool running;
	bool ended; /* neither: reserved */
};

/**
 * gang_is_complete() - whether the gang of a lease may be renewed
 * @all: leases of all workers, in any order
 * @n: number of elements of @all
 * @lease: any lease of the gang
 *
 * Return: whether every member of the gang is listed as running or ended and at
 * least one is running.
 */
bool gang_is_complete(const struct observed_lease *all, size_t n,
		      const struct observed_lease *lease);

#endif
