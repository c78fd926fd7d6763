#include <stdlib.h>
#include <string.h>

#include "board.h"

/*
 * Each write of the owner checks that the owner's row still has the version
 * that the previous write gave it, and changes the row.  So the store refuses a
 * late copy of an earlier write and every write of a former owner.  A write
 * without an answer is repeated unchanged until the row shows whether it took
 * effect.
 */

#define RENEW_MS 500
#define WRITE_TIMEOUT_MS 1000
#define RETRY_MS 150
/*
 * An owner that is cut off from a store that others reach is replaced within
 * about this time.
 */
#define STUCK_MS 1000
/* Changes are collected this long, so that one write covers many ends. */
#define BATCH_DELAY_MS 4
/* A transaction holds 100 entries, of which a few are for the owner's row. */
#define RECORDS_MAX 90
/* The owner's row, records and other rows, and bounds of leases. */
#define ROWS_MAX (RECORDS_MAX + 1 + LEASE_BOUND_ROWS_PER_WRITE)

static struct {
	struct event *timer;
	bool busy; /* a write is in progress or will be repeated */
	struct tg_owner_row row; /* as the write leaves it */
	int64_t seq; /* of the last write collected */
	struct tg_row rows[ROWS_MAX];
	size_t n;
	/*
	 * Progress rows of unknown jobs to delete; the write in progress has
	 * the first ones.
	 */
	char obsolete[RECORDS_MAX][FLOW_PROGRESS_KEY_LEN + 1];
	size_t n_obsolete;
	struct tg_row deletes[RECORDS_MAX];
	size_t n_deletes, n_obsolete_sent;
	size_t n_records; /* records of the write; see flow_take_dirty() */
	size_t records_max; /* at present; see narrow_refused_write() */
	/* Since a single record was refused, a write without any succeeded. */
	bool accepted_without_records;
	const char *last_record; /* key of the last one */
	size_t bytes; /* of all values */
	bool complete; /* the write covers all changes */
	int64_t started_ms; /* this attempt */
	int64_t first_ms; /* the first attempt */
	int failures;
} w;

/** struct call - an attempt of a write: which write of which term it is */
struct call {
	struct board *board;
	uint64_t term;
	int64_t seq;
};

static struct tg_hist *write_us;
static struct tg_counter *refused_records;

static void free_rows(void)
{
	size_t i;

	for (i = 0; i < w.n; i++) {
		free((char *)w.rows[i].key);
		free((char *)w.rows[i].value);
	}
	w.n = 0;
}

static void set_value(struct tg_row *r, char *text)
{
	r->value = text;
	r->value_bytes = strlen(text);
	w.bytes += r->value_bytes;
}

static void add_row(const char *table, const char *key, char *text)
{
	struct tg_row *r = &w.rows[w.n++];

	memset(r, 0, sizeof(*r));
	r->table = table;
	r->part = TG_OWNER_PART;
	r->key = tg_xstrdup(key);
	if (text)
		set_value(r, text);
}

static void add_delete(const char *key)
{
	w.deletes[w.n_deletes++] = (struct tg_row){
		.table = TG_PROGRESS_TABLE,
		.part = TG_OWNER_PART,
		.key = key,
	};
}

/* What can't be recorded must not be started, so the job fails. */
static void refuse_record(struct board *b, const char *key, size_t bytes)
{
	bool failed = flow_record_refused(b->flow, key);

	refused_records->value++;
	tg_log(EV_FLOW_RECORD_REFUSED,
	       "record=%s bytes=%zu row_bytes=%lld "
	       "given_up=%d",
	       key, bytes, (long long)b->site.set.row_bytes, !failed);
	round_wake(b);
}

/* Return: whether there was a record. */
static bool add_record(struct board *b)
{
	const char *key = flow_take_dirty(b->flow);
	char *text;
	json_t *o;

	if (!key)
		return false;
	o = flow_progress_encode(b->flow, key);
	text = o ? json_dumps(o, JSON_COMPACT) : NULL;
	json_decref(o);
	if (text && strlen(text) > (size_t)b->site.set.row_bytes) {
		refuse_record(b, key, strlen(text));
		free(text);
		return true;
	}
	if (text)
		add_row(TG_PROGRESS_TABLE, key, text);
	else
		add_delete(key);
	w.n_records++;
	w.last_record = key;
	return true;
}

static bool has_room(const struct board *b)
{
	const struct tg_site_settings *set = &b->site.set;

	return w.n_records < w.records_max &&
		w.n + w.n_deletes <= RECORDS_MAX &&
		w.bytes + (size_t)set->row_bytes <= (size_t)set->tx_bytes;
}

/* It takes what room the records leave. */
static void add_other_row(struct board *b, const char *table,
			  char *(*next)(struct board *b, char *key,
					size_t size))
{
	char key[FLOW_PROGRESS_KEY_LEN + 1], *text;

	if (w.n + w.n_deletes > RECORDS_MAX ||
	    w.bytes + (size_t)b->site.set.row_bytes >
		    (size_t)b->site.set.tx_bytes)
		return;
	text = next(b, key, sizeof(key));
	if (text)
		add_row(table, key, text);
}

static void add_other_rows(struct board *b)
{
	add_other_row(b, SPEEDS_TABLE, speeds_next_row);
	add_other_row(b, ACCOUNTS_TABLE, accounts_next_row);
}

/*
 * They have room of their own, since a worker that answers again waits for the
 * write that removes its bound.
 */
static void add_lease_bounds(struct board *b)
{
	char key[LEASE_BOUND_KEY_LEN + 1], *text;
	int n;

	for (n = 0; n < LEASE_BOUND_ROWS_PER_WRITE; n++) {
		if (w.bytes + (size_t)b->site.set.row_bytes >
		    (size_t)b->site.set.tx_bytes)
			break;
		text = lease_bounds_next_row(b, key, sizeof(key));
		if (!text)
			break;
		add_row(TG_LEASE_BOUNDS_TABLE, key, text);
	}
	lease_bounds_record(&w.row);
	if (lease_bounds_wait())
		b->write_wanted = true;
}

static void collect(struct board *b)
{
	free_rows();
	w.row = b->owner;
	/*
	 * The number tells this write from one that was given up, also in an
	 * earlier term of this process.
	 */
	if (w.seq < b->owner.seq)
		w.seq = b->owner.seq;
	w.row.seq = ++w.seq;
	w.row.fence = fence_to_record(b);
	if (b->role == ROLE_OWNER) {
		links_record_silent(b, &w.row);
		links_record_exits(b, &w.row);
	}
	standby_record_former(b, &w.row);
	store_seen_record(&b->store_seen, &w.row, tg_now_ms());
	add_row(TG_OWNER_TABLE, TG_OWNER_KEY, NULL);
	w.n_deletes = w.n_records = w.bytes = 0;
	for (w.n_obsolete_sent = 0; w.n_obsolete_sent < w.n_obsolete;)
		add_delete(w.obsolete[w.n_obsolete_sent++]);
	/* A record that is not read yet would be lost. */
	while (b->progress_read && has_room(b) && add_record(b))
		;
	if (b->role == ROLE_OWNER)
		links_record_long_leases(b, &w.row);
	if (b->role == ROLE_OWNER && w.records_max >= RECORDS_MAX)
		add_other_rows(b);
	if (w.records_max >= RECORDS_MAX)
		add_lease_bounds(b);
	w.complete = !b->progress_read || !flow_has_dirty(b->flow);
	/* owner_may_renew() has refused since the row is to say so. */
	w.row.renewals_ended = w.row.released;
	w.row.settled = former_owners_settled(&b->former, tg_now_ms());
	w.row.runs_recorded |= b->role == ROLE_OWNER && w.complete;
	set_value(&w.rows[0], tg_owner_row_encode(&w.row));
	links_write_started(b);
}

static void answer_waiters(struct board *b)
{
	struct waiter **p = &b->waiters;

	while (*p) {
		struct waiter *x = *p;
		struct tg_rpc_answer a = { .status = TG_RPC_OK,
					   .epoch = b->claim_fence,
					   .text = "" };
		struct flow_job_status v;

		if (flow_job_status(b->flow, x->job, &v) && !v.durable) {
			p = &x->next;
			continue;
		}
		tg_rpc_reply(x->req, &a);
		*p = x->next;
		free(x);
	}
}

static bool end_is_durable(const struct board *b, size_t row,
			   struct flow_job_status *v)
{
	return flow_job_status(b->flow, w.rows[row].key, v) &&
		v->state >= FLOW_COMPLETED && v->durable;
}

/*
 * Marks the progress as written, and logs the jobs whose end it makes durable.
 * Row 0 is the owner's row; the others are the progress of jobs.
 */
static void finish_rows(struct board *b)
{
	bool was_durable[ROWS_MAX] = { false };
	struct flow_job_status v;
	size_t i;

	for (i = 1; i < w.n; i++)
		was_durable[i] = end_is_durable(b, i, &v);
	flow_mark_written(b->flow);
	for (i = 1; i < w.n; i++)
		if (!was_durable[i] && end_is_durable(b, i, &v))
			tg_log(EV_FLOW_JOB_OVER,
			       "job=%s state=%s runs=%lld failures=%lld "
			       "done=%lld/%lld",
			       w.rows[i].key, flow_state_name(v.state),
			       (long long)v.runs, (long long)v.failures,
			       (long long)v.done, (long long)v.tasks);
}

static void schedule(int64_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = (ms % 1000) * 1000 };

	event_add(w.timer, &tv);
}

static void forget_deletes(void)
{
	w.n_obsolete -= w.n_obsolete_sent;
	memmove(w.obsolete, w.obsolete + w.n_obsolete_sent,
		w.n_obsolete * sizeof(w.obsolete[0]));
	w.n_deletes = w.n_obsolete_sent = 0;
}

/* If the list is full, the next owner finds and deletes the row. */
void writer_delete_progress(struct board *b, const char *job)
{
	if (w.n_obsolete < RECORDS_MAX)
		tg_strlcpy(w.obsolete[w.n_obsolete++], job,
			   sizeof(w.obsolete[0]));
	writer_wake(b);
}

static void write_succeeded(struct board *b, int64_t version)
{
	tg_hist_add(write_us, (uint64_t)(tg_now_ms() - w.started_ms) * 1000);
	b->owner.seq = w.row.seq;
	b->owner.fence = w.row.fence;
	b->owner.runs_recorded = w.row.runs_recorded;
	b->owner.lease_bounds = w.row.lease_bounds;
	tg_owner_row_copy_workers(&b->owner, &w.row);
	b->owner_version = version;
	w.failures = 0;
	w.busy = false;
	w.accepted_without_records = !w.records_max;
	if (w.records_max < RECORDS_MAX)
		w.records_max = w.records_max ? 2 * w.records_max : 1;
	owner_written(b, w.started_ms);
	finish_rows(b);
	links_fence_recorded(b);
	lease_bounds_written(b);
	round_start_recorded(b);
	forget_deletes();
	free_rows();
	if (w.complete)
		links_write_done(b);
	answer_waiters(b);
	if (!w.complete || b->write_wanted ||
	    w.row.released != b->owner.released)
		schedule(w.complete ? BATCH_DELAY_MS : 0);
	else
		schedule(RENEW_MS);
}

/*
 * The store refuses this write and would always do so.  Nothing has changed, so
 * what it holds is collected anew, in smaller writes, until one with a single
 * record shows which one is refused.  That record is to blame only if the store
 * accepts a write without records in between: it may refuse all for a while.
 *
 * Return: false if the write has no records.
 */
static bool narrow_refused_write(struct board *b)
{
	char key[FLOW_PROGRESS_KEY_LEN + 1];
	size_t n = w.n_records, bytes = w.n > 1 ? w.rows[1].value_bytes : 0;

	if (!n && !w.n_obsolete_sent && w.n == 1)
		return false;
	tg_log(EV_FLOW_WRITE_REFUSED, "records=%zu deletes=%zu bytes=%zu", n,
	       w.n_deletes, w.bytes);
	flow_mark_unwritten(b->flow);
	lease_bounds_not_written(b);
	w.busy = false;
	if (w.n_obsolete_sent) {
		forget_deletes();
	} else if (n > 1) {
		w.records_max = n / 2;
	} else if (!n || !w.accepted_without_records) {
		w.records_max = 0;
	} else {
		tg_strlcpy(key, w.last_record, sizeof(key));
		refuse_record(b, key, bytes);
		w.records_max = RECORDS_MAX;
		w.accepted_without_records = false;
	}
	schedule(0);
	return true;
}

static void handle_result(struct board *b, const struct tg_store_result *r)
{
	struct tg_owner_row now;

	if (r->end == TG_STORE_OK || r->end == TG_STORE_CONFLICT)
		store_seen_answer(&b->store_seen, r->clock_ms, w.started_ms,
				  tg_now_ms());
	else
		store_seen_failure(&b->store_seen);
	if (r->end != TG_STORE_UNAVAILABLE)
		b->refused_since_ms = 0;
	else if (!b->refused_since_ms)
		b->refused_since_ms = tg_now_ms();
	if (r->end == TG_STORE_OK) {
		write_succeeded(b, r->version);
		return;
	}
	if (r->end == TG_STORE_CONFLICT && r->n_rows) {
		if (!tg_owner_row_decode(&r->rows[0], &now) &&
		    !strcmp(now.boot, b->boot) && now.term == b->claim_fence &&
		    now.seq == w.row.seq) {
			/* An earlier copy of this write took effect. */
			write_succeeded(b, r->rows[0].version);
			return;
		}
		owner_lost(b, "another daemon holds the owner row");
		return;
	}
	if (r->end == TG_STORE_INVALID && narrow_refused_write(b))
		return;
	if (!w.failures++)
		tg_log(EV_FLOW_WRITE_FAILED, "end=%d rows=%zu age_ms=%lld",
		       (int)r->end, w.n,
		       (long long)(tg_now_ms() - b->written_ms));
	schedule(RETRY_MS);
}

static void on_written(const struct tg_store_result *r, void *arg)
{
	struct call *c = arg;

	/* The answer to an earlier write says nothing of the present one. */
	if (w.busy && c->term == c->board->term && c->seq == w.row.seq)
		handle_result(c->board, r);
	free(c);
}

static void send_write(struct board *b)
{
	struct tg_row check = {
		.table = TG_OWNER_TABLE,
		.part = TG_OWNER_PART,
		.key = TG_OWNER_KEY,
		.version = b->owner_version,
	};
	struct tg_store_tx tx = {
		.checks = &check,
		.n_checks = 1,
		.puts = w.rows,
		.n_puts = w.n,
		.deletes = w.deletes,
		.n_deletes = w.n_deletes,
		.timeout_ms = WRITE_TIMEOUT_MS,
	};
	struct call *c = tg_xcalloc(1, sizeof(*c));

	c->board = b;
	c->term = b->term;
	c->seq = w.row.seq;
	w.started_ms = tg_now_ms();
	b->site.ops->tx(b->site.port, &tx, on_written, c);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct board *b = arg;

	(void)fd;
	(void)what;
	if (!IS_OWNER(b) || !b->flow)
		return;
	tg_turn_begin();
	if (!w.busy) {
		b->write_wanted = false;
		collect(b);
		w.busy = true;
		w.first_ms = tg_now_ms();
	}
	send_write(b);
	tg_turn_end("write");
}

void writer_wake(struct board *b)
{
	b->write_wanted = true;
	if (!w.busy)
		schedule(BATCH_DELAY_MS);
}

void writer_reset(struct board *b)
{
	struct waiter *x;

	event_del(w.timer);
	w.busy = false;
	w.failures = 0;
	w.n_obsolete = w.n_deletes = w.n_obsolete_sent = 0;
	w.records_max = RECORDS_MAX;
	w.accepted_without_records = false;
	free_rows();
	while ((x = b->waiters)) {
		struct tg_rpc_answer a = { .status = TG_RPC_UNKNOWN,
					   .text = "no longer the owner" };

		b->waiters = x->next;
		tg_rpc_reply(x->req, &a);
		free(x);
	}
}

bool writer_is_stuck(void)
{
	return w.busy && tg_now_ms() - w.first_ms >= STUCK_MS;
}

bool writer_idle(const struct board *b)
{
	return !w.busy && !b->write_wanted;
}

static int start(void *board)
{
	struct board *b = board;

	w.timer = event_new(b->base, -1, 0, on_timer, b);
	event_priority_set(w.timer, TG_PRIORITY_URGENT);
	w.records_max = RECORDS_MAX;
	refused_records =
		tg_counter("tg_flow_refused_records_total",
			   "records that the store refused for good", NULL);
	write_us = tg_histogram("tg_flow_write_us",
				"duration of the owner's writes to the store",
				NULL);
	return 0;
}

static void stop(void *board)
{
	(void)board;
	free_rows();
	event_free(w.timer);
}

const struct tg_controller writer_controller = {
	.name = "writer",
	.start = start,
	.stop = stop,
};
