#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "board.h"

/* Percentage of the caller's deadline after which the reply must be sent. */
#define DEADLINE_PERCENT 85
/* Idle time-out of connections; longer than any request takes. */
#define IDLE_MS 60000
#define RETRY_AFTER_S 1
/* Errors of a request that its answer names; it counts the others. */
#define FINDINGS_TOLD_MAX 10
/*
 * After this process was held up, requests wait until the store has said
 * whether the document is current, at most for this long, looking at it at this
 * interval.
 */
#define CHECK_MAX_MS 1000
#define CHECK_MS 10
/*
 * How long the owner may take to say whether the document is current, and how
 * long it isn't asked again after it could not.
 */
#define ASK_TIMEOUT_MS 600
#define ASK_INTERVAL_MS 500

static const char *const kind_names[] = {
	[TG_REQUEST_SUBMIT] = "submit", [TG_REQUEST_SHOW] = "show",
	[TG_REQUEST_CANCEL] = "cancel", [TG_REQUEST_COUNT] = "count",
	[TG_REQUEST_INVALID] = "bad",
};

static void record_metrics(const struct request *r, int status)
{
	char labels[64];
	struct tg_hist *h;

	snprintf(labels, sizeof(labels), "kind=\"%s\",status=\"%d\"",
		 kind_names[r->kind], status);
	tg_counter("tg_queue_requests_total", "callers' requests answered",
		   labels)
		->value++;
	snprintf(labels, sizeof(labels), "kind=\"%s\"", kind_names[r->kind]);
	h = tg_histogram("tg_queue_request_us",
			 "time from a request to its answer", labels);
	tg_hist_add(h, (uint64_t)(tg_now_ms() - r->started_ms) * 1000);
}

static void record_answer(struct request *r, int status, const char *why)
{
	DL_DELETE(r->board->requests, r);
	record_metrics(r, status);
	tg_log(EV_QUEUE_ANSWERED,
	       "kind=%s job=%s queue=%s status=%d why=%s attempts=%d "
	       "after_ms=%lld generation=%lld not_current_ms=%lld",
	       kind_names[r->kind], r->job, r->queue, status, why, r->attempts,
	       (long long)(tg_now_ms() - r->started_ms),
	       (long long)r->generation, (long long)r->not_current_ms);
}

static void free_request(struct request *r)
{
	free(r->queue);
	free(r->workspace);
	free(r->row);
	free(r);
}

static void finish(struct request *r, int status, const char *why)
{
	record_answer(r, status, why);
	room_settle(r, status == 200 || status == 504);
	free_request(r);
}

/* What a request was waiting for has ended after answer_all(). */
static bool free_if_answered(struct request *r)
{
	if (r->http)
		return false;
	free_request(r);
	return true;
}

static void add_close_if_draining(struct request *r)
{
	if (tg_daemon_draining())
		evhttp_add_header(evhttp_request_get_output_headers(r->http),
				  "Connection", "close");
}

static void reply(struct request *r, int status, const char *why)
{
	bool retry_later = status == 429 || status == 503;
	int64_t after_s = r->retry_after_s ? r->retry_after_s : RETRY_AFTER_S;

	if (free_if_answered(r))
		return;
	add_close_if_draining(r);
	r->board->site.ops->reply_status(r->http, status,
					 retry_later ? after_s : 0, why);
	finish(r, status, why);
}

/*
 * Whether the document by which @r was decoded turns out not to have been the
 * newest one, or for a final refusal, still isn't known to be.
 */
static bool was_outdated(const struct request *r, bool is_final)
{
	const struct tg_document *d = r->board->document;

	if (!r->unconfirmed)
		return false;
	if (tg_document_get(d)->generation != r->generation ||
	    tg_document_state(d) == TG_DOCUMENT_OUTDATED)
		return true;
	return is_final && tg_document_state(d) != TG_DOCUMENT_CURRENT;
}

void request_end(struct request *r, int status, const char *why)
{
	if (status == 410 && was_outdated(r, true))
		request_end_outdated(r);
	else
		reply(r, status, why);
}

void request_end_outdated(struct request *r)
{
	reply(r, 503, "the document is not the newest one");
}

void request_end_state(struct request *r, const char *state)
{
	if (free_if_answered(r))
		return;
	if (was_outdated(r, false)) {
		request_end_outdated(r);
		return;
	}
	add_close_if_draining(r);
	r->board->site.ops->reply_state(r->http, state);
	finish(r, 200, state);
}

void request_end_count(struct request *r, int64_t waiting)
{
	if (free_if_answered(r))
		return;
	add_close_if_draining(r);
	r->board->site.ops->reply_count(r->http, waiting);
	finish(r, 200, "counted");
}

int64_t request_left_ms(const struct request *r)
{
	return r->deadline_ms - tg_now_ms();
}

struct delayed_call {
	struct request *request;
	void (*fn)(struct request *r);
};

static void on_delay(evutil_socket_t fd, short what, void *arg)
{
	struct delayed_call *l = arg;

	(void)fd;
	(void)what;
	if (!free_if_answered(l->request))
		l->fn(l->request);
	free(l);
}

void request_schedule(struct request *r, int64_t ms,
		      void (*fn)(struct request *r))
{
	struct delayed_call *l = tg_xcalloc(1, sizeof(*l));
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = (ms % 1000) * 1000 };

	l->request = r;
	l->fn = fn;
	event_base_once(r->board->base, -1, EV_TIMEOUT, on_delay, l, &tv);
}

/* Replies to a bad request with its errors: "place: fault; place: fault". */
static void reply_invalid(struct request *r, const struct tg_request *c)
{
	char *text = tg_xstrdup(""), *longer;
	size_t i;

	for (i = 0; i < c->findings.n && i < FINDINGS_TOLD_MAX; i++) {
		longer = tg_xasprintf("%s%s%s: %s", text, i ? "; " : "",
				      c->findings.items[i].place,
				      c->findings.items[i].text);
		free(text);
		text = longer;
	}
	if (c->findings.total > i) {
		longer = tg_xasprintf("%s; %zu more", text,
				      c->findings.total - i);
		free(text);
		text = longer;
	}
	request_end(r, c->status, text);
	free(text);
}

static char *encode_job_row(const struct request *r, struct tg_request *c)
{
	struct tg_job_row row = {
		.queue = r->queue,
		.workspace = r->workspace,
		.accepted_wall_ms = tg_wall_ms(),
		.spec = c->spec,
	};

	tg_strlcpy(row.id, r->job, sizeof(row.id));
	return tg_job_row_encode(&row);
}

static void dispatch(struct request *r, struct tg_request *c)
{
	switch (r->kind) {
	case TG_REQUEST_SUBMIT:
		r->row = encode_job_row(r, c);
		r->job_bytes = flow_job_bytes(c->spec);
		submit(r);
		break;
	case TG_REQUEST_SHOW:
		query_state(r);
		break;
	case TG_REQUEST_CANCEL:
		cancel_job(r);
		break;
	case TG_REQUEST_COUNT:
		query_waiting(r);
		break;
	default:
		reply_invalid(r, c);
	}
}

/*
 * Whether a request can be decided by a document of which nobody knows whether
 * it is the newest.  The state of an accepted job and its cancellation don't
 * depend on the queue; all else may be different in a newer document.
 */
static bool may_use_unconfirmed(const struct tg_request *c)
{
	if (c->kind == TG_REQUEST_INVALID)
		return c->status != 401 && c->status != 404;
	return c->kind == TG_REQUEST_SHOW || c->kind == TG_REQUEST_CANCEL;
}

/* Decodes the request by the document in force. */
static void handle_request(struct request *r, enum tg_document_state state)
{
	struct board *b = r->board;
	const struct tg_site_doc *d = tg_document_get(b->document);
	struct tg_request c = { .kind = TG_REQUEST_INVALID };
	int64_t wait_ms;

	b->site.ops->call(r->http, d, &c);
	r->kind = c.kind;
	r->generation = d->generation;
	r->unconfirmed = state != TG_DOCUMENT_CURRENT;
	tg_strlcpy(r->job, c.job, sizeof(r->job));
	tg_set_str(&r->queue, c.queue ? c.queue->name : "");
	tg_set_str(&r->workspace, c.workspace ? c.workspace->name : "");
	wait_ms = c.deadline_ms > 0 ? c.deadline_ms : b->set.deadline_ms;
	r->deadline_ms = r->started_ms + wait_ms * DEADLINE_PERCENT / 100;
	if (r->unconfirmed && !may_use_unconfirmed(&c))
		request_end(r, 503, "the document is not known to be current");
	else
		dispatch(r, &c);
	tg_request_clear(&c);
}

static void on_owner_asked(enum tg_rpc_call_status end,
			   const struct tg_rpc_answer *a, void *arg)
{
	struct request *r = arg;
	struct board *b = r->board;
	enum tg_document_state state = tg_document_state(b->document);

	(void)end;
	(void)a;
	if (free_if_answered(r))
		return;
	if (state == TG_DOCUMENT_CHECKING || state == TG_DOCUMENT_UNCONFIRMED)
		b->unconfirmed_ms = tg_now_ms();
	if (state == TG_DOCUMENT_OUTDATED)
		request_end_outdated(r);
	else
		handle_request(r, state);
}

/* The store doesn't answer this instance; the owner may know the document. */
static void ask_owner(struct request *r)
{
	struct tg_rpc_list l = { .workspace = "", .after = "" };

	owner_call(r->board, TG_RPC_JOB_LIST, &l, ASK_TIMEOUT_MS,
		   on_owner_asked, r);
}

static void begin_request(struct request *r)
{
	enum tg_document_state state = tg_document_state(r->board->document);
	int64_t now_ms = tg_now_ms();
	bool may_wait = now_ms - r->started_ms < CHECK_MAX_MS;
	bool may_ask = now_ms - r->board->unconfirmed_ms > ASK_INTERVAL_MS;

	r->not_current_ms = tg_document_not_current_ms(r->board->document);
	if (state == TG_DOCUMENT_NONE)
		request_end(r, 503, "no document yet");
	else if (state == TG_DOCUMENT_OUTDATED)
		request_end_outdated(r);
	else if (state == TG_DOCUMENT_CHECKING && may_wait)
		request_schedule(r, CHECK_MS, begin_request);
	else if (state == TG_DOCUMENT_UNCONFIRMED && may_ask)
		ask_owner(r);
	else
		handle_request(r, state);
}

static const char about_to_exit[] = "this instance stops";

static bool is_about_to_exit(const struct board *b)
{
	return b->draining_since_ms &&
		tg_now_ms() - b->draining_since_ms >= b->answer_all_ms;
}

static void on_request(struct evhttp_request *http, void *arg)
{
	struct request *r = tg_xcalloc(1, sizeof(*r));

	r->board = arg;
	r->http = http;
	r->queue = tg_xstrdup("");
	r->workspace = tg_xstrdup("");
	r->started_ms = tg_now_ms();
	r->kind = TG_REQUEST_INVALID;
	DL_APPEND(r->board->requests, r);
	if (is_about_to_exit(r->board))
		request_end(r, 503, about_to_exit);
	else
		begin_request(r);
}

static bool is_ready(void *arg, const char **why)
{
	struct board *b = arg;
	enum tg_document_state state = tg_document_state(b->document);

	if (tg_daemon_draining())
		*why = "draining";
	else if (state == TG_DOCUMENT_NONE)
		*why = "no document yet";
	else if (state == TG_DOCUMENT_OUTDATED)
		*why = "a newer document is not in force here yet";
	else
		return true;
	return false;
}

static void on_ready(struct evhttp_request *http, void *arg)
{
	const char *why;
	bool ready = is_ready(arg, &why);

	tg_http_reply_text(http, ready ? 200 : 503, "text/plain",
			   ready ? "ready\n" : why, ready ? 6 : strlen(why));
}

#define ANY_METHOD 0xffff
/*
 * One in this many descriptors is for callers, and for the clients of each
 * other address; the store, peers and the owner need few.
 */
#define CALLER_FDS_SHARE 4
#define OTHER_FDS_SHARE 16

static int start(void *board)
{
	static const struct tg_http_route all[] = {
		{ "/", true, ANY_METHOD, on_request },
		{ .path = NULL },
	};
	static const struct tg_http_route ready[] = {
		{ "/ready", false, EVHTTP_REQ_GET, on_ready },
		{ .path = NULL },
	};
	struct board *b = board;
	struct tg_http_server_opts o = {
		.base = b->base,
		.addr = b->site.set.front_addr,
		.idle_ms = IDLE_MS,
		.routes = all,
		.ready = is_ready,
		.limits = tg_site_http_limits(&b->site, &b->set.flags,
					      CALLER_FDS_SHARE),
		.arg = b,
	};

	b->front = tg_http_server_new(&o);
	o.limits =
		tg_site_http_limits(&b->site, &b->set.flags, OTHER_FDS_SHARE);
	o.addr = b->site.set.ready_addr;
	o.routes = ready;
	b->ready = tg_http_server_new(&o);
	o.addr = b->set.flags.metrics_addr;
	b->metrics = o.addr ? tg_http_server_new(&o) : NULL;
	if (!b->front || !b->ready || (o.addr && !b->metrics))
		return -1;
	tg_print_ready_line("tgqueued", tg_http_server_addr(b->front), NULL);
	return 0;
}

/* What they wait for may take longer than the process has. */
static void answer_all(struct board *b)
{
	struct request *r, *next;

	DL_FOREACH_SAFE(b->requests, r, next) {
		add_close_if_draining(r);
		b->site.ops->reply_status(r->http, 504, 0, about_to_exit);
		r->http = NULL;
		record_answer(r, 504, about_to_exit);
	}
}

static bool drain(void *board, int64_t now_ms)
{
	struct board *b = board;

	if (!b->draining_since_ms)
		b->draining_since_ms = now_ms;
	if (is_about_to_exit(b))
		answer_all(b);
	return tg_http_server_in_progress(b->front) == 0;
}

static void stop(void *board)
{
	struct board *b = board;

	tg_http_server_free(b->front);
	tg_http_server_free(b->ready);
	tg_http_server_free(b->metrics);
}

const struct tg_controller front_controller = {
	.name = "front",
	.start = start,
	.drain = drain,
	.stop = stop,
};
