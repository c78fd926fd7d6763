#include "../common/loop.h"
#include "platformd.h"

#define PROG "platformd"
/* An object, the largest body, has 4 MiB. */
#define BODY_BYTES (4 << 20)

static const struct tg_event_info events[] = {
#define TG_EVENT TG_EVENT_INFO
#include "events.def"
#undef TG_EVENT
	{ 0, TG_INFO, NULL },
};

#define SETTING(flag, type, def, min, max, help, field) \
	TG_SETTING(opts, flag, type, def, min, max, false, help, field)

static const struct tg_setting settings[] = {
	SETTING("http-addr", TG_SET_ADDR, "127.0.0.1:0", 0, 0,
		"address to listen on", http_addr),
	SETTING("list-lag-ms", TG_SET_INT, "0", 0, 3600000,
		"lag of the instance list", list_lag_ms),
	SETTING("writes-per-s", TG_SET_INT, "0", 0, 1000000,
		"limit of writes, 503 beyond; 0 for none", writes_per_s),
	SETTING("reads-per-s", TG_SET_INT, "0", 0, 1000000,
		"limit of reads, 503 beyond; 0 for none", reads_per_s),
	SETTING("log-level", TG_SET_STRING, "info", 0, 0,
		"debug, info, warn or error", log_level),
	{ 0 },
};

static void reply_stats(struct evhttp_request *req, void *arg)
{
	const struct board *b = arg;

	tg_http_reply_json(
		req, 200,
		json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "reads",
			  (json_int_t)b->reads, "writes", (json_int_t)b->writes,
			  "rows", (json_int_t)HASH_COUNT(b->rows), "objects",
			  (json_int_t)HASH_COUNT(b->objects), "refused",
			  (json_int_t)b->refused, "hung", (json_int_t)b->hung,
			  "lost", (json_int_t)b->lost, "over_limit",
			  (json_int_t)b->over_limit));
}

static const struct tg_http_route routes[] = {
	{ "/v1/table/txn", false, EVHTTP_REQ_POST, table_txn },
	{ "/v1/table/row", false, EVHTTP_REQ_GET, table_row },
	{ "/v1/table/rows", false, EVHTTP_REQ_GET, table_rows },
	{ "/v1/objects/", true,
	  EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE, objects_any },
	{ "/v1/instances", false, EVHTTP_REQ_GET, instances_list },
	{ "/standin/instances", false, EVHTTP_REQ_POST, instances_put },
	{ "/standin/instances/", true, EVHTTP_REQ_DELETE, instances_delete },
	{ "/standin/faults", false, EVHTTP_REQ_POST, faults_set },
	{ "/standin/stats", false, EVHTTP_REQ_GET, reply_stats },
	{ "/standin/history", false, EVHTTP_REQ_GET, table_history },
	{ 0 },
};

static int start_http(void *board)
{
	struct board *b = board;
	struct tg_http_server_opts opts = {
		.base = b->base,
		.addr = b->opts.http_addr,
		.body_bytes = BODY_BYTES,
		.routes = routes,
		.arg = b,
	};

	b->http = tg_http_server_new(&opts);
	if (!b->http)
		return -1;
	tg_print_ready_line(PROG, tg_http_server_addr(b->http), NULL);
	return 0;
}

static void stop_http(void *board)
{
	struct board *b = board;

	tg_http_server_free(b->http);
}

static const struct tg_controller http_controller = {
	.name = "http",
	.start = start_http,
	.stop = stop_http,
};

static struct bucket make_bucket(int64_t per_s)
{
	return (struct bucket){ .per_s = per_s,
				.tokens = (double)per_s,
				.at_ms = tg_now_ms() };
}

int main(int argc, char **argv)
{
	static const struct tg_settings_spec spec = {
		.prog = PROG,
		.summary = "Stand-in of the platform, for tests.",
		.items = settings,
	};
	static const struct tg_controller *const controllers[] = {
		&http_controller, NULL
	};
	/* Static: what it holds at the end is not a leak. */
	static struct board b = { .faults = { .only = -1 } };
	static struct tg_daemon_opts daemon = { .controllers = controllers,
						.board = &b };

	switch (tg_settings_load(&spec, argc, argv, &b.opts, NULL)) {
	case TG_SETTINGS_EXIT:
		return 0;
	case TG_SETTINGS_INVALID:
		return TG_EXIT_USAGE;
	case TG_SETTINGS_OK:
		break;
	}
	tg_log_open(PROG, b.opts.log_level);
	tg_log_register(tg_http_events);
	tg_log_register(events);
	b.base = new_precise_loop();
	b.history = json_array();
	b.list = json_object();
	b.changes_tail = &b.changes;
	b.reads_limit = make_bucket(b.opts.reads_per_s);
	b.writes_limit = make_bucket(b.opts.writes_per_s);
	daemon.base = b.base;
	return tg_daemon_run(&daemon);
}
