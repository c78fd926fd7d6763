#include <stdlib.h>

#include "board.h"

/* Gauges of the owner's state, updated every second. */

/* One in this many descriptors is for clients of the metrics address. */
#define METRICS_FDS_SHARE 16

static struct {
	struct tg_gauge *owner, *jobs, *open_jobs, *waiting_tasks, *runs,
		*stopping, *unsure, *workers, *ready_workers,
		*free_accelerators, *workers_checked, *occurrences, *held_kb,
		*memory;
} g;

static bool is_ready(void *arg, const char **why)
{
	(void)arg;
	(void)why;
	return !tg_daemon_draining();
}

/* GET /explain?job=ID */
static void on_explain(struct evhttp_request *req, void *arg)
{
	struct board *b = arg;
	char *job = tg_http_query_param(req, "job");
	json_t *o;

	if (!job) {
		tg_http_reply_error(req, 400, "job", "missing");
	} else if (!IS_OWNER(b)) {
		tg_http_reply_error(req, 503, NULL, "not the owner; it is %s",
				    *b->owner.holder ? b->owner.holder :
						       "not known");
	} else {
		o = explain_job(b, job);
		if (o)
			tg_http_reply_json(req, 200, o);
		else
			tg_http_reply_error(req, 404, "job", "no such job");
	}
	free(job);
}

static int start(void *board)
{
	struct board *b = board;
	static const struct tg_http_route routes[] = {
		{ "/explain", false, EVHTTP_REQ_GET, on_explain },
		{ .path = NULL },
	};
	struct tg_http_server_opts o = {
		.base = b->base,
		.addr = b->set.flags.metrics_addr,
		.routes = routes,
		.ready = is_ready,
		.limits = tg_site_http_limits(&b->site, &b->set.flags,
					      METRICS_FDS_SHARE),
		.arg = b,
	};

	g.owner = tg_gauge("tg_flow_owner",
			   "1 if this daemon is the owner, else 0", NULL);
	g.jobs = tg_gauge("tg_flow_jobs", "jobs known", NULL);
	g.open_jobs =
		tg_gauge("tg_flow_open_jobs", "jobs that have not ended", NULL);
	g.waiting_tasks = tg_gauge("tg_flow_waiting_tasks",
				   "tasks waiting to be started", NULL);
	g.runs = tg_gauge("tg_flow_runs", "runs on workers", NULL);
	g.stopping = tg_gauge("tg_flow_stopping", "runs being stopped", NULL);
	g.unsure = tg_gauge("tg_flow_unsure", "start orders without an answer",
			    NULL);
	g.workers = tg_gauge("tg_flow_workers", "workers known", NULL);
	g.ready_workers = tg_gauge("tg_flow_ready_workers",
				   "workers that can be given new runs", NULL);
	g.free_accelerators =
		tg_gauge("tg_flow_free_accelerators",
			 "accelerators not in use by a run", NULL);
	g.workers_checked = tg_gauge(
		"tg_flow_workers_checked",
		"workers that the last round looked at, each as often as it did",
		NULL);
	g.occurrences = tg_gauge("tg_flow_open_occurrences",
				 "occurrences of jobs that have state", NULL);
	g.held_kb = tg_gauge("tg_flow_jobs_kb",
			     "memory that all jobs count for, in KiB", NULL);
	g.memory = tg_gauge("tg_resident_kb", "resident memory in KiB", NULL);
	b->metrics = o.addr ? tg_http_server_new(&o) : NULL;
	if (o.addr && !b->metrics)
		return -1;
	tg_print_ready_line("tgflowd",
			    b->metrics ? tg_http_server_addr(b->metrics) : NULL,
			    tg_rpc_server_addr(b->rpc));
	return 0;
}

static void tick(void *board, int64_t now_ms)
{
	struct board *b = board;
	struct flow_stats s = { 0 };

	if (b->flow)
		flow_stats(b->flow, &s);
	g.owner->value = IS_OWNER(b);
	g.jobs->value = s.jobs;
	g.open_jobs->value = s.open_jobs;
	g.waiting_tasks->value = s.waiting_tasks;
	g.runs->value = s.runs;
	g.stopping->value = s.stopping;
	g.unsure->value = s.unsure;
	g.workers->value = s.workers;
	g.ready_workers->value = s.ready_workers;
	g.free_accelerators->value = s.free_accelerators;
	g.workers_checked->value = s.workers_checked;
	g.occurrences->value = s.open_occurrences;
	g.held_kb->value = b->flow ? flow_held_bytes(b->flow) / 1024 : 0;
	g.memory->value = tg_rss_kb();
	usage_report(b, now_ms);
}

static void stop(void *board)
{
	struct board *b = board;

	tg_http_server_free(b->metrics);
}

const struct tg_controller metrics_controller = {
	.name = "metrics",
	.period_ms = 1000,
	.start = start,
	.tick = tick,
	.stop = stop,
};
