#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "site/docchange.h"

/*
 * A row of a change is a JSON object: numbers and digest of the change, index
 * of the row, whether it is the last one, and lists of removed digests, queues
 * and workspaces.  Items are arrays, since names of members would take more
 * space than their values.
 */

/* Part of a row that items may take by their estimated sizes. */
#define ITEMS_PERCENT 70
/* Bytes of a digest, and of an item besides its strings. */
#define DIGEST_BYTES 19
#define ITEM_BYTES 80
#define NUMBER_DIGITS 17

/* --- encoding --- */

struct encoder {
	const struct tg_site_doc *doc;
	int64_t from;
	json_t *row, *removed, *queues, *workspaces;
	size_t bytes; /* estimated size of the row in progress */
	size_t row_bytes; /* largest size */
	char **texts;
	size_t n;
	bool too_large;
};

static json_t *encode_digest(uint64_t digest)
{
	char text[20];

	snprintf(text, sizeof(text), "%016llx", (unsigned long long)digest);
	return json_string(text);
}

static void begin_row(struct encoder *e)
{
	e->removed = json_array();
	e->queues = json_array();
	e->workspaces = json_array();
	e->row = json_pack("{s:I,s:I,s:I,s:I,s:o,s:I,s:I,s:o,s:o,s:o}", "from",
			   (json_int_t)e->from, "to",
			   (json_int_t)e->doc->generation, "row-version",
			   (json_int_t)e->doc->row_version, "row-bytes",
			   (json_int_t)e->doc->row_bytes, "digest",
			   encode_digest(tg_site_doc_digest(e->doc)),
			   "body-bytes", (json_int_t)e->doc->body_bytes,
			   "index", (json_int_t)e->n, "removed", e->removed,
			   "queues", e->queues, "workspaces", e->workspaces);
	e->bytes = 0;
}

static void end_row(struct encoder *e, bool last)
{
	char *text;

	json_object_set_new(e->row, "last", json_boolean(last));
	text = json_dumps(e->row,
			  JSON_COMPACT | JSON_REAL_PRECISION(NUMBER_DIGITS));
	json_decref(e->row);
	e->too_large |= !text || strlen(text) > e->row_bytes;
	e->texts = tg_xrealloc(e->texts, (e->n + 1) * sizeof(*e->texts));
	e->texts[e->n++] = text;
}

static void add_item(struct encoder *e, json_t *list, json_t *item,
		     size_t bytes)
{
	json_array_append_new(list, item);
	e->bytes += bytes;
}

static void make_room(struct encoder *e)
{
	if (e->bytes < e->row_bytes * ITEMS_PERCENT / 100)
		return;
	end_row(e, false);
	begin_row(e);
}

static json_t *encode_queue(const struct tg_queue *q)
{
	return json_pack("[s,s,s,s,i,i,I,f,b]", q->name, q->host, q->prefix,
			 q->service, (int)q->priority, (int)q->max_attempts,
			 (json_int_t)q->target_ms, q->stretch,
			 (int)q->allow_anonymous);
}

static json_t *encode_workspace(const struct tg_workspace *w, size_t *bytes)
{
	json_t *keys = json_array();
	size_t i;

	*bytes = ITEM_BYTES + strlen(w->name);
	for (i = 0; i < w->n_keys; i++) {
		json_array_append_new(keys, json_string(w->keys[i]));
		*bytes += strlen(w->keys[i]) + 3;
	}
	return json_pack("[s,i,o]", w->name, (int)w->guaranteed, keys);
}

static void encode_removed(struct encoder *e)
{
	size_t i;

	for (i = 0; i < e->doc->n_removed; i++) {
		const struct tg_doc_mark *m = &e->doc->removed[i];

		if (m->since <= e->from)
			continue;
		make_room(e);
		add_item(e, e->removed, encode_digest(m->digest), DIGEST_BYTES);
	}
}

static void encode_queues(struct encoder *e)
{
	size_t i;

	for (i = 0; i < e->doc->n_queues; i++) {
		const struct tg_queue *q = &e->doc->queues[i];

		if (q->mark.since <= e->from)
			continue;
		make_room(e);
		add_item(e, e->queues, encode_queue(q),
			 ITEM_BYTES + strlen(q->name) + strlen(q->host) +
				 strlen(q->prefix) + strlen(q->service));
	}
}

static void encode_workspaces(struct encoder *e)
{
	size_t i, bytes;
	json_t *item;

	for (i = 0; i < e->doc->n_workspaces; i++) {
		const struct tg_workspace *w = &e->doc->workspaces[i];

		if (w->mark.since <= e->from)
			continue;
		make_room(e);
		item = encode_workspace(w, &bytes);
		add_item(e, e->workspaces, item, bytes);
	}
}

size_t tg_doc_change_encode(const struct tg_site_doc *d, int64_t from,
			    size_t row_bytes, char ***rows)
{
	struct encoder e = { .doc = d, .from = from, .row_bytes = row_bytes };
	size_t i;

	begin_row(&e);
	encode_removed(&e);
	encode_queues(&e);
	encode_workspaces(&e);
	end_row(&e, true);
	*rows = e.texts;
	if (!e.too_large)
		return e.n;
	for (i = 0; i < e.n; i++)
		free(e.texts[i]);
	free(e.texts);
	*rows = NULL;
	return 0;
}

/* --- decoding --- */

static bool get_integer(const json_t *o, const char *name, int64_t *out)
{
	const json_t *v = json_object_get(o, name);

	*out = json_integer_value(v);
	return json_is_integer(v);
}

static bool decode_digest(const json_t *v, uint64_t *out)
{
	const char *s = json_string_value(v);
	char *end;

	if (!s || strlen(s) != 16)
		return false;
	*out = strtoull(s, &end, 16);
	return !*end;
}

static char *dup_item(const json_t *item, size_t i)
{
	const char *s = json_string_value(json_array_get(item, i));

	return tg_xstrdup(s ? s : "");
}

static int64_t int_item(const json_t *item, size_t i)
{
	return json_integer_value(json_array_get(item, i));
}

static void decode_queue(const json_t *item, struct tg_queue *q)
{
	*q = (struct tg_queue){
		.name = dup_item(item, 0),
		.host = dup_item(item, 1),
		.prefix = dup_item(item, 2),
		.service = dup_item(item, 3),
		.priority = (int32_t)int_item(item, 4),
		.max_attempts = (int32_t)int_item(item, 5),
		.target_ms = int_item(item, 6),
		.stretch = json_number_value(json_array_get(item, 7)),
		.allow_anonymous = json_is_true(json_array_get(item, 8)),
	};
	q->mark.digest = tg_queue_digest(q);
}

static void decode_workspace(const json_t *item, struct tg_workspace *w)
{
	const json_t *keys = json_array_get(item, 2);
	json_t *key;
	size_t i;

	*w = (struct tg_workspace){
		.name = dup_item(item, 0),
		.guaranteed = (int32_t)int_item(item, 1),
		.keys = tg_xcalloc(json_array_size(keys) + 1, sizeof(*w->keys)),
	};
	json_array_foreach(keys, i, key)
		w->keys[w->n_keys++] = dup_item(keys, i);
	w->mark.digest = tg_workspace_digest(w);
}

/* Numbers and digest of a row, as a change without items. */
static bool decode_header(const json_t *o, struct tg_doc_change *c,
			  int64_t *index)
{
	return get_integer(o, "from", &c->from) &&
		get_integer(o, "to", &c->to) &&
		get_integer(o, "row-version", &c->row_version) &&
		get_integer(o, "row-bytes", &c->row_bytes) &&
		get_integer(o, "body-bytes", &c->body_bytes) &&
		get_integer(o, "index", index) &&
		decode_digest(json_object_get(o, "digest"), &c->digest);
}

static bool is_next_row(const struct tg_doc_change *c,
			const struct tg_doc_change *header, int64_t index)
{
	return c->n_rows == index && !c->complete && c->from == header->from &&
		c->to == header->to && c->digest == header->digest;
}

static void add_items(struct tg_doc_change *c, const json_t *o)
{
	const json_t *removed = json_object_get(o, "removed");
	const json_t *queues = json_object_get(o, "queues");
	const json_t *workspaces = json_object_get(o, "workspaces");
	json_t *v;
	size_t i;

	c->removed = tg_xrealloc(c->removed,
				 (c->n_removed + 1 + json_array_size(removed)) *
					 sizeof(*c->removed));
	json_array_foreach(removed, i, v)
		if (decode_digest(v, &c->removed[c->n_removed]))
			c->n_removed++;
	c->queues = tg_xrealloc(c->queues,
				(c->n_queues + 1 + json_array_size(queues)) *
					sizeof(*c->queues));
	json_array_foreach(queues, i, v)
		decode_queue(v, &c->queues[c->n_queues++]);
	c->workspaces = tg_xrealloc(
		c->workspaces,
		(c->n_workspaces + 1 + json_array_size(workspaces)) *
			sizeof(*c->workspaces));
	json_array_foreach(workspaces, i, v)
		decode_workspace(v, &c->workspaces[c->n_workspaces++]);
}

int tg_doc_change_add_row(struct tg_doc_change *c, const char *text, size_t n)
{
	json_t *o = json_loadb(text, n, 0, NULL);
	struct tg_doc_change header = { 0 };
	int64_t index;
	int err = -1;

	if (!decode_header(o, &header, &index))
		goto out;
	if (!is_next_row(c, &header, index)) {
		tg_doc_change_clear(c);
		*c = header;
	}
	err = 0;
	/* The first rows are missing: wait for the next change. */
	if (c->n_rows != index)
		goto out;
	add_items(c, o);
	c->n_rows++;
	c->complete = json_is_true(json_object_get(o, "last"));
out:
	json_decref(o);
	return err;
}
