#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "deletions.h"

/*
 * Deletes the rows of jobs that ended longer ago than the retention time.  The
 * job's own row and its cancellation, which the queue daemons read, go first
 * and the progress last: a job whose progress is missing would run again.  For
 * the same reason rows that were read before their deletion are ignored.
 */

#define DELETE_TIMEOUT_MS 1500
/*
 * Deletions that the reads of the job table have not caught up with.  They do
 * so within seconds, unless the store fails for reads only.
 */
#define DELETIONS_MAX 4096

struct purge {
	struct board *board;
	uint64_t term;
	char job[FLOW_JOB_ID_LEN + 1];
};

static bool deleting;
static struct deletion *deletions;

bool purge_has_deleted(const char *key, int64_t row_version)
{
	return deletions_cover(deletions, key, row_version);
}

void purge_reset(void)
{
	deletions_forget(&deletions, INT64_MAX);
}

static void delete_next(struct board *b);

static void on_deleted(const struct tg_store_result *r, void *arg)
{
	struct purge *p = arg;
	struct board *b = p->board;

	deleting = false;
	if (p->term == b->term && r->end == TG_STORE_OK) {
		tg_log(EV_FLOW_JOB_PURGED, "job=%s", p->job);
		deletions_add(&deletions, p->job, r->version);
		flow_remove_job(b->flow, p->job);
		writer_delete_progress(b, p->job);
		delete_next(b);
	}
	free(p);
}

static void delete_next(struct board *b)
{
	const char *id =
		flow_next_expired(b->flow, tg_now_ms(),
				  b->site.set.status_keep_ms + b->set.keep_ms);
	char cancel[FLOW_JOB_ID_LEN + sizeof(TG_CANCEL_SUFFIX)];
	struct tg_row rows[2] = { { .table = TG_JOBS_TABLE },
				  { .table = TG_JOBS_TABLE } };
	struct tg_store_tx tx = {
		.deletes = rows,
		.n_deletes = ARRAY_SIZE(rows),
		.timeout_ms = DELETE_TIMEOUT_MS,
	};
	struct purge *p;

	if (!id || deleting || HASH_COUNT(deletions) >= DELETIONS_MAX)
		return;
	p = tg_xcalloc(1, sizeof(*p));
	p->board = b;
	p->term = b->term;
	tg_strlcpy(p->job, id, sizeof(p->job));
	snprintf(cancel, sizeof(cancel), "%s%s", id, TG_CANCEL_SUFFIX);
	rows[0].key = p->job;
	rows[1].key = cancel;
	rows[0].part = rows[1].part = tg_job_part(id);
	deleting = true;
	b->site.ops->tx(b->site.port, &tx, on_deleted, p);
}

static void tick(void *board, int64_t now_ms)
{
	struct board *b = board;

	(void)now_ms;
	if (b->role != ROLE_OWNER)
		return;
	deletions_forget(&deletions, tg_table_watch_settled_version(b->jobs));
	delete_next(b);
}

const struct tg_controller purge_controller = {
	.name = "purge",
	.period_ms = 1000,
	.tick = tick,
};
