#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "site/docchange.h"

/* A document that loses more items than this between changes is read whole. */
#define REMOVED_MAX 8192

enum { SEED_QUEUE = 1, SEED_WORKSPACE, SEED_LIMITS };

static uint64_t hash_string(const char *s, uint64_t h)
{
	/* With its end, so that two strings differ from their concatenation. */
	return XXH64(s, strlen(s) + 1, h);
}

uint64_t tg_queue_digest(const struct tg_queue *q)
{
	int64_t numbers[] = { q->priority, q->max_attempts, q->target_ms,
			      q->allow_anonymous };
	uint64_t h = SEED_QUEUE;

	h = hash_string(q->name, h);
	h = hash_string(q->host, h);
	h = hash_string(q->prefix, h);
	h = hash_string(q->service, h);
	h = XXH64(numbers, sizeof(numbers), h);
	return XXH64(&q->stretch, sizeof(q->stretch), h);
}

uint64_t tg_workspace_digest(const struct tg_workspace *w)
{
	int64_t numbers[] = { w->guaranteed, (int64_t)w->n_keys };
	uint64_t h = hash_string(w->name, SEED_WORKSPACE);
	size_t i;

	for (i = 0; i < w->n_keys; i++)
		h = hash_string(w->keys[i], h);
	return XXH64(numbers, sizeof(numbers), h);
}

static uint64_t limits_digest(int64_t body_bytes)
{
	return XXH64(&body_bytes, sizeof(body_bytes), SEED_LIMITS);
}

uint64_t tg_site_doc_digest(const struct tg_site_doc *d)
{
	uint64_t sum = limits_digest(d->body_bytes);
	size_t i;

	for (i = 0; i < d->n_queues; i++)
		sum += d->queues[i].mark.digest;
	for (i = 0; i < d->n_workspaces; i++)
		sum += d->workspaces[i].mark.digest;
	return sum;
}

/* --- history --- */

static int compare_digests(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/* The digest is the first member of a mark. */
static struct tg_doc_mark *find_mark(struct tg_doc_mark *marks, size_t n,
				     uint64_t digest)
{
	return n ? bsearch(&digest, marks, n, sizeof(*marks), compare_digests) :
		   NULL;
}

static struct tg_doc_mark *sorted_marks(const struct tg_site_doc *d, size_t *n)
{
	struct tg_doc_mark *marks;
	size_t i;

	*n = d->n_queues + d->n_workspaces;
	marks = tg_xcalloc(*n + 1, sizeof(*marks));
	for (i = 0; i < d->n_queues; i++)
		marks[i] = d->queues[i].mark;
	for (i = 0; i < d->n_workspaces; i++)
		marks[d->n_queues + i] = d->workspaces[i].mark;
	qsort(marks, *n, sizeof(*marks), compare_digests);
	return marks;
}

static void add_removed(struct tg_site_doc *d, uint64_t digest)
{
	d->removed[d->n_removed++] = (struct tg_doc_mark){
		.digest = digest,
		.since = d->generation,
	};
}

static void limit_removed(struct tg_site_doc *d)
{
	size_t extra;

	if (d->n_removed <= REMOVED_MAX)
		return;
	extra = d->n_removed - REMOVED_MAX;
	/* Items that one generation removed are forgotten together. */
	while (extra < d->n_removed &&
	       d->removed[extra].since == d->removed[extra - 1].since)
		extra++;
	d->history_from = d->removed[extra - 1].since;
	d->n_removed -= extra;
	memmove(d->removed, d->removed + extra,
		d->n_removed * sizeof(*d->removed));
}

/* Takes the age of an item from the marks of the document before. */
static void set_since(struct tg_doc_mark *mark, int64_t generation,
		      struct tg_doc_mark *before, size_t n)
{
	struct tg_doc_mark *m = find_mark(before, n, mark->digest);

	mark->since = m ? m->since : generation;
}

void tg_site_doc_set_history(struct tg_site_doc *d,
			     const struct tg_site_doc *before)
{
	struct tg_doc_mark *old = NULL, *now;
	size_t i, n_old = 0, n_now;

	for (i = 0; i < d->n_queues; i++)
		d->queues[i].mark.digest = tg_queue_digest(&d->queues[i]);
	for (i = 0; i < d->n_workspaces; i++)
		d->workspaces[i].mark.digest =
			tg_workspace_digest(&d->workspaces[i]);
	if (before)
		old = sorted_marks(before, &n_old);
	for (i = 0; i < d->n_queues; i++)
		set_since(&d->queues[i].mark, d->generation, old, n_old);
	for (i = 0; i < d->n_workspaces; i++)
		set_since(&d->workspaces[i].mark, d->generation, old, n_old);
	d->history_from = before ? before->history_from : d->generation;
	d->previous = before ? before->generation : d->generation;
	if (!before)
		return;
	now = sorted_marks(d, &n_now);
	d->removed =
		tg_xcalloc(before->n_removed + n_old + 1, sizeof(*d->removed));
	d->n_removed = before->n_removed;
	if (before->n_removed)
		memcpy(d->removed, before->removed,
		       before->n_removed * sizeof(*d->removed));
	for (i = 0; i < n_old; i++)
		if (!find_mark(now, n_now, old[i].digest))
			add_removed(d, old[i].digest);
	limit_removed(d);
	free(old);
	free(now);
}

/* --- applying --- */

/* Digests of all items that @c removes, or adds and that may be there. */
static uint64_t *replaced_digests(const struct tg_doc_change *c, size_t *n)
{
	uint64_t *list;
	size_t i;

	list = tg_xcalloc(c->n_removed + c->n_queues + c->n_workspaces + 1,
			  sizeof(*list));
	for (*n = 0; *n < c->n_removed; (*n)++)
		list[*n] = c->removed[*n];
	for (i = 0; i < c->n_queues; i++)
		list[(*n)++] = c->queues[i].mark.digest;
	for (i = 0; i < c->n_workspaces; i++)
		list[(*n)++] = c->workspaces[i].mark.digest;
	qsort(list, *n, sizeof(*list), compare_digests);
	return list;
}

static bool is_listed(const uint64_t *list, size_t n, uint64_t digest)
{
	return bsearch(&digest, list, n, sizeof(*list), compare_digests);
}

/* The digest of @d after the change. */
static uint64_t digest_after(const struct tg_site_doc *d,
			     const struct tg_doc_change *c,
			     const uint64_t *replaced, size_t n_replaced)
{
	uint64_t sum = limits_digest(c->body_bytes), digest;
	size_t i;

	for (i = 0; i < d->n_queues; i++) {
		digest = d->queues[i].mark.digest;
		if (!is_listed(replaced, n_replaced, digest))
			sum += digest;
	}
	for (i = 0; i < d->n_workspaces; i++) {
		digest = d->workspaces[i].mark.digest;
		if (!is_listed(replaced, n_replaced, digest))
			sum += digest;
	}
	for (i = 0; i < c->n_queues; i++)
		sum += c->queues[i].mark.digest;
	for (i = 0; i < c->n_workspaces; i++)
		sum += c->workspaces[i].mark.digest;
	return sum;
}

static void replace_queues(struct tg_site_doc *d, struct tg_doc_change *c,
			   const uint64_t *replaced, size_t n_replaced)
{
	size_t i, n = 0;

	for (i = 0; i < d->n_queues; i++) {
		if (is_listed(replaced, n_replaced, d->queues[i].mark.digest))
			tg_queue_clear(&d->queues[i]);
		else
			d->queues[n++] = d->queues[i];
	}
	d->queues = tg_xrealloc(d->queues,
				(n + c->n_queues + 1) * sizeof(*d->queues));
	for (i = 0; i < c->n_queues; i++) {
		c->queues[i].mark.since = c->to;
		d->queues[n++] = c->queues[i];
	}
	d->n_queues = n;
	c->n_queues = 0;
}

static void replace_workspaces(struct tg_site_doc *d, struct tg_doc_change *c,
			       const uint64_t *replaced, size_t n_replaced)
{
	size_t i, n = 0;

	for (i = 0; i < d->n_workspaces; i++) {
		if (is_listed(replaced, n_replaced,
			      d->workspaces[i].mark.digest))
			tg_workspace_clear(&d->workspaces[i]);
		else
			d->workspaces[n++] = d->workspaces[i];
	}
	d->workspaces =
		tg_xrealloc(d->workspaces,
			    (n + c->n_workspaces + 1) * sizeof(*d->workspaces));
	for (i = 0; i < c->n_workspaces; i++) {
		c->workspaces[i].mark.since = c->to;
		d->workspaces[n++] = c->workspaces[i];
	}
	d->n_workspaces = n;
	c->n_workspaces = 0;
}

bool tg_doc_change_apply(struct tg_site_doc *d, struct tg_doc_change *c)
{
	uint64_t *replaced;
	size_t i, n;
	bool fits;

	if (!c->complete || d->generation < c->from || d->generation >= c->to)
		return false;
	replaced = replaced_digests(c, &n);
	fits = digest_after(d, c, replaced, n) == c->digest;
	if (fits) {
		replace_queues(d, c, replaced, n);
		replace_workspaces(d, c, replaced, n);
		d->previous = d->generation;
		d->generation = c->to;
		d->row_version = c->row_version;
		d->row_bytes = c->row_bytes;
		d->body_bytes = c->body_bytes;
		d->removed = tg_xrealloc(d->removed,
					 (d->n_removed + c->n_removed + 1) *
						 sizeof(*d->removed));
		for (i = 0; i < c->n_removed; i++)
			add_removed(d, c->removed[i]);
		limit_removed(d);
	}
	free(replaced);
	return fits;
}

void tg_doc_change_clear(struct tg_doc_change *c)
{
	size_t i;

	for (i = 0; i < c->n_queues; i++)
		tg_queue_clear(&c->queues[i]);
	for (i = 0; i < c->n_workspaces; i++)
		tg_workspace_clear(&c->workspaces[i]);
	free(c->queues);
	free(c->workspaces);
	free(c->removed);
	memset(c, 0, sizeof(*c));
}
