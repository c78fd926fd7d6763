#ifndef TG_SCHEDD_MESSAGE_H
#define TG_SCHEDD_MESSAGE_H

#include "board.h"

/**
 * DOC: messages to workers
 *
 * The operations of a message follow only from the states of the worker's
 * members and orphans, so after a lost message the next one repeats what is
 * still needed.
 */

/**
 * message_send() - send the operations that are due to a worker
 *
 * Sends a message without operations as well, which polls the worker.
 */
void message_send(struct board *b, struct worker *w, int64_t now_ms);
/**
 * worker_reconcile() - update the members from the worker's inventory
 *
 * Members without a lease there become MEMBER_GONE, except those that are known
 * to have completed; leases without a member become orphans.  Frees the
 * inventory.
 */
void worker_reconcile(struct board *b, struct worker *w);
/**
 * worker_update_from_response() - note boot, clock, epoch and draining state
 *
 * Return: false, after logging it, if the response lacks boot or clock or is
 * from another worker.
 */
bool worker_update_from_response(struct worker *w, const json_t *response);

/* --- call.c --- */

/** worker_fence_epoch() - epoch that the next command to the worker carries */
uint64_t worker_fence_epoch(const struct board *b, struct worker *w);
/**
 * worker_call() - send a POST request to the worker's agent
 * @body: takes the reference
 * @arg: passed to @done; freed instead if the call is cancelled
 */
void worker_call(struct board *b, struct worker *w, const char *uri,
		 json_t *body,
		 void (*done)(const struct tg_http_result *r, void *arg),
		 void *arg);
/**
 * worker_finish_call() - record the end of the call in flight
 * @response: parsed body; NULL if there is none
 *
 * Return: whether the worker answered, and not another one at its address.  If
 * not, it is called again after call_ms.
 */
bool worker_finish_call(struct board *b, struct worker *w,
			const struct tg_http_result *r, const json_t *response);

#endif
