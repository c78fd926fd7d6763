#include <string.h>

#include "controllers.h"
#include "fleet.h"
#include "jobrow.h"
#include "rowwrite.h"

#define TICK_MS 20
#define RETRY_MS 500
/* Limit of writes begun in a tick; they are sent as one group if possible. */
#define TICK_WRITES_MAX 64

static const char table_down_text[] =
	"the table does not answer; nothing was done";
static const char write_unknown_text[] =
	"the result of the write is unknown; ask again";

/* --- submission --- */

static void finish_admission(struct board *b, struct job *j, uint64_t version)
{
	json_t *v;

	j->version = version;
	j->version_known = true;
	j->state = JOB_QUEUED;
	fleet_submit_job(b, j, NULL);
	board_record_action(b, j->spec.job, "admitted");
	v = jobrow_public(b, j);
	board_reply(b, &j->waiters, TG_RPC_OK, v, "");
	json_decref(v);
}

static void reject_submission(struct board *b, struct job *j,
			      enum tg_rpc_status status, const char *text)
{
	board_reply(b, &j->waiters, status, NULL, text);
	board_reply(b, &j->cancel_waiters, TG_RPC_NOT_FOUND, NULL,
		    "no such job");
	board_remove_job(b, j);
}

/* The table has a row of that name: of the same job, or of another one. */
static void on_name_taken(struct board *b, struct job *j,
			  const struct tg_row *row)
{
	json_t *spec = json_object_get(row->value, "spec");
	struct waiter *waiters = j->waiters,
		      *cancel_waiters = j->cancel_waiters;
	struct job *stored;
	json_t *v;

	if (!json_equal(spec, j->spec_json)) {
		reject_submission(
			b, j, TG_RPC_REFUSED,
			"the name is taken by a job with other content");
		return;
	}
	j->waiters = j->cancel_waiters = NULL;
	board_remove_job(b, j);
	stored = jobrow_decode(b, row);
	/*
	 * All rows of running jobs were read at the takeover, so one that the
	 * board does not know is invalid.
	 */
	if (!stored || stored->state == JOB_RUNNING) {
		if (stored)
			board_remove_job(b, stored);
		board_reply(b, &waiters, TG_RPC_REFUSED, NULL,
			    "the name is taken by a row that is not valid");
		board_reply(b, &cancel_waiters, TG_RPC_NOT_FOUND, NULL,
			    "no such job");
		return;
	}
	stored->waiters = waiters;
	stored->cancel_waiters = cancel_waiters;
	stored->cancel_requested = cancel_waiters != NULL;
	if (stored->state == JOB_QUEUED)
		fleet_submit_job(b, stored, NULL);
	v = jobrow_repeated(b, stored);
	board_reply(b, &stored->waiters, TG_RPC_OK, v, "");
	json_decref(v);
}

static void on_inserted(struct board *b, const char *job,
			enum tg_plat_result end, uint64_t version,
			const struct tg_row *found)
{
	struct job *j = board_find_job(b, job);

	if (!j)
		return;
	j->row_call_in_flight = false;
	switch (end) {
	case TG_PLAT_OK:
		finish_admission(b, j, version);
		break;
	case TG_PLAT_CONFLICT:
		on_name_taken(b, j, found);
		break;
	case TG_PLAT_UNKNOWN:
		board_reply(b, &j->waiters, TG_RPC_UNKNOWN, NULL,
			    write_unknown_text);
		j->state = JOB_INSERT_UNKNOWN;
		j->retry_ms = tg_now_ms() + RETRY_MS;
		break;
	case TG_PLAT_INVALID:
		reject_submission(b, j, TG_RPC_REFUSED,
				  "the table refused the row");
		break;
	default:
		if (j->state == JOB_INSERT_UNKNOWN)
			j->retry_ms = tg_now_ms() + RETRY_MS;
		else
			reject_submission(b, j, TG_RPC_UNAVAILABLE,
					  table_down_text);
		break;
	}
}

static void insert_row(struct board *b, struct job *j)
{
	j->row_call_in_flight = true;
	row_write(b, j->spec.job, 0, jobrow_encode(j, JOB_QUEUED), on_inserted);
}

/* --- cancellation and parking --- */

static void reply_to_cancel(struct board *b, struct job *j)
{
	json_t *v = jobrow_public(b, j);

	j->cancel_requested = false;
	board_reply(b, &j->cancel_waiters, TG_RPC_OK, v, "");
	json_decref(v);
}

static void on_cancelled(struct board *b, const char *job,
			 enum tg_plat_result end, uint64_t version,
			 const struct tg_row *found)
{
	struct job *j = board_find_job(b, job);

	(void)found;
	if (!j)
		return;
	j->row_call_in_flight = false;
	if (end != TG_PLAT_OK) {
		j->cancel_requested = j->cancel_recorded = false;
		j->version_known = end == TG_PLAT_UNAVAILABLE;
		board_reply(b, &j->cancel_waiters,
			    end == TG_PLAT_UNAVAILABLE ? TG_RPC_UNAVAILABLE :
							 TG_RPC_UNKNOWN,
			    NULL,
			    end == TG_PLAT_UNAVAILABLE ? table_down_text :
							 write_unknown_text);
		return;
	}
	j->version = version;
	j->cancel_recorded = true;
	if (j->gang == GANG_NONE) {
		j->state = JOB_CANCELLED;
		j->ended_wall_ms = tg_wall_ms();
		fleet_remove_job(b, j, tg_now_ms());
	}
	board_record_action(b, job, "cancelled by the caller");
	reply_to_cancel(b, j);
}

/*
 * The row of a running job stays "running" until its leases are gone, with the
 * field "cancel", which makes a scheduler that takes over stop the job as well.
 */
static void record_cancellation(struct board *b, struct job *j)
{
	bool queued = j->gang == GANG_NONE;
	json_t *v;

	if (j->state > JOB_RUNNING || j->cancel_recorded) {
		reply_to_cancel(b, j);
		return;
	}
	if (!queued && j->gang != GANG_RUNNING && j->gang != GANG_STARTING)
		return;
	if (queued)
		snprintf(j->reason, sizeof(j->reason), "cancelled");
	v = jobrow_encode(j, queued ? JOB_CANCELLED : JOB_RUNNING);
	json_object_set_new(v, "cancel", json_true());
	j->row_call_in_flight = true;
	row_write(b, j->spec.job, j->version, v, on_cancelled);
}

static void on_parked(struct board *b, const char *job, enum tg_plat_result end,
		      uint64_t version, const struct tg_row *found)
{
	struct job *j = board_find_job(b, job);

	if (!j)
		return;
	j->row_call_in_flight = false;
	j->retry_ms = tg_now_ms() + RETRY_MS;
	if (end == TG_PLAT_CONFLICT)
		j->version = found->version;
	if (end != TG_PLAT_OK)
		return;
	j->version = version;
	j->park_requested = false;
	j->state = JOB_PARKED;
	j->ended_wall_ms = tg_wall_ms();
	fleet_remove_job(b, j, tg_now_ms());
}

static void record_parking(struct board *b, struct job *j)
{
	j->row_call_in_flight = true;
	row_write(b, j->spec.job, j->version, jobrow_encode(j, JOB_PARKED),
		  on_parked);
}

/* --- checkpoints of running gangs --- */

static void on_checkpoint_saved(struct board *b, const char *job,
				enum tg_plat_result end, uint64_t version,
				const struct tg_row *found)
{
	struct job *j = board_find_job(b, job);

	(void)found;
	if (!j)
		return;
	j->row_call_in_flight = false;
	if (end == TG_PLAT_OK) {
		j->version = version;
		return;
	}
	j->version_known = end == TG_PLAT_UNAVAILABLE;
	j->ckpt_unsaved = true;
	j->retry_ms = tg_now_ms() + RETRY_MS;
}

static void save_checkpoint(struct board *b, struct job *j)
{
	j->ckpt_unsaved = false;
	j->row_call_in_flight = true;
	row_write(b, j->spec.job, j->version, jobrow_encode(j, JOB_RUNNING),
		  on_checkpoint_saved);
}

/* --- finished jobs --- */

static bool is_retention_over(const struct board *b, const struct job *j)
{
	return j->state > JOB_RUNNING && j->gang == GANG_NONE &&
		tg_wall_ms() - j->ended_wall_ms > b->opts->job_keep_ms;
}

static void on_row_deleted(struct board *b, const char *job,
			   enum tg_plat_result end, uint64_t version,
			   const struct tg_row *found)
{
	struct job *j = board_find_job(b, job);

	(void)version;
	(void)found;
	if (!j)
		return;
	j->row_call_in_flight = false;
	j->retry_ms = tg_now_ms() + RETRY_MS;
	if (end == TG_PLAT_OK || end == TG_PLAT_CONFLICT)
		board_remove_job(b, j);
}

/*
 * Finished jobs are deleted after job_keep_ms: at 26,000 jobs a day their rows
 * would fill the table and slow down every takeover.
 */
static void delete_row(struct board *b, struct job *j)
{
	j->row_call_in_flight = true;
	row_write(b, j->spec.job, j->version, NULL, on_row_deleted);
}

/* Returns whether a call for the row was begun. */
static bool process_job(struct board *b, struct job *j, int64_t now_ms)
{
	if (j->row_call_in_flight || now_ms < j->retry_ms)
		return false;
	if (j->state == JOB_INSERTING || j->state == JOB_INSERT_UNKNOWN)
		insert_row(b, j);
	else if (!j->version_known)
		row_read_version(b, j);
	else if (j->cancel_requested)
		record_cancellation(b, j);
	else if (j->park_requested && j->gang == GANG_NONE)
		record_parking(b, j);
	else if (j->ckpt_unsaved && j->gang == GANG_RUNNING)
		save_checkpoint(b, j);
	else if (is_retention_over(b, j))
		delete_row(b, j);
	return j->row_call_in_flight;
}

static void reject_during_outage(struct board *b, struct job *j)
{
	if (j->row_call_in_flight)
		return;
	if (j->state == JOB_INSERTING) {
		reject_submission(b, j, TG_RPC_UNAVAILABLE, table_down_text);
	} else if (j->state == JOB_INSERT_UNKNOWN) {
		board_reply(b, &j->waiters, TG_RPC_UNKNOWN, NULL,
			    write_unknown_text);
	} else if (j->cancel_requested) {
		j->cancel_requested = false;
		board_reply(b, &j->cancel_waiters, TG_RPC_UNAVAILABLE, NULL,
			    table_down_text);
	}
}

static void tick_admission(void *board, int64_t now_ms)
{
	struct board *b = board;
	struct job *j, *tmp;
	int n = 0;

	if (b->role != ROLE_ACTIVE)
		return;
	HASH_ITER(hh, b->jobs, j, tmp) {
		if (b->table_down)
			reject_during_outage(b, j);
		else if (n < TICK_WRITES_MAX)
			n += process_job(b, j, now_ms);
	}
}

const struct tg_controller admission = {
	.name = "admission",
	.period_ms = TICK_MS,
	.tick = tick_admission,
};
