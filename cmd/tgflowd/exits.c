#include <utlist.h>

#include "board.h"
#include "workerexit.h"

/*
 * Draining workers.  The exit of one is proved by what was known of its entry
 * before; see workerexit.c.  The owner's row tells that to the next owner,
 * which would have to wait for leases of the longest duration otherwise.
 */

void link_set_exiting(struct link *l, bool exiting)
{
	struct board *b = l->board;

	if (l->exiting == exiting)
		return;
	l->exiting = exiting;
	if (exiting)
		DL_APPEND2(b->exiting, l, exiting_prev, exiting_next);
	else
		DL_DELETE2(b->exiting, l, exiting_prev, exiting_next);
}

void link_expect_exit(struct link *l)
{
	struct board *b = l->board;
	const struct tg_store_clock *c = &b->store_seen.last;
	struct tg_worker_exit x;

	if (b->role != ROLE_RECOVERING || !c->clock_ms ||
	    !tg_owner_row_find_exit(&b->owner, l->entry.id, &x))
		return;
	l->boot_ms = l->entry.boot_ms = x.boot_ms;
	tg_strlcpy(l->addr, x.addr, sizeof(l->addr));
	/* So it answered the former owner there, before the claim. */
	l->has_answered_there = true;
	l->entry.draining = true;
	l->entry_version = x.version;
	l->written_clock_ms = x.written_clock_ms;
	l->written_after_ms = tg_store_clock_earliest(c, x.written_clock_ms);
	l->earliest_exit_ms = tg_store_clock_latest(c, x.exit_clock_ms);
	link_set_exiting(l, true);
}

void link_note_written(struct link *l, const struct tg_worker_entry *e,
		       int64_t version)
{
	struct board *b = l->board;
	int64_t after_ms = tg_table_watch_changed_after_ms(b->directory);
	int64_t clock_ms = tg_table_watch_changed_after_clock_ms(b->directory);

	/*
	 * A scan doesn't tell when the entry was written.  The former owner has
	 * told of an earlier version, or of this one.
	 */
	if (!after_ms && l->written_clock_ms &&
	    l->entry.boot_ms == e->boot_ms) {
		clock_ms = l->written_clock_ms;
		if (version > l->entry_version &&
		    b->owner.exits_clock_ms > clock_ms)
			clock_ms = b->owner.exits_clock_ms;
		after_ms =
			tg_store_clock_earliest(&b->store_seen.last, clock_ms);
	}
	l->written_after_ms = after_ms;
	l->written_clock_ms = clock_ms;
	l->entry_version = version;
}

bool link_has_exited(const struct link *l)
{
	struct board *b = l->board;
	struct worker_exit_signs s = {
		.in_directory = l->in_directory,
		.failures = l->failures,
		.closed = l->closed,
		.first_failure_ms = l->first_failure_ms,
		.removed_ms = l->removed_ms,
		.written_after_ms = l->written_after_ms,
		.earliest_exit_ms = l->earliest_exit_ms,
		.heartbeat_ms = b->site.set.heartbeat_ms,
	};
	int64_t since_ms = tg_table_watch_answered_since_ms(b->directory);
	int64_t seen_ms = store_seen_since_ms(&b->store_seen);

	/* Before the first read in this term, former owners vouch for it. */
	if (since_ms && since_ms == b->directory_since_ms && seen_ms &&
	    seen_ms < since_ms)
		since_ms = seen_ms;
	if (owner_is_current(b) && !b->refused_since_ms)
		s.store_since_ms = since_ms;
	return l->entry.draining && l->entry.boot_ms == l->boot_ms &&
		l->may_have_runs && worker_has_exited(&s);
}

void links_record_exits(const struct board *b, struct tg_owner_row *r)
{
	const struct tg_store_clock *c = &b->store_seen.last;
	const struct link *l;

	r->exits[0] = '\0';
	r->exits_clock_ms = tg_table_watch_settled_clock_ms(b->directory);
	DL_FOREACH2(b->exiting, l, exiting_next)
	{
		struct tg_worker_exit x = {
			.boot_ms = l->boot_ms,
			.written_clock_ms = l->written_clock_ms,
			.version = l->entry_version,
		};

		if (!l->may_have_runs || !l->boot_ms ||
		    !l->has_answered_there || !l->written_clock_ms ||
		    l->entry.boot_ms != l->boot_ms || !l->earliest_exit_ms)
			continue;
		x.exit_clock_ms = tg_store_clock_of(c, l->earliest_exit_ms);
		tg_strlcpy(x.addr, l->addr, sizeof(x.addr));
		tg_owner_row_add_exit(r, l->entry.id, &x,
				      b->site.set.row_bytes);
	}
}
