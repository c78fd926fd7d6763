#include <math.h>
#include <stdlib.h>

#include "board.h"

/* Reports the use of capacity by queue and by pool in metrics and the log. */

#define LOG_PERIOD_MS 5000
/* Limits the lines of one report, of each kind. */
#define QUEUE_LINES_MAX 16
#define KEPT_LINES_MAX 8
#define SPEED_LINES_MAX 16
/* Shorter waits beside kept capacity are not worth a line. */
#define KEPT_WAIT_MIN_MS 500
/* Orders and writes in progress last less. */
#define UNUSED_MIN_MS 500

static int64_t next_log_ms;
static int queue_lines, reservation_lines, kept_wait_lines;
static int evacuated_wait_lines, account_lines;

static void set_gauge(const char *name, const char *help, const char *label,
		      const char *value, int64_t number)
{
	char *labels = tg_metric_label(label, value);

	tg_gauge(name, help, labels)->value = number;
	free(labels);
}

static void set_queue_gauges(const struct flow_queue_usage *u)
{
	set_gauge("tg_flow_queue_open_jobs", "jobs that have not ended",
		  "queue", u->queue, u->open_jobs);
	set_gauge("tg_flow_queue_stalled_jobs", "open jobs without a run",
		  "queue", u->queue, u->stalled_jobs);
	set_gauge("tg_flow_queue_oldest_stalled_ms",
		  "age of the oldest open job without a run", "queue", u->queue,
		  u->oldest_stalled_ms);
	set_gauge("tg_flow_queue_held_milliworkers",
		  "capacity held by runs, in thousandths of a worker", "queue",
		  u->queue, (int64_t)(1000 * u->held_workers));
	set_gauge("tg_flow_queue_preempted",
		  "runs preempted since this owner started", "queue", u->queue,
		  u->preempted);
	set_gauge("tg_flow_queue_lost_worker_ms",
		  "time of runs whose work was lost, in worker-milliseconds",
		  "queue", u->queue, (int64_t)u->lost_worker_ms);
}

static void report_queue(const struct flow_queue_usage *u, void *arg)
{
	const bool *log = arg;

	set_queue_gauges(u);
	if (!*log || ++queue_lines > QUEUE_LINES_MAX)
		return;
	tg_log(EV_FLOW_QUEUE_USAGE,
	       "queue=%s priority=%d open=%lld stalled=%lld "
	       "oldest_stalled_ms=%lld held_workers=%.1f starts=%lld "
	       "preempted=%lld done_worker_s=%.0f lost_worker_s=%.0f",
	       u->queue, u->priority, (long long)u->open_jobs,
	       (long long)u->stalled_jobs, (long long)u->oldest_stalled_ms,
	       u->held_workers, (long long)u->starts, (long long)u->preempted,
	       u->done_worker_ms / 1000, u->lost_worker_ms / 1000);
}

static void report_pool(const struct flow_pool_usage *u, void *arg)
{
	const bool *log = arg;

	set_gauge("tg_flow_pool_free_milliworkers",
		  "capacity without runs, in thousandths of a worker",
		  "service", u->service, (int64_t)(1000 * u->free_workers));
	set_gauge("tg_flow_pool_reserved_milliworkers",
		  "capacity kept for waiting jobs, free or not", "service",
		  u->service, (int64_t)(1000 * u->reserved_workers));
	set_gauge("tg_flow_pool_headroom_milliworkers",
		  "free capacity that only urgent jobs may use", "service",
		  u->service, (int64_t)(1000 * u->headroom_workers));
	set_gauge("tg_flow_pool_in_use_permille",
		  "capacity held by runs, of the resource held most", "service",
		  u->service, (int64_t)(1000 * u->share_in_use));
	set_gauge("tg_flow_pool_evacuated_workers",
		  "workers in evacuated availability zones", "service",
		  u->service, u->evacuated_workers);
	set_gauge("tg_flow_pool_evacuated_runs",
		  "runs in evacuated availability zones", "service", u->service,
		  u->evacuated_runs);
	set_gauge("tg_flow_pool_on_loan",
		  "runs in capacity that is kept for other jobs", "service",
		  u->service, u->on_loan);
	set_gauge("tg_flow_pool_known_workers", "workers whose speed is known",
		  "service", u->service, u->known_workers);
	set_gauge("tg_flow_pool_fast_workers",
		  "workers that are faster than a typical one", "service",
		  u->service, u->fast_workers);
	set_gauge("tg_flow_pool_slow_workers",
		  "workers that are slower than a typical one", "service",
		  u->service, u->slow_workers);
	if (*log && u->known_workers)
		tg_log(EV_FLOW_SPEEDS,
		       "service=%s known=%d fast=%d slow=%d uneven=%d",
		       u->service, u->known_workers, u->fast_workers,
		       u->slow_workers, u->uneven);
	if (*log)
		tg_log(EV_FLOW_POOL_USAGE,
		       "service=%s ready=%d free=%.1f reserved=%.1f "
		       "headroom=%.1f in_use=%.2f underused_ms=%lld "
		       "on_loan=%d evacuated=%d evacuated_runs=%d "
		       "queues_not_listed=%d",
		       u->service, u->ready_workers, u->free_workers,
		       u->reserved_workers, u->headroom_workers,
		       u->share_in_use, (long long)u->underused_ms, u->on_loan,
		       u->evacuated_workers, u->evacuated_runs,
		       queue_lines > QUEUE_LINES_MAX ?
			       queue_lines - QUEUE_LINES_MAX :
			       0);
}

void usage_log_reservation(const struct flow_reservation *r, void *arg)
{
	static const char *const states[] = {
		[FLOW_RESERVATION_BEGUN] = "kept",
		[FLOW_RESERVATION_OVERDUE] = "overdue",
		[FLOW_RESERVATION_USED] = "used",
		[FLOW_RESERVATION_DROPPED] = "dropped",
	};

	(void)arg;
	tg_log(EV_FLOW_RESERVATION,
	       "job=%s step=%d.%d state=%s tasks=%d cpu_millicores=%lld "
	       "memory_mb=%lld accelerators=%lld for_ms=%lld "
	       "expected_in_ms=%lld late_ms=%lld postponed=%d",
	       r->job, r->occurrence, r->step, states[r->state], r->tasks,
	       (long long)r->need.cpu_millicores, (long long)r->need.memory_mb,
	       (long long)r->need.accelerators, (long long)r->for_ms,
	       (long long)r->expected_in_ms, (long long)r->late_ms,
	       r->postponed);
}

static void report_reservation(const struct flow_reservation *r, void *arg)
{
	if (++reservation_lines <= KEPT_LINES_MAX)
		usage_log_reservation(r, arg);
}

static void report_kept_wait(const struct flow_kept_wait *w, void *arg)
{
	(void)arg;
	if (w->for_ms < KEPT_WAIT_MIN_MS || ++kept_wait_lines > KEPT_LINES_MAX)
		return;
	tg_log(EV_FLOW_KEPT_WAIT,
	       "job=%s step=%d.%d for_ms=%lld worker=%s kept_for=%s", w->job,
	       w->occurrence, w->step, (long long)w->for_ms, w->worker,
	       *w->keeper ? w->keeper : "headroom");
}

static void report_evacuated_wait(const char *job, const char *az, void *arg)
{
	(void)arg;
	if (++evacuated_wait_lines <= KEPT_LINES_MAX)
		tg_log(EV_FLOW_EVACUATED_WAIT, "job=%s az=%s", job, az);
}

static void report_account(const struct flow_account *a, void *arg)
{
	const bool *log = arg;
	double sum = 0;
	int i;

	for (i = 0; i < FLOW_FAIR_LEVELS; i++)
		sum += a->held_workers[i];
	set_gauge(
		"tg_flow_workspace_held_milliworkers",
		"capacity that a workspace has held lately, in thousandths of "
		"a worker",
		"workspace", a->workspace, (int64_t)(1000 * sum));
	set_gauge("tg_flow_workspace_over_share",
		  "1 while jobs of other workspaces go first, else 0",
		  "workspace", a->workspace, a->over_share);
	if (*log && a->over_share && ++account_lines <= KEPT_LINES_MAX)
		tg_log(EV_FLOW_OVER_SHARE,
		       "workspace=%s held_0=%.1f held_1=%.1f held_2=%.1f "
		       "held_3=%.1f",
		       a->workspace, a->held_workers[0], a->held_workers[1],
		       a->held_workers[2], a->held_workers[3]);
}

/* A field: workers, longest time and where, such as "2.0/1500/i-1". */
static const char *describe_count(const struct flow_unused_count *c, char *text,
				  size_t size)
{
	if (!c->worker)
		return "0";
	snprintf(text, size, "%.1f/%lld/%s", c->workers,
		 (long long)c->longest_ms, c->worker);
	return text;
}

static bool lasts(const struct flow_unused *u)
{
	int i;

	for (i = 0; i < FLOW_UNREADY_REASONS; i++)
		if (u->unready[i].longest_ms >= UNUSED_MIN_MS)
			return true;
	for (i = 0; i < FLOW_HELD_KINDS; i++)
		if (u->held[i].longest_ms >= UNUSED_MIN_MS)
			return true;
	return false;
}

static void report_unused(const struct flow_unused *u, void *arg)
{
	char text[FLOW_UNREADY_REASONS + FLOW_HELD_KINDS][TG_KEY_MAX + 48];
	const char *unready[FLOW_UNREADY_REASONS], *held[FLOW_HELD_KINDS];
	int i;

	(void)arg;
	if (!lasts(u))
		return;
	for (i = 0; i < FLOW_UNREADY_REASONS; i++)
		unready[i] = describe_count(&u->unready[i], text[i],
					    sizeof(text[i]));
	for (i = 0; i < FLOW_HELD_KINDS; i++)
		held[i] = describe_count(&u->held[i],
					 text[FLOW_UNREADY_REASONS + i],
					 sizeof(text[i]));
	tg_log(EV_FLOW_UNUSED,
	       "service=%s draining=%s suspect=%s gone=%s unlisted=%s quarantined=%s "
	       "evacuated=%s "
	       "unrecorded=%s unanswered=%s stopping=%s possible=%s away=%s "
	       "away_runs=%d",
	       u->service, unready[FLOW_UNREADY_DRAINING],
	       unready[FLOW_UNREADY_SUSPECT], unready[FLOW_UNREADY_GONE],
	       unready[FLOW_UNREADY_UNLISTED],
	       unready[FLOW_UNREADY_QUARANTINED],
	       unready[FLOW_UNREADY_EVACUATED], held[FLOW_HELD_UNRECORDED],
	       held[FLOW_HELD_UNANSWERED], held[FLOW_HELD_STOPPING],
	       held[FLOW_HELD_POSSIBLE], held[FLOW_HELD_AWAY],
	       u->held[FLOW_HELD_AWAY].runs);
}

/* The rest follows in later reports. */
static void report_speed_changes(const struct board *b)
{
	struct flow_speed_change c;
	int i;

	for (i = 0; i < SPEED_LINES_MAX; i++) {
		if (!flow_next_speed_change(b->flow, &c))
			return;
		tg_log(EV_FLOW_SPEED_CHANGED,
		       "worker=%s before=%s now=%s factor=%.2f sd=%.2f",
		       c.worker, c.before, c.now, exp(c.speed.mean),
		       sqrt(c.speed.var));
	}
}

void usage_report(const struct board *b, int64_t now_ms)
{
	bool log = now_ms >= next_log_ms;

	if (!IS_OWNER(b))
		return;
	if (log)
		next_log_ms = now_ms + LOG_PERIOD_MS;
	queue_lines = account_lines = 0;
	flow_each_queue_usage(b->flow, now_ms, report_queue, &log);
	flow_each_pool_usage(b->flow, now_ms, report_pool, &log);
	flow_each_account(b->flow, report_account, &log);
	awaited_report(b, now_ms, log);
	if (!log)
		return;
	report_speed_changes(b);
	reservation_lines = kept_wait_lines = evacuated_wait_lines = 0;
	flow_each_reservation(b->flow, now_ms, report_reservation, NULL);
	flow_each_kept_wait(b->flow, now_ms, report_kept_wait, NULL);
	flow_each_evacuated_wait(b->flow, report_evacuated_wait, NULL);
	flow_each_unused(b->flow, now_ms, report_unused, NULL);
}
