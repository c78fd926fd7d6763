#include <stdlib.h>
#include <string.h>

#include "site/site.h"

/*
 * A connection can fall silent for good.  Changes must be in force within 3 s,
 * so a call to the feed ends well before.
 */
#define FEED_WAIT_MS 1200
#define SCAN_TIMEOUT_MS 1500
#define RETRY_MS 200

struct tg_follow {
	struct tg_follow_opts opts;
	struct event *retry;
	int64_t after; /* version up to which rows are known; 0: not scanned */
	int64_t scan_version; /* of the first answer of a scan */
	int64_t lost_ms; /* since when the store does not answer, or 0 */
	int part;
	char from[256];
	bool scanning, calling, freed, finished;
};

static void step(struct tg_follow *f);

static void retry_later(struct tg_follow *f)
{
	struct timeval tv = { .tv_usec = RETRY_MS * 1000 };

	event_add(f->retry, &tv);
}

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	step(arg);
}

static void note_answer(struct tg_follow *f, bool answered)
{
	int64_t now_ms = tg_now_ms();

	if (answered) {
		if (f->lost_ms)
			tg_log(EV_STORE_REGAINED, "table=%s after_ms=%lld",
			       f->opts.table, (long long)(now_ms - f->lost_ms));
		f->lost_ms = 0;
	} else if (!f->lost_ms) {
		f->lost_ms = now_ms;
		tg_log(EV_STORE_LOST, "table=%s", f->opts.table);
	}
}

static const char *current_part(const struct tg_follow *f)
{
	return f->opts.parts ? f->opts.parts[f->part] : "";
}

static void deliver(struct tg_follow *f, const struct tg_store_result *r)
{
	size_t i;

	for (i = 0; i < r->n_rows; i++)
		f->opts.on_row(&r->rows[i], f->opts.arg);
}

/* Keys come in order of bytes; the next begins after the last one. */
static void continue_scan(struct tg_follow *f, const struct tg_store_result *r)
{
	if (r->more && r->n_rows) {
		snprintf(f->from, sizeof(f->from), "%s\x01",
			 r->rows[r->n_rows - 1].key);
		return;
	}
	f->from[0] = '\0';
	f->part++;
	if (f->opts.parts && f->part < f->opts.n_parts)
		return;
	f->scanning = false;
	f->after = f->scan_version;
	f->finished = f->opts.once;
	if (f->opts.on_scanned)
		f->opts.on_scanned(f->opts.arg);
}

static bool finish_call(struct tg_follow *f)
{
	f->calling = false;
	if (!f->freed)
		return false;
	free(f);
	return true;
}

static void on_scan(const struct tg_store_result *r, void *arg)
{
	struct tg_follow *f = arg;

	if (finish_call(f))
		return;
	note_answer(f, r->end == TG_STORE_OK);
	if (r->end != TG_STORE_OK) {
		retry_later(f);
		return;
	}
	if (!f->scan_version)
		f->scan_version = r->version;
	f->calling = true; /* callbacks may free us */
	deliver(f, r);
	continue_scan(f, r);
	if (!finish_call(f))
		step(f);
}

static void on_feed(const struct tg_store_result *r, void *arg)
{
	struct tg_follow *f = arg;

	if (finish_call(f))
		return;
	if (r->end == TG_STORE_HISTORY_GONE) {
		tg_log(EV_STORE_GAP, "table=%s after=%lld", f->opts.table,
		       (long long)f->after);
		f->after = 0;
		step(f);
		return;
	}
	note_answer(f, r->end == TG_STORE_OK);
	if (r->end != TG_STORE_OK) {
		retry_later(f);
		return;
	}
	if (r->version > f->after)
		f->after = r->version;
	f->calling = true;
	deliver(f, r);
	if (!finish_call(f))
		step(f);
}

static void step(struct tg_follow *f)
{
	struct tg_site *s = f->opts.site;

	if (f->calling || f->finished)
		return;
	f->calling = true;
	if (!f->after && !f->scanning) {
		f->scanning = true;
		f->scan_version = 0;
		f->part = 0;
		f->from[0] = '\0';
		if (f->opts.on_scan)
			f->opts.on_scan(f->opts.arg);
	}
	if (f->scanning) {
		struct tg_store_range range = {
			.table = f->opts.table,
			.part = current_part(f),
			.from = f->from,
			.timeout_ms = SCAN_TIMEOUT_MS,
		};

		s->ops->get(s->port, &range, on_scan, f);
	} else {
		s->ops->feed(s->port, f->opts.table, f->after, FEED_WAIT_MS,
			     on_feed, f);
	}
}

struct tg_follow *tg_follow_new(const struct tg_follow_opts *opts)
{
	struct tg_follow *f = tg_xcalloc(1, sizeof(*f));

	f->opts = *opts;
	f->retry = event_new(opts->site->base, -1, 0, on_retry, f);
	step(f);
	return f;
}

void tg_follow_free(struct tg_follow *f)
{
	if (!f)
		return;
	event_free(f->retry);
	f->retry = NULL;
	if (f->calling)
		f->freed = true; /* the call frees it */
	else
		free(f);
}
