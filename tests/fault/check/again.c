#include <stdlib.h>
#include <string.h>

#include "faults.h"
#include "gangs.h"

/* A worker whose fault ended before counts as lost for so long at most. */
#define SETTLE_MS 3000

/* The end of an attempt of which every member is done, else NEVER_MS. */
static int64_t done_ms(const struct members *m, const struct member *x)
{
	const struct member *y;
	int64_t last_ms = 0, n = 0;

	for (y = m->items; y < m->items + m->n; y++) {
		if (!member_same_attempt(x, y) ||
		    strcmp(y->reason, "done") != 0)
			continue;
		n++;
		if (y->end_ms > last_ms)
			last_ms = y->end_ms;
	}
	return n >= x->gang_size ? last_ms : NEVER_MS;
}

/* Whether a worker of the attempt could not show that its task was done. */
static bool was_hidden(const struct check *c, const struct members *m,
		       const struct member *x, int64_t from_ms, int64_t to_ms)
{
	const struct member *y;

	for (y = m->items; y < m->items + m->n; y++)
		if (member_same_attempt(x, y) &&
		    fault_begin_ms(c, y->worker, from_ms, to_ms) != NEVER_MS)
			return true;
	return false;
}

/* The first start of a later attempt, else NEVER_MS. */
static int64_t again_ms(const struct members *m, const struct member *x)
{
	const struct member *y;
	int64_t first_ms = NEVER_MS;

	for (y = m->items; y < m->items + m->n; y++)
		if (!strcmp(x->job, y->job) && y->attempt > x->attempt &&
		    member_ran(y) && y->run_ms < first_ms)
			first_ms = y->run_ms;
	return first_ms;
}

void check_again(struct check *c)
{
	struct members m = { 0 };
	const struct member *x;

	members_read(c, &m);
	for (x = m.items; x < m.items + m.n; x++) {
		int64_t ended_ms, next_ms;

		if (x->index)
			continue;
		ended_ms = done_ms(&m, x);
		next_ms = again_ms(&m, x);
		if (ended_ms != NEVER_MS && next_ms != NEVER_MS &&
		    !was_hidden(c, &m, x, ended_ms - SETTLE_MS, next_ms))
			violation(c, "ran-again",
				  "%s: attempt %lld was done at %lld and the"
				  " job ran again at %lld",
				  x->job, (long long)x->attempt,
				  (long long)ended_ms, (long long)next_ms);
	}
	free(m.items);
}
