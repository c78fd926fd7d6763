#ifndef TG_SCHEDD_AUTHORITY_H
#define TG_SCHEDD_AUTHORITY_H

#include "board.h"

/**
 * DOC: renewals by other processes
 *
 * A worker that the active scheduler can't reach may be renewed by a former
 * active scheduler or by a standby in an outage (docs/design.md, section 4).
 * The active scheduler raises its epoch after the last reply of such a worker.
 * Pings show the epoch that a process vouches for: no lease in force was
 * renewed by it under a lower one.
 */

/**
 * account_update() - learn the highest epoch of the AZ from row and pings and
 * set the epoch that own pings show; steps down if a higher epoch is in force
 *
 * A renewal that is sent before the next update counts as under the former
 * epoch, since pings show the new one only after that.
 */
void authority_update(struct board *b, int64_t now_ms);
/** account_command() - a command that may renew goes to a worker now */
void authority_note_command(struct board *b, int64_t now_ms);
/** account_may_renew() - whether this process may renew leases now */
bool authority_may_renew(const struct board *b, int64_t now_ms);
/** account_row_read() - the row was answered to a call sent at @sent_ms */
void authority_note_row_read(struct board *b, int64_t sent_ms);
/** account_note_list() - record the AZ's schedulers in the instance list */
void authority_note_instances(struct board *b, const struct tg_instance *list,
			      size_t n);
/**
 * account_gone_ms() - own clock when no other process's renewal is in force
 *
 * Return: INT64_MAX while that is not known.
 */
int64_t authority_others_expiry_ms(const struct board *b,
				   const struct worker *w);

#endif
