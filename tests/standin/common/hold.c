#include <stdlib.h>

#include "hold.h"

struct hold {
	struct evhttp_request *req;
	bool gone; /* the client closed first */
	void (*done)(void *arg);
	void *arg;
};

struct delay {
	void (*fn)(void *arg);
	void *arg;
};

static void on_delay(evutil_socket_t fd, short what, void *arg)
{
	struct delay d = *(struct delay *)arg;

	(void)fd;
	(void)what;
	free(arg);
	d.fn(d.arg);
}

void delay_call(struct event_base *base, int64_t ms, void (*fn)(void *arg),
		void *arg)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = (ms % 1000) * 1000 };
	struct delay *d = tg_xcalloc(1, sizeof(*d));

	d->fn = fn;
	d->arg = arg;
	event_base_once(base, -1, EV_TIMEOUT, on_delay, d, &tv);
}

static void on_gone(void *arg)
{
	struct hold *h = arg;

	h->gone = true;
}

static void end_hold(void *arg)
{
	struct hold *h = arg;

	tg_http_on_abort(h->req, NULL, NULL);
	/* Without a connection a reply only frees the request. */
	if (h->gone)
		evhttp_send_reply(h->req, 503, NULL, NULL);
	else
		evhttp_connection_free(evhttp_request_get_connection(h->req));
	if (h->done)
		h->done(h->arg);
	free(h);
}

void hold_request(struct event_base *base, struct evhttp_request *req,
		  int64_t ms, void (*done)(void *arg), void *arg)
{
	struct hold *h = tg_xcalloc(1, sizeof(*h));

	h->req = req;
	h->done = done;
	h->arg = arg;
	tg_http_on_abort(req, on_gone, h);
	if (!evhttp_request_get_connection(req))
		h->gone = true;
	delay_call(base, ms, end_hold, h);
}
