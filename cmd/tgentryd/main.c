#include <stddef.h>

#include "board.h"

#define OPT(flag, type, def, min, max, required, help, field) \
	{                                                     \
		flag, type, def, min, max, required, help,    \
			offsetof(struct settings, field)      \
	}
#define UNSAFE(name, help, field)                           \
	OPT("unsafe-" name, TG_SET_BOOL, NULL, 0, 0, false, \
	    "fault tests only: " help, field)

static const struct tg_setting settings[] = {
	OPT("http-addr", TG_SET_ADDR, "127.0.0.1:0", 0, 0, false,
	    "IP:PORT for callers, port 0 for any", http_addr),
	OPT("rpc-addr", TG_SET_ADDR, "127.0.0.1:0", 0, 0, false,
	    "IP:PORT for other processes, port 0 for any", rpc_addr),
	OPT("instance", TG_SET_NAME, NULL, 0, 0, true, "name of this instance",
	    instance),
	OPT("az", TG_SET_NAME, NULL, 0, 0, true, "availability zone", az),
	OPT("platform", TG_SET_ADDR, NULL, 0, 0, false,
	    "IP:PORT of the platform's service", platform),
	OPT("peers", TG_SET_ADDRS, NULL, 0, 0, false,
	    "RPC addresses of peers, beside the instance list", peers),
	OPT("probe-ms", TG_SET_INT, "2000", 10, 60000, false,
	    "time between two probes of a worker, in ms", probe_ms),
	OPT("drain-grace-ms", TG_SET_INT, "5000", 0, 600000, false,
	    "listening goes on this long after SIGTERM, in ms", drain_grace_ms),
	OPT("drain-max-ms", TG_SET_INT, "90000", 0, 3600000, false,
	    "the process ends at the latest this long after SIGTERM, in ms",
	    drain_max_ms),
	OPT("default-deadline-ms", TG_SET_INT, "10000", 1, DEADLINE_MAX_MS,
	    false, "deadline of a request without Tg-Deadline-Ms, in ms",
	    default_deadline_ms),
	OPT("header-bytes", TG_SET_INT, "16384", 256, 1048576, false,
	    "limit of all headers of a request, in bytes", header_bytes),
	/* A request must fit into REQUEST_FORWARD. */
	OPT("body-bytes", TG_SET_INT, "786432", 0, TG_RPC_BODY_MAX, false,
	    "limit of the body of a request, in bytes", body_bytes),
	OPT("log-level", TG_SET_STRING, "info", 0, 0, false,
	    "debug, info, warn or error", log_level),
	UNSAFE("no-claims", "run requests with a caller's key unclaimed",
	       unsafe_no_claims),
	UNSAFE("reuse-after-timeout",
	       "keep a connection on which a request timed out",
	       unsafe_reuse_after_timeout),
	UNSAFE("retry-all", "retry requests that are not idempotent",
	       unsafe_retry_all),
	UNSAFE("ignore-draining", "send requests to leaving workers",
	       unsafe_ignore_draining),
	UNSAFE("dispatch-unclaimed",
	       "run a request whose claim is not known to be recorded",
	       unsafe_dispatch_unclaimed),
	UNSAFE("run-anywhere", "run requests with another instance's key",
	       unsafe_run_anywhere),
	UNSAFE("refuse-unchecked",
	       "refuse as not run without a look at the key's row",
	       unsafe_refuse_unchecked),
	{ .flag = NULL },
};

static const struct tg_settings_spec spec = {
	.prog = "tgentryd",
	.summary = "routes callers' requests to backend servers",
	.items = settings,
};

static const struct tg_event_info events[] = {
#define TG_EVENT TG_EVENT_INFO
#include "events.def"
#undef TG_EVENT
	{ 0, TG_INFO, NULL },
};

static const struct tg_controller *const controllers[] = {
	&link_controller,    &workers_controller,
	&probe_controller,   &notes_controller,
	&records_controller, &claims_controller,
	&issued_controller,  &queue_controller,
	&front_controller,   NULL,
};

static void open_log(const struct settings *s)
{
	tg_log_open("tgentryd", s->log_level);
	tg_log_register(events);
	tg_log_register(tg_http_events);
	tg_log_register(tg_rpc_events);
	tg_log_register(tg_plat_events);
	tg_log_register(tg_doc_events);
	tg_log_register(tg_member_events);
}

static void warn_unsafe(const struct settings *s)
{
	const struct tg_setting *i;

	for (i = settings; i->flag; i++)
		if (i->type == TG_SET_BOOL &&
		    *(const bool *)((const char *)s + i->offset))
			tg_log(EV_ENTRY_UNSAFE, "flag=--%s", i->flag);
}

int main(int argc, char **argv)
{
	static struct board b;
	struct tg_daemon_opts daemon = { .controllers = controllers,
					 .board = &b };
	int status;

	switch (tg_settings_load(&spec, argc, argv, &b.set, NULL)) {
	case TG_SETTINGS_DONE:
		return 0;
	case TG_SETTINGS_BAD:
		return TG_EXIT_USAGE;
	default:
		break;
	}
	open_log(&b.set);
	warn_unsafe(&b.set);
	tg_rng_seed(&b.rng);
	b.base = event_base_new();
	daemon.base = b.base;
	daemon.drain_grace_ms = b.set.drain_grace_ms;
	daemon.drain_max_ms = b.set.drain_max_ms;
	status = tg_daemon_run(&daemon);
	event_base_free(b.base);
	return status;
}
