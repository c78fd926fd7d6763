#include <string.h>

#include "controllers.h"
#include "fault.h"
#include "fleet.h"
#include "jobrow.h"
#include "rowwrite.h"

#define TICK_MS 20
/* Delay before the row is written again. */
#define RETRY_MS 500

/* After half of a lease too little time is left to start and renew it. */
static int64_t start_timeout_ms(const struct board *b)
{
	return b->opts->lease_ms / 2;
}

static void collect_inputs(const struct board *b, const struct job *j,
			   struct gang_inputs *in)
{
	int64_t now_ms = tg_now_ms();
	int32_t i;

	memset(in, 0, sizeof(*in));
	in->members = j->n_members;
	for (i = 0; i < j->n_members; i++) {
		const struct member *m = &j->members[i];

		in->reserved += m->state == MEMBER_RESERVED ||
			m->state == MEMBER_RUNNING;
		in->running += m->state == MEMBER_RUNNING;
		in->done += m->state == MEMBER_DONE;
		in->gone += m->state == MEMBER_GONE;
		in->failed += m->refused || m->failed || m->lost;
	}
	in->commit = j->commit;
	in->stop = j->cancel_recorded || j->reclaim_requested;
	in->recorded = j->recorded;
	in->start_timed_out =
		now_ms - j->phase_started_ms > start_timeout_ms(b);
}

/* --- commit --- */

static void on_committed(struct board *b, const char *job,
			 enum tg_plat_result end, uint64_t version,
			 const struct tg_row *found)
{
	struct job *j = board_find_job(b, job);

	(void)found;
	if (!j)
		return;
	j->row_call_in_flight = false;
	switch (end) {
	case TG_PLAT_OK:
		j->version = version;
		j->commit = COMMIT_OK;
		j->committed = true;
		j->state = JOB_RUNNING;
		break;
	case TG_PLAT_UNKNOWN:
		j->commit = COMMIT_UNKNOWN;
		j->committed = true;
		j->version_known = false;
		break;
	case TG_PLAT_CONFLICT:
		j->commit = COMMIT_FAILED;
		j->committed = true;
		j->version_known = false;
		break;
	default:
		j->commit = COMMIT_FAILED;
		break;
	}
}

static void commit_attempt(struct board *b, struct job *j)
{
	j->commit = COMMIT_PENDING;
	j->row_call_in_flight = true;
	j->epoch = b->epoch;
	row_write(b, j->spec.job, j->version, jobrow_encode(j, JOB_RUNNING),
		  on_committed);
}

/* --- result of the attempt --- */

static void on_recorded(struct board *b, const char *job,
			enum tg_plat_result end, uint64_t version,
			const struct tg_row *found)
{
	struct job *j = board_find_job(b, job);

	if (!j)
		return;
	j->row_call_in_flight = false;
	j->retry_ms = tg_now_ms() + RETRY_MS;
	if (end == TG_PLAT_OK) {
		j->version = version;
		j->recorded = true;
	} else if (end == TG_PLAT_CONFLICT && found->version) {
		/*
		 * Only a write of this process whose result was unknown can
		 * have changed the row.
		 */
		j->version = found->version;
	} else if (end == TG_PLAT_UNKNOWN) {
		j->version_known = false;
	}
}

static void record_result(struct board *b, struct job *j, int64_t now_ms)
{
	/* No commit changed the row, which still says "queued". */
	if (!j->committed && j->version_known && !j->cancel_recorded &&
	    j->next_state == JOB_QUEUED) {
		j->recorded = true;
		return;
	}
	if (j->row_call_in_flight || b->table_down || now_ms < j->retry_ms)
		return;
	if (!j->version_known) {
		row_read_version(b, j);
		return;
	}
	j->row_call_in_flight = true;
	row_write(b, j->spec.job, j->version, jobrow_encode(j, j->next_state),
		  on_recorded);
}

/* --- entering states --- */

static void save_checkpoints(struct job *j)
{
	int64_t done_ms = INT64_MAX;
	json_t *all = json_array();
	int32_t i;

	for (i = 0; i < j->n_members; i++) {
		struct member *m = &j->members[i];

		json_array_append_new(all, json_string(m->ckpt));
		if (m->progress_ms < done_ms)
			done_ms = m->progress_ms;
	}
	json_decref(j->ckpts);
	j->ckpts = all;
	j->saved_progress_ms = done_ms;
}

/* Whether every member has completed the checkpoint of a round. */
static bool is_checkpoint_complete(const struct job *j, uint64_t round)
{
	int32_t i;

	for (i = 0; i < j->n_members; i++)
		if (j->members[i].ckpt_round < round || !*j->members[i].ckpt)
			return false;
	return j->n_members > 0;
}

/* A failed or refused member comes first: it names the worker at fault. */
static const struct member *find_failed_member(const struct job *j)
{
	int32_t i;

	for (i = 0; i < j->n_members; i++)
		if (j->members[i].failed || j->members[i].refused)
			return &j->members[i];
	for (i = 0; i < j->n_members; i++)
		if (j->members[i].lost)
			return &j->members[i];
	return NULL;
}

static void set_stop_cause(struct board *b, struct job *j)
{
	const struct member *m = find_failed_member(j);

	j->faulty_worker = -1;
	j->next_state = j->cancel_recorded ? JOB_CANCELLED : JOB_QUEUED;
	if (j->cancel_recorded) {
		snprintf(j->reason, sizeof(j->reason), "cancelled");
	} else if (m && m->failed) {
		j->cause = TG_STOP_TASK_FAILED;
		j->faulty_worker = m->worker->id;
	} else if (m && m->refused) {
		j->cause = TG_STOP_START_REFUSED;
		j->faulty_worker = m->worker->id;
	} else if (m) {
		j->cause = TG_STOP_WORKER_LOST;
		snprintf(j->reason, sizeof(j->reason),
			 "task %d lost on worker %s", m->index,
			 m->worker->name);
	} else if (j->reclaim_requested) {
		j->cause = TG_STOP_RECLAIMED;
	} else {
		/* No worker is at fault. */
		j->cause = TG_STOP_WORKER_LOST;
		snprintf(j->reason, sizeof(j->reason),
			 j->commit == COMMIT_OK ? "start took too long" :
						  "start was not committed");
	}
	tg_counter("tg_gang_stops_total", "Gangs stopped before their end.",
		   NULL)
		->value++;
	tg_log(EV_SCHED_GANG_STOPPED, "job=%s attempt=%lld reason=\"%s\"",
	       j->spec.job, (long long)j->attempt, j->reason);
	board_record_action(b, j->spec.job, "stop attempt %lld: %s",
			    (long long)j->attempt, j->reason);
}

static void enter_stopping(struct board *b, struct job *j)
{
	int32_t i;

	set_stop_cause(b, j);
	for (i = 0; i < j->n_members; i++)
		if (j->members[i].state == MEMBER_NONE)
			j->members[i].state = MEMBER_GONE;
	board_mark_gang_due(j);
}

static void enter_running(struct board *b, struct job *j, int64_t now_ms)
{
	int32_t i;

	for (i = 0; i < j->n_members; i++)
		j->members[i].confirmed_round = j->round;
	j->running_since_ms = j->ckpt_ms = now_ms;
	tg_counter("tg_gang_starts_total", "Gangs that run.", NULL)->value++;
	tg_log(EV_SCHED_GANG_STARTED, "job=%s attempt=%lld tasks=%d",
	       j->spec.job, (long long)j->attempt, j->n_members);
	board_record_action(b, j->spec.job, "attempt %lld runs, %d tasks",
			    (long long)j->attempt, j->n_members);
}

static bool all_done(const struct job *j)
{
	int32_t i;

	for (i = 0; i < j->n_members; i++)
		if (j->members[i].state != MEMBER_DONE)
			return false;
	return true;
}

static void enter_recording(struct job *j)
{
	j->recorded = false;
	j->retry_ms = 0;
	if (all_done(j)) {
		j->next_state = JOB_DONE;
		j->reason[0] = '\0';
	} else if (j->reclaim_requested &&
		   is_checkpoint_complete(j, UINT64_MAX)) {
		save_checkpoints(j);
	}
}

static void finish_attempt(struct board *b, struct job *j, int64_t now_ms)
{
	enum job_state after = j->next_state;

	board_free_members(j);
	j->commit = COMMIT_NONE;
	j->committed = j->reclaim_requested = j->ckpt_unsaved = false;
	j->state = after;
	if (after == JOB_QUEUED) {
		fleet_job_stopped(b, j, now_ms);
		return;
	}
	if (after == JOB_DONE)
		fleet_job_done(b, j, now_ms);
	else
		fleet_remove_job(b, j, now_ms);
	j->ended_wall_ms = tg_wall_ms();
	tg_log(EV_SCHED_JOB_ENDED, "job=%s state=%s attempt=%lld", j->spec.job,
	       job_state_name(after), (long long)j->attempt);
	board_record_action(b, j->spec.job, "%s", job_state_name(after));
}

static void enter_state(struct board *b, struct job *j, int64_t now_ms)
{
	switch (j->gang) {
	case GANG_COMMITTING:
		fault_pause(b, "reserve", j->spec.job);
		commit_attempt(b, j);
		break;
	case GANG_STARTING:
		fault_pause(b, "commit", j->spec.job);
		j->phase_started_ms = now_ms;
		board_mark_gang_due(j);
		break;
	case GANG_RUNNING:
		enter_running(b, j, now_ms);
		break;
	case GANG_STOPPING:
		enter_stopping(b, j);
		break;
	case GANG_RECORDING:
		enter_recording(j);
		break;
	case GANG_RELEASING:
		board_mark_gang_due(j);
		break;
	case GANG_NONE:
		finish_attempt(b, j, now_ms);
		break;
	default:
		break;
	}
}

static bool needs_message(const struct member *m)
{
	switch (m->job->gang) {
	case GANG_STARTING:
		return m->state == MEMBER_RESERVED ||
			m->state == MEMBER_UNKNOWN;
	case GANG_STOPPING:
		if (m->state == MEMBER_DONE)
			return board_may_release_done(m->job);
		return m->state != MEMBER_NONE && m->state != MEMBER_GONE;
	case GANG_RELEASING:
		return m->state == MEMBER_DONE || m->state == MEMBER_STOPPED;
	default:
		return false;
	}
}

static void mark_messages_due(struct job *j)
{
	int32_t i;

	for (i = 0; i < j->n_members; i++)
		if (needs_message(&j->members[i]))
			j->members[i].worker->message_due = true;
}

static void advance_gang(struct board *b, struct job *j, int64_t now_ms)
{
	struct gang_inputs in;
	enum gang_state from = j->gang, to;

	if (from == GANG_RECORDING && !j->recorded)
		record_result(b, j, now_ms);
	if (from == GANG_RUNNING && j->ckpt_round > j->ckpt_complete_round &&
	    is_checkpoint_complete(j, j->ckpt_round)) {
		j->ckpt_complete_round = j->ckpt_round;
		save_checkpoints(j);
		j->ckpt_unsaved = true;
	}
	collect_inputs(b, j, &in);
	to = gang_next_state(from, &in);
	if (to == GANG_COMMITTING && from == GANG_RESERVING &&
	    j->row_call_in_flight)
		return;
	if (to == from) {
		mark_messages_due(j);
		return;
	}
	j->gang = to;
	enter_state(b, j, now_ms);
}

static void tick_gangs(void *board, int64_t now_ms)
{
	struct board *b = board;
	struct job *j, *tmp;

	if (b->role != ROLE_ACTIVE)
		return;
	HASH_ITER(hh, b->jobs, j, tmp)
		if (j->gang != GANG_NONE)
			advance_gang(b, j, now_ms);
}

const struct tg_controller gangs = {
	.name = "gangs",
	.period_ms = TICK_MS,
	.tick = tick_gangs,
};
