#include "authority.h"
#include "controllers.h"
#include "digest.h"
#include "message_internal.h"

static bool round_confirmed(const struct job *j)
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
 * A round that is not confirmed by every member is asked for again, but no
 * further round begins: a gang with a lost member ends with its leases.
 */
static void renew(struct board *b, struct job *j, int64_t now_ms)
{
	bool partial = b->opts->unsafe_renew_partial_gangs;

	if (partial || round_confirmed(j))
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
 * Whether a renewal of all running leases renews those that are due and no
 * others.  A running member of a gang that is not whole, that is stopping or
 * that has confirmed the round must not be renewed.
 */
static bool all_due(const struct worker *w)
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
	if (!all_due(w) || !authority_may_renew(msg->board, tg_now_ms()))
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
			renew(b, j, now_ms);
}

/* The period comes from the settings. */
struct tg_controller renewal = {
	.name = "renewal",
	.period_ms = 5000,
	.tick = tick_renewal,
};
