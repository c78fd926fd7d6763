#include "board.h"

/*
 * Verdicts on workers: all runs of a worker's process are taken for ended, so
 * that their tasks start elsewhere.  docs/platform.md, "When a worker's process
 * has ended", has the proofs.
 */

static struct tg_counter *outlived;

/** struct lost_runs - a verdict on the runs of a worker */
struct lost_runs {
	const struct link *link;
	const char *source; /* of the proof */
};

static void log_lost_run(const struct flow_run_ref *r, int64_t started_ms,
			 void *arg)
{
	const struct lost_runs *x = arg;
	const struct link *l = x->link;
	int64_t now_ms = tg_now_ms();
	int64_t until_ms = l->failed ? l->first_failure_ms : now_ms;

	tg_log(EV_FLOW_RUN_LOST,
	       "job=%s task=%d.%d.%d run=%d worker=%s age_ms=%lld source=%s "
	       "leases_of=%s silent_ms=%lld",
	       r->job, r->occurrence, r->step, r->index, r->run, l->entry.id,
	       started_ms ? (long long)(until_ms - started_ms) : -1LL,
	       x->source, l->leases_of ? l->leases_of : "nobody",
	       (long long)(now_ms - until_ms));
}

/* How long ago it was; -1 if never. */
static long long age_ms(int64_t at_ms)
{
	return at_ms ? (long long)(tg_now_ms() - at_ms) : -1LL;
}

static void log_lost_worker(struct link *l, int event,
			    const struct link_proof *p)
{
	struct lost_runs x = { .link = l, .source = p->source };

	tg_log(event,
	       "worker=%s why=%s source=%s boot=%lld other_boot=%lld "
	       "addr=%s entry_boot=%lld silent_ms=%lld asked_age_ms=%lld "
	       "entry_age_ms=%lld written_after_age_ms=%lld "
	       "removed_age_ms=%lld failed_age_ms=%lld failures=%d "
	       "refusals=%d closed=%d draining=%d leases_left_ms=%lld "
	       "leases_of=%s sent_until_ms=%lld other_clock_ms=%lld",
	       l->entry.id, p->why, p->source, (long long)l->boot_ms,
	       (long long)p->boot_ms, l->addr, (long long)l->entry.boot_ms,
	       age_ms(l->clock_at_ms), age_ms(p->asked_ms),
	       age_ms(l->last_heartbeat_ms), age_ms(l->written_after_ms),
	       l->in_directory ? -1LL : age_ms(l->removed_ms),
	       l->failed ? age_ms(l->first_failure_ms) : -1LL, l->failures,
	       l->refusals, l->failed && l->closed, l->entry.draining,
	       (long long)(l->leases_end_ms - tg_now_ms()),
	       l->leases_of ? l->leases_of : "nobody",
	       (long long)l->lease_until_ms, (long long)p->clock_ms);
	flow_each_run_of(l->board->flow, l->entry.id, p->only_confirmed,
			 log_lost_run, &x);
	/* Of two verdicts without an answer in between the first one counts. */
	if (l->runs_known || !l->lost_boot_ms) {
		l->lost_boot_ms = l->boot_ms;
		l->lost_source = p->source;
	}
	l->runs_known = l->may_have_runs = false;
	l->lost_ms = tg_now_ms();
	round_wake(l->board);
}

void link_declare_runs_lost(struct link *l, const struct link_proof *p)
{
	struct flow *f = l->board->flow;

	log_lost_worker(l, EV_FLOW_WORKER_LOST, p);
	if (p->only_confirmed) {
		flow_worker_lost_confirmed(f, l->entry.id, tg_now_ms());
		l->may_have_runs = true;
	} else {
		flow_worker_lost(f, l->entry.id, tg_now_ms());
	}
}

/* Between a verdict and the worker's next list it gets no starts. */
void link_check_verdict(struct link *l, const struct tg_worker_poll_result *r)
{
	size_t i, n = 0;

	for (i = 0; i < r->n_runs; i++) {
		struct flow_run_ref ref =
			ref_of_task(&r->runs[i].task, r->runs[i].run);

		n += !flow_has_run(l->board->flow, &ref, l->entry.id);
	}
	if (n && r->boot_ms == l->lost_boot_ms) {
		tg_log(EV_FLOW_RUNS_OUTLIVED,
		       "worker=%s boot=%lld source=%s verdict_age_ms=%lld "
		       "runs=%zu",
		       l->entry.id, (long long)l->lost_boot_ms, l->lost_source,
		       age_ms(l->lost_ms), n);
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
	       b->ref.run, l->entry.id, l->addr, (long long)b->age_ms,
	       b->crashes);
}

void link_declare_replaced(struct link *l, const struct link_proof *p)
{
	int64_t now_ms = tg_now_ms();
	struct flow_crash c = {
		.worker = l->entry.id,
		.silent_ms = l->failed ? l->first_failure_ms : now_ms,
		.asked_ms = p->asked_ms,
		.orders_lost = !p->at_its_address,
		.on_blame = on_blame,
		.arg = l,
	};

	log_lost_worker(l, EV_FLOW_WORKER_BOOT, p);
	flow_worker_crashed(l->board->flow, &c, now_ms);
	writer_wake(l->board);
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

const struct tg_controller verdict_controller = {
	.name = "verdict",
	.start = start,
};
