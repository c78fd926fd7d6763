#include <string.h>

#include "controllers.h"
#include "fleet.h"

#define TICK_MS 20
/* Limit of actions in a tick; further ones follow in the next tick. */
#define ROUND_ACTIONS_MAX 64
/*
 * Longest time between decisions.  Covers changes that nothing reports, such as
 * the lapse of a guarantee.
 */
#define DECIDE_PERIOD_MAX_MS 1000

static void start_gang(struct board *b, const struct tg_action *a,
		       int64_t now_ms)
{
	struct job *j = board_find_job(b, a->job);
	int32_t i;

	if (!j || j->state != JOB_QUEUED || j->gang != GANG_NONE ||
	    j->row_call_in_flight || j->cancel_requested ||
	    a->n_workers != j->spec.tasks) {
		tg_fleet_job_stopped(b->fleet, a->job, TG_STOP_WORKER_LOST, -1,
				     now_ms, j ? j->saved_progress_ms : 0);
		return;
	}
	board_create_members(j);
	for (i = 0; i < j->n_members; i++)
		board_assign_member(
			&j->members[i],
			board_find_worker(
				b,
				tg_fleet_worker_name(b->fleet, a->workers[i])));
	if (j->attempt < j->attempt_floor)
		j->attempt = j->attempt_floor;
	j->attempt++;
	j->gang = GANG_RESERVING;
	j->commit = COMMIT_NONE;
	j->phase_started_ms = now_ms;
	j->round = j->ckpt_round = j->ckpt_complete_round = 0;
	j->initial_progress_ms = j->saved_progress_ms;
	j->next_state = JOB_QUEUED;
	board_mark_gang_due(j);
	board_record_action(b, a->job, "start attempt %lld: %s",
			    (long long)j->attempt, a->reason);
}

static void reclaim_job(struct board *b, const struct tg_action *a)
{
	struct job *j = board_find_job(b, a->job);

	if (!j || j->gang == GANG_NONE || b->opts->unsafe_no_reclaim)
		return;
	j->reclaim_requested = true;
	snprintf(j->reason, sizeof(j->reason), "reclaimed for %s: %.100s",
		 a->beneficiary, a->reason);
	board_record_action(b, a->job, "%s", j->reason);
}

static void park_job(struct board *b, const struct tg_action *a)
{
	struct job *j = board_find_job(b, a->job);

	if (!j || j->state != JOB_QUEUED || j->gang != GANG_NONE)
		return;
	tg_log(EV_SCHED_JOB_PARKED, "job=%s reason=\"%s\"", a->job, a->reason);
	board_record_action(b, a->job, "park: %s", a->reason);
	snprintf(j->reason, sizeof(j->reason), "%s", a->reason);
	j->park_requested = true;
}

static void quarantine_worker(struct board *b, const struct tg_action *a)
{
	struct worker *w = board_find_worker(
		b, tg_fleet_worker_name(b->fleet, a->workers[0]));

	if (!w)
		return;
	w->quarantined = true;
	tg_log(EV_SCHED_QUARANTINED, "worker=%s reason=\"%s\"", w->name,
	       a->reason);
}

static void apply_action(struct board *b, const struct tg_action *a,
			 int64_t now_ms)
{
	switch (a->kind) {
	case TG_ACT_START:
		start_gang(b, a, now_ms);
		break;
	case TG_ACT_RECLAIM:
		reclaim_job(b, a);
		break;
	case TG_ACT_PARK:
		park_job(b, a);
		break;
	case TG_ACT_QUARANTINE:
		quarantine_worker(b, a);
		break;
	}
}

/* The next change of the fleet invalidates an action, so decides one by one. */
static void apply_decisions(struct board *b, int64_t now_ms)
{
	struct tg_action a;
	int i;

	for (i = 0; i < ROUND_ACTIONS_MAX; i++) {
		if (!tg_decide(b->fleet, now_ms, &a, 1))
			return;
		apply_action(b, &a, now_ms);
	}
	b->decision_due = true;
}

/*
 * Submits queued jobs that the fleet refused before: it may have grown since.
 */
static void submit_missing_jobs(struct board *b)
{
	struct job *j, *tmp;

	HASH_ITER(hh, b->jobs, j, tmp)
		if (j->state == JOB_QUEUED && j->gang == GANG_NONE &&
		    !j->in_fleet && !j->park_requested)
			fleet_submit_job(b, j, NULL);
}

static void update_gauges(const struct board *b, int64_t now_ms)
{
	struct tg_fleet_stats s;

	tg_fleet_stats(b->fleet, now_ms, &s);
	tg_gauge("tg_jobs", "Jobs by state.", "state=\"queued\"")->value =
		(int64_t)s.jobs_queued;
	tg_gauge("tg_jobs", "Jobs by state.", "state=\"running\"")->value =
		(int64_t)s.jobs_running;
	tg_gauge("tg_accelerators_free", "Accelerators free.", NULL)->value =
		s.accelerators_free;
	tg_gauge("tg_guarantees_at_risk", "Guarantees without a place.", NULL)
		->value = (int64_t)s.guarantees_at_risk;
}

static void tick_decisions(void *board, int64_t now_ms)
{
	struct board *b = board;
	int64_t next_ms;

	if (b->role != ROLE_ACTIVE || b->table_down || tg_daemon_draining())
		return;
	if (b->doc_changed)
		fleet_set_document(b);
	if (!b->decision_due && now_ms < b->next_decide_ms)
		return;
	b->decision_due = false;
	fleet_update_health(b, now_ms);
	submit_missing_jobs(b);
	b->decision_due = false;
	apply_decisions(b, now_ms);
	update_gauges(b, now_ms);
	next_ms = tg_fleet_next_decision_ms(b->fleet, now_ms);
	if (next_ms > now_ms + DECIDE_PERIOD_MAX_MS)
		next_ms = now_ms + DECIDE_PERIOD_MAX_MS;
	b->next_decide_ms = next_ms;
}

const struct tg_controller decisions = {
	.name = "decisions",
	.period_ms = TICK_MS,
	.tick = tick_decisions,
};
