#include <stdlib.h>
#include <string.h>

#include "plat/plat_internal.h"

#define ROWS_PER_PAGE 500

struct row_read {
	tg_row_done done;
	void *arg;
};

static void on_row(struct tg_plat *p, const struct tg_http_result *r, void *arg)
{
	enum tg_plat_result result = plat_read_result(r);
	struct row_read *read = arg;
	struct tg_row row = { 0 };
	json_t *v = NULL;

	(void)p;
	if (result == TG_PLAT_OK) {
		v = tg_http_result_json(r);
		if (!v || !plat_parse_row(v, &row) || !row.value) {
			plat_report_bad_answer("table/row");
			result = TG_PLAT_UNAVAILABLE;
		}
	}
	read->done(result, result == TG_PLAT_OK ? &row : NULL, read->arg);
	json_decref(v);
	free(read);
}

void tg_row_get(struct tg_plat *p, const char *key, tg_row_done done, void *arg)
{
	struct row_read *read = tg_xcalloc(1, sizeof(*read));
	char *encoded_key = evhttp_uriencode(key, -1, 0);
	struct call_opts call = {
		.method = EVHTTP_REQ_GET,
		.uri = tg_xasprintf("/v1/table/row?key=%s", encoded_key),
		.done = on_row,
		.arg = read,
		.free_arg = free,
	};

	read->done = done;
	read->arg = arg;
	p->reads->value++;
	plat_call(p, &call);
	free(encoded_key);
}

struct rows_read {
	char *prefix;
	json_t *rows; /* of all pages read so far */
	tg_rows_done done;
	void *arg;
};

static void free_rows_read(void *arg)
{
	struct rows_read *read = arg;

	json_decref(read->rows);
	free(read->prefix);
	free(read);
}

/* Reports the rows, or an error if one of them is invalid; frees @read. */
static void complete_rows_read(struct rows_read *read,
			       enum tg_plat_result result)
{
	size_t i, n = 0, total = json_array_size(read->rows);
	struct tg_row *rows = tg_xcalloc(total, sizeof(*rows));
	json_t *v;

	json_array_foreach(read->rows, i, v)
		if (plat_parse_row(v, &rows[n]) && rows[n].value)
			n++;
	if (result == TG_PLAT_OK && n != total) {
		plat_report_bad_answer("table/rows");
		result = TG_PLAT_UNAVAILABLE;
	}
	read->done(result, rows, result == TG_PLAT_OK ? n : 0, read->arg);
	free(rows);
	free_rows_read(read);
}

static void on_page(struct tg_plat *p, const struct tg_http_result *r,
		    void *arg);

static void request_page(struct tg_plat *p, struct rows_read *read)
{
	size_t n = json_array_size(read->rows);
	const char *after_key = "";
	char *encoded_prefix, *encoded_after;
	struct call_opts call = {
		.method = EVHTTP_REQ_GET,
		.done = on_page,
		.arg = read,
		.free_arg = free_rows_read,
	};

	if (n)
		after_key = json_string_value(json_object_get(
			json_array_get(read->rows, n - 1), "key"));
	encoded_prefix = evhttp_uriencode(read->prefix, -1, 0);
	encoded_after = evhttp_uriencode(after_key ? after_key : "", -1, 0);
	call.uri = tg_xasprintf("/v1/table/rows?prefix=%s&after=%s&limit=%d",
				encoded_prefix, encoded_after, ROWS_PER_PAGE);
	p->reads->value++;
	plat_call(p, &call);
	free(encoded_prefix);
	free(encoded_after);
}

static void on_page(struct tg_plat *p, const struct tg_http_result *r,
		    void *arg)
{
	enum tg_plat_result result = plat_read_result(r);
	struct rows_read *read = arg;
	json_t *v, *page;

	if (result != TG_PLAT_OK) {
		complete_rows_read(read, TG_PLAT_UNAVAILABLE);
		return;
	}
	v = tg_http_result_json(r);
	page = json_object_get(v, "rows");
	json_array_extend(read->rows, page);
	if (json_is_true(json_object_get(v, "more")) && json_array_size(page))
		request_page(p, read);
	else if (json_is_array(page))
		complete_rows_read(read, TG_PLAT_OK);
	else
		complete_rows_read(read, TG_PLAT_UNAVAILABLE);
	json_decref(v);
}

void tg_rows_list(struct tg_plat *p, const char *prefix, tg_rows_done done,
		  void *arg)
{
	struct rows_read *read = tg_xcalloc(1, sizeof(*read));

	read->prefix = tg_xstrdup(prefix);
	read->rows = json_array();
	read->done = done;
	read->arg = arg;
	request_page(p, read);
}
