#ifndef ENTRY_ROUTE_H
#define ENTRY_ROUTE_H

#include "base/base.h"

/**
 * struct route_candidate - backend server that may get a request
 * @load: slots in use as last reported, plus own requests sent since then
 * @slots: number of its slots
 * @in_flight: requests of this instance that it has
 * @cap: limit of @in_flight
 */
struct route_candidate {
	uint32_t load, slots, in_flight, cap;
};

/**
 * route_cap() - most requests that this instance may have at one worker
 * @slots: number of slots of the worker
 * @entries: number of live entry daemons in the AZ
 *
 * One more than the even share, so that rounding leaves no slot unused, but
 * never more than @slots.
 */
uint32_t route_cap(uint32_t slots, size_t entries);
/**
 * route_choose() - choose the less loaded of two random candidates
 *
 * Only candidates below their cap are considered.
 *
 * Return: index into @c, or -1 if all are at their cap.
 */
int route_choose(const struct route_candidate *c, size_t n, struct tg_rng *rng);

#endif
