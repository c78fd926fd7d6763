#ifndef TGFLOWD_DELETIONS_H
#define TGFLOWD_DELETIONS_H

#include <uthash.h>

#include "flow/flow.h"

/**
 * DOC: jobs whose rows were deleted
 *
 * A read of the job table that began before a deletion may arrive after it, and
 * must not add the job again.
 */

/** struct deletion - the rows of a job were deleted at this store version */
struct deletion {
	char job[FLOW_JOB_ID_LEN + 1];
	int64_t version;
	UT_hash_handle hh;
};

/** deletions_add() - note a deletion; @d points to NULL at the start */
void deletions_add(struct deletion **d, const char *job, int64_t version);
/** deletions_cover() - whether this version of a row of a job is deleted */
bool deletions_cover(const struct deletion *d, const char *key,
		     int64_t row_version);
/** deletions_forget() - forget the deletions up to a store version */
void deletions_forget(struct deletion **d, int64_t version);

#endif
