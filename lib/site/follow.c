#include <stdlib.h>
#include <string.h>

#include "site/site.h"

/*
 * A connection can stop working without being closed, which is noticed only
 * when the call on it times out.  Changes must be in force within 3 s, so an
 * answer must begin much sooner.  Once it has begun, it takes as long as the
 * link needs for it.
 */
#define FEED_WAIT_MS 1200
#define SCAN_TIMEOUT_MS 1500
/*
 * Longest pause in an answer.  It doubles each time that an answer does not
 * arrive whole, so that a link that is worse than that is waited for as well.
 */
#define STALL_MS 800
#define STALL_MAX_MS 12800
#define RETRY_MS 200
/* Answers from this size on are logged. */
#define LARGE_BYTES (64 << 10)
/*
 * Changes of a table with few rows are read from the feed up to this percentage
 * of the size of the last scan, and in any case up to LARGE_BYTES.  It leaves
 * room for rows that have grown, but not for two versions of a large row.
 */
#define FEED_MAX_PERCENT 150

struct tg_table_watch {
	struct tg_table_watch_opts opts;
	struct event *retry;
	int64_t after; /* version up to which rows are known; 0: scan needed */
	int64_t scan_version; /* version in the first answer of the scan */
	int64_t settled_version; /* see tg_table_watch_settled_version() */
	int64_t unavailable_since_ms; /* 0 while the store answers */
	int64_t answered_since_ms; /* see the function; or 0 */
	int64_t changed_after_ms; /* of the rows being delivered; or 0 */
	int64_t changed_after_clock_ms; /* the same by the store's clock */
	int64_t settled_clock_ms; /* the store's clock at settled_version */
	int64_t current_ms; /* when rows were last known to be current; or 0 */
	int64_t call_ms; /* when the call in progress began */
	int64_t wait_ms; /* how long the feed may delay its answer */
	int64_t scan_ms; /* when the scan began */
	bool confirmed; /* the last feed had no change */
	int64_t stall_ms; /* longest pause in the next answer */
	int64_t scan_bytes; /* size of all answers of the last scan */
	int part; /* index of the part that is being scanned */
	char *from; /* key at which the scan goes on in the part; or NULL */
	int64_t call_after; /* version that the feed in progress asked for */
	int64_t limit_bytes; /* see tg_table_watch_limit(); 0: none */
	struct tg_store_transfer transfer; /* of the last answer */
	bool scan_due; /* the scan begins when @retry fires */
	bool scanning;
	bool in_call; /* a call is in progress, or a callback is running */
	bool free_pending; /* to be freed when the call ends */
	bool finished;
};

static void start_next_call(struct tg_table_watch *f);

static void free_watch(struct tg_table_watch *f)
{
	free(f->from);
	free(f);
}

static void schedule_call(struct tg_table_watch *f, int64_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = (ms % 1000) * 1000 };

	event_add(f->retry, &tv);
}

static void retry_later(struct tg_table_watch *f)
{
	schedule_call(f, RETRY_MS);
}

static void start_scheduled_call(struct tg_table_watch *f)
{
	if (f->scan_due)
		f->after = 0;
	f->scan_due = false;
	start_next_call(f);
}

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	start_scheduled_call(arg);
}

static void log_transfer(const struct tg_table_watch *f,
			 const struct tg_store_result *r)
{
	const struct tg_store_transfer *t = &r->transfer;

	if (!t->cut && (r->end != TG_STORE_OK || t->bytes < LARGE_BYTES))
		return;
	tg_log(t->cut ? EV_STORE_READ_CUT : EV_STORE_READ_LARGE,
	       "table=%s scan=%d after=%lld bytes=%lld wait_ms=%lld "
	       "receive_ms=%lld rows=%zu not_current_ms=%lld",
	       f->opts.table, f->scanning, (long long)f->after,
	       (long long)t->bytes, (long long)t->wait_ms,
	       (long long)t->receive_ms, r->n_rows,
	       (long long)tg_table_watch_not_current_ms(f));
}

static void update_stall_limit(struct tg_table_watch *f,
			       const struct tg_store_result *r)
{
	if (r->end == TG_STORE_OK)
		f->stall_ms = STALL_MS;
	else if (r->transfer.cut && f->stall_ms < STALL_MAX_MS)
		f->stall_ms *= 2;
}

static void record_availability(struct tg_table_watch *f,
				const struct tg_store_result *r)
{
	int64_t now_ms = tg_now_ms();

	f->transfer = r->transfer;
	if (r->end != TG_STORE_OK)
		f->answered_since_ms = 0;
	log_transfer(f, r);
	update_stall_limit(f, r);
	if (r->end == TG_STORE_OK) {
		if (f->unavailable_since_ms)
			tg_log(EV_STORE_REGAINED, "table=%s after_ms=%lld",
			       f->opts.table,
			       (long long)(now_ms - f->unavailable_since_ms));
		f->unavailable_since_ms = 0;
		if (!f->answered_since_ms)
			f->answered_since_ms = now_ms;
	} else if (!f->unavailable_since_ms) {
		f->unavailable_since_ms = now_ms;
		tg_log(EV_STORE_LOST,
		       "table=%s after=%lld end=%d bytes=%lld wait_ms=%lld",
		       f->opts.table, (long long)f->after, (int)r->end,
		       (long long)r->transfer.bytes,
		       (long long)r->transfer.wait_ms);
	}
}

static const char *current_part(const struct tg_table_watch *f)
{
	return f->opts.parts ? f->opts.parts[f->part] : "";
}

/* From now on the store is read at or after @version. */
static void settle(struct tg_table_watch *f, int64_t version)
{
	if (f->settled_version < version)
		f->settled_version = version;
}

static void deliver_rows(struct tg_table_watch *f,
			 const struct tg_store_result *r)
{
	size_t i;

	for (i = 0; i < r->n_rows; i++)
		f->opts.on_row(&r->rows[i], f->opts.arg);
}

/* Sets where the scan goes on: keys are ordered by bytes, so after the last. */
static void advance_scan(struct tg_table_watch *f,
			 const struct tg_store_result *r)
{
	free(f->from);
	f->from = NULL;
	if (r->more && r->n_rows) {
		f->from = tg_xasprintf("%s\x01", r->rows[r->n_rows - 1].key);
		return;
	}
	f->part++;
	if (f->opts.parts && f->part < f->opts.n_parts)
		return;
	f->scanning = false;
	f->confirmed = false;
	f->current_ms = f->scan_ms;
	if (f->after < f->scan_version)
		f->after = f->scan_version;
	f->finished = f->opts.once;
	if (f->opts.on_scan_done)
		f->opts.on_scan_done(f->opts.arg);
}

/* Return: whether @f has been freed. */
static bool end_call(struct tg_table_watch *f)
{
	f->in_call = false;
	if (!f->free_pending)
		return false;
	free_watch(f);
	return true;
}

static void on_scan_result(const struct tg_store_result *r, void *arg)
{
	struct tg_table_watch *f = arg;

	if (end_call(f))
		return;
	record_availability(f, r);
	if (r->end != TG_STORE_OK) {
		retry_later(f);
		return;
	}
	if (!f->scan_version) {
		f->scan_version = r->version;
		f->settled_clock_ms = r->clock_ms;
	}
	settle(f, f->scan_version);
	f->changed_after_clock_ms = 0;
	f->scan_bytes += r->transfer.bytes;
	f->changed_after_ms = 0;
	f->in_call = true; /* callbacks may free @f; end_call() does it */
	deliver_rows(f, r);
	advance_scan(f, r);
	if (!end_call(f))
		start_next_call(f);
}

/* 0 for no limit. */
static int64_t feed_max_bytes(const struct tg_table_watch *f)
{
	int64_t max_bytes = f->scan_bytes * FEED_MAX_PERCENT / 100;

	if (!f->opts.few_rows)
		return 0;
	if (f->limit_bytes && max_bytes > f->limit_bytes)
		max_bytes = f->limit_bytes;
	return max_bytes > LARGE_BYTES ? max_bytes : LARGE_BYTES;
}

static void on_too_large(struct tg_table_watch *f)
{
	int64_t delay_ms;

	f->confirmed = false;
	/* The rows have become known while the call was in progress. */
	if (f->after > f->call_after) {
		start_next_call(f);
		return;
	}
	delay_ms = f->opts.scan_delay ? f->opts.scan_delay(f->opts.arg) : 0;
	tg_log(EV_STORE_CHANGES_LARGE,
	       "table=%s after=%lld scan_bytes=%lld limit_bytes=%lld "
	       "delay_ms=%lld",
	       f->opts.table, (long long)f->after, (long long)f->scan_bytes,
	       (long long)feed_max_bytes(f), (long long)delay_ms);
	f->scan_due = true;
	schedule_call(f, delay_ms);
}

static void on_feed_result(const struct tg_store_result *r, void *arg)
{
	struct tg_table_watch *f = arg;

	if (end_call(f))
		return;
	if (r->end == TG_STORE_HISTORY_GONE) {
		tg_log(EV_STORE_GAP, "table=%s after=%lld", f->opts.table,
		       (long long)f->after);
		f->after = 0;
		start_next_call(f);
		return;
	}
	if (r->end == TG_STORE_TOO_LARGE) {
		on_too_large(f);
		return;
	}
	record_availability(f, r);
	if (r->end != TG_STORE_OK) {
		f->confirmed = false;
		retry_later(f);
		return;
	}
	if (r->version > f->after)
		f->after = r->version;
	settle(f, f->after);
	f->changed_after_clock_ms = f->settled_clock_ms;
	f->settled_clock_ms = r->clock_ms;
	f->confirmed = !r->n_rows;
	f->changed_after_ms = f->current_ms;
	f->current_ms = f->call_ms;
	/* The store has seen no change for the time that it was to wait. */
	if (f->confirmed && f->call_ms + f->wait_ms <= tg_now_ms())
		f->current_ms += f->wait_ms;
	f->in_call = true;
	deliver_rows(f, r);
	if (!end_call(f))
		start_next_call(f);
}

static void start_next_call(struct tg_table_watch *f)
{
	struct tg_site *s = f->opts.site;

	if (f->in_call || f->finished)
		return;
	f->in_call = true;
	f->call_ms = tg_now_ms();
	if (!f->after && !f->scanning) {
		f->scanning = true;
		f->scan_ms = f->call_ms;
		f->scan_version = f->scan_bytes = 0;
		f->part = 0;
		free(f->from);
		f->from = NULL;
		if (f->opts.on_scan_start)
			f->opts.on_scan_start(f->opts.arg);
	}
	f->wait_ms = f->opts.confirm && !f->confirmed ? 0 : FEED_WAIT_MS;
	if (f->scanning) {
		struct tg_store_range range = {
			.table = f->opts.table,
			.part = current_part(f),
			.from = f->from,
			.timeout_ms = SCAN_TIMEOUT_MS,
			.stall_ms = f->stall_ms,
		};

		s->ops->get(s->port, &range, on_scan_result, f);
	} else {
		struct tg_store_feed feed = {
			.table = f->opts.table,
			.after = f->after,
			.max_bytes = feed_max_bytes(f),
			.wait_ms = f->wait_ms,
			.stall_ms = f->stall_ms,
		};

		f->call_after = f->after;
		s->ops->feed(s->port, &feed, on_feed_result, f);
	}
}

struct tg_table_watch *
tg_table_watch_new(const struct tg_table_watch_opts *opts)
{
	struct tg_table_watch *f = tg_xcalloc(1, sizeof(*f));

	f->opts = *opts;
	f->stall_ms = STALL_MS;
	f->after = opts->after;
	f->retry = event_new(opts->site->base, -1, 0, on_retry, f);
	start_next_call(f);
	return f;
}

void tg_table_watch_free(struct tg_table_watch *f)
{
	if (!f)
		return;
	event_free(f->retry);
	f->retry = NULL;
	if (f->in_call)
		f->free_pending = true;
	else
		free_watch(f);
}

void tg_table_watch_advance(struct tg_table_watch *f, int64_t version)
{
	if (version <= f->after)
		return;
	f->after = version;
	settle(f, version);
	if (!f->scan_due)
		return;
	f->scan_due = false;
	event_del(f->retry);
	start_next_call(f);
}

void tg_table_watch_limit(struct tg_table_watch *f, int64_t bytes)
{
	f->limit_bytes = bytes;
}

const struct tg_store_transfer *
tg_table_watch_transfer(const struct tg_table_watch *f)
{
	return &f->transfer;
}

bool tg_table_watch_is_failing(const struct tg_table_watch *f)
{
	return f->unavailable_since_ms != 0;
}

int64_t tg_table_watch_settled_version(const struct tg_table_watch *f)
{
	return f->settled_version;
}

int64_t tg_table_watch_not_current_ms(const struct tg_table_watch *f)
{
	return f->current_ms ? tg_now_ms() - f->current_ms : -1;
}

int64_t tg_table_watch_changed_after_ms(const struct tg_table_watch *f)
{
	return f->changed_after_ms;
}

int64_t tg_table_watch_changed_after_clock_ms(const struct tg_table_watch *f)
{
	return f->changed_after_clock_ms;
}

int64_t tg_table_watch_settled_clock_ms(const struct tg_table_watch *f)
{
	return f->settled_clock_ms;
}

int64_t tg_table_watch_answered_since_ms(const struct tg_table_watch *f)
{
	return f->answered_since_ms;
}
