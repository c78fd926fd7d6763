#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "oncrpc/codec.h"

#define DEFAULT_CONNECTIONS_MAX 256
#define DEFAULT_IDLE_MS 300000
/* Reading from a connection pauses at this many unanswered calls. */
#define UNANSWERED_CALLS_MAX 64
/* Datagrams processed before control returns to the event loop. */
#define DATAGRAMS_PER_WAKEUP 64

struct connection {
	struct tg_rpc_server *server;
	struct bufferevent *bev;
	struct rpc_stream stream;
	struct tg_rpc_req *reqs;
	size_t n_unanswered;
	struct connection *prev, *next; /* list of the server's connections */
};

struct tg_rpc_req {
	struct tg_rpc_server *server;
	struct connection *con; /* NULL for UDP and after it has closed */
	uint32_t xid, proc;
	void *args;
	bool by_udp;
	struct sockaddr_storage from;
	socklen_t from_len;
	struct tg_rpc_req *prev, *next;
};

struct tg_rpc_server {
	struct tg_rpc_server_opts opts;
	struct evconnlistener *listener;
	struct event *udp;
	int udp_fd;
	struct connection *connections; /* the one used last comes first */
	size_t n_connections, in_progress;
	char addr[TG_ADDR_MAX + 1];
};

static void count_rejected(int event, const char *why)
{
	char labels[64];

	snprintf(labels, sizeof(labels), "why=\"%s\"", why);
	tg_counter("tg_rpc_refused_total", "RPC messages refused.", labels)
		->value++;
	tg_log(event, "why=%s", why);
}

static void unlink_request(struct tg_rpc_req *req)
{
	struct connection *c = req->con;

	if (!c)
		return;
	if (req->prev)
		req->prev->next = req->next;
	else
		c->reqs = req->next;
	if (req->next)
		req->next->prev = req->prev;
	c->n_unanswered--;
}

static void close_connection(struct connection *c)
{
	struct tg_rpc_req *req;

	for (req = c->reqs; req; req = req->next)
		req->con = NULL;
	DL_DELETE(c->server->connections, c);
	c->server->n_connections--;
	rpc_stream_reset(&c->stream);
	bufferevent_free(c->bev);
	free(c);
}

static void report_decode_error(enum rpc_decode_status why)
{
	switch (why) {
	case RPC_WRONG_PROGRAM:
		count_rejected(EV_RPC_BAD_VERSION, "program");
		break;
	case RPC_WRONG_VERSION:
		count_rejected(EV_RPC_BAD_VERSION, "version");
		break;
	case RPC_WRONG_PROC:
		count_rejected(EV_RPC_BAD_PROC, "procedure");
		break;
	case RPC_WRONG_ARGS:
		count_rejected(EV_RPC_BAD_RECORD, "arguments");
		break;
	default:
		count_rejected(EV_RPC_BAD_RECORD, "header");
		break;
	}
}

static void link_request(struct connection *c, struct tg_rpc_req *req)
{
	req->con = c;
	req->next = c->reqs;
	if (c->reqs)
		c->reqs->prev = req;
	c->reqs = req;
	c->n_unanswered++;
}

static tg_rpc_handler find_handler(const struct tg_rpc_server *s, uint32_t proc,
				   void **arg)
{
	const struct tg_rpc_server_opts *o = &s->opts;

	*arg = o->arg;
	if (o->handlers && o->handlers[proc])
		return o->handlers[proc];
	*arg = o->common_arg;
	return o->common ? o->common[proc] : NULL;
}

static enum rpc_decode_status decode_call(struct tg_rpc_server *s,
					  const void *p, size_t n,
					  struct rpc_call_msg *m)
{
	enum rpc_decode_status r = rpc_decode_call(p, n, m);
	void *arg;

	if (r == RPC_DECODED && m->proc && !find_handler(s, m->proc, &arg)) {
		rpc_free_args(m->proc, m->args);
		r = RPC_WRONG_PROC;
	}
	if (r != RPC_DECODED)
		report_decode_error(r);
	return r;
}

static struct tg_rpc_req *new_request(struct tg_rpc_server *s,
				      const struct rpc_call_msg *m)
{
	struct tg_rpc_req *req = tg_xcalloc(1, sizeof(*req));

	req->server = s;
	req->xid = m->xid;
	req->proc = m->proc;
	req->args = m->args;
	s->in_progress++;
	return req;
}

static void dispatch(struct tg_rpc_req *req)
{
	tg_rpc_handler handler;
	uint32_t proc;
	void *arg;

	tg_counter("tg_rpc_calls_total", "RPC calls served.", NULL)->value++;
	if (req->proc == TG_RPC_NULL) {
		tg_rpc_reply(req, NULL);
		return;
	}
	handler = find_handler(req->server, req->proc, &arg);
	proc = req->proc;
	tg_turn_begin();
	handler(req, req->args, arg);
	tg_turn_end(tg_rpc_procs[proc].name);
}

/* Returns false if the record is not a call: the connection must be closed. */
static bool serve_record(struct connection *c)
{
	struct rpc_call_msg m;
	struct tg_rpc_req *req;
	enum rpc_decode_status r =
		decode_call(c->server, c->stream.record, c->stream.n, &m);
	size_t n;
	void *p;

	rpc_stream_reset(&c->stream);
	DL_DELETE(c->server->connections, c);
	DL_PREPEND(c->server->connections, c);
	if (r == RPC_BAD_HEADER)
		return false;
	if (r != RPC_DECODED) {
		p = rpc_encode_error(m.xid, r, &n);
		if (p)
			rpc_write_record(bufferevent_get_output(c->bev), p, n);
		free(p);
		return true;
	}
	req = new_request(c->server, &m);
	link_request(c, req);
	dispatch(req);
	return true;
}

static void read_records(struct connection *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);

	while (c->n_unanswered < UNANSWERED_CALLS_MAX) {
		switch (rpc_stream_next(&c->stream, in)) {
		case RPC_NEED_MORE:
			return;
		case RPC_STREAM_INVALID:
			count_rejected(EV_RPC_BAD_RECORD, "record");
			close_connection(c);
			return;
		case RPC_RECORD:
			if (!serve_record(c)) {
				close_connection(c);
				return;
			}
			break;
		}
	}
	bufferevent_disable(c->bev, EV_READ);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	(void)bev;
	read_records(arg);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
		close_connection(arg);
}

/*
 * Makes room for a connection by closing the one that has been idle longest,
 * whose peer opens another one when it needs it.  If the new connection were
 * closed instead, the peers that come last would never be served.
 *
 * Return: false if calls are in progress on all connections.
 */
static bool close_longest_idle(struct tg_rpc_server *s)
{
	struct connection *c, *idle = NULL;

	DL_FOREACH(s->connections, c)
		if (!c->n_unanswered)
			idle = c;
	if (!idle)
		return false;
	count_rejected(EV_RPC_TOO_MANY, "connections");
	close_connection(idle);
	return true;
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	struct tg_rpc_server *s = arg;
	struct timeval idle = { .tv_sec = s->opts.idle_ms / 1000,
				.tv_usec = (s->opts.idle_ms % 1000) * 1000 };
	struct connection *c;

	(void)l;
	(void)sa;
	(void)len;
	if (s->n_connections >= s->opts.max_connections &&
	    !close_longest_idle(s)) {
		count_rejected(EV_RPC_TOO_MANY, "calls");
		close(fd);
		return;
	}
	c = tg_xcalloc(1, sizeof(*c));
	c->server = s;
	c->bev =
		bufferevent_socket_new(s->opts.base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_priority_set(c->bev, s->opts.priority);
	DL_PREPEND(s->connections, c);
	s->n_connections++;
	rpc_count_bytes(c->bev);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_set_timeouts(c->bev, &idle, &idle);
	bufferevent_setwatermark(c->bev, EV_READ, 0, 2 * TG_RPC_RECORD_MAX);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

static bool serve_datagram(struct tg_rpc_server *s)
{
	static char buf[TG_RPC_DATAGRAM_MAX];
	struct sockaddr_storage from;
	socklen_t len = sizeof(from);
	struct rpc_call_msg m;
	struct tg_rpc_req *req;
	ssize_t n = recvfrom(s->udp_fd, buf, sizeof(buf), MSG_DONTWAIT,
			     (struct sockaddr *)&from, &len);

	if (n < 0)
		return false;
	rpc_bytes_in()->value += (uint64_t)n;
	if (decode_call(s, buf, (size_t)n, &m) != RPC_DECODED)
		return true;
	req = new_request(s, &m);
	req->by_udp = true;
	req->from = from;
	req->from_len = len;
	dispatch(req);
	return true;
}

static void on_datagram(evutil_socket_t fd, short what, void *arg)
{
	int i;

	(void)fd;
	(void)what;
	for (i = 0; i < DATAGRAMS_PER_WAKEUP && serve_datagram(arg); i++)
		;
}

static int send_reply(struct tg_rpc_req *req, const void *p, size_t n)
{
	struct connection *c = req->con;

	if (req->by_udp) {
		if (sendto(req->server->udp_fd, p, n, MSG_DONTWAIT,
			   (struct sockaddr *)&req->from,
			   req->from_len) != (ssize_t)n)
			return -1;
		rpc_bytes_out()->value += n;
		return 0;
	}
	if (!c)
		return -1;
	rpc_write_record(bufferevent_get_output(c->bev), p, n);
	return 0;
}

static void resume_reading(struct connection *c)
{
	if (bufferevent_get_enabled(c->bev) & EV_READ)
		return;
	bufferevent_enable(c->bev, EV_READ);
	/* Records already in the input buffer do not trigger a read event. */
	bufferevent_trigger(c->bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
}

void tg_rpc_reply(struct tg_rpc_req *req, const void *res)
{
	bool no_reply = req->by_udp && !tg_rpc_procs[req->proc].res_size;
	struct connection *c = req->con;
	size_t n = 0;
	void *p = no_reply ? NULL :
			     rpc_encode_result(req->xid, req->proc, res, &n);

	if (!p && !no_reply)
		p = rpc_encode_executed_error(req->xid, &n);
	if (p)
		send_reply(req, p, n);
	free(p);
	unlink_request(req);
	req->server->in_progress--;
	rpc_free_args(req->proc, req->args);
	free(req);
	if (c)
		resume_reading(c);
}

int tg_rpc_decode_call(const void *record, size_t n)
{
	struct rpc_call_msg m;

	if (rpc_decode_call(record, n, &m) != RPC_DECODED)
		return -1;
	rpc_free_args(m.proc, m.args);
	return (int)m.proc;
}

static int bind_udp(struct tg_rpc_server *s, const struct sockaddr *sa,
		    socklen_t len)
{
	s->udp_fd = socket(sa->sa_family,
			   SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (s->udp_fd < 0 || bind(s->udp_fd, sa, len))
		return -1;
	s->udp = event_new(s->opts.base, s->udp_fd, EV_READ | EV_PERSIST,
			   on_datagram, s);
	return event_add(s->udp, NULL);
}

/* evutil_parse_sockaddr_port() does not accept port 0. */
static int parse_listen_addr(const char *addr, struct sockaddr *sa, int *len)
{
	char host[TG_ADDR_MAX + 1];
	uint16_t port;

	if (tg_addr_split(addr, host, sizeof(host), &port) ||
	    evutil_parse_sockaddr_port(host, sa, len))
		return -1;
	if (sa->sa_family == AF_INET6)
		((struct sockaddr_in6 *)sa)->sin6_port = htons(port);
	else
		((struct sockaddr_in *)sa)->sin_port = htons(port);
	return 0;
}

static int listen_on(struct tg_rpc_server *s, const char *addr)
{
	struct sockaddr_storage ss = { 0 };
	struct sockaddr *sa = (struct sockaddr *)&ss;
	int len = sizeof(ss);
	socklen_t bound_len = sizeof(ss);
	evutil_socket_t fd;

	if (parse_listen_addr(addr, sa, &len))
		return -1;
	s->listener = evconnlistener_new_bind(s->opts.base, on_accept, s,
					      LEV_OPT_CLOSE_ON_FREE |
						      LEV_OPT_REUSEABLE |
						      LEV_OPT_CLOSE_ON_EXEC,
					      -1, sa, len);
	if (!s->listener)
		return -1;
	fd = evconnlistener_get_fd(s->listener);
	if (tg_bound_addr(fd, s->addr, sizeof(s->addr)) ||
	    getsockname(fd, sa, &bound_len))
		return -1;
	return bind_udp(s, sa, bound_len);
}

struct tg_rpc_server *tg_rpc_server_new(const struct tg_rpc_server_opts *opts)
{
	/* The ephemeral port chosen for TCP may be in use for UDP. */
	enum { BIND_ATTEMPTS = 8 };
	struct tg_rpc_server *s = tg_xcalloc(1, sizeof(*s));
	int i;

	s->opts = *opts;
	s->udp_fd = -1;
	if (!s->opts.max_connections)
		s->opts.max_connections = DEFAULT_CONNECTIONS_MAX;
	if (!s->opts.idle_ms)
		s->opts.idle_ms = DEFAULT_IDLE_MS;
	for (i = 0; i < BIND_ATTEMPTS; i++) {
		if (!listen_on(s, opts->addr))
			return s;
		if (s->listener)
			evconnlistener_free(s->listener);
		s->listener = NULL;
		if (s->udp_fd >= 0)
			close(s->udp_fd);
		s->udp_fd = -1;
	}
	tg_log(EV_RPC_LISTEN_FAILED, "addr=%s", opts->addr);
	free(s);
	return NULL;
}

void tg_rpc_server_free(struct tg_rpc_server *s)
{
	if (!s)
		return;
	while (s->connections)
		close_connection(s->connections);
	evconnlistener_free(s->listener);
	event_free(s->udp);
	close(s->udp_fd);
	free(s);
}

const char *tg_rpc_server_addr(const struct tg_rpc_server *s)
{
	return s->addr;
}

size_t tg_rpc_server_in_progress(const struct tg_rpc_server *s)
{
	return s->in_progress;
}
