#include <stdlib.h>
#include <string.h>

#include "site/docchange.h"

/* The clocks of instances may run at slightly different rates. */
#define CLOCK_MARGIN_MS 100
/* Answers from this size on show how fast documents are read. */
#define MEASURED_BYTES (64 << 10)
/*
 * How long the others wait for the change before they read the document: a part
 * of the time that this takes, within these limits.  The part is larger once a
 * change has been applied, which shows that another instance writes them.
 */
#define CHANGE_WAIT_MIN_MS 700
#define CHANGE_WAIT_MAX_MS 1500
#define CHANGE_WAIT_PERCENT 25
#define CHANGE_WAIT_PERCENT_KNOWN 50
/* Changes of documents from this size on are written. */
#define PUBLISH_BYTES (256 << 10)

struct tg_document {
	struct tg_document_opts opts;
	struct tg_site *site;
	struct tg_table_watch *watch;
	struct tg_table_watch *changes; /* NULL while documents are small */
	struct tg_doc_change change; /* rows read so far */
	struct tg_doc_publisher *publisher;
	struct tg_site_doc *doc;
	/* The last large read, decoding included. */
	int64_t read_bytes, read_ms;
	int64_t heard_generation; /* newest one that another instance uses */
	/* When another instance knew that the one in force was the newest. */
	int64_t heard_current_ms;
	bool newer_in_store; /* a change is known that is not in force */
	bool change_applied; /* the last document came as a change */
};

static const struct tg_site_doc *in_force(void *arg)
{
	const struct tg_document *d = arg;

	return d->doc;
}

/* How long it takes to read the document in force again; 0 if unknown. */
static int64_t expected_ms(const struct tg_document *d)
{
	if (!d->doc || !d->read_bytes)
		return 0;
	return d->read_ms * d->doc->row_bytes / d->read_bytes;
}

static void measure_read(struct tg_document *d, int64_t decode_ms)
{
	const struct tg_store_transfer *t = tg_table_watch_transfer(d->watch);

	if (t->bytes < MEASURED_BYTES)
		return;
	d->read_bytes = d->doc->row_bytes;
	d->read_ms = t->receive_ms + decode_ms + 1;
	tg_table_watch_limit(d->watch,
			     t->bytes * d->opts.direct_ms / d->read_ms);
}

static void document_changed(struct tg_document *d)
{
	d->newer_in_store = false;
	if (d->opts.on_change)
		d->opts.on_change(d->opts.arg);
}

static void follow_changes(struct tg_document *d);

static void take_document(struct tg_document *d, struct tg_site_doc *doc,
			  int64_t from_ms)
{
	int64_t decode_ms;

	tg_site_doc_set_history(doc, d->doc);
	decode_ms = tg_now_ms() - from_ms;
	tg_log(EV_DOCUMENT_IN_FORCE,
	       "generation=%lld before=%lld queues=%zu workspaces=%zu "
	       "bytes=%lld decode_ms=%lld not_current_ms=%lld",
	       (long long)doc->generation,
	       d->doc ? (long long)d->doc->generation : 0, doc->n_queues,
	       doc->n_workspaces, (long long)doc->row_bytes,
	       (long long)decode_ms,
	       (long long)tg_table_watch_not_current_ms(d->watch));
	tg_site_doc_free(d->doc);
	d->doc = doc;
	measure_read(d, decode_ms);
	d->change_applied = false;
	if (expected_ms(d) > d->opts.direct_ms)
		follow_changes(d);
	/* Also after a slow read: no faster instance may have written it. */
	if (d->publisher && doc->row_bytes >= PUBLISH_BYTES)
		tg_doc_publisher_wake(d->publisher);
	document_changed(d);
}

static void on_row(const struct tg_row *row, void *arg)
{
	struct tg_document *d = arg;
	struct tg_findings f = { 0 };
	int64_t from_ms = tg_now_ms();
	struct tg_site_doc *doc;

	if (strcmp(row->key, d->site->ops->document_key) != 0 || row->deleted)
		return;
	/* A change may have led here while the document was being read. */
	if (d->doc && row->version <= d->doc->row_version)
		return;
	doc = d->site->ops->decode_document(row, &f);
	if (!doc)
		tg_log(EV_DOCUMENT_BAD, "version=%lld place=%s fault=%s",
		       (long long)row->version, f.items[0].place,
		       f.items[0].text);
	else if (d->doc && doc->generation <= d->doc->generation)
		/* Never return to an older document. */
		tg_site_doc_free(doc);
	else
		take_document(d, doc, from_ms);
	tg_findings_free(&f);
}

/* The store has nothing newer than what was read. */
static void on_scan_done(void *arg)
{
	struct tg_document *d = arg;

	d->newer_in_store = false;
}

/* --- changes --- */

static void apply_change(struct tg_document *d)
{
	int64_t from_ms = tg_now_ms();
	int64_t before = d->doc->generation;
	int64_t to = d->change.to, row_version = d->change.row_version;

	if (to <= before)
		return;
	if (!tg_doc_change_apply(d->doc, &d->change)) {
		tg_log(EV_CHANGE_UNFIT, "from=%lld to=%lld in_force=%lld",
		       (long long)d->change.from, (long long)to,
		       (long long)before);
		return;
	}
	tg_log(EV_DOCUMENT_IN_FORCE,
	       "generation=%lld before=%lld queues=%zu workspaces=%zu "
	       "rows=%d decode_ms=%lld not_current_ms=%lld",
	       (long long)to, (long long)before, d->doc->n_queues,
	       d->doc->n_workspaces, d->change.n_rows,
	       (long long)(tg_now_ms() - from_ms),
	       (long long)tg_table_watch_not_current_ms(d->watch));
	d->change_applied = true;
	tg_table_watch_advance(d->watch, row_version);
	document_changed(d);
}

static void on_change_row(const struct tg_row *row, void *arg)
{
	struct tg_document *d = arg;

	if (row->deleted || !strcmp(row->key, TG_DOC_HEAD_KEY))
		return;
	if (tg_doc_change_add_row(&d->change, row->value, row->value_bytes)) {
		tg_log(EV_ROW_BAD, "table=%s key=%s", row->table, row->key);
		return;
	}
	if (!d->change.complete)
		return;
	apply_change(d);
	tg_doc_change_clear(&d->change);
}

/* Starts with the changes that are written from now on. */
static void follow_changes(struct tg_document *d)
{
	static const char *const parts[] = { TG_DOC_CHANGES_PART };
	struct tg_table_watch_opts o = {
		.site = d->site,
		.table = TG_DOC_CHANGES_TABLE,
		.parts = parts,
		.n_parts = 1,
		.after = d->doc->row_version,
		.on_row = on_change_row,
		.arg = d,
	};

	if (!d->changes)
		d->changes = tg_table_watch_new(&o);
}

/*
 * The document has changed.  An instance that would take long to read it waits
 * for the change, which one that reads faster writes.
 */
static int64_t scan_delay(void *arg)
{
	struct tg_document *d = arg;
	int64_t ms = expected_ms(d);

	d->newer_in_store = true;
	if (ms <= d->opts.direct_ms)
		return 0;
	follow_changes(d);
	ms = ms *
		(d->change_applied ? CHANGE_WAIT_PERCENT_KNOWN :
				     CHANGE_WAIT_PERCENT) /
		100;
	if (ms < CHANGE_WAIT_MIN_MS)
		return CHANGE_WAIT_MIN_MS;
	return ms < CHANGE_WAIT_MAX_MS ? ms : CHANGE_WAIT_MAX_MS;
}

/* --- interface --- */

struct tg_document *tg_document_new(const struct tg_document_opts *opts)
{
	struct tg_document *d = tg_xcalloc(1, sizeof(*d));
	struct tg_site *s = opts->site;
	struct tg_table_watch_opts o = {
		.site = s,
		.table = s->ops->document_table,
		.few_rows = true,
		.confirm = true,
		.scan_delay = scan_delay,
		.on_row = on_row,
		.on_scan_done = on_scan_done,
		.arg = d,
	};

	d->opts = *opts;
	d->site = s;
	if (opts->publish)
		d->publisher = tg_doc_publisher_new(s, in_force, d);
	d->watch = tg_table_watch_new(&o);
	return d;
}

void tg_document_free(struct tg_document *d)
{
	if (!d)
		return;
	tg_table_watch_free(d->watch);
	tg_table_watch_free(d->changes);
	tg_doc_publisher_free(d->publisher);
	tg_doc_change_clear(&d->change);
	tg_site_doc_free(d->doc);
	free(d);
}

const struct tg_site_doc *tg_document_get(const struct tg_document *d)
{
	return d->doc;
}

int64_t tg_document_not_current_ms(const struct tg_document *d)
{
	int64_t ms = tg_table_watch_not_current_ms(d->watch);
	int64_t heard_ms = tg_now_ms() - d->heard_current_ms;

	if (!d->doc)
		return -1;
	if (d->heard_current_ms && (ms < 0 || heard_ms < ms))
		return heard_ms;
	return ms;
}

static bool newer_is_known(const struct tg_document *d)
{
	return d->newer_in_store || d->heard_generation > d->doc->generation;
}

enum tg_document_state tg_document_state(const struct tg_document *d)
{
	int64_t ms = tg_document_not_current_ms(d);

	if (!d->doc)
		return TG_DOCUMENT_NONE;
	/* Below 0 the scan that has found the document is not complete. */
	if (ms >= 0 && ms < TG_DOCUMENT_BOUND_MS - CLOCK_MARGIN_MS)
		return TG_DOCUMENT_CURRENT;
	if (newer_is_known(d))
		return TG_DOCUMENT_OUTDATED;
	return tg_table_watch_is_failing(d->watch) ? TG_DOCUMENT_UNCONFIRMED :
						     TG_DOCUMENT_CHECKING;
}

void tg_document_heard_of(struct tg_document *d, int64_t generation,
			  int64_t current_ms)
{
	if (d->doc && generation == d->doc->generation &&
	    current_ms > d->heard_current_ms)
		d->heard_current_ms = current_ms;
	if (generation <= d->heard_generation)
		return;
	d->heard_generation = generation;
	if (d->doc && generation > d->doc->generation)
		tg_log(EV_DOCUMENT_NEWER,
		       "generation=%lld in_force=%lld not_current_ms=%lld",
		       (long long)generation, (long long)d->doc->generation,
		       (long long)tg_document_not_current_ms(d));
}
