#include <stdlib.h>
#include <utlist.h>

#include "hold.h"

struct unanswered {
	struct evhttp_request *req;
	bool client_closed;
	bool ended; /* before its time */
	void (*done)(void *arg);
	void *arg;
	struct unanswered *prev, *next;
};

static struct unanswered *all_unanswered;

struct delayed_call {
	void (*fn)(void *arg);
	void *arg;
};

static void run_delayed_call(evutil_socket_t fd, short what, void *arg)
{
	struct delayed_call d = *(struct delayed_call *)arg;

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
	struct delayed_call *d = tg_xcalloc(1, sizeof(*d));

	d->fn = fn;
	d->arg = arg;
	event_base_once(base, -1, EV_TIMEOUT, run_delayed_call, d, &tv);
}

static void on_client_close(void *arg)
{
	struct unanswered *h = arg;

	h->client_closed = true;
}

static void close_now(struct unanswered *h)
{
	tg_http_set_abort_callback(h->req, NULL, NULL);
	/* Once the connection is gone, sending a reply only frees the request.
	 */
	if (h->client_closed)
		evhttp_send_reply(h->req, 503, NULL, NULL);
	else
		evhttp_connection_free(evhttp_request_get_connection(h->req));
}

static void end_unanswered(void *arg)
{
	struct unanswered *h = arg;

	DL_DELETE(all_unanswered, h);
	if (!h->ended)
		close_now(h);
	if (h->done)
		h->done(h->arg);
	free(h);
}

void close_without_reply(struct event_base *base, struct evhttp_request *req,
			 int64_t ms, void (*done)(void *arg), void *arg)
{
	struct unanswered *h = tg_xcalloc(1, sizeof(*h));

	h->req = req;
	h->done = done;
	h->arg = arg;
	tg_http_set_abort_callback(req, on_client_close, h);
	if (!evhttp_request_get_connection(req))
		h->client_closed = true;
	DL_APPEND(all_unanswered, h);
	delay_call(base, ms, end_unanswered, h);
}

void close_all_unanswered(const void *arg)
{
	struct unanswered *h;

	DL_FOREACH(all_unanswered, h) {
		if (h->ended || h->arg != arg)
			continue;
		close_now(h);
		h->ended = true;
	}
}
