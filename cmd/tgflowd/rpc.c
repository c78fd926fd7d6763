#include <stdlib.h>
#include <string.h>

#include "board.h"

/* Must be shorter than the time-out of the calling queue daemon. */
#define STORE_TIMEOUT_MS 600
/*
 * One in this many descriptors is for connections of peers: two for each
 * instance of the site, whose daemons call the owner.
 */
#define PEER_FDS_SHARE 5

/*
 * Jobs may take this share of the memory of the instance.  The rest is for
 * runs, workers and calls, and for the jobs that instances accept before they
 * hear that there is no room.
 */
#define JOBS_MEMORY_SHARE 2

/* Memory that is left for further jobs, in bytes; below 0 if there is none. */
static int64_t room_bytes(const struct board *b)
{
	return (b->site.set.memory_mb << 20) / JOBS_MEMORY_SHARE -
		flow_held_bytes(b->flow);
}

static void answer(struct board *b, struct tg_rpc_req *req,
		   enum tg_rpc_status status, json_t *json, const char *text)
{
	const struct tg_site_doc *d =
		b->document ? tg_document_get(b->document) : NULL;
	struct tg_rpc_answer a = {
		.status = status,
		.epoch = b->owner.term,
		.text = (char *)text,
	};
	char *s;

	/* For callers that use another document or can't ask the store. */
	if (d && !json)
		json = json_object();
	if (d) {
		json_object_set_new(json, "generation",
				    json_integer(d->generation));
		json_object_set_new(
			json, "not-current-ms",
			json_integer(tg_document_not_current_ms(b->document)));
	}
	/* Before it has read all jobs, it doesn't know how much they take. */
	if (json && b->role == ROLE_OWNER && b->site.set.memory_mb)
		json_object_set_new(json, "room-bytes",
				    json_integer(room_bytes(b)));
	s = json ? json_dumps(json, JSON_COMPACT) : NULL;
	a.json.json_val = s;
	a.json.json_len = s ? (u_int)strlen(s) : 0;
	tg_rpc_reply(req, &a);
	free(s);
	json_decref(json);
}

/* Return: whether this daemon is the owner; if not, the call is answered. */
static bool check_is_owner(struct board *b, struct tg_rpc_req *req)
{
	bool other;

	if (IS_OWNER(b) && b->directory_read && !b->owner.released)
		return true;
	/* The row as last read may still name this process as the owner. */
	other = !b->owner.released && strcmp(b->owner.boot, b->boot) != 0;
	answer(b, req, TG_RPC_NOT_ACTIVE,
	       json_pack("{s:s}", "addr", other ? b->owner.addr : ""),
	       "not the owner");
	return false;
}

/* Return: whether the job is known; if not, the call is answered. */
static bool find_job(struct board *b, struct tg_rpc_req *req, const char *job,
		     struct flow_job_status *v)
{
	if (flow_job_status(b->flow, job, v))
		return true;
	answer(b, req, TG_RPC_NOT_FOUND, NULL, "no such job");
	return false;
}

static void ping(struct tg_rpc_req *req, void *args, void *arg)
{
	struct board *b = arg;
	const struct tg_rpc_peer *peer = args;
	struct tg_rpc_peer me = {
		.instance = b->site.set.instance,
		.role = FLOW_ROLE,
		.az = b->site.set.az,
		.boot = b->boot,
		.epoch = b->owner.term,
		.draining = tg_daemon_draining(),
	};

	if (!strcmp(peer->role, FLOW_ROLE)) {
		if (peer->epoch > b->told_term)
			b->told_term = peer->epoch;
		if (IS_OWNER(b) &&
		    ping_shows_later_owner(peer->epoch, b->owner.fence))
			owner_lost(b, "a peer knows of a later owner");
	}
	me.active = owner_is_current(b) && !b->owner.released;
	tg_rpc_reply(req, &me);
}

/* Adds a job that a queue daemon has just stored, ahead of the feed. */
static void submit(struct tg_rpc_req *req, void *args, void *arg)
{
	struct board *b = arg;
	const struct tg_rpc_job *a = args;
	struct tg_row row = {
		.table = TG_JOBS_TABLE,
		.key = a->job,
		.value = a->spec.spec_val,
		.value_bytes = a->spec.spec_len,
	};

	if (!check_is_owner(b, req))
		return;
	jobs_add_notified(b, &row);
	answer(b, req, TG_RPC_OK, NULL, "");
}

static void cancel(struct tg_rpc_req *req, void *args, void *arg)
{
	struct board *b = arg;
	const struct tg_rpc_job *a = args;
	struct waiter *w;

	if (!check_is_owner(b, req))
		return;
	if (!flow_cancel(b->flow, a->job, tg_now_ms())) {
		answer(b, req, TG_RPC_NOT_FOUND, NULL, "no such job");
		return;
	}
	tg_log(EV_FLOW_JOB_CANCEL, "job=%s by=call", a->job);
	w = tg_xcalloc(1, sizeof(*w));
	w->req = req;
	tg_strlcpy(w->job, a->job, sizeof(w->job));
	w->next = b->waiters;
	b->waiters = w;
	writer_wake(b);
	round_wake(b);
}

static void status(struct tg_rpc_req *req, void *args, void *arg)
{
	struct board *b = arg;
	const struct tg_rpc_job *a = args;
	struct flow_job_status v;

	if (!check_is_owner(b, req) || !find_job(b, req, a->job, &v))
		return;
	/* An end is not reported before it is durable. */
	if (v.state >= FLOW_COMPLETED && !v.durable)
		v.state = FLOW_RUNNING;
	answer(b, req, TG_RPC_OK,
	       json_pack("{s:s}", "state", flow_state_name(v.state)), "");
}

static void count_waiting(struct tg_rpc_req *req, void *args, void *arg)
{
	struct board *b = arg;
	const struct tg_rpc_list *a = args;

	if (!check_is_owner(b, req))
		return;
	answer(b, req, TG_RPC_OK,
	       json_pack("{s:I}", "waiting",
			 (json_int_t)flow_count_waiting(b->flow, a->workspace)),
	       "");
}

static void explain(struct tg_rpc_req *req, void *args, void *arg)
{
	struct board *b = arg;
	const struct tg_rpc_job *a = args;
	struct flow_job_status v;

	if (!check_is_owner(b, req) || !find_job(b, req, a->job, &v))
		return;
	answer(b, req, TG_RPC_OK, explain_job(b, a->job), "");
}

static void on_stored(enum tg_job_store_result end, int64_t version, void *arg)
{
	struct tg_rpc_answer a = { .status = tg_job_store_result_to_rpc(end),
				   .text = "" };
	json_t *o = json_pack("{s:I}", "row_version", (json_int_t)version);

	a.json.json_val = json_dumps(o, JSON_COMPACT);
	a.json.json_len = (u_int)strlen(a.json.json_val);
	tg_rpc_reply(arg, &a);
	free(a.json.json_val);
	json_decref(o);
}

/* Stores a job for an instance that the store refuses; needs no ownership. */
static void store_job(struct tg_rpc_req *req, void *args, void *arg)
{
	struct board *b = arg;
	const struct tg_rpc_job *a = args;
	char *row = strndup(a->spec.spec_val, a->spec.spec_len);

	tg_job_store(&b->site, a->job, row, STORE_TIMEOUT_MS, on_stored, req);
	free(row);
}

static const tg_rpc_handler handlers[TG_RPC_N_PROCS] = {
	[TG_RPC_PING] = ping,
	[TG_RPC_JOB_SUBMIT] = submit,
	[TG_RPC_JOB_CANCEL] = cancel,
	[TG_RPC_JOB_STATUS] = status,
	[TG_RPC_JOB_LIST] = count_waiting,
	[TG_RPC_JOB_EXPLAIN] = explain,
	[TG_RPC_JOB_STORE] = store_job,
	[TG_RPC_WORKER_LIST] = handover_list,
};

static int start(void *board)
{
	struct board *b = board;
	char addr[TG_ADDR_MAX + 16];
	struct tg_rpc_server_opts o = {
		.base = b->base,
		.addr = addr,
		.handlers = handlers,
		.max_connections =
			(size_t)(b->site.set.fds_max / PEER_FDS_SHARE),
		.priority = TG_PRIORITY_URGENT,
		.arg = b,
	};

	snprintf(addr, sizeof(addr), "%s:%d", b->site.set.ip,
		 b->site.set.peers_port);
	b->rpc = tg_rpc_server_new(&o);
	b->peers = tg_rpc_client_new(b->base);
	if (!b->rpc)
		return -1;
	tg_flow_peers_announce(&b->site, tg_rpc_server_addr(b->rpc));
	return 0;
}

static void stop(void *board)
{
	struct board *b = board;

	tg_rpc_client_free(b->peers);
	tg_rpc_server_free(b->rpc);
}

const struct tg_controller rpc_controller = {
	.name = "rpc",
	.start = start,
	.stop = stop,
};
