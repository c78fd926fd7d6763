#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>

#include <event2/bufferevent.h>

#include "oncrpc/codec.h"

#define CONNECT_TIMEOUT_MS 2000
/*
 * TCP_USER_TIMEOUT: a connection is closed when data stays unacknowledged for
 * this long.  Otherwise the kernel's retransmission interval grows to minutes,
 * and the peer remains unreachable that long after a network partition ends.
 */
#define UNACKED_TIMEOUT_MS 10000
/* A timer that fires this late was held up by the loop, not by the server. */
#define LOOP_LATE_MS 50

struct call {
	uint32_t xid, proc;
	struct peer *peer; /* NULL while the call is in @failed_calls */
	struct tg_rpc_client *client;
	struct event *timer;
	int64_t timeout_ms, due_ms; /* limit, and when @timer fires */
	bool extended;
	enum tg_rpc_call_status end; /* outcome, if in @failed_calls */
	tg_rpc_done done;
	void *arg;
	UT_hash_handle hh;
};

/* A connection to the server at @addr. */
struct peer {
	struct tg_rpc_client *client;
	char addr[TG_ADDR_MAX + 1];
	struct bufferevent *bev;
	struct rpc_stream stream;
	bool connected;
	struct call *calls; /* by xid */
	UT_hash_handle hh;
};

struct tg_rpc_client {
	struct event_base *base;
	struct peer *peers;
	struct call *failed_calls; /* callback pending; by xid */
	uint32_t next_xid;
	int udp4, udp6;
};

static void complete_call(struct call *call, enum tg_rpc_call_status end,
			  const void *res)
{
	tg_rpc_done done = call->done;
	void *arg = call->arg;

	if (call->peer)
		HASH_DEL(call->peer->calls, call);
	else
		HASH_DEL(call->client->failed_calls, call);
	event_free(call->timer);
	free(call);
	done(end, res, arg);
}

/*
 * Reports the end of a call from the event loop: its callback may start new
 * calls, and must not run inside tg_rpc_call().
 */
static void complete_call_later(struct call *call, enum tg_rpc_call_status end)
{
	struct timeval now = { 0 };

	if (call->peer)
		HASH_DEL(call->peer->calls, call);
	call->peer = NULL;
	call->end = end;
	HASH_ADD_INT(call->client->failed_calls, xid, call);
	event_add(call->timer, &now);
}

static void close_peer(struct peer *p, enum tg_rpc_call_status end)
{
	struct call *call, *tmp;

	HASH_ITER(hh, p->calls, call, tmp)
		complete_call_later(call, end);
	HASH_DEL(p->client->peers, p);
	rpc_stream_reset(&p->stream);
	bufferevent_free(p->bev);
	free(p);
}

static void set_timer(struct call *call, int64_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = (ms % 1000) * 1000 };

	call->due_ms = tg_now_ms() + ms;
	event_add(call->timer, &tv);
}

/*
 * Extends the limit once if the loop was held up, so that a reply that arrived
 * meanwhile is read.
 */
static bool extend_limit(struct call *call)
{
	int64_t late_ms = tg_now_ms() - call->due_ms;

	if (call->extended || late_ms < LOOP_LATE_MS)
		return false;
	call->extended = true;
	set_timer(call,
		  late_ms < call->timeout_ms ? late_ms : call->timeout_ms);
	return true;
}

static void on_call_timer(evutil_socket_t fd, short what, void *arg)
{
	struct call *call = arg;
	enum tg_rpc_call_status end = call->end;

	(void)fd;
	(void)what;
	if (call->peer && extend_limit(call))
		return;
	if (call->peer)
		end = call->peer->connected ? TG_RPC_CALL_TIMEOUT :
					      TG_RPC_CALL_NOT_SENT;
	/*
	 * The call is queued and would be sent once the connection is
	 * established.  Closing the peer prevents that; all other calls queued
	 * for it end as not sent too.
	 */
	if (end == TG_RPC_CALL_NOT_SENT && call->peer) {
		close_peer(call->peer, TG_RPC_CALL_NOT_SENT);
		return;
	}
	complete_call(call, end, NULL);
}

static void handle_reply(struct call *call, const void *record, size_t n)
{
	const struct tg_rpc_proc *p = &tg_rpc_procs[call->proc];
	void *res = tg_xcalloc(1, p->res_size);
	enum tg_rpc_call_status end =
		rpc_decode_result(record, n, call->proc, res);

	complete_call(call, end, end == TG_RPC_CALL_OK ? res : NULL);
	if (p->res_size)
		xdr_free(p->xdr_res, res);
	free(res);
}

static struct call *find_call(struct peer *p)
{
	struct call *call;
	uint32_t xid;

	if (p->stream.n < sizeof(xid))
		return NULL;
	memcpy(&xid, p->stream.record, sizeof(xid));
	xid = ntohl(xid);
	HASH_FIND_INT(p->calls, &xid, call);
	return call;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct peer *p = arg;
	enum rpc_stream_result r;

	while ((r = rpc_stream_next(&p->stream, bufferevent_get_input(bev))) ==
	       RPC_RECORD) {
		struct rpc_stream record = p->stream;
		struct call *call = find_call(p);

		p->stream = (struct rpc_stream){ 0 };
		/* Replies to calls that have timed out are discarded. */
		if (call)
			handle_reply(call, record.record, record.n);
		rpc_stream_reset(&record);
	}
	if (r == RPC_STREAM_INVALID)
		close_peer(p, TG_RPC_CALL_NO_VALID_REPLY);
}

static void set_unacked_timeout(evutil_socket_t fd)
{
	unsigned int ms = UNACKED_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct peer *p = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		bufferevent_set_timeouts(bev, NULL, NULL);
		set_unacked_timeout(bufferevent_getfd(bev));
		p->connected = true;
	} else if (what &
		   (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) {
		close_peer(p,
			   p->connected ? TG_RPC_CALL_NO_VALID_REPLY :
					  TG_RPC_CALL_NOT_SENT);
	}
}

static struct peer *connect_peer(struct tg_rpc_client *c, const char *addr)
{
	struct timeval limit = { .tv_sec = CONNECT_TIMEOUT_MS / 1000 };
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	struct peer *p;

	if (evutil_parse_sockaddr_port(addr, (struct sockaddr *)&ss, &len))
		return NULL;
	p = tg_xcalloc(1, sizeof(*p));
	p->client = c;
	tg_strlcpy(p->addr, addr, sizeof(p->addr));
	p->bev = bufferevent_socket_new(
		c->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	rpc_count_bytes(p->bev);
	bufferevent_setcb(p->bev, on_read, NULL, on_event, p);
	bufferevent_set_timeouts(p->bev, &limit, &limit);
	bufferevent_setwatermark(p->bev, EV_READ, 0, 2 * TG_RPC_RECORD_MAX);
	bufferevent_enable(p->bev, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(p->bev, (struct sockaddr *)&ss, len)) {
		bufferevent_free(p->bev);
		free(p);
		return NULL;
	}
	HASH_ADD_STR(c->peers, addr, p);
	return p;
}

static struct peer *get_peer(struct tg_rpc_client *c, const char *addr)
{
	struct peer *p;

	HASH_FIND_STR(c->peers, addr, p);
	return p ? p : connect_peer(c, addr);
}

static struct call *new_call(struct tg_rpc_client *c, uint32_t proc,
			     tg_rpc_done done, void *arg)
{
	struct call *call = tg_xcalloc(1, sizeof(*call));

	call->client = c;
	call->xid = ++c->next_xid;
	call->proc = proc;
	call->done = done;
	call->arg = arg;
	call->timer = event_new(c->base, -1, 0, on_call_timer, call);
	return call;
}

void tg_rpc_call(struct tg_rpc_client *c, const char *addr, uint32_t proc,
		 const void *args, int64_t timeout_ms, tg_rpc_done done,
		 void *arg)
{
	struct call *call = new_call(c, proc, done, arg);
	struct peer *p = get_peer(c, addr);
	size_t n;
	void *record;

	if (!p) {
		complete_call_later(call, TG_RPC_CALL_NOT_SENT);
		return;
	}
	record = rpc_encode_call(call->xid, proc, args, &n);
	if (!record) {
		complete_call_later(call, TG_RPC_CALL_REJECTED);
		return;
	}
	call->peer = p;
	HASH_ADD_INT(p->calls, xid, call);
	call->timeout_ms = timeout_ms;
	set_timer(call, timeout_ms);
	rpc_write_record(bufferevent_get_output(p->bev), record, n);
	free(record);
}

static int get_udp_socket(struct tg_rpc_client *c, int family)
{
	int *fd = family == AF_INET6 ? &c->udp6 : &c->udp4;

	if (*fd < 0)
		*fd = socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
			     0);
	return *fd;
}

void tg_rpc_send_datagram(struct tg_rpc_client *c, const char *addr,
			  uint32_t proc, const void *args)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	size_t n;
	void *p;

	if (evutil_parse_sockaddr_port(addr, (struct sockaddr *)&ss, &len))
		return;
	p = rpc_encode_call(++c->next_xid, proc, args, &n);
	if (p && n <= TG_RPC_DATAGRAM_MAX &&
	    sendto(get_udp_socket(c, ss.ss_family), p, n, MSG_DONTWAIT,
		   (struct sockaddr *)&ss, (socklen_t)len) > 0)
		rpc_bytes_out()->value += n;
	free(p);
}

struct tg_rpc_client *tg_rpc_client_new(struct event_base *base)
{
	struct tg_rpc_client *c = tg_xcalloc(1, sizeof(*c));
	struct tg_rng r;

	c->base = base;
	c->udp4 = c->udp6 = -1;
	tg_rng_seed(&r);
	c->next_xid = (uint32_t)tg_rng_next(&r);
	return c;
}

void tg_rpc_client_free(struct tg_rpc_client *c)
{
	struct peer *p, *tmp;
	struct call *call, *next_call;

	if (!c)
		return;
	HASH_ITER(hh, c->peers, p, tmp)
		close_peer(p, TG_RPC_CALL_NO_VALID_REPLY);
	HASH_ITER(hh, c->failed_calls, call, next_call) {
		HASH_DEL(c->failed_calls, call);
		event_free(call->timer);
		free(call);
	}
	if (c->udp4 >= 0)
		close(c->udp4);
	if (c->udp6 >= 0)
		close(c->udp6);
	free(c);
}
