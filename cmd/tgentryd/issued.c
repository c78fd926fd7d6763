#include <stdlib.h>
#include <string.h>

#include "board.h"

/*
 * How long an unused key stays valid, and how long an outcome is kept in
 * memory.
 */
#define RETENTION_MS 600000
/* Limits of the keys in memory, beyond which no further key is issued. */
#define ISSUED_KEYS_MAX 20000
#define ISSUED_BYTES_MAX (8 << 20)

bool issued_key_is_local(const struct board *b, const struct issued_key *k)
{
	return !strcmp(k->az, b->settings.az) &&
		!strcmp(k->instance, b->settings.instance) &&
		!strcmp(k->boot, tg_member_boot_id(b->member));
}

/*
 * A peer whose last answer names another boot may have been restarted since and
 * then issued the key, so it is asked as well.
 */
static int issuer_rank(const struct tg_member_peer *p,
		       const struct issued_key *k)
{
	if (strcmp(p->instance, k->instance) != 0 ||
	    strcmp(p->az, k->az) != 0 || strcmp(p->role, "entry") != 0)
		return 0;
	if (!strcmp(p->boot, k->boot))
		return 3;
	return *p->boot ? 1 : 2;
}

const struct tg_member_peer *issuer_peer(const struct board *b,
					 const struct issued_key *k)
{
	const struct tg_member_peer *found = NULL, *peers;
	size_t i, n;

	peers = tg_member_peers(b->member, &n);
	for (i = 0; i < n; i++)
		if (issuer_rank(&peers[i], k) >
		    (found ? issuer_rank(found, k) : 0))
			found = &peers[i];
	return found;
}

static struct issued_entry *find_entry(struct board *b, const char *key)
{
	struct issued_entry *e;

	HASH_FIND_STR(b->issued_keys, key, e);
	return e;
}

bool issued_key_unused(const struct request *r)
{
	const struct issued_entry *e = find_entry(r->board, r->key);

	return e && e->state == ISSUED_UNUSED;
}

static void remove_entry(struct board *b, struct issued_entry *e)
{
	b->n_issued_keys--;
	b->issued_bytes -= e->outcome.body_bytes;
	HASH_DEL(b->issued_keys, e);
	outcome_free(&e->outcome);
	free(e);
}

void issued_key_serve_new(struct evhttp_request *req, void *board)
{
	struct board *b = board;
	struct issued_entry *e;
	struct issued_key k = { .n = ++b->last_key_number };

	if (tg_daemon_draining()) {
		tg_http_reply_error(req, 503, NULL,
				    "this instance is stopping");
		return;
	}
	if (b->n_issued_keys >= ISSUED_KEYS_MAX ||
	    b->issued_bytes >= ISSUED_BYTES_MAX) {
		tg_http_reply_error(req, 503, NULL,
				    "too many issued keys are in memory");
		return;
	}
	tg_strlcpy(k.az, b->settings.az, sizeof(k.az));
	tg_strlcpy(k.instance, b->settings.instance, sizeof(k.instance));
	tg_strlcpy(k.boot, tg_member_boot_id(b->member), sizeof(k.boot));
	e = tg_xcalloc(1, sizeof(*e));
	if (!key_format(&k, e->key, sizeof(e->key))) {
		free(e);
		tg_http_reply_error(
			req, 503, NULL,
			"the names of the AZ and the instance are too long "
			"for an issued key");
		return;
	}
	e->expires_ms = tg_now_ms() + RETENTION_MS;
	HASH_ADD_STR(b->issued_keys, key, e);
	b->n_issued_keys++;
	tg_http_reply_json(req, 201, json_pack("{s:s}", "key", e->key));
}

static bool has_same_content(const struct issued_entry *e,
			     const struct request *r)
{
	return !strcmp(e->workspace, r->workspace_name) &&
		!strcmp(e->service, r->service_name) &&
		!strcmp(e->digest, r->digest);
}

static void run_with_key(struct issued_entry *e, struct request *r)
{
	tg_strlcpy(e->workspace, r->workspace_name, sizeof(e->workspace));
	tg_strlcpy(e->service, r->service_name, sizeof(e->service));
	tg_strlcpy(e->digest, r->digest, sizeof(e->digest));
	e->state = ISSUED_RUNNING;
	r->issued_entry = e;
	request_admit(r);
}

/* Starts a request whose key this process issued. */
static void start_local(struct request *r)
{
	struct issued_entry *e = find_entry(r->board, r->key);
	struct outcome o;

	if (!e) {
		issued_key_answer_from_table(r);
		return;
	}
	if (e->state == ISSUED_UNUSED) {
		run_with_key(e, r);
		return;
	}
	if (!has_same_content(e, r)) {
		request_finish_not_run(
			r, 422, "Idempotency-Key",
			"the key was used for a request with other content");
		return;
	}
	if (e->state == ISSUED_DONE) {
		outcome_copy(&o, &e->outcome);
		request_finish(r, &o);
		return;
	}
	r->state = REQUEST_WAITING;
	r->next_waiting = e->waiting;
	e->waiting = r;
	request_set_timer(r);
}

void issued_key_stop_waiting(struct request *r)
{
	struct issued_entry *e = find_entry(r->board, r->key);
	struct request **at = e ? &e->waiting : NULL;

	while (at && *at && *at != r)
		at = &(*at)->next_waiting;
	if (at && *at)
		*at = r->next_waiting;
}

static json_t *issued_row(const struct board *b, const struct issued_entry *e)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:b, s:I}", "instance",
			 b->settings.instance, "boot",
			 tg_member_boot_id(b->member), "service", e->service,
			 "digest", e->digest, "issued", 1, "at_ms",
			 (json_int_t)tg_wall_ms());
}

static void finish_waiting_requests(struct issued_entry *e,
				    const struct outcome *o)
{
	struct request *r = e->waiting, *next;

	e->waiting = NULL;
	for (; r; r = next) {
		struct outcome copy;

		next = r->next_waiting;
		r->state = REQUEST_NEW;
		outcome_copy(&copy, o);
		request_finish(r, &copy);
	}
}

void issued_key_complete(struct request *r, const struct outcome *o)
{
	struct issued_entry *e = r->issued_entry;
	struct board *b = r->board;

	r->issued_entry = NULL;
	if (o->kind == TG_RPC_NOT_RUN) {
		e->state = ISSUED_UNUSED;
		finish_waiting_requests(e, o);
		return;
	}
	e->state = ISSUED_DONE;
	e->expires_ms = tg_now_ms() + RETENTION_MS;
	outcome_copy(&e->outcome, o);
	b->issued_bytes += e->outcome.body_bytes;
	if (o->kind == TG_RPC_ANSWERED)
		record_outcome(b, e->workspace, e->key, 0, issued_row(b, e), o);
	finish_waiting_requests(e, o);
}

static void on_loaded(struct outcome *o, void *arg)
{
	struct request *r = arg;

	if (o)
		request_finish(r, o);
	else
		request_finish_unknown(
			r, 504,
			"the request was answered before, but the recorded "
			"answer can't be loaded now");
}

static void on_row(enum tg_plat_result end, const struct tg_row *row, void *arg)
{
	struct request *r = arg;
	const char *digest;

	if (end != TG_PLAT_OK) {
		request_finish_unknown(
			r, 504,
			"the instance that issued the key does not know its "
			"outcome, and none is recorded");
		return;
	}
	digest = json_string_value(json_object_get(row->value, "digest"));
	if (!digest || strcmp(digest, r->digest) != 0) {
		request_finish_not_run(
			r, 422, "Idempotency-Key",
			"the key was used for a request with other content");
		return;
	}
	record_load(r->board, row->value, on_loaded, r);
}

void issued_key_answer_from_table(struct request *r)
{
	char *key;

	if (!r->board->plat || !request_remaining_ms(r)) {
		request_finish_unknown(
			r, 504,
			"the instance that issued the key does not answer");
		return;
	}
	r->state = REQUEST_LOADING;
	key = claim_row_key(r->workspace_name, r->key);
	tg_row_get(r->board->plat, key, on_row, r);
	free(key);
}

static void finish_forwarded(struct request *r,
			     const struct tg_rpc_response *res)
{
	struct outcome o = { .kind = res->outcome };

	o.status = (int)res->http_status;
	if (o.status < 200 || o.status > 599) {
		o.kind = TG_RPC_OUTCOME_UNKNOWN;
		o.status = 502;
	}
	if (*res->content_type)
		o.content_type = tg_xstrdup(res->content_type);
	o.reason = tg_xstrdup(res->reason);
	outcome_set_body(&o, res->body.body_val, res->body.body_len);
	request_finish(r, &o);
}

static void on_forwarded(enum tg_rpc_call_status end, const void *res,
			 void *arg)
{
	struct request *r = arg;

	if (end == TG_RPC_CALL_OK) {
		finish_forwarded(r, res);
		return;
	}
	tg_log(EV_ENTRY_FORWARD_FAILED, "instance=%s end=%d",
	       r->issued_key.instance, (int)end);
	issued_key_answer_from_table(r);
}

static void forward_to_issuer(struct request *r)
{
	const struct tg_member_peer *issuer =
		issuer_peer(r->board, &r->issued_key);
	struct tg_rpc_request args = {
		.workspace = r->workspace_name,
		.service = r->service_name,
		.key = r->key,
		.method = (char *)tg_http_method_name(r->method),
		.path = r->path,
		.content_type = r->content_type ? r->content_type : (char *)"",
		.deadline_ms = (u_int)request_remaining_ms(r),
		.body = { .body_len = (u_int)r->body_bytes,
			  .body_val = r->body },
	};

	if (!issuer) {
		issued_key_answer_from_table(r);
		return;
	}
	r->state = REQUEST_FORWARDED;
	tg_counter("tg_forwards_total",
		   "Requests forwarded to the instance that issued their key.",
		   NULL)
		->value++;
	tg_rpc_call(r->board->rpc, issuer->rpc_addr, TG_RPC_REQUEST_FORWARD,
		    &args, request_remaining_ms(r), on_forwarded, r);
}

void issued_key_start(struct request *r)
{
	if (r->board->settings.unsafe_run_anywhere)
		request_admit(r);
	else if (issued_key_is_local(r->board, &r->issued_key))
		start_local(r);
	else if (r->rpc)
		issued_key_answer_from_table(r);
	else
		forward_to_issuer(r);
}

static void reply_text(struct tg_rpc_req *rpc, enum tg_rpc_outcome kind,
		       int status, const char *reason)
{
	struct outcome o = { .kind = kind,
			     .status = status,
			     .reason = (char *)reason };
	struct tg_rpc_response res;

	outcome_to_rpc(&o, &res);
	tg_rpc_reply(rpc, &res);
}

/* Answers another instance that was asked for the outcome of a key. */
static void serve_query(struct board *b, struct tg_rpc_req *rpc,
			const struct tg_rpc_request *a)
{
	struct issued_entry *e = find_entry(b, a->key);
	struct tg_rpc_response res;

	if (!e) {
		reply_text(rpc, TG_RPC_OUTCOME_UNKNOWN, 404,
			   "this instance does not know the key");
	} else if (e->state == ISSUED_UNUSED) {
		reply_text(rpc, TG_RPC_NOT_RUN, 404, "nothing ran");
	} else if (strcmp(e->workspace, a->workspace) != 0) {
		reply_text(rpc, TG_RPC_NOT_RUN, 404, "no such key");
	} else if (e->state == ISSUED_RUNNING) {
		reply_text(rpc, TG_RPC_OUTCOME_UNKNOWN, 504,
			   "a request with this key is still running");
	} else {
		outcome_to_rpc(&e->outcome, &res);
		tg_rpc_reply(rpc, &res);
	}
}

static bool is_valid_forward(const struct tg_rpc_request *a,
			     struct issued_key *k)
{
	return tg_name_valid(a->workspace) && tg_name_valid(a->service) &&
		key_parse(a->key, k) == KEY_ISSUED &&
		(a->ask ||
		 (tg_http_parse_method(a->method) && *a->path == '/'));
}

static void fill_from_forward(struct request *r, const struct tg_rpc_request *a)
{
	u_int ms = a->deadline_ms < DEADLINE_MAX_MS ? a->deadline_ms :
						      DEADLINE_MAX_MS;

	r->method = tg_http_parse_method(a->method);
	tg_strlcpy(r->service_name, a->service, sizeof(r->service_name));
	tg_strlcpy(r->workspace_name, a->workspace, sizeof(r->workspace_name));
	tg_strlcpy(r->key, a->key, sizeof(r->key));
	r->key_kind = KEY_ISSUED;
	r->path = tg_xstrdup(a->path);
	r->content_type = tg_xstrdup(a->content_type);
	r->body_bytes = a->body.body_len;
	r->body = tg_xcalloc(1, r->body_bytes + 1);
	if (r->body_bytes)
		memcpy(r->body, a->body.body_val, r->body_bytes);
	r->deadline_ms = tg_now_ms() + ms;
}

void issued_key_serve_forward(struct tg_rpc_req *rpc, void *args, void *board)
{
	const struct tg_rpc_request *a = args;
	struct board *b = board;
	struct issued_key k;
	struct request *r;

	if (!is_valid_forward(a, &k)) {
		stats_count_invalid("forward");
		reply_text(rpc, TG_RPC_NOT_RUN, 400, "invalid request");
		return;
	}
	if (a->ask) {
		serve_query(b, rpc, a);
		return;
	}
	r = request_new(b);
	r->rpc = rpc;
	r->issued_key = k;
	fill_from_forward(r, a);
	request_start(r);
}

static void tick(void *board, int64_t now_ms)
{
	struct board *b = board;
	struct issued_entry *e, *next;

	HASH_ITER(hh, b->issued_keys, e, next)
		if (e->state != ISSUED_RUNNING && now_ms >= e->expires_ms)
			remove_entry(b, e);
}

static void stop(void *board)
{
	struct board *b = board;
	struct issued_entry *e, *next;

	HASH_ITER(hh, b->issued_keys, e, next)
		remove_entry(b, e);
}

const struct tg_controller issued_controller = {
	.name = "issued",
	.period_ms = 1000,
	.tick = tick,
	.stop = stop,
};
