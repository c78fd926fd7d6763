#include <nettle/base64.h>
#include <stdlib.h>
#include <string.h>

#include "sited.h"

/* Time of an answer of a slow store. */
#define SLOW_MS 150
#define SLUGGISH_MS 900
/* Delay of an answer of what the store held before. */
#define LATE_MS 650
/* Bandwidth of a connection to a narrow door. */
#define NARROW_BYTES_PER_S 40000

/* Limits of a transaction, and of an answer with rows. */
#define TX_ENTRIES_MAX 100
#define CALL_BYTES_MAX 1000000
#define NAME_BYTES_MAX 200
#define ANSWER_ROWS_MAX 500

struct waiting {
	struct evhttp_request *req;
	const struct store_door *door;
	char table[KEY_BYTES];
	int64_t after;
	bool answered;
	struct waiting *next;
};

static struct waiting *waitings;

/* A change of a row, as the feed returns it; in order of their versions. */
struct change {
	char table[KEY_BYTES];
	int64_t ver;
	json_t *row;
	struct change *next;
};

static struct change *changes, **changes_tail = &changes;

static const char *text_of(const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s ? s : "";
}

static struct row *find_row(const json_t *o)
{
	char id[3 * KEY_BYTES];
	struct row *r;

	snprintf(id, sizeof(id), "%s\x01%s\x01%s", text_of(o, "table"),
		 text_of(o, "part"), text_of(o, "key"));
	HASH_FIND_STR(board.rows, id, r);
	return r;
}

static struct row *make_row(const json_t *o)
{
	struct row *r = find_row(o);

	if (r)
		return r;
	r = tg_xcalloc(1, sizeof(*r));
	tg_strlcpy(r->table, text_of(o, "table"), sizeof(r->table));
	tg_strlcpy(r->part, text_of(o, "part"), sizeof(r->part));
	tg_strlcpy(r->key, text_of(o, "key"), sizeof(r->key));
	snprintf(r->id, sizeof(r->id), "%s\x01%s\x01%s", r->table, r->part,
		 r->key);
	HASH_ADD_STR(board.rows, id, r);
	return r;
}

static json_t *encode(const struct row *r)
{
	json_t *o =
		json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part",
			  r->part, "key", r->key, "ver", (json_int_t)r->ver);

	if (r->deleted)
		json_object_set_new(o, "deleted", json_true());
	else
		json_object_set_new(o, "value", json_string(r->value));
	return o;
}

static json_t *answer(json_t *rows)
{
	return json_pack("{s:o,s:I,s:I}", "rows", rows, "ver",
			 (json_int_t)board.ver, "now-ms",
			 (json_int_t)tg_now_ms());
}

static int by_key(struct row *a, struct row *b)
{
	return strcmp(a->id, b->id);
}

static void record_change(const struct row *r)
{
	struct change *c = tg_xcalloc(1, sizeof(*c));

	tg_strlcpy(c->table, r->table, sizeof(c->table));
	c->ver = r->ver;
	c->row = encode(r);
	*changes_tail = c;
	changes_tail = &c->next;
}

/* --- feed --- */

/* Each version of a row that has changed several times. */
static json_t *changed(const char *table, int64_t after)
{
	json_t *rows = json_array();
	const struct change *c;

	for (c = changes; c; c = c->next)
		if (c->ver > after && !strcmp(c->table, table))
			json_array_append(rows, c->row);
	return rows;
}

static void forget_waiting(struct waiting *w)
{
	struct waiting **p = &waitings;

	while (*p != w)
		p = &(*p)->next;
	*p = w->next;
}

static bool is_silent(const struct store_door *d)
{
	return !strcmp(d->mode, "silent");
}

static bool is_refusing(const struct store_door *d)
{
	return !strcmp(d->mode, "refuse");
}

/* No change arrives through a door that fails. */
static void fail_feed(struct waiting *w)
{
	if (is_refusing(w->door))
		tg_http_reply_error(w->req, 503, NULL, "refused");
	else
		close_without_reply(board.base, w->req, NO_REPLY_MS, NULL,
				    NULL);
}

static void feed_timeout(void *arg)
{
	struct waiting *w = arg;

	if (!w->answered) {
		forget_waiting(w);
		if (is_refusing(w->door) || is_silent(w->door))
			fail_feed(w);
		else
			tg_http_reply_json(w->req, 200, answer(json_array()));
	}
	free(w);
}

/* Bandwidth of the connections to a store door; 0 for no limit. */
static int64_t bandwidth(const struct store_door *d)
{
	if (!strncmp(d->mode, "rate:", 5))
		return strtoll(d->mode + 5, NULL, 10);
	return strcmp(d->mode, "narrow") != 0 ? 0 : NARROW_BYTES_PER_S;
}

static void answer_feeds(void)
{
	struct waiting *w, *next;

	for (w = waitings; w; w = next) {
		json_t *rows = changed(w->table, w->after);

		next = w->next;
		if (!json_array_size(rows)) {
			json_decref(rows);
			continue;
		}
		forget_waiting(w);
		w->answered = true;
		if (is_refusing(w->door) || is_silent(w->door)) {
			json_decref(rows);
			fail_feed(w);
			continue;
		}
		limit_bandwidth(w->req, bandwidth(w->door));
		tg_http_reply_json(w->req, 200, answer(rows));
	}
}

static int64_t query_int(struct evhttp_request *req, const char *name)
{
	char *s = tg_http_query_param(req, name);
	int64_t v = s ? strtoll(s, NULL, 10) : 0;

	free(s);
	return v;
}

static void feed(struct evhttp_request *req, const struct store_door *d)
{
	struct waiting *w = tg_xcalloc(1, sizeof(*w));
	char *table = tg_http_query_param(req, "table");
	json_t *rows;

	w->req = req;
	w->door = d;
	w->after = query_int(req, "after");
	tg_strlcpy(w->table, table ? table : "", sizeof(w->table));
	free(table);
	if (w->after < board.history_from) {
		tg_http_reply_error(req, 410, NULL, "history is gone");
		free(w);
		return;
	}
	rows = changed(w->table, w->after);
	if (json_array_size(rows)) {
		tg_http_reply_json(req, 200, answer(rows));
		free(w);
		return;
	}
	json_decref(rows);
	w->next = waitings;
	waitings = w;
	delay_call(board.base, query_int(req, "wait-ms"), feed_timeout, w);
}

/* --- rows --- */

struct late_answer {
	struct evhttp_request *req;
	json_t *body;
};

static void send_late_answer(void *arg)
{
	struct late_answer *l = arg;

	tg_http_reply_json(l->req, 200, l->body);
	free(l);
}

static void reply_rows(struct evhttp_request *req, json_t *body,
		       const char *mode)
{
	struct late_answer *l;

	if (strcmp(mode, "late") != 0) {
		tg_http_reply_json(req, 200, body);
		return;
	}
	l = tg_xcalloc(1, sizeof(*l));
	l->req = req;
	l->body = body;
	delay_call(board.base, LATE_MS, send_late_answer, l);
}

static void get(struct evhttp_request *req, const char *mode)
{
	char *table = tg_http_query_param(req, "table");
	char *part = tg_http_query_param(req, "part");
	char *from = tg_http_query_param(req, "from");
	char *to = tg_http_query_param(req, "to");
	int64_t limit = query_int(req, "limit");
	json_t *rows = json_array(), *body;
	bool more = false;
	size_t bytes = 0;
	struct row *r;

	HASH_SORT(board.rows, by_key);
	for (r = board.rows; r; r = r->hh.next) {
		if (r->deleted || !table || strcmp(r->table, table) != 0 ||
		    strcmp(r->part, part ? part : "") != 0 ||
		    (from && strcmp(r->key, from) < 0) ||
		    (to && strcmp(r->key, to) >= 0))
			continue;
		bytes += strlen(r->value) + strlen(r->id);
		if (json_array_size(rows) ==
			    (size_t)(limit ? limit : ANSWER_ROWS_MAX) ||
		    (json_array_size(rows) && bytes > CALL_BYTES_MAX)) {
			more = true;
			break;
		}
		json_array_append_new(rows, encode(r));
	}
	body = answer(rows);
	if (more)
		json_object_set_new(body, "has-more", json_true());
	reply_rows(req, body, mode);
	free(table);
	free(part);
	free(from);
	free(to);
}

/* Decoded size of a value. */
static int64_t value_bytes(const json_t *o)
{
	const char *value = text_of(o, "value");
	size_t n = strlen(value);

	while (n && value[n - 1] == '=')
		n--;
	return (int64_t)(n * 3 / 4);
}

static bool names_fit(const json_t *o)
{
	return strlen(text_of(o, "table")) <= NAME_BYTES_MAX &&
		strlen(text_of(o, "part")) <= NAME_BYTES_MAX &&
		strlen(text_of(o, "key")) <= NAME_BYTES_MAX;
}

static bool is_named(const json_t *o, const char *row)
{
	char name[2 * KEY_BYTES];

	snprintf(name, sizeof(name), "%s/%s", text_of(o, "table"),
		 text_of(o, "key"));
	return !strcmp(name, row);
}

static bool is_rejected(const json_t *o)
{
	return is_named(o, board.rejected) || !strcmp(board.rejected, "*");
}

static bool deletes_kept_row(const json_t *body)
{
	json_t *o;
	size_t i;

	json_array_foreach(json_object_get(body, "deletes"), i, o)
		if (is_named(o, board.kept_row))
			return true;
	return false;
}

/* Why the transaction is refused, or NULL. */
static const char *find_excess(const json_t *body, size_t bytes)
{
	static const char *const lists[] = { "expected", "puts", "deletes" };
	bool across = json_is_true(json_object_get(body, "across"));
	const char *part = NULL;
	size_t entries = 0, i, k;
	json_t *o;

	for (k = 0; k < ARRAY_SIZE(lists); k++)
		json_array_foreach(json_object_get(body, lists[k]), i, o) {
			entries++;
			if (!names_fit(o))
				return "name too long";
			if (is_rejected(o))
				return "rejected row";
			if (value_bytes(o) > board.opts.row_bytes)
				return "row too large";
			if (!part)
				part = text_of(o, "part");
			if (!across && strcmp(part, text_of(o, "part")) != 0)
				return "several parts";
		}
	if (entries > TX_ENTRIES_MAX)
		return "too many entries";
	return bytes > CALL_BYTES_MAX ? "call too large" : NULL;
}

static bool expected_holds(const json_t *list, json_t **current)
{
	bool holds = true;
	json_t *o;
	size_t i;

	*current = json_array();
	json_array_foreach(list, i, o) {
		struct row *r = find_row(o);
		int64_t ver = r && !r->deleted ? r->ver : 0;

		if (ver != json_integer_value(json_object_get(o, "ver")))
			holds = false;
		if (ver)
			json_array_append_new(*current, encode(r));
	}
	return holds;
}

static void put_row(const json_t *o, bool deleted)
{
	struct row *r = make_row(o);

	free(r->value);
	r->value = tg_xstrdup(text_of(o, "value"));
	r->ver = board.ver;
	/* A row that is written again says what it said before. */
	if (r->deleted || !r->put_ms)
		r->put_ms = tg_now_ms();
	r->deleted = deleted;
	judge_row(r);
	record_change(r);
}

static void transact(struct evhttp_request *req, const char *mode)
{
	bool answered = strcmp(mode, "lose") != 0;
	size_t bytes =
		evbuffer_get_length(evhttp_request_get_input_buffer(req));
	json_t *body = tg_http_parse_json_body(req), *current, *o;
	const char *excess;
	size_t i;

	if (!body)
		return;
	board.write_bytes += (int64_t)bytes;
	if (deletes_kept_row(body)) {
		tg_http_reply_error(req, 503, NULL, "kept row");
		json_decref(body);
		return;
	}
	excess = find_excess(body, bytes);
	if (excess) {
		board.refused++;
		tg_http_reply_error(req, 400, NULL, "%s", excess);
		json_decref(body);
		return;
	}
	if (!expected_holds(json_object_get(body, "expected"), &current)) {
		if (answered)
			tg_http_reply_json(req, 412, answer(current));
	} else {
		json_decref(current);
		board.ver++;
		json_array_foreach(json_object_get(body, "puts"), i, o)
			put_row(o, false);
		json_array_foreach(json_object_get(body, "deletes"), i, o)
			put_row(o, true);
		if (answered)
			reply_rows(req, answer(json_array()), mode);
		answer_feeds();
	}
	if (!answered)
		close_without_reply(board.base, req, NO_REPLY_MS, NULL, NULL);
	json_decref(body);
}

struct slow {
	struct evhttp_request *req;
	const struct store_door *door;
};

static void handle(struct evhttp_request *req, const struct store_door *d);

static void handle_slow(void *arg)
{
	struct slow *s = arg;

	handle(s->req, s->door);
	free(s);
}

void store_request(struct evhttp_request *req, void *arg)
{
	const struct store_door *d = arg;
	bool sluggish = !strcmp(d->mode, "sluggish");
	struct slow *s;

	if (!sluggish && strcmp(d->mode, "slow") != 0) {
		handle(req, d);
		return;
	}
	s = tg_xcalloc(1, sizeof(*s));
	s->req = req;
	s->door = d;
	delay_call(board.base, sluggish ? SLUGGISH_MS : SLOW_MS, handle_slow,
		   s);
}

static void handle(struct evhttp_request *req, const struct store_door *d)
{
	char *path = tg_http_decode_path(req);
	bool tx = path && !strcmp(path, "/rows-tx");

	limit_bandwidth(req, bandwidth(d));
	if (tx)
		board.writes++;
	else
		board.reads++;
	if (is_refusing(d))
		tg_http_reply_error(req, 503, NULL, "refused");
	else if (is_silent(d))
		close_without_reply(board.base, req, NO_REPLY_MS, NULL, NULL);
	else if (tx)
		transact(req, d->mode);
	else if (path && !strcmp(path, "/rows-get"))
		get(req, d->mode);
	else if (path && !strcmp(path, "/rows-feed"))
		feed(req, d);
	else
		tg_http_reply_error(req, 404, "path", "no such call");
	free(path);
}

static json_t *plain_key(const char *table, const char *key)
{
	return json_pack("{s:s,s:s,s:s}", "table", table, "part", "", "key",
			 key);
}

void store_put_in(const char *table, const char *part, const char *key,
		  const char *text)
{
	size_t n = strlen(text);
	char *value = tg_xcalloc(1, BASE64_ENCODE_RAW_LENGTH(n) + 1);
	json_t *o = plain_key(table, key);

	base64_encode_raw(value, n, (const uint8_t *)text);
	json_object_set_new(o, "part", json_string(part));
	json_object_set_new(o, "value", json_string(value));
	board.ver++;
	put_row(o, false);
	answer_feeds();
	json_decref(o);
	free(value);
}

void store_put(const char *table, const char *key, const char *text)
{
	store_put_in(table, "", key, text);
}

void store_delete(const char *table, const char *key)
{
	json_t *o = plain_key(table, key);

	if (find_row(o)) {
		board.ver++;
		put_row(o, true);
		answer_feeds();
	}
	json_decref(o);
}

int64_t store_put_ms(const char *table, const char *key)
{
	char id[3 * KEY_BYTES];
	struct row *r;

	snprintf(id, sizeof(id), "%s\x01\x01%s", table, key);
	HASH_FIND_STR(board.rows, id, r);
	return r && !r->deleted ? r->put_ms : 0;
}

int64_t store_count(const char *table)
{
	const struct row *r;
	int64_t n = 0;

	for (r = board.rows; r; r = r->hh.next)
		n += !r->deleted && !strcmp(r->table, table);
	return n;
}
