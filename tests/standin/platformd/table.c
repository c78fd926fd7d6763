#include <stdlib.h>
#include <string.h>

#include "platformd.h"

#define BODY_MAX (1 << 20)
#define ITEMS_MAX 128
#define KEY_MAX 200
#define PAGE_MAX 500
/* Bounds memory; a test that writes more sees "dropped" in the history. */
#define HISTORY_MAX 200000

bool key_valid(const char *s)
{
	size_t n = s ? strspn(s,
			      "abcdefghijklmnopqrstuvwxyz"
			      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			      "0123456789._/-") :
		       0;

	return n && !s[n] && n <= KEY_MAX;
}

static struct row *find_row(const struct board *b, const char *key)
{
	struct row *r;

	HASH_FIND_STR(b->rows, key, r);
	return r;
}

static json_t *row_json(const char *key, const struct row *r)
{
	if (!r)
		return json_pack("{s:s, s:i}", "key", key, "version", 0);
	return json_pack("{s:s, s:I, s:s, s:O}", "key", key, "version",
			 (json_int_t)r->version, "token", r->token, "value",
			 r->value);
}

static void record(struct board *b, const char *key, uint64_t version,
		   const char *token, json_t *value)
{
	if (json_array_size(b->history) >= HISTORY_MAX) {
		b->history_dropped++;
		return;
	}
	json_array_append_new(b->history,
			      json_pack("{s:s, s:I, s:s, s:O?, s:I}", "key",
					key, "version", (json_int_t)version,
					"token", token, "value", value, "at_ms",
					(json_int_t)tg_now_ms()));
}

static uint64_t put_row(struct board *b, const char *key, const char *token,
			json_t *value)
{
	struct row *r = find_row(b, key);

	if (!r) {
		r = tg_xcalloc(1, sizeof(*r));
		r->key = tg_xstrdup(key);
		HASH_ADD_KEYPTR(hh, b->rows, r->key, strlen(r->key), r);
	}
	free(r->token);
	json_decref(r->value);
	r->token = tg_xstrdup(token);
	r->value = json_incref(value);
	r->version++;
	record(b, key, r->version, token, value);
	return r->version;
}

static void delete_row(struct board *b, const char *key, const char *token)
{
	struct row *r = find_row(b, key);

	if (!r)
		return;
	record(b, key, 0, token, NULL);
	HASH_DEL(b->rows, r);
	json_decref(r->value);
	free(r->token);
	free(r->key);
	free(r);
}

/* Where and why a transaction is invalid. */
struct fault {
	char place[64];
	const char *text;
};

static bool set_fault(struct fault *f, const char *list, size_t i,
		      const char *field, const char *text)
{
	snprintf(f->place, sizeof(f->place), "/%s/%zu%s%s", list, i,
		 *field ? "/" : "", field);
	f->text = text;
	return false;
}

static bool check_if(const json_t *v, size_t i, struct fault *f)
{
	const json_t *version = json_object_get(v, "version");

	if (!key_valid(json_string_value(json_object_get(v, "key"))))
		return set_fault(f, "if", i, "key", "not a valid key");
	if (!json_is_integer(version) || json_integer_value(version) < 0)
		return set_fault(f, "if", i, "version", "not a version");
	return true;
}

static bool check_put(const json_t *v, size_t i, struct fault *f)
{
	if (!key_valid(json_string_value(json_object_get(v, "key"))))
		return set_fault(f, "put", i, "key", "not a valid key");
	if (!json_is_object(json_object_get(v, "value")))
		return set_fault(f, "put", i, "value", "not an object");
	return true;
}

static bool check_delete(const json_t *v, size_t i, struct fault *f)
{
	return key_valid(json_string_value(v)) ||
		set_fault(f, "delete", i, "", "not a valid key");
}

static bool check_list(const json_t *txn, const char *name,
		       bool (*check)(const json_t *v, size_t i,
				     struct fault *f),
		       struct fault *f)
{
	const json_t *list = json_object_get(txn, name);
	size_t i;
	json_t *v;

	if (!list)
		return true;
	snprintf(f->place, sizeof(f->place), "/%s", name);
	f->text = "not an array";
	if (!json_is_array(list))
		return false;
	f->text = "more than 128 entries";
	if (json_array_size(list) > ITEMS_MAX)
		return false;
	json_array_foreach(list, i, v) {
		if (!check(v, i, f))
			return false;
	}
	return true;
}

static bool has_name(const json_t *seen, const char *key)
{
	return json_object_get(seen, key) != NULL;
}

/* Two changes of one row in a transaction have no defined order. */
static bool check_changes(const json_t *txn, struct fault *f)
{
	const json_t *puts = json_object_get(txn, "put");
	const json_t *deletes = json_object_get(txn, "delete");
	json_t *seen = json_object(), *v;
	bool ok = true;
	size_t i;

	json_array_foreach(puts, i, v) {
		const char *key = json_string_value(json_object_get(v, "key"));

		if (ok && has_name(seen, key))
			ok = set_fault(f, "put", i, "key", "changed twice");
		json_object_set_new(seen, key, json_true());
	}
	json_array_foreach(deletes, i, v) {
		if (ok && has_name(seen, json_string_value(v)))
			ok = set_fault(f, "delete", i, "", "changed twice");
		json_object_set_new(seen, json_string_value(v), json_true());
	}
	if (ok && json_object_size(seen) > ITEMS_MAX) {
		snprintf(f->place, sizeof(f->place), "/put");
		f->text = "more than 128 puts and deletes";
		ok = false;
	}
	json_decref(seen);
	return ok;
}

static bool check_txn(const json_t *txn, struct fault *f)
{
	const char *token = json_string_value(json_object_get(txn, "token"));

	snprintf(f->place, sizeof(f->place), "/token");
	f->text = "a token of 1 to 64 characters is required";
	if (!token || !*token || strlen(token) > 64)
		return false;
	return check_list(txn, "if", check_if, f) &&
		check_list(txn, "put", check_put, f) &&
		check_list(txn, "delete", check_delete, f) &&
		check_changes(txn, f);
}

static json_t *find_conflicts(const struct board *b, const json_t *txn)
{
	json_t *conflicts = json_array(), *v;
	size_t i;

	json_array_foreach(json_object_get(txn, "if"), i, v) {
		const char *key = json_string_value(json_object_get(v, "key"));
		const struct row *r = find_row(b, key);

		if ((json_int_t)(r ? r->version : 0) !=
		    json_integer_value(json_object_get(v, "version")))
			json_array_append_new(conflicts, row_json(key, r));
	}
	return conflicts;
}

static json_t *apply(struct board *b, const json_t *txn)
{
	const char *token = json_string_value(json_object_get(txn, "token"));
	json_t *versions = json_object(), *v;
	size_t i;

	json_array_foreach(json_object_get(txn, "put"), i, v) {
		const char *key = json_string_value(json_object_get(v, "key"));
		uint64_t version =
			put_row(b, key, token, json_object_get(v, "value"));

		json_object_set_new(versions, key,
				    json_integer((json_int_t)version));
	}
	json_array_foreach(json_object_get(txn, "delete"), i, v)
		delete_row(b, json_string_value(v), token);
	return versions;
}

static void run_txn(struct call *c)
{
	json_t *txn = call_json(c, BODY_MAX), *conflicts;
	struct fault f;

	if (!txn)
		return;
	if (!check_txn(txn, &f)) {
		call_error(c, 400, f.place, f.text);
		goto out;
	}
	conflicts = find_conflicts(c->board, txn);
	if (json_array_size(conflicts)) {
		call_reply(c, 409,
			   json_pack("{s:b, s:o}", "committed", 0, "conflicts",
				     conflicts));
		goto out;
	}
	json_decref(conflicts);
	call_reply(c, 200,
		   json_pack("{s:b, s:o}", "committed", 1, "versions",
			     apply(c->board, txn)));
out:
	json_decref(txn);
}

static void run_row(struct call *c)
{
	char *key = tg_http_query_param(c->req, "key");
	const struct row *r = NULL;

	if (!key_valid(key))
		call_error(c, 400, "key", "not a valid key");
	else if (!(r = find_row(c->board, key)))
		call_error(c, 404, "key", "no such row");
	else
		call_reply(c, 200, row_json(key, r));
	free(key);
}

struct match {
	const struct row *row;
};

static int by_key(const void *a, const void *b)
{
	const struct match *x = a, *y = b;

	return strcmp(x->row->key, y->row->key);
}

/* Rows of @prefix after @after in order; the caller frees the array. */
static struct match *select_rows(const struct board *b, const char *prefix,
				 const char *after, size_t *n)
{
	struct match *list = tg_xcalloc(HASH_COUNT(b->rows), sizeof(*list));
	struct row *r, *tmp;

	*n = 0;
	HASH_ITER(hh, b->rows, r, tmp) {
		if (!strncmp(r->key, prefix, strlen(prefix)) &&
		    strcmp(r->key, after) > 0)
			list[(*n)++].row = r;
	}
	qsort(list, *n, sizeof(*list), by_key);
	return list;
}

/* -1 if the parameter is no number within 1..PAGE_MAX. */
static int get_limit(struct evhttp_request *req)
{
	char *s = tg_http_query_param(req, "limit"), *end;
	long v = PAGE_MAX;

	if (s) {
		v = strtol(s, &end, 10);
		if (end == s || *end || v < 1 || v > PAGE_MAX)
			v = -1;
	}
	free(s);
	return (int)v;
}

static void run_rows(struct call *c)
{
	char *prefix = tg_http_query_param(c->req, "prefix");
	char *after = tg_http_query_param(c->req, "after");
	int limit = get_limit(c->req);
	json_t *rows;
	struct match *list;
	size_t i, n;

	if (limit < 0) {
		call_error(c, 400, "limit", "not within 1..500");
		goto out;
	}
	list = select_rows(c->board, prefix ? prefix : "", after ? after : "",
			   &n);
	rows = json_array();
	for (i = 0; i < n && i < (size_t)limit; i++)
		json_array_append_new(rows,
				      row_json(list[i].row->key, list[i].row));
	free(list);
	call_reply(c, 200,
		   json_pack("{s:o, s:b}", "rows", rows, "more",
			     n > (size_t)limit));
out:
	free(prefix);
	free(after);
}

void table_txn(struct evhttp_request *req, void *arg)
{
	call_start(arg, req, SERVICE_TABLE, true, run_txn);
}

void table_row(struct evhttp_request *req, void *arg)
{
	call_start(arg, req, SERVICE_TABLE, false, run_row);
}

void table_rows(struct evhttp_request *req, void *arg)
{
	call_start(arg, req, SERVICE_TABLE, false, run_rows);
}

void table_history(struct evhttp_request *req, void *arg)
{
	struct board *b = arg;
	char *prefix = tg_http_query_param(req, "prefix");
	size_t n = prefix ? strlen(prefix) : 0, i;
	json_t *list = json_array(), *v;

	json_array_foreach(b->history, i, v) {
		const char *key = json_string_value(json_object_get(v, "key"));

		if (!n || !strncmp(key, prefix, n))
			json_array_append(list, v);
	}
	free(prefix);
	tg_http_reply_json(req, 200,
			   json_pack("{s:o, s:I}", "history", list, "dropped",
				     (json_int_t)b->history_dropped));
}
