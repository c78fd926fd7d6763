#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "board.h"
#include "workerexit.h"

/*
 * Keeps a long poll to each worker open.  It renews the worker's leases and
 * returns the worker's runs and the ends of runs as soon as there are any.  The
 * worker answers at once while the owner may not renew the leases.
 */

/* A worker answers a long poll after this time even if no run has ended. */
#define LONG_POLL_MS 2000
#define POLL_TIMEOUT_MS 700
#define RETRY_MAX_MS 1000
/* A worker would return ends that are not durable yet again at once. */
#define NOT_DURABLE_PAUSE_MS 300
/*
 * A worker that is gone is polled this long after its runs have ended, since a
 * process that answers in its place shows that it has crashed.
 */
#define POLL_GONE_MS 20000

/*
 * Links of which the first poll is in progress.  A new owner opens the links to
 * all workers; if it did so at once, the answers would come too late.
 */
#define OPENING_MAX 200

static struct tg_counter *outlived;

struct poll_call {
	struct board *board;
	uint64_t term;
	char id[TG_NAME_MAX + 1];
	int64_t asked_ms;
	bool is_extra;
};

struct link *link_find(struct board *b, const char *id)
{
	struct link *l;

	HASH_FIND(hh, b->links, id, strlen(id), l);
	return l;
}

void link_set_failed(struct link *l, bool failed)
{
	struct board *b = l->board;

	if (l->failed == failed)
		return;
	l->failed = failed;
	if (failed)
		DL_APPEND2(b->failed, l, failed_prev, failed_next);
	else
		DL_DELETE2(b->failed, l, failed_prev, failed_next);
}

static void end_opening(struct link *l)
{
	if (!l->opening)
		return;
	l->opening = false;
	l->board->n_opening--;
}

void link_free(struct link *l)
{
	end_opening(l);
	link_set_failed(l, false);
	link_expect_no_ack(l);
	HASH_DEL(l->board->links, l);
	free(l);
}

int64_t link_expiry(struct link *l)
{
	struct board *b = l->board;
	int64_t now_ms = tg_now_ms();
	int64_t lease_ms = b->set.lease_ms;
	int64_t lease_until_ms;

	if (lease_ms > b->site.set.lease_max_ms)
		lease_ms = b->site.set.lease_max_ms;
	lease_until_ms = l->clock_ms + (now_ms - l->clock_at_ms) + lease_ms;
	if (lease_until_ms > l->lease_until_ms) {
		int64_t span_ms = lease_until_ms - l->clock_ms;
		int64_t leases_end_ms = l->clock_at_ms + EXPIRY_MARGIN_MS +
			span_ms * 100 / (100 - CLOCK_SLOW_PERCENT);

		l->lease_until_ms = lease_until_ms;
		if (leases_end_ms > l->leases_end_ms)
			l->leases_end_ms = leases_end_ms;
	}
	return lease_until_ms;
}

static bool may_renew(struct link *l)
{
	return l->runs_known && !l->failed && owner_may_renew(l->board);
}

static void on_polled(const struct tg_worker_poll_result *r, void *arg);

static void send_poll(struct link *l, bool extra)
{
	struct board *b = l->board;
	struct poll_call *k = tg_xcalloc(1, sizeof(*k));
	struct tg_worker_ref ref = { .id = l->entry.id, .addr = l->entry.addr };
	struct tg_worker_poll h = {
		.fence = b->fence,
		.acked_n = l->durable_n,
		.timeout_ms = POLL_TIMEOUT_MS,
	};

	k->board = b;
	k->term = b->term;
	k->asked_ms = tg_now_ms();
	k->is_extra = extra;
	tg_strlcpy(k->id, l->entry.id, sizeof(k->id));
	if (may_renew(l)) {
		h.until_ms = link_expiry(l);
		if (!extra)
			h.wait_ms = LONG_POLL_MS;
	}
	h.timeout_ms += h.wait_ms;
	if (!l->runs_known && !l->opening) {
		l->opening = true;
		b->n_opening++;
	}
	if (extra)
		l->polling = true;
	else
		l->long_polling = true;
	b->site.ops->hold(b->site.port, &ref, &h, on_polled, k);
}

static void log_lost_run(const struct flow_run_ref *r, int64_t started_ms,
			 void *arg)
{
	const struct link *l = arg;
	int64_t until_ms = l->failed ? l->first_failure_ms : tg_now_ms();

	tg_log(EV_FLOW_RUN_LOST,
	       "job=%s task=%d.%d.%d run=%d worker=%s age_ms=%lld", r->job,
	       r->occurrence, r->step, r->index, r->run, l->entry.id,
	       started_ms ? (long long)(until_ms - started_ms) : -1LL);
}

/* How long ago it was; -1 if never. */
static long long age_ms(int64_t at_ms)
{
	return at_ms ? (long long)(tg_now_ms() - at_ms) : -1LL;
}

static void log_lost_worker(struct link *l, int event,
			    const struct link_proof *p)
{
	tg_log(event,
	       "worker=%s why=%s source=%s boot=%lld other_boot=%lld "
	       "entry_boot=%lld silent_ms=%lld asked_age_ms=%lld "
	       "entry_age_ms=%lld removed_age_ms=%lld failed_age_ms=%lld "
	       "failures=%d refusals=%d draining=%d leases_left_ms=%lld",
	       l->entry.id, p->why, p->source, (long long)l->boot_ms,
	       (long long)p->boot_ms, (long long)l->entry.boot_ms,
	       age_ms(l->clock_at_ms), age_ms(p->asked_ms),
	       age_ms(l->last_heartbeat_ms),
	       l->in_directory ? -1LL : age_ms(l->removed_ms),
	       l->failed ? age_ms(l->first_failure_ms) : -1LL, l->failures,
	       l->refusals, l->entry.draining,
	       (long long)(l->leases_end_ms - tg_now_ms()));
	flow_each_run_of(l->board->flow, l->entry.id, log_lost_run, l);
	/* Of two verdicts without an answer in between the first one counts. */
	if (l->runs_known || !l->lost_boot_ms) {
		l->lost_boot_ms = l->boot_ms;
		l->lost_source = p->source;
	}
	l->runs_known = l->may_have_runs = false;
	l->lost_ms = tg_now_ms();
	round_wake(l->board);
}

/* Records that all runs on the worker have ended. */
static void declare_runs_lost(struct link *l, const struct link_proof *p)
{
	log_lost_worker(l, EV_FLOW_WORKER_LOST, p);
	flow_worker_lost(l->board->flow, l->entry.id, tg_now_ms());
}

/*
 * Between a verdict and the worker's next list it gets no starts, so a run in
 * that list is one that was taken for ended.
 */
static void check_verdict(struct link *l, const struct tg_worker_poll_result *r)
{
	if (r->n_runs && r->boot_ms == l->lost_boot_ms) {
		tg_log(EV_FLOW_RUNS_OUTLIVED,
		       "worker=%s boot=%lld source=%s verdict_age_ms=%lld "
		       "runs=%zu",
		       l->entry.id, (long long)l->lost_boot_ms, l->lost_source,
		       age_ms(l->lost_ms), r->n_runs);
		outlived->value++;
	}
	l->lost_boot_ms = 0;
}

static void on_blame(const struct flow_blame *b, void *arg)
{
	const struct link *l = arg;

	tg_log(b->given_up ? EV_FLOW_TASK_GIVEN_UP : EV_FLOW_TASK_BLAMED,
	       "job=%s task=%d.%d.%d run=%d worker=%s addr=%s age_ms=%lld "
	       "crashes=%d",
	       b->ref.job, b->ref.occurrence, b->ref.step, b->ref.index,
	       b->ref.run, l->entry.id, l->entry.addr, (long long)b->age_ms,
	       b->crashes);
}

/* Another process answers at the worker's address, or has written its entry. */
static void declare_restarted(struct link *l, const struct link_proof *p)
{
	int64_t now_ms = tg_now_ms();
	struct flow_crash c = {
		.worker = l->entry.id,
		.silent_ms = l->failed ? l->first_failure_ms : now_ms,
		.on_blame = on_blame,
		.arg = l,
	};

	log_lost_worker(l, EV_FLOW_WORKER_BOOT, p);
	flow_worker_crashed(l->board->flow, &c, now_ms);
	writer_wake(l->board);
}

void link_set_boot(struct link *l, const struct link_proof *p)
{
	if (!p->boot_ms || p->boot_ms == l->boot_ms)
		return;
	if (l->boot_ms) {
		declare_restarted(l, p);
		l->clock_ms = l->clock_at_ms = 0;
		l->lease_until_ms = l->leases_end_ms = 0;
		l->processed_n = l->writing_n = l->durable_n = 0;
		link_expect_no_ack(l);
	}
	l->boot_ms = p->boot_ms;
}

static void poll_succeeded(struct link *l,
			   const struct tg_worker_poll_result *r,
			   int64_t asked_ms)
{
	struct board *b = l->board;
	int64_t known_boot_ms = l->boot_ms;
	struct link_proof proof = {
		.source = "poll",
		.why = "worker has restarted",
		.boot_ms = r->boot_ms,
		.asked_ms = asked_ms,
	};
	bool restarted;

	link_set_boot(l, &proof);
	restarted = known_boot_ms && l->boot_ms != known_boot_ms;
	/* Answers on different connections may arrive out of order. */
	if (r->clock_ms < l->clock_ms)
		return;
	l->clock_ms = r->clock_ms;
	l->clock_at_ms = tg_now_ms();
	if (l->failed) {
		tg_log(EV_FLOW_WORKER_BACK, "worker=%s failures=%d",
		       l->entry.id, l->failures);
		if (!restarted)
			flow_worker_back(b->flow, l->entry.id);
	}
	link_set_failed(l, false);
	l->failures = l->refusals = 0;
	flow_worker_set_suspect(b->flow, l->entry.id, !l->in_directory);
	if (!l->runs_known)
		check_verdict(l, r);
	if (!link_apply_lists(l, r, asked_ms))
		return;
	if (l->runs_known && !may_renew(l))
		l->next_poll_ms = l->clock_at_ms + LINK_RETRY_MS;
	if (!l->runs_known) {
		/* A former owner may have granted leases of maximum length. */
		l->leases_end_ms = l->clock_at_ms + EXPIRY_MARGIN_MS +
			b->site.set.lease_max_ms * 100 /
				(100 - CLOCK_SLOW_PERCENT);
		l->runs_known = l->may_have_runs = true;
		/*
		 * The worker has seen this owner's fence and refuses orders of
		 * former owners from now on.
		 */
		flow_worker_set_runs_known(b->flow, l->entry.id);
		round_wake(b);
	}
}

static bool has_exited(const struct link *l)
{
	struct worker_exit_signs s = {
		.in_directory = l->in_directory,
		.failures = l->failures,
		.refusals = l->refusals,
		.first_failure_ms = l->first_failure_ms,
		.removed_ms = l->removed_ms,
		.last_heartbeat_ms = l->last_heartbeat_ms,
		.earliest_exit_ms = l->earliest_exit_ms,
		.heartbeat_ms = l->board->site.set.heartbeat_ms,
		.now_ms = tg_now_ms(),
	};

	return l->entry.draining && l->may_have_runs && worker_has_exited(&s);
}

static void poll_failed(struct link *l, enum tg_order_end end)
{
	struct link_proof proof = {
		.source = l->in_directory ? "refused" : "removed",
		.why = "worker has exited",
	};
	int64_t pause_ms = LINK_RETRY_MS * ++l->failures;

	if (!l->failed) {
		l->first_failure_ms = tg_now_ms();
		flow_worker_silent(l->board->flow, l->entry.id,
				   l->first_failure_ms);
	}
	if (!l->failed)
		tg_log(EV_FLOW_WORKER_SILENT,
		       "worker=%s end=%d expires_ms=%lld", l->entry.id,
		       (int)end, (long long)(l->leases_end_ms - tg_now_ms()));
	link_set_failed(l, true);
	flow_worker_set_suspect(l->board->flow, l->entry.id, true);
	l->next_poll_ms = tg_now_ms() +
		(pause_ms < RETRY_MAX_MS ? pause_ms : RETRY_MAX_MS);
	l->refusals = end == TG_ORDER_CONN_REFUSED ? l->refusals + 1 : 0;
	if (has_exited(l))
		declare_runs_lost(l, &proof);
}

void link_poll_if_due(struct link *l)
{
	struct board *b = l->board;
	int64_t now_ms = tg_now_ms();

	if (l->long_polling || l->next_poll_ms > now_ms || !*l->entry.addr ||
	    owner_was_held_up(b))
		return;
	if (!l->runs_known && b->n_opening >= OPENING_MAX)
		return;
	if (l->processed_n > l->durable_n) {
		/* links_write_done() polls once the ends are durable. */
		l->next_poll_ms = now_ms + NOT_DURABLE_PAUSE_MS;
		if (now_ms - l->clock_at_ms < NOT_DURABLE_PAUSE_MS)
			return;
	}
	send_poll(l, false);
}

/* Opens the next link that waits for it; the links are in order of creation. */
static void open_next(struct link *l)
{
	struct board *b = l->board;

	for (l = l->hh.next; l && b->n_opening < OPENING_MAX; l = l->hh.next)
		if (!l->runs_known)
			link_poll_if_due(l);
}

static void on_polled(const struct tg_worker_poll_result *r, void *arg)
{
	struct poll_call *k = arg;
	struct board *b = k->board;
	struct link *l = k->term == b->term ? link_find(b, k->id) : NULL;
	bool was_opening;

	if (!l)
		goto out;
	if (k->is_extra)
		l->polling = false;
	else
		l->long_polling = false;
	was_opening = l->opening;
	end_opening(l);
	if (r->end == TG_ORDER_FENCED) {
		owner_lost(b, "a worker has seen a higher fence");
		goto out;
	}
	if (r->end == TG_ORDER_DONE)
		poll_succeeded(l, r, k->asked_ms);
	else if (!k->is_extra)
		poll_failed(l, r->end);
	if (r->end == TG_ORDER_OTHER_BOOT && l->boot_ms) {
		struct link_proof proof = {
			.source = "421",
			.why = "another worker has its address",
			.boot_ms = -1,
			.asked_ms = k->asked_ms,
		};

		link_set_boot(l, &proof);
	}
	if (l->poll_again && !l->polling) {
		l->poll_again = false;
		link_poll(l);
	}
	link_poll_if_due(l);
	if (was_opening)
		open_next(l);
out:
	free(k);
}

void link_poll(struct link *l)
{
	if (l->polling) {
		l->poll_again = true;
		return;
	}
	/* The next long poll will do. */
	if (!owner_was_held_up(l->board))
		send_poll(l, true);
}

void links_limit_leases(struct board *b, int64_t end_ms)
{
	struct link *l;

	/* A worker that has answered has leases of this owner. */
	for (l = b->links; l; l = l->hh.next)
		if (!l->clock_at_ms && l->leases_end_ms > end_ms)
			l->leases_end_ms = end_ms;
}

void links_record_silent(const struct board *b, struct tg_owner_row *r)
{
	static int last_left_out;
	const struct link *l;
	int n = 0, left_out = 0;

	r->silent[0] = r->silent_at[0] = '\0';
	DL_FOREACH2(b->failed, l, failed_next)
	{
		struct tg_silent_worker s = { .boot_ms = l->boot_ms };

		if (!l->may_have_runs)
			continue;
		tg_strlcpy(s.addr, l->entry.addr, sizeof(s.addr));
		n++;
		left_out += !tg_owner_row_add_silent(r, l->entry.id, &s,
						     b->site.set.row_bytes);
	}
	if (left_out && !last_left_out)
		tg_log(EV_FLOW_SILENT_LEFT_OUT, "silent=%d left_out=%d", n,
		       left_out);
	last_left_out = left_out;
}

/*
 * Ends the runs of an unreachable worker once all leases that any owner can
 * have granted have expired.
 */
static void check_expiry(struct link *l, int64_t now_ms)
{
	static const struct link_proof proof = {
		.source = "lease",
		.why = "leases expired",
	};

	if (l->may_have_runs && now_ms >= l->leases_end_ms)
		declare_runs_lost(l, &proof);
}

static void remove_if_gone(struct link *l, int64_t now_ms)
{
	struct board *b = l->board;

	if (l->in_directory || l->may_have_runs || l->long_polling ||
	    l->polling || now_ms - l->lost_ms < POLL_GONE_MS)
		return;
	flow_worker_remove(b->flow, l->entry.id, now_ms);
	link_free(l);
}

static void tick(void *board, int64_t now_ms)
{
	struct board *b = board;
	struct link *l, *tmp;

	if (!IS_OWNER(b))
		return;
	for (l = b->links; l; l = l->hh.next)
		link_poll_if_due(l);
	DL_FOREACH2(b->failed, l, failed_next)
	check_expiry(l, now_ms);
	DL_FOREACH_SAFE2(b->failed, l, tmp, failed_next)
	remove_if_gone(l, now_ms);
}

static int start(void *board)
{
	(void)board;
	outlived = tg_counter(
		"tg_flow_runs_outlived_total",
		"verdicts on workers that a later list of the worker disproved",
		NULL);
	return 0;
}

const struct tg_controller links_controller = {
	.name = "links",
	.period_ms = 50,
	.start = start,
	.tick = tick,
};
