#include <utlist.h>

#include "board.h"
#include "workerclock.h"

/*
 * When the leases on a worker have expired, so that its runs have ended.
 *
 * An expiry is a time on the clock of the worker's process, and the owner knows
 * the one that has answered.  If that has been replaced, the next process may
 * carry out a call that was meant for it: its clock begins anew, and the lease
 * lasts as long as any can.  So a worker may hold a long lease
 *
 * - if it has answered for the first time in a term, or after a restart, until
 *   that long after its last list under an earlier token;
 * - if it has a run whose start order is not confirmed, as the process that
 *   carried it out is not known; until that long after the last call.
 *
 * The owner's row lists these workers, since a new owner knows neither.  After
 * a take-over all workers of a large site are among them, more than a row can
 * list.  So the row has a time as well, by which the long leases on the workers
 * that it doesn't list have ended.
 */

/* What a former owner knew, which it has stored or told; 0 for nothing. */
static int64_t known_end_ms(const struct link *l)
{
	int64_t end_ms = lease_bound_former_ms(l->board, l->entry.id);

	if (l->told_end_ms && (!end_ms || l->told_end_ms < end_ms))
		end_ms = l->told_end_ms;
	return end_ms;
}

/* The wait that a new link has for leases of former owners. */
static void limit_former_leases(struct link *l)
{
	int64_t end_ms = known_end_ms(l);

	l->leases_end_ms =
		former_leases_end_ms(&l->board->former, l->had_long_lease);
	l->leases_of =
		l->had_long_lease ? "former owner, long" : "former owner";
	if (!l->had_long_lease &&
	    l->leases_end_ms == l->board->former.other_leases_ms)
		l->leases_of = "former owner, not listed";
	if (end_ms && end_ms < l->leases_end_ms) {
		l->leases_end_ms = end_ms;
		l->leases_of = end_ms == l->told_end_ms ? "told bound" :
							  "stored bound";
	}
}

void link_expect_no_long_lease(struct link *l)
{
	if (!l->long_lease_until_ms)
		return;
	l->long_lease_until_ms = 0;
	DL_DELETE2(l->board->long_leases, l, long_lease_prev, long_lease_next);
}

static void set_long_lease(struct link *l, int64_t until_ms, bool grows)
{
	struct board *b = l->board;
	struct link *last;

	link_expect_no_long_lease(l);
	l->long_lease_until_ms = until_ms;
	l->long_lease_grows = grows;
	if (!b->long_leases ||
	    b->long_leases->long_lease_until_ms >= until_ms) {
		DL_PREPEND2(b->long_leases, l, long_lease_prev,
			    long_lease_next);
		return;
	}
	/* Most leases end after those that are in the list already. */
	last = b->long_leases->long_lease_prev;
	while (last->long_lease_until_ms > until_ms)
		last = last->long_lease_prev;
	DL_APPEND_ELEM2(b->long_leases, last, l, long_lease_prev,
			long_lease_next);
}

/* For the row of this owner, until the worker has answered. */
static void set_former_long_lease(struct link *l)
{
	if (l->had_long_lease)
		set_long_lease(l, l->leases_end_ms, true);
	else if (!l->long_lease_until_ms &&
		 l->board->former.other_leases_ms > tg_now_ms())
		set_long_lease(l, l->board->former.other_leases_ms, false);
}

void link_expect_former_leases(struct link *l)
{
	struct board *b = l->board;

	if (b->role != ROLE_RECOVERING)
		return;
	l->had_long_lease = tg_owner_row_has_long_lease(&b->owner, l->entry.id);
	limit_former_leases(l);
	set_former_long_lease(l);
}

/* A former owner's end, or what it tells, has become known. */
static void renew_limit(struct link *l)
{
	/* A worker that has answered has leases of this owner. */
	if (l->clock_at_ms || !l->may_have_runs)
		return;
	limit_former_leases(l);
	set_former_long_lease(l);
	if (l->failed)
		lease_bound_changed(l);
}

void links_limit_leases(struct board *b)
{
	struct link *l;

	for (l = b->links; l; l = l->hh.next)
		renew_limit(l);
}

bool link_limit_leases(struct link *l, int64_t end_ms)
{
	int64_t before_ms = l->leases_end_ms;

	l->told_end_ms = end_ms;
	renew_limit(l);
	return l->leases_end_ms < before_ms;
}

void link_expect_long_lease(struct link *l)
{
	int64_t granted_ms = l->clock_at_ms;

	/* Calls to the process before may still arrive. */
	if (l->until_sent_ms && l->until_sent_ms + CALL_ARRIVES_MS > granted_ms)
		granted_ms = l->until_sent_ms + CALL_ARRIVES_MS;
	l->leases_end_ms = granted_ms + long_lease_ms(l->board);
	l->leases_of = "longest";
	set_long_lease(l, l->leases_end_ms, true);
}

int64_t link_expiry(struct link *l)
{
	struct board *b = l->board;
	int64_t now_ms = tg_now_ms();
	int64_t lease_ms = b->set.lease_ms;
	int64_t lease_until_ms;

	if (lease_ms > b->site.set.lease_max_ms)
		lease_ms = b->site.set.lease_max_ms;
	l->until_sent_ms = now_ms;
	lease_until_ms = l->clock_ms + (now_ms - l->clock_at_ms) + lease_ms;
	if (lease_until_ms > l->lease_until_ms) {
		int64_t span_ms = lease_until_ms - l->clock_ms;
		int64_t leases_end_ms = l->clock_at_ms + EXPIRY_MARGIN_MS +
			span_ms * 100 / (100 - CLOCK_SLOW_PERCENT);

		l->lease_until_ms = lease_until_ms;
		if (leases_end_ms > l->leases_end_ms) {
			l->leases_end_ms = leases_end_ms;
			l->leases_of = "owner";
		}
	}
	return lease_until_ms;
}

bool link_clock_goes_on(const struct link *l, int64_t clock_ms)
{
	const struct worker_clock known = { l->clock_ms, l->clock_at_ms };
	const struct worker_clock told = { clock_ms, tg_now_ms() };

	return worker_clock_goes_on(&known, &told, CLOCK_SLOW_PERCENT,
				    EXPIRY_MARGIN_MS);
}

struct listing {
	struct tg_owner_row *row;
	int64_t row_bytes;
};

static void list_worker(const char *worker, void *arg)
{
	const struct listing *t = arg;

	tg_owner_row_add_long_lease(t->row, worker, t->row_bytes);
}

/* Those for which the row can't tell a time. */
static void list_untimed(struct board *b, struct listing *t)
{
	const struct link *l;

	DL_FOREACH2(b->long_leases, l, long_lease_next)
	if (l->long_lease_grows && !l->runs_known)
		list_worker(l->entry.id, t);
	flow_each_unconfirmed(b->flow, list_worker, t);
}

/* The latest ends first, so that the time for the others is the earliest. */
static void list_timed(const struct board *b, const struct listing *t)
{
	const struct tg_store_clock *c = &b->store_seen.last;
	const struct link *l = b->long_leases;

	if (!l)
		return;
	do {
		l = l->long_lease_prev;
		tg_owner_row_add_timed_lease(
			t->row, l->entry.id,
			tg_store_clock_by(c, l->long_lease_until_ms),
			t->row_bytes);
	} while (l != b->long_leases && !t->row->other_leases_clock_ms);
}

void links_record_long_leases(struct board *b, struct tg_owner_row *r)
{
	struct listing t = { r, b->site.set.row_bytes };
	char untimed[TG_LONG_LEASES_SIZE];
	int64_t now_ms = tg_now_ms();
	const struct link *l;

	r->long_leases[0] = '\0';
	r->other_leases_clock_ms = 0;
	while (b->long_leases && now_ms >= b->long_leases->long_lease_until_ms)
		link_expect_no_long_lease(b->long_leases);
	list_untimed(b, &t);
	if (tg_owner_row_any_long_lease(r))
		return;
	tg_strlcpy(untimed, r->long_leases, sizeof(untimed));
	DL_FOREACH2(b->long_leases, l, long_lease_next)
	list_worker(l->entry.id, &t);
	if (!tg_owner_row_any_long_lease(r) || !b->store_seen.last.clock_ms)
		return;
	tg_strlcpy(r->long_leases, untimed, sizeof(r->long_leases));
	list_timed(b, &t);
}

/* When the leases of runs have expired whose start is not confirmed. */
static int64_t unconfirmed_end_ms(const struct link *l)
{
	const struct board *b = l->board;
	int64_t end_ms, known_ms;

	if (l->until_sent_ms || l->clock_at_ms)
		return l->until_sent_ms + CALL_ARRIVES_MS + long_lease_ms(b);
	end_ms = former_leases_end_ms(&b->former, true);
	known_ms = known_end_ms(l);
	return known_ms && known_ms < end_ms ? known_ms : end_ms;
}

int64_t link_leases_end_ms(const struct link *l)
{
	int64_t end_ms = unconfirmed_end_ms(l);

	if (end_ms > l->leases_end_ms &&
	    flow_worker_has_unconfirmed(l->board->flow, l->entry.id))
		return end_ms;
	return l->leases_end_ms;
}

void link_check_expiry(struct link *l, int64_t now_ms)
{
	struct link_proof proof = {
		.source = "lease",
		.why = "leases expired",
	};
	int64_t end_ms;

	if (!l->may_have_runs || now_ms < l->leases_end_ms)
		return;
	end_ms = unconfirmed_end_ms(l);
	proof.only_confirmed = now_ms < end_ms &&
		flow_worker_has_unconfirmed(l->board->flow, l->entry.id);
	link_declare_runs_lost(l, &proof);
	if (proof.only_confirmed) {
		l->leases_end_ms = end_ms;
		l->leases_of = "start without a known process";
	} else {
		link_adopt_address(l);
	}
}
