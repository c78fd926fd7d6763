#ifndef TG_HTTP_INBOUND_H
#define TG_HTTP_INBOUND_H

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "http/http.h"

/**
 * DOC: connections of a server
 *
 * Keeps what clients can make a server hold within its limits: connections,
 * requests that have not arrived whole, and requests sent ahead of their
 * answers.  evhttp doesn't tell when it frees a connection, so each one is held
 * with a reference of its own, which also lets the rest of a refused request be
 * read for a while after evhttp has given it up.
 */

struct inbound_list;

/**
 * struct inbound_opts - options of a list
 * @limits: without values of 0
 * @name: address of the server, for the log; must outlive the list
 * @header_bytes: limit on the headers of a request
 * @body_bytes: limit on its body
 */
struct inbound_opts {
	struct event_base *base;
	struct tg_http_limits limits;
	const char *name;
	size_t header_bytes, body_bytes;
};

struct inbound_list *inbound_list_new(const struct inbound_opts *opts);
/**
 * inbound_set_listener() - the listener that accepts the connections
 *
 * It is disabled while there are many more of them than the limit, since it
 * accepts all that wait before one can be closed.
 */
void inbound_set_listener(struct inbound_list *list,
			  struct evconnlistener *listener);
/** inbound_list_free() - release all connections; evhttp has freed them */
void inbound_list_free(struct inbound_list *list);
/** inbound_add() - a connection was accepted, its socket is not set yet */
void inbound_add(struct inbound_list *list, struct bufferevent *bev);
/** inbound_request_begun() - a request has arrived whole */
void inbound_request_begun(struct inbound_list *list, struct bufferevent *bev);
/** inbound_request_done() - its answer has been written */
void inbound_request_done(struct inbound_list *list, struct bufferevent *bev);
/**
 * inbound_refused() - evhttp answers with an error and will close
 * @out: output buffer of the connection
 */
void inbound_refused(struct inbound_list *list, const struct evbuffer *out);
/** inbound_check() - a connection may have been freed; look at it soon */
void inbound_check(struct inbound_list *list);

#endif
