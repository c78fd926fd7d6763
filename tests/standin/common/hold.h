#ifndef TG_STANDIN_HOLD_H
#define TG_STANDIN_HOLD_H

#include "http/http.h"

/**
 * DOC: requests that get no answer
 *
 * A request whose answer a fault suppresses keeps its connection open for a
 * time, then the connection is closed.
 */

/* Longer than any timeout of a client in the tests. */
#define HOLD_MS 65000

/**
 * hold_request() - give no answer; close the connection after @ms
 * @base: event loop
 * @req: request of a tg_http_server; must not be used any more
 * @ms: 0 closes as soon as the loop runs again
 * @done: called when the connection was closed; may be NULL
 * @arg: passed to @done
 */
void hold_request(struct event_base *base, struct evhttp_request *req,
		  int64_t ms, void (*done)(void *arg), void *arg);

/**
 * delay_call() - call @fn(@arg) after @ms, never from inside
 * @base: event loop
 */
void delay_call(struct event_base *base, int64_t ms, void (*fn)(void *arg),
		void *arg);

#endif
