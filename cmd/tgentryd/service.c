#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "route.h"

const struct tg_service *service_spec(const struct board *b, const char *name)
{
	const struct tg_doc *doc = tg_member_doc(b->member);

	return doc ? tg_doc_service(doc, name) : NULL;
}

static struct service *get_or_add_service(struct board *b, const char *name)
{
	struct service *s;

	HASH_FIND_STR(b->services, name, s);
	if (s)
		return s;
	s = tg_xcalloc(1, sizeof(*s));
	tg_strlcpy(s->name, name, sizeof(s->name));
	budget_init(&s->retry_budget);
	HASH_ADD_STR(b->services, name, s);
	return s;
}

static struct workspace *get_or_add_workspace(struct board *b, const char *name)
{
	struct workspace *w;

	HASH_FIND_STR(b->workspaces, name, w);
	if (w)
		return w;
	w = tg_xcalloc(1, sizeof(*w));
	tg_strlcpy(w->name, name, sizeof(w->name));
	HASH_ADD_STR(b->workspaces, name, w);
	return w;
}

void service_acquire(struct request *r)
{
	r->service = get_or_add_service(r->board, r->service_name);
	r->service->refs++;
	r->workspace = get_or_add_workspace(r->board, r->workspace_name);
	r->workspace->refs++;
}

void service_release(struct request *r)
{
	if (r->counted_in_flight)
		r->workspace->in_flight--;
	r->counted_in_flight = false;
	if (r->service)
		r->service->refs--;
	if (r->workspace)
		r->workspace->refs--;
	r->service = NULL;
	r->workspace = NULL;
}

void service_remove_unused(struct board *b)
{
	const struct tg_doc *doc = tg_member_doc(b->member);
	struct workspace *w, *next_w;
	struct service *s, *next_s;

	HASH_ITER(hh, b->services, s, next_s)
		if (!s->refs && (!doc || !tg_doc_service(doc, s->name))) {
			HASH_DEL(b->services, s);
			free(s);
		}
	HASH_ITER(hh, b->workspaces, w, next_w)
		if (!w->refs && (!doc || !tg_doc_workspace(doc, w->name))) {
			HASH_DEL(b->workspaces, w);
			free(w);
		}
}

size_t live_entry_count(const struct board *b)
{
	return tg_member_count_live(b->member, "entry");
}

int64_t service_expected_wait_ms(const struct board *b, const struct service *s,
				 const struct tg_service *spec)
{
	uint32_t capacity = workers_capacity(b, spec);

	if (!s->queue.n || !capacity)
		return 0;
	return (int64_t)s->queue.n * s->mean_attempt_us / capacity / 1000;
}

static struct request *request_of_item(struct queue_item *item)
{
	return (struct request *)((char *)item -
				  offsetof(struct request, item));
}

/* Finishes a request whose deadline passed in the queue. */
static void finish_expired(struct request *r)
{
	if (r->may_have_run)
		request_finish_unknown(r, 504, "the deadline passed");
	else
		request_finish_not_run(r, 503, NULL,
				       "the deadline passed in the queue");
}

/* Finishes a request for which there is no usable backend server. */
static void finish_without_worker(struct request *r)
{
	if (r->may_have_run)
		request_finish_unknown(
			r, 502,
			"the backend server broke the connection and "
			"no other is available");
	else
		request_finish_not_run(r, 503, "service",
				       "no backend server is available");
}

void service_dispatch_queued(struct board *b, struct service *s)
{
	struct queue_item *item;

	/* Keep the service: finishing a request may drop the last reference. */
	s->refs++;
	while ((item = queue_pop(&s->queue))) {
		const struct tg_service *spec = service_spec(b, s->name);
		struct request *r = request_of_item(item);
		struct worker *w = NULL;
		bool any_usable = false;

		if (!request_remaining_ms(r)) {
			finish_expired(r);
			continue;
		}
		if (spec)
			w = workers_choose(b, r, spec, &any_usable);
		if (w) {
			dispatch_start(r, w, spec);
			continue;
		}
		if (!any_usable) {
			finish_without_worker(r);
			continue;
		}
		queue_unpop(&s->queue, item, r->workspace_name);
		break;
	}
	s->refs--;
}

void services_dispatch_queued(struct board *b)
{
	struct service *s, *next;

	HASH_ITER(hh, b->services, s, next)
		service_dispatch_queued(b, s);
}

static void update_gauges(const struct board *b)
{
	struct service *s, *next;
	char labels[96];

	HASH_ITER(hh, b->services, s, next) {
		snprintf(labels, sizeof(labels), "service=\"%s\"", s->name);
		tg_gauge("tg_queue_length",
			 "Requests in the queue of the service.", labels)
			->value = (int64_t)s->queue.n;
	}
	tg_gauge("tg_requests_in_progress", "Requests not yet replied to.",
		 NULL)
		->value = (int64_t)b->n_requests;
	tg_gauge("tg_keys_remembered", "Issued keys in memory.", NULL)->value =
		(int64_t)b->n_issued_keys;
	tg_gauge("tg_records_waiting", "Outcomes not recorded yet.", NULL)
		->value = (int64_t)b->n_records;
}

static void tick(void *board, int64_t now_ms)
{
	struct board *b = board;

	(void)now_ms;
	services_dispatch_queued(b);
	update_gauges(b);
	service_remove_unused(b);
}

static void stop(void *board)
{
	struct board *b = board;
	struct workspace *w, *next_w;
	struct service *s, *next_s;

	request_free_all(b);
	HASH_ITER(hh, b->services, s, next_s) {
		HASH_DEL(b->services, s);
		free(s);
	}
	HASH_ITER(hh, b->workspaces, w, next_w) {
		HASH_DEL(b->workspaces, w);
		free(w);
	}
}

const struct tg_controller queue_controller = {
	.name = "queue",
	.period_ms = 100,
	.tick = tick,
	.stop = stop,
};
