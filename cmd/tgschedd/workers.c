#include <stdlib.h>
#include <string.h>

#include "authority.h"
#include "controllers.h"
#include "lease.h"
#include "message.h"

#define TICK_MS 20
/* Poll period of a worker without members, in renewal periods. */
#define IDLE_POLL_ROUNDS 6

struct install {
	struct board *board;
	struct worker *worker;
	uint64_t term;
};

/* --- epoch --- */

static void on_inventory(struct board *b, struct worker *w, json_t *response)
{
	char boot[TG_NAME_MAX + 1];

	memcpy(boot, w->boot, sizeof(boot));
	if (!worker_update_from_response(w, response))
		return;
	w->epoch_installed = true;
	if (strcmp(boot, w->boot) != 0)
		w->quarantined = false;
	json_decref(w->inventory);
	w->inventory = json_incref(json_object_get(response, "leases"));
	if (b->role == ROLE_ACTIVE)
		worker_reconcile(b, w);
}

static void on_epoch_refused(struct board *b, struct worker *w,
			     const json_t *response)
{
	uint64_t epoch = (uint64_t)json_integer_value(
		json_object_get(response, "epoch"));

	w->epoch_seen = epoch;
	w->raised_epoch = 0;
	w->next_call_ms = tg_now_ms() + b->opts->call_ms;
	/* The call was sent before this process raised its epoch. */
	if (epoch <= b->epoch)
		return;
	tg_log(EV_SCHED_FENCED, "worker=%s epoch=%llu higher=%llu", w->name,
	       (unsigned long long)b->epoch, (unsigned long long)epoch);
	board_step_down(b, "worker", epoch);
}

static void on_installed(const struct tg_http_result *r, void *arg)
{
	struct install *in = arg;
	struct board *b = in->board;
	struct worker *w = in->worker;
	json_t *response = tg_http_result_json(r);

	if (!worker_finish_call(b, w, r, response)) {
		/* A later tick installs again. */
	} else if (b->term != in->term) {
		/* Stepped down since. */
	} else if (r->status == 200) {
		on_inventory(b, w, response);
	} else {
		on_epoch_refused(b, w, response);
	}
	json_decref(response);
	free(in);
}

static void install(struct board *b, struct worker *w)
{
	struct install *in = tg_xcalloc(1, sizeof(*in));
	json_t *body = json_pack("{s:s, s:I, s:s}", "az", b->opts->az, "epoch",
				 (json_int_t)worker_fence_epoch(b, w), "holder",
				 b->opts->instance);

	in->board = b;
	in->worker = w;
	in->term = b->term;
	worker_call(b, w, "/v1/epoch", body, on_installed, in);
}

/* --- reachability --- */

static void mark_worker_lost(struct board *b, struct worker *w)
{
	struct member *m;

	tg_log(EV_SCHED_WORKER_LOST, "worker=%s silent_ms=%lld", w->name,
	       (long long)(tg_now_ms() - w->response_ms));
	w->lost = true;
	/* Its inventory is read again before anything is placed there. */
	w->epoch_installed = false;
	b->decision_due = true;
	DL_FOREACH(w->members, m)
		if (m->state != MEMBER_NONE && m->state < MEMBER_DONE)
			m->lost = true;
	w->peer_renewals_logged = false;
}

/* The silence of a worker that never answered counts from the claim. */
static int64_t last_contact_ms(const struct board *b, const struct worker *w)
{
	return w->response_ms > b->claimed_ms ? w->response_ms : b->claimed_ms;
}

/*
 * Local clock when the leases that this process requested, and those that a
 * standby renewed during a table outage, have expired.  The latter may last
 * until one lease after the end of the outage.
 */
static int64_t own_expiry_ms(const struct board *b, const struct member *m)
{
	int64_t expiry_ms = m->local_expiry_ms, outage_expiry_ms;

	if (b->opts->unsafe_restart_before_expiry)
		return 0;
	if (b->table_down)
		return INT64_MAX;
	if (b->table_up_ms) {
		outage_expiry_ms = lease_local_expiry_ms(
			b->table_up_ms + b->opts->call_ms, b->opts->lease_ms);
		expiry_ms = expiry_ms > outage_expiry_ms ? expiry_ms :
							   outage_expiry_ms;
	}
	return expiry_ms;
}

/*
 * Raises the epoch to one that the worker can't have installed, so that no
 * process that knows the new epoch renews leases there.  It is not enough that
 * the epoch was raised after the worker's last response: a call whose response
 * was lost may have installed it.
 */
static void request_epoch_raise(struct board *b, struct worker *w)
{
	if (w->raised_epoch)
		return;
	if (b->epoch <= w->sent_epoch) {
		b->epoch_raise_wanted = true;
		return;
	}
	w->raised_epoch = b->epoch;
	w->raised_ms = b->raised_ms;
	tg_member_refresh_list(b->member);
}

static bool is_lease_expired(struct board *b, struct worker *w,
			     const struct member *m, int64_t now_ms)
{
	int64_t others_expiry_ms;

	if (now_ms <= own_expiry_ms(b, m))
		return false;
	/* Members that can be reached are stopped: only the wait is left out.
	 */
	if (b->opts->unsafe_restart_before_expiry)
		return m->lost;
	request_epoch_raise(b, w);
	others_expiry_ms = authority_others_expiry_ms(b, w);
	if (now_ms > others_expiry_ms)
		return true;
	if (!w->peer_renewals_logged) {
		w->peer_renewals_logged = true;
		tg_log(EV_SCHED_UNACCOUNTED, "worker=%s epoch=%llu job=%s",
		       w->name, (unsigned long long)w->raised_epoch,
		       m->job->spec.job);
	}
	return false;
}

static bool may_expire(const struct member *m)
{
	return m->state != MEMBER_NONE && m->state != MEMBER_GONE &&
		(m->lost || m->job->gang == GANG_STOPPING ||
		 m->job->gang == GANG_RELEASING);
}

static void check_reachability(struct board *b, struct worker *w,
			       int64_t now_ms)
{
	struct member *m;

	if (!w->lost && !w->reachable && w->contacted &&
	    now_ms - last_contact_ms(b, w) > b->opts->worker_lost_ms)
		mark_worker_lost(b, w);
	/* Early, so that peers advertise the epoch before leases expire. */
	if (w->lost && w->members)
		request_epoch_raise(b, w);
	DL_FOREACH(w->members, m)
		if (may_expire(m) && is_lease_expired(b, w, m, now_ms))
			m->state = MEMBER_GONE;
}

static int64_t poll_period_ms(const struct board *b, const struct worker *w)
{
	return w->members ? b->opts->renew_ms :
			    b->opts->renew_ms * IDLE_POLL_ROUNDS;
}

static void call_worker(struct board *b, struct worker *w, int64_t now_ms)
{
	if (w->call_in_flight || !*w->addr || now_ms < w->next_call_ms)
		return;
	if (!w->listed && !w->members && !w->orphans)
		return;
	if (!w->epoch_installed) {
		install(b, w);
	} else if (b->role == ROLE_ACTIVE &&
		   (w->message_due ||
		    now_ms - w->response_ms >= poll_period_ms(b, w))) {
		w->message_due = false;
		message_send(b, w, now_ms);
	}
}

static void tick_workers(void *board, int64_t now_ms)
{
	struct board *b = board;
	struct worker *w, *tmp;

	if (b->role != ROLE_INSTALLING && b->role != ROLE_ACTIVE)
		return;
	HASH_ITER(hh, b->workers, w, tmp) {
		call_worker(b, w, now_ms);
		if (b->role == ROLE_ACTIVE)
			check_reachability(b, w, now_ms);
	}
}

const struct tg_controller workers = {
	.name = "workers",
	.period_ms = TICK_MS,
	.tick = tick_workers,
};
