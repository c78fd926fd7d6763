#ifndef TG_SCHEDD_AUTHORITY_H
#define TG_SCHEDD_AUTHORITY_H

#include "board.h"

/**
 * DOC: authority to renew leases
 *
 * A worker that the active scheduler can't reach may have its leases renewed by
 * other scheduler processes of the AZ: by a former active scheduler, or by a
 * standby during a table outage (docs/design.md, section 4).  This module
 * decides whether this process may renew, and when renewals by the others have
 * certainly expired.
 *
 * For the latter the active scheduler raises its epoch after the last response
 * of such a worker.  Pings carry the epoch that a process advertises: none of
 * its renewals under a lower epoch is still in force.
 */

/**
 * authority_update() - learn the highest epoch of the AZ and advertise it
 *
 * The epoch comes from the row and from pings; if it is higher than the epoch
 * of this process, the process steps down.  A renewal sent before the next
 * update counts as sent under the former epoch, since pings carry the new epoch
 * only from that update on.
 */
void authority_update(struct board *b, int64_t now_ms);
/** authority_note_command() - a command that may renew is sent to a worker */
void authority_note_command(struct board *b, int64_t now_ms);
/** authority_may_renew() - whether this process may renew leases now */
bool authority_may_renew(const struct board *b, int64_t now_ms);
/**
 * authority_note_row_read() - a call for the row was answered
 * @sent_ms: local clock when the call was sent
 */
void authority_note_row_read(struct board *b, int64_t sent_ms);
/**
 * authority_note_instances() - note the AZ's schedulers in an instance list
 * @list: instances of all kinds and AZs; the schedulers are copied
 */
void authority_note_instances(struct board *b, const struct tg_instance *list,
			      size_t n);
/**
 * authority_others_expiry_ms() - local clock when no lease of the worker that
 * another process renewed is in force any more
 *
 * Return: INT64_MAX while that is not known.
 */
int64_t authority_others_expiry_ms(const struct board *b,
				   const struct worker *w);

#endif
