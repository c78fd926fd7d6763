#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "../common/standin.h"
#include "http/http.h"

/*
 * A proxy that disturbs connections between two programs.  The target's address
 * is the same as its own path through the proxy, but for the port.
 */

#define PROG "proxyd"
#define DELAY_MS 120

enum mode {
	MODE_OK,
	MODE_DELAY, /* all bytes */
	MODE_SILENT, /* nothing passes; no connection is closed */
	MODE_ONE_WAY, /* answers don't pass */
};

struct pair {
	struct bufferevent *client, *server;
	bool dead; /* nothing passes any more; it is not closed */
	struct pair *prev, *next;
};

struct opts {
	const char *http_addr, *target, *log_level;
};

static struct {
	struct opts opts;
	struct event_base *base;
	struct evconnlistener *listener;
	struct tg_http_server *control;
	struct sockaddr_storage target;
	int target_len;
	enum mode mode;
	struct pair *pairs;
} proxy;

static const struct tg_setting settings[] = {
	TG_SETTING(opts, "http-addr", TG_SET_ADDR, "127.0.0.1:0", 0, 0, false,
		   "address of the control calls", http_addr),
	TG_SETTING(opts, "target", TG_SET_ADDR, NULL, 0, 0, true,
		   "address to which connections are passed", target),
	TG_SETTING(opts, "log-level", TG_SET_STRING, "warn", 0, 0, false,
		   "debug, info, warn or error", log_level),
	{ .flag = NULL },
};

static void free_pair(struct pair *p)
{
	if (p->prev)
		p->prev->next = p->next;
	else
		proxy.pairs = p->next;
	if (p->next)
		p->next->prev = p->prev;
	bufferevent_free(p->client);
	bufferevent_free(p->server);
	free(p);
}

/* Whether bytes that come from this end pass now. */
static bool passes(const struct pair *p, const struct bufferevent *from)
{
	if (p->dead)
		return false;
	return proxy.mode < MODE_SILENT ||
		(proxy.mode == MODE_ONE_WAY && from == p->client);
}

static void pass(struct pair *p, struct bufferevent *from)
{
	struct bufferevent *to = from == p->client ? p->server : p->client;

	if (passes(p, from))
		bufferevent_write_buffer(to, bufferevent_get_input(from));
}

static void on_bytes(struct bufferevent *from, void *arg)
{
	if (proxy.mode != MODE_DELAY)
		pass(arg, from);
}

static void on_end(struct bufferevent *bev, short what, void *arg)
{
	struct pair *p = arg;

	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	/* The other end learns nothing of it while bytes don't pass. */
	if (passes(p, bev))
		free_pair(p);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *arg)
{
	struct pair *p = tg_xcalloc(1, sizeof(*p));

	(void)l;
	(void)addr;
	(void)len;
	(void)arg;
	p->client =
		bufferevent_socket_new(proxy.base, fd, BEV_OPT_CLOSE_ON_FREE);
	p->server =
		bufferevent_socket_new(proxy.base, -1, BEV_OPT_CLOSE_ON_FREE);
	p->next = proxy.pairs;
	if (p->next)
		p->next->prev = p;
	proxy.pairs = p;
	bufferevent_setcb(p->client, on_bytes, NULL, on_end, p);
	bufferevent_setcb(p->server, on_bytes, NULL, on_end, p);
	bufferevent_enable(p->client, EV_READ | EV_WRITE);
	bufferevent_enable(p->server, EV_READ | EV_WRITE);
	bufferevent_socket_connect(p->server, (struct sockaddr *)&proxy.target,
				   proxy.target_len);
}

/* Closing with SO_LINGER of 0 sends a reset. */
static void reset_all(void)
{
	struct linger hard = { .l_onoff = 1 };

	while (proxy.pairs) {
		setsockopt(bufferevent_getfd(proxy.pairs->client), SOL_SOCKET,
			   SO_LINGER, &hard, sizeof(hard));
		free_pair(proxy.pairs);
	}
}

/* Of the connections that are open now; new ones work. */
static void silence_all(void)
{
	struct pair *p;

	for (p = proxy.pairs; p; p = p->next)
		p->dead = true;
}

/* POST /proxy?mode=ok|delay|silent|one-way|reset|silent-for-good */
static void set_mode(struct evhttp_request *req, void *arg)
{
	static const char *const names[] = {
		[MODE_OK] = "ok",
		[MODE_DELAY] = "delay",
		[MODE_SILENT] = "silent",
		[MODE_ONE_WAY] = "one-way",
	};
	char *mode = tg_http_query_param(req, "mode");
	struct pair *p;
	size_t i;

	(void)arg;
	for (i = 0; mode && i < ARRAY_SIZE(names); i++)
		if (!strcmp(names[i], mode))
			proxy.mode = (enum mode)i;
	if (mode && !strcmp(mode, "reset"))
		reset_all();
	if (mode && !strcmp(mode, "silent-for-good"))
		silence_all();
	for (p = proxy.pairs; p; p = p->next) {
		pass(p, p->client);
		pass(p, p->server);
	}
	free(mode);
	tg_http_reply_json(req, 200, json_object());
}

static const struct tg_http_route routes[] = {
	{ "/proxy", false, EVHTTP_REQ_POST, set_mode },
	{ .path = NULL },
};

static int start(void *arg)
{
	struct tg_http_server_opts o = {
		.base = proxy.base,
		.addr = proxy.opts.http_addr,
		.routes = routes,
	};
	struct sockaddr_storage own;
	socklen_t own_len = sizeof(own);
	char addr[TG_ADDR_MAX + 1];

	(void)arg;
	proxy.target_len = sizeof(proxy.target);
	if (evutil_parse_sockaddr_port(proxy.opts.target,
				       (struct sockaddr *)&proxy.target,
				       &proxy.target_len))
		return -1;
	own = proxy.target;
	((struct sockaddr_in *)&own)->sin_port = 0;
	proxy.listener = evconnlistener_new_bind(
		proxy.base, on_accept, NULL, LEV_OPT_CLOSE_ON_FREE, -1,
		(struct sockaddr *)&own, proxy.target_len);
	proxy.control = tg_http_server_new(&o);
	if (!proxy.listener || !proxy.control ||
	    getsockname(evconnlistener_get_fd(proxy.listener),
			(struct sockaddr *)&own, &own_len))
		return -1;
	snprintf(addr, sizeof(addr), "127.0.0.1:%d",
		 ntohs(((struct sockaddr_in *)&own)->sin_port));
	/* The proxy stands where other programs name their RPC address. */
	tg_print_ready_line(PROG, tg_http_server_addr(proxy.control), addr);
	return 0;
}

static void tick(void *arg, int64_t now_ms)
{
	struct pair *p;

	(void)arg;
	(void)now_ms;
	if (proxy.mode != MODE_DELAY)
		return;
	for (p = proxy.pairs; p; p = p->next) {
		pass(p, p->client);
		pass(p, p->server);
	}
}

static const struct tg_controller controller = {
	.name = PROG,
	.period_ms = DELAY_MS,
	.start = start,
	.tick = tick,
};

int main(int argc, char **argv)
{
	static const struct tg_settings_spec spec = {
		.prog = PROG,
		.summary = "disturbs connections between two programs",
		.items = settings,
	};
	const struct standin s = {
		.spec = &spec,
		.opts = &proxy.opts,
		.log_level = &proxy.opts.log_level,
		.base = &proxy.base,
		.controller = &controller,
	};

	return standin_run(&s, argc, argv);
}
