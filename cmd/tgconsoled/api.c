#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "board.h"

struct api_call {
	struct evhttp_request *req;
	char *text;
	size_t text_bytes;
};

static void free_call(struct api_call *c)
{
	free(c->text);
	free(c);
}

static struct api_call *new_call(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	struct api_call *c = tg_xcalloc(1, sizeof(*c));

	c->req = req;
	c->text_bytes = evbuffer_get_length(in);
	c->text = tg_xcalloc(c->text_bytes + 1, 1);
	evbuffer_copyout(in, c->text, c->text_bytes);
	return c;
}

static json_t *parse_json(const char *text, size_t n)
{
	return text ? json_loadb(text, n, 0, NULL) : NULL;
}

static void set_if_not_empty(json_t *body, const char *key, const char *text)
{
	if (*text)
		json_object_set_new(body, key, json_string(text));
}

static void on_loaded(const struct stored_doc *s, void *arg)
{
	struct evhttp_request *req = arg;
	json_t *body;

	if (!s) {
		tg_http_reply_error(req, 503, NULL,
				    "the document can't be read now");
		return;
	}
	body = json_pack("{s:I, s:o?, s:s}", "generation",
			 (json_int_t)s->generation, "document",
			 parse_json(s->text, s->text_bytes), "source",
			 s->from_cache ? "held" : "table");
	set_if_not_empty(body, "author", s->author);
	set_if_not_empty(body, "at", s->at);
	tg_http_reply_json(req, 200, body);
}

static void on_history(const struct stored_doc *s, void *arg)
{
	struct evhttp_request *req = arg;

	if (!s || s->from_cache)
		tg_http_reply_error(req, 503, NULL,
				    "the history can't be read now");
	else
		tg_http_reply_json(req, 200,
				   json_pack("{s:I, s:O}", "generation",
					     (json_int_t)s->generation,
					     "entries", s->history));
}

static void reply_conflict(struct api_call *c, const struct save_result *r)
{
	json_t *ours = parse_json(c->text, c->text_bytes);
	json_t *theirs = parse_json(r->theirs->text, r->theirs->text_bytes);
	json_t *body = json_pack("{s:s, s:s, s:I, s:s, s:s}", "error",
				 "the document was changed since it was loaded",
				 "place", "generation", "generation",
				 (json_int_t)r->generation, "author",
				 r->theirs->author, "at", r->theirs->at);

	if (theirs) {
		json_object_set(body, "document", theirs);
		json_object_set_new(body, "differences",
				    tg_doc_diff(ours, theirs));
	}
	json_decref(ours);
	json_decref(theirs);
	tg_http_reply_json(c->req, 409, body);
}

static void on_saved(const struct save_result *r, void *arg)
{
	struct api_call *c = arg;
	char digest[17];

	switch (r->outcome) {
	case SAVE_DONE:
		tg_doc_digest(c->text, c->text_bytes, digest);
		tg_http_reply_json(c->req, 200,
				   json_pack("{s:I, s:s}", "generation",
					     (json_int_t)r->generation,
					     "digest", digest));
		break;
	case SAVE_INVALID:
		tg_http_reply_json(c->req, 422,
				   tg_http_findings_to_json(r->findings));
		break;
	case SAVE_CONFLICT:
		reply_conflict(c, r);
		break;
	case SAVE_UNAVAILABLE:
		tg_http_reply_error(c->req, 503, NULL,
				    "not saved: no answer from %s",
				    r->unavailable);
		break;
	default:
		tg_http_reply_error(c->req, 504, NULL,
				    "unknown whether generation %llu was "
				    "saved: the table's answer was lost; look "
				    "at the history",
				    (unsigned long long)r->generation);
		break;
	}
	free_call(c);
}

static int parse_generation(const char *s, uint64_t *out)
{
	char *end;

	if (!s || *s < '0' || *s > '9')
		return -1;
	errno = 0;
	*out = strtoull(s, &end, 10);
	return *end || errno || *out >= INT64_MAX ? -1 : 0;
}

static void put_document(struct board *b, struct evhttp_request *req)
{
	char *text = tg_http_query_param(req, "generation");
	uint64_t generation;
	struct api_call *c;

	if (parse_generation(text, &generation)) {
		tg_http_reply_error(req, 400, "generation",
				    "must be the generation that was loaded");
	} else {
		c = new_call(req);
		store_save(
			b, generation, c->text, c->text_bytes,
			auth_author_name(tg_http_header(req, "X-Tg-Operator")),
			on_saved, c);
	}
	free(text);
}

void api_document(struct evhttp_request *req, void *arg)
{
	struct board *b = arg;

	if (!auth_require_bearer(b, req))
		return;
	if (evhttp_request_get_command(req) == EVHTTP_REQ_PUT)
		put_document(b, req);
	else
		store_load(b, on_loaded, req);
}

void api_history(struct evhttp_request *req, void *arg)
{
	struct board *b = arg;

	if (auth_require_bearer(b, req))
		store_load(b, on_history, req);
}

static void on_checked(enum save_outcome outcome, const struct tg_findings *f,
		       void *arg)
{
	struct evhttp_request *req = arg;

	if (outcome == SAVE_UNAVAILABLE)
		tg_http_reply_error(req, 503, NULL,
				    "not checked: no instance list");
	else
		tg_http_reply_json(req, outcome == SAVE_DONE ? 200 : 422,
				   tg_http_findings_to_json(f));
}

void api_check(struct evhttp_request *req, void *arg)
{
	struct board *b = arg;
	struct api_call *c;

	if (!auth_require_bearer(b, req))
		return;
	c = new_call(req);
	store_check(b, c->text, c->text_bytes, on_checked, req);
	free_call(c);
}
