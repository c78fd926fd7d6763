#include <string.h>

#include "../common/loop.h"
#include "workerd.h"

#define PROG "workerd"
#define BODY_BYTES (8 << 20)
#define TICK_MS 10
/* How long a leaving worker tries to have its entry removed. */
#define REMOVE_MS 1000

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
		"address of the agent", http_addr),
	SETTING("service-addr", TG_SET_ADDR, "127.0.0.1:0", 0, 0,
		"address of the backend server", service_addr),
	SETTING("platform", TG_SET_ADDR, NULL, 0, 0,
		"platform to register with; none: don't register", platform),
	SETTING("name", TG_SET_NAME, "w-1", 0, 0, "name of the worker", name),
	SETTING("az", TG_SET_NAME, "a", 0, 0, "availability zone", az),
	SETTING("rack", TG_SET_NAME, "r1", 0, 0, "rack", rack),
	SETTING("cores", TG_SET_INT, "128", 0, 100000, "processors", cores),
	SETTING("memory-gb", TG_SET_INT, "256", 0, 1000000, "memory in GB",
		memory_gb),
	SETTING("accelerators", TG_SET_INT, "8", 0, 1000, "accelerators",
		accelerators),
	SETTING("slots", TG_SET_INT, "8", 0, 10000,
		"requests that run at a time", slots),
	SETTING("connections", TG_SET_INT, "64", 0, 10000,
		"connections to the backend server", connections),
	SETTING("clock-offset-ms", TG_SET_INT, "-1", -1, 1000000000000,
		"added to the clock; -1: derived from the name",
		clock_offset_ms),
	SETTING("linger-ms", TG_SET_INT, "5000", 0, 3600000,
		"time that a leaving worker reports ended tasks", linger_ms),
	SETTING("drain-grace-ms", TG_SET_INT, "1000", 0, 3600000,
		"least time from SIGTERM to the end", drain_grace_ms),
	SETTING("drain-max-ms", TG_SET_INT, "60000", 0, 3600000,
		"limit of a drain", drain_max_ms),
	SETTING("log-file", TG_SET_STRING, NULL, 0, 0,
		"file that the log of what ran is appended to", log_file),
	SETTING("log-level", TG_SET_STRING, "info", 0, 0,
		"debug, info, warn or error", log_level),
	{ 0 },
};

int64_t worker_now_ms(const struct board *b)
{
	return tg_now_ms() + b->opts.clock_offset_ms;
}

bool worker_draining(const struct board *b)
{
	return b->faults.draining || tg_daemon_draining();
}

static const struct tg_http_route agent_routes[] = {
	{ "/v1/epoch", false, EVHTTP_REQ_POST, agent_epoch },
	{ "/v1/state", false, EVHTTP_REQ_GET, agent_state },
	{ "/v1/commands", false, EVHTTP_REQ_POST, agent_commands },
	{ "/v1/probe", false, EVHTTP_REQ_GET, agent_probe },
	{ "/standin/faults", false, EVHTTP_REQ_POST, faults_set },
	{ "/standin/log", false, EVHTTP_REQ_GET, reply_log },
	{ "/standin/stats", false, EVHTTP_REQ_GET, reply_stats },
	{ 0 },
};

static const struct tg_http_route service_routes[] = {
	{ "/svc/", true, 0xffff, service_request },
	{ 0 },
};

static int start_agent(void *board)
{
	struct board *b = board;
	struct tg_http_client_opts client = { .base = b->base };
	struct tg_http_server_opts agent = {
		.base = b->base,
		.addr = b->opts.http_addr,
		.routes = agent_routes,
		.arg = b,
	};
	struct tg_http_server_opts service = {
		.base = b->base,
		.addr = b->opts.service_addr,
		.body_bytes = BODY_BYTES,
		.routes = service_routes,
		.arg = b,
	};

	b->client = tg_http_client_new(&client);
	b->agent = tg_http_server_new(&agent);
	b->service = tg_http_server_new(&service);
	if (!b->agent || !b->service)
		return -1;
	tg_print_ready_line(PROG, tg_http_server_addr(b->agent),
			    tg_http_server_addr(b->service));
	return 0;
}

static void stop_agent(void *board)
{
	struct board *b = board;

	tg_http_client_free(b->client);
	tg_http_server_free(b->service);
	tg_http_server_free(b->agent);
}

static void tick(void *board, int64_t now_ms)
{
	(void)now_ms;
	leases_advance(board);
	register_tick(board);
}

static bool is_removed(struct board *b, int64_t now_ms)
{
	if (!b->opts.platform)
		return true;
	if (strcmp(b->wanted, "removed") != 0) {
		b->wanted = "removed";
		b->removing_since_ms = now_ms;
	}
	return (b->registered && !strcmp(b->registered, "removed")) ||
		now_ms - b->removing_since_ms > REMOVE_MS;
}

/* Requests and tasks finish; then ended tasks are reported for a while. */
static bool drain(void *board, int64_t now_ms)
{
	struct board *b = board;
	bool reported = !b->leases ||
		worker_now_ms(b) - b->ended_at_ms >= b->opts.linger_ms;

	if (!strcmp(b->wanted, "live")) {
		b->wanted = "leaving";
		b->draining_since_ms = now_ms;
	}
	if (now_ms - b->draining_since_ms < b->opts.drain_grace_ms)
		return false;
	if (tg_http_server_in_progress(b->service) || leases_active(b) ||
	    !reported)
		return false;
	return is_removed(b, now_ms);
}

static const struct tg_controller agent_controller = {
	.name = "agent",
	.period_ms = TICK_MS,
	.start = start_agent,
	.tick = tick,
	.drain = drain,
	.stop = stop_agent,
};

/* Different clocks show a reader that mixes those of two workers. */
static int64_t derive_offset(const char *name)
{
	return (int64_t)(tg_hash64(name, strlen(name)) % 1000000000);
}

int main(int argc, char **argv)
{
	static const struct tg_settings_spec spec = {
		.prog = PROG,
		.summary = "Stand-in of a worker, for tests.",
		.items = settings,
	};
	static const struct tg_controller *const controllers[] = {
		&agent_controller, NULL
	};
	/* Static: what it holds at the end is not a leak. */
	static struct board b = { .wanted = "live" };
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
	if (b.opts.clock_offset_ms < 0)
		b.opts.clock_offset_ms = derive_offset(b.opts.name);
	tg_log_open(PROG, b.opts.log_level);
	tg_log_register(tg_http_events);
	tg_log_register(events);
	tg_random_token(b.boot);
	if (log_file_open(&b)) {
		perror(PROG ": --log-file");
		return TG_EXIT_USAGE;
	}
	b.base = new_precise_loop();
	daemon.base = b.base;
	daemon.drain_max_ms = b.opts.drain_max_ms;
	return tg_daemon_run(&daemon);
}
