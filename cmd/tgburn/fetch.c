#include <stdlib.h>
#include <string.h>

#include "burn.h"

struct burn_fetcher {
	struct event_base *base;
	struct tg_http_client *http;
	int64_t timeout_ms;
	size_t pending;
};

struct fetch_request {
	struct burn_fetcher *fetch;
	char **text;
};

struct burn_fetcher *burn_fetcher_new(const struct burn_opts *opts)
{
	struct burn_fetcher *f = tg_xcalloc(1, sizeof(*f));
	struct tg_http_client_opts http = { 0 };

	f->base = event_base_new();
	http.base = f->base;
	f->http = tg_http_client_new(&http);
	f->timeout_ms = opts->timeout_ms;
	return f;
}

void burn_fetcher_free(struct burn_fetcher *f)
{
	tg_http_client_free(f->http);
	event_base_free(f->base);
	free(f);
}

static void on_reply(const struct tg_http_result *r, void *arg)
{
	struct fetch_request *req = arg;
	size_t n;

	if (r->end == TG_HTTP_COMPLETE && r->status == 200) {
		n = evbuffer_get_length(r->body);
		*req->text = tg_xcalloc(n + 1, 1);
		evbuffer_copyout(r->body, *req->text, n);
	}
	if (!--req->fetch->pending)
		event_base_loopbreak(req->fetch->base);
	free(req);
}

static void start_get(struct burn_fetcher *f, const char *addr, const char *uri,
		      char **text)
{
	struct fetch_request *req = tg_xcalloc(1, sizeof(*req));
	struct tg_http_call_opts call = {
		.method = EVHTTP_REQ_GET,
		.addr = addr,
		.uri = uri,
		.timeout_ms = f->timeout_ms,
		.done = on_reply,
		.arg = req,
	};

	req->fetch = f;
	req->text = text;
	*text = NULL;
	f->pending++;
	tg_http_call_start(f->http, &call);
}

static void wait_for_replies(struct burn_fetcher *f)
{
	while (f->pending)
		event_base_dispatch(f->base);
}

char *burn_fetch_get(struct burn_fetcher *f, const char *addr, const char *uri)
{
	char *text;

	start_get(f, addr, uri, &text);
	wait_for_replies(f);
	return text;
}

void burn_fetch_all(struct burn_fetcher *f, struct burn_target *t, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		start_get(f, t[i].addr, "/metrics", &t[i].text);
	wait_for_replies(f);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(arg);
}

void burn_fetch_sleep(struct burn_fetcher *f, int64_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = (ms % 1000) * 1000 };

	event_base_once(f->base, -1, EV_TIMEOUT, on_timer, f->base, &tv);
	event_base_dispatch(f->base);
}
