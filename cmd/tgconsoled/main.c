#include "board.h"

#define PROG "tgconsoled"
/* A posted form is larger than its document: URL escapes and field names. */
#define BODY_BYTES_MAX (4 << 20)

static const struct tg_event_info events[] = {
#define TG_EVENT TG_EVENT_INFO
#include "events.def"
#undef TG_EVENT
	{ 0, TG_INFO, NULL },
};

static const struct tg_setting settings[] = {
	TG_MEMBER_SETTINGS(opts, true, "500", "30000"),
	TG_HTTP_LIMITS(opts, http),
	TG_SETTING(opts, "operator-key-file", TG_SET_STRING, NULL, 0, 0, true,
		   "file with the key of the operators", operator_key_file),
	TG_SETTING(opts, "wrong-keys-per-min", TG_SET_INT, "10", 1, 1000, false,
		   "wrong operator keys per minute and address, beyond which "
		   "all keys from it are rejected",
		   wrong_keys_per_min),
	TG_SETTING(opts, "secure-cookie", TG_SET_BOOL, NULL, 0, 0, false,
		   "mark the session cookie Secure, so that browsers send it "
		   "over TLS only",
		   secure_cookie),
	TG_SETTING(opts, "unsafe-save-unchecked", TG_SET_BOOL, NULL, 0, 0,
		   false,
		   "fault tests only: save without a check for conflicts",
		   unsafe_save_unchecked),
	TG_SETTING(opts, "unsafe-assume-not-written", TG_SET_BOOL, NULL, 0, 0,
		   false,
		   "fault tests only: report a write whose reply was lost as "
		   "not done",
		   unsafe_assume_not_written),
	{ 0 },
};

static const struct tg_http_route routes[] = {
	{ "/v1/document", false, EVHTTP_REQ_GET | EVHTTP_REQ_PUT,
	  api_document },
	{ "/v1/document/check", false, EVHTTP_REQ_POST, api_check },
	{ "/v1/document/history", false, EVHTTP_REQ_GET, api_history },
	{ "/", false, EVHTTP_REQ_GET | EVHTTP_REQ_POST, pages_document },
	{ "/history", false, EVHTTP_REQ_GET, pages_history },
	{ "/login", false, EVHTTP_REQ_GET | EVHTTP_REQ_POST, login_handle },
	{ "/logout", false, EVHTTP_REQ_POST, login_handle_logout },
	{ "/style.css", false, EVHTTP_REQ_GET, pages_style },
	{ 0 },
};

static bool is_ready(void *arg, const char **why)
{
	const struct board *b = arg;

	/* No document is needed: the first one is saved through the console. */
	if (tg_plat_reachable(b->plat) || tg_member_doc(b->member))
		return true;
	*why = "neither the platform nor a peer has answered";
	return false;
}

static int start_http(void *board)
{
	struct board *b = board;
	struct tg_http_server_opts opts = {
		.base = b->base,
		.addr = b->opts.http_addr,
		.body_bytes = BODY_BYTES_MAX,
		.routes = routes,
		.ready = is_ready,
		.limits = b->opts.http,
		.arg = b,
	};

	b->http = tg_http_server_new(&opts);
	if (!b->http)
		return -1;
	tg_print_ready_line(PROG, tg_http_server_addr(b->http),
			    tg_rpc_server_addr(b->rpc_server));
	return 0;
}

static bool drain_http(void *board, int64_t now_ms)
{
	struct board *b = board;

	(void)now_ms;
	return !b->in_progress && !tg_http_server_in_progress(b->http);
}

static void stop_http(void *board)
{
	struct board *b = board;

	tg_http_server_free(b->http);
}

static const struct tg_controller http_controller = {
	.name = "http",
	.start = start_http,
	.drain = drain_http,
	.stop = stop_http,
};

static void create_clients(struct board *b)
{
	struct tg_http_client_opts client = { .base = b->base };
	struct tg_plat_opts plat = {
		.base = b->base,
		.addr = b->opts.platform,
		.unsafe_assume_not_written = b->opts.unsafe_assume_not_written
	};
	struct tg_member_opts member = {
		.base = b->base,
		.instance = b->opts.instance,
		.role = "console",
		.az = b->opts.az,
		.peers = b->opts.peers,
	};

	b->client = tg_http_client_new(&client);
	plat.http = b->client;
	b->plat = tg_plat_new(&plat);
	b->rpc = tg_rpc_client_new(b->base);
	member.plat = b->plat;
	member.rpc = b->rpc;
	b->member = tg_member_new(&member);
}

static void free_clients(struct board *b)
{
	tg_rpc_client_free(b->rpc);
	tg_plat_free(b->plat);
	tg_http_client_free(b->client);
	tg_member_free(b->member);
	event_base_free(b->base);
}

static int run(struct board *b)
{
	static const struct tg_controller *const controllers[] = {
		&rpc_controller, &http_controller, NULL
	};
	struct tg_daemon_opts daemon = {
		.controllers = controllers,
		.board = b,
		.drain_grace_ms = b->opts.drain_grace_ms,
		.drain_max_ms = b->opts.drain_max_ms,
	};
	int status;

	tg_member_log_open(PROG, b->opts.log_level, events);
	tg_member_warn_unsafe(EV_CONSOLE_UNSAFE, settings, &b->opts);
	b->base = event_base_new();
	daemon.base = b->base;
	create_clients(b);
	status = tg_daemon_run(&daemon);
	free_clients(b);
	return status;
}

int main(int argc, char **argv)
{
	static const struct tg_settings_spec spec = {
		.prog = PROG,
		.summary = "Operators' console: web forms and API for the "
			   "configuration document.",
		.items = settings,
	};
	struct tg_findings f = { 0 };
	struct board b = { 0 };

	switch (tg_settings_load(&spec, argc, argv, &b.opts, NULL)) {
	case TG_SETTINGS_EXIT:
		return 0;
	case TG_SETTINGS_INVALID:
		return TG_EXIT_USAGE;
	case TG_SETTINGS_OK:
		break;
	}
	if (auth_read_key(&b, &f)) {
		tg_findings_print(&f, stderr, PROG);
		tg_findings_free(&f);
		return TG_EXIT_USAGE;
	}
	return run(&b);
}
