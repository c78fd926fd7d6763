#include <stdlib.h>
#include <string.h>

#include "controllers.h"
#include "fault.h"
#include "fleet.h"
#include "jobrow.h"
#include "spec.h"
#include "views.h"

#define PROG "tgschedd"

static void reply(struct board *b, struct tg_rpc_req *req,
		  enum tg_rpc_status status, json_t *json, const char *text)
{
	struct waiter *w = tg_xcalloc(1, sizeof(*w));

	w->req = req;
	board_reply(b, &w, status, json, text);
	json_decref(json);
}

/* Returns whether this process is active; if not, replies to the call. */
static bool check_active(struct board *b, struct tg_rpc_req *req)
{
	json_t *v;

	if (b->role == ROLE_ACTIVE)
		return true;
	v = json_pack("{s:s}", "rpc_addr", b->epoch ? "" : b->row_rpc);
	reply(b, req, TG_RPC_NOT_ACTIVE, v,
	      "not the active scheduler of the AZ");
	return false;
}

static void add_waiter(struct waiter **list, struct tg_rpc_req *req)
{
	struct waiter *w = tg_xcalloc(1, sizeof(*w));

	w->req = req;
	w->next = *list;
	*list = w;
}

static void reply_findings(struct board *b, struct tg_rpc_req *req,
			   const struct tg_findings *f)
{
	char text[1024] = "";
	size_t i, n = 0;

	for (i = 0; i < f->n && n < sizeof(text); i++)
		n += (size_t)snprintf(text + n, sizeof(text) - n, "%s%s: %s",
				      i ? "; " : "", f->items[i].place,
				      f->items[i].text);
	reply(b, req, TG_RPC_REFUSED, tg_http_findings_to_json(f), text);
}

/* Handles a submission with the name of a job that the board has. */
static void handle_repeated_submit(struct board *b, struct tg_rpc_req *req,
				   struct job *j, json_t *json)
{
	bool same = json_equal(j->spec_json, json);

	json_decref(json);
	if (!same)
		reply(b, req, TG_RPC_REFUSED, NULL,
		      "the name is taken by a job with other content");
	else if (j->state == JOB_INSERTING || j->state == JOB_INSERT_UNKNOWN)
		add_waiter(&j->waiters, req);
	else
		reply(b, req, TG_RPC_OK, jobrow_repeated(b, j), "");
}

/*
 * Whether the job can run on this fleet.  The job is removed from the fleet
 * again, and added for good once its row is inserted.
 */
static bool is_feasible(struct board *b, struct job *j, struct tg_findings *f)
{
	if (fleet_submit_job(b, j, f))
		return false;
	fleet_remove_job(b, j, tg_now_ms());
	return true;
}

static void submit_new_job(struct board *b, struct tg_rpc_req *req,
			   const struct job_spec *spec, json_t *json)
{
	const struct tg_doc *doc = tg_member_doc(b->member);
	struct tg_findings f = { 0 };
	struct job *j;

	if (!doc || !tg_doc_workspace(doc, spec->workspace)) {
		json_decref(json);
		reply(b, req, doc ? TG_RPC_REFUSED : TG_RPC_UNAVAILABLE, NULL,
		      doc ? "/workspace: unknown workspace" :
			    "no document is in force");
		return;
	}
	j = board_add_job(b, spec);
	j->spec_json = json;
	j->submitted_wall_ms = tg_wall_ms();
	j->state = JOB_INSERTING;
	if (!is_feasible(b, j, &f)) {
		reply_findings(b, req, &f);
		board_remove_job(b, j);
	} else {
		add_waiter(&j->waiters, req);
	}
	tg_findings_free(&f);
}

static json_t *parse_submission(struct board *b, const struct tg_rpc_job *a,
				struct job_spec *spec, struct tg_findings *f)
{
	json_error_t e;
	json_t *in = json_loadb(a->spec.spec_val, a->spec.spec_len, 0, &e);
	json_t *json;

	if (!in) {
		tg_findings_add(f, "/", "line %d, column %d: %s", e.line,
				e.column, e.text);
		return NULL;
	}
	/* A name that the entry daemon issued is only in the call. */
	if (json_is_object(in) && !json_object_get(in, "job"))
		json_object_set_new(in, "job", json_string(a->job));
	if (json_is_object(in) && !json_object_get(in, "workspace"))
		json_object_set_new(in, "workspace", json_string(a->workspace));
	json = spec_parse(in, b->opts->az, spec, f);
	json_decref(in);
	if (json &&
	    (strcmp(spec->job, a->job) != 0 ||
	     strcmp(spec->workspace, a->workspace) != 0)) {
		tg_findings_add(f, "/job", "not the job of the call");
		json_decref(json);
		json = NULL;
	}
	return json;
}

static void on_submit(struct tg_rpc_req *req, void *args, void *arg)
{
	struct tg_findings f = { 0 };
	struct board *b = arg;
	struct job_spec spec;
	struct job *j;
	json_t *json;

	if (!check_active(b, req))
		return;
	json = parse_submission(b, args, &spec, &f);
	if (!json) {
		reply_findings(b, req, &f);
		tg_findings_free(&f);
		return;
	}
	j = board_find_job(b, spec.job);
	if (j) {
		handle_repeated_submit(b, req, j, json);
	} else if (b->table_down || tg_daemon_draining()) {
		json_decref(json);
		reply(b, req, TG_RPC_UNAVAILABLE, NULL,
		      b->table_down ? "the table does not answer" :
				      "the scheduler is stopping");
	} else {
		submit_new_job(b, req, &spec, json);
	}
}

static struct job *find_job(struct board *b, const struct tg_rpc_job *a,
			    struct tg_rpc_req *req)
{
	struct job *j = board_find_job(b, a->job);

	if (j && !strcmp(j->spec.workspace, a->workspace) &&
	    j->state != JOB_INSERTING)
		return j;
	reply(b, req, TG_RPC_NOT_FOUND, NULL, "no such job");
	return NULL;
}

static void on_cancel(struct tg_rpc_req *req, void *args, void *arg)
{
	struct board *b = arg;
	struct job *j;

	if (!check_active(b, req))
		return;
	j = find_job(b, args, req);
	if (!j)
		return;
	if (b->table_down && j->state <= JOB_RUNNING) {
		reply(b, req, TG_RPC_UNAVAILABLE, NULL,
		      "the table does not answer");
		return;
	}
	j->cancel_requested = true;
	add_waiter(&j->cancel_waiters, req);
}

static void on_status(struct tg_rpc_req *req, void *args, void *arg)
{
	struct board *b = arg;
	struct job *j;

	if (!check_active(b, req))
		return;
	j = find_job(b, args, req);
	if (j)
		reply(b, req, TG_RPC_OK, jobrow_public(b, j), "");
}

static void on_explain(struct tg_rpc_req *req, void *args, void *arg)
{
	struct board *b = arg;
	struct job *j;

	if (!check_active(b, req))
		return;
	j = find_job(b, args, req);
	if (j)
		reply(b, req, TG_RPC_OK, view_explain(b, j), "");
}

static void on_list(struct tg_rpc_req *req, void *args, void *arg)
{
	struct board *b = arg;

	if (check_active(b, req))
		reply(b, req, TG_RPC_OK, view_jobs(b, args), "");
}

static void on_workers(struct tg_rpc_req *req, void *args, void *arg)
{
	struct board *b = arg;

	if (check_active(b, req))
		reply(b, req, TG_RPC_OK, view_workers(b, args), "");
}

static void on_guarantees(struct tg_rpc_req *req, void *args, void *arg)
{
	struct board *b = arg;

	if (check_active(b, req))
		reply(b, req, TG_RPC_OK, view_guarantees(b, args), "");
}

static const tg_rpc_handler handlers[TG_RPC_N_PROCS] = {
	[TG_RPC_JOB_SUBMIT] = on_submit,
	[TG_RPC_JOB_CANCEL] = on_cancel,
	[TG_RPC_JOB_STATUS] = on_status,
	[TG_RPC_JOB_LIST] = on_list,
	[TG_RPC_JOB_EXPLAIN] = on_explain,
	[TG_RPC_WORKER_LIST] = on_workers,
	[TG_RPC_GUARANTEE_LIST] = on_guarantees,
};

static bool ready(void *arg, const char **why)
{
	struct board *b = arg;

	if (tg_daemon_draining()) {
		*why = "draining";
		return false;
	}
	return tg_member_ready(b->member, why);
}

static int start_serving(void *board)
{
	static const struct tg_http_route routes[] = { { 0 } };
	struct board *b = board;
	struct tg_http_server_opts http = {
		.base = b->base,
		.addr = b->opts->http_addr,
		.routes = routes,
		.ready = ready,
		.limits = b->opts->http,
		.arg = b,
	};
	struct tg_rpc_server_opts rpc = {
		.base = b->base,
		.addr = b->opts->rpc_addr,
		.handlers = handlers,
		.arg = b,
		.common = tg_member_rpc_handlers,
		.common_arg = b->member,
	};

	b->http_server = tg_http_server_new(&http);
	b->rpc_server = b->http_server ? tg_rpc_server_new(&rpc) : NULL;
	if (!b->rpc_server)
		return -1;
	tg_member_start(b->member, tg_rpc_server_addr(b->rpc_server));
	tg_print_ready_line(PROG, tg_http_server_addr(b->http_server),
			    tg_rpc_server_addr(b->rpc_server));
	return 0;
}

static bool drain_serving(void *board, int64_t now_ms)
{
	struct board *b = board;

	(void)now_ms;
	return !tg_rpc_server_in_progress(b->rpc_server);
}

static void stop_serving(void *board)
{
	struct board *b = board;

	board_free(b);
	tg_rpc_server_free(b->rpc_server);
	tg_http_server_free(b->http_server);
}

const struct tg_controller serving = {
	.name = "serving",
	.start = start_serving,
	.drain = drain_serving,
	.stop = stop_serving,
};
