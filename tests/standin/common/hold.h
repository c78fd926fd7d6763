#ifndef TG_STANDIN_HOLD_H
#define TG_STANDIN_HOLD_H

#include "http/http.h"

/**
 * DOC: requests without a reply
 *
 * When an injected fault suppresses the reply to a request, the connection
 * stays open for a given time and is then closed.
 */

/* Longer than any client timeout in the tests. */
#define NO_REPLY_MS 65000

/**
 * close_without_reply() - send no reply and close the connection after @ms
 * @base: event loop
 * @req: request of a tg_http_server; owned by this function from here on
 * @ms: 0 closes in the next iteration of the event loop
 * @done: called once the connection is closed, also when the client closed it
 *	first, but never before @ms have passed; may be NULL
 * @arg: passed to @done
 */
void close_without_reply(struct event_base *base, struct evhttp_request *req,
			 int64_t ms, void (*done)(void *arg), void *arg);

/**
 * close_all_unanswered() - close the connections of such requests now
 * @arg: of close_without_reply(); other requests are left
 */
void close_all_unanswered(const void *arg);

/**
 * delay_call() - call @fn(@arg) from the event loop after @ms
 * @base: event loop
 *
 * @fn never runs before delay_call() returns, even if @ms is 0.
 */
void delay_call(struct event_base *base, int64_t ms, void (*fn)(void *arg),
		void *arg);

#endif
