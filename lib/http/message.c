#include <stdlib.h>
#include <string.h>

#include <event2/bufferevent.h>

#include "http/http.h"

static const struct {
	enum evhttp_cmd_type method;
	const char *name;
} methods[] = {
	{ EVHTTP_REQ_GET, "GET" },	   { EVHTTP_REQ_POST, "POST" },
	{ EVHTTP_REQ_HEAD, "HEAD" },	   { EVHTTP_REQ_PUT, "PUT" },
	{ EVHTTP_REQ_DELETE, "DELETE" },   { EVHTTP_REQ_PATCH, "PATCH" },
	{ EVHTTP_REQ_OPTIONS, "OPTIONS" },
};

const char *tg_http_method_name(enum evhttp_cmd_type method)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(methods); i++)
		if (methods[i].method == method)
			return methods[i].name;
	return "?";
}

enum evhttp_cmd_type tg_http_parse_method(const char *name)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(methods); i++)
		if (!strcmp(methods[i].name, name))
			return methods[i].method;
	return 0;
}

void tg_http_reply_text(struct evhttp_request *req, int status,
			const char *type, const char *text, size_t n)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	struct evbuffer *body = evbuffer_new();
	char length[24];

	if (!evhttp_find_header(out, "Content-Type"))
		evhttp_add_header(out, "Content-Type", type);
	/* For HEAD evhttp would send the body, and no Content-Length. */
	if (evhttp_request_get_command(req) == EVHTTP_REQ_HEAD) {
		snprintf(length, sizeof(length), "%zu", n);
		evhttp_add_header(out, "Content-Length", length);
	} else {
		evbuffer_add(body, text, n);
	}
	evhttp_send_reply(req, status, NULL, body);
	evbuffer_free(body);
}

void tg_http_reply_json(struct evhttp_request *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	if (!text)
		text = tg_xstrdup("{\"error\":\"reply is not valid UTF-8\"}");
	tg_http_reply_text(req, status, "application/json", text, strlen(text));
	free(text);
}

/* Text that a caller has sent may not be UTF-8. */
static json_t *encode_text(const char *s)
{
	json_t *v = json_string(s);
	char *ascii, *p;

	if (v)
		return v;
	ascii = tg_xstrdup(s);
	for (p = ascii; *p; p++)
		if ((unsigned char)*p >= 0x80)
			*p = '?';
	v = json_string(ascii);
	free(ascii);
	return v;
}

void tg_http_reply_error(struct evhttp_request *req, int status,
			 const char *place, const char *fmt, ...)
{
	char *text = NULL;
	va_list ap;
	json_t *body;

	va_start(ap, fmt);
	if (vasprintf(&text, fmt, ap) < 0)
		text = tg_xstrdup(fmt);
	va_end(ap);
	body = json_object();
	json_object_set_new(body, "error", encode_text(text));
	if (place)
		json_object_set_new(body, "place", encode_text(place));
	tg_http_reply_json(req, status, body);
	free(text);
}

json_t *tg_http_parse_json_body(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);
	json_error_t error;
	/* evbuffer_pullup() returns NULL for an empty buffer. */
	const char *text = n ? (char *)evbuffer_pullup(in, -1) : "";
	json_t *v = json_loadb(text, n, JSON_REJECT_DUPLICATES, &error);

	if (v)
		return v;
	tg_log(EV_HTTP_BAD_JSON, "line=%d column=%d", error.line, error.column);
	tg_counter("tg_http_bad_json_total", "Bodies that are not valid JSON.",
		   NULL)
		->value++;
	tg_http_reply_error(req, 400, "body", "line %d, column %d: %s",
			    error.line, error.column, error.text);
	return NULL;
}

json_t *tg_http_findings_to_json(const struct tg_findings *f)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < f->n; i++)
		json_array_append_new(list,
				      json_pack("{s:o, s:o}", "place",
						encode_text(f->items[i].place),
						"text",
						encode_text(f->items[i].text)));
	return json_pack("{s:o, s:I}", "findings", list, "total",
			 (json_int_t)f->total);
}

char *tg_http_decode_path(struct evhttp_request *req)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = uri ? evhttp_uri_get_path(uri) : NULL;
	size_t n;
	char *s;

	if (!path || *path != '/')
		return NULL;
	s = evhttp_uridecode(path, 0, &n);
	if (s && strlen(s) != n) {
		free(s);
		return NULL;
	}
	return s;
}

const char *tg_http_header(struct evhttp_request *req, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(req), name);
}

char *tg_http_query_param(struct evhttp_request *req, const char *name)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *query = uri ? evhttp_uri_get_query(uri) : NULL;
	struct evkeyvalq params;
	const char *v;
	char *s = NULL;

	if (!query || evhttp_parse_query_str(query, &params))
		return NULL;
	v = evhttp_find_header(&params, name);
	if (v)
		s = tg_xstrdup(v);
	evhttp_clear_headers(&params);
	return s;
}

json_t *tg_http_result_json(const struct tg_http_result *r)
{
	size_t n;

	if (r->end != TG_HTTP_COMPLETE)
		return NULL;
	n = evbuffer_get_length(r->body);
	return json_loadb((char *)evbuffer_pullup(r->body, -1), n, 0, NULL);
}

void tg_http_count_bytes(struct bufferevent *bev)
{
	static const char name[] = "tg_http_bytes_total";
	static const char help[] = "Bytes of HTTP received and sent.";

	tg_count_bytes(bufferevent_get_input(bev),
		       tg_counter(name, help, "direction=\"in\""));
	tg_count_bytes(bufferevent_get_output(bev),
		       tg_counter(name, help, "direction=\"out\""));
}
