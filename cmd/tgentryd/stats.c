#include <stdarg.h>
#include <string.h>

#include "board.h"

void action_log(struct board *b, const char *fmt, ...)
{
	struct action *a = &b->actions[b->n_actions++ % ACTIONS_MAX];
	va_list ap;

	a->at_ms = tg_now_ms();
	va_start(ap, fmt);
	vsnprintf(a->text, sizeof(a->text), fmt, ap);
	va_end(ap);
}

json_t *action_log_json(const struct board *b)
{
	size_t i = b->n_actions > ACTIONS_MAX ? b->n_actions - ACTIONS_MAX : 0;
	json_t *list = json_array();

	for (; i < b->n_actions; i++) {
		const struct action *a = &b->actions[i % ACTIONS_MAX];

		json_array_append_new(list,
				      json_pack("{s:I, s:s}", "at_ms",
						(json_int_t)a->at_ms, "what",
						a->text));
	}
	return json_pack("{s:o}", "actions", list);
}

void stats_count_invalid(const char *why)
{
	char labels[80];

	snprintf(labels, sizeof(labels), "why=\"%s\"", why);
	tg_counter("tg_invalid_total",
		   "Invalid requests and invalid answers to probes.", labels)
		->value++;
}

static void count_failed(const struct request *r, const struct outcome *o,
			 const char *labels)
{
	bool failed = o->kind != TG_RPC_ANSWERED || o->status >= 500;
	struct tg_counter *c = tg_counter(
		"tg_requests_failed_total",
		"Requests not run, with unknown outcome, or answered with a "
		"status of 500 or above.",
		labels);

	(void)r;
	c->value += failed;
}

static void count_slow(const struct request *r, const struct outcome *o,
		       const char *labels, int64_t us)
{
	const struct tg_service *spec = service_spec(r->board, r->service_name);
	bool slow = spec && spec->latency_ms && o->kind == TG_RPC_ANSWERED &&
		us > (int64_t)spec->latency_ms * 1000;
	struct tg_counter *c = tg_counter(
		"tg_requests_slow_total",
		"Requests answered later than the service's latency_ms.",
		labels);

	c->value += slow;
}

/*
 * Only requests whose service and workspace are in the document are counted,
 * which limits the number of label values.
 */
void stats_request_ended(const struct request *r, const struct outcome *o)
{
	int64_t us = tg_now_us() - r->start_us;
	char labels[320];

	tg_log(EV_ENTRY_REQUEST,
	       "id=%s service=%s workspace=%s outcome=%s status=%d us=%lld "
	       "attempts=%d reason=%s",
	       r->id, r->service_name, r->workspace_name, outcome_name(o->kind),
	       o->status, (long long)us, r->failed_attempts,
	       o->reason ? o->reason : "");
	if (!r->service || !r->workspace)
		return;
	snprintf(labels, sizeof(labels), "service=\"%s\",workspace=\"%s\"",
		 r->service_name, r->workspace_name);
	count_failed(r, o, labels);
	count_slow(r, o, labels, us);
	snprintf(labels, sizeof(labels),
		 "service=\"%s\",workspace=\"%s\",outcome=\"%s\"",
		 r->service_name, r->workspace_name, outcome_name(o->kind));
	tg_counter("tg_requests_total", "Requests by outcome.", labels)
		->value++;
	snprintf(labels, sizeof(labels), "service=\"%s\"", r->service_name);
	tg_hist_add(tg_histogram("tg_request_us",
				 "Time from arrival to reply in microseconds.",
				 labels),
		    (uint64_t)us);
}
