#include <stdlib.h>
#include <string.h>

#include "message.h"

uint64_t worker_fence_epoch(const struct board *b, struct worker *w)
{
	if (b->opts->unsafe_ignore_epoch && w->epoch_seen > b->epoch)
		return w->epoch_seen;
	/*
	 * Leases are counted as expired on the assumption that the worker does
	 * not have the raised epoch, so it must not get it yet.
	 */
	if (w->raised_epoch)
		return w->sent_epoch;
	w->sent_epoch = b->epoch;
	return b->epoch;
}

void worker_call(struct board *b, struct worker *w, const char *uri,
		 json_t *body,
		 void (*done)(const struct tg_http_result *r, void *arg),
		 void *arg)
{
	char *text = json_dumps(body, JSON_COMPACT);
	struct tg_http_call_opts call = {
		.method = EVHTTP_REQ_POST,
		.addr = w->addr,
		.uri = uri,
		.body = text,
		.body_bytes = strlen(text),
		.timeout_ms = b->opts->call_ms,
		.done = done,
		.arg = arg,
	};

	json_decref(body);
	w->call_in_flight = true;
	w->call_arg = arg;
	w->call = tg_http_call_start(b->worker_http, &call);
	free(text);
}

/* At an address that has changed hands, before the instance list shows it. */
static bool is_from_other_worker(const struct worker *w, const json_t *response)
{
	const char *name =
		json_string_value(json_object_get(response, "worker"));

	if (!name || !strcmp(name, w->name))
		return false;
	tg_log(EV_SCHED_OTHER_WORKER, "worker=%s addr=%s other=%s", w->name,
	       w->addr, name);
	return true;
}

bool worker_finish_call(struct board *b, struct worker *w,
			const struct tg_http_result *r, const json_t *response)
{
	w->call = NULL;
	w->call_arg = NULL;
	w->call_in_flight = false;
	if (r->end == TG_HTTP_COMPLETE && response &&
	    !is_from_other_worker(w, response))
		return true;
	w->reachable = false;
	w->contacted = true;
	w->next_call_ms = tg_now_ms() + b->opts->call_ms;
	return false;
}
