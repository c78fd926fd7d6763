#ifndef TG_SCHEDD_ROWWRITE_H
#define TG_SCHEDD_ROWWRITE_H

#include "board.h"

/**
 * typedef row_written - end of a write
 * @end: TG_PLAT_OK; TG_PLAT_CONFLICT with the job's row in @found;
 *	TG_PLAT_UNAVAILABLE or _INVALID: nothing was done; TG_PLAT_UNKNOWN
 * @version: of the row, with TG_PLAT_OK
 *
 * Not called once this process has stepped down.
 */
typedef void (*row_write_done)(struct board *b, const char *job,
			       enum tg_plat_end end, uint64_t version,
			       const struct tg_row *found);

/**
 * row_write() - write a job's row
 * @version: of the row now; 0: absent
 * @value: taken; NULL deletes the row
 *
 * The version of the scheduler's row is a condition too, so that a scheduler
 * that was replaced writes nothing.  It moves with our own renewals of that
 * row; a conflict that shows only such a move is resolved here.
 */
void row_write(struct board *b, const char *job, uint64_t version,
	       json_t *value, row_write_done done);
/** sched_row_key() - key of the scheduler's row; TG_KEY_MAX bytes */
void sched_row_key(const struct board *b, char *out);
/** sched_row_ours() - whether @row was written since the claim of this process
 */
bool sched_row_is_own(const struct board *b, const struct tg_row *row);

/** job_read_version() - learn the version of a row after an unknown write */
void row_read_version(struct board *b, struct job *j);

#endif
