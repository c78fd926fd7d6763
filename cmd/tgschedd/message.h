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
bool worker_update_from_response(struct worker *w, const json_t *response);

/* --- call.c --- */

/** worker_fence() - epoch that commands to the worker carry */
uint64_t worker_fence_epoch(const struct board *b, struct worker *w);
/** worker_call() - post to the worker's agent; takes the reference to @body */
void worker_call(struct board *b, struct worker *w, const char *uri,
		 json_t *body,
		 void (*done)(const struct tg_http_result *r, void *arg),
		 void *arg);
/**
 * worker_call_ended() - record the end of the call in flight
 *
 * Return: whether the worker answered; if not, it is tried again after call_ms.
 */
bool worker_finish_call(struct board *b, struct worker *w,
			const struct tg_http_result *r, const json_t *response);

#endif
