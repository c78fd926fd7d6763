#include <utlist.h>

#include "board.h"

/*
 * Ends of runs are acknowledged to their worker once the write that holds them
 * has succeeded.  Only the few links that wait for that are looked at.
 *
 * A process numbers its ends from 1.  The next process of the worker would
 * forget its own up to the number that it gets, so only a process that has
 * answered since the last acknowledgement gets another one.
 */

int64_t link_take_ack(struct link *l)
{
	if (!l->may_ack || l->durable_n <= l->acked_n)
		return 0;
	l->may_ack = false;
	return l->durable_n;
}

void link_ack_answered(struct link *l, int64_t acked_n)
{
	l->may_ack = true;
	if (acked_n > l->acked_n)
		l->acked_n = acked_n;
}

void link_expect_ack(struct link *l)
{
	if (l->unacked)
		return;
	l->unacked = true;
	DL_APPEND2(l->board->unacked, l, unacked_prev, unacked_next);
}

void link_expect_no_ack(struct link *l)
{
	if (!l->unacked)
		return;
	l->unacked = false;
	DL_DELETE2(l->board->unacked, l, unacked_prev, unacked_next);
}

void links_write_started(struct board *b)
{
	struct link *l;

	DL_FOREACH2(b->unacked, l, unacked_next)
	l->writing_n = l->processed_n;
}

void links_write_done(struct board *b)
{
	struct link *l, *tmp;

	DL_FOREACH_SAFE2(b->unacked, l, tmp, unacked_next)
	{
		l->durable_n = l->writing_n;
		if (l->processed_n > l->durable_n)
			continue;
		link_expect_no_ack(l);
		if (l->failed)
			continue;
		l->next_poll_ms = 0;
		link_poll_if_due(l);
	}
}
