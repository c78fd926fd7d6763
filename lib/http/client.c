#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <uthash.h>
#include <utlist.h>

#include <event2/bufferevent.h>

#include "http/http.h"
#include <event2/http_struct.h>

#define DEFAULT_HEADER_BYTES 16384
#define DEFAULT_BODY_BYTES (4 << 20)
#define DEFAULT_IDLE_PER_ADDR 8
#define DEFAULT_IDLE_MS 20000
/* A timer that fires this late was held up by the loop, not by the server. */
#define LOOP_LATE_MS 50
/* Time to read a response that has arrived already. */
#define READ_GRACE_MS 20

struct connection {
	struct evhttp_connection *con;
	struct tg_http_call *call; /* NULL while idle or discarded */
	struct pool *pool;
	struct connection *prev, *next; /* in @idle of the pool or @discarded */
	/* In the client's list of idle connections. */
	struct connection *idle_prev, *idle_next;
	int64_t idle_since_ms;
	/* With unsafe_reuse: timed-out request that awaits its response. */
	struct evhttp_request *late_request;
};

/* Idle connections to one server address. */
struct pool {
	char addr[TG_ADDR_MAX + 1];
	struct connection *idle;
	int n_idle;
	UT_hash_handle hh;
};

struct tg_http_client {
	struct tg_http_client_opts opts;
	struct pool *pools;
	struct tg_http_call *calls;
	struct connection *discarded;
	struct event *free_discarded_event;
	struct connection *idle; /* of all pools, the longest idle first */
	int n_connections;
};

struct tg_http_call {
	struct tg_http_client *client;
	struct pool *pool;
	struct connection *con;
	struct evhttp_request *req;
	struct event *timer;
	void (*done)(const struct tg_http_result *r, void *arg);
	void *arg;
	enum evhttp_cmd_type method;
	enum evhttp_request_error error;
	bool failed; /* @error is set */
	bool sent; /* as in struct tg_http_result */
	bool refused; /* as in struct tg_http_result */
	bool starting; /* evhttp_make_request() is on the stack */
	int64_t started_ms;
	int64_t due_ms; /* when @timer fires */
	int64_t extended_ms; /* added to the limit so far, see extension_ms() */
	int64_t timeout_ms; /* as in struct tg_http_call_opts */
	int64_t first_byte_ms, last_byte_ms; /* of the response; 0 before */
	int64_t stall_ms; /* as in struct tg_http_call_opts */
	size_t received_bytes;
	struct tg_http_call *prev, *next;
};

static struct tg_gauge *connections_gauge(void)
{
	static struct tg_gauge *g;

	if (!g)
		g = tg_gauge("tg_http_client_connections",
			     "open connections to servers", NULL);
	return g;
}

static void on_output_change(struct evbuffer *buf,
			     const struct evbuffer_cb_info *info, void *arg)
{
	struct connection *c = arg;

	(void)buf;
	/* evhttp writes the request only once the connection is established. */
	if (info->n_added && c->call)
		c->call->sent = true;
}

static void on_input_change(struct evbuffer *buf,
			    const struct evbuffer_cb_info *info, void *arg)
{
	struct connection *c = arg;
	struct tg_http_call *call = c->call;

	(void)buf;
	if (!info->n_added || !call)
		return;
	call->last_byte_ms = tg_now_ms();
	if (!call->first_byte_ms)
		call->first_byte_ms = call->last_byte_ms;
	call->received_bytes += info->n_added;
}

static void free_connection(struct tg_http_client *client, struct connection *c)
{
	client->n_connections--;
	connections_gauge()->value--;
	evhttp_connection_free(c->con);
	free(c);
}

static void unlist_idle(struct tg_http_client *client, struct connection *c)
{
	DL_DELETE(c->pool->idle, c);
	c->pool->n_idle--;
	DL_DELETE2(client->idle, c, idle_prev, idle_next);
}

/* Closes the connection that is idle longest if there are too many. */
static void limit_connections(struct tg_http_client *client)
{
	struct connection *c = client->idle;

	if (!client->opts.connections_max ||
	    client->n_connections < client->opts.connections_max)
		return;
	tg_log(EV_HTTP_CONNECTIONS, "open=%d most=%d idle=%d",
	       client->n_connections, client->opts.connections_max, c != NULL);
	if (!c)
		return;
	unlist_idle(client, c);
	free_connection(client, c);
}

static struct connection *open_connection(struct tg_http_client *client,
					  struct pool *p)
{
	struct connection *c = tg_xcalloc(1, sizeof(*c));
	struct bufferevent *bev;
	char host[TG_ADDR_MAX + 1];
	uint16_t port;

	limit_connections(client);
	if (tg_addr_split(p->addr, host, sizeof(host), &port))
		goto fail;
	c->con = evhttp_connection_base_bufferevent_new(client->opts.base, NULL,
							NULL, host, port);
	if (!c->con)
		goto fail;
	c->pool = p;
	client->n_connections++;
	connections_gauge()->value++;
	bev = evhttp_connection_get_bufferevent(c->con);
	evbuffer_add_cb(bufferevent_get_output(bev), on_output_change, c);
	evbuffer_add_cb(bufferevent_get_input(bev), on_input_change, c);
	tg_http_count_bytes(bev);
	evhttp_connection_set_retries(c->con, 0);
	evhttp_connection_set_max_headers_size(
		c->con, (ev_ssize_t)client->opts.header_bytes);
	return c;
fail:
	free(c);
	return NULL;
}

static void free_discarded(evutil_socket_t fd, short what, void *arg)
{
	struct tg_http_client *client = arg;

	(void)fd;
	(void)what;
	while (client->discarded) {
		struct connection *c = client->discarded;

		client->discarded = c->next;
		free_connection(client, c);
	}
}

/* Frees the connection later, as evhttp still uses it after its callbacks. */
static void discard_connection(struct tg_http_client *client,
			       struct connection *c)
{
	c->call = NULL;
	c->next = client->discarded;
	client->discarded = c;
	event_active(client->free_discarded_event, EV_TIMEOUT, 0);
}

/* Whether the server closed an idle connection or sent unrequested data. */
static bool is_stale(const struct connection *c)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(c->con);
	evutil_socket_t fd = bufferevent_getfd(bev);
	char byte;

	if (fd < 0 || evbuffer_get_length(bufferevent_get_input(bev)))
		return true;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
		(errno != EAGAIN && errno != EWOULDBLOCK);
}

static struct connection *get_connection(struct tg_http_client *client,
					 struct pool *p)
{
	int64_t oldest_ms = tg_now_ms() - client->opts.idle_ms;

	while (p->idle) {
		struct connection *c = p->idle;

		unlist_idle(client, c);
		if (c->idle_since_ms >= oldest_ms && !is_stale(c))
			return c;
		free_connection(client, c);
	}
	return open_connection(client, p);
}

static void release_connection(struct tg_http_client *client, struct pool *p,
			       struct connection *c)
{
	c->call = NULL;
	if (p->n_idle >= client->opts.idle_per_addr) {
		discard_connection(client, c);
		return;
	}
	c->idle_since_ms = tg_now_ms();
	DL_PREPEND(p->idle, c);
	p->n_idle++;
	DL_APPEND2(client->idle, c, idle_prev, idle_next);
}

static struct pool *get_pool(struct tg_http_client *client, const char *addr)
{
	struct pool *p;

	HASH_FIND_STR(client->pools, addr, p);
	if (p)
		return p;
	p = tg_xcalloc(1, sizeof(*p));
	tg_strlcpy(p->addr, addr, sizeof(p->addr));
	HASH_ADD_STR(client->pools, addr, p);
	return p;
}

static void free_call(struct tg_http_call *call)
{
	if (call->prev)
		call->prev->next = call->next;
	else
		call->client->calls = call->next;
	if (call->next)
		call->next->prev = call->prev;
	event_free(call->timer);
	free(call);
}

static struct tg_http_transfer transfer_of(const struct tg_http_call *call)
{
	int64_t now_ms = tg_now_ms();
	int64_t first_ms = call->first_byte_ms ? call->first_byte_ms : now_ms;

	return (struct tg_http_transfer){
		.bytes = call->received_bytes,
		.wait_ms = first_ms - call->started_ms,
		.receive_ms = now_ms - first_ms,
	};
}

static void finish_call(struct tg_http_call *call, struct tg_http_result *r)
{
	void (*done)(const struct tg_http_result *r, void *arg) = call->done;
	void *arg = call->arg;

	r->transfer = transfer_of(call);
	free_call(call);
	done(r, arg);
}

/*
 * Whether the end of a response can be told from a broken connection.  Without
 * Content-Length or chunked encoding a truncated body looks complete.
 */
static bool has_delimited_body(const struct tg_http_call *call,
			       struct evhttp_request *req)
{
	struct evkeyvalq *h = evhttp_request_get_input_headers(req);
	int status = evhttp_request_get_response_code(req);

	return call->client->opts.unsafe_undelimited ||
		call->method == EVHTTP_REQ_HEAD || status == 204 ||
		status == 304 || evhttp_find_header(h, "Content-Length") ||
		evhttp_find_header(h, "Transfer-Encoding");
}

/*
 * Some servers send a body in response to HEAD.  On a reused connection it
 * would be parsed as the start of the next response.
 */
static bool is_reusable(const struct tg_http_call *call)
{
	size_t max_bytes = call->client->opts.reuse_max_bytes;

	return call->method != EVHTTP_REQ_HEAD &&
		(!max_bytes || call->received_bytes <= max_bytes);
}

static enum tg_http_outcome failure_outcome(const struct tg_http_call *call)
{
	if (!call->sent)
		return TG_HTTP_NOT_CONNECTED;
	if (call->failed && call->error == EVREQ_HTTP_TIMEOUT)
		return TG_HTTP_TIMEOUT;
	if (call->failed && call->error == EVREQ_HTTP_DATA_TOO_LONG)
		return TG_HTTP_TOO_LARGE;
	return TG_HTTP_INCOMPLETE;
}

static void handle_response(struct tg_http_call *call,
			    struct evhttp_request *req)
{
	struct tg_http_result r = { .sent = call->sent };
	bool complete;

	/*
	 * If connect() fails asynchronously, libevent closes the socket before
	 * it calls back and the error is lost; any such failure counts as
	 * refused.  Timeouts do not get here: on_call_timer() handles them.
	 */
	if (!call->sent)
		call->refused = !call->starting ||
			EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
	/*
	 * connect() failed immediately.  The callback must not run inside
	 * tg_http_call_start(), so the timer reports the failure.
	 */
	if (call->starting) {
		discard_connection(call->client, call->con);
		call->con = NULL;
		call->req = NULL;
		return;
	}
	complete = req && !call->failed &&
		evhttp_request_get_response_code(req) &&
		has_delimited_body(call, req);

	if (!complete) {
		r.end = failure_outcome(call);
		r.refused = call->refused;
		discard_connection(call->client, call->con);
		finish_call(call, &r);
		return;
	}
	r.end = TG_HTTP_COMPLETE;
	r.sent = true;
	r.status = evhttp_request_get_response_code(req);
	r.headers = evhttp_request_get_input_headers(req);
	r.body = evhttp_request_get_input_buffer(req);
	if (is_reusable(call))
		release_connection(call->client, call->pool, call->con);
	else
		discard_connection(call->client, call->con);
	finish_call(call, &r);
}

static void on_response(struct evhttp_request *req, void *arg)
{
	tg_turn_begin();
	handle_response(arg, req);
	tg_turn_end("response");
}

/* With unsafe_reuse: delivers a late response to the connection's next call. */
static void on_late_response(struct evhttp_request *req, void *arg)
{
	struct connection *c = arg;

	c->late_request = NULL;
	if (c->call)
		handle_response(c->call, req);
}

static void on_request_error(enum evhttp_request_error error, void *arg)
{
	struct tg_http_call *call = arg;

	call->error = error;
	call->failed = true;
}

/*
 * Connections to a server may go silent together, without being closed, while
 * new ones work.
 */
static void drop_idle(struct tg_http_client *client, struct pool *p)
{
	while (p->idle) {
		struct connection *c = p->idle;

		unlist_idle(client, c);
		discard_connection(client, c);
	}
}

static void abort_request(struct tg_http_call *call)
{
	if (call->req)
		evhttp_cancel_request(call->req);
	call->req = NULL;
	if (call->con)
		discard_connection(call->client, call->con);
	call->con = NULL;
}

static void reuse_after_timeout(struct tg_http_call *call)
{
	struct connection *c = call->con;

	if (!c->late_request) {
		c->late_request = call->req;
		call->req->cb = on_late_response;
		call->req->cb_arg = c;
		evhttp_request_set_error_cb(c->late_request, NULL);
	}
	call->req = NULL;
	call->con = NULL;
	release_connection(call->client, call->pool, c);
}

static void set_timer(struct tg_http_call *call, int64_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = (ms % 1000) * 1000 };

	call->due_ms = tg_now_ms() + ms;
	event_add(call->timer, &tv);
}

/* Whether a part of the response has arrived that has not been read yet. */
static bool has_unread_response(const struct tg_http_call *call)
{
	struct bufferevent *bev;
	evutil_socket_t fd;
	char byte;

	if (!call->con || !call->req || !call->sent)
		return false;
	bev = evhttp_connection_get_bufferevent(call->con->con);
	fd = bufferevent_getfd(bev);
	return fd >= 0 && recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/*
 * Time by which to extend a limit that has run out; 0 for none.  The limit is
 * for the server: time in which this process was too busy or was suspended, so
 * that it did not even read the response, must not run against the server.
 */
static int64_t extension_ms(const struct tg_http_call *call)
{
	int64_t ms = tg_now_ms() - call->due_ms;

	if (ms < LOOP_LATE_MS)
		ms = has_unread_response(call) ? READ_GRACE_MS : 0;
	if (ms > call->timeout_ms - call->extended_ms)
		ms = call->timeout_ms - call->extended_ms;
	return ms > 0 ? ms : 0;
}

/* Time for which a response that is arriving may still pause; 0 if none. */
static int64_t stall_left_ms(const struct tg_http_call *call)
{
	int64_t left_ms = call->last_byte_ms + call->stall_ms - tg_now_ms();

	return call->stall_ms && call->first_byte_ms && left_ms > 0 ? left_ms :
								      0;
}

static void on_call_timer(evutil_socket_t fd, short what, void *arg)
{
	struct tg_http_call *call = arg;
	struct tg_http_result r = { .end = TG_HTTP_TIMEOUT,
				    .sent = call->sent };
	int64_t extended_ms;

	(void)fd;
	(void)what;
	if (stall_left_ms(call)) {
		set_timer(call, stall_left_ms(call));
		return;
	}
	extended_ms = call->req ? extension_ms(call) : 0;
	if (extended_ms) {
		call->extended_ms += extended_ms;
		set_timer(call, extended_ms);
		return;
	}
	if (!call->req || !call->sent)
		r.end = TG_HTTP_NOT_CONNECTED;
	r.refused = call->refused;
	if (r.end == TG_HTTP_TIMEOUT && !call->first_byte_ms)
		drop_idle(call->client, call->pool);
	if (call->client->opts.unsafe_reuse && r.end == TG_HTTP_TIMEOUT)
		reuse_after_timeout(call);
	else
		abort_request(call);
	tg_turn_begin();
	finish_call(call, &r);
	tg_turn_end("time limit of a call");
}

static int new_request(struct tg_http_call *call,
		       const struct tg_http_call_opts *opts)
{
	struct evkeyvalq *out;
	const struct tg_http_header_field *h;

	call->req = evhttp_request_new(on_response, call);
	if (!call->req)
		return -1;
	evhttp_request_set_error_cb(call->req, on_request_error);
	out = evhttp_request_get_output_headers(call->req);
	for (h = opts->headers; h && h->name; h++)
		if (evhttp_add_header(out, h->name, h->value))
			return -1;
	if (!evhttp_find_header(out, "Host"))
		evhttp_add_header(out, "Host", opts->addr);
	if (opts->body_bytes)
		evbuffer_add(evhttp_request_get_output_buffer(call->req),
			     opts->body, opts->body_bytes);
	return 0;
}

static void send_request(struct tg_http_call *call,
			 const struct tg_http_call_opts *opts)
{
	size_t max_bytes = opts->response_max_bytes;

	call->con = get_connection(call->client, call->pool);
	if (!call->con)
		return;
	if (!max_bytes || max_bytes > call->client->opts.body_bytes)
		max_bytes = call->client->opts.body_bytes;
	evhttp_connection_set_max_body_size(call->con->con,
					    (ev_ssize_t)max_bytes);
	if (new_request(call, opts)) {
		if (call->req)
			evhttp_request_free(call->req);
		call->req = NULL;
		return;
	}
	call->con->call = call;
	if (call->con->late_request) {
		evhttp_request_free(call->req);
		call->req = call->con->late_request;
		call->sent = true;
		return;
	}
	call->starting = true;
	/* evhttp_make_request() frees the request on failure. */
	if (evhttp_make_request(call->con->con, call->req, opts->method,
				opts->uri))
		call->req = NULL;
	call->starting = false;
	/* To connect resets the priority; if that fails there is nothing left.
	 */
	if (call->con)
		bufferevent_priority_set(
			evhttp_connection_get_bufferevent(call->con->con),
			opts->priority);
}

struct tg_http_call *tg_http_call_start(struct tg_http_client *client,
					const struct tg_http_call_opts *opts)
{
	struct tg_http_call *call = tg_xcalloc(1, sizeof(*call));

	call->client = client;
	call->started_ms = tg_now_ms();
	call->done = opts->done;
	call->arg = opts->arg;
	call->method = opts->method;
	call->stall_ms = opts->stall_ms;
	call->timeout_ms = opts->timeout_ms;
	call->next = client->calls;
	if (client->calls)
		client->calls->prev = call;
	client->calls = call;
	call->pool = get_pool(client, opts->addr);
	call->timer = event_new(client->opts.base, -1, 0, on_call_timer, call);
	send_request(call, opts);
	/* If the request could not be sent, the event loop reports that. */
	set_timer(call, call->req ? opts->timeout_ms : 0);
	return call;
}

void tg_http_call_cancel(struct tg_http_call *call)
{
	abort_request(call);
	free_call(call);
}

struct tg_http_client *
tg_http_client_new(const struct tg_http_client_opts *opts)
{
	struct tg_http_client *c = tg_xcalloc(1, sizeof(*c));

	c->opts = *opts;
	if (!c->opts.header_bytes)
		c->opts.header_bytes = DEFAULT_HEADER_BYTES;
	if (!c->opts.body_bytes)
		c->opts.body_bytes = DEFAULT_BODY_BYTES;
	if (!c->opts.idle_per_addr)
		c->opts.idle_per_addr = DEFAULT_IDLE_PER_ADDR;
	if (!c->opts.idle_ms)
		c->opts.idle_ms = DEFAULT_IDLE_MS;
	c->free_discarded_event =
		event_new(c->opts.base, -1, 0, free_discarded, c);
	return c;
}

void tg_http_client_free(struct tg_http_client *c)
{
	struct connection *con;
	struct pool *p, *tmp;

	if (!c)
		return;
	while (c->calls)
		tg_http_call_cancel(c->calls);
	while ((con = c->idle)) {
		unlist_idle(c, con);
		free_connection(c, con);
	}
	HASH_ITER(hh, c->pools, p, tmp) {
		HASH_DEL(c->pools, p);
		free(p);
	}
	free_discarded(-1, 0, c);
	event_free(c->free_discarded_event);
	free(c);
}
