#include "board.h"

/* Reports the use of capacity by queue and by pool in metrics and the log. */

#define LOG_PERIOD_MS 5000
/* Limits the lines of one report. */
#define QUEUE_LINES_MAX 16

static int64_t next_log_ms;
static int queue_lines;

static void set_gauge(const char *name, const char *help, const char *label,
		      const char *value, int64_t number)
{
	char labels[TG_NAME_MAX + 32];

	snprintf(labels, sizeof(labels), "%s=\"%s\"", label, value);
	tg_gauge(name, help, labels)->value = number;
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
	if (*log)
		tg_log(EV_FLOW_POOL_USAGE,
		       "service=%s ready=%d free=%.1f reserved=%.1f "
		       "headroom=%.1f queues_not_listed=%d",
		       u->service, u->ready_workers, u->free_workers,
		       u->reserved_workers, u->headroom_workers,
		       queue_lines > QUEUE_LINES_MAX ?
			       queue_lines - QUEUE_LINES_MAX :
			       0);
}

void usage_report(const struct board *b, int64_t now_ms)
{
	bool log = now_ms >= next_log_ms;

	if (!IS_OWNER(b))
		return;
	if (log)
		next_log_ms = now_ms + LOG_PERIOD_MS;
	queue_lines = 0;
	flow_each_queue_usage(b->flow, now_ms, report_queue, &log);
	flow_each_pool_usage(b->flow, now_ms, report_pool, &log);
}
