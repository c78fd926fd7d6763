#include <stdlib.h>
#include <string.h>

#include "entryd.h"
#include "route.h"

const struct tg_service *service_spec(const struct entryd *d, const char *name)
{
	const struct tg_doc *doc = tg_member_doc(d->member);

	return doc ? tg_doc_service(doc, name) : NULL;
}

static struct service *get_or_add_service(struct entryd *d, const char *name)
{
	struct service *s;

	HASH_FIND_STR(d->services, name, s);
	if (s)
		return s;
	s = tg_xcalloc(1, sizeof(*s));
	tg_strlcpy(s->name, name, sizeof(s->name));
	budget_init(&s->retry_budget);
	HASH_ADD_STR(d->services, name, s);
	return s;
}

static struct workspace *get_or_add_workspace(struct entryd *d,
					      const char *name)
{
	struct workspace *w;

	HASH_FIND_STR(d->workspaces, name, w);
	if (w)
		return w;
	w = tg_xcalloc(1, sizeof(*w));
	tg_strlcpy(w->name, name, sizeof(w->name));
	HASH_ADD_STR(d->workspaces, name, w);
	return w;
}

void service_acquire(struct request *r)
{
	r->service = get_or_add_service(r->entryd, r->service_name);
	r->service->refs++;
	r->workspace = get_or_add_workspace(r->entryd, r->workspace_name);
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

void service_remove_unused(struct entryd *d)
{
	const struct tg_doc *doc = tg_member_doc(d->member);
	struct workspace *w, *next_w;
	struct service *s, *next_s;

	HASH_ITER(hh, d->services, s, next_s)
		if (!s->refs && (!doc || !tg_doc_service(doc, s->name))) {
			HASH_DEL(d->services, s);
			free(s);
		}
	HASH_ITER(hh, d->workspaces, w, next_w)
		if (!w->refs && (!doc || !tg_doc_workspace(doc, w->name))) {
			HASH_DEL(d->workspaces, w);
			free(w);
		}
}

size_t live_entry_count(const struct entryd *d)
{
	return tg_member_live_count(d->member, "entry");
}

int64_t service_expected_wait_ms(const struct entryd *d,
				 const struct service *s,
				 const struct tg_service *spec)
{
	uint32_t capacity = workers_capacity(d, spec);

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

void service_dispatch_queued(struct entryd *d, struct service *s)
{
	struct queue_item *item;

	/* Keep the service: finishing a request may drop the last reference. */
	s->refs++;
	while ((item = queue_pop(&s->queue))) {
		const struct tg_service *spec = service_spec(d, s->name);
		struct request *r = request_of_item(item);
		struct worker *w = NULL;
		bool any_usable = false;

		if (!request_remaining_ms(r)) {
			finish_expired(r);
			continue;
		}
		if (spec)
			w = workers_choose(d, r, spec, &any_usable);
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

void services_dispatch_queued(struct entryd *d)
{
	struct service *s, *next;

	HASH_ITER(hh, d->services, s, next)
		service_dispatch_queued(d, s);
}

static void update_gauges(const struct entryd *d)
{
	struct service *s, *next;
	char labels[96];

	HASH_ITER(hh, d->services, s, next) {
		snprintf(labels, sizeof(labels), "service=\"%s\"", s->name);
		tg_gauge("tg_queue_length", "Requests that wait.", labels)
			->value = (int64_t)s->queue.n;
	}
	tg_gauge("tg_requests_in_progress", "Requests not yet replied to.",
		 NULL)
		->value = (int64_t)d->n_requests;
	tg_gauge("tg_keys_remembered", "Issued keys.", NULL)->value =
		(int64_t)d->n_issued_keys;
	tg_gauge("tg_records_waiting", "Outcomes not recorded yet.", NULL)
		->value = (int64_t)d->n_records;
}

static void tick(void *entryd, int64_t now_ms)
{
	struct entryd *d = entryd;

	(void)now_ms;
	services_dispatch_queued(d);
	update_gauges(d);
	service_remove_unused(d);
}

static void stop(void *entryd)
{
	struct entryd *d = entryd;
	struct workspace *w, *next_w;
	struct service *s, *next_s;

	request_free_all(d);
	HASH_ITER(hh, d->services, s, next_s) {
		HASH_DEL(d->services, s);
		free(s);
	}
	HASH_ITER(hh, d->workspaces, w, next_w) {
		HASH_DEL(d->workspaces, w);
		free(w);
	}
}

const struct tg_controller queue_controller = {
	.name = "queue",
	.period_ms = 100,
	.tick = tick,
	.stop = stop,
};
