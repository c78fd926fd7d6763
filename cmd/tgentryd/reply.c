#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "board.h"

void outcome_free(struct outcome *o)
{
	size_t i;

	for (i = 0; i < o->n_headers; i++) {
		free(o->headers[i].name);
		free(o->headers[i].value);
	}
	free(o->headers);
	free(o->content_type);
	free(o->place);
	free(o->reason);
	free(o->body);
	memset(o, 0, sizeof(*o));
}

void outcome_set_body(struct outcome *o, const void *body, size_t n)
{
	free(o->body);
	o->body = tg_xcalloc(1, n + 1);
	if (n)
		memcpy(o->body, body, n);
	o->body_bytes = n;
}

/* Copies are kept in memory or recorded, in both cases without headers. */
void outcome_copy(struct outcome *to, const struct outcome *from)
{
	memset(to, 0, sizeof(*to));
	to->kind = from->kind;
	to->status = from->status;
	if (from->content_type)
		to->content_type = tg_xstrdup(from->content_type);
	if (from->place)
		to->place = tg_xstrdup(from->place);
	if (from->reason)
		to->reason = tg_xstrdup(from->reason);
	outcome_set_body(to, from->body, from->body_bytes);
}

const char *outcome_name(enum tg_rpc_outcome kind)
{
	switch (kind) {
	case TG_RPC_ANSWERED:
		return "answered";
	case TG_RPC_NOT_RUN:
		return "not-run";
	default:
		return "unknown";
	}
}

bool is_hop_by_hop_header(const char *name)
{
	static const char *const names[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"Proxy-Authenticate",
		"Proxy-Authorization",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Host",
		"Content-Length",
		"Expect",
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(names); i++)
		if (!strcasecmp(name, names[i]))
			return true;
	return false;
}

void reply_add_headers(struct evhttp_request *req, const char *outcome)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);

	evhttp_add_header(out, "Tg-Outcome", outcome);
	/*
	 * Otherwise the caller may reuse a connection that is about to be
	 * closed.
	 */
	if (tg_daemon_draining())
		evhttp_add_header(out, "Connection", "close");
}

void reply_not_run(struct evhttp_request *req, int status, const char *place,
		   const char *fmt, ...)
{
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	reply_add_headers(req, outcome_name(TG_RPC_NOT_RUN));
	tg_http_reply_error(req, status, place, "%s", text);
}

/* Names the path at which the caller can query the outcome of its key. */
static void add_query_header(struct request *r)
{
	char *uri;

	if (r->key_kind != KEY_CALLER && r->key_kind != KEY_ISSUED)
		return;
	if (r->idempotent)
		return;
	uri = tg_xasprintf("/v1/requests/%s/%s", r->workspace_name, r->key);
	evhttp_add_header(evhttp_request_get_output_headers(r->http), "Tg-Ask",
			  uri);
	free(uri);
}

static void reply_answer(struct request *r, const struct outcome *o)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(r->http);
	struct evbuffer *body = evbuffer_new();
	size_t i;

	for (i = 0; i < o->n_headers; i++)
		evhttp_add_header(out, o->headers[i].name, o->headers[i].value);
	if (o->content_type && !evhttp_find_header(out, "Content-Type"))
		evhttp_add_header(out, "Content-Type", o->content_type);
	evbuffer_add(body, o->body, o->body_bytes);
	evhttp_send_reply(r->http, o->status, NULL, body);
	evbuffer_free(body);
}

static void reply_http(struct request *r, const struct outcome *o)
{
	reply_add_headers(r->http, outcome_name(o->kind));
	if (o->kind == TG_RPC_ANSWERED) {
		reply_answer(r, o);
		return;
	}
	if (o->kind == TG_RPC_OUTCOME_UNKNOWN)
		add_query_header(r);
	tg_http_reply_error(r->http, o->status, o->place, "%s",
			    o->reason ? o->reason : "");
}

void outcome_to_rpc(const struct outcome *o, struct tg_rpc_response *out)
{
	static char empty[] = "";
	static char too_long[] = "the answer is too long to be forwarded";

	*out = (struct tg_rpc_response){
		.outcome = o->kind,
		.http_status = (u_int)o->status,
		.content_type = o->content_type ? o->content_type : empty,
		.reason = o->reason ? o->reason : empty,
	};
	if (o->kind != TG_RPC_ANSWERED)
		return;
	if (o->body_bytes > TG_RPC_BODY_MAX) {
		out->outcome = TG_RPC_OUTCOME_UNKNOWN;
		out->http_status = 502;
		out->reason = too_long;
		return;
	}
	out->body.body_len = (u_int)o->body_bytes;
	out->body.body_val = o->body;
}

void reply_request(struct request *r, const struct outcome *o)
{
	struct tg_rpc_response res;

	if (r->http) {
		/* The request is freed before the reply is fully written. */
		tg_http_set_abort_callback(r->http, NULL, NULL);
		reply_http(r, o);
	}
	r->http = NULL;
	if (!r->rpc)
		return;
	outcome_to_rpc(o, &res);
	tg_rpc_reply(r->rpc, &res);
	r->rpc = NULL;
}

static char *to_base64(const unsigned char *p, size_t n)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	char *out = tg_xcalloc(1, (n + 2) / 3 * 4 + 1);
	char *q = out;
	size_t i;

	for (i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)p[i] << 16;

		if (i + 1 < n)
			v |= (uint32_t)p[i + 1] << 8;
		if (i + 2 < n)
			v |= p[i + 2];
		*q++ = digits[v >> 18];
		*q++ = digits[v >> 12 & 63];
		*q++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
		*q++ = i + 2 < n ? digits[v & 63] : '=';
	}
	return out;
}

void reply_set_json_body(json_t *to, const char *body, size_t n)
{
	json_t *text = NULL;
	char *encoded;

	if (!memchr(body, '\0', n))
		text = json_stringn(body, n);
	if (text) {
		json_object_set_new(to, "body", text);
		return;
	}
	encoded = to_base64((const unsigned char *)body, n);
	json_object_set_new(to, "body_base64", json_string(encoded));
	free(encoded);
}
