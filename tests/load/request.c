#include <stdlib.h>
#include <string.h>

#include "load.h"

/* Beyond the deadline, so that the target's own answer is seen. */
#define ANSWER_GRACE_MS 2000

static const char *header(const struct tg_http_result *r, const char *name)
{
	return evhttp_find_header(r->headers, name);
}

/* The stand-in's backend server echoes path and body. */
static bool is_own_answer(const struct call *c, const struct tg_http_result *r)
{
	json_t *v = tg_http_result_json(r);
	const char *path = json_string_value(json_object_get(v, "path"));
	const char *hash = json_string_value(json_object_get(v, "body_hash"));
	char own[17];
	bool ok = true;

	snprintf(own, sizeof(own), "%016llx",
		 (unsigned long long)tg_hash64(c->body_bytes ? c->body : "",
					       c->body_bytes));
	if (path && hash)
		ok = !strcmp(path, c->path) && !strcmp(hash, own);
	json_decref(v);
	return ok;
}

static enum outcome outcome_of_entry(const struct tg_http_result *r)
{
	const char *s;

	if (r->end != TG_HTTP_COMPLETE)
		return OUTCOME_ERROR;
	s = header(r, "Tg-Outcome");
	if (s && !strcmp(s, "answered"))
		return OUTCOME_ANSWERED;
	if (s && !strcmp(s, "not-run"))
		return OUTCOME_NOT_RUN;
	if (s && !strcmp(s, "unknown"))
		return OUTCOME_UNKNOWN;
	return OUTCOME_ERROR;
}

static enum outcome outcome_of_server(const struct tg_http_result *r)
{
	if (r->end == TG_HTTP_COMPLETE)
		return header(r, "Tg-Not-Run") ? OUTCOME_NOT_RUN :
						 OUTCOME_ANSWERED;
	return r->sent ? OUTCOME_UNKNOWN : OUTCOME_ERROR;
}

static void on_answer(const struct tg_http_result *r, void *arg)
{
	struct call *c = arg;
	enum outcome o = c->load->mode == MODE_DIRECT ? outcome_of_server(r) :
							outcome_of_entry(r);

	call_status(c, r);
	if (o == OUTCOME_ANSWERED && !is_own_answer(c, r))
		c->load->wrong++;
	call_done(c, o);
}

/* Different for each call, so that a mixed-up answer shows. */
static void fill_body(struct call *c)
{
	struct tg_rng rng = call_rng(c);
	size_t i;

	if (!(c->load->method &
	      (EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_PATCH)))
		return;
	c->body_bytes = (size_t)c->load->opts.body_bytes;
	c->body = tg_xcalloc(1, c->body_bytes);
	for (i = 0; i < c->body_bytes; i++)
		((char *)c->body)[i] = (char)('a' + tg_rng_below(&rng, 26));
}

static void send_request(struct call *c)
{
	const struct opts *o = &c->load->opts;
	bool direct = c->load->mode == MODE_DIRECT;
	char deadline[32], id[64];
	struct tg_http_header_field headers[] = {
		{ "Tg-Workspace", o->workspace },
		{ "Tg-Request-Id", id },
		{ "Tg-Deadline-Ms", deadline },
		{ *c->key ? "Idempotency-Key" : NULL, c->key },
		{ NULL, NULL },
	};
	struct tg_http_call_opts call = {
		.method = c->load->method,
		.addr = o->target,
		.headers = headers,
		.body = c->body,
		.body_bytes = c->body_bytes,
		.timeout_ms = o->deadline_ms + (direct ? 0 : ANSWER_GRACE_MS),
		.done = on_answer,
		.arg = c,
	};
	char *uri = tg_xasprintf("%s/svc/%s%s", direct ? "" : "/v1", o->service,
				 c->path);

	snprintf(deadline, sizeof(deadline), "%lld", (long long)o->deadline_ms);
	snprintf(id, sizeof(id), "tgload-%lld-%lld", (long long)o->seed,
		 (long long)c->number);
	call.uri = uri;
	tg_http_call_start(c->load->http, &call);
	free(uri);
}

static void on_key(const struct tg_http_result *r, void *arg)
{
	struct call *c = arg;
	json_t *v = tg_http_result_json(r);
	const char *key = json_string_value(json_object_get(v, "key"));
	bool ok = key && r->status / 100 == 2 &&
		tg_strlcpy(c->key, key, sizeof(c->key));

	json_decref(v);
	if (ok)
		send_request(c);
	else
		call_done(c, OUTCOME_ERROR);
}

static void get_key(struct call *c)
{
	const struct opts *o = &c->load->opts;
	struct tg_http_header_field headers[] = {
		{ "Tg-Workspace", o->workspace },
		{ NULL, NULL },
	};
	struct tg_http_call_opts call = {
		.method = EVHTTP_REQ_POST,
		.addr = o->target,
		.uri = "/v1/keys",
		.headers = headers,
		.timeout_ms = o->deadline_ms + ANSWER_GRACE_MS,
		.done = on_key,
		.arg = c,
	};

	tg_http_call_start(c->load->http, &call);
}

void request_start(struct call *c)
{
	const struct opts *o = &c->load->opts;

	snprintf(c->path, sizeof(c->path), "%s/%lld/%lld%s%s", "/load",
		 (long long)o->seed, (long long)c->number, *o->query ? "?" : "",
		 o->query);
	fill_body(c);
	if (c->load->key == KEY_CALLER)
		snprintf(c->key, sizeof(c->key), "load-%lld-%lld",
			 (long long)o->seed, (long long)c->number);
	if (c->load->key == KEY_ISSUED)
		get_key(c);
	else
		send_request(c);
}
