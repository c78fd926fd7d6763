#include <stdlib.h>
#include <string.h>

#include "faults.h"
#include "gangs.h"

/*
 * With a shorter lease a gang may end before a standby renews: a peer counts
 * as live for 3,000 ms after its last answer, which may be 1,000 ms old, and
 * two renewal rounds of 800 ms pass before and after.
 */
#define RENEWABLE_LEASE_MS 6000

static const char *const workers_of_a[] = { "w-1", "w-2", "w-3" };
static const char *const scheds_of_a[] = { "s-1", "s-2" };

static bool workers_were_up(const struct check *c, int64_t from_ms,
			    int64_t to_ms)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(workers_of_a); i++)
		if (fault_begin_ms(c, workers_of_a[i], from_ms, to_ms) !=
		    NEVER_MS)
			return false;
	return true;
}

/* A scheduler that started in an outage of the table does not renew. */
static const char *sched_up(const struct check *c, int64_t from_ms,
			    int64_t to_ms)
{
	int64_t outage_ms = fault_begin_ms(c, "platform", from_ms, to_ms);
	size_t i;

	if (outage_ms != NEVER_MS && outage_ms - c->lease_ms < from_ms)
		from_ms = outage_ms - c->lease_ms;
	for (i = 0; i < ARRAY_SIZE(scheds_of_a); i++)
		if (fault_begin_ms(c, scheds_of_a[i], from_ms, to_ms) ==
		    NEVER_MS)
			return scheds_of_a[i];
	return NULL;
}

static bool is_expired(const struct member *x)
{
	return member_ran(x) && !strcmp(x->reason, "expired");
}

/* A gang of which a part was stopped or never started is not renewed. */
static bool was_whole(const struct members *m, const struct member *x)
{
	const struct member *y;
	int64_t n = 0;

	for (y = m->items; y < m->items + m->n; y++) {
		if (!member_same_attempt(x, y))
			continue;
		if (!is_expired(y) && strcmp(y->reason, "done") != 0)
			return false;
		n += member_ran(y);
	}
	return n == x->gang_size;
}

void check_outage(struct check *c)
{
	struct members m = { 0 };
	const struct member *x;
	const char *sched;

	if (c->lease_ms < RENEWABLE_LEASE_MS)
		return;
	members_read(c, &m);
	for (x = m.items; x < m.items + m.n; x++) {
		int64_t from_ms = x->end_ms - 2 * c->lease_ms;

		if (!is_expired(x) || !was_whole(&m, x) ||
		    !strcmp(x->worker, "w-4") ||
		    !workers_were_up(c, from_ms, x->end_ms))
			continue;
		sched = sched_up(c, from_ms, x->end_ms);
		if (sched)
			violation(c, "not-renewed",
				  "%s: %lld/%lld on %s expired at %lld, with %s"
				  " and the workers up",
				  x->job, (long long)x->attempt,
				  (long long)x->index, x->worker,
				  (long long)x->end_ms, sched);
	}
	free(m.items);
}
