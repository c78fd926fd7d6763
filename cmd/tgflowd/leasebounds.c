#include "leasebounds.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "board.h"
#include "rowlist.h"

/*
 * When the leases on silent workers have expired, for the next owner.
 *
 * An owner knows until when a worker that has stopped answering may hold
 * leases.  The next one can't know, and would count from the end of all former
 * owners.  So the owner stores a bound for each silent worker, by the store's
 * clock.
 *
 * From the moment at which a write takes the bound until a later write has
 * removed it, the owner sends the worker no call with an expiry.  So the bound
 * holds for all owners that the worker has had, whether they have ended or not:
 * each of them that has stored a bound doesn't renew, and each before it is
 * covered by the bound, which counts what that one may still renew.  It says
 * nothing of another process of the worker, which may have carried out calls
 * that were meant for the one before.
 */

#define FAILURES_MIN 2

/**
 * struct lease_bound - latest expiry of the leases on a worker
 * @clock_ms: the bound, by the store's clock
 * @stored: the store has it, or may have
 * @in_write: the write in progress has it
 * @other_process: it was taken for the process before the one that is known
 */
struct lease_bound {
	char worker[TG_KEY_MAX + 1];
	int64_t clock_ms;
	bool stored, in_write, other_process;
	UT_hash_handle hh;
};

/** struct bound_row - the workers whose ids have the same hash */
struct bound_row {
	struct lease_bound *bounds;
	bool changed; /* it differs from what is stored */
	bool in_write;
	bool obsolete; /* stored before an owner that didn't keep to it */
};

static struct {
	struct tg_table_watch *table;
	void (*done)(struct board *b);
	struct bound_row rows[LEASE_BOUND_ROWS];
	int n_obsolete, next_row;
	bool read;
} s;

static int row_of(const char *worker)
{
	return (int)(tg_hash64(worker, strlen(worker)) % LEASE_BOUND_ROWS);
}

static struct lease_bound *find(const char *worker)
{
	struct lease_bound *e;

	HASH_FIND_STR(s.rows[row_of(worker)].bounds, worker, e);
	return e;
}

static struct lease_bound *get(const char *worker, int64_t clock_ms)
{
	struct lease_bound *e = find(worker);

	if (e)
		return e;
	e = tg_xcalloc(1, sizeof(*e));
	tg_strlcpy(e->worker, worker, sizeof(e->worker));
	e->clock_ms = clock_ms;
	HASH_ADD_STR(s.rows[row_of(worker)].bounds, worker, e);
	return e;
}

static void free_bound(struct bound_row *r, struct lease_bound *e)
{
	HASH_DEL(r->bounds, e);
	free(e);
}

int64_t lease_bound_former_ms(const struct board *b, const char *worker)
{
	const struct lease_bound *e = find(worker);

	if (!e || !e->stored || !b->store_seen.last.clock_ms)
		return 0;
	return tg_store_clock_latest(&b->store_seen.last, e->clock_ms);
}

bool lease_is_bounded(const char *worker)
{
	return find(worker) != NULL;
}

/*
 * Whether a bound is worth a write.  A single poll may fail for other reasons,
 * and the worker gets no renewal before a write has removed its bound.  One
 * that has left the directory is not polled.
 */
static bool is_silent(const struct link *l)
{
	return l->failed && l->may_have_runs &&
		(l->failures >= FAILURES_MIN || !l->in_directory);
}

void lease_bound_changed(const struct link *l)
{
	bool is_bounded = lease_is_bounded(l->entry.id);

	if (!is_bounded && !is_silent(l))
		return;
	s.rows[row_of(l->entry.id)].changed = true;
	/* It waits for its next renewal. */
	if (is_bounded && !l->failed)
		writer_wake(l->board);
}

void lease_bounds_drop_unknown(struct board *b)
{
	struct lease_bound *e, *tmp;
	int i;

	for (i = 0; i < LEASE_BOUND_ROWS; i++)
		HASH_ITER(hh, s.rows[i].bounds, e, tmp)
			if (!link_find(b, e->worker))
				s.rows[i].changed = true;
}

void lease_bound_process_ended(const struct link *l)
{
	struct lease_bound *e = find(l->entry.id);

	if (!e)
		return;
	e->other_process = true;
	s.rows[row_of(l->entry.id)].changed = true;
	writer_wake(l->board);
}

/* --- reading --- */

/* Return: false if the entry is not valid. */
static bool read_entry(const json_t *e, int row)
{
	const char *worker = json_string_value(json_array_get(e, 0));
	const json_t *clock_ms = json_array_get(e, 1);

	if (!worker || strlen(worker) > TG_KEY_MAX || row_of(worker) != row ||
	    !json_is_integer(clock_ms) || json_integer_value(clock_ms) <= 0)
		return false;
	get(worker, json_integer_value(clock_ms))->stored = true;
	return true;
}

static void on_row(const struct tg_row *row, void *arg)
{
	const struct board *b = arg;
	json_t *o, *list, *e;
	char *end;
	long n = strtol(row->key, &end, 10);
	bool valid;
	size_t i;

	if (row->deleted)
		return;
	if (*end || n < 0 || n >= LEASE_BOUND_ROWS) {
		tg_log(EV_ROW_BAD, "table=%s key=%s version=%lld",
		       TG_LEASE_BOUNDS_TABLE, row->key,
		       (long long)row->version);
		return;
	}
	if (!b->owner.lease_bounds) {
		s.n_obsolete += !s.rows[n].obsolete;
		s.rows[n].obsolete = s.rows[n].changed = true;
		return;
	}
	o = json_loadb(row->value, row->value_bytes, 0, NULL);
	list = json_object_get(o, "workers");
	valid = json_is_array(list);
	json_array_foreach(list, i, e)
		valid &= read_entry(e, (int)n);
	if (!valid)
		tg_log(EV_ROW_BAD, "table=%s key=%s version=%lld",
		       TG_LEASE_BOUNDS_TABLE, row->key,
		       (long long)row->version);
	json_decref(o);
}

static void on_read(void *arg)
{
	struct board *b = arg;

	s.read = true;
	s.done(b);
}

void lease_bounds_open(struct board *b, void (*done)(struct board *b))
{
	static const char *const parts[] = { TG_OWNER_PART };
	struct tg_table_watch_opts o = {
		.site = &b->site,
		.table = TG_LEASE_BOUNDS_TABLE,
		.parts = parts,
		.n_parts = 1,
		.once = true,
		.on_row = on_row,
		.on_scan_done = on_read,
		.arg = b,
	};

	memset(&s, 0, sizeof(s));
	s.done = done;
	s.table = tg_table_watch_new(&o);
}

bool lease_bounds_are_read(void)
{
	return s.read;
}

int lease_bounds_count(void)
{
	int i, n = 0;

	for (i = 0; i < LEASE_BOUND_ROWS; i++)
		n += (int)HASH_COUNT(s.rows[i].bounds);
	return n;
}

void lease_bounds_close(void)
{
	struct lease_bound *e, *tmp;
	int i;

	for (i = 0; i < LEASE_BOUND_ROWS; i++)
		HASH_ITER(hh, s.rows[i].bounds, e, tmp)
			free_bound(&s.rows[i], e);
	if (s.table)
		tg_table_watch_free(s.table);
	memset(&s, 0, sizeof(s));
}

/* --- writing --- */

/*
 * The bound that this owner knows, by the store's clock; 0 if the worker has no
 * runs, or if the store's clock isn't known.
 */
static int64_t known_clock_ms(const struct link *l)
{
	const struct tg_store_clock *c = &l->board->store_seen.last;

	if (!l->may_have_runs || !c->clock_ms)
		return 0;
	return tg_store_clock_by(c, link_leases_end_ms(l));
}

/*
 * A bound is kept while nothing has come from the worker, also after its runs
 * have been declared lost: tasks that the store still records there need it.
 */
static bool is_still_needed(const struct board *b, const struct link *l)
{
	if (!l)
		return !b->directory_read;
	return l->failed || !l->clock_at_ms;
}

static void add_stored(struct board *b, int row, struct row_list *list)
{
	struct lease_bound *e, *tmp;

	HASH_ITER(hh, s.rows[row].bounds, e, tmp) {
		const struct link *l = link_find(b, e->worker);
		int64_t clock_ms = l ? known_clock_ms(l) : 0;

		if (!is_still_needed(b, l) || (e->other_process && !clock_ms))
			continue;
		if (clock_ms && (e->other_process || clock_ms < e->clock_ms))
			e->clock_ms = clock_ms;
		e->other_process = false;
		e->in_write = row_list_add(
			list,
			json_pack("[s,I]", e->worker, (json_int_t)e->clock_ms));
	}
}

static void add_silent(struct board *b, int row, struct row_list *list)
{
	const struct link *l;

	DL_FOREACH2(b->failed, l, failed_next)
	{
		int64_t clock_ms = known_clock_ms(l);

		if (!clock_ms || !is_silent(l) || row_of(l->entry.id) != row ||
		    lease_is_bounded(l->entry.id))
			continue;
		if (row_list_add(list,
				 json_pack("[s,I]", l->entry.id,
					   (json_int_t)clock_ms)))
			get(l->entry.id, clock_ms)->in_write = true;
	}
}

/* Rows that an owner of an older version has not maintained are emptied. */
static char *encode_row(struct board *b, int row)
{
	struct row_list list;
	char *text;

	row_list_begin(&list, b->site.set.row_bytes);
	if (!s.n_obsolete) {
		add_stored(b, row, &list);
		add_silent(b, row, &list);
	}
	text = row_list_end(&list, "workers");
	return text ? text : tg_xstrdup("{\"workers\":[]}");
}

static bool is_due(int row)
{
	if (!s.rows[row].changed)
		return false;
	return s.rows[row].obsolete || !s.n_obsolete;
}

static int next_due(void)
{
	int i;

	for (i = 0; s.read && i < LEASE_BOUND_ROWS; i++) {
		int row = (s.next_row + i) % LEASE_BOUND_ROWS;

		if (is_due(row))
			return row;
	}
	return -1;
}

char *lease_bounds_next_row(struct board *b, char *key, size_t size)
{
	int row = next_due();

	if (row < 0)
		return NULL;
	s.next_row = (row + 1) % LEASE_BOUND_ROWS;
	s.rows[row].changed = false;
	s.rows[row].in_write = true;
	snprintf(key, size, "%02d", row);
	return encode_row(b, row);
}

bool lease_bounds_wait(void)
{
	return next_due() >= 0;
}

void lease_bounds_record(struct tg_owner_row *r)
{
	if (s.read)
		r->lease_bounds = !s.n_obsolete;
}

/*
 * Ends the write of a row.  If it is given up, the store may have its bounds
 * all the same: an earlier copy of it may have taken effect, or may do so
 * later.
 */
static void end_write(struct board *b, struct bound_row *r, bool stored)
{
	struct lease_bound *e, *tmp;

	r->in_write = false;
	if (stored && r->obsolete) {
		r->obsolete = false;
		s.n_obsolete--;
	}
	if (!stored)
		r->changed = true;
	HASH_ITER(hh, r->bounds, e, tmp) {
		struct link *l;

		e->stored = e->in_write || (e->stored && !stored);
		e->in_write = false;
		if (e->stored)
			continue;
		l = link_find(b, e->worker);
		free_bound(r, e);
		if (!l)
			continue;
		link_update_suspect(l);
		round_wake(b);
		l->next_poll_ms = 0;
		link_poll_if_due(l);
	}
}

static void end_writes(struct board *b, bool stored)
{
	int row;

	for (row = 0; row < LEASE_BOUND_ROWS; row++)
		if (s.rows[row].in_write)
			end_write(b, &s.rows[row], stored);
}

void lease_bounds_written(struct board *b)
{
	end_writes(b, true);
}

void lease_bounds_not_written(struct board *b)
{
	end_writes(b, false);
}
