#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include <event2/bufferevent.h>

#include "http/inbound.h"

#define DEFAULT_HEADER_BYTES 16384
#define DEFAULT_BODY_BYTES (1 << 20)
#define DEFAULT_IDLE_MS 75000
#define DEFAULT_CONNECTIONS 1024
#define DEFAULT_BUFFERED_BYTES (16 << 20)
#define DEFAULT_REQUEST_MS 30000
#define STATUS_PREFIX_LEN 12 /* "HTTP/1.1 200" */

const struct tg_event_info tg_http_events[] = {
#define TG_EVENT TG_EVENT_INFO
#include "http/events.def"
#undef TG_EVENT
	{ 0, TG_INFO, NULL },
};

/* A connection that has sent at least one request. */
struct connection {
	struct evhttp_connection *con;
	struct evbuffer *out; /* output buffer of @con */
	struct tg_http_server *server;
	bool busy; /* the reply to its request is not yet written in full */
	void (*abort_fn)(void *arg);
	void *abort_arg;
	UT_hash_handle hh;
};

struct tg_http_server {
	const char *error_header_line;
	struct evhttp *http;
	struct inbound_list *inbound;
	struct event_base *base;
	const struct tg_http_route *routes;
	bool (*ready)(void *arg, const char **why);
	void *arg;
	char addr[TG_ADDR_MAX + 1];
};

/* Connections of all servers, by @con; each has at most one request. */
static struct connection *connections;

static void free_connection(struct connection *c)
{
	HASH_DEL(connections, c);
	free(c);
}

static struct connection *find_connection(struct evhttp_connection *con)
{
	struct connection *c;

	HASH_FIND_PTR(connections, &con, c);
	return c;
}

static void on_reply_written(struct evhttp_request *req, void *arg)
{
	struct connection *c =
		find_connection(evhttp_request_get_connection(req));

	(void)arg;
	if (!c)
		return;
	c->busy = false;
	c->abort_fn = NULL;
	inbound_request_done(c->server->inbound,
			     evhttp_connection_get_bufferevent(c->con));
	inbound_check(c->server->inbound);
}

static void on_connection_closed(struct evhttp_connection *con, void *arg)
{
	struct connection *c = find_connection(con);
	void (*fn)(void *arg);
	void *fn_arg;

	(void)arg;
	if (!c)
		return;
	fn = c->abort_fn;
	fn_arg = c->abort_arg;
	inbound_check(c->server->inbound);
	free_connection(c);
	if (fn)
		fn(fn_arg);
}

static void begin_request(struct tg_http_server *s, struct evhttp_request *req)
{
	struct evhttp_connection *con = evhttp_request_get_connection(req);
	struct connection *c = find_connection(con);

	if (!c) {
		c = tg_xcalloc(1, sizeof(*c));
		c->con = con;
		c->out = bufferevent_get_output(
			evhttp_connection_get_bufferevent(con));
		HASH_ADD_PTR(connections, con, c);
	}
	c->server = s;
	c->busy = true;
	c->abort_fn = NULL;
	inbound_request_begun(s->inbound,
			      evhttp_connection_get_bufferevent(con));
	evhttp_connection_set_closecb(con, on_connection_closed, NULL);
	evhttp_request_set_on_complete_cb(req, on_reply_written, NULL);
}

void tg_http_set_abort_callback(struct evhttp_request *req,
				void (*fn)(void *arg), void *arg)
{
	struct evhttp_connection *con = evhttp_request_get_connection(req);
	struct connection *c = con ? find_connection(con) : NULL;

	if (!c || !c->busy)
		return;
	c->abort_fn = fn;
	c->abort_arg = arg;
}

size_t tg_http_server_in_progress(const struct tg_http_server *s)
{
	struct connection *c, *tmp;
	size_t n = 0;

	HASH_ITER(hh, connections, c, tmp)
		n += c->server == s && c->busy;
	return n;
}

size_t tg_http_server_connections(const struct tg_http_server *s)
{
	struct connection *c, *tmp;
	size_t n = 0;

	HASH_ITER(hh, connections, c, tmp)
		n += c->server == s;
	return n;
}

/* Whether evhttp sends an error reply itself, without calling a handler. */
static bool is_evhttp_error(struct evbuffer *out, const char *status)
{
	struct connection *c, *tmp;

	if (*status != '4' && *status != '5')
		return false;
	HASH_ITER(hh, connections, c, tmp)
		if (c->out == out && c->busy)
			return false;
	return true;
}

/*
 * Counts replies by status, and adds error_header_line to error replies that
 * evhttp sends itself.  evhttp appends the status line to the empty output
 * buffer before the headers, so that a line added here becomes the first
 * header.
 */
static void on_output_change(struct evbuffer *buf,
			     const struct evbuffer_cb_info *info, void *arg)
{
	const struct tg_http_server *s = arg;
	char status_line[STATUS_PREFIX_LEN + 1] = "";
	char labels[32];

	/* Once the answer is written evhttp may free the connection. */
	if (info->n_deleted && !evbuffer_get_length(buf))
		inbound_check(s->inbound);
	if (info->orig_size || info->n_added < STATUS_PREFIX_LEN)
		return;
	evbuffer_copyout(buf, status_line, STATUS_PREFIX_LEN);
	if (strncmp(status_line, "HTTP/", 5) != 0)
		return;
	snprintf(labels, sizeof(labels), "status=\"%s\"", status_line + 9);
	tg_counter("tg_http_replies_total", "HTTP replies by status.", labels)
		->value++;
	if (!is_evhttp_error(buf, status_line + 9))
		return;
	inbound_refused(s->inbound, buf);
	if (s->error_header_line)
		evbuffer_add(buf, s->error_header_line,
			     strlen(s->error_header_line));
}

static struct bufferevent *new_bufferevent(struct event_base *base, void *arg)
{
	struct bufferevent *bev =
		bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);

	if (!bev)
		return NULL;
	evbuffer_add_cb(bufferevent_get_output(bev), on_output_change, arg);
	inbound_add(((struct tg_http_server *)arg)->inbound, bev);
	tg_http_count_bytes(bev);
	return bev;
}

static void reply_metrics(struct evhttp_request *req)
{
	struct evbuffer *out = evbuffer_new();

	tg_gauge("tg_process_resident_kb", "Resident memory in KiB.", NULL)
		->value = tg_rss_kb();
	tg_counter("tg_process_cpu_us_total", "Processor time used.", NULL)
		->value = (uint64_t)tg_cpu_us();
	tg_metrics_write(out);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "text/plain; version=0.0.4");
	evhttp_send_reply(req, 200, NULL, out);
	evbuffer_free(out);
}

static void reply_ready(struct tg_http_server *s, struct evhttp_request *req)
{
	const char *why = "draining";
	bool ok = !tg_daemon_draining();

	if (ok && s->ready)
		ok = s->ready(s->arg, &why);
	if (ok)
		tg_http_reply_text(req, 200, "text/plain", "ready\n", 6);
	else
		tg_http_reply_error(req, 503, NULL, "not ready: %s", why);
}

static bool reply_builtin(struct tg_http_server *s, struct evhttp_request *req,
			  const char *path)
{
	if (!strcmp(path, "/metrics"))
		reply_metrics(req);
	else if (!strcmp(path, "/healthz"))
		tg_http_reply_text(req, 200, "text/plain", "ok\n", 3);
	else if (!strcmp(path, "/readyz"))
		reply_ready(s, req);
	else
		return false;
	return true;
}

static const struct tg_http_route *find_route(const struct tg_http_server *s,
					      const char *path)
{
	const struct tg_http_route *r;

	for (r = s->routes; r && r->path; r++) {
		if (!strcmp(path, r->path))
			return r;
		if (r->prefix && !strncmp(path, r->path, strlen(r->path)))
			return r;
	}
	return NULL;
}

static void on_request(struct evhttp_request *req, void *arg)
{
	struct tg_http_server *s = arg;
	const struct tg_http_route *r;
	char *path = tg_http_decode_path(req);

	begin_request(s, req);
	if (!path) {
		tg_http_reply_error(req, 400, "path", "not a valid path");
		return;
	}
	if (reply_builtin(s, req, path))
		goto out;
	r = find_route(s, path);
	if (!r)
		tg_http_reply_error(req, 404, "path", "no such page");
	else if (!(r->methods & evhttp_request_get_command(req)))
		tg_http_reply_error(req, 405, "method", "not allowed here");
	else
		r->handle(req, s->arg);
out:
	free(path);
}

static void open_inbound(struct tg_http_server *s,
			 const struct tg_http_server_opts *opts)
{
	struct inbound_opts o = {
		.base = opts->base,
		.limits = opts->limits,
		.name = s->addr,
		.header_bytes = opts->header_bytes ? opts->header_bytes :
						     DEFAULT_HEADER_BYTES,
		.body_bytes = opts->body_bytes ? opts->body_bytes :
						 DEFAULT_BODY_BYTES,
	};
	struct tg_http_limits *l = &o.limits;

	if (!l->connections)
		l->connections = DEFAULT_CONNECTIONS;
	if (!l->per_address)
		l->per_address = l->connections;
	if (!l->buffered_bytes)
		l->buffered_bytes = DEFAULT_BUFFERED_BYTES;
	if (!l->request_ms)
		l->request_ms = DEFAULT_REQUEST_MS;
	s->inbound = inbound_list_new(&o);
}

static int listen_on(struct tg_http_server *s, const char *addr)
{
	struct evhttp_bound_socket *sock;
	char host[TG_ADDR_MAX + 1];
	uint16_t port;

	if (tg_addr_split(addr, host, sizeof(host), &port))
		return -1;
	sock = evhttp_bind_socket_with_handle(s->http, host, port);
	if (!sock)
		return -1;
	inbound_set_listener(s->inbound,
			     evhttp_bound_socket_get_listener(sock));
	return tg_bound_addr(evhttp_bound_socket_get_fd(sock), s->addr,
			     sizeof(s->addr));
}

struct tg_http_server *
tg_http_server_new(const struct tg_http_server_opts *opts)
{
	int64_t idle_ms = opts->idle_ms ? opts->idle_ms : DEFAULT_IDLE_MS;
	struct timeval idle = { .tv_sec = idle_ms / 1000,
				.tv_usec = (idle_ms % 1000) * 1000 };
	struct tg_http_server *s = tg_xcalloc(1, sizeof(*s));

	s->base = opts->base;
	s->routes = opts->routes;
	s->ready = opts->ready;
	s->arg = opts->arg;
	s->error_header_line = opts->error_header_line;
	open_inbound(s, opts);
	s->http = evhttp_new(opts->base);
	if (!s->http)
		goto fail;
	evhttp_set_max_headers_size(s->http,
				    opts->header_bytes ?
					    (ev_ssize_t)opts->header_bytes :
					    DEFAULT_HEADER_BYTES);
	evhttp_set_max_body_size(s->http,
				 opts->body_bytes ?
					 (ev_ssize_t)opts->body_bytes :
					 DEFAULT_BODY_BYTES);
	evhttp_set_timeout_tv(s->http, &idle);
	evhttp_set_allowed_methods(
		s->http,
		EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
			EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
			EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
	evhttp_set_bevcb(s->http, new_bufferevent, s);
	evhttp_set_gencb(s->http, on_request, s);
	if (listen_on(s, opts->addr))
		goto fail;
	return s;
fail:
	tg_log(EV_HTTP_LISTEN_FAILED, "addr=%s", opts->addr);
	tg_http_server_free(s);
	return NULL;
}

void tg_http_server_free(struct tg_http_server *s)
{
	struct connection *c, *tmp;

	if (!s)
		return;
	HASH_ITER(hh, connections, c, tmp)
		if (c->server == s) {
			evhttp_connection_set_closecb(c->con, NULL, NULL);
			free_connection(c);
		}
	if (s->http)
		evhttp_free(s->http);
	inbound_list_free(s->inbound);
	free(s);
}

const char *tg_http_server_addr(const struct tg_http_server *s)
{
	return s->addr;
}
