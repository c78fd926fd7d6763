#include <stdlib.h>
#include <string.h>

#include "board.h"

/* Follows the platform's directory of workers and keeps a link for each. */

static bool names_process(const struct link *l)
{
	return !l->boot_ms || !l->entry.boot_ms ||
		l->entry.boot_ms == l->boot_ms;
}

bool link_entry_is_doubtful(const struct link *l)
{
	return l->in_directory && l->boot_ms && l->asked_ms <= l->entry_ms &&
		(!names_process(l) || strcmp(l->entry.addr, l->addr) != 0);
}

void link_adopt_address(struct link *l)
{
	if (!l->in_directory || (l->boot_ms && l->may_have_runs) ||
	    !strcmp(l->addr, l->entry.addr))
		return;
	tg_strlcpy(l->addr, l->entry.addr, sizeof(l->addr));
	l->has_answered_there = false;
}

static void update_flow_worker(struct link *l)
{
	struct flow_worker_spec s = {
		.id = l->entry.id,
		.service = l->entry.service,
		.az = l->entry.az,
		.rack = l->entry.rack,
		.capacity = l->entry.capacity,
		.draining = l->entry.draining,
		.earliest_exit_ms = l->earliest_exit_ms,
	};
	int i;

	/* A zone that is taken back from an evacuation comes back cold. */
	if (l->board->site.set.evacuate_ms && l->entry.warmup_left_ms)
		s.warm_ms = l->last_heartbeat_ms + l->entry.warmup_left_ms;

	for (i = 0; i < l->entry.n_labels; i++)
		s.labels[s.n_labels++] = l->entry.labels[i];
	flow_worker_update(l->board->flow, &s);
	/* The engine may not have had the worker when its runs became known. */
	if (l->runs_known)
		flow_worker_set_runs_known(l->board->flow, l->entry.id);
}

bool link_is_described(const struct link *l)
{
	return l->in_directory && names_process(l);
}

void link_update_suspect(struct link *l)
{
	bool suspect = l->failed || !link_is_described(l) ||
		lease_is_bounded(l->entry.id);

	flow_worker_set_suspect(l->board->flow, l->entry.id, suspect);
}

void link_describe_worker(struct link *l)
{
	if (link_is_described(l))
		update_flow_worker(l);
	link_update_suspect(l);
	round_wake(l->board);
}

static void worker_removed(struct board *b, const char *id)
{
	struct link *l = link_find(b, id);

	if (!l || !l->in_directory)
		return;
	tg_log(EV_FLOW_WORKER_GONE, "worker=%s failed=%d", id, l->failed);
	l->in_directory = false;
	l->removed_ms = tg_now_ms();
	flow_worker_set_gone(b->flow, id);
}

static struct link *new_link(struct board *b, const char *id, const char *addr)
{
	struct link *l = tg_xcalloc(1, sizeof(*l));
	struct tg_silent_worker s;

	l->board = b;
	l->process = ++b->n_processes;
	/* An earlier link to the worker may have used a token of this term. */
	l->fence = b->owner.fence;
	tg_strlcpy(l->entry.id, id, sizeof(l->entry.id));
	l->entry.remaining_ms = -1;
	tg_strlcpy(l->addr, addr, sizeof(l->addr));
	/* What a former owner had runs on may have restarted since. */
	if (b->role == ROLE_RECOVERING &&
	    tg_owner_row_find_silent(&b->owner, id, &s)) {
		/* Versions before wrote -1 if they had lost it. */
		l->boot_ms = s.boot_ms > 0 ? s.boot_ms : 0;
		if (*s.addr)
			tg_strlcpy(l->addr, s.addr, sizeof(l->addr));
	}
	/* A former owner may have started runs on this worker. */
	l->may_have_runs = b->role == ROLE_RECOVERING;
	link_expect_former_leases(l);
	link_expect_exit(l);
	HASH_ADD(hh, b->links, entry.id, strlen(l->entry.id), l);
	return l;
}

/*
 * Adds a worker that has recorded runs but no entry in the directory.  Its runs
 * count as ended once their leases have expired, or once another process
 * answers at the address at which a former owner missed it.
 */
static void add_absent_worker(const char *id, void *arg)
{
	struct board *b = arg;
	struct link *l;

	if (link_find(b, id))
		return;
	l = new_link(b, id, "");
	l->removed_ms = tg_now_ms();
	/* A worker that has left refuses a connection; that proves its exit. */
	if (l->exiting) {
		link_poll_if_due(l);
		return;
	}
	link_set_failed(l, true);
	l->first_failure_ms = tg_now_ms();
}

/*
 * A worker exits no sooner than any of its entries says.  The last write of an
 * entry that was read in a scan is at most a heartbeat interval old if its
 * worker writes in time.  That is an estimate, and gives way to the bound that
 * the feed gives; of two estimates the earlier one is on the safe side.
 */
static void note_earliest_exit(struct link *l, const struct tg_worker_entry *e)
{
	bool is_estimate = !l->written_after_ms;
	bool is_first = !l->earliest_exit_ms || l->entry.boot_ms != e->boot_ms;
	int64_t exit_ms;

	if (!e->draining || e->remaining_ms < 0) {
		l->earliest_exit_ms = 0;
		return;
	}
	if (!is_first && is_estimate && !l->exit_is_estimate)
		return;
	exit_ms = e->remaining_ms +
		(is_estimate ? tg_now_ms() - l->board->site.set.heartbeat_ms :
			       l->written_after_ms);
	if (is_first || l->exit_is_estimate != is_estimate ||
	    (exit_ms < l->earliest_exit_ms) == is_estimate)
		l->earliest_exit_ms = exit_ms;
	l->exit_is_estimate = is_estimate;
}

static void on_worker_row(const struct tg_row *row, void *arg)
{
	struct board *b = arg;
	struct tg_worker_entry e;
	bool is_new = false;
	struct link *l;

	if (row->deleted) {
		worker_removed(b, row->key);
		return;
	}
	if (b->site.ops->worker(row, &e)) {
		tg_log(EV_ROW_BAD, "table=%s key=%s version=%lld", row->table,
		       row->key, (long long)row->version);
		return;
	}
	l = link_find(b, e.id);
	if (!l)
		l = new_link(b, e.id, e.addr);
	if (!l->in_directory || l->entry.draining != e.draining)
		tg_log(EV_FLOW_WORKER_SEEN,
		       "worker=%s az=%s rack=%s draining=%d remaining_ms=%lld "
		       "boot=%lld version=%lld",
		       e.id, e.az, e.rack, e.draining,
		       (long long)e.remaining_ms, (long long)e.boot_ms,
		       (long long)row->version);
	l->last_heartbeat_ms = tg_now_ms();
	if (!l->entry_ms || l->entry.boot_ms != e.boot_ms ||
	    strcmp(l->entry.addr, e.addr) != 0) {
		l->entry_ms = l->last_heartbeat_ms;
		is_new = true;
	}
	l->in_directory = true;
	link_note_written(l, &e, row->version);
	note_earliest_exit(l, &e);
	link_set_exiting(l, e.draining);
	tg_worker_entry_move(&l->entry, &e);
	l->seen_in_scan = true;
	link_adopt_address(l);
	link_describe_worker(l);
	if (is_new)
		link_check_entry(l);
	link_poll_if_due(l);
}

static void on_directory_scan(void *arg)
{
	struct board *b = arg;
	struct link *l;

	for (l = b->links; l; l = l->hh.next)
		l->seen_in_scan = false;
}

static void on_directory_read(void *arg)
{
	struct board *b = arg;
	struct link *l;

	for (l = b->links; l; l = l->hh.next)
		if (!l->seen_in_scan)
			worker_removed(b, l->entry.id);
	if (!b->directory_read) {
		flow_each_undescribed_worker(b->flow, add_absent_worker, b);
		speeds_open(b);
		accounts_open(b);
	}
	if (!b->directory_read)
		b->directory_since_ms =
			tg_table_watch_answered_since_ms(b->directory);
	b->directory_read = true;
	owner_check_recovered(b);
}

void links_open(struct board *b)
{
	struct tg_table_watch_opts o = {
		.site = &b->site,
		.table = b->site.ops->directory_table,
		.on_scan_start = on_directory_scan,
		.on_row = on_worker_row,
		.on_scan_done = on_directory_read,
		.arg = b,
	};

	b->directory_read = false;
	b->directory = tg_table_watch_new(&o);
}

void links_close(struct board *b)
{
	struct link *l, *tmp;

	speeds_close();
	accounts_close();
	tg_table_watch_free(b->directory);
	b->directory = NULL;
	HASH_ITER(hh, b->links, l, tmp)
		link_free(l);
}
