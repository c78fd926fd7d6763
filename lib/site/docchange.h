#ifndef SITE_DOCCHANGE_H
#define SITE_DOCCHANGE_H

#include "site/site.h"

/**
 * DOC: changes of the document
 *
 * To transfer and decode a large document takes seconds on a small instance,
 * however little has changed.  Instances that read documents quickly write what
 * differs to the store, in a few rows, and the others apply these.
 *
 * A document is treated as a set of queues and workspaces.  A change contains
 * all items that were added after the generation @from and all that were
 * removed after it, so that it may be applied to any generation from @from on.
 * The digest of the result shows whether the outcome is the document that was
 * meant.
 */

#define TG_DOC_CHANGES_TABLE "document"
#define TG_DOC_CHANGES_PART "changes"
/** Key of the row that names the last change; the other rows are of changes. */
#define TG_DOC_HEAD_KEY "head"

/**
 * struct tg_doc_change - what leads from one document to another
 * @from: least generation that it may be applied to
 * @to: generation of the result
 * @row_version: version of the row of the store that has the whole document
 * @row_bytes: size of that row
 * @digest: of the result, see tg_site_doc_digest()
 * @removed: sorted digests of the items that the result does not have
 * @n_rows: rows that were added to this change
 * @complete: all rows are there
 */
struct tg_doc_change {
	int64_t from, to, row_version, row_bytes;
	uint64_t digest;
	int64_t body_bytes;
	uint64_t *removed;
	struct tg_queue *queues;
	struct tg_workspace *workspaces;
	size_t n_removed, n_queues, n_workspaces;
	int32_t n_rows;
	bool complete;
};

/**
 * tg_site_doc_set_history() - compare a decoded document with the one before it
 * @before: NULL if there is none, which begins the history
 */
void tg_site_doc_set_history(struct tg_site_doc *d,
			     const struct tg_site_doc *before);
/** tg_queue_digest() - hash of all that the item says */
uint64_t tg_queue_digest(const struct tg_queue *q);
uint64_t tg_workspace_digest(const struct tg_workspace *w);
/** tg_site_doc_digest() - hash of all items, whatever their order */
uint64_t tg_site_doc_digest(const struct tg_site_doc *d);

/**
 * tg_doc_change_encode() - the rows of the change from generation @from to @d
 * @from: at least the history_from of @d
 * @row_bytes: largest size of a row
 * @rows: set to an array of texts; the caller frees both
 *
 * Return: number of rows, 0 if a row would be too large.
 */
size_t tg_doc_change_encode(const struct tg_site_doc *d, int64_t from,
			    size_t row_bytes, char ***rows);
/**
 * tg_doc_change_add_row() - decode a row and add it to a change
 * @c: all zero, or with the rows before this one
 *
 * A row of another change, or one that does not follow the last one, begins
 * anew.
 *
 * Return: 0, or -1 if the row is invalid; it is ignored then.
 */
int tg_doc_change_add_row(struct tg_doc_change *c, const char *text, size_t n);
/**
 * tg_doc_change_apply() - change a document in place
 *
 * Return: whether @d is now the document meant.  If not, it is as before: @c
 * does not fit it.
 */
bool tg_doc_change_apply(struct tg_site_doc *d, struct tg_doc_change *c);
/** tg_doc_change_clear() - free the members and set all to zero */
void tg_doc_change_clear(struct tg_doc_change *c);

/* --- writing changes to the store --- */

struct tg_doc_publisher;

/**
 * tg_doc_publisher_new() - writer of changes
 * @get: the document in force
 */
struct tg_doc_publisher *
tg_doc_publisher_new(struct tg_site *s,
		     const struct tg_site_doc *(*get)(void *arg), void *arg);
void tg_doc_publisher_free(struct tg_doc_publisher *p);
/**
 * tg_doc_publisher_wake() - a document has been read from the store
 *
 * Writes the change to it, unless another instance has done so.
 */
void tg_doc_publisher_wake(struct tg_doc_publisher *p);

#endif
