#ifndef TG_HTTP_H
#define TG_HTTP_H

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "base/base.h"

/**
 * DOC: HTTP library
 *
 * Server and client on evhttp with every limit set: header size, body size,
 * idle time, time of a call.
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
 * tg_http_count_bytes() - count a connection in tg_http_bytes_total
 *
 * Servers and clients of this library call it; bytes are those of HTTP,
 * without the headers of TCP and IP.
 */
void tg_http_count_bytes(struct bufferevent *bev);

/* --- server --- */

struct tg_http_server;

/**
 * struct tg_http_route - one path of a server
 * @path: whole path, or its beginning if @prefix
 * @prefix: match the beginning only
 * @methods: set of EVHTTP_REQ_*; others get 405
 * @handle: replies now or later, exactly once
 */
struct tg_http_route {
	const char *path;
	bool prefix;
	uint16_t methods;
	void (*handle)(struct evhttp_request *req, void *arg);
};

/**
 * struct tg_http_server_opts - options of a server
 * @addr: IP:PORT to listen on, port 0 for any
 * @header_bytes: limit of all headers together; 0 for 16 KiB
 * @body_bytes: limit of a body, 413 beyond; 0 for 1 MiB
 * @idle_ms: a connection without progress is closed; 0 for 75,000.  Must be
 *	longer than the longest time a handler takes to reply.
 * @routes: ended by an entry without path; the first match counts.  /metrics,
 *	/healthz and /readyz are answered by the library.
 * @ready: whether /readyz answers 200; sets *why otherwise
 * @refusal_line: header line with its CR LF for the replies that the library
 *	makes to requests which it can't parse; NULL for none
 * @arg: passed to handlers and @ready
 */
struct tg_http_server_opts {
	struct event_base *base;
	const char *addr;
	size_t header_bytes;
	size_t body_bytes;
	int64_t idle_ms;
	const struct tg_http_route *routes;
	bool (*ready)(void *arg, const char **why);
	const char *refusal_line;
	void *arg;
};

/** tg_http_server_new() - listen; NULL (logged) if the address can't be had */
struct tg_http_server *
tg_http_server_new(const struct tg_http_server_opts *opts);
void tg_http_server_free(struct tg_http_server *s);
/** tg_http_server_addr() - IP:PORT with the port in use */
const char *tg_http_server_addr(const struct tg_http_server *s);
/**
 * tg_http_server_in_progress() - requests whose reply is not yet fully written
 */
size_t tg_http_server_in_progress(const struct tg_http_server *s);
/**
 * tg_http_server_connections() - open connections that have sent a request
 */
size_t tg_http_server_connections(const struct tg_http_server *s);
/**
 * tg_http_on_abort() - call @fn if the client closes before the whole reply
 *
 * The handler must still reply (the reply then goes nowhere).
 */
void tg_http_on_abort(struct evhttp_request *req, void (*fn)(void *arg),
		      void *arg);

/** tg_http_reply_json() - reply; takes the reference to @body */
void tg_http_reply_json(struct evhttp_request *req, int status, json_t *body);
/**
 * tg_http_reply_error() - {"error": text, "place": place}
 * @place: what is wrong: a header, parameter or JSON pointer; may be NULL
 */
void tg_http_reply_error(struct evhttp_request *req, int status,
			 const char *place, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));
/** tg_http_reply_text() - reply with a body of @type */
void tg_http_reply_text(struct evhttp_request *req, int status,
			const char *type, const char *text, size_t n);
/**
 * tg_http_json_body() - parse the body of a request
 *
 * Return: a new reference; NULL after a reply with 400 that names line and
 * column of the fault.
 */
json_t *tg_http_json_body(struct evhttp_request *req);
/** tg_http_findings() - {"findings":[{"place","text"}...]}, new reference */
json_t *tg_http_findings(const struct tg_findings *f);
/** tg_http_path() - decoded path of a request, to be freed; NULL if invalid */
char *tg_http_path(struct evhttp_request *req);
/** tg_http_header() - header of a request, or NULL */
const char *tg_http_header(struct evhttp_request *req, const char *name);
/** tg_http_query() - query parameter of a request, to be freed, or NULL */
char *tg_http_query(struct evhttp_request *req, const char *name);
/** tg_http_method_name() - "GET" and so on */
const char *tg_http_method_name(enum evhttp_cmd_type method);
/** tg_http_method() - inverse of tg_http_method_name(), 0 if unknown */
enum evhttp_cmd_type tg_http_method(const char *name);

/* --- client --- */

struct tg_http_client;
struct tg_http_call;

/**
 * struct tg_http_client_opts - options of a client
 * @header_bytes: limit of the headers of an answer; 0 for 16 KiB
 * @body_bytes: limit of the body of an answer; 0 for 4 MiB
 * @idle_per_addr: connections kept for reuse to one address; 0 for 8
 * @idle_ms: age from which an idle connection is not reused; 0 for 20,000
 * @unsafe_reuse: for fault tests: a connection on which a call timed out is
 *	reused, and the late answer is taken for that of the next call
 * @unsafe_undelimited: for fault tests: an answer that ends with its connection
 *	counts as whole
 */
struct tg_http_client_opts {
	struct event_base *base;
	size_t header_bytes;
	size_t body_bytes;
	int idle_per_addr;
	int64_t idle_ms;
	bool unsafe_reuse;
	bool unsafe_undelimited;
};

enum tg_http_end {
	TG_HTTP_WHOLE, /* the whole answer was received */
	TG_HTTP_NOT_CONNECTED,
	TG_HTTP_TIMEOUT,
	TG_HTTP_BROKEN, /* closed, invalid or cut short */
	TG_HTTP_TOO_BIG,
};

/**
 * struct tg_http_result - how a call ended
 * @end: see above
 * @sent: a byte of the request may have reached the server.  Always set with
 *	TG_HTTP_WHOLE; never with TG_HTTP_NOT_CONNECTED.
 * @refused: with TG_HTTP_NOT_CONNECTED: the connection was refused, which
 *	is no proof that the server has ended
 * @status: status of a whole answer, else 0
 * @headers: of a whole answer, else NULL
 * @body: of a whole answer, else NULL
 */
struct tg_http_result {
	enum tg_http_end end;
	bool sent, refused;
	int status;
	struct evkeyvalq *headers;
	struct evbuffer *body;
};

struct tg_http_kv {
	const char *name, *value;
};

/**
 * struct tg_http_call_opts - one call
 * @addr: IP:PORT
 * @uri: path and query
 * @headers: further headers, ended by an entry without name; may be NULL
 * @body: copied
 * @timeout_ms: limit of the whole call; the connection is closed after it, so
 *	that a late answer can't be taken for that of a later request
 * @done: called exactly once, never from inside tg_http_call_start()
 */
struct tg_http_call_opts {
	enum evhttp_cmd_type method;
	const char *addr;
	const char *uri;
	const struct tg_http_kv *headers;
	const void *body;
	size_t body_bytes;
	int64_t timeout_ms;
	void (*done)(const struct tg_http_result *r, void *arg);
	void *arg;
};

struct tg_http_client *
tg_http_client_new(const struct tg_http_client_opts *opts);
/** tg_http_client_free() - cancels all calls */
void tg_http_client_free(struct tg_http_client *c);
/** tg_http_call_start() - start a call; never NULL */
struct tg_http_call *tg_http_call_start(struct tg_http_client *c,
					const struct tg_http_call_opts *opts);
/** tg_http_call_cancel() - close the connection; @done is not called */
void tg_http_call_cancel(struct tg_http_call *call);
/** tg_http_result_json() - parse the body; new reference or NULL */
json_t *tg_http_result_json(const struct tg_http_result *r);

#endif
