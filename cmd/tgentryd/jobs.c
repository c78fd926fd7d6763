#include <stdlib.h>
#include <string.h>

#include "board.h"

/* Job calls are forwarded to the active scheduler of the job's AZ. */

#define JOBS_PREFIX "/v1/jobs/"
#define CALL_TIMEOUT_MS 5000
#define AZS_MAX 32
#define SCHEDULERS_MAX 8
#define LIST_ENTRIES 500

struct job_call;

/**
 * struct job_operation - properties of one kind of job call
 * @proc: RPC procedure of the scheduler
 * @writes: the call may change something, so that its outcome is unknown if the
 *	scheduler does not answer
 * @list_field: member of the answers to a list call whose arrays are
 *	concatenated over all AZs; NULL for other calls, which end with the
 *	first AZ that knows the job
 */
struct job_operation {
	uint32_t proc;
	bool writes;
	const char *list_field;
};

static const struct job_operation submit = { TG_RPC_JOB_SUBMIT, true, NULL };
static const struct job_operation cancel = { TG_RPC_JOB_CANCEL, true, NULL };
static const struct job_operation status = { TG_RPC_JOB_STATUS, false, NULL };
static const struct job_operation explain = { TG_RPC_JOB_EXPLAIN, false, NULL };
static const struct job_operation list_jobs = { TG_RPC_JOB_LIST, false,
						"jobs" };
static const struct job_operation list_workers = { TG_RPC_WORKER_LIST, false,
						   "workers" };
static const struct job_operation list_guarantees = { TG_RPC_GUARANTEE_LIST,
						      false, "guarantees" };

/**
 * struct job_call - job call of a caller that is being forwarded
 * @spec: submitted job as JSON, or NULL
 * @az: index of the AZ that is being called
 * @addrs: schedulers of that AZ
 * @addr: index of the next scheduler to call
 * @entries: entries that a list call has received from all AZs so far
 * @more: an AZ has further entries beyond the limit
 * @unreachable: AZs without an answer
 */
struct job_call {
	struct board *board;
	struct evhttp_request *req;
	const struct job_operation *operation;
	char workspace[TG_NAME_MAX + 1];
	char job[TG_NAME_MAX + 1];
	char after[TG_NAME_MAX + 1];
	uint32_t limit;
	char *spec;

	char azs[AZS_MAX][TG_NAME_MAX + 1];
	size_t n_azs, az;
	char addrs[SCHEDULERS_MAX][TG_ADDR_MAX + 1];
	size_t n_addrs, addr;

	json_t *entries;
	bool more;
	json_t *unreachable;
};

static void free_call(struct job_call *c)
{
	c->board->n_job_calls--;
	json_decref(c->entries);
	json_decref(c->unreachable);
	free(c->spec);
	free(c);
}

static void reply_json(struct job_call *c, int http_status,
		       enum tg_rpc_outcome kind, json_t *v)
{
	reply_add_headers(c->req, outcome_name(kind));
	tg_http_reply_json(c->req, http_status, v);
	free_call(c);
}

static void reply_text(struct job_call *c, int http_status,
		       enum tg_rpc_outcome kind, const char *text)
{
	char *uri;

	if (kind == TG_RPC_OUTCOME_UNKNOWN && *c->job) {
		uri = tg_xasprintf(JOBS_PREFIX "%s/%s", c->workspace, c->job);
		evhttp_add_header(evhttp_request_get_output_headers(c->req),
				  "Tg-Ask", uri);
		free(uri);
	}
	reply_json(c, http_status, kind, json_pack("{s:s}", "error", text));
}

static void call_az(struct job_call *c);

static void call_next_az(struct job_call *c)
{
	c->az++;
	call_az(c);
}

/* Replies once all AZs have been called. */
static void finish_all_azs(struct job_call *c)
{
	bool all = !json_array_size(c->unreachable);
	json_t *v;

	if (c->operation->list_field && (all || json_array_size(c->entries))) {
		v = json_pack("{s:O, s:O, s:b}", c->operation->list_field,
			      c->entries, "unreachable", c->unreachable, "more",
			      (int)c->more);
		reply_json(c, 200, TG_RPC_ANSWERED, v);
	} else if (all && c->n_azs) {
		reply_text(c, 404, TG_RPC_NOT_RUN, "no such job");
	} else {
		tg_log(EV_ENTRY_NO_SCHEDULER, "asked=%zu", c->n_azs);
		reply_text(c, 503, TG_RPC_NOT_RUN,
			   "no active scheduler answers");
	}
}

/* No scheduler of the AZ answered; the reply to a list names such AZs. */
static void skip_unreachable_az(struct job_call *c)
{
	json_array_append_new(c->unreachable, json_string(c->azs[c->az]));
	call_next_az(c);
}

static void append_entries(struct job_call *c, const json_t *answer)
{
	json_array_extend(c->entries,
			  json_object_get(answer, c->operation->list_field));
	c->more |= json_is_true(json_object_get(answer, "more"));
	call_next_az(c);
}

static void on_accepted(struct job_call *c, const struct tg_rpc_answer *a)
{
	json_t *v = json_loadb(a->json.json_val, a->json.json_len, 0, NULL);
	bool created = c->operation == &submit &&
		!json_is_true(json_object_get(v, "repeated"));

	if (c->operation->list_field) {
		append_entries(c, v);
		json_decref(v);
	} else if (!v) {
		reply_text(c, 502, TG_RPC_OUTCOME_UNKNOWN,
			   "the scheduler's answer is not valid JSON");
	} else {
		reply_json(c, created ? 201 : 200, TG_RPC_ANSWERED, v);
	}
}

static void call_next_scheduler(struct job_call *c);

static void on_scheduler_answer(struct job_call *c,
				const struct tg_rpc_answer *a)
{
	switch (a->status) {
	case TG_RPC_OK:
		on_accepted(c, a);
		break;
	case TG_RPC_NOT_FOUND:
		call_next_az(c);
		break;
	case TG_RPC_REFUSED:
		reply_text(c, 422, TG_RPC_NOT_RUN, a->text);
		break;
	case TG_RPC_UNKNOWN:
		reply_text(c, 504, TG_RPC_OUTCOME_UNKNOWN, a->text);
		break;
	case TG_RPC_NOT_ACTIVE:
	case TG_RPC_STALE:
		call_next_scheduler(c);
		break;
	default:
		reply_text(c, 503, TG_RPC_NOT_RUN, a->text);
		break;
	}
}

static void on_call_done(enum tg_rpc_call_status end, const void *res,
			 void *arg)
{
	struct job_call *c = arg;

	switch (end) {
	case TG_RPC_CALL_OK:
		on_scheduler_answer(c, res);
		break;
	case TG_RPC_CALL_NOT_SENT:
	case TG_RPC_CALL_REJECTED:
		call_next_scheduler(c);
		break;
	default:
		/* The scheduler may have executed the call. */
		if (c->operation->writes &&
		    !c->board->settings.unsafe_unknown_as_not_run)
			reply_text(c, 504, TG_RPC_OUTCOME_UNKNOWN,
				   "the scheduler did not answer");
		else
			call_next_scheduler(c);
		break;
	}
}

static void call_scheduler(struct job_call *c, const char *addr)
{
	struct tg_rpc_job job = {
		.workspace = c->workspace,
		.job = c->job,
		.spec = { .spec_len = c->spec ? (u_int)strlen(c->spec) : 0,
			  .spec_val = c->spec },
	};
	struct tg_rpc_list list = {
		.workspace = c->workspace,
		.after = c->after,
		.limit = c->limit,
	};

	tg_rpc_call(c->board->rpc, addr, c->operation->proc,
		    c->operation->list_field ? (void *)&list : (void *)&job,
		    CALL_TIMEOUT_MS, on_call_done, c);
}

static void call_next_scheduler(struct job_call *c)
{
	if (c->addr >= c->n_addrs)
		skip_unreachable_az(c);
	else
		call_scheduler(c, c->addrs[c->addr++]);
}

static void add_scheduler_addr(struct job_call *c,
			       const struct tg_member_peer *p)
{
	size_t i;

	for (i = 0; i < c->n_addrs; i++)
		if (!strcmp(c->addrs[i], p->rpc_addr))
			return;
	if (c->n_addrs < SCHEDULERS_MAX)
		tg_strlcpy(c->addrs[c->n_addrs++], p->rpc_addr,
			   sizeof(c->addrs[0]));
}

/*
 * Calls the active scheduler of the AZ first, then the others until one
 * answers, as this instance may not know of a takeover yet.  A scheduler that
 * is not active refuses the call and changes nothing.
 */
static void call_az(struct job_call *c)
{
	const struct tg_member_peer *peers, *active;
	size_t i, n;
	int live;

	c->n_addrs = c->addr = 0;
	if (c->az >= c->n_azs) {
		finish_all_azs(c);
		return;
	}
	active = tg_member_active_scheduler(c->board->member, c->azs[c->az]);
	if (active)
		add_scheduler_addr(c, active);
	peers = tg_member_peers(c->board->member, &n);
	for (live = 1; live >= 0; live--)
		for (i = 0; i < n; i++)
			if (!strcmp(peers[i].role, "sched") &&
			    !strcmp(peers[i].az, c->azs[c->az]) &&
			    peers[i].live == live)
				add_scheduler_addr(c, &peers[i]);
	call_next_scheduler(c);
}

static void add_az(struct job_call *c, const char *az)
{
	size_t i;

	for (i = 0; i < c->n_azs; i++)
		if (!strcmp(c->azs[i], az))
			return;
	if (c->n_azs < AZS_MAX && tg_name_valid(az))
		tg_strlcpy(c->azs[c->n_azs++], az, sizeof(c->azs[0]));
}

/* Adds the own AZ and all AZs that have a scheduler. */
static void add_all_azs(struct job_call *c)
{
	const struct tg_member_peer *peers;
	size_t i, n;

	add_az(c, c->board->settings.az);
	peers = tg_member_peers(c->board->member, &n);
	for (i = 0; i < n; i++)
		if (!strcmp(peers[i].role, "sched"))
			add_az(c, peers[i].az);
}

static struct job_call *new_call(struct board *b, struct evhttp_request *req,
				 const struct job_operation *operation)
{
	struct job_call *c = tg_xcalloc(1, sizeof(*c));

	c->board = b;
	c->req = req;
	c->operation = operation;
	c->limit = LIST_ENTRIES;
	c->entries = json_array();
	c->unreachable = json_array();
	b->n_job_calls++;
	return c;
}

static void refuse(struct job_call *c, int http_status, const char *place,
		   const char *text)
{
	stats_count_invalid("job");
	reply_not_run(c->req, http_status, place, "%s", text);
	free_call(c);
}

static bool workspace_exists(const struct board *b, const char *name)
{
	const struct tg_doc *doc = tg_member_doc(b->member);

	return doc && tg_doc_workspace(doc, name);
}

/*
 * Chooses the AZ of a job that may be in any AZ.  The choice follows from the
 * name of the job, so that a repetition at another instance finds it.
 */
static void choose_az(struct job_call *c)
{
	char *name = tg_xasprintf("%s/%s", c->workspace, c->job);
	uint64_t best_weight = 0;
	size_t i, best = 0;

	add_all_azs(c);
	for (i = 0; i < c->n_azs; i++) {
		uint64_t weight = tg_rendezvous_weight(c->azs[i], name);

		if (weight > best_weight) {
			best_weight = weight;
			best = i;
		}
	}
	if (best)
		tg_strlcpy(c->azs[0], c->azs[best], sizeof(c->azs[0]));
	c->n_azs = 1;
	free(name);
}

static void generate_job_name(struct job_call *c)
{
	char token[TG_TOKEN_LEN + 1];

	tg_random_token(token);
	snprintf(c->job, sizeof(c->job), "j-%.16s", token);
}

static bool parse_name(const json_t *v, const char *key, char *out)
{
	const char *s = json_string_value(json_object_get(v, key));

	return s && tg_name_valid(s) && tg_strlcpy(out, s, TG_NAME_MAX + 1);
}

static void submit_job(struct job_call *c, json_t *v)
{
	const char *az = json_string_value(json_object_get(v, "az"));

	if (!json_is_object(v)) {
		refuse(c, 400, "/", "not an object");
	} else if (!parse_name(v, "workspace", c->workspace)) {
		refuse(c, 400, "/workspace", "missing or not a valid name");
	} else if (!workspace_exists(c->board, c->workspace)) {
		refuse(c, 404, "/workspace", "no such workspace");
	} else if (json_object_get(v, "job") && !parse_name(v, "job", c->job)) {
		refuse(c, 400, "/job", "not a valid name");
	} else if (!az || !tg_name_valid(az)) {
		refuse(c, 400, "/az", "missing or not a valid name");
	} else {
		bool name_generated = !*c->job;

		if (name_generated)
			generate_job_name(c);
		json_object_set_new(v, "job", json_string(c->job));
		c->spec = json_dumps(v, JSON_COMPACT);
		if (strlen(c->spec) > TG_RPC_JSON_MAX) {
			refuse(c, 413, "body", "too long");
			return;
		}
		if (strcmp(az, "any") != 0)
			add_az(c, az);
		else if (name_generated)
			add_az(c, c->board->settings.az);
		else
			choose_az(c);
		call_az(c);
	}
}

static bool parse_query_name(struct evhttp_request *req, const char *name,
			     char *out)
{
	char *s = tg_http_query_param(req, name);
	bool ok = !s || (tg_name_valid(s) && tg_strlcpy(out, s, 64));

	free(s);
	return ok;
}

static void start_list_call(struct evhttp_request *req, struct board *b,
			    const struct job_operation *operation)
{
	struct job_call *c = new_call(b, req, operation);
	char az[TG_NAME_MAX + 1] = "";

	if (!parse_query_name(req, "workspace", c->workspace)) {
		refuse(c, 400, "workspace", "not a valid name");
	} else if (*c->workspace && !workspace_exists(b, c->workspace)) {
		refuse(c, 404, "workspace", "no such workspace");
	} else if (!parse_query_name(req, "after", c->after)) {
		refuse(c, 400, "after", "not a valid name");
	} else if (!parse_query_name(req, "az", az)) {
		refuse(c, 400, "az", "not a valid name");
	} else {
		if (*az)
			add_az(c, az);
		else
			add_all_azs(c);
		call_az(c);
	}
}

void jobs_serve(struct evhttp_request *req, void *board)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	json_t *v;

	if (evhttp_request_get_command(req) == EVHTTP_REQ_GET) {
		start_list_call(req, board, &list_jobs);
		return;
	}
	/* tg_http_parse_json_body() replies to a body that is not valid. */
	evhttp_add_header(out, "Tg-Outcome", outcome_name(TG_RPC_NOT_RUN));
	v = tg_http_parse_json_body(req);
	if (!v) {
		stats_count_invalid("job");
		return;
	}
	evhttp_remove_header(out, "Tg-Outcome");
	submit_job(new_call(board, req, &submit), v);
	json_decref(v);
}

/* "WORKSPACE/JOB" or "WORKSPACE/JOB/explain" */
static bool parse_path(struct job_call *c, char *path)
{
	char *rest = path + strlen(JOBS_PREFIX);
	char *workspace = strsep(&rest, "/");
	char *job = strsep(&rest, "/");

	if (!workspace || !job || !tg_name_valid(workspace) ||
	    !tg_name_valid(job))
		return false;
	tg_strlcpy(c->workspace, workspace, sizeof(c->workspace));
	tg_strlcpy(c->job, job, sizeof(c->job));
	if (!rest)
		return true;
	if (strcmp(rest, "explain") != 0 || c->operation != &status)
		return false;
	c->operation = &explain;
	return true;
}

void jobs_serve_one(struct evhttp_request *req, void *board)
{
	bool get = evhttp_request_get_command(req) == EVHTTP_REQ_GET;
	struct job_call *c = new_call(board, req, get ? &status : &cancel);
	char *path = tg_http_decode_path(req);
	char az[TG_NAME_MAX + 1] = "";
	bool ok = path && parse_path(c, path);

	free(path);
	if (!ok) {
		refuse(c, 400, "path",
		       "the path is not /v1/jobs/WORKSPACE/JOB");
	} else if (!workspace_exists(c->board, c->workspace)) {
		refuse(c, 404, "path", "no such workspace");
	} else if (!parse_query_name(req, "az", az)) {
		refuse(c, 400, "az", "not a valid name");
	} else {
		if (*az)
			add_az(c, az);
		else
			add_all_azs(c);
		call_az(c);
	}
}

/*
 * Replies with the backend servers as this instance knows them, which needs no
 * other process, or with "view=scheduler" with what the schedulers know of
 * leases and quarantine.
 */
void workers_serve(struct evhttp_request *req, void *board)
{
	char *view = tg_http_query_param(req, "view");

	if (view && !strcmp(view, "scheduler"))
		start_list_call(req, board, &list_workers);
	else
		tg_http_reply_json(req, 200, workers_json(board));
	free(view);
}

void guarantees_serve(struct evhttp_request *req, void *board)
{
	start_list_call(req, board, &list_guarantees);
}
