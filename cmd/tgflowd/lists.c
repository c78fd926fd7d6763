#include <stdlib.h>

#include "board.h"

/* Applies what a worker lists, its runs and their ends, to the flow engine. */

/* A run is stopped if its job is still unknown after this time. */
#define UNKNOWN_RUN_MAX_MS 2000
#define STOP_TIMEOUT_MS 700

/*
 * Processes ends in order up to the first one whose job is not known yet.
 *
 * Return: number of ends that were not processed.
 */
static size_t apply_ends(struct link *l, const struct tg_worker_poll_result *r,
			 int64_t now_ms)
{
	static const enum flow_run_result hows[] = {
		[TG_RUN_DONE] = FLOW_RUN_DONE,
		[TG_RUN_FAILED] = FLOW_RUN_FAILED,
		[TG_RUN_STOPPED] = FLOW_RUN_STOPPED,
		[TG_RUN_LEASE_EXPIRED] = FLOW_RUN_LEASE_EXPIRED,
		[TG_RUN_GANG_BROKEN] = FLOW_RUN_GANG_BROKEN,
		[TG_RUN_GANG_TIMEOUT] = FLOW_RUN_GANG_TIMEOUT,
	};
	static const char *const names[] = { "done",   "failed", "stopped",
					     "lapsed", "broken", "alone" };
	struct board *b = l->board;
	size_t i;

	for (i = 0; i < r->n_ends; i++) {
		const struct tg_run_end *e = &r->ends[i];
		struct flow_run_ref ref = ref_of_task(&e->task, e->run);

		if (e->n <= l->processed_n)
			continue;
		if (!flow_report_end(b->flow, &ref, l->entry.id, hows[e->how],
				     e->saved, now_ms) &&
		    (!l->unknown_since_ms ||
		     now_ms - l->unknown_since_ms < UNKNOWN_RUN_MAX_MS))
			return r->n_ends - i;
		l->processed_n = e->n;
		link_expect_ack(l);
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

static void on_unknown_run_stopped(enum tg_order_end end, int64_t clock_ms,
				   void *arg)
{
	(void)end; /* a run that was not stopped is listed again */
	(void)clock_ms;
	(void)arg;
}

static void stop_unknown_run(struct link *l, const struct tg_run *run)
{
	struct board *b = l->board;
	struct tg_worker_ref ref = { .id = l->entry.id, .addr = l->addr };
	struct tg_order o = {
		.task = run->task,
		.run = run->run,
		.fence = l->fence,
		.timeout_ms = STOP_TIMEOUT_MS,
	};

	tg_log(EV_FLOW_STOP, "job=%s task=%d.%d.%d run=%d worker=%s why=%s",
	       run->task.job, run->task.occurrence, run->task.step,
	       run->task.index, run->run, l->entry.id, "unknown job");
	b->site.ops->stop(b->site.port, &ref, &o, on_unknown_run_stopped, NULL);
}

/*
 * A former owner may have started a job that this daemon has not read from the
 * feed yet.  Its run uses capacity, so the worker gets no starts until the run
 * is known or has ended.
 *
 * Return: whether the worker has runs or ends of unknown jobs.
 */
static bool handle_unknown_runs(struct link *l,
				const struct tg_worker_poll_result *r,
				const bool *unknown, size_t n_unknown)
{
	int64_t now_ms = tg_now_ms();
	size_t i;

	if (!n_unknown) {
		l->unknown_since_ms = 0;
		return false;
	}
	if (!l->unknown_since_ms)
		l->unknown_since_ms = now_ms;
	for (i = 0; i < r->n_runs; i++)
		if (unknown[i] && !owner_was_held_up(l->board) &&
		    now_ms - l->unknown_since_ms >= UNKNOWN_RUN_MAX_MS)
			stop_unknown_run(l, &r->runs[i]);
	flow_worker_set_suspect(l->board->flow, l->entry.id, true);
	l->next_poll_ms = now_ms + LINK_RETRY_MS;
	return true;
}

static void log_unrecorded_run(const struct link *l,
			       const struct flow_run_ref *r)
{
	tg_log(EV_FLOW_RUN_UNRECORDED, "job=%s task=%d.%d.%d run=%d worker=%s",
	       r->job, r->occurrence, r->step, r->index, r->run, l->entry.id);
}

bool link_apply_lists(struct link *l, const struct tg_worker_poll_result *r,
		      int64_t asked_ms)
{
	struct board *b = l->board;
	bool *unknown = tg_xcalloc(r->n_runs + 1, sizeof(*unknown));
	int64_t now_ms = tg_now_ms();
	size_t n_pending = apply_ends(l, r, now_ms);
	size_t i, n_unknown = n_pending;
	bool known;

	for (i = 0; i < r->n_runs; i++) {
		struct flow_run_ref ref =
			ref_of_task(&r->runs[i].task, r->runs[i].run);

		enum flow_listed listed = flow_report_run(
			b->flow, &ref, l->entry.id, r->runs[i].percent,
			r->runs[i].saved, now_ms);

		if (listed == FLOW_LISTED_ADDED)
			log_unrecorded_run(l, &ref);
		unknown[i] = listed == FLOW_LISTED_UNKNOWN;
		n_unknown += unknown[i];
	}
	/* What is missing may have ended as done, in an end to be processed. */
	if (!r->more && !n_pending &&
	    flow_report_list_end(b->flow, l->entry.id, asked_ms, now_ms))
		link_poll_after_stop(l);
	known = !handle_unknown_runs(l, r, unknown, n_unknown) && !r->more;
	free(unknown);
	return known;
}
