#include <netdb.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <uthash.h>
#include <utlist.h>

#include "http/inbound.h"

/* Connections are looked at this often, and when something has happened. */
#define SWEEP_MS 500
/*
 * The rest of a refused request is read and dropped for this long, so that the
 * client isn't cut off with a reset before it has read the answer.
 */
#define LINGER_MS 2000
#define LINGER_BYTES (16 << 20)
#define LINGERING_MAX 32
/* Connections beyond the limit that may be open until others are closed. */
#define SPARE_CONNECTIONS 16
/* evhttp frees a connection that was closed in about this time. */
#define CLOSING_MS 5
/* Closed connections of a server are logged at most this often. */
#define LOG_PERIOD_MS 1000

/** enum closed_for - the limit that a connection was closed for */
enum closed_for {
	CLOSED_CONNECTIONS,
	CLOSED_ADDRESS,
	CLOSED_BUFFERED,
	CLOSED_SLOW,
	CLOSED_REASONS,
};

static const char *const reasons[] = {
	[CLOSED_CONNECTIONS] = "connections",
	[CLOSED_ADDRESS] = "connections_per_address",
	[CLOSED_BUFFERED] = "buffered_bytes",
	[CLOSED_SLOW] = "request_ms",
};

/**
 * struct inbound - a connection
 * @bytes: of requests that have arrived and are not answered yet
 * @begun_ms: when the first of these bytes arrived; 0 if there are none
 * @active_ms: when it was accepted or a request was last answered
 * @answering: a request has arrived whole and is not answered yet
 * @refused: evhttp has answered with an error
 * @linger_until_ms: evhttp has freed it, and the rest is read until then
 */
struct inbound {
	struct inbound_list *list;
	struct bufferevent *bev;
	char peer[NI_MAXHOST];
	size_t bytes, lingered_bytes;
	int64_t begun_ms, active_ms, linger_until_ms;
	bool answering, refused, closing;
	struct inbound *prev, *next;
	UT_hash_handle hh;
};

struct inbound_list {
	struct inbound_opts opts;
	struct inbound *all, *by_bev;
	int n, n_lingering;
	size_t bytes; /* of all connections */
	struct event *sweep, *soon;
	struct evconnlistener *listener; /* or NULL */
	bool paused; /* the listener is disabled */
	int64_t logged_ms;
	int64_t closed[CLOSED_REASONS]; /* since the last line of the log */
};

static struct inbound *find(struct inbound_list *list,
			    const struct bufferevent *bev)
{
	struct inbound *c;

	HASH_FIND_PTR(list->by_bev, &bev, c);
	return c;
}

static void set_bytes(struct inbound *c, size_t bytes)
{
	c->list->bytes += bytes - c->bytes;
	c->bytes = bytes;
	if (!bytes)
		c->begun_ms = 0;
	else if (!c->begun_ms)
		c->begun_ms = tg_now_ms();
}

static void release(struct inbound *c)
{
	struct inbound_list *list = c->list;

	set_bytes(c, 0);
	DL_DELETE(list->all, c);
	HASH_DEL(list->by_bev, c);
	if (c->linger_until_ms)
		list->n_lingering--;
	else
		list->n--;
	bufferevent_setcb(c->bev, NULL, NULL, NULL, NULL);
	bufferevent_decref(c->bev);
	free(c);
}

static void set_peer(struct inbound *c)
{
	struct sockaddr_storage sa;
	socklen_t n = sizeof(sa);

	if (*c->peer ||
	    getpeername(bufferevent_getfd(c->bev), (struct sockaddr *)&sa, &n))
		return;
	if (getnameinfo((struct sockaddr *)&sa, n, c->peer, sizeof(c->peer),
			NULL, 0, NI_NUMERICHOST))
		c->peer[0] = '\0';
}

static void count_closed(struct inbound *c, enum closed_for why)
{
	struct inbound_list *list = c->list;
	char labels[64];
	int64_t now_ms = tg_now_ms();

	snprintf(labels, sizeof(labels), "limit=\"%s\"", reasons[why]);
	tg_counter("tg_http_closed_total",
		   "connections closed since clients exceeded a limit", labels)
		->value++;
	list->closed[why]++;
	if (now_ms - list->logged_ms < LOG_PERIOD_MS)
		return;
	list->logged_ms = now_ms;
	tg_log(EV_HTTP_CLOSED,
	       "server=%s limit=%s peer=%s bytes=%zu connections=%d "
	       "buffered=%zu closed=%lld",
	       list->opts.name, reasons[why], c->peer, c->bytes, list->n,
	       list->bytes, (long long)list->closed[why]);
	memset(list->closed, 0, sizeof(list->closed));
}

/* evhttp finds the connection at its end, and frees it. */
static void close_connection(struct inbound *c, enum closed_for why)
{
	if (c->closing)
		return;
	c->closing = true;
	count_closed(c, why);
	bufferevent_setwatermark(c->bev, EV_READ, 0, 0);
	shutdown(bufferevent_getfd(c->bev), SHUT_RDWR);
}

/* --- limits --- */

static int count_peer(const struct inbound_list *list, const char *peer)
{
	const struct inbound *c;
	int n = 0;

	DL_FOREACH(list->all, c)
		n += !c->closing && !c->linger_until_ms &&
			!strcmp(c->peer, peer);
	return n;
}

static size_t unread_bytes(const struct inbound *c)
{
	return evbuffer_get_length(bufferevent_get_output(c->bev));
}

/*
 * The one that has been of no use for longest: clients that get answers now and
 * then keep their connections.
 */
static struct inbound *find_least_active(const struct inbound_list *list)
{
	struct inbound *c, *least = NULL;

	DL_FOREACH(list->all, c) {
		if (c->closing || c->linger_until_ms ||
		    (c->answering && !unread_bytes(c)))
			continue;
		if (!least || c->active_ms < least->active_ms)
			least = c;
	}
	return least;
}

static struct inbound *find_largest(const struct inbound_list *list)
{
	struct inbound *c, *largest = NULL;

	DL_FOREACH(list->all, c)
		if (!c->closing && (!largest || c->bytes > largest->bytes))
			largest = c;
	return largest;
}

static int count_open(const struct inbound_list *list)
{
	const struct inbound *c;
	int n = 0;

	DL_FOREACH(list->all, c)
		n += !c->closing && !c->linger_until_ms;
	return n;
}

static void limit_address(struct inbound_list *list, struct inbound *added)
{
	set_peer(added);
	if (count_peer(list, added->peer) > list->opts.limits.per_address)
		close_connection(added, CLOSED_ADDRESS);
}

static void limit_connections(struct inbound_list *list)
{
	int64_t excess = count_open(list) - list->opts.limits.connections;

	for (; excess > 0; excess--) {
		struct inbound *c = find_least_active(list);

		if (!c)
			return;
		close_connection(c, CLOSED_CONNECTIONS);
	}
}

static void limit_bytes(struct inbound_list *list)
{
	while ((int64_t)list->bytes > list->opts.limits.buffered_bytes) {
		struct inbound *c = find_largest(list);

		if (!c || !c->bytes)
			return;
		close_connection(c, CLOSED_BUFFERED);
		/* What it holds is freed soon. */
		set_bytes(c, 0);
	}
}

static void on_input(struct evbuffer *in, const struct evbuffer_cb_info *info,
		     void *arg)
{
	struct inbound *c = arg;

	(void)in;
	if (!info->n_added || c->closing || c->linger_until_ms)
		return;
	set_bytes(c, c->bytes + info->n_added);
	if ((int64_t)c->list->bytes > c->list->opts.limits.buffered_bytes)
		inbound_check(c->list);
}

/* --- after evhttp has freed a connection --- */

static bool is_freed(const struct inbound *c)
{
	bufferevent_event_cb event_cb;

	bufferevent_getcb(c->bev, NULL, NULL, &event_cb, NULL);
	return !event_cb;
}

static void on_rest(struct bufferevent *bev, void *arg)
{
	struct inbound *c = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t n = evbuffer_get_length(in);

	c->lingered_bytes += n;
	evbuffer_drain(in, n);
	if (c->lingered_bytes > LINGER_BYTES)
		release(c);
}

static void on_rest_ended(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)what;
	release(arg);
}

static void linger(struct inbound *c)
{
	struct inbound_list *list = c->list;
	struct inbound *o;

	set_bytes(c, 0);
	if (list->n_lingering >= LINGERING_MAX) {
		DL_FOREACH(list->all, o)
			if (o->linger_until_ms)
				break;
		/* The next look releases it. */
		o->linger_until_ms = 1;
	}
	list->n--;
	list->n_lingering++;
	c->linger_until_ms = tg_now_ms() + LINGER_MS;
	evbuffer_drain(bufferevent_get_input(c->bev), SIZE_MAX);
	bufferevent_setwatermark(c->bev, EV_READ, 0, 0);
	bufferevent_set_timeouts(c->bev, NULL, NULL);
	bufferevent_setcb(c->bev, on_rest, NULL, on_rest_ended, c);
	shutdown(bufferevent_getfd(c->bev), SHUT_WR);
	bufferevent_enable(c->bev, EV_READ);
}

/* --- looking at all of them --- */

static void check(struct inbound *c, int64_t now_ms)
{
	const struct tg_http_limits *max = &c->list->opts.limits;

	if (c->linger_until_ms) {
		if (now_ms > c->linger_until_ms)
			release(c);
		return;
	}
	if (is_freed(c)) {
		if (c->refused && !c->closing)
			linger(c);
		else
			release(c);
		return;
	}
	if (!*c->peer)
		limit_address(c->list, c);
	/* A handler may take longer than that. */
	if (c->begun_ms && now_ms - c->begun_ms > max->request_ms &&
	    (!c->answering || unread_bytes(c)))
		close_connection(c, CLOSED_SLOW);
}

static bool is_crowded(const struct inbound_list *list)
{
	return list->n >= list->opts.limits.connections + SPARE_CONNECTIONS;
}

static void check_all(evutil_socket_t fd, short what, void *arg)
{
	static const struct timeval closing = { .tv_usec = CLOSING_MS * 1000 };
	struct inbound_list *list = arg;
	int64_t now_ms = tg_now_ms();
	struct inbound *c, *next;
	bool any_closing = false;

	(void)fd;
	(void)what;
	limit_bytes(list);
	DL_FOREACH_SAFE(list->all, c, next) {
		check(c, now_ms);
	}
	if (list->n > list->opts.limits.connections)
		limit_connections(list);
	DL_FOREACH(list->all, c)
		any_closing |= c->closing;
	if (any_closing && !event_pending(list->soon, EV_TIMEOUT, NULL))
		event_add(list->soon, &closing);
	if (list->paused && !is_crowded(list)) {
		list->paused = false;
		evconnlistener_enable(list->listener);
	}
	if (!list->all)
		event_del(list->sweep);
}

void inbound_check(struct inbound_list *list)
{
	static const struct timeval now;

	if (!event_pending(list->soon, EV_TIMEOUT, NULL))
		event_add(list->soon, &now);
}

/* --- what the server calls --- */

struct inbound_list *inbound_list_new(const struct inbound_opts *opts)
{
	struct inbound_list *list = tg_xcalloc(1, sizeof(*list));

	list->opts = *opts;
	list->sweep = event_new(opts->base, -1, EV_PERSIST, check_all, list);
	list->soon = event_new(opts->base, -1, 0, check_all, list);
	return list;
}

void inbound_set_listener(struct inbound_list *list,
			  struct evconnlistener *listener)
{
	list->listener = listener;
}

void inbound_list_free(struct inbound_list *list)
{
	struct inbound *c, *next;

	if (!list)
		return;
	DL_FOREACH_SAFE(list->all, c, next)
		release(c);
	event_free(list->sweep);
	event_free(list->soon);
	free(list);
}

/*
 * evhttp takes a chunk of a body only when it is there as a whole, so the
 * buffer must have room for one as large as the body may be.
 */
static size_t read_max(const struct inbound_list *list)
{
	return list->opts.body_bytes + 2 * list->opts.header_bytes;
}

void inbound_add(struct inbound_list *list, struct bufferevent *bev)
{
	static const struct timeval period = { .tv_usec = SWEEP_MS * 1000 };
	struct inbound *c = tg_xcalloc(1, sizeof(*c));

	c->list = list;
	c->bev = bev;
	c->active_ms = tg_now_ms();
	bufferevent_incref(bev);
	bufferevent_setwatermark(bev, EV_READ, 0, read_max(list));
	evbuffer_add_cb(bufferevent_get_input(bev), on_input, c);
	if (!list->all)
		event_add(list->sweep, &period);
	DL_APPEND(list->all, c);
	HASH_ADD_PTR(list->by_bev, bev, c);
	list->n++;
	if (list->listener && is_crowded(list)) {
		list->paused = true;
		evconnlistener_disable(list->listener);
	}
	inbound_check(list);
}

/* Requests behind this one wait in the socket until it is answered. */
void inbound_request_begun(struct inbound_list *list, struct bufferevent *bev)
{
	struct inbound *c = find(list, bev);

	if (!c)
		return;
	c->answering = true;
	if (!c->closing)
		bufferevent_setwatermark(bev, EV_READ, 0,
					 list->opts.header_bytes);
}

void inbound_request_done(struct inbound_list *list, struct bufferevent *bev)
{
	struct inbound *c = find(list, bev);

	if (!c)
		return;
	c->answering = false;
	c->active_ms = tg_now_ms();
	c->begun_ms = 0;
	if (c->closing)
		return;
	set_bytes(c, evbuffer_get_length(bufferevent_get_input(bev)));
	bufferevent_setwatermark(bev, EV_READ, 0, read_max(list));
}

void inbound_refused(struct inbound_list *list, const struct evbuffer *out)
{
	struct inbound *c;

	DL_FOREACH(list->all, c)
		if (bufferevent_get_output(c->bev) == out)
			c->refused = true;
}
