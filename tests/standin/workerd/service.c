#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>

#include "workerd.h"

#define PREFIX "/svc/"
#define SIZE_MAX_BYTES (16 << 20)
#define WORK_MAX_MS 600000

/* A request that runs; its entry in the log is complete when it ends. */
struct run {
	struct board *board;
	struct evhttp_request *req;
	json_t *entry, *answer;
	int64_t size, work_ms, status;
	struct run *prev, *next;
};

static int64_t query_int(struct evhttp_request *req, const char *name,
			 int64_t min, int64_t max, int64_t def)
{
	char *s = tg_http_query_param(req, name), *end;
	int64_t v = def;

	if (s) {
		v = strtoll(s, &end, 10);
		if (end == s || *end || v < min || v > max)
			v = def;
	}
	free(s);
	return v;
}

static void add_draining(const struct board *b, struct evhttp_request *req)
{
	if (worker_draining(b))
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Tg-Draining", "1");
}

static void refuse(struct board *b, struct evhttp_request *req, int status,
		   const char *why)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);

	json_t *v = json_pack("{s:s, s:s, s:I, s:b}", "path",
			      evhttp_request_get_uri(req), "why", why, "at_ms",
			      (json_int_t)tg_now_ms(), "draining",
			      (int)worker_draining(b));

	log_file_add(b, "refused", v);
	json_decref(v);
	b->refused_requests++;
	evhttp_add_header(out, "Tg-Not-Run", "1");
	add_draining(b, req);
	tg_http_reply_error(req, status, NULL, "%s", why);
}

static void reply_filler(struct evhttp_request *req, int status, size_t n)
{
	char *text = tg_xcalloc(1, n);

	memset(text, 'x', n);
	tg_http_reply_text(req, status, "text/plain", text, n);
	free(text);
}

static void answer(void *arg)
{
	struct run *r = arg;

	add_draining(r->board, r->req);
	if (r->size >= 0) {
		reply_filler(r->req, (int)r->status, (size_t)r->size);
		json_decref(r->answer);
	} else {
		tg_http_reply_json(r->req, (int)r->status, r->answer);
	}
	free(r);
}

/* Only the end of the connection ends this answer, which lacks its end. */
static void send_half(struct run *r)
{
	static const char text[] = "HTTP/1.1 200 OK\r\n"
				   "Content-Type: text/plain\r\n"
				   "Connection: close\r\n\r\nhalf of";
	struct bufferevent *bev = evhttp_connection_get_bufferevent(
		evhttp_request_get_connection(r->req));

	/* At once, since the close drops what is still buffered. */
	if (send(bufferevent_getfd(bev), text, sizeof(text) - 1, MSG_NOSIGNAL) <
	    0)
		tg_log(EV_WORKERD_FAULTS, "undelimited=failed");
}

/* Frees the slot and completes the log entry. */
static void end_run(struct run *r, const char *how)
{
	struct board *b = r->board;

	json_object_set_new(r->entry, "end_ms", json_integer(tg_now_ms()));
	json_object_set_new(r->entry, "answer", json_string(how));
	lines_add(&b->requests, r->entry);
	b->in_use--;
	if (r->prev)
		r->prev->next = r->next;
	else
		b->runs = r->next;
	if (r->next)
		r->next->prev = r->prev;
}

static void on_hang_over(void *arg)
{
	struct run *r = arg;

	end_run(r, "none");
	json_decref(r->answer);
	free(r);
}

static void finish(void *arg)
{
	struct run *r = arg;
	struct board *b = r->board;

	if (b->faults.hang_service) {
		close_without_reply(b->base, r->req, NO_REPLY_MS, on_hang_over,
				    r);
	} else if (b->faults.close_after_read) {
		end_run(r, "closed");
		close_without_reply(b->base, r->req, 0, NULL, NULL);
		json_decref(r->answer);
		free(r);
	} else if (b->faults.undelimited &&
		   evhttp_request_get_connection(r->req)) {
		end_run(r, "half");
		send_half(r);
		close_without_reply(b->base, r->req, 0, NULL, NULL);
		json_decref(r->answer);
		free(r);
	} else if (b->faults.answer_late_ms) {
		end_run(r, "late");
		delay_call(b->base, b->faults.answer_late_ms, answer, r);
	} else {
		end_run(r, "sent");
		answer(r);
	}
}

static const char *header_or_empty(struct evhttp_request *req, const char *name)
{
	const char *s = tg_http_header(req, name);

	return s ? s : "";
}

static void describe(struct run *r, const char *service, const char *path)
{
	struct evhttp_request *req = r->req;
	struct board *b = r->board;
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);
	const char *method =
		tg_http_method_name(evhttp_request_get_command(req));
	const char *workspace = header_or_empty(req, "Tg-Workspace");
	char hash[17];

	snprintf(hash, sizeof(hash), "%016llx",
		 (unsigned long long)tg_hash64(evbuffer_pullup(in, -1), n));
	r->answer = json_pack("{s:s, s:s, s:s, s:s, s:I, s:s, s:s, s:I}",
			      "workspace", workspace, "service", service,
			      "method", method, "path", path, "body_bytes",
			      (json_int_t)n, "body_hash", hash, "worker",
			      b->opts.name, "run", (json_int_t)b->last_run);
	r->entry = json_copy(r->answer);
	json_object_set_new(r->entry, "request_id",
			    json_string(header_or_empty(req, "Tg-Request-Id")));
	json_object_set_new(
		r->entry, "key",
		json_string(header_or_empty(req, "Idempotency-Key")));
	json_object_set_new(r->entry, "start_ms", json_integer(tg_now_ms()));
	log_file_add(b, "run", r->entry);
}

static void start_run(struct board *b, struct evhttp_request *req,
		      const char *service, const char *path)
{
	struct run *r = tg_xcalloc(1, sizeof(*r));

	r->board = b;
	r->req = req;
	r->size = query_int(req, "size", 0, SIZE_MAX_BYTES, -1);
	r->status = query_int(req, "status", 200, 599, 200);
	r->work_ms = query_int(req, "work_ms", 0, WORK_MAX_MS, 0) +
		b->faults.service_delay_ms;
	b->in_use++;
	b->last_run++;
	describe(r, service, path);
	r->next = b->runs;
	if (b->runs)
		b->runs->prev = r;
	b->runs = r;
	if (r->work_ms)
		delay_call(b->base, r->work_ms, finish, r);
	else
		finish(r);
}

void service_request(struct evhttp_request *req, void *arg)
{
	struct board *b = arg;
	char *path, *rest;

	if (b->faults.cut) {
		close_without_reply(b->base, req, NO_REPLY_MS, NULL, NULL);
		return;
	}
	path = tg_http_decode_path(req);
	rest = strchr(path + strlen(PREFIX), '/');
	if (worker_draining(b)) {
		refuse(b, req, 503, "draining");
	} else if (tg_http_server_connections(b->service) >
		   (size_t)b->opts.connections) {
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Connection", "close");
		refuse(b, req, 503, "connection limit");
	} else if (b->in_use >= b->opts.slots) {
		refuse(b, req, 503, "slots full");
	} else if (!rest || rest == path + strlen(PREFIX)) {
		refuse(b, req, 404, "no service in the path");
	} else {
		*rest = '\0';
		start_run(b, req, path + strlen(PREFIX),
			  strchr(evhttp_request_get_uri(req) + strlen(PREFIX),
				 '/'));
	}
	free(path);
}

void service_running_json(const struct board *b, json_t *list)
{
	const struct run *r;

	for (r = b->runs; r; r = r->next)
		json_array_append(list, r->entry);
}
