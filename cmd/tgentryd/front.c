#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>

#include "board.h"

#define SERVICE_PREFIX "/v1/svc/"
/*
 * evhttp refuses a body beyond its own limit without the header Tg-Outcome.
 * Its limit is therefore above the one of this daemon, so that bodies in
 * between get a complete reply.
 */
#define BODY_MARGIN_BYTES (1 << 20)
/*
 * Longer than the longest deadline and the time to load a recorded outcome, as
 * a connection counts as idle while its request is being handled.
 */
#define IDLE_TIMEOUT_MS 90000
/*
 * Time after the grace period of a drain for writing the releases of claims and
 * the outcomes that are left.
 */
#define FINAL_WRITES_MS 5000

#define ANY_METHOD                                                             \
	(EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | \
	 EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH)

/* Reply to a request that can't be parsed. */
struct request_error {
	int status;
	const char *place, *text;
};

static const struct request_error request_errors[] = {
	{ 400, "Tg-Workspace", "missing or not a valid name" },
	{ 400, "Tg-Deadline-Ms", "not a number from 1 to 60000" },
	{ 400, "Idempotency-Key",
	  "not 1 to 128 characters of [A-Za-z0-9._-], or begins with tgk1. "
	  "without being an issued key" },
	{ 404, "service", "not a valid name" },
	{ 400, "path", "longer than 2047 bytes, or has a . or .. segment" },
	{ 400, "headers", "more than 64 headers" },
	{ 413, "body", "too long" },
};
enum {
	BAD_WORKSPACE,
	BAD_DEADLINE,
	BAD_KEY,
	BAD_SERVICE,
	BAD_PATH,
	BAD_HEADERS,
	BAD_BODY,
	N_REQUEST_ERRORS,
	NO_ERROR = -1
};

static bool parse_deadline(const char *s, int64_t default_ms, int64_t *ms)
{
	char *end;

	*ms = default_ms;
	if (!s)
		return true;
	if (*s < '0' || *s > '9')
		return false;
	errno = 0;
	*ms = strtoll(s, &end, 10);
	return !errno && !*end && *ms >= 1 && *ms <= DEADLINE_MAX_MS;
}

/*
 * A backend server that resolves dot segments could serve paths outside of
 * those of the service.
 */
static bool has_dot_segment(const char *path)
{
	const char *s = path;

	while (s) {
		size_t n;

		s += *s == '/';
		n = strcspn(s, "/");
		if ((n == 1 && *s == '.') || (n == 2 && !strncmp(s, "..", 2)))
			return true;
		s = strchr(s, '/');
	}
	return false;
}

static int parse_path(struct request *r)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(r->http);
	const char *path = evhttp_uri_get_path(uri);
	const char *query = evhttp_uri_get_query(uri);
	const char *name, *rest;
	char *decoded = tg_http_decode_path(r->http);
	size_t n;
	bool has_dots = !decoded || has_dot_segment(decoded);

	free(decoded);
	if (!path || strncmp(path, SERVICE_PREFIX, strlen(SERVICE_PREFIX)) != 0)
		return BAD_PATH;
	name = path + strlen(SERVICE_PREFIX);
	n = strcspn(name, "/");
	if (n > TG_NAME_MAX)
		return BAD_SERVICE;
	memcpy(r->service_name, name, n);
	if (!tg_name_valid(r->service_name))
		return BAD_SERVICE;
	rest = name[n] ? name + n : "/";
	r->path = query ? tg_xasprintf("%s?%s", rest, query) : tg_xstrdup(rest);
	return has_dots || strlen(r->path) >= TG_RPC_PATH_MAX ? BAD_PATH :
								NO_ERROR;
}

static int parse_headers(struct request *r)
{
	const struct evkeyvalq *in = evhttp_request_get_input_headers(r->http);
	const struct evkeyval *h;

	r->headers = tg_xcalloc(REQUEST_HEADERS_MAX, sizeof(*r->headers));
	TAILQ_FOREACH(h, in, next) {
		if (is_hop_by_hop_header(h->key))
			continue;
		if (r->n_headers == REQUEST_HEADERS_MAX)
			return BAD_HEADERS;
		r->headers[r->n_headers].name = tg_xstrdup(h->key);
		r->headers[r->n_headers++].value = tg_xstrdup(h->value);
		if (!strcasecmp(h->key, "Content-Type") &&
		    strlen(h->value) <= 255 && !r->content_type)
			r->content_type = tg_xstrdup(h->value);
	}
	return NO_ERROR;
}

static int parse_body(struct request *r)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(r->http);
	size_t n = evbuffer_get_length(in);

	if (n > (size_t)r->board->settings.body_bytes)
		return BAD_BODY;
	r->body = tg_xcalloc(1, n + 1);
	r->body_bytes = n;
	evbuffer_remove(in, r->body, n);
	return NO_ERROR;
}

static int parse_fields(struct request *r)
{
	const char *workspace = tg_http_header(r->http, "Tg-Workspace");
	const char *key = tg_http_header(r->http, "Idempotency-Key");
	int64_t ms;

	if (!workspace || !tg_name_valid(workspace))
		return BAD_WORKSPACE;
	tg_strlcpy(r->workspace_name, workspace, sizeof(r->workspace_name));
	if (!parse_deadline(tg_http_header(r->http, "Tg-Deadline-Ms"),
			    r->board->settings.default_deadline_ms, &ms))
		return BAD_DEADLINE;
	r->deadline_ms = tg_now_ms() + ms;
	r->key_kind = key_parse(key, &r->issued_key);
	if (r->key_kind == KEY_INVALID)
		return BAD_KEY;
	if (key)
		tg_strlcpy(r->key, key, sizeof(r->key));
	return NO_ERROR;
}

static void serve_request(struct evhttp_request *req, void *board)
{
	static int (*const parsers[])(struct request * r) = {
		parse_path, parse_fields, parse_headers, parse_body
	};
	struct request *r = request_new(board);
	int error = NO_ERROR;
	size_t i;

	r->http = req;
	r->method = evhttp_request_get_command(req);
	for (i = 0; i < ARRAY_SIZE(parsers) && error == NO_ERROR; i++)
		error = parsers[i](r);
	if (error != NO_ERROR) {
		stats_count_invalid(request_errors[error].place);
		request_finish_not_run(r, request_errors[error].status,
				       request_errors[error].place, "%s",
				       request_errors[error].text);
		return;
	}
	tg_http_set_abort_callback(req, request_on_caller_disconnect, r);
	request_start(r);
}

static void serve_document(struct evhttp_request *req, void *board)
{
	struct board *b = board;
	const struct tg_doc *doc = tg_member_doc(b->member);

	if (!doc) {
		tg_http_reply_error(req, 503, NULL, "no document is in force");
		return;
	}
	tg_http_reply_json(req, 200,
			   json_pack("{s:I, s:O}", "generation",
				     (json_int_t)doc->generation, "document",
				     doc->json));
}

static void serve_peers(struct evhttp_request *req, void *board)
{
	const struct board *b = board;
	json_t *list = json_array();
	const struct tg_member_peer *p;
	size_t i, n;

	p = tg_member_peers(b->member, &n);
	for (i = 0; i < n; i++)
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:s, s:b, s:b, s:I, s:I}",
				  "instance", p[i].instance, "role", p[i].role,
				  "az", p[i].az, "rpc_addr", p[i].rpc_addr,
				  "live", (int)p[i].live, "active",
				  (int)p[i].active, "generation",
				  (json_int_t)p[i].generation, "epoch",
				  (json_int_t)p[i].epoch));
	tg_http_reply_json(req, 200, json_pack("{s:o}", "peers", list));
}

static void serve_actions(struct evhttp_request *req, void *board)
{
	tg_http_reply_json(req, 200, action_log_json(board));
}

static const struct tg_http_route routes[] = {
	{ SERVICE_PREFIX, true, ANY_METHOD, serve_request },
	{ "/v1/keys", false, EVHTTP_REQ_POST, issued_key_serve_new },
	{ "/v1/requests/", true, EVHTTP_REQ_GET, outcome_query_serve },
	{ "/v1/jobs/", true, EVHTTP_REQ_GET | EVHTTP_REQ_DELETE,
	  jobs_serve_one },
	{ "/v1/jobs", false, EVHTTP_REQ_GET | EVHTTP_REQ_POST, jobs_serve },
	{ "/v1/workers", false, EVHTTP_REQ_GET, workers_serve },
	{ "/v1/guarantees", false, EVHTTP_REQ_GET, guarantees_serve },
	{ "/v1/document", false, EVHTTP_REQ_GET, serve_document },
	{ "/v1/peers", false, EVHTTP_REQ_GET, serve_peers },
	{ "/v1/actions", false, EVHTTP_REQ_GET, serve_actions },
	{ NULL, false, 0, NULL },
};

static bool is_ready(void *board, const char **why)
{
	const struct board *b = board;

	return tg_member_ready(b->member, why);
}

static int start(void *board)
{
	struct board *b = board;
	struct tg_http_server_opts opts = {
		.base = b->base,
		.addr = b->settings.http_addr,
		.header_bytes = (size_t)b->settings.header_bytes,
		.body_bytes =
			(size_t)b->settings.body_bytes + BODY_MARGIN_BYTES,
		.idle_ms = IDLE_TIMEOUT_MS,
		.routes = routes,
		.ready = is_ready,
		.error_header_line = "Tg-Outcome: not-run\r\n",
		.limits = b->settings.http,
		.arg = b,
	};

	b->http_server = tg_http_server_new(&opts);
	if (!b->http_server)
		return -1;
	tg_print_ready_line("tgentryd", tg_http_server_addr(b->http_server),
			    tg_rpc_server_addr(b->rpc_server));
	return 0;
}

static bool drain(void *board, int64_t now_ms)
{
	struct board *b = board;

	if (!b->refuse_from_ms) {
		b->refuse_from_ms = now_ms + b->settings.drain_grace_ms;
		if (!b->settings.unsafe_drain_until_written)
			b->drain_write_end_ms =
				b->refuse_from_ms + FINAL_WRITES_MS;
	}
	return !b->n_requests && !b->n_job_calls &&
		!tg_http_server_in_progress(b->http_server) &&
		!tg_rpc_server_in_progress(b->rpc_server);
}

static void stop(void *board)
{
	struct board *b = board;

	tg_http_server_free(b->http_server);
	b->http_server = NULL;
}

const struct tg_controller front_controller = {
	.name = "front",
	.start = start,
	.drain = drain,
	.stop = stop,
};
