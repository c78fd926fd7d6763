#include <stdlib.h>
#include <string.h>

#include "record-store.h"

static struct record_row *find(struct record_store *s, const char *key)
{
	size_t i;

	for (i = 0; i < s->n; i++)
		if (!strcmp(s->rows[i].key, key))
			return &s->rows[i];
	return NULL;
}

static void apply(struct record_store *s, const char *key, char *text)
{
	struct record_row *r = find(s, key);

	if (!r && text) {
		ck_assert_uint_lt(s->n, RECORD_ROWS_MAX);
		r = &s->rows[s->n++];
		memset(r, 0, sizeof(*r));
		tg_strlcpy(r->key, key, sizeof(r->key));
	}
	if (!r)
		return;
	free(r->text);
	r->text = text;
	if (!text)
		*r = s->rows[--s->n];
}

/* Takes up to @max records, and encodes them. */
static size_t take(struct flow *f, struct record_row *taken, size_t max)
{
	const char *key;
	size_t n = 0;

	while (n < max && (key = flow_take_dirty(f))) {
		json_t *o = flow_progress_encode(f, key);

		tg_strlcpy(taken[n].key, key, sizeof(taken[n].key));
		taken[n++].text = o ? json_dumps(o, JSON_COMPACT) : NULL;
		json_decref(o);
	}
	return n;
}

size_t record_store_write(struct record_store *s, struct flow *f, size_t max)
{
	static struct record_row taken[RECORD_ROWS_MAX];
	size_t n =
		take(f, taken, max < RECORD_ROWS_MAX ? max : RECORD_ROWS_MAX);
	size_t i;

	for (i = 0; i < n; i++) {
		if (taken[i].text && strlen(taken[i].text) > s->largest_bytes)
			s->largest_bytes = strlen(taken[i].text);
		apply(s, taken[i].key, taken[i].text);
	}
	flow_mark_written(f);
	return n;
}

void record_store_refuse(struct flow *f, size_t max)
{
	while (max-- && flow_take_dirty(f))
		;
	flow_mark_unwritten(f);
}

static int by_key(const void *a, const void *b)
{
	const struct record_row *x = a, *y = b;

	return strcmp(x->key, y->key);
}

void record_store_read(struct record_store *s, struct flow *f)
{
	size_t i;

	qsort(s->rows, s->n, sizeof(s->rows[0]), by_key);
	for (i = 0; i < s->n; i++) {
		json_t *o = json_loads(s->rows[i].text, 0, NULL);

		ck_assert_ptr_nonnull(o);
		ck_assert(flow_progress_decode(f, s->rows[i].key, o));
		json_decref(o);
	}
}

void record_store_put(struct record_store *s, const char *key, const char *text)
{
	apply(s, key, tg_xstrdup(text));
}

void record_store_clear(struct record_store *s)
{
	while (s->n)
		free(s->rows[--s->n].text);
	s->largest_bytes = 0;
}
