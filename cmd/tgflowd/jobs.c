#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "board.h"

/* Loads jobs, their progress and the document from the store into the flow. */

/* A job whose row can't be read, such as one of a newer version. */
struct unreadable_job {
	char id[FLOW_JOB_ID_LEN + 1];
	UT_hash_handle hh;
};

static struct unreadable_job *unreadable_jobs;

static struct unreadable_job *find_unreadable(const char *key)
{
	struct unreadable_job *u;

	/* The key of a progress record may have a suffix. */
	HASH_FIND(hh, unreadable_jobs, key, strcspn(key, "~"), u);
	return u;
}

static void add_unreadable(const char *id)
{
	struct unreadable_job *u;

	if (strlen(id) > FLOW_JOB_ID_LEN || find_unreadable(id))
		return;
	u = tg_xcalloc(1, sizeof(*u));
	tg_strlcpy(u->id, id, sizeof(u->id));
	HASH_ADD_STR(unreadable_jobs, id, u);
}

static void forget_unreadable(void)
{
	struct unreadable_job *u, *tmp;

	HASH_ITER(hh, unreadable_jobs, u, tmp) {
		HASH_DEL(unreadable_jobs, u);
		free(u);
	}
}

/* Takes over the specification of @job. */
static void add_job(struct board *b, struct tg_job_row *job)
{
	int64_t age_ms = tg_wall_ms() - job->accepted_wall_ms;
	struct flow_job_opts o = {
		.id = job->id,
		.queue = job->queue,
		.workspace = job->workspace,
		.spec = job->spec,
		.accepted_ms = tg_now_ms() - (age_ms > 0 ? age_ms : 0),
		/* A former owner may have started it without a record. */
		.recovered =
			b->role == ROLE_RECOVERING && !b->former_runs_recorded,
	};

	flow_add_job(b->flow, &o);
	job->spec = NULL;
	tg_log(EV_FLOW_JOB_ADDED,
	       "job=%s queue=%s workspace=%s age_ms=%lld "
	       "recovered=%d",
	       job->id, job->queue, job->workspace, (long long)age_ms,
	       o.recovered);
	round_wake(b);
}

static void log_bad_row(const char *table, const struct tg_row *row)
{
	tg_log(EV_ROW_BAD, "table=%s key=%s version=%lld", table, row->key,
	       (long long)row->version);
}

/* Return: 0, and the caller clears @job; -1 if it is invalid. */
static int decode_job(const struct tg_row *row, struct tg_job_row *job)
{
	if (!tg_job_row_decode(row->value, row->value_bytes, job) &&
	    !strcmp(job->id, row->key))
		return 0;
	log_bad_row(TG_JOBS_TABLE, row);
	tg_job_row_clear(job);
	return -1;
}

static void add_stored_job(struct board *b, const struct tg_row *row)
{
	struct tg_job_row job;

	if (flow_has_job(b->flow, row->key))
		return;
	if (decode_job(row, &job)) {
		add_unreadable(row->key);
		return;
	}
	add_job(b, &job);
	tg_job_row_clear(&job);
}

/*
 * The notice may be late, and the job may have ended and been deleted since.
 * If the table has been read at the row's version, that read decides; if not,
 * only this owner can have deleted the job.
 */
void jobs_add_notified(struct board *b, const struct tg_row *row)
{
	struct tg_job_row job;

	if (flow_has_job(b->flow, row->key) || decode_job(row, &job))
		return;
	if (job.row_version > tg_table_watch_settled_version(b->jobs) &&
	    !purge_has_deleted(job.id, job.row_version))
		add_job(b, &job);
	tg_job_row_clear(&job);
}

/*
 * The progress that is not read yet may say that the job has ended, or name
 * runs of it, so the cancellations wait for it.
 */
static void apply_cancels(struct board *b)
{
	struct stored_cancel *c;

	if (!b->progress_read)
		return;
	while ((c = b->cancels)) {
		b->cancels = c->next;
		if (flow_cancel(b->flow, c->job, tg_now_ms()))
			tg_log(EV_FLOW_JOB_CANCEL, "job=%s by=row", c->job);
		free(c);
	}
	writer_wake(b);
	round_wake(b);
}

static void add_cancel(struct board *b, const struct tg_row *row)
{
	size_t n = strcspn(row->key, "~");
	struct stored_cancel *c;

	/* The first bytes of a longer key may be the id of another job. */
	if (n > FLOW_JOB_ID_LEN) {
		log_bad_row(TG_JOBS_TABLE, row);
		return;
	}
	c = tg_xcalloc(1, sizeof(*c));
	memcpy(c->job, row->key, n);
	c->next = b->cancels;
	b->cancels = c;
	apply_cancels(b);
}

static bool is_cancel_key(const char *key)
{
	size_t n = strlen(key), suffix = strlen(TG_CANCEL_SUFFIX);

	return n > suffix && !strcmp(key + n - suffix, TG_CANCEL_SUFFIX);
}

static void on_job_row(const struct tg_row *row, void *arg)
{
	struct board *b = arg;

	if (row->deleted || purge_has_deleted(row->key, row->version))
		return;
	if (is_cancel_key(row->key))
		add_cancel(b, row);
	else
		add_stored_job(b, row);
}

static void on_progress_row(const struct tg_row *row, void *arg)
{
	struct board *b = arg;
	json_t *o;

	if (row->deleted)
		return;
	/* The first bytes of a longer key may be that of another record. */
	if (strlen(row->key) > FLOW_PROGRESS_KEY_LEN) {
		log_bad_row(TG_PROGRESS_TABLE, row);
		return;
	}
	if (!flow_knows_record(b->flow, row->key)) {
		/* An earlier owner deleted the job but not yet its progress. */
		if (!find_unreadable(row->key))
			writer_delete_progress(b, row->key);
		return;
	}
	o = json_loadb(row->value, row->value_bytes, 0, NULL);
	if (!o || !flow_progress_decode(b->flow, row->key, o))
		log_bad_row(TG_PROGRESS_TABLE, row);
	json_decref(o);
}

/* The first links are made with the bounds that former owners have stored. */
static void open_links_if_ready(struct board *b)
{
	if (b->progress_read && lease_bounds_are_read())
		links_open(b);
}

static void on_progress_read(void *arg)
{
	struct board *b = arg;

	b->progress_read = true;
	apply_cancels(b);
	open_links_if_ready(b);
}

static void on_jobs_read(void *arg)
{
	static const char *const parts[] = { TG_OWNER_PART };
	struct board *b = arg;
	struct tg_table_watch_opts o = {
		.site = &b->site,
		.table = TG_PROGRESS_TABLE,
		.parts = parts,
		.n_parts = 1,
		.once = true,
		.on_row = on_progress_row,
		.on_scan_done = on_progress_read,
		.arg = b,
	};

	/* After a gap in the feed jobs are read again, but progress is not. */
	if (b->progress)
		return;
	b->progress = tg_table_watch_new(&o);
	lease_bounds_open(b, open_links_if_ready);
}

/* Peers take an owner for dead that decodes a document for 0.6 s. */
#define DOCUMENT_DIRECT_MS 100

static void apply_document(void *arg)
{
	struct board *b = arg;
	const struct tg_site_doc *d = tg_document_get(b->document);
	struct flow_queue *q;
	struct flow_quota *k;
	size_t i;

	q = tg_xcalloc(d->n_queues + 1, sizeof(*q));
	k = tg_xcalloc(d->n_workspaces + 1, sizeof(*k));
	for (i = 0; i < d->n_queues; i++)
		q[i] = (struct flow_queue){
			.name = d->queues[i].name,
			.service = d->queues[i].service,
			.priority = d->queues[i].priority,
			.max_attempts = d->queues[i].max_attempts,
			.stretch = d->queues[i].stretch,
			.target_ms = d->queues[i].target_ms,
		};
	for (i = 0; i < d->n_workspaces; i++)
		k[i] = (struct flow_quota){
			.workspace = d->workspaces[i].name,
			.guaranteed = d->workspaces[i].guaranteed,
		};
	flow_set_queues(b->flow, q, d->n_queues);
	flow_set_quotas(b->flow, k, d->n_workspaces);
	free(q);
	free(k);
	round_wake(b);
}

static void apply_evacuations(void *arg)
{
	struct board *b = arg;
	const char *const *azs;
	size_t n = tg_evacuations_azs(b->evacuations, &azs);

	flow_set_evacuated(b->flow, azs, n);
	round_wake(b);
	orders_wake();
}

static void open_evacuations(struct board *b)
{
	struct tg_evacuations_opts o = {
		.site = &b->site,
		.bound_ms = b->site.set.evacuate_ms,
		.on_change = apply_evacuations,
		.arg = b,
	};

	if (o.bound_ms)
		b->evacuations = tg_evacuations_new(&o);
}

void jobs_open(struct board *b)
{
	static const char *parts[TG_JOB_PARTS];
	struct flow_opts fo = {
		.early_ms = b->site.set.early_ms / 2,
		.stop_ms = stop_max_ms(b),
		.reclaim_ms = b->site.set.reclaim_ms,
		.follow_speed = b->set.follow_speed,
		.fair_shares = b->set.fair_shares,
	};
	struct tg_table_watch_opts o = {
		.site = &b->site,
		.table = TG_JOBS_TABLE,
		.parts = parts,
		.n_parts = TG_JOB_PARTS,
		.on_row = on_job_row,
		.on_scan_done = on_jobs_read,
		.arg = b,
	};
	struct tg_document_opts d = {
		.site = &b->site,
		.direct_ms = DOCUMENT_DIRECT_MS,
		.on_change = apply_document,
		.arg = b,
	};
	int i;

	for (i = 0; i < TG_JOB_PARTS; i++)
		parts[i] = tg_job_part_name(i);
	b->progress_read = false;
	b->flow = flow_new(&fo);
	b->document = tg_document_new(&d);
	open_evacuations(b);
	b->jobs = tg_table_watch_new(&o);
	writer_wake(b);
}

void jobs_close(struct board *b)
{
	struct stored_cancel *c;

	tg_document_free(b->document);
	b->document = NULL;
	tg_evacuations_free(b->evacuations);
	b->evacuations = NULL;
	tg_table_watch_free(b->jobs);
	tg_table_watch_free(b->progress);
	b->jobs = b->progress = NULL;
	while ((c = b->cancels)) {
		b->cancels = c->next;
		free(c);
	}
	forget_unreadable();
	purge_reset();
}
