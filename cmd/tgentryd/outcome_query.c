#include <stdlib.h>
#include <string.h>

#include "entryd.h"

#define PREFIX "/v1/requests/"
#define ASK_DEADLINE_MS 2000

/* A question for the outcome of a key. */
struct ask {
	struct entryd *entryd;
	struct evhttp_request *req;
	char workspace[TG_NAME_MAX + 1];
	char key[KEY_MAX + 1];
	enum key_kind kind;
	struct issued_key issued;
};

static void reply(struct ask *a, int status, json_t *v)
{
	const char *outcome = json_string_value(json_object_get(v, "outcome"));

	json_object_set_new(v, "workspace", json_string(a->workspace));
	json_object_set_new(v, "key", json_string(a->key));
	reply_add_headers(a->req, outcome);
	tg_http_reply_json(a->req, status, v);
	free(a);
}

static void reply_text(struct ask *a, int status, enum tg_rpc_outcome kind,
		       const char *reason)
{
	reply(a, status,
	      json_pack("{s:s, s:s}", "outcome", outcome_name(kind), "reason",
			reason));
}

static void reply_answered(struct ask *a, int status, const char *type,
			   const char *body, size_t n)
{
	json_t *v = json_pack("{s:s, s:i}", "outcome",
			      outcome_name(TG_RPC_ANSWERED), "status", status);

	if (type && *type)
		json_object_set_new(v, "content_type", json_string(type));
	reply_set_json_body(v, body ? body : "", n);
	reply(a, 200, v);
}

static void on_loaded(struct outcome *o, void *arg)
{
	struct ask *a = arg;

	if (o)
		reply_answered(a, o->status, o->content_type, o->body,
			       o->body_bytes);
	else
		reply_text(a, 503, TG_RPC_OUTCOME_UNKNOWN,
			   "the recorded answer can't be loaded now");
}

static void reply_row(struct ask *a, const json_t *row)
{
	const char *state = json_string_value(json_object_get(row, "state"));
	const char *object;
	struct outcome o;

	if (state && !strcmp(state, "released")) {
		reply_text(a, 200, TG_RPC_NOT_RUN, "nothing ran");
	} else if (!record_parse(row, &o, &object)) {
		reply_text(a, 200, TG_RPC_OUTCOME_UNKNOWN,
			   "claimed; no outcome is recorded");
	} else {
		outcome_free(&o);
		record_load(a->entryd, row, on_loaded, a);
	}
}

static void on_row(enum tg_plat_end end, const struct tg_row *row, void *arg)
{
	struct ask *a = arg;

	if (end == TG_PLAT_OK)
		reply_row(a, row->value);
	else if (end != TG_PLAT_NOT_FOUND)
		reply_text(a, 503, TG_RPC_OUTCOME_UNKNOWN,
			   "the table is not available");
	else if (a->kind == KEY_ISSUED)
		reply_text(a, 200, TG_RPC_OUTCOME_UNKNOWN,
			   "the key's home does not know its outcome, and none "
			   "is recorded");
	else
		reply_text(a, 404, TG_RPC_NOT_RUN,
			   "no request with this key is recorded");
}

static void ask_table(struct ask *a)
{
	char *key;

	if (!a->entryd->plat) {
		reply_text(a, 503, TG_RPC_OUTCOME_UNKNOWN, "there is no table");
		return;
	}
	key = claim_row_key(a->workspace, a->key);
	tg_row_get(a->entryd->plat, key, on_row, a);
	free(key);
}

static void reply_rpc(struct ask *a, const struct tg_rpc_response *r)
{
	int status = r->outcome == TG_RPC_NOT_RUN && r->http_status == 404 ?
		404 :
		200;

	if (r->outcome == TG_RPC_ANSWERED)
		reply_answered(a, (int)r->http_status, r->content_type,
			       r->body.body_val, r->body.body_len);
	else if (r->outcome == TG_RPC_OUTCOME_UNKNOWN && r->http_status == 404)
		ask_table(a);
	else
		reply_text(a, status, r->outcome, r->reason);
}

static void on_home(enum tg_rpc_end end, const void *res, void *arg)
{
	if (end == TG_RPC_END_OK)
		reply_rpc(arg, res);
	else
		ask_table(arg);
}

static void ask_home(struct ask *a)
{
	const struct tg_member_peer *home = issuer_peer(a->entryd, &a->issued);
	struct tg_rpc_request args = {
		.workspace = a->workspace,
		.service = (char *)"any",
		.key = a->key,
		.method = (char *)"",
		.path = (char *)"",
		.content_type = (char *)"",
		.deadline_ms = ASK_DEADLINE_MS,
		.ask = true,
	};

	if (!home) {
		ask_table(a);
		return;
	}
	tg_rpc_call(a->entryd->rpc, home->rpc_addr, TG_RPC_REQUEST_FORWARD,
		    &args, ASK_DEADLINE_MS, on_home, a);
}

static void ask_here(struct ask *a)
{
	struct issued_entry *e;

	HASH_FIND_STR(a->entryd->issued_keys, a->key, e);
	if (!e)
		ask_table(a);
	else if (e->state == ISSUED_UNUSED)
		reply_text(a, 404, TG_RPC_NOT_RUN, "nothing ran");
	else if (strcmp(e->workspace, a->workspace) != 0)
		reply_text(a, 404, TG_RPC_NOT_RUN, "no such key");
	else if (e->state == ISSUED_RUNNING)
		reply_text(a, 200, TG_RPC_OUTCOME_UNKNOWN, "still running");
	else if (e->outcome.kind != TG_RPC_ANSWERED)
		reply_text(a, 200, e->outcome.kind, e->outcome.reason);
	else
		reply_answered(a, e->outcome.status, e->outcome.content_type,
			       e->outcome.body, e->outcome.body_bytes);
}

static bool parse(struct ask *a, const char *path)
{
	const char *rest = path + strlen(PREFIX);
	const char *slash = strchr(rest, '/');
	char *workspace;
	bool ok;

	if (!slash)
		return false;
	workspace = tg_xasprintf("%.*s", (int)(slash - rest), rest);
	ok = tg_name_valid(workspace) &&
		tg_strlcpy(a->workspace, workspace, sizeof(a->workspace)) &&
		tg_strlcpy(a->key, slash + 1, sizeof(a->key));
	free(workspace);
	if (!ok)
		return false;
	a->kind = key_parse(a->key, &a->issued);
	return a->kind == KEY_CALLER || a->kind == KEY_ISSUED;
}

void outcome_query_serve(struct evhttp_request *req, void *entryd)
{
	struct ask *a = tg_xcalloc(1, sizeof(*a));
	char *path = tg_http_path(req);
	bool ok = path && parse(a, path);

	free(path);
	a->entryd = entryd;
	a->req = req;
	if (!ok) {
		free(a);
		stats_count_invalid("key");
		tg_http_reply_error(req, 400, "path",
				    "not /v1/requests/WORKSPACE/KEY");
	} else if (a->kind == KEY_CALLER) {
		ask_table(a);
	} else if (issued_key_is_local(a->entryd, &a->issued)) {
		ask_here(a);
	} else {
		ask_home(a);
	}
}
