#ifndef TG_SCHEDD_JOBROW_H
#define TG_SCHEDD_JOBROW_H

#include "board.h"

/**
 * jobrow_encode() - value of the job's row in the table, new reference
 * @state: state to record
 *
 * A row in state "running" names the workers of the attempt.  The state stays
 * "running" until every lease of the attempt is released or has certainly
 * expired, so a job whose row has another state has no running task.
 */
json_t *jobrow_encode(const struct job *j, enum job_state state);
/**
 * jobrow_decode() - add the job of a row to the board
 *
 * Return: NULL if the row is invalid or the board has a job of that name; both
 * are logged.
 */
struct job *jobrow_decode(struct board *b, const struct tg_row *row);
/** jobrow_public() - description of a job for callers, new reference */
json_t *jobrow_public(const struct board *b, const struct job *j);
/** jobrow_repeated() - the same, as reply to a repeated submission */
json_t *jobrow_repeated(const struct board *b, const struct job *j);
/** jobrow_key() - key of a job's row; @out has room for TG_KEY_MAX bytes */
#define TG_KEY_MAX 200
void jobrow_key(const struct board *b, const char *job, char *out);

#endif
