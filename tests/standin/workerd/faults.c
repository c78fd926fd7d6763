#include <stdlib.h>

#include "workerd.h"

/* Bounds memory at about 100 MB with entries of 300 bytes. */
#define LINES_MAX 300000

void lines_add(struct lines *l, json_t *v)
{
	if (l->n >= LINES_MAX) {
		l->dropped++;
	} else {
		if (!(l->n & (l->n - 1)))
			l->items = tg_xrealloc(l->items,
					       (l->n ? l->n * 2 : 1) *
						       sizeof(*l->items));
		l->items[l->n++] = json_dumps(v, JSON_COMPACT);
	}
	json_decref(v);
}

static void write_lines(struct evbuffer *out, const char *name,
			const struct lines *l, const json_t *more)
{
	size_t i, n = json_array_size(more);

	evbuffer_add_printf(out, "\"%s\":[", name);
	for (i = 0; i < l->n; i++)
		evbuffer_add_printf(out, "%s%s", i ? "," : "", l->items[i]);
	for (i = 0; i < n; i++) {
		char *s = json_dumps(json_array_get(more, i), JSON_COMPACT);

		evbuffer_add_printf(out, "%s%s", l->n || i ? "," : "", s);
		free(s);
	}
	evbuffer_add_printf(out, "],");
}

/* Requests are in the order of their end, those in progress last. */
void reply_log(struct evhttp_request *req, void *arg)
{
	struct board *b = arg;
	struct evbuffer *out = evbuffer_new();
	json_t *running = json_array();

	leases_advance(b);
	service_running_json(b, running);
	evbuffer_add_printf(out, "{");
	write_lines(out, "requests", &b->requests, running);
	write_lines(out, "tasks", &b->tasks, NULL);
	write_lines(out, "refused", &b->refused, NULL);
	evbuffer_add_printf(out, "\"dropped\":%zu}",
			    b->requests.dropped + b->tasks.dropped +
				    b->refused.dropped);
	json_decref(running);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/json");
	evhttp_send_reply(req, 200, NULL, out);
	evbuffer_free(out);
}

void reply_stats(struct evhttp_request *req, void *arg)
{
	struct board *b = arg;

	leases_advance(b);
	tg_http_reply_json(
		req, 200,
		json_pack("{s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I,"
			  " s:I, s:I}",
			  "worker", b->opts.name, "boot", b->boot, "epoch",
			  (json_int_t)b->epoch, "runs", (json_int_t)b->last_run,
			  "in_use", (json_int_t)b->in_use, "connections_in_use",
			  (json_int_t)tg_http_server_connections(b->service),
			  "not_run", (json_int_t)b->refused_requests,
			  "active_leases", (json_int_t)leases_active(b),
			  "refused_ops", (json_int_t)b->refused.n, "renew",
			  (json_int_t)b->renewals, "renew_all",
			  (json_int_t)b->renewals_all));
}

/* Fields that are not given take their default, so {} ends all faults. */
void faults_set(struct evhttp_request *req, void *arg)
{
	int fail_tasks = 0, refuse_starts = 0, hang = 0, close_after_read = 0;
	int lose_renewals = 0, no_renew_all = 0;
	json_int_t delay_ms = 0, late_ms = 0;
	json_t *v = tg_http_parse_json_body(req);
	int cut = 0, draining = 0, undelimited = 0;
	struct board *b = arg;
	json_error_t e;

	if (!v)
		return;
	if (json_unpack_ex(v, &e, JSON_STRICT,
			   "{s?:b, s?:b, s?:b, s?:b, s?:b, s?:b, s?:b, s?:b,"
			   " s?:b, s?:I, s?:I}",
			   "fail_tasks", &fail_tasks, "refuse_starts",
			   &refuse_starts, "hang_service", &hang,
			   "close_after_read", &close_after_read, "cut", &cut,
			   "undelimited", &undelimited, "draining", &draining,
			   "lose_renewals", &lose_renewals, "no_renew_all",
			   &no_renew_all, "service_delay_ms", &delay_ms,
			   "answer_late_ms", &late_ms) ||
	    delay_ms < 0 || late_ms < 0) {
		tg_http_reply_error(req, 400, "body", "no such fault");
		goto out;
	}
	leases_advance(b);
	b->faults = (struct faults){
		.fail_tasks = fail_tasks,
		.refuse_starts = refuse_starts,
		.hang_service = hang,
		.close_after_read = close_after_read,
		.undelimited = undelimited,
		.cut = cut,
		.draining = draining,
		.lose_renewals = lose_renewals,
		.no_renew_all = no_renew_all,
		.service_delay_ms = delay_ms,
		.answer_late_ms = late_ms,
	};
	tg_log(EV_WORKERD_FAULTS, "cut=%d draining=%d", cut, draining);
	tg_http_reply_json(req, 200, json_pack("{s:b}", "ok", 1));
out:
	json_decref(v);
}
