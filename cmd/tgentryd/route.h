#ifndef ENTRY_ROUTE_H
#define ENTRY_ROUTE_H

#include "base/base.h"

/**
 * struct route_candidate - a backend server that may get a request
 * @load: slots in use as reported, plus own requests sent since
 * @slots: its slots
 * @in_flight: own requests to it
 * @cap: limit of @in_flight
 */
struct route_candidate {
	uint32_t load, slots, in_flight, cap;
};

/**
 * route_cap() - most requests of this instance to one worker
 * @slots: of the worker
 * @entries: live entry instances of the AZ
 *
 * One more than the even share, so that rounding leaves no slot unused.
 */
uint32_t route_cap(uint32_t slots, size_t entries);
/**
 * route_choose() - power of two choices among candidates below their cap
 *
 * Return: index, or -1 if all are at their cap.
 */
int route_choose(const struct route_candidate *c, size_t n, struct tg_rng *rng);

#endif
