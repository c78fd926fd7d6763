#include "board.h"

#define UNSAFE(name, help, field)                                            \
	TG_SETTING(settings, "unsafe-" name, TG_SET_BOOL, NULL, 0, 0, false, \
		   "fault tests only: " help, field)

static const struct tg_setting settings[] = {
	TG_MEMBER_SETTINGS(settings, false, "5000", "90000"),
	TG_HTTP_LIMITS(settings, http),
	TG_SETTING(settings, "probe-ms", TG_SET_INT, "2000", 10, 60000, false,
		   "time between two probes of a worker, in ms", probe_ms),
	TG_SETTING(settings, "default-deadline-ms", TG_SET_INT, "10000", 1,
		   DEADLINE_MAX_MS, false,
		   "deadline of a request without Tg-Deadline-Ms, in ms",
		   default_deadline_ms),
	TG_SETTING(settings, "header-bytes", TG_SET_INT, "16384", 256, 1048576,
		   false, "limit of all headers of a request, in bytes",
		   header_bytes),
	/*
	 * A request with the longest body must fit into a REQUEST_FORWARD call.
	 */
	TG_SETTING(settings, "body-bytes", TG_SET_INT, "786432", 0,
		   TG_RPC_BODY_MAX, false,
		   "limit of the body of a request, in bytes", body_bytes),
	UNSAFE("no-claims", "run requests with a caller's key unclaimed",
	       unsafe_no_claims),
	UNSAFE("reuse-after-timeout",
	       "keep a connection on which a request timed out",
	       unsafe_reuse_after_timeout),
	UNSAFE("retry-all", "retry requests that are not idempotent",
	       unsafe_retry_all),
	UNSAFE("ignore-draining", "send requests to draining workers",
	       unsafe_ignore_draining),
	UNSAFE("dispatch-unclaimed",
	       "run a request whose claim is not known to be recorded",
	       unsafe_dispatch_unclaimed),
	UNSAFE("run-anywhere", "run requests with another instance's key",
	       unsafe_run_anywhere),
	UNSAFE("refuse-unchecked",
	       "refuse as not run without reading the key's row",
	       unsafe_refuse_unchecked),
	UNSAFE("apply-any-generation", "apply documents of lower generations",
	       unsafe_apply_any_generation),
	UNSAFE("pass-undelimited",
	       "pass on answers that end with their connection",
	       unsafe_pass_undelimited),
	UNSAFE("drain-until-written",
	       "let a drain wait for the table without limit",
	       unsafe_drain_until_written),
	UNSAFE("unknown-as-not-run",
	       "report job calls without answer as not run",
	       unsafe_unknown_as_not_run),
	UNSAFE("no-document-polls",
	       "do not poll the table or peers for further documents",
	       unsafe_no_document_polls),
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

int main(int argc, char **argv)
{
	static struct board b;
	struct tg_daemon_opts daemon = { .controllers = controllers,
					 .board = &b };
	int status;

	switch (tg_settings_load(&spec, argc, argv, &b.settings, NULL)) {
	case TG_SETTINGS_EXIT:
		return 0;
	case TG_SETTINGS_INVALID:
		return TG_EXIT_USAGE;
	default:
		break;
	}
	tg_member_log_open("tgentryd", b.settings.log_level, events);
	tg_member_warn_unsafe(EV_ENTRY_UNSAFE, settings, &b.settings);
	tg_rng_seed(&b.rng);
	b.base = event_base_new();
	daemon.base = b.base;
	daemon.drain_grace_ms = b.settings.drain_grace_ms;
	daemon.drain_max_ms = b.settings.drain_max_ms;
	status = tg_daemon_run(&daemon);
	event_base_free(b.base);
	return status;
}
