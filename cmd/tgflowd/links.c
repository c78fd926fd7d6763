#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "left.h"

/*
 * One call to each worker is always in progress: it renews the worker's leases
 * and brings ends as soon as there are any.
 */

/* A worker answers at the latest after this, an end or not. */
#define WAIT_MS 2000
#define LOOK_TIMEOUT_MS 700
/* After a call that failed. */
#define RETRY_MS 150
#define RETRY_MAX_MS 1000
/* Ends that are not durable yet would be listed again at once. */
#define UNNOTED_PAUSE_MS 300
/* A run of a job that is still unknown after this is stopped. */
#define UNKNOWN_MS 2000

struct look {
	struct board *board;
	uint64_t term;
	char id[TG_NAME_MAX + 1];
	int64_t asked_ms;
	bool extra;
};

struct link *link_find(struct board *b, const char *id)
{
	struct link *l;

	HASH_FIND(hh, b->links, id, strlen(id), l);
	return l;
}

int64_t link_expiry(struct link *l)
{
	struct board *b = l->board;
	int64_t now_ms = tg_now_ms();
	int64_t lease_ms = b->set.lease_ms;
	int64_t until_ms;

	if (lease_ms > b->site.set.lease_max_ms)
		lease_ms = b->site.set.lease_max_ms;
	until_ms = l->clock_ms + (now_ms - l->clock_at_ms) + lease_ms;
	if (until_ms > l->until_ms) {
		int64_t span_ms = until_ms - l->clock_ms;
		int64_t expires_at_ms = l->clock_at_ms + EXPIRY_MARGIN_MS +
			span_ms * 100 / (100 - CLOCK_SLOW_PERCENT);

		l->until_ms = until_ms;
		if (expires_at_ms > l->expires_at_ms)
			l->expires_at_ms = expires_at_ms;
	}
	return until_ms;
}

static bool may_renew(const struct link *l)
{
	return l->listed && !l->failed && owner_may_renew(l->board);
}

static void on_look(const struct tg_hold_result *r, void *arg);

static void send_look(struct link *l, bool extra)
{
	struct board *b = l->board;
	struct look *k = tg_xcalloc(1, sizeof(*k));
	struct tg_worker_ref ref = { .id = l->entry.id, .addr = l->entry.addr };
	struct tg_hold h = {
		.fence = b->fence,
		.seen_n = l->noted_n,
		.timeout_ms = LOOK_TIMEOUT_MS,
	};

	k->board = b;
	k->term = b->term;
	k->asked_ms = tg_now_ms();
	k->extra = extra;
	tg_strlcpy(k->id, l->entry.id, sizeof(k->id));
	if (may_renew(l)) {
		h.until_ms = link_expiry(l);
		if (!extra)
			h.wait_ms = WAIT_MS;
	}
	h.timeout_ms += h.wait_ms;
	if (extra)
		l->looking = true;
	else
		l->holding = true;
	b->site.ops->hold(b->site.port, &ref, &h, on_look, k);
}

/* Everything that ran there is over. */
static void lose_runs(struct link *l, int event, const char *why)
{
	struct board *b = l->board;

	tg_log(event, "worker=%s why=%s silent_ms=%lld", l->entry.id, why,
	       l->clock_at_ms ? (long long)(tg_now_ms() - l->clock_at_ms) :
				-1LL);
	flow_worker_lost(b->flow, l->entry.id, tg_now_ms());
	l->listed = l->loaded = false;
	round_wake(b);
}

void link_set_boot(struct link *l, int64_t boot_ms)
{
	if (!boot_ms || boot_ms == l->boot_ms)
		return;
	if (l->boot_ms) {
		lose_runs(l, EV_FLOW_WORKER_BOOT, "other boot");
		l->clock_ms = l->clock_at_ms = 0;
		l->until_ms = l->expires_at_ms = 0;
		l->processed_n = l->marked_n = l->noted_n = 0;
	}
	l->boot_ms = boot_ms;
}

static struct flow_ref ref_of(const struct tg_task_id *t, int32_t run)
{
	return (struct flow_ref){
		.job = t->job,
		.occurrence = t->occurrence,
		.step = t->step,
		.index = t->index,
		.run = run,
	};
}

/* Return: number of ends of jobs that are not known yet, and were left. */
static size_t apply_ends(struct link *l, const struct tg_hold_result *r,
			 int64_t now_ms)
{
	static const enum flow_how hows[] = {
		[TG_RUN_DONE] = FLOW_DONE,	 [TG_RUN_FAILED] = FLOW_FAILURE,
		[TG_RUN_STOPPED] = FLOW_STOPPED, [TG_RUN_LAPSED] = FLOW_LAPSED,
		[TG_RUN_BROKEN] = FLOW_BROKEN,	 [TG_RUN_ALONE] = FLOW_ALONE,
	};
	static const char *const names[] = { "done",   "failed", "stopped",
					     "lapsed", "broken", "alone" };
	struct board *b = l->board;
	size_t i;

	for (i = 0; i < r->n_ends; i++) {
		const struct tg_run_end *e = &r->ends[i];
		struct flow_ref ref = ref_of(&e->task, e->run);

		if (e->n <= l->processed_n)
			continue;
		if (!flow_ended_run(b->flow, &ref, l->entry.id, hows[e->how],
				    e->saved, now_ms) &&
		    (!l->unknown_ms || now_ms - l->unknown_ms < UNKNOWN_MS))
			return r->n_ends - i;
		l->processed_n = e->n;
		tg_log(EV_FLOW_END,
		       "job=%s task=%d.%d.%d run=%d worker=%s how=%s n=%lld",
		       e->task.job, e->task.occurrence, e->task.step,
		       e->task.index, e->run, l->entry.id, names[e->how],
		       (long long)e->n);
		writer_wake(b);
		round_wake(b);
	}
	return 0;
}

static void on_stray_stopped(enum tg_order_end end, int64_t clock_ms, void *arg)
{
	(void)end; /* it is listed again if this did not stop it */
	(void)clock_ms;
	(void)arg;
}

static void stop_stray(struct link *l, const struct tg_run *run)
{
	struct board *b = l->board;
	struct tg_worker_ref ref = { .id = l->entry.id, .addr = l->entry.addr };
	struct tg_order o = {
		.task = run->task,
		.run = run->run,
		.fence = b->fence,
		.timeout_ms = LOOK_TIMEOUT_MS,
	};

	tg_log(EV_FLOW_STOP, "job=%s task=%d.%d.%d run=%d worker=%s why=%s",
	       run->task.job, run->task.occurrence, run->task.step,
	       run->task.index, run->run, l->entry.id, "unknown job");
	b->site.ops->stop(b->site.port, &ref, &o, on_stray_stopped, NULL);
}

/*
 * A former owner may have started a job that the feed has not brought yet.  Its
 * run takes room, so the worker gets nothing until the run is known or over.
 */
static bool note_unknown(struct link *l, const struct tg_hold_result *r,
			 const bool *unknown, size_t n_unknown)
{
	int64_t now_ms = tg_now_ms();
	size_t i;

	if (!n_unknown) {
		l->unknown_ms = 0;
		return false;
	}
	if (!l->unknown_ms)
		l->unknown_ms = now_ms;
	for (i = 0; i < r->n_runs; i++)
		if (unknown[i] && now_ms - l->unknown_ms >= UNKNOWN_MS)
			stop_stray(l, &r->runs[i]);
	flow_worker_suspect(l->board->flow, l->entry.id, true);
	l->next_ms = now_ms + RETRY_MS;
	return true;
}

/* Return: whether all that runs there is known. */
static bool apply_lists(struct link *l, const struct tg_hold_result *r,
			int64_t asked_ms)
{
	struct board *b = l->board;
	bool *unknown = tg_xcalloc(r->n_runs + 1, sizeof(*unknown));
	int64_t now_ms = tg_now_ms();
	size_t i, n_unknown;
	bool known;

	n_unknown = apply_ends(l, r, now_ms);
	for (i = 0; i < r->n_runs; i++) {
		struct flow_ref ref = ref_of(&r->runs[i].task, r->runs[i].run);

		unknown[i] = !flow_listed_run(b->flow, &ref, l->entry.id,
					      r->runs[i].percent,
					      r->runs[i].saved, now_ms);
		n_unknown += unknown[i];
	}
	flow_listed_all(b->flow, l->entry.id, asked_ms, now_ms);
	known = !note_unknown(l, r, unknown, n_unknown);
	free(unknown);
	return known;
}

static void look_succeeded(struct link *l, const struct tg_hold_result *r,
			   int64_t asked_ms)
{
	struct board *b = l->board;

	link_set_boot(l, r->boot_ms);
	/* Answers on different connections overtake each other. */
	if (r->clock_ms < l->clock_ms)
		return;
	l->clock_ms = r->clock_ms;
	l->clock_at_ms = tg_now_ms();
	if (l->failed)
		tg_log(EV_FLOW_WORKER_BACK, "worker=%s failures=%d",
		       l->entry.id, l->failures);
	l->failed = false;
	l->failures = l->refusals = 0;
	flow_worker_suspect(b->flow, l->entry.id, !l->present);
	if (!apply_lists(l, r, asked_ms))
		return;
	if (!l->listed) {
		/* A former owner may have renewed up to the longest lease. */
		l->expires_at_ms = l->clock_at_ms + EXPIRY_MARGIN_MS +
			b->site.set.lease_max_ms * 100 /
				(100 - CLOCK_SLOW_PERCENT);
		l->listed = l->loaded = true;
		/* From now on the worker refuses orders of former owners. */
		if (b->role == ROLE_RECOVERING && !b->former_gone)
			b->stops_end_ms = l->clock_at_ms + b->site.set.stop_ms;
		flow_worker_listed(b->flow, l->entry.id);
		owner_check_recovered(b);
		round_wake(b);
	}
}

static bool has_left(const struct link *l)
{
	struct worker_signs s = {
		.listed = l->present,
		.failures = l->failures,
		.refusals = l->refusals,
		.broken_ms = l->broken_ms,
		.unlisted_ms = l->gone_ms,
		.beat_ms = l->beat_ms,
		.leaves_ms = l->leaves_ms,
		.heartbeat_ms = l->board->site.set.heartbeat_ms,
		.now_ms = tg_now_ms(),
	};

	return l->entry.draining && l->loaded && worker_has_left(&s);
}

static void look_failed(struct link *l, enum tg_order_end end)
{
	int64_t pause_ms = RETRY_MS * ++l->failures;

	if (!l->failed)
		l->broken_ms = tg_now_ms();
	if (!l->failed)
		tg_log(EV_FLOW_WORKER_SILENT,
		       "worker=%s end=%d expires_ms=%lld", l->entry.id,
		       (int)end, (long long)(l->expires_at_ms - tg_now_ms()));
	l->failed = true;
	flow_worker_suspect(l->board->flow, l->entry.id, true);
	l->next_ms = tg_now_ms() +
		(pause_ms < RETRY_MAX_MS ? pause_ms : RETRY_MAX_MS);
	l->refusals = end == TG_ORDER_NOBODY ? l->refusals + 1 : 0;
	if (has_left(l))
		lose_runs(l, EV_FLOW_WORKER_LOST, "it has left");
}

void link_next(struct link *l)
{
	int64_t now_ms = tg_now_ms();

	if (l->holding || l->next_ms > now_ms || !*l->entry.addr)
		return;
	if (l->processed_n > l->noted_n) {
		/* links_noted() goes on as soon as they are durable. */
		l->next_ms = now_ms + UNNOTED_PAUSE_MS;
		if (now_ms - l->clock_at_ms < UNNOTED_PAUSE_MS)
			return;
	}
	send_look(l, false);
}

static void on_look(const struct tg_hold_result *r, void *arg)
{
	struct look *k = arg;
	struct board *b = k->board;
	struct link *l = k->term == b->term ? link_find(b, k->id) : NULL;

	if (!l)
		goto out;
	if (k->extra)
		l->looking = false;
	else
		l->holding = false;
	if (r->end == TG_ORDER_FENCED) {
		owner_lost(b, "a worker has seen a higher fence");
		goto out;
	}
	if (r->end == TG_ORDER_DONE)
		look_succeeded(l, r, k->asked_ms);
	else if (!k->extra)
		look_failed(l, r->end);
	if (r->end == TG_ORDER_OTHER_BOOT && l->boot_ms)
		link_set_boot(l, -1);
	if (l->look_again && !l->looking) {
		l->look_again = false;
		link_look(l);
	}
	link_next(l);
out:
	free(k);
}

void link_look(struct link *l)
{
	if (l->looking) {
		l->look_again = true;
		return;
	}
	send_look(l, true);
}

void links_mark(struct board *b)
{
	struct link *l;

	for (l = b->links; l; l = l->hh.next)
		l->marked_n = l->processed_n;
}

void links_noted(struct board *b)
{
	struct link *l;

	for (l = b->links; l; l = l->hh.next) {
		if (l->marked_n <= l->noted_n)
			continue;
		l->noted_n = l->marked_n;
		if (l->failed || l->processed_n > l->noted_n)
			continue;
		l->next_ms = 0;
		link_next(l);
	}
}

void links_list_silent(const struct board *b, struct tg_owner_row *r)
{
	const struct link *l;

	r->silent[0] = '\0';
	for (l = b->links; l; l = l->hh.next)
		if (l->failed && l->loaded)
			tg_owner_row_silence(r, l->entry.id);
}

int64_t links_unlisted(const struct board *b)
{
	const struct link *l;
	int64_t n = 0;

	for (l = b->links; l; l = l->hh.next)
		n += l->present && !l->listed &&
			!tg_owner_row_is_silent(&b->owner, l->entry.id);
	return n;
}

/* Leases that nobody can have renewed since are over. */
static void check_expiry(struct link *l, int64_t now_ms)
{
	struct board *b = l->board;

	if (!l->failed || !l->loaded || now_ms < l->expires_at_ms)
		return;
	lose_runs(l, EV_FLOW_WORKER_LOST, "leases expired");
	if (!l->present && !l->holding && !l->looking) {
		flow_worker_remove(b->flow, l->entry.id, now_ms);
		HASH_DEL(b->links, l);
		free(l);
	}
}

static void tick(void *board, int64_t now_ms)
{
	struct board *b = board;
	struct link *l, *tmp;

	if (!IS_OWNER(b))
		return;
	HASH_ITER(hh, b->links, l, tmp)
		link_next(l);
	HASH_ITER(hh, b->links, l, tmp)
		check_expiry(l, now_ms);
}

const struct tg_controller links_controller = {
	.name = "links",
	.period_ms = 50,
	.tick = tick,
};
