#include "controllers.h"

static bool round_confirmed(const struct job *j)
{
	int32_t i;

	for (i = 0; i < j->n_members; i++)
		if (j->members[i].state == M_RUNNING &&
		    j->members[i].confirmed < j->round)
			return false;
	return true;
}

static bool any_done(const struct job *j)
{
	int32_t i;

	for (i = 0; i < j->n_members; i++)
		if (j->members[i].state == M_DONE)
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
	board_gang_due(j);
}

static void tick_renewal(void *board, int64_t now_ms)
{
	struct board *b = board;
	struct job *j, *tmp;

	if (!board_commands(b) ||
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
