#include <stdlib.h>
#include <string.h>

#include "plat/plat_internal.h"

#define PAGE_ROWS 500

struct get {
	tg_row_done done;
	void *arg;
};

static void on_row(struct tg_plat *p, const struct tg_http_result *r, void *arg)
{
	enum tg_plat_end end = plat_read_end(r);
	struct get *g = arg;
	struct tg_row row = { 0 };
	json_t *v = NULL;

	(void)p;
	if (end == TG_PLAT_OK) {
		v = tg_http_result_json(r);
		if (!v || !plat_parse_row(v, &row) || !row.value) {
			plat_bad_answer("table/row");
			end = TG_PLAT_UNAVAILABLE;
		}
	}
	g->done(end, end == TG_PLAT_OK ? &row : NULL, g->arg);
	json_decref(v);
	free(g);
}

void tg_row_get(struct tg_plat *p, const char *key, tg_row_done done, void *arg)
{
	struct get *g = tg_xcalloc(1, sizeof(*g));
	char *encoded = evhttp_uriencode(key, -1, 0);
	struct call_opts call = {
		.method = EVHTTP_REQ_GET,
		.uri = tg_xasprintf("/v1/table/row?key=%s", encoded),
		.done = on_row,
		.arg = g,
		.drop = free,
	};

	g->done = done;
	g->arg = arg;
	p->reads->value++;
	plat_call(p, &call);
	free(encoded);
}

struct list {
	char *prefix;
	json_t *rows; /* of all pages so far */
	tg_rows_done done;
	void *arg;
};

static void free_list(void *arg)
{
	struct list *l = arg;

	json_decref(l->rows);
	free(l->prefix);
	free(l);
}

static void end_list(struct list *l, enum tg_plat_end end)
{
	size_t i, n = 0, total = json_array_size(l->rows);
	struct tg_row *rows = tg_xcalloc(total, sizeof(*rows));
	json_t *v;

	json_array_foreach(l->rows, i, v)
		if (plat_parse_row(v, &rows[n]) && rows[n].value)
			n++;
	if (end == TG_PLAT_OK && n != total) {
		plat_bad_answer("table/rows");
		end = TG_PLAT_UNAVAILABLE;
	}
	l->done(end, rows, end == TG_PLAT_OK ? n : 0, l->arg);
	free(rows);
	free_list(l);
}

static void on_page(struct tg_plat *p, const struct tg_http_result *r,
		    void *arg);

static void get_page(struct tg_plat *p, struct list *l)
{
	size_t n = json_array_size(l->rows);
	const char *after = "";
	char *prefix, *enc_after;
	struct call_opts call = {
		.method = EVHTTP_REQ_GET,
		.done = on_page,
		.arg = l,
		.drop = free_list,
	};

	if (n)
		after = json_string_value(
			json_object_get(json_array_get(l->rows, n - 1), "key"));
	prefix = evhttp_uriencode(l->prefix, -1, 0);
	enc_after = evhttp_uriencode(after ? after : "", -1, 0);
	call.uri = tg_xasprintf("/v1/table/rows?prefix=%s&after=%s&limit=%d",
				prefix, enc_after, PAGE_ROWS);
	p->reads->value++;
	plat_call(p, &call);
	free(prefix);
	free(enc_after);
}

static void on_page(struct tg_plat *p, const struct tg_http_result *r,
		    void *arg)
{
	enum tg_plat_end end = plat_read_end(r);
	struct list *l = arg;
	json_t *v, *page;

	if (end != TG_PLAT_OK) {
		end_list(l, TG_PLAT_UNAVAILABLE);
		return;
	}
	v = tg_http_result_json(r);
	page = json_object_get(v, "rows");
	json_array_extend(l->rows, page);
	if (json_is_true(json_object_get(v, "more")) && json_array_size(page))
		get_page(p, l);
	else if (json_is_array(page))
		end_list(l, TG_PLAT_OK);
	else
		end_list(l, TG_PLAT_UNAVAILABLE);
	json_decref(v);
}

void tg_rows_list(struct tg_plat *p, const char *prefix, tg_rows_done done,
		  void *arg)
{
	struct list *l = tg_xcalloc(1, sizeof(*l));

	l->prefix = tg_xstrdup(prefix);
	l->rows = json_array();
	l->done = done;
	l->arg = arg;
	get_page(p, l);
}
