#include <utlist.h>

#include "board.h"

/*
 * Reports runs on workers that don't answer.  Their tasks start again once the
 * runs are proved to have ended, at the latest when all leases have expired.
 */

/* Limits the lines of one report. */
#define LINES_MAX 8

struct report {
	const struct board *board;
	const struct link *link;
	int64_t now_ms;
	int64_t n_runs, left_ms; /* of all links */
	int lines;
};

static void count_run(const struct flow_run_ref *ref, int64_t started_ms,
		      void *arg)
{
	struct report *r = arg;

	(void)ref;
	(void)started_ms;
	r->n_runs++;
}

static void log_run(const struct flow_run_ref *ref, int64_t started_ms,
		    void *arg)
{
	struct report *r = arg;
	const struct former_owner *f = &r->board->former;
	const struct link *l = r->link;

	(void)started_ms;
	if (++r->lines > LINES_MAX)
		return;
	tg_log(EV_FLOW_RUN_AWAITED,
	       "job=%s task=%d.%d.%d run=%d worker=%s silent_ms=%lld "
	       "left_ms=%lld leases_of=%s answered=%d long_lease=%d "
	       "former_unproved=%d former_ended_ms=%lld of=%lld",
	       ref->job, ref->occurrence, ref->step, ref->index, ref->run,
	       l->entry.id, (long long)(r->now_ms - l->first_failure_ms),
	       (long long)(l->leases_end_ms - r->now_ms),
	       l->leases_of ? l->leases_of : "nobody", l->clock_at_ms != 0,
	       l->had_long_lease, standby_count_former(),
	       f->ended_ms ? (long long)(r->now_ms - f->ended_ms) : -1LL,
	       (long long)r->n_runs);
}

static void each_run(struct report *r, const struct link *l,
		     void (*fn)(const struct flow_run_ref *ref,
				int64_t started_ms, void *arg))
{
	r->link = l;
	flow_each_run_of(r->board->flow, l->entry.id, false, fn, r);
}

/* Keeps the @n links whose leases last longest, in that order. */
static int keep_longest(const struct link *top[LINES_MAX], int n,
			const struct link *l)
{
	int i = n;

	while (i > 0 && top[i - 1]->leases_end_ms < l->leases_end_ms) {
		if (i < LINES_MAX)
			top[i] = top[i - 1];
		i--;
	}
	if (i < LINES_MAX)
		top[i] = l;
	return n < LINES_MAX ? n + 1 : n;
}

void awaited_report(const struct board *b, int64_t now_ms, bool log)
{
	struct report r = { .board = b, .now_ms = now_ms };
	const struct link *top[LINES_MAX], *l;
	int i, n = 0;

	DL_FOREACH2(b->failed, l, failed_next)
	{
		int64_t before = r.n_runs;

		if (!l->may_have_runs)
			continue;
		each_run(&r, l, count_run);
		if (r.n_runs == before)
			continue;
		n = keep_longest(top, n, l);
	}
	r.left_ms = n ? top[0]->leases_end_ms - now_ms : 0;
	tg_gauge("tg_flow_awaited_runs",
		 "runs on workers that don't answer, not proved to have ended",
		 NULL)
		->value = r.n_runs;
	tg_gauge("tg_flow_awaited_longest_ms",
		 "time until the leases of all of them have expired", NULL)
		->value = r.left_ms > 0 ? r.left_ms : 0;
	for (i = 0; log && i < n; i++)
		each_run(&r, top[i], log_run);
}
