#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "board.h"
#include "workerprocess.h"

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

/* Time between two questions to the address in an entry; see probe(). */
#define PROBE_INTERVAL_MS 500

/**
 * struct poll_call - a poll in progress
 * @process: of the link when the call began
 * @fence: token that it carries
 * @n_answers: answers of that process that had been received by then
 * @acked_n: last end that it acknowledges, or 0
 */
struct poll_call {
	struct board *board;
	uint64_t term, process, fence;
	int64_t n_answers, acked_n;
	char id[TG_KEY_MAX + 1], addr[TG_ADDR_MAX + 1];
	int64_t asked_ms;
	enum poll_kind kind;
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
	lease_bound_changed(l);
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
	link_await_no_fence(l);
	link_expect_no_long_lease(l);
	link_set_exiting(l, false);
	HASH_DEL(l->board->links, l);
	tg_worker_entry_clear(&l->entry);
	free(l);
}

static bool may_renew(struct link *l)
{
	return l->runs_known && !l->failed && !lease_is_bounded(l->entry.id) &&
		owner_may_renew(l->board);
}

static void on_polled(const struct tg_worker_poll_result *r, void *arg);

static void send_poll(struct link *l, enum poll_kind kind)
{
	struct board *b = l->board;
	struct poll_call *k = tg_xcalloc(1, sizeof(*k));
	struct tg_worker_ref ref = { .id = k->id, .addr = k->addr };
	struct tg_worker_poll h = {
		.fence = l->fence,
		.timeout_ms = POLL_TIMEOUT_MS,
	};

	k->board = b;
	k->term = b->term;
	k->process = l->process;
	k->fence = l->fence;
	k->n_answers = l->n_answers;
	k->asked_ms = tg_now_ms();
	k->kind = kind;
	tg_strlcpy(k->id, l->entry.id, sizeof(k->id));
	tg_strlcpy(k->addr, kind == POLL_PROBE ? l->entry.addr : l->addr,
		   sizeof(k->addr));
	/* Leases and the numbers of ends are those of the known process. */
	if (kind != POLL_PROBE) {
		h.acked_n = k->acked_n = link_take_ack(l);
		if (may_renew(l)) {
			h.until_ms = link_expiry(l);
			if (kind == POLL_LONG)
				h.wait_ms = LONG_POLL_MS;
		}
		if (!l->runs_known && !l->opening) {
			l->opening = true;
			b->n_opening++;
		}
	}
	h.timeout_ms += h.wait_ms;
	l->in_progress[kind] = true;
	b->site.ops->hold(b->site.port, &ref, &h, on_polled, k);
}

/* Calls in progress are about the process before. */
static void turn_to_process(struct link *l, int64_t boot_ms, const char *addr)
{
	end_opening(l);
	l->process = ++l->board->n_processes;
	l->boot_ms = boot_ms;
	tg_strlcpy(l->addr, addr, sizeof(l->addr));
	l->has_answered_there = false;
	l->n_answers = l->answered_ms = l->asked_ms = 0;
	l->clock_ms = l->clock_at_ms = 0;
	l->lease_until_ms = l->leases_end_ms = 0;
	l->leases_of = NULL;
	l->processed_n = l->writing_n = l->durable_n = l->acked_n = 0;
	l->may_ack = false;
	link_expect_no_ack(l);
	memset(l->in_progress, 0, sizeof(l->in_progress));
	l->poll_again = false;
	l->extra_poll_ms = 0;
	lease_bound_process_ended(l);
	link_raise_fence(l);
}

static struct process_signs signs_of(const struct link *l,
				     const struct poll_call *k, int64_t boot_ms)
{
	return (struct process_signs){
		.known_boot_ms = l->boot_ms,
		.boot_ms = boot_ms,
		.answers_at_call = k->n_answers,
		.answers = l->n_answers,
		.at_its_address =
			l->has_answered_there && !strcmp(k->addr, l->addr),
	};
}

static void log_unordered(const struct link *l, const struct poll_call *k,
			  int64_t boot_ms)
{
	int64_t now_ms = tg_now_ms();

	tg_log(EV_FLOW_ANSWER_UNORDERED,
	       "worker=%s boot=%lld other_boot=%lld addr=%s silent_ms=%lld "
	       "asked_age_ms=%lld",
	       l->entry.id, (long long)l->boot_ms, (long long)boot_ms, k->addr,
	       (long long)(now_ms - l->answered_ms),
	       (long long)(now_ms - k->asked_ms));
}

/* Another process answers, which has run after the known one. */
static void replace_process(struct link *l, const struct poll_call *k,
			    const struct tg_worker_poll_result *r)
{
	const struct link_proof proof = {
		.source = "poll",
		.why = "worker has restarted",
		.boot_ms = r->boot_ms,
		.asked_ms = k->asked_ms,
		.clock_ms = r->clock_ms,
		.at_its_address = !strcmp(k->addr, l->addr),
	};

	link_declare_replaced(l, &proof);
	turn_to_process(l, r->boot_ms, k->addr);
}

static void record_answer(struct link *l, const struct poll_call *k,
			  int64_t boot_ms)
{
	if (boot_ms)
		l->boot_ms = boot_ms;
	tg_strlcpy(l->addr, k->addr, sizeof(l->addr));
	l->has_answered_there = true;
	link_ack_answered(l, k->process == l->process ? k->acked_n : 0);
	l->n_answers++;
	l->answered_ms = tg_now_ms();
	if (k->asked_ms > l->asked_ms)
		l->asked_ms = k->asked_ms;
}

/* Whether the process refuses calls that have been sent to earlier ones. */
static bool has_seen_fence(const struct link *l, const struct poll_call *k)
{
	return k->fence == l->fence && !l->awaits_fence;
}

static void poll_succeeded(struct link *l,
			   const struct tg_worker_poll_result *r,
			   const struct poll_call *k)
{
	struct board *b = l->board;
	struct process_signs signs = signs_of(l, k, r->boot_ms);
	enum process_sign sign = process_sign_of(&signs);
	bool is_new = sign == PROCESS_REPLACED || !l->boot_ms;
	/* No process is known after one that has lost its address. */
	bool restarted =
		sign == PROCESS_REPLACED || (!l->boot_ms && l->lost_boot_ms);

	if (sign == PROCESS_UNORDERED) {
		log_unordered(l, k, r->boot_ms);
		link_poll(l);
		return;
	}
	if (sign == PROCESS_REPLACED)
		replace_process(l, k, r);
	record_answer(l, k, r->boot_ms);
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
	/* A former owner has stored it, and the link has never failed. */
	if (lease_is_bounded(l->entry.id))
		lease_bound_changed(l);
	l->failures = l->refusals = 0;
	if (is_new)
		link_describe_worker(l);
	link_update_suspect(l);
	if (!l->runs_known) {
		link_check_verdict(l, r);
		link_expect_long_lease(l);
		l->may_have_runs = true;
	}
	if (!link_apply_lists(l, r, k->asked_ms))
		return;
	/* The write that it awaits causes a poll by itself. */
	if (l->awaits_fence)
		l->next_poll_ms = l->clock_at_ms + RETRY_MAX_MS;
	else if (l->runs_known && !may_renew(l))
		l->next_poll_ms = l->clock_at_ms + LINK_RETRY_MS;
	if (!l->runs_known && has_seen_fence(l, k)) {
		l->runs_known = true;
		/*
		 * The worker refuses calls of former owners, and those to its
		 * earlier processes, from now on.
		 */
		flow_worker_set_runs_known(b->flow, l->entry.id);
		round_wake(b);
	}
}

static void poll_failed(struct link *l, const struct tg_worker_poll_result *r)
{
	struct link_proof proof = {
		.source = "removed",
		.why = "worker has exited",
	};
	int64_t pause_ms = LINK_RETRY_MS * ++l->failures;

	if (!l->failed) {
		l->first_failure_ms = tg_now_ms();
		l->closed = r->closed;
		flow_worker_silent(l->board->flow, l->entry.id,
				   l->first_failure_ms);
	}
	if (!l->failed)
		tg_log(EV_FLOW_WORKER_SILENT,
		       "worker=%s end=%d expires_ms=%lld", l->entry.id,
		       (int)r->end,
		       (long long)(l->leases_end_ms - tg_now_ms()));
	link_set_failed(l, true);
	lease_bound_changed(l);
	link_update_suspect(l);
	l->next_poll_ms = tg_now_ms() +
		(pause_ms < RETRY_MAX_MS ? pause_ms : RETRY_MAX_MS);
	l->refusals = r->end == TG_ORDER_CONN_REFUSED ? l->refusals + 1 : 0;
	if (link_has_exited(l))
		link_declare_runs_lost(l, &proof);
}

void link_poll_if_due(struct link *l)
{
	struct board *b = l->board;
	int64_t now_ms = tg_now_ms();

	if (l->in_progress[POLL_LONG] || l->next_poll_ms > now_ms ||
	    !*l->addr || owner_was_held_up(b))
		return;
	if (!l->runs_known && b->n_opening >= OPENING_MAX)
		return;
	if (l->processed_n > l->durable_n) {
		/* links_write_done() polls once the ends are durable. */
		l->next_poll_ms = now_ms + NOT_DURABLE_PAUSE_MS;
		if (now_ms - l->clock_at_ms < NOT_DURABLE_PAUSE_MS)
			return;
	}
	send_poll(l, POLL_LONG);
}

/* Opens the next link that waits for it; the links are in order of creation. */
static void open_next(struct link *l)
{
	struct board *b = l->board;

	for (l = l->hh.next; l && b->n_opening < OPENING_MAX; l = l->hh.next)
		if (!l->runs_known)
			link_poll_if_due(l);
}

static void check_other_worker(struct link *l, const struct poll_call *k)
{
	struct process_signs signs = signs_of(l, k, 0);
	const struct link_proof proof = {
		.source = "421",
		.why = "another worker has its address",
		.asked_ms = k->asked_ms,
	};

	if (!process_lost_address(&signs))
		return;
	link_declare_replaced(l, &proof);
	turn_to_process(l, 0, l->in_directory ? l->entry.addr : l->addr);
}

static void on_polled(const struct tg_worker_poll_result *r, void *arg)
{
	struct poll_call *k = arg;
	struct board *b = k->board;
	struct link *l = k->term == b->term ? link_find(b, k->id) : NULL;
	bool was_opening;

	if (!l)
		goto out;
	if (r->end == TG_ORDER_FENCED && fence_is_exceeded(b, l, k->fence)) {
		owner_lost(b, "a worker has seen a higher fence");
		goto out;
	}
	if (k->process != l->process)
		goto out;
	l->in_progress[k->kind] = false;
	was_opening = l->opening;
	if (k->kind != POLL_PROBE)
		end_opening(l);
	if (r->end == TG_ORDER_DONE)
		poll_succeeded(l, r, k);
	else if (k->kind == POLL_LONG && r->end != TG_ORDER_FENCED)
		poll_failed(l, r);
	if (r->end != TG_ORDER_DONE && k->kind != POLL_PROBE)
		l->may_ack = false;
	if (r->end == TG_ORDER_OTHER_BOOT && k->kind != POLL_PROBE)
		check_other_worker(l, k);
	if (l->poll_again && !l->in_progress[POLL_EXTRA]) {
		l->poll_again = false;
		link_poll(l);
	}
	link_poll_if_due(l);
	if (was_opening && !l->opening)
		open_next(l);
out:
	free(k);
}

void link_poll(struct link *l)
{
	if (l->in_progress[POLL_EXTRA]) {
		l->poll_again = true;
		return;
	}
	/* The next long poll will do. */
	if (!owner_was_held_up(l->board) && *l->addr)
		send_poll(l, POLL_EXTRA);
}

void link_poll_at(struct link *l, int64_t at_ms)
{
	/* One poll at the later time serves both. */
	if (at_ms > l->extra_poll_ms)
		l->extra_poll_ms = at_ms;
}

/*
 * A run that its worker never had is not in a list of ends, so that the long
 * poll is not answered when its stop is over.
 */
void link_poll_after_stop(struct link *l)
{
	link_poll_at(l,
		     tg_now_ms() + stop_max_ms(l->board) + STOP_POLL_MARGIN_MS);
}

static void extra_poll_if_due(struct link *l, int64_t now_ms)
{
	if (!l->extra_poll_ms || now_ms < l->extra_poll_ms)
		return;
	l->extra_poll_ms = 0;
	link_poll(l);
}

/*
 * The entry names another process, or another address of the known one.  Either
 * the worker has restarted or moved, or the entry is an old one.  An entry
 * doesn't tell which, since it may be read late; answers do.
 */
static void probe(struct link *l, int64_t now_ms)
{
	if (l->in_progress[POLL_PROBE] || now_ms < l->next_probe_ms ||
	    !link_entry_is_doubtful(l) || !strcmp(l->entry.addr, l->addr) ||
	    owner_was_held_up(l->board))
		return;
	l->next_probe_ms = now_ms + PROBE_INTERVAL_MS;
	send_poll(l, POLL_PROBE);
}

void link_check_entry(struct link *l)
{
	if (!link_entry_is_doubtful(l))
		return;
	tg_log(EV_FLOW_ENTRY_DOUBTFUL,
	       "worker=%s boot=%lld addr=%s entry_boot=%lld entry_addr=%s "
	       "silent_ms=%lld",
	       l->entry.id, (long long)l->boot_ms, l->addr,
	       (long long)l->entry.boot_ms, l->entry.addr,
	       l->answered_ms ? (long long)(tg_now_ms() - l->answered_ms) :
				-1LL);
	link_poll(l);
	l->next_probe_ms = 0;
	probe(l, tg_now_ms());
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
		tg_strlcpy(s.addr, l->addr, sizeof(s.addr));
		n++;
		left_out += !tg_owner_row_add_silent(r, l->entry.id, &s,
						     b->site.set.row_bytes);
	}
	if (left_out && !last_left_out)
		tg_log(EV_FLOW_SILENT_LEFT_OUT, "silent=%d left_out=%d", n,
		       left_out);
	last_left_out = left_out;
}

static void remove_if_gone(struct link *l, int64_t now_ms)
{
	struct board *b = l->board;

	if (l->in_directory || l->may_have_runs || l->in_progress[POLL_LONG] ||
	    l->in_progress[POLL_EXTRA] || now_ms - l->lost_ms < POLL_GONE_MS)
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
	for (l = b->links; l; l = l->hh.next) {
		link_poll_if_due(l);
		extra_poll_if_due(l, now_ms);
		probe(l, now_ms);
	}
	DL_FOREACH2(b->failed, l, failed_next)
	link_check_expiry(l, now_ms);
	DL_FOREACH_SAFE2(b->failed, l, tmp, failed_next)
	remove_if_gone(l, now_ms);
}

const struct tg_controller links_controller = {
	.name = "links",
	.period_ms = 50,
	.tick = tick,
};
