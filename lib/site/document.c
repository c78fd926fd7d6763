#include <stdlib.h>
#include <string.h>

#include "site/site.h"

/* The clocks of instances may run at slightly different rates. */
#define CLOCK_MARGIN_MS 100

struct tg_document {
	struct tg_document_opts opts;
	struct tg_site *site;
	struct tg_table_watch *watch;
	struct tg_site_doc *doc;
	int64_t heard_generation; /* newest one that another instance uses */
};

static void on_row(const struct tg_row *row, void *arg)
{
	struct tg_document *d = arg;
	struct tg_findings f = { 0 };
	int64_t from_ms = tg_now_ms();
	struct tg_site_doc *doc;

	if (strcmp(row->key, d->site->ops->document_key) != 0 || row->deleted)
		return;
	doc = d->site->ops->decode_document(row, &f);
	if (!doc) {
		tg_log(EV_DOCUMENT_BAD, "version=%lld place=%s fault=%s",
		       (long long)row->version, f.items[0].place,
		       f.items[0].text);
	} else if (d->doc && doc->generation <= d->doc->generation) {
		/* Never return to an older document. */
		tg_site_doc_free(doc);
	} else {
		tg_log(EV_DOCUMENT_IN_FORCE,
		       "generation=%lld before=%lld queues=%zu workspaces=%zu "
		       "bytes=%zu decode_ms=%lld not_current_ms=%lld",
		       (long long)doc->generation,
		       d->doc ? (long long)d->doc->generation : 0,
		       doc->n_queues, doc->n_workspaces, row->value_bytes,
		       (long long)(tg_now_ms() - from_ms),
		       (long long)tg_table_watch_not_current_ms(d->watch));
		tg_site_doc_free(d->doc);
		d->doc = doc;
		if (d->opts.on_change)
			d->opts.on_change(d->opts.arg);
	}
	tg_findings_free(&f);
}

struct tg_document *tg_document_new(const struct tg_document_opts *opts)
{
	struct tg_document *d = tg_xcalloc(1, sizeof(*d));
	struct tg_site *s = opts->site;
	struct tg_table_watch_opts o = {
		.site = s,
		.table = s->ops->document_table,
		.few_rows = true,
		.confirm = true,
		.on_row = on_row,
		.arg = d,
	};

	d->opts = *opts;
	d->site = s;
	d->watch = tg_table_watch_new(&o);
	return d;
}

void tg_document_free(struct tg_document *d)
{
	if (!d)
		return;
	tg_table_watch_free(d->watch);
	tg_site_doc_free(d->doc);
	free(d);
}

const struct tg_site_doc *tg_document_get(const struct tg_document *d)
{
	return d->doc;
}

int64_t tg_document_not_current_ms(const struct tg_document *d)
{
	return d->doc ? tg_table_watch_not_current_ms(d->watch) : -1;
}

static bool newer_is_known(const struct tg_document *d)
{
	return d->heard_generation > d->doc->generation;
}

enum tg_document_state tg_document_state(const struct tg_document *d)
{
	if (!d->doc)
		return TG_DOCUMENT_NONE;
	if (tg_document_not_current_ms(d) <
	    TG_DOCUMENT_BOUND_MS - CLOCK_MARGIN_MS)
		return TG_DOCUMENT_CURRENT;
	return newer_is_known(d) ? TG_DOCUMENT_OUTDATED :
				   TG_DOCUMENT_UNCONFIRMED;
}

void tg_document_heard_of(struct tg_document *d, int64_t generation)
{
	if (generation <= d->heard_generation)
		return;
	d->heard_generation = generation;
	if (d->doc && newer_is_known(d))
		tg_log(EV_DOCUMENT_NEWER,
		       "generation=%lld in_force=%lld not_current_ms=%lld",
		       (long long)generation, (long long)d->doc->generation,
		       (long long)tg_document_not_current_ms(d));
}
