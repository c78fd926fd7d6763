#include <stdio.h>
#include <stdlib.h>

#include "../common/standin.h"
#include "http/http.h"

/*
 * Callers that ask the same questions again and again over connections that
 * they keep open, and write down each answer.
 */

#define PROG "callerd"
#define TARGETS_MAX 64
#define TIMEOUT_MS 5000

struct opts {
	const char *http_addr, *log_level, *host, *key, *output;
	int64_t interval_ms;
};

struct target {
	char addr[TG_ADDR_MAX + 1], path[256];
};

/* A call in progress; @addr and @path are of its target when it began. */
struct call {
	struct target target;
	int64_t sent_wall_ms;
};

static struct {
	struct opts opts;
	struct event_base *base;
	struct tg_http_server *control;
	struct tg_http_client *client;
	FILE *output;
	struct target targets[TARGETS_MAX];
	int n_targets;
	int64_t called_ms;
} callers;

static const struct tg_setting settings[] = {
	TG_SETTING(opts, "http-addr", TG_SET_ADDR, "127.0.0.1:0", 0, 0, false,
		   "address of the control calls", http_addr),
	TG_SETTING(
		opts, "output", TG_SET_STRING, NULL, 0, 0, true,
		"file for the answers, a line each: sent, answered, address, "
		"path, status (0: none)",
		output),
	TG_SETTING(opts, "host", TG_SET_STRING, "h", 0, 0, false, "Host header",
		   host),
	TG_SETTING(opts, "key", TG_SET_STRING, "k1", 0, 0, false, "API key",
		   key),
	TG_SETTING(opts, "interval-ms", TG_SET_INT, "50", 1, 100000, false,
		   "time between two calls of a target", interval_ms),
	TG_SETTING(opts, "log-level", TG_SET_STRING, "warn", 0, 0, false,
		   "debug, info, warn or error", log_level),
	{ .flag = NULL },
};

static void on_answer(const struct tg_http_result *r, void *arg)
{
	struct call *c = arg;

	fprintf(callers.output, "%lld %lld %s %s %d\n",
		(long long)c->sent_wall_ms, (long long)tg_wall_ms(),
		c->target.addr, c->target.path,
		r->end == TG_HTTP_COMPLETE ? r->status : 0);
	free(c);
}

static void start_call(const struct target *t)
{
	struct tg_http_header_field headers[] = {
		{ "Host", callers.opts.host },
		{ "X-Api-Key", callers.opts.key },
		{ NULL, NULL },
	};
	struct call *c = tg_xcalloc(1, sizeof(*c));
	struct tg_http_call_opts o = {
		.method = EVHTTP_REQ_GET,
		.addr = t->addr,
		.uri = t->path,
		.headers = headers,
		.timeout_ms = TIMEOUT_MS,
		.done = on_answer,
		.arg = c,
	};

	c->target = *t;
	c->sent_wall_ms = tg_wall_ms();
	tg_http_call_start(callers.client, &o);
}

/* POST /callers/targets: lines "ADDR PATH", which replace the former ones */
static void set_targets(struct evhttp_request *req, void *arg)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	struct target t;
	char *line;

	(void)arg;
	callers.n_targets = 0;
	while ((line = evbuffer_readln(in, NULL, EVBUFFER_EOL_LF))) {
		if (callers.n_targets < TARGETS_MAX &&
		    sscanf(line, "%63s %255s", t.addr, t.path) == 2)
			callers.targets[callers.n_targets++] = t;
		free(line);
	}
	tg_http_reply_json(req, 200, json_object());
}

static const struct tg_http_route routes[] = {
	{ "/callers/targets", false, EVHTTP_REQ_POST, set_targets },
	{ .path = NULL },
};

static int start(void *arg)
{
	struct tg_http_server_opts so = {
		.base = callers.base,
		.addr = callers.opts.http_addr,
		.routes = routes,
	};
	struct tg_http_client_opts co = { .base = callers.base };

	(void)arg;
	callers.output = fopen(callers.opts.output, "a");
	callers.control = tg_http_server_new(&so);
	callers.client = tg_http_client_new(&co);
	if (!callers.output || !callers.control)
		return -1;
	setvbuf(callers.output, NULL, _IOLBF, 0);
	tg_print_ready_line(PROG, tg_http_server_addr(callers.control), NULL);
	return 0;
}

static void tick(void *arg, int64_t now_ms)
{
	int i;

	(void)arg;
	if (now_ms - callers.called_ms < callers.opts.interval_ms)
		return;
	callers.called_ms = now_ms;
	for (i = 0; i < callers.n_targets; i++)
		start_call(&callers.targets[i]);
}

static const struct tg_controller controller = {
	.name = PROG,
	.period_ms = 5,
	.start = start,
	.tick = tick,
};

int main(int argc, char **argv)
{
	static const struct tg_settings_spec spec = {
		.prog = PROG,
		.summary = "asks the same questions again and again",
		.items = settings,
	};
	const struct standin s = {
		.spec = &spec,
		.opts = &callers.opts,
		.log_level = &callers.opts.log_level,
		.base = &callers.base,
		.controller = &controller,
	};

	return standin_run(&s, argc, argv);
}
