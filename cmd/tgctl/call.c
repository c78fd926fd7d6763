#include <stdlib.h>
#include <string.h>

#include "ctl.h"

struct wait {
	struct event_base *base;
	struct ctl_reply *reply;
	bool done;
};

void ctl_error(const char *fmt, ...)
{
	va_list ap;

	fprintf(stderr, "tgctl: ");
	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fprintf(stderr, "\n");
}

static void on_done(const struct tg_http_result *r, void *arg)
{
	struct wait *w = arg;
	const char *outcome;

	w->reply->end = r->end;
	w->reply->sent = r->sent;
	w->reply->status = r->status;
	w->reply->json = tg_http_result_json(r);
	if (r->headers) {
		outcome = evhttp_find_header(r->headers, "Tg-Outcome");
		tg_strlcpy(w->reply->outcome, outcome ? outcome : "",
			   sizeof(w->reply->outcome));
	}
	w->done = true;
	event_base_loopbreak(w->base);
}

void ctl_call(struct ctl *c, enum evhttp_cmd_type method, const char *addr,
	      const char *uri, const char *body, struct ctl_reply *r)
{
	struct wait w = { .base = c->base, .reply = r };
	struct tg_http_kv headers[4] = { 0 };
	struct tg_http_call_opts call = {
		.method = method,
		.addr = addr,
		.uri = uri,
		.headers = headers,
		.body = body,
		.body_bytes = body ? strlen(body) : 0,
		.timeout_ms = c->opts.timeout_ms,
		.done = on_done,
		.arg = &w,
	};
	size_t n = 0;

	memset(r, 0, sizeof(*r));
	if (c->authorization)
		headers[n++] = (struct tg_http_kv){ "Authorization",
						    c->authorization };
	if (c->opts.operator_name)
		headers[n++] = (struct tg_http_kv){ "X-Tg-Operator",
						    c->opts.operator_name };
	if (body)
		headers[n++] = (struct tg_http_kv){ "Content-Type",
						    "application/json" };
	tg_http_call_start(c->http, &call);
	while (!w.done)
		event_base_dispatch(c->base);
}

void ctl_reply_free(struct ctl_reply *r)
{
	json_decref(r->json);
	r->json = NULL;
}

enum ctl_exit ctl_exit_status(const struct ctl_reply *r, bool writes)
{
	if (r->end != TG_HTTP_WHOLE)
		return writes && r->sent ? CTL_OUTCOME_UNKNOWN :
					   CTL_UNREACHABLE;
	if (r->status / 100 == 2)
		return CTL_OK;
	if (r->status == 503)
		return CTL_UNREACHABLE;
	if (r->status / 100 == 5 || !strcmp(r->outcome, "unknown"))
		return writes ? CTL_OUTCOME_UNKNOWN : CTL_UNREACHABLE;
	return CTL_REFUSED;
}

static void report_findings(const json_t *findings)
{
	size_t i;

	for (i = 0; i < json_array_size(findings); i++) {
		const json_t *f = json_array_get(findings, i);
		const char *place =
			json_string_value(json_object_get(f, "place"));
		const char *text =
			json_string_value(json_object_get(f, "text"));

		ctl_error("%s: %s", place && *place ? place : "document",
			  text ? text : "?");
	}
}

static void report_answer(const struct ctl_reply *r)
{
	const char *text = json_string_value(json_object_get(r->json, "error"));
	const char *place =
		json_string_value(json_object_get(r->json, "place"));
	const json_t *findings = json_object_get(r->json, "findings");

	if (findings)
		report_findings(findings);
	else if (text && place)
		ctl_error("%s: %s", place, text);
	else
		ctl_error("%s (status %d)", text ? text : "refused", r->status);
}

enum ctl_exit ctl_report_failure(const struct ctl_reply *r, bool writes)
{
	enum ctl_exit status = ctl_exit_status(r, writes);

	if (r->end == TG_HTTP_WHOLE)
		report_answer(r);
	else if (r->end == TG_HTTP_NOT_CONNECTED || !r->sent)
		ctl_error("no connection");
	else if (r->end == TG_HTTP_TIMEOUT)
		ctl_error("no answer in time");
	else
		ctl_error("the connection broke");
	if (status == CTL_OUTCOME_UNKNOWN)
		ctl_error("it is unknown whether this was done");
	return status;
}

const char *ctl_require_option(const char *addr, const char *flag)
{
	if (!addr)
		ctl_error("--%s: needed for this command", flag);
	return addr;
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(arg);
}

void ctl_sleep(struct ctl *c, int64_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = (ms % 1000) * 1000 };

	event_base_once(c->base, -1, EV_TIMEOUT, on_timer, c->base, &tv);
	event_base_dispatch(c->base);
}
