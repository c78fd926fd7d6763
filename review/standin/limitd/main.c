#include <stdlib.h>
#include <string.h>

#include "../../../tests/standin/common/standin.h"
#include "http/http.h"

/*
 * Stands between the daemons and a stand-in of the platform, and enforces
 * documented limits that the stand-in doesn't have.  Of a transaction on the
 * store: the size of a row, the number of entries and the size of the call.  Of
 * a worker's list: the number of ends in one answer.  It can also leave the
 * entries of some workers out of what the store answers, as if they had
 * expired.  All else passes unchanged.
 */

#define PROG "limitd"
#define TX_ENTRIES_MAX 100
#define TX_VALUES_BYTES_MAX (1 << 20)
#define LISTED_ENDS_MAX 500
/* An end is overdue if it is listed for longer than this (ack-ms). */
#define OVERDUE_MS 5000
/* Numbers of ends beyond this are not watched. */
#define WATCHED_ENDS_MAX 1000000
#define BODY_BYTES (8 << 20)
/* Longer than any call of the daemons waits for its answer. */
#define CALL_TIMEOUT_MS 60000
#define HEADERS_MAX 16
#define HIDDEN_BYTES 1024

struct opts {
	const char *http_addr, *target, *log_level;
	int64_t row_bytes;
};

static struct opts opts;
static struct event_base *base;
static struct tg_http_server *server;
static struct tg_http_client *client;
/* What was seen, as GET /limits reports it. */
static int64_t n_transactions, n_refused, largest_row_bytes;
static int64_t n_lists_cut, n_ends, n_overdue;

/* An end of a run, by its number, since it was first listed. */
struct listed_end {
	int64_t first_ms;
	bool overdue;
};

/* Keys of rows that answers leave out, each between two commas. */
static char hidden[HIDDEN_BYTES];
static struct listed_end *listed;
static int64_t n_listed; /* size of the array */

static const struct tg_setting settings[] = {
	TG_SETTING(opts, "http-addr", TG_SET_ADDR, "127.0.0.1:0", 0, 0, false,
		   "address that the daemons use", http_addr),
	TG_SETTING(opts, "target", TG_SET_ADDR, NULL, 0, 0, true,
		   "address of the stand-in", target),
	TG_SETTING(opts, "row-bytes", TG_SET_INT, "65536", 1, 1 << 30, false,
		   "largest value of a row before its encoding", row_bytes),
	TG_SETTING(opts, "log-level", TG_SET_STRING, "warn", 0, 0, false,
		   "debug, info, warn or error", log_level),
	{ .flag = NULL },
};

static int64_t decoded_bytes(const json_t *row)
{
	const char *text = json_string_value(json_object_get(row, "value"));
	size_t n = text ? strlen(text) : 0;
	size_t padding = 0;

	while (padding < n && text[n - padding - 1] == '=')
		padding++;
	return (int64_t)((n - padding) * 3 / 4);
}

/* Return: what the transaction exceeds, or NULL. */
static const char *find_excess(const json_t *tx)
{
	json_t *puts = json_object_get(tx, "puts"), *row;
	size_t n = json_array_size(puts) +
		json_array_size(json_object_get(tx, "expected")) +
		json_array_size(json_object_get(tx, "deletes"));
	int64_t sum = 0;
	size_t i;

	if (n > TX_ENTRIES_MAX)
		return "too many entries";
	json_array_foreach(puts, i, row) {
		int64_t bytes = decoded_bytes(row);

		if (bytes > largest_row_bytes)
			largest_row_bytes = bytes;
		if (bytes > opts.row_bytes)
			return "row too large";
		sum += bytes;
	}
	return sum > TX_VALUES_BYTES_MAX ? "call too large" : NULL;
}

static void watch_end(int64_t number)
{
	int64_t now_ms = tg_now_ms();
	struct listed_end *e;

	if (number < 0 || number > WATCHED_ENDS_MAX)
		return;
	if (number >= n_listed) {
		int64_t n = 2 * number + 1;

		listed = tg_xrealloc(listed, (size_t)n * sizeof(*listed));
		memset(listed + n_listed, 0,
		       (size_t)(n - n_listed) * sizeof(*listed));
		n_listed = n;
	}
	e = &listed[number];
	if (!e->first_ms) {
		e->first_ms = now_ms;
		n_ends++;
	} else if (!e->overdue && now_ms - e->first_ms > OVERDUE_MS) {
		e->overdue = true;
		n_overdue++;
	}
}

/* The ends that a worker has listed longest come first. */
static void limit_ends(json_t *list)
{
	size_t n = json_array_size(list), i;
	json_t *end;

	if (n > LISTED_ENDS_MAX)
		n_lists_cut++;
	while (n > LISTED_ENDS_MAX)
		json_array_remove(list, --n);
	json_array_foreach(list, i, end)
		watch_end(json_integer_value(json_array_get(end, 0)));
}

static bool is_hidden(const json_t *row)
{
	const char *key = json_string_value(json_object_get(row, "key"));
	char item[HIDDEN_BYTES];

	snprintf(item, sizeof(item), ",%s,", key ? key : "");
	return strstr(hidden, item) != NULL;
}

static void hide_rows(json_t *rows)
{
	size_t i = 0;

	while (i < json_array_size(rows))
		if (is_hidden(json_array_get(rows, i)))
			json_array_remove(rows, i);
		else
			i++;
}

static void on_answer(const struct tg_http_result *r, void *arg)
{
	struct evhttp_request *req = arg;
	json_t *body;

	if (r->end != TG_HTTP_COMPLETE) {
		tg_http_reply_error(req, 503, NULL, "no answer");
		return;
	}
	body = tg_http_result_json(r);
	if (!body) {
		tg_http_reply_error(req, r->status, NULL, "no JSON");
		return;
	}
	limit_ends(json_object_get(body, "ended"));
	hide_rows(json_object_get(body, "rows"));
	tg_http_reply_json(req, r->status, body);
}

static bool is_forwarded(const char *name)
{
	static const char *const own[] = { "Host", "Connection",
					   "Content-Length",
					   "Transfer-Encoding" };
	size_t i;

	for (i = 0; i < ARRAY_SIZE(own); i++)
		if (!evutil_ascii_strcasecmp(name, own[i]))
			return false;
	return true;
}

static void forward(struct evhttp_request *req, const char *body, size_t n)
{
	struct evkeyvalq *in = evhttp_request_get_input_headers(req);
	struct tg_http_header_field headers[HEADERS_MAX + 1] = { 0 };
	struct tg_http_call_opts o = {
		.method = evhttp_request_get_command(req),
		.addr = opts.target,
		.uri = evhttp_request_get_uri(req),
		.headers = headers,
		.body = body,
		.body_bytes = n,
		.timeout_ms = CALL_TIMEOUT_MS,
		.done = on_answer,
		.arg = req,
	};
	struct evkeyval *h;
	size_t n_headers = 0;

	for (h = in->tqh_first; h; h = h->next.tqe_next)
		if (n_headers < HEADERS_MAX && is_forwarded(h->key))
			headers[n_headers++] =
				(struct tg_http_header_field){ h->key,
							       h->value };
	tg_http_call_start(client, &o);
}

static void on_call(struct evhttp_request *req, void *arg)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);
	const char *body = (const char *)evbuffer_pullup(in, -1);
	json_t *o = body ? json_loadb(body, n, 0, NULL) : NULL;
	const char *excess = NULL;

	(void)arg;
	if (json_object_get(o, "puts")) {
		n_transactions++;
		excess = find_excess(o);
	}
	json_decref(o);
	if (excess) {
		n_refused++;
		tg_http_reply_error(req, 400, NULL, "%s", excess);
	} else {
		forward(req, body, n);
	}
}

static void on_limits(struct evhttp_request *req, void *arg)
{
	const struct {
		const char *name;
		int64_t value;
	} counts[] = {
		{ "transactions", n_transactions },
		{ "refused", n_refused },
		{ "largest_row_bytes", largest_row_bytes },
		{ "lists_cut", n_lists_cut },
		{ "ends", n_ends },
		{ "overdue", n_overdue },
	};
	json_t *o = json_object();
	size_t i;

	(void)arg;
	for (i = 0; i < ARRAY_SIZE(counts); i++)
		json_object_set_new(o, counts[i].name,
				    json_integer(counts[i].value));
	tg_http_reply_json(req, 200, o);
}

/* POST /hide?keys=K,K: leaves out the rows with these keys, and no others */
static void on_hide(struct evhttp_request *req, void *arg)
{
	char *keys = tg_http_query_param(req, "keys");

	(void)arg;
	snprintf(hidden, sizeof(hidden), ",%s,", keys ? keys : "");
	free(keys);
	tg_http_reply_json(req, 200, json_object());
}

static int start(void *arg)
{
	static const struct tg_http_route routes[] = {
		{ "/limits", false, EVHTTP_REQ_GET, on_limits },
		{ "/hide", false, EVHTTP_REQ_POST, on_hide },
		{ "/", true, EVHTTP_REQ_POST | EVHTTP_REQ_GET, on_call },
		{ .path = NULL },
	};
	struct tg_http_client_opts c = {
		.base = base,
		.body_bytes = BODY_BYTES,
		.idle_per_addr = 64,
	};
	struct tg_http_server_opts s = {
		.base = base,
		.addr = opts.http_addr,
		.body_bytes = BODY_BYTES,
		.routes = routes,
	};

	(void)arg;
	client = tg_http_client_new(&c);
	server = tg_http_server_new(&s);
	if (!server)
		return -1;
	tg_print_ready_line(PROG, tg_http_server_addr(server),
			    tg_http_server_addr(server));
	return 0;
}

static const struct tg_controller controller = {
	.name = "limits",
	.start = start,
};

int main(int argc, char **argv)
{
	static const struct tg_settings_spec spec = {
		.prog = PROG,
		.summary = "enforces documented limits of the platform",
		.items = settings,
	};
	const struct standin s = {
		.spec = &spec,
		.opts = &opts,
		.log_level = &opts.log_level,
		.base = &base,
		.controller = &controller,
	};

	return standin_run(&s, argc, argv);
}
