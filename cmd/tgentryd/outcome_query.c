#include <stdlib.h>
#include <string.h>

#include "board.h"

#define REQUESTS_PREFIX "/v1/requests/"
#define QUERY_TIMEOUT_MS 2000

/* Query for the outcome of a key, from GET /v1/requests/WORKSPACE/KEY. */
struct outcome_query {
	struct board *board;
	struct evhttp_request *req;
	char workspace[TG_NAME_MAX + 1];
	char key[KEY_MAX + 1];
	enum key_kind kind;
	struct issued_key issued_key;
};

static void reply(struct outcome_query *q, int status, json_t *v)
{
	const char *outcome = json_string_value(json_object_get(v, "outcome"));

	json_object_set_new(v, "workspace", json_string(q->workspace));
	json_object_set_new(v, "key", json_string(q->key));
	reply_add_headers(q->req, outcome);
	tg_http_reply_json(q->req, status, v);
	free(q);
}

static void reply_text(struct outcome_query *q, int status,
		       enum tg_rpc_outcome kind, const char *reason)
{
	reply(q, status,
	      json_pack("{s:s, s:s}", "outcome", outcome_name(kind), "reason",
			reason));
}

static void reply_answered(struct outcome_query *q, int status,
			   const char *type, const char *body, size_t n)
{
	json_t *v = json_pack("{s:s, s:i}", "outcome",
			      outcome_name(TG_RPC_ANSWERED), "status", status);

	if (type && *type)
		json_object_set_new(v, "content_type", json_string(type));
	reply_set_json_body(v, body ? body : "", n);
	reply(q, 200, v);
}

static void on_loaded(struct outcome *o, void *arg)
{
	struct outcome_query *q = arg;

	if (o)
		reply_answered(q, o->status, o->content_type, o->body,
			       o->body_bytes);
	else
		reply_text(q, 503, TG_RPC_OUTCOME_UNKNOWN,
			   "the recorded answer can't be loaded now");
}

static void reply_row(struct outcome_query *q, const json_t *row)
{
	const char *state = json_string_value(json_object_get(row, "state"));
	const char *object;
	struct outcome o;

	if (state && !strcmp(state, "released")) {
		reply_text(q, 200, TG_RPC_NOT_RUN, "nothing ran");
	} else if (!record_parse(row, &o, &object)) {
		reply_text(q, 200, TG_RPC_OUTCOME_UNKNOWN,
			   "claimed; no outcome is recorded");
	} else {
		outcome_free(&o);
		record_load(q->board, row, on_loaded, q);
	}
}

static void on_row(enum tg_plat_result end, const struct tg_row *row, void *arg)
{
	struct outcome_query *q = arg;

	if (end == TG_PLAT_OK)
		reply_row(q, row->value);
	else if (end != TG_PLAT_NOT_FOUND)
		reply_text(q, 503, TG_RPC_OUTCOME_UNKNOWN,
			   "the table is not available");
	else if (q->kind == KEY_ISSUED)
		reply_text(q, 200, TG_RPC_OUTCOME_UNKNOWN,
			   "the instance that issued the key does not know its "
			   "outcome, and none is recorded");
	else
		reply_text(q, 404, TG_RPC_NOT_RUN,
			   "no request with this key is recorded");
}

static void query_table(struct outcome_query *q)
{
	char *key;

	if (!q->board->plat) {
		reply_text(q, 503, TG_RPC_OUTCOME_UNKNOWN,
			   "no table is configured");
		return;
	}
	key = claim_row_key(q->workspace, q->key);
	tg_row_get(q->board->plat, key, on_row, q);
	free(key);
}

static void reply_rpc(struct outcome_query *q, const struct tg_rpc_response *r)
{
	int status = r->outcome == TG_RPC_NOT_RUN && r->http_status == 404 ?
		404 :
		200;

	if (r->outcome == TG_RPC_ANSWERED)
		reply_answered(q, (int)r->http_status, r->content_type,
			       r->body.body_val, r->body.body_len);
	else if (r->outcome == TG_RPC_OUTCOME_UNKNOWN && r->http_status == 404)
		query_table(q);
	else
		reply_text(q, status, r->outcome, r->reason);
}

static void on_issuer_answer(enum tg_rpc_call_status end, const void *res,
			     void *arg)
{
	if (end == TG_RPC_CALL_OK)
		reply_rpc(arg, res);
	else
		query_table(arg);
}

/* Asks the instance that issued the key, and the table if it can't tell. */
static void query_issuer(struct outcome_query *q)
{
	const struct tg_member_peer *issuer =
		issuer_peer(q->board, &q->issued_key);
	struct tg_rpc_request args = {
		.workspace = q->workspace,
		.service = (char *)"any",
		.key = q->key,
		.method = (char *)"",
		.path = (char *)"",
		.content_type = (char *)"",
		.deadline_ms = QUERY_TIMEOUT_MS,
		.ask = true,
	};

	if (!issuer) {
		query_table(q);
		return;
	}
	tg_rpc_call(q->board->rpc, issuer->rpc_addr, TG_RPC_REQUEST_FORWARD,
		    &args, QUERY_TIMEOUT_MS, on_issuer_answer, q);
}

static void query_local(struct outcome_query *q)
{
	struct issued_entry *e;

	HASH_FIND_STR(q->board->issued_keys, q->key, e);
	if (!e)
		query_table(q);
	else if (e->state == ISSUED_UNUSED)
		reply_text(q, 404, TG_RPC_NOT_RUN, "nothing ran");
	else if (strcmp(e->workspace, q->workspace) != 0)
		reply_text(q, 404, TG_RPC_NOT_RUN, "no such key");
	else if (e->state == ISSUED_RUNNING)
		reply_text(q, 200, TG_RPC_OUTCOME_UNKNOWN,
			   "a request with this key is still running");
	else if (e->outcome.kind != TG_RPC_ANSWERED)
		reply_text(q, 200, e->outcome.kind, e->outcome.reason);
	else
		reply_answered(q, e->outcome.status, e->outcome.content_type,
			       e->outcome.body, e->outcome.body_bytes);
}

static bool parse_path(struct outcome_query *q, const char *path)
{
	const char *rest = path + strlen(REQUESTS_PREFIX);
	const char *slash = strchr(rest, '/');
	char *workspace;
	bool ok;

	if (!slash)
		return false;
	workspace = tg_xasprintf("%.*s", (int)(slash - rest), rest);
	ok = tg_name_valid(workspace) &&
		tg_strlcpy(q->workspace, workspace, sizeof(q->workspace)) &&
		tg_strlcpy(q->key, slash + 1, sizeof(q->key));
	free(workspace);
	if (!ok)
		return false;
	q->kind = key_parse(q->key, &q->issued_key);
	return q->kind == KEY_CALLER || q->kind == KEY_ISSUED;
}

void outcome_query_serve(struct evhttp_request *req, void *board)
{
	struct outcome_query *q = tg_xcalloc(1, sizeof(*q));
	char *path = tg_http_decode_path(req);
	bool ok = path && parse_path(q, path);

	free(path);
	q->board = board;
	q->req = req;
	if (!ok) {
		free(q);
		stats_count_invalid("key");
		tg_http_reply_error(
			req, 400, "path",
			"the path is not /v1/requests/WORKSPACE/KEY");
	} else if (q->kind == KEY_CALLER) {
		query_table(q);
	} else if (issued_key_is_local(q->board, &q->issued_key)) {
		query_local(q);
	} else {
		query_issuer(q);
	}
}
