#ifndef TG_SCHEDD_MESSAGE_H
#define TG_SCHEDD_MESSAGE_H

#include "board.h"

/**
 * DOC: messages to workers
 *
 * What is sent to a worker follows from the states of its members alone, so a
 * message that was lost is simply made again.
 */

/** message_send() - send what is due to an installed worker, also if nothing */
void message_send(struct board *b, struct worker *w, int64_t now_ms);
/** worker_reconcile() - compare the members with the worker's inventory */
void worker_reconcile(struct board *b, struct worker *w);
/** worker_note_clock() - keep boot, clock and epoch of an answer */
bool worker_note_clock(struct worker *w, const json_t *answer);

#endif
