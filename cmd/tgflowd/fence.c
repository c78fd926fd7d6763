#include <utlist.h>

#include "board.h"

/*
 * Calls name a worker by its id, which its next process keeps, and may be
 * carried out seconds after they were given up.  When a process has been
 * replaced, the next one is called with a higher fencing token, so that it
 * refuses late calls to the one before.
 *
 * A token is used only once a write has recorded it in the owner's row: whoever
 * claims the ownership later begins above it, so no two owners use the same
 * one.  One write serves all links that await a token.
 */

void link_await_no_fence(struct link *l)
{
	if (!l->awaits_fence)
		return;
	l->awaits_fence = false;
	DL_DELETE2(l->board->awaits_fence, l, awaits_fence_prev,
		   awaits_fence_next);
}

void link_raise_fence(struct link *l)
{
	struct board *b = l->board;

	if (l->awaits_fence)
		return;
	if (l->fence < b->owner.fence) {
		l->fence = b->owner.fence;
		return;
	}
	l->awaits_fence = true;
	DL_APPEND2(b->awaits_fence, l, awaits_fence_prev, awaits_fence_next);
	writer_wake(b);
}

uint64_t fence_to_record(const struct board *b)
{
	return b->owner.fence + (b->awaits_fence != NULL);
}

void links_fence_recorded(struct board *b)
{
	struct link *l, *tmp;
	int n = 0;

	DL_FOREACH_SAFE2(b->awaits_fence, l, tmp, awaits_fence_next)
	{
		if (l->fence >= b->owner.fence)
			continue;
		link_await_no_fence(l);
		l->fence = b->owner.fence;
		l->next_poll_ms = 0;
		link_poll_if_due(l);
		n++;
	}
	if (n)
		tg_log(EV_FLOW_FENCE_RAISED, "term=%llu fence=%llu workers=%d",
		       (unsigned long long)b->claim_fence,
		       (unsigned long long)b->owner.fence, n);
}

bool fence_is_exceeded(const struct board *b, const struct link *l,
		       uint64_t fence)
{
	return fence_shows_later_owner(fence, l ? l->fence : b->owner.fence);
}
