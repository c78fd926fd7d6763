#include <stdlib.h>
#include <string.h>

#include "ctl.h"

struct pending_call {
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

static void on_call_done(const struct tg_http_result *r, void *arg)
{
	struct pending_call *call = arg;
	const char *outcome;

	call->reply->end = r->end;
	call->reply->sent = r->sent;
	call->reply->status = r->status;
	call->reply->json = tg_http_result_json(r);
	if (r->headers) {
		outcome = evhttp_find_header(r->headers, "Tg-Outcome");
		tg_strlcpy(call->reply->outcome, outcome ? outcome : "",
			   sizeof(call->reply->outcome));
	}
	call->done = true;
	event_base_loopbreak(call->base);
}

void ctl_call(struct ctl *c, enum evhttp_cmd_type method, const char *addr,
	      const char *uri, const char *body, struct ctl_reply *r)
{
	struct pending_call call = { .base = c->base, .reply = r };
	struct tg_http_header_field headers[4] = { 0 };
	struct tg_http_call_opts opts = {
		.method = method,
		.addr = addr,
		.uri = uri,
		.headers = headers,
		.body = body,
		.body_bytes = body ? strlen(body) : 0,
		.timeout_ms = c->opts.timeout_ms,
		.done = on_call_done,
		.arg = &call,
	};
	size_t n = 0;

	memset(r, 0, sizeof(*r));
	if (c->authorization)
		headers[n++] =
			(struct tg_http_header_field){ "Authorization",
						       c->authorization };
	if (c->opts.operator_name)
		headers[n++] =
			(struct tg_http_header_field){ "X-Tg-Operator",
						       c->opts.operator_name };
	if (body)
		headers[n++] =
			(struct tg_http_header_field){ "Content-Type",
						       "application/json" };
	tg_http_call_start(c->http, &opts);
	while (!call.done)
		event_base_dispatch(c->base);
}

void ctl_reply_free(struct ctl_reply *r)
{
	json_decref(r->json);
	r->json = NULL;
}

enum ctl_exit ctl_exit_status(const struct ctl_reply *r, bool is_write)
{
	if (r->end != TG_HTTP_COMPLETE)
		return is_write && r->sent ? CTL_OUTCOME_UNKNOWN :
					     CTL_UNREACHABLE;
	if (r->status / 100 == 2)
		return CTL_OK;
	if (r->status == 503)
		return CTL_UNREACHABLE;
	if (r->status / 100 == 5 || !strcmp(r->outcome, "unknown"))
		return is_write ? CTL_OUTCOME_UNKNOWN : CTL_UNREACHABLE;
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

static void report_error_body(const struct ctl_reply *r)
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

enum ctl_exit ctl_report_failure(const struct ctl_reply *r, bool is_write)
{
	enum ctl_exit status = ctl_exit_status(r, is_write);

	if (r->end == TG_HTTP_COMPLETE)
		report_error_body(r);
	else if (r->end == TG_HTTP_NOT_CONNECTED || !r->sent)
		ctl_error("no connection");
	else if (r->end == TG_HTTP_TIMEOUT)
		ctl_error("the request timed out");
	else
		ctl_error(
			"the connection was closed before the end of the reply");
	if (status == CTL_OUTCOME_UNKNOWN)
		ctl_error("the change may or may not have been made");
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
