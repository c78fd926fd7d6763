#include <stdlib.h>
#include <string.h>

#include "jobrow.h"
#include "rowwrite.h"

/*
 * A write conflicts if a renewal changes the scheduler row meanwhile, once in
 * sched_renew_ms; two conflicts in a row are unlikely.
 */
#define WRITE_ATTEMPTS_MAX 5
#define READ_RETRY_MS 500

struct write {
	struct board *board;
	char job[TG_NAME_MAX + 1];
	uint64_t version, term;
	json_t *value;
	row_write_done done;
	int attempts;
};

void sched_row_key(const struct board *b, char *out)
{
	snprintf(out, TG_KEY_MAX, "sched/%s", b->opts->az);
}

bool sched_row_is_own(const struct board *b, const struct tg_row *row)
{
	const char *boot =
		json_string_value(json_object_get(row->value, "boot"));

	return boot && !strcmp(boot, tg_member_boot_id(b->member)) &&
		(uint64_t)json_integer_value(
			json_object_get(row->value, "epoch")) >= b->term;
}

static void free_write(struct write *w)
{
	json_decref(w->value);
	free(w);
}

static void finish_write(struct write *w, enum tg_plat_result end,
			 uint64_t version, const struct tg_row *found)
{
	struct board *b = w->board;

	if (end == TG_PLAT_UNAVAILABLE || end == TG_PLAT_UNKNOWN)
		board_set_table_available(b, false);
	if (b->term == w->term)
		w->done(b, w->job, end, version, found);
	free_write(w);
}

static void send_write(struct write *w);

static const struct tg_row *find_row(const struct tg_row *rows, size_t n,
				     const char *key)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(rows[i].key, key))
			return &rows[i];
	return NULL;
}

static void on_conflict(struct write *w, const struct tg_row *rows, size_t n)
{
	struct board *b = w->board;
	char key[TG_KEY_MAX];
	const struct tg_row *sched_row, *job;

	sched_row_key(b, key);
	sched_row = find_row(rows, n, key);
	jobrow_key(b, w->job, key);
	job = find_row(rows, n, key);
	if (sched_row && !sched_row_is_own(b, sched_row)) {
		board_step_down(b, "row",
				(uint64_t)json_integer_value(json_object_get(
					sched_row->value, "epoch")));
		/*
		 * Nothing was written.  Only a fault test with
		 * unsafe_ignore_epoch is still active here.
		 */
		finish_write(w, TG_PLAT_INVALID, 0, NULL);
		return;
	}
	if (sched_row && !job && ++w->attempts < WRITE_ATTEMPTS_MAX) {
		if (!b->row_write_in_flight)
			b->row_version = sched_row->version;
		send_write(w);
		return;
	}
	if (job)
		finish_write(w, TG_PLAT_CONFLICT, 0, job);
	else
		finish_write(w, TG_PLAT_UNAVAILABLE, 0, NULL);
}

static void on_txn_done(enum tg_plat_result end, const struct tg_row *rows,
			size_t n, void *arg)
{
	struct write *w = arg;

	if (w->board->term != w->term)
		free_write(w);
	else if (end == TG_PLAT_CONFLICT)
		on_conflict(w, rows, n);
	else
		finish_write(w, end,
			     end == TG_PLAT_OK && n ? rows[0].version : 0,
			     NULL);
}

static void send_write(struct write *w)
{
	struct board *b = w->board;
	struct tg_txn *t = tg_txn_new(b->plat);
	char key[TG_KEY_MAX];

	sched_row_key(b, key);
	tg_txn_if(t, key, b->row_version);
	jobrow_key(b, w->job, key);
	tg_txn_if(t, key, w->version);
	if (w->value)
		tg_txn_put(t, key, json_incref(w->value));
	else
		tg_txn_delete(t, key);
	tg_txn_commit(t, on_txn_done, w);
}

void row_write(struct board *b, const char *job, uint64_t version,
	       json_t *value, row_write_done done)
{
	struct write *w = tg_xcalloc(1, sizeof(*w));

	w->board = b;
	tg_strlcpy(w->job, job, sizeof(w->job));
	w->version = version;
	w->term = b->term;
	w->value = value;
	w->done = done;
	send_write(w);
}

struct row_read {
	struct board *board;
	char job[TG_NAME_MAX + 1];
	uint64_t term;
};

static void on_version_read(enum tg_plat_result end, const struct tg_row *row,
			    void *arg)
{
	struct row_read *r = arg;
	struct board *b = r->board;
	struct job *j = b->term == r->term ? board_find_job(b, r->job) : NULL;

	if (j) {
		j->row_call_in_flight = false;
		j->retry_ms = tg_now_ms() + READ_RETRY_MS;
		if (end == TG_PLAT_OK) {
			j->version = row->version;
			j->version_known = true;
			j->retry_ms = 0;
		}
	}
	free(r);
}

void row_read_version(struct board *b, struct job *j)
{
	struct row_read *r = tg_xcalloc(1, sizeof(*r));
	char key[TG_KEY_MAX];

	r->board = b;
	r->term = b->term;
	tg_strlcpy(r->job, j->spec.job, sizeof(r->job));
	j->row_call_in_flight = true;
	jobrow_key(b, j->spec.job, key);
	tg_row_get(b->plat, key, on_version_read, r);
}
