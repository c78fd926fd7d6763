#include <string.h>

#include "authority.h"
#include "controllers.h"
#include "fleet.h"
#include "jobrow.h"
#include "lease.h"
#include "message.h"
#include "spec.h"

#define TICK_MS 50

static bool all_workers_contacted(struct board *b)
{
	struct worker *w, *tmp;

	HASH_ITER(hh, b->workers, w, tmp)
		if (w->listed && !w->epoch_installed && !w->contacted)
			return false;
	return true;
}

/*
 * The former scheduler may renew leases until it writes the row again and
 * notices the claim, and a call that it sent before may take up to call_ms.
 */
static void adopt_running_job(struct board *b, struct job *j, int64_t now_ms)
{
	int64_t local_expiry_ms = lease_local_expiry_ms(
		b->claimed_ms + b->opts->sched_renew_ms + b->opts->call_ms,
		b->opts->lease_ms);
	int32_t i;

	for (i = 0; i < j->n_members; i++) {
		j->members[i].state = MEMBER_UNKNOWN;
		j->members[i].local_expiry_ms = local_expiry_ms;
	}
	j->gang = b->opts->unsafe_takeover_restarts ? GANG_STOPPING :
						      GANG_STARTING;
	j->commit = COMMIT_OK;
	j->committed = true;
	j->phase_started_ms = now_ms;
	j->initial_progress_ms = j->saved_progress_ms;
	j->next_state = JOB_QUEUED;
	fleet_adopt_job(b, j, now_ms);
}

static void load_jobs(struct board *b, const struct tg_row *rows, size_t n)
{
	int64_t now_ms = tg_now_ms();
	size_t i;

	for (i = 0; i < n; i++) {
		struct job *j = jobrow_decode(b, &rows[i]);

		if (j && j->state == JOB_RUNNING)
			adopt_running_job(b, j, now_ms);
		else if (j && j->state == JOB_QUEUED)
			fleet_submit_job(b, j, NULL);
	}
}

static void on_rows(enum tg_plat_result end, const struct tg_row *rows,
		    size_t n, void *arg)
{
	struct board *b = arg;
	struct worker *w, *tmp;

	b->row_list_in_flight = false;
	if (b->role != ROLE_LOADING)
		return;
	if (end != TG_PLAT_OK) {
		board_set_table_available(b, false);
		return;
	}
	fleet_rebuild(b);
	load_jobs(b, rows, n);
	b->role = ROLE_ACTIVE;
	HASH_ITER(hh, b->workers, w, tmp)
		if (w->epoch_installed)
			worker_reconcile(b, w);
	b->decision_due = true;
	tg_member_set_scheduler_state(b->member, b->epoch, true);
	tg_log(EV_SCHED_ACTIVE, "az=%s epoch=%llu workers=%u jobs=%u",
	       b->opts->az, (unsigned long long)b->epoch,
	       HASH_COUNT(b->workers), HASH_COUNT(b->jobs));
}

static void list_rows(struct board *b)
{
	char prefix[TG_KEY_MAX];

	jobrow_key(b, "", prefix);
	b->row_list_in_flight = true;
	tg_rows_list(b->plat, prefix, on_rows, b);
}

static void tick_rebuild(void *board, int64_t now_ms)
{
	struct board *b = board;
	size_t n;

	authority_update(b, now_ms);
	if (b->role == ROLE_STANDBY && (b->jobs || b->fleet))
		board_reset(b);
	if (b->role == ROLE_INSTALLING && tg_member_instances(b->member, &n) &&
	    all_workers_contacted(b))
		b->role = ROLE_LOADING;
	if (b->role == ROLE_LOADING && !b->row_list_in_flight)
		list_rows(b);
}

const struct tg_controller rebuild = {
	.name = "rebuild",
	.period_ms = TICK_MS,
	.tick = tick_rebuild,
};
