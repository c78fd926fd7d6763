#include <stdlib.h>
#include <string.h>

#include "site/docchange.h"

/*
 * All instances that read a document whole may write its change.  Each waits
 * for a short random time and looks whether another one was faster.  The row
 * TG_DOC_HEAD_KEY names the last change; each writer requires that it hasn't
 * changed since it was read, so that only one of them succeeds.
 */

#define JITTER_MS 50
#define RETRY_MS 250
#define ATTEMPTS_MAX 8
#define READ_TIMEOUT_MS 800
#define WRITE_TIMEOUT_MS 1500
/*
 * A transaction has the rows of a change, those of the one before it, which it
 * deletes, and twice the head.  A larger change is not written: the instances
 * read the document instead.
 */
#define ROWS_MAX 48
#define KEY_BYTES 32

/**
 * struct head - the last changes that were written
 * @generation: result of the last one, 0 if there is none
 * @rows: how many rows it has
 * @old_generation: result of the one before, whose rows still exist
 * @version: of the row, as in struct tg_row
 */
struct head {
	int64_t generation, rows, old_generation, old_rows;
	int64_t version;
};

struct tg_doc_publisher {
	struct tg_site *site;
	const struct tg_site_doc *(*get)(void *arg);
	void *arg;
	struct event *timer;
	struct tg_rng rng;
	int64_t writing; /* generation being written */
	int64_t started_ms;
	int attempts;
	bool busy; /* a call is in progress, or the timer is set */
	bool free_pending;
};

static void schedule(struct tg_doc_publisher *p, int64_t ms)
{
	struct timeval tv = { .tv_usec = ms * 1000 };

	p->busy = true;
	event_add(p->timer, &tv);
}

static void free_publisher(struct tg_doc_publisher *p)
{
	event_free(p->timer);
	free(p);
}

/* Return: whether @p has been freed. */
static bool end_call(struct tg_doc_publisher *p)
{
	p->busy = false;
	if (!p->free_pending)
		return false;
	free_publisher(p);
	return true;
}

static void retry(struct tg_doc_publisher *p)
{
	if (++p->attempts < ATTEMPTS_MAX)
		schedule(p, RETRY_MS);
	else
		tg_log(EV_CHANGE_NOT_WRITTEN, "generation=%lld attempts=%d",
		       (long long)p->get(p->arg)->generation, p->attempts);
}

static void decode_head(const struct tg_store_result *r, struct head *h)
{
	const struct tg_row *row = r->n_rows ? &r->rows[0] : NULL;
	json_t *o;

	memset(h, 0, sizeof(*h));
	if (!row || strcmp(row->key, TG_DOC_HEAD_KEY) != 0)
		return;
	o = json_loadb(row->value, row->value_bytes, 0, NULL);
	h->version = row->version;
	h->generation = json_integer_value(json_object_get(o, "generation"));
	h->rows = json_integer_value(json_object_get(o, "rows"));
	h->old_generation =
		json_integer_value(json_object_get(o, "old-generation"));
	h->old_rows = json_integer_value(json_object_get(o, "old-rows"));
	json_decref(o);
}

static char *encode_head(const struct head *h)
{
	json_t *o = json_pack("{s:I,s:I,s:I,s:I}", "generation",
			      (json_int_t)h->generation, "rows",
			      (json_int_t)h->rows, "old-generation",
			      (json_int_t)h->old_generation, "old-rows",
			      (json_int_t)h->old_rows);
	char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	return text;
}

static struct tg_row change_row(char *key, int64_t generation, int64_t index)
{
	snprintf(key, KEY_BYTES, "%016llx-%03d", (long long)generation,
		 (int)index);
	return (struct tg_row){
		.table = TG_DOC_CHANGES_TABLE,
		.part = TG_DOC_CHANGES_PART,
		.key = key,
	};
}

static void write_change(struct tg_doc_publisher *p, const struct head *h);

static void on_written(const struct tg_store_result *r, void *arg)
{
	struct tg_doc_publisher *p = arg;
	struct head h;

	if (end_call(p))
		return;
	if (r->end == TG_STORE_OK) {
		tg_log(EV_CHANGE_WRITTEN,
		       "generation=%lld attempts=%d after_ms=%lld",
		       (long long)p->writing, p->attempts + 1,
		       (long long)(tg_now_ms() - p->started_ms));
		/* A newer document may be in force by now. */
		if (p->get(p->arg)->generation > p->writing)
			schedule(p, 0);
	} else if (r->end == TG_STORE_CONFLICT) {
		decode_head(r, &h);
		write_change(p, &h);
	} else {
		retry(p);
	}
}

static void free_texts(char **texts, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		free(texts[i]);
	free(texts);
}

/* Return: number of rows, 0 if the store can't hold them. */
static size_t encode_from(const struct tg_doc_publisher *p,
			  const struct tg_site_doc *d, int64_t from,
			  char ***texts)
{
	const struct tg_site_settings *set = &p->site->set;
	size_t n = tg_doc_change_encode(d, from, (size_t)set->row_bytes, texts);
	size_t bytes = 0, i;

	for (i = 0; i < n; i++)
		bytes += strlen((*texts)[i]);
	if (n && n <= ROWS_MAX && bytes <= (size_t)set->tx_bytes)
		return n;
	tg_log(EV_CHANGE_LARGE, "generation=%lld from=%lld rows=%zu bytes=%zu",
	       (long long)d->generation, (long long)from, n, bytes);
	free_texts(*texts, n);
	return 0;
}

/*
 * The change begins at the result of the last one, so that an instance that has
 * applied that can apply this one too.  Otherwise it begins at the document
 * that was in force before.
 */
static size_t encode_change(const struct tg_doc_publisher *p,
			    const struct tg_site_doc *d, const struct head *h,
			    char ***texts)
{
	size_t n = 0;

	if (h->generation >= d->history_from)
		n = encode_from(p, d, h->generation, texts);
	if (!n && d->previous != h->generation)
		n = encode_from(p, d, d->previous, texts);
	return n;
}

static void send_change(struct tg_doc_publisher *p, const struct head *h,
			char **texts, size_t n)
{
	int64_t generation = p->writing;
	struct head next = { .generation = generation,
			     .rows = (int64_t)n,
			     .old_generation = h->generation,
			     .old_rows = h->rows };
	char *head_text = encode_head(&next);
	char keys[2 * ROWS_MAX][KEY_BYTES];
	struct tg_row puts[ROWS_MAX + 1], deletes[ROWS_MAX];
	struct tg_row head = {
		.table = TG_DOC_CHANGES_TABLE,
		.part = TG_DOC_CHANGES_PART,
		.key = TG_DOC_HEAD_KEY,
		.value = head_text,
		.value_bytes = strlen(head_text),
		.version = h->version,
	};
	struct tg_store_tx tx = {
		.checks = &head,
		.n_checks = 1,
		.puts = puts,
		.n_puts = n + 1,
		.deletes = deletes,
		.timeout_ms = WRITE_TIMEOUT_MS,
	};
	size_t i;

	for (i = 0; i < n; i++) {
		puts[i] = change_row(keys[i], generation, (int64_t)i);
		puts[i].value = texts[i];
		puts[i].value_bytes = strlen(texts[i]);
	}
	puts[n] = head;
	for (i = 0; i < (size_t)h->old_rows && i < ROWS_MAX; i++)
		deletes[i] = change_row(keys[ROWS_MAX + i], h->old_generation,
					(int64_t)i);
	tx.n_deletes = i;
	p->busy = true;
	p->site->ops->tx(p->site->port, &tx, on_written, p);
	free(head_text);
}

/* Writes the change to the document in force, unless it is written already. */
static void write_change(struct tg_doc_publisher *p, const struct head *h)
{
	const struct tg_site_doc *d = p->get(p->arg);
	char **texts;
	size_t n;

	if (h->generation >= d->generation || d->previous == d->generation)
		return;
	n = encode_change(p, d, h, &texts);
	if (!n)
		return;
	p->writing = d->generation;
	send_change(p, h, texts, n);
	free_texts(texts, n);
}

static void on_head(const struct tg_store_result *r, void *arg)
{
	struct tg_doc_publisher *p = arg;
	struct head h;

	if (end_call(p))
		return;
	if (r->end != TG_STORE_OK) {
		retry(p);
		return;
	}
	decode_head(r, &h);
	write_change(p, &h);
}

static void read_head(evutil_socket_t fd, short what, void *arg)
{
	struct tg_doc_publisher *p = arg;
	struct tg_store_range range = {
		.table = TG_DOC_CHANGES_TABLE,
		.part = TG_DOC_CHANGES_PART,
		.from = TG_DOC_HEAD_KEY,
		.limit = 1,
		.timeout_ms = READ_TIMEOUT_MS,
	};

	(void)fd;
	(void)what;
	p->site->ops->get(p->site->port, &range, on_head, p);
}

void tg_doc_publisher_wake(struct tg_doc_publisher *p)
{
	if (p->busy)
		return;
	p->attempts = 0;
	p->started_ms = tg_now_ms();
	schedule(p, (int64_t)tg_rng_below(&p->rng, JITTER_MS));
}

struct tg_doc_publisher *
tg_doc_publisher_new(struct tg_site *s,
		     const struct tg_site_doc *(*get)(void *arg), void *arg)
{
	struct tg_doc_publisher *p = tg_xcalloc(1, sizeof(*p));

	p->site = s;
	p->get = get;
	p->arg = arg;
	p->timer = event_new(s->base, -1, 0, read_head, p);
	tg_rng_seed(&p->rng);
	return p;
}

void tg_doc_publisher_free(struct tg_doc_publisher *p)
{
	if (!p)
		return;
	if (p->busy && !event_pending(p->timer, EV_TIMEOUT, NULL))
		p->free_pending = true;
	else
		free_publisher(p);
}
