#ifndef TG_HTTP_H
#define TG_HTTP_H

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "base/base.h"

/**
 * DOC: HTTP library
 *
 * Server and client on top of evhttp of libevent.  All limits are set: size of
 * headers and body, idle time of connections, duration of a call.
 */

enum {
#define TG_EVENT TG_EVENT_ENUM
#include "http/events.def"
#undef TG_EVENT
};
/** tg_http_events - register with tg_log_register() */
extern const struct tg_event_info tg_http_events[];

struct bufferevent;

/**
 * tg_http_count_bytes() - add the traffic of @bev to tg_http_bytes_total
 *
 * The servers and clients of this library call it for their connections.  The
 * bytes do not include the headers of TCP and IP.
 */
void tg_http_count_bytes(struct bufferevent *bev);

/* --- server --- */

struct tg_http_server;

/**
 * struct tg_http_limits - what clients may take of a server
 *
 * Beyond a limit, connections are closed; the counter tg_http_closed_total and
 * EV1203 tell of them.  0 stands for the default of TG_HTTP_LIMITS, or of the
 * daemon.
 *
 * @connections: open at a time.  For a new one, that is closed which has had no
 *	answer for longest.
 * @per_address: the same from one address, where the new one is closed; by
 *	default as many as @connections
 * @buffered_bytes: of all requests that have not been answered.  The connection
 *	with most of them is closed.
 * @request_ms: time for a request to arrive whole, and for an answer to be read
 */
struct tg_http_limits {
	int64_t connections, per_address, buffered_bytes, request_ms;
};

/** TG_HTTP_LIMITS() - settings of a daemon for a struct tg_http_limits */
#define TG_HTTP_LIMITS(type, field)                                            \
	TG_SETTING(type, "http-connections", TG_SET_INT, "0", 0, 1000000,      \
		   false, "connections of clients at a time; 0 for a default", \
		   field.connections),                                         \
		TG_SETTING(type, "http-connections-per-address", TG_SET_INT,   \
			   "0", 0, 1000000, false,                             \
			   "the same from one address; 0 for no limit of its " \
			   "own",                                              \
			   field.per_address),                                 \
		TG_SETTING(type, "http-buffered-bytes", TG_SET_INT, "0", 0,    \
			   1LL << 40, false,                                   \
			   "bytes of requests that are not answered; 0 for a " \
			   "default",                                          \
			   field.buffered_bytes),                              \
		TG_SETTING(type, "http-request-ms", TG_SET_INT, "30000", 100,  \
			   3600000, false,                                     \
			   "time for a request to arrive whole and for its "   \
			   "answer to be read, in ms",                         \
			   field.request_ms)

/**
 * struct tg_http_route - handler of a path or of all paths with a prefix
 * @path: path to match
 * @prefix: also match longer paths that start with @path
 * @methods: bitwise OR of the EVHTTP_REQ_* allowed; others get status 405
 * @handle: must reply exactly once, before it returns or later
 */
struct tg_http_route {
	const char *path;
	bool prefix;
	uint16_t methods;
	void (*handle)(struct evhttp_request *req, void *arg);
};

/**
 * struct tg_http_server_opts - options of a server
 * @base: event loop
 * @addr: IP:PORT to listen on; port 0 lets the kernel choose one
 * @header_bytes: limit on the size of all headers together; 0 for 16 KiB
 * @body_bytes: limit on the size of a request body; larger ones get status 413.
 *	0 for 1 MiB
 * @idle_ms: connections without traffic for this long are closed; 0 for 75,000.
 *	Must exceed the longest time that a handler takes to reply.
 * @routes: terminated by an entry with a NULL path; the first match is used.
 *	/metrics, /healthz and /readyz are served by the library and can't be
 *	overridden.
 * @ready: returns true if /readyz is to reply 200, else sets *why; NULL means
 *	always ready.  Not called while the daemon drains.
 * @error_header_line: header line with its CR LF, added to error replies that
 *evhttp sends without calling a handler (malformed requests); NULL for none
 * @limits: see there
 * @arg: passed to the handlers and to @ready
 */
struct tg_http_server_opts {
	struct event_base *base;
	const char *addr;
	size_t header_bytes;
	size_t body_bytes;
	int64_t idle_ms;
	const struct tg_http_route *routes;
	bool (*ready)(void *arg, const char **why);
	const char *error_header_line;
	struct tg_http_limits limits;
	void *arg;
};

/** tg_http_server_new() - listen; NULL, after logging, if that fails */
struct tg_http_server *
tg_http_server_new(const struct tg_http_server_opts *opts);
void tg_http_server_free(struct tg_http_server *s);
/** tg_http_server_addr() - IP:PORT that the server listens on */
const char *tg_http_server_addr(const struct tg_http_server *s);
/**
 * tg_http_server_in_progress() - number of requests not yet replied to in full
 */
size_t tg_http_server_in_progress(const struct tg_http_server *s);
/**
 * tg_http_server_connections() - number of open connections that have sent at
 * least one request
 */
size_t tg_http_server_connections(const struct tg_http_server *s);
/**
 * tg_http_set_abort_callback() - set a callback for a connection closed before
 * the reply
 *
 * Calls @fn(@arg) if the connection closes before the reply to @req is written
 * in full.  The handler must reply all the same; that reply is discarded.
 */
void tg_http_set_abort_callback(struct evhttp_request *req,
				void (*fn)(void *arg), void *arg);

/** tg_http_reply_json() - reply with JSON; takes over the reference to @body */
void tg_http_reply_json(struct evhttp_request *req, int status, json_t *body);
/**
 * tg_http_reply_error() - reply with {"error": text, "place": place}
 * @place: the faulty header, query parameter or JSON pointer; NULL leaves the
 *	member out
 */
void tg_http_reply_error(struct evhttp_request *req, int status,
			 const char *place, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));
/** tg_http_reply_text() - reply with @n bytes of @text as content type @type */
void tg_http_reply_text(struct evhttp_request *req, int status,
			const char *type, const char *text, size_t n);
/**
 * tg_http_parse_json_body() - parse the body of a request as JSON
 *
 * Return: a new reference.  NULL if the body is invalid: the request has been
 * answered then, with status 400 and the line and column of the error.
 */
json_t *tg_http_parse_json_body(struct evhttp_request *req);
/**
 * tg_http_findings_to_json() - convert findings to JSON
 *
 * Return: new reference to {"findings": [{"place", "text"}...], "total": n}.
 */
json_t *tg_http_findings_to_json(const struct tg_findings *f);
/**
 * tg_http_decode_path() - percent-decoded path of a request
 *
 * Return: to be freed by the caller; NULL if the path does not start with '/'
 * or contains %00.
 */
char *tg_http_decode_path(struct evhttp_request *req);
/** tg_http_header() - value of a request header, or NULL */
const char *tg_http_header(struct evhttp_request *req, const char *name);
/** tg_http_query_param() - copy of a query parameter, to be freed; NULL if
 * absent */
char *tg_http_query_param(struct evhttp_request *req, const char *name);
/** tg_http_method_name() - "GET" for EVHTTP_REQ_GET etc., "?" if unknown */
const char *tg_http_method_name(enum evhttp_cmd_type method);
/** tg_http_parse_method() - EVHTTP_REQ_GET for "GET" etc., 0 if unknown */
enum evhttp_cmd_type tg_http_parse_method(const char *name);

/* --- client --- */

struct tg_http_client;
struct tg_http_call;

/**
 * struct tg_http_client_opts - options of a client
 * @base: event loop
 * @header_bytes: limit on the size of response headers; 0 for 16 KiB
 * @body_bytes: limit on the size of a response body; 0 for 4 MiB
 * @idle_per_addr: maximum number of idle connections kept per server address;
 *	0 for 8
 * @connections_max: beyond this number the connection that has been idle
 *longest is closed for a new one; 0 for no limit
 * @idle_ms: connections idle for longer are not reused; 0 for 20,000
 * @reuse_max_bytes: a connection on which a larger response has arrived is
 *	closed; 0 for no limit.  Servers may limit the time in which a response
 *	is read, and close a connection on which that has run out.
 * @unsafe_reuse: for fault tests only: reuse a connection on which a call timed
 *	out, so that the late response is delivered to the next call
 * @unsafe_undelimited: for fault tests only: accept a response whose end is
 *	marked by the close of the connection as complete
 */
struct tg_http_client_opts {
	struct event_base *base;
	size_t header_bytes;
	size_t body_bytes;
	int idle_per_addr;
	int connections_max;
	int64_t idle_ms;
	size_t reuse_max_bytes;
	bool unsafe_reuse;
	bool unsafe_undelimited;
};

enum tg_http_outcome {
	TG_HTTP_COMPLETE, /* complete response received */
	TG_HTTP_NOT_CONNECTED, /* nothing was sent */
	TG_HTTP_TIMEOUT, /* request sent, no complete response in time */
	TG_HTTP_INCOMPLETE, /* connection closed, response invalid or truncated
			     */
	TG_HTTP_TOO_LARGE, /* response exceeds a limit on its size */
};

/**
 * struct tg_http_transfer - how a response arrived
 * @bytes: received so far, headers included
 * @wait_ms: from the start of the call to the first of them, or to the end of
 *	the call if there are none
 * @receive_ms: from the first of them to the end of the call
 */
struct tg_http_transfer {
	size_t bytes;
	int64_t wait_ms, receive_ms;
};

/**
 * struct tg_http_result - outcome of a call and its response
 * @sent: the server may have received part of the request.  Always true with
 *	TG_HTTP_COMPLETE, never with TG_HTTP_NOT_CONNECTED.
 * @refused: with TG_HTTP_NOT_CONNECTED: the connection attempt failed before
 *	the timeout, usually because it was refused.  This does not prove that
 *	the server process has exited.
 * @status: status code, 0 unless TG_HTTP_COMPLETE
 * @headers: response headers, NULL unless TG_HTTP_COMPLETE
 * @body: response body, NULL unless TG_HTTP_COMPLETE
 * @transfer: also set if the response is not complete
 *
 * Headers and body are valid only during the callback.
 */
struct tg_http_result {
	enum tg_http_outcome end;
	bool sent, refused;
	int status;
	struct evkeyvalq *headers;
	struct evbuffer *body;
	struct tg_http_transfer transfer;
};

struct tg_http_header_field {
	const char *name, *value;
};

/**
 * struct tg_http_call_opts - request and callback of a call
 * @addr: IP:PORT of the server
 * @uri: path and query
 * @headers: additional headers, terminated by an entry with a NULL name; may be
 *	NULL.  Host is @addr if it is not among them.
 * @body: request body, copied
 * @body_bytes: length of @body; 0 for none
 * @timeout_ms: limit on the duration of the whole call, or with @stall_ms on
 *	the time to the first byte of the response.  When it expires the
 *	connection is closed, so that a late response can't be mistaken for the
 *	response to a later request.
 * @response_max_bytes: lower limit than body_bytes of struct
 *	tg_http_client_opts for the response to this call; 0 for none
 * @stall_ms: longest time without further bytes once the response has begun,
 *	however long all of it takes; 0 to limit the whole call by @timeout_ms
 *	Both limits are extended, to twice their length at most, by time in
 *	which the event loop was held up.
 * @priority: of the connection's events in the loop, as in enum of base.h
 * @done: called exactly once unless the call is cancelled, never from within
 *	tg_http_call_start()
 * @arg: passed to @done
 */
struct tg_http_call_opts {
	enum evhttp_cmd_type method;
	const char *addr;
	const char *uri;
	const struct tg_http_header_field *headers;
	const void *body;
	size_t body_bytes;
	size_t response_max_bytes;
	int64_t timeout_ms, stall_ms;
	int priority;
	void (*done)(const struct tg_http_result *r, void *arg);
	void *arg;
};

struct tg_http_client *
tg_http_client_new(const struct tg_http_client_opts *opts);
/** tg_http_client_free() - cancel all calls, then free; NULL is ignored */
void tg_http_client_free(struct tg_http_client *c);
/**
 * tg_http_call_start() - start a call; errors are reported through @done
 *
 * Return: never NULL; valid until @done is called or the call is cancelled.
 */
struct tg_http_call *tg_http_call_start(struct tg_http_client *c,
					const struct tg_http_call_opts *opts);
/** tg_http_call_cancel() - abort a call without calling @done, and free it */
void tg_http_call_cancel(struct tg_http_call *call);
/**
 * tg_http_result_json() - parse the response body as JSON
 *
 * Return: new reference; NULL if the response is not complete or not valid
 * JSON.
 */
json_t *tg_http_result_json(const struct tg_http_result *r);

#endif
