#include <string.h>

#include "board.h"
#include "ownerwrites.h"

/*
 * An owner stops renewing leases this long after its last successful write.  It
 * covers the usual outages of the store, in which no standby can take over.
 */
#define RENEW_AFTER_WRITE_MAX_MS 10000
/* The loop runs several times in this time, however busy it is. */
#define HELD_UP_MS 500

/* Without a reading of the store's clock, the row's time tells nothing. */
static int64_t other_leases_ms(struct board *b)
{
	const struct tg_store_clock *c = &b->store_seen.last;

	if (!b->owner.other_leases_clock_ms)
		return 0;
	if (c->clock_ms)
		return tg_store_clock_latest(c, b->owner.other_leases_clock_ms);
	tg_owner_row_forget_long_leases(&b->owner);
	return 0;
}

void owner_begin_term(struct board *b, const char *why, int64_t started_ms)
{
	struct former_owner *f = &b->former;

	b->term++;
	b->directory_read = false;
	b->role = ROLE_RECOVERING;
	b->claim_fence = b->owner.fence;
	b->written_ms = started_ms;
	b->refused_since_ms = 0;
	b->held_up_ms = 0;
	f->claimed_ms = tg_now_ms();
	f->lease_ms = b->set.lease_ms * 100 / (100 - CLOCK_SLOW_PERCENT) +
		EXPIRY_MARGIN_MS;
	f->long_lease_ms = long_lease_ms(b) + CALL_ARRIVES_MS;
	f->renew_max_ms = RENEW_AFTER_WRITE_MAX_MS;
	f->other_leases_ms = other_leases_ms(b);
	tg_log(EV_FLOW_CLAIMED,
	       "fence=%llu why=%s version=%lld recorded=%d settled=%d "
	       "former_ended=%d former=%s long_leases=%s "
	       "other_leases_left_ms=%lld",
	       (unsigned long long)b->claim_fence, why,
	       (long long)b->owner_version, b->former_runs_recorded, f->known,
	       f->ended_ms != 0, b->owner.former, b->owner.long_leases,
	       (long long)(f->other_leases_ms ?
				   f->other_leases_ms - f->claimed_ms :
				   0));
	jobs_open(b);
}

void owner_former_ended(struct board *b)
{
	if (!IS_OWNER(b) || b->former.ended_ms)
		return;
	b->former.ended_ms = tg_now_ms();
	tg_log(EV_FLOW_FORMER_ENDED,
	       "term=%llu claim_age_ms=%lld settled=%d leases_left_ms=%lld "
	       "long_leases_left_ms=%lld",
	       (unsigned long long)b->claim_fence,
	       (long long)(b->former.ended_ms - b->former.claimed_ms),
	       b->former.known,
	       (long long)(former_leases_end_ms(&b->former, false) -
			   b->former.ended_ms),
	       (long long)(former_leases_end_ms(&b->former, true) -
			   b->former.ended_ms));
	links_limit_leases(b);
}

void owner_lost(struct board *b, const char *why)
{
	if (!IS_OWNER(b))
		return;
	tg_log(EV_FLOW_LOST, "fence=%llu why=%s",
	       (unsigned long long)b->claim_fence, why);
	handover_keep(b);
	b->term++;
	b->role = ROLE_STANDBY;
	writer_reset(b);
	orders_reset();
	jobs_close(b);
	lease_bounds_close();
	links_close(b);
	flow_free(b->flow);
	b->flow = NULL;
	standby_reset();
}

void owner_check_recovered(struct board *b)
{
	int64_t now_ms = tg_now_ms();

	if (b->role != ROLE_RECOVERING || !b->directory_read)
		return;
	if (!b->former_runs_recorded &&
	    now_ms < former_leases_end_ms(&b->former, true))
		return;
	b->role = ROLE_OWNER;
	tg_log(EV_FLOW_RECOVERED, "fence=%llu workers=%u lease_bounds=%d",
	       (unsigned long long)b->claim_fence, HASH_COUNT(b->links),
	       lease_bounds_count());
	lease_bounds_drop_unknown(b);
	flow_end_recovery(b->flow);
	round_wake(b);
}

/*
 * A process that was stopped, or on a machine that was suspended, does not know
 * whether another daemon is the owner by now.  Only a write that starts later
 * tells.
 */
static void check_held_up(struct board *b)
{
	int64_t now_ms = tg_now_ms();
	int64_t ms = now_ms - b->ticked_ms;

	b->ticked_ms = now_ms;
	if (ms < HELD_UP_MS || !IS_OWNER(b))
		return;
	tg_log(EV_FLOW_HELD_UP,
	       "fence=%llu held_up_ms=%lld written_age_ms=%lld",
	       (unsigned long long)b->claim_fence, (long long)ms,
	       (long long)(now_ms - b->written_ms));
	b->held_up_ms = now_ms;
	writer_wake(b);
}

bool owner_was_held_up(struct board *b)
{
	check_held_up(b);
	return IS_OWNER(b) && b->held_up_ms;
}

bool owner_may_renew(struct board *b)
{
	return !owner_was_held_up(b) && IS_OWNER(b) && !b->owner.released &&
		tg_now_ms() - b->written_ms < RENEW_AFTER_WRITE_MAX_MS;
}

void owner_written(struct board *b, int64_t started_ms)
{
	b->written_ms = started_ms;
	if (started_ms >= b->held_up_ms)
		b->held_up_ms = 0;
	else
		writer_wake(b);
	orders_wake();
}

bool owner_is_current(const struct board *b)
{
	struct owner_writes s = {
		.written_ms = b->written_ms,
		.refused_since_ms = b->refused_since_ms,
		.now_ms = tg_now_ms(),
	};

	return IS_OWNER(b) && owner_reaches_store(&s);
}

static int start(void *board)
{
	struct board *b = board;

	tg_random_token(b->boot);
	b->ticked_ms = tg_now_ms();
	standby_reset();
	return 0;
}

static void tick(void *board, int64_t now_ms)
{
	struct board *b = board;

	check_held_up(b);
	if (b->role == ROLE_STANDBY)
		standby_watch(b, now_ms);
	else if (IS_OWNER(b))
		standby_notify_former(b, now_ms);
	if (IS_OWNER(b))
		handover_ask(b, now_ms);
	owner_check_recovered(b);
}

static bool drain(void *board, int64_t now_ms)
{
	struct board *b = board;

	(void)now_ms;
	if (IS_OWNER(b) && !b->owner.released) {
		b->owner.released = true;
		flow_drop_decided(b->flow, &orders_flow_ops, b);
		writer_wake(b);
	}
	if (IS_OWNER(b) && !writer_idle(b))
		return false;
	if (IS_OWNER(b)) {
		tg_log(EV_FLOW_RELEASED, "fence=%llu",
		       (unsigned long long)b->claim_fence);
		owner_lost(b, "shutting down");
	}
	b->role = ROLE_STOPPING;
	return true;
}

const struct tg_controller owner_controller = {
	.name = "owner",
	.period_ms = 100,
	.start = start,
	.tick = tick,
	.drain = drain,
};
