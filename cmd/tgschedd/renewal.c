#include "authority.h"
#include "controllers.h"
#include "digest.h"
#include "message_internal.h"

static bool is_round_confirmed(const struct job *j)
{
	int32_t i;

	for (i = 0; i < j->n_members; i++)
		if (j->members[i].state == MEMBER_RUNNING &&
		    j->members[i].confirmed_round < j->round)
			return false;
	return true;
}

static bool any_done(const struct job *j)
{
	int32_t i;

	for (i = 0; i < j->n_members; i++)
		if (j->members[i].state == MEMBER_DONE)
			return true;
	return false;
}

/*
 * Begins a renewal round and, if the period is over, a checkpoint round.  While
 * a member has not confirmed the current renewal round, that round is sent
 * again and no further one begins, so that a gang that lost a member ends when
 * its leases expire.
 */
static void begin_rounds(struct board *b, struct job *j, int64_t now_ms)
{
	bool partial = b->opts->unsafe_renew_partial_gangs;

	if (partial || is_round_confirmed(j))
		j->round++;
	else
		tg_counter("tg_renewals_late_total",
			   "Renewal rounds not confirmed by every member.",
			   NULL)
			->value++;
	if (b->opts->checkpoint_ms && !any_done(j) &&
	    now_ms - j->ckpt_ms >= b->opts->checkpoint_ms) {
		j->ckpt_ms = now_ms;
		j->ckpt_round++;
	}
	board_mark_gang_due(j);
}

/*
 * Whether a renewal of all running leases of the worker renews exactly those
 * that are due.  Members of a gang that is not running, and members that have
 * confirmed the round, must not be renewed.
 */
static bool can_renew_all(const struct worker *w)
{
	const struct member *m;
	bool any = false;

	if (w->renew_all_unsupported || w->renew_individually)
		return false;
	DL_FOREACH(w->members, m) {
		if (m->state != MEMBER_RUNNING)
			continue;
		if (m->job->gang != GANG_RUNNING ||
		    m->confirmed_round >= m->job->round)
			return false;
		any = true;
	}
	return any;
}

void message_add_renewal(struct message *msg)
{
	struct worker *w = msg->worker;
	char digest[DIGEST_SIZE];
	json_int_t count = 0;
	struct member *m;
	uint64_t sum = 0;
	json_t *op;

	DL_FOREACH(w->members, m)
		m->renew_all_round = 0;
	if (!can_renew_all(w) || !authority_may_renew(msg->board, tg_now_ms()))
		return;
	op = json_pack("{s:s}", "op", "renew_all");
	DL_FOREACH(w->members, m) {
		if (m->state != MEMBER_RUNNING)
			continue;
		m->renew_all_round = m->job->round;
		sum += digest_lease(m->job->spec.job, m->job->attempt,
				    m->index);
		count++;
		message_add_expiry(msg, op, m);
	}
	digest_format(sum, digest);
	json_object_set_new(op, "count", json_integer(count));
	json_object_set_new(op, "digest", json_string(digest));
	msg->renews_all = true;
	message_add_op(msg, OP_RENEW_ALL, op);
}

static void tick_renewal(void *board, int64_t now_ms)
{
	struct board *b = board;
	struct job *j, *tmp;

	if (!board_may_command(b) ||
	    (b->table_down && b->opts->unsafe_renew_with_table_only))
		return;
	HASH_ITER(hh, b->jobs, j, tmp)
		if (j->gang == GANG_RUNNING)
			begin_rounds(b, j, now_ms);
}

/* main.c sets the period from the settings. */
struct tg_controller renewal = {
	.name = "renewal",
	.period_ms = 5000,
	.tick = tick_renewal,
};
