#ifndef TG_SCHEDD_ROWWRITE_H
#define TG_SCHEDD_ROWWRITE_H

#include "board.h"

/**
 * typedef row_write_done - result of a write
 * @end: TG_PLAT_OK, TG_PLAT_CONFLICT, TG_PLAT_UNKNOWN, or TG_PLAT_UNAVAILABLE
 *	or TG_PLAT_INVALID if nothing was written
 * @version: new version of the row, with TG_PLAT_OK
 * @found: current row of the job, with TG_PLAT_CONFLICT; valid during the call
 *
 * Not called if this process has stepped down since the write was sent.
 */
typedef void (*row_write_done)(struct board *b, const char *job,
			       enum tg_plat_result end, uint64_t version,
			       const struct tg_row *found);

/**
 * row_write() - write a job's row
 * @version: expected version of the row; 0 if it must be absent
 * @value: new value; takes the reference.  NULL deletes the row.
 *
 * The version of the scheduler row is a condition as well, so that a scheduler
 * that was replaced writes nothing.  Renewals of the scheduler row by this
 * process change that version; a conflict that comes only from such a renewal
 * is retried here.
 */
void row_write(struct board *b, const char *job, uint64_t version,
	       json_t *value, row_write_done done);
/** sched_row_key() - key of the scheduler row; @out has TG_KEY_MAX bytes */
void sched_row_key(const struct board *b, char *out);
/**
 * sched_row_is_own() - whether this process wrote @row in its current term
 */
bool sched_row_is_own(const struct board *b, const struct tg_row *row);

/** row_read_version() - read a version that is unknown after a write */
void row_read_version(struct board *b, struct job *j);

#endif
