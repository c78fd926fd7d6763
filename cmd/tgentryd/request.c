#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "board.h"

struct request *request_new(struct board *b)
{
	struct request *r = tg_xcalloc(1, sizeof(*r));
	char token[TG_TOKEN_LEN + 1];

	r->board = b;
	r->start_us = tg_now_us();
	tg_random_token(token);
	tg_strlcpy(r->id, token, sizeof(r->id));
	r->next = b->requests;
	if (r->next)
		r->next->prev = r;
	b->requests = r;
	b->n_requests++;
	return r;
}

static void free_request(struct request *r)
{
	struct board *b = r->board;
	size_t i;

	if (r->prev)
		r->prev->next = r->next;
	else
		b->requests = r->next;
	if (r->next)
		r->next->prev = r->prev;
	b->n_requests--;
	if (r->timer)
		event_free(r->timer);
	for (i = 0; i < r->n_headers; i++) {
		free(r->headers[i].name);
		free(r->headers[i].value);
	}
	free(r->headers);
	free(r->path);
	free(r->content_type);
	free(r->body);
	free(r);
}

void request_free_all(struct board *b)
{
	while (b->requests) {
		struct request *r = b->requests;

		if (r->item.flow)
			queue_remove(&r->service->queue, &r->item);
		claim_detach(r);
		service_release(r);
		free_request(r);
	}
}

int64_t request_remaining_ms(const struct request *r)
{
	int64_t left_ms = r->deadline_ms - tg_now_ms();

	return left_ms > 0 ? left_ms : 0;
}

/* Stores the outcome under the key of the request, or releases its claim. */
static void complete_key(struct request *r, const struct outcome *o)
{
	if (r->issued_entry)
		issued_key_complete(r, o);
	if (!r->claim)
		return;
	if (r->state == REQUEST_CLAIMING)
		claim_detach(r);
	else if (o->kind == TG_RPC_ANSWERED)
		claim_record_outcome(r, o);
	else if (o->kind == TG_RPC_NOT_RUN)
		claim_release(r);
	else
		claim_detach(r);
}

void request_finish(struct request *r, struct outcome *o)
{
	struct board *b = r->board;
	struct service *s = r->service;

	if (r->item.flow)
		queue_remove(&s->queue, &r->item);
	if (r->state == REQUEST_WAITING)
		issued_key_stop_waiting(r);
	action_log(b, "request %s ended %s %d", r->id, outcome_name(o->kind),
		   o->status);
	complete_key(r, o);
	stats_request_ended(r, o);
	reply_request(r, o);
	outcome_free(o);
	service_release(r);
	free_request(r);
}

static void finish_with_text(struct request *r, enum tg_rpc_outcome kind,
			     int status, const char *place, const char *fmt,
			     va_list ap)
{
	struct outcome o = { .kind = kind, .status = status };
	char text[512];

	vsnprintf(text, sizeof(text), fmt, ap);
	o.reason = tg_xstrdup(text);
	o.place = place ? tg_xstrdup(place) : NULL;
	request_finish(r, &o);
}

void request_finish_not_run(struct request *r, int status, const char *place,
			    const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	finish_with_text(r, TG_RPC_NOT_RUN, status, place, fmt, ap);
	va_end(ap);
}

void request_finish_unknown(struct request *r, int status, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	finish_with_text(r, TG_RPC_OUTCOME_UNKNOWN, status, NULL, fmt, ap);
	va_end(ap);
}

/*
 * Refuses a request that was not dispatched.  If it has a key, an earlier
 * request with that key may have run, and the caller would take "not run" to
 * apply to both; see OUTAGE_SAYS_NOT_RUN in spec/request.pml.
 */
static void refuse(struct request *r, int status, const char *place,
		   const char *fmt, ...) __attribute__((format(printf, 4, 5)));

static void refuse(struct request *r, int status, const char *place,
		   const char *fmt, ...)
{
	const struct settings *settings = &r->board->settings;
	char text[256];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (r->idempotent || r->key_kind == KEY_NONE || r->issued_entry ||
	    settings->unsafe_refuse_unchecked ||
	    (r->key_kind == KEY_ISSUED && issued_key_unused(r)))
		request_finish_not_run(r, status, place, "%s", text);
	else if (r->key_kind == KEY_ISSUED)
		request_finish_unknown(
			r, status,
			"%s; only the instance that issued the key knows "
			"whether an earlier attempt ran",
			text);
	else if (settings->unsafe_no_claims)
		request_finish_not_run(r, status, place, "%s", text);
	else
		claim_refuse_after_check(r, status, place, text);
}

static void on_deadline(evutil_socket_t fd, short what, void *arg)
{
	struct request *r = arg;

	(void)fd;
	(void)what;
	switch (r->state) {
	case REQUEST_CLAIMING:
		if (r->board->settings.unsafe_refuse_unchecked)
			request_finish_not_run(
				r, 503, "Idempotency-Key",
				"the deadline passed before the claim "
				"was recorded");
		else
			request_finish_unknown(
				r, 503,
				"the deadline passed before the claim "
				"was recorded; nothing ran for this "
				"attempt");
		break;
	case REQUEST_QUEUED:
		if (r->may_have_run)
			request_finish_unknown(r, 504, "the deadline passed");
		else
			request_finish_not_run(
				r, 503, NULL,
				"the deadline passed in the queue");
		break;
	case REQUEST_WAITING:
		request_finish_unknown(
			r, 504, "another request with this key is running");
		break;
	default:
		/* The call that is in progress has a time limit of its own. */
		break;
	}
}

void request_set_timer(struct request *r)
{
	int64_t ms = request_remaining_ms(r);
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = (ms % 1000) * 1000 };

	if (!r->timer)
		r->timer = event_new(r->board->base, -1, 0, on_deadline, r);
	event_add(r->timer, &tv);
}

/*
 * A request that was dispatched is not cancelled: it uses its slot until the
 * answer or the end of the connection, and its outcome is still recorded.
 */
void request_on_caller_disconnect(void *arg)
{
	struct request *r = arg;

	r->aborted = true;
	if (r->state == REQUEST_QUEUED && !r->may_have_run)
		request_finish_not_run(r, 503, NULL,
				       "the caller closed the connection");
}

/*
 * Looks up the service and the workspace in the document.  Returns false if one
 * is missing and the request was refused.
 */
static bool look_up_names(struct request *r)
{
	const struct tg_doc *doc = tg_member_doc(r->board->member);
	const struct tg_service *spec;

	if (!doc) {
		refuse(r, 503, NULL, "no document is in force");
		return false;
	}
	spec = tg_doc_service(doc, r->service_name);
	if (!spec) {
		stats_count_invalid("service");
		refuse(r, 404, "service", "no such service");
		return false;
	}
	if (!tg_doc_workspace(doc, r->workspace_name) ||
	    !tg_service_allows(spec, r->workspace_name)) {
		stats_count_invalid("workspace");
		refuse(r, 404, "Tg-Workspace",
		       "no such workspace of this service");
		return false;
	}
	r->idempotent = (spec->idempotent_methods & r->method) != 0;
	return true;
}

static void compute_digest(struct request *r)
{
	char *head = tg_xasprintf(
		"%s %s %s\n%016llx", tg_http_method_name(r->method),
		r->service_name, r->path,
		(unsigned long long)tg_hash64(r->body, r->body_bytes));

	snprintf(r->digest, sizeof(r->digest), "%016llx",
		 (unsigned long long)tg_hash64(head, strlen(head)));
	free(head);
}

void request_start(struct request *r)
{
	struct board *b = r->board;

	compute_digest(r);
	if (!look_up_names(r))
		return;
	service_acquire(r);
	if (b->refuse_from_ms && tg_now_ms() >= b->refuse_from_ms) {
		refuse(r, 503, NULL, "this instance is stopping");
		return;
	}
	/*
	 * An idempotent request can be repeated without a key, so its key is
	 * ignored.
	 */
	if (r->key_kind == KEY_ISSUED && !r->idempotent)
		issued_key_start(r);
	else
		request_admit(r);
}

/* Returns false if the request was refused by the limits of its workspace. */
static bool check_limits(struct request *r)
{
	struct board *b = r->board;
	const struct tg_workspace *spec =
		tg_doc_workspace(tg_member_doc(b->member), r->workspace_name);
	size_t entries = live_entry_count(b);
	int32_t max = limits_share(spec->max_in_flight, entries);
	double rate = (double)spec->rate_per_s / (double)entries;

	if (max && r->workspace->in_flight >= max) {
		refuse(r, 429, "Tg-Workspace",
		       "the workspace has %d requests in flight", max);
		return false;
	}
	if (!bucket_take(&r->workspace->rate, rate, tg_now_ms())) {
		refuse(r, 429, "Tg-Workspace",
		       "the workspace sends more than %d requests/s",
		       spec->rate_per_s);
		return false;
	}
	return true;
}

/* Returns false if it was refused for lack of workers, queue space or time. */
static bool check_room(struct request *r, const struct tg_service *spec)
{
	struct service *s = r->service;
	int64_t wait_ms = service_expected_wait_ms(r->board, s, spec);
	bool any_usable;

	workers_choose(r->board, r, spec, &any_usable);
	if (!any_usable) {
		refuse(r, 503, "service", "no backend server is available");
		return false;
	}
	if (s->queue.n >= (size_t)spec->queue) {
		refuse(r, 503, "service", "the queue is full");
		return false;
	}
	if (wait_ms > request_remaining_ms(r)) {
		refuse(r, 503, "Tg-Deadline-Ms",
		       "the expected wait of %lld ms exceeds the deadline",
		       (long long)wait_ms);
		return false;
	}
	return true;
}

/* Refusals come before the claim, so that few claims have to be released. */
void request_admit(struct request *r)
{
	struct board *b = r->board;
	const struct tg_service *spec = service_spec(b, r->service_name);

	if (!check_limits(r) || !check_room(r, spec))
		return;
	r->workspace->in_flight++;
	r->counted_in_flight = true;
	request_set_timer(r);
	if (r->key_kind == KEY_CALLER && !r->idempotent &&
	    !b->settings.unsafe_no_claims) {
		r->state = REQUEST_CLAIMING;
		claim_start(r);
		return;
	}
	request_enqueue(r);
}

void request_enqueue(struct request *r)
{
	r->state = REQUEST_QUEUED;
	request_set_timer(r);
	r->item.cost = queue_cost(r->body_bytes);
	queue_push(&r->service->queue, &r->item, r->workspace_name);
	service_dispatch_queued(r->board, r->service);
}
