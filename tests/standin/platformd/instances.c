#include <stdlib.h>
#include <string.h>

#include "platformd.h"

#define PREFIX "/standin/instances/"

/* The list shows a change only list_lag_ms after it was made. */
static void make_due(struct board *b)
{
	int64_t now_ms = tg_now_ms();

	while (b->changes && b->changes->due_ms <= now_ms) {
		struct change *c = b->changes;

		b->changes = c->next;
		if (!b->changes)
			b->changes_tail = &b->changes;
		if (c->entry)
			json_object_set_new(b->list, c->name, c->entry);
		else
			json_object_del(b->list, c->name);
		free(c->name);
		free(c);
	}
}

static void add_change(struct board *b, const char *name, json_t *entry)
{
	struct change *c = tg_xcalloc(1, sizeof(*c));

	c->due_ms = tg_now_ms() + b->opts.list_lag_ms;
	c->name = tg_xstrdup(name);
	c->entry = json_incref(entry);
	*b->changes_tail = c;
	b->changes_tail = &c->next;
}

/* Whether the caller has the list; sets the header that names it. */
static bool is_known(struct call *c, const json_t *list)
{
	const char *has = tg_http_header(c->req, "If-None-Match");
	char *text = json_dumps(list, JSON_COMPACT);
	char tag[24];

	snprintf(tag, sizeof(tag), "\"%016llx\"",
		 (unsigned long long)tg_hash64(text, strlen(text)));
	free(text);
	evhttp_add_header(evhttp_request_get_output_headers(c->req), "ETag",
			  tag);
	return has && !strcmp(has, tag);
}

static void run_list(struct call *c)
{
	char *az = tg_http_query_param(c->req, "az");
	json_t *list = json_array(), *v;
	const char *name;

	make_due(c->board);
	json_object_foreach(c->board->list, name, v) {
		const char *in = json_string_value(json_object_get(v, "az"));

		if (!az || !strcmp(az, in))
			json_array_append(list, v);
	}
	free(az);
	if (is_known(c, list)) {
		json_decref(list);
		call_reply_bytes(c, 304, "", 0);
		return;
	}
	call_reply(c, 200,
		   json_pack("{s:I, s:o}", "as_of_ms",
			     (json_int_t)(tg_wall_ms() -
					  c->board->opts.list_lag_ms),
			     "instances", list));
}

void instances_list(struct evhttp_request *req, void *arg)
{
	call_start(arg, req, SERVICE_INSTANCES, false, run_list);
}

static bool is_one_of(const char *s, const char *const *names)
{
	for (; s && *names; names++)
		if (!strcmp(s, *names))
			return true;
	return false;
}

static const char *find_fault(const json_t *v)
{
	static const char *const kinds[] = { "worker", "entry", "sched",
					     "console", NULL };
	static const char *const states[] = { "live", "leaving", NULL };

	if (!tg_name_valid(json_string_value(json_object_get(v, "name"))))
		return "/name";
	if (!is_one_of(json_string_value(json_object_get(v, "kind")), kinds))
		return "/kind";
	if (!tg_name_valid(json_string_value(json_object_get(v, "az"))))
		return "/az";
	if (!tg_addr_valid(json_string_value(json_object_get(v, "addr"))))
		return "/addr";
	if (!is_one_of(json_string_value(json_object_get(v, "state")), states))
		return "/state";
	return NULL;
}

void instances_put(struct evhttp_request *req, void *arg)
{
	json_t *v = tg_http_parse_json_body(req);
	const char *place;

	if (!v)
		return;
	if (!json_object_get(v, "state"))
		json_object_set_new(v, "state", json_string("live"));
	place = find_fault(v);
	if (place) {
		tg_http_reply_error(req, 400, place, "missing or invalid");
	} else {
		add_change(arg, json_string_value(json_object_get(v, "name")),
			   v);
		tg_http_reply_json(req, 200, json_pack("{s:b}", "ok", 1));
	}
	json_decref(v);
}

void instances_delete(struct evhttp_request *req, void *arg)
{
	char *path = tg_http_decode_path(req);

	add_change(arg, path + strlen(PREFIX), NULL);
	free(path);
	tg_http_reply_json(req, 200, json_pack("{s:b}", "ok", 1));
}
