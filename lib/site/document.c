#include <stdlib.h>
#include <string.h>

#include "site/site.h"

struct tg_document {
	struct tg_site *site;
	struct tg_table_watch *watch;
	struct tg_site_doc *doc;
	void (*on_change)(void *arg);
	void *arg;
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
		if (d->on_change)
			d->on_change(d->arg);
	}
	tg_findings_free(&f);
}

struct tg_document *tg_document_new(struct tg_site *s,
				    void (*on_change)(void *arg), void *arg)
{
	struct tg_document *d = tg_xcalloc(1, sizeof(*d));
	struct tg_table_watch_opts o = {
		.site = s,
		.table = s->ops->document_table,
		.few_rows = true,
		.on_row = on_row,
		.arg = d,
	};

	d->site = s;
	d->on_change = on_change;
	d->arg = arg;
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
