#ifndef FAULTCHECK_GANGS_H
#define FAULTCHECK_GANGS_H

#include "check.h"

#define NEVER_MS INT64_MAX

/** struct member - one lease: a member of an attempt on one start of a worker
 */
struct member {
	const char *job, *worker, *boot, *reason;
	int64_t attempt, index, gang_size;
	int64_t reserved_ms, run_ms, end_ms;
};

struct members {
	struct member *items;
	size_t n;
	int64_t history_end_ms;
};

/** members_read() - all leases of the history; the caller frees the items */
void members_read(const struct check *c, struct members *m);
/** member_ran() - whether its task was started */
bool member_ran(const struct member *x);
/** member_same_attempt() - whether both are of one attempt of a job */
bool member_same_attempt(const struct member *x, const struct member *y);

#endif
