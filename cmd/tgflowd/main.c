#include "board.h"
#include "platform/platform.h"

/*
 * Time from the request to stop until ownership is released and a standby takes
 * over.
 */
#define DRAIN_GRACE_MS 1500
#define DRAIN_MAX_MS 5000

static const struct tg_setting settings[] = {
	TG_SITE_FLAGS(settings, NULL),
	TG_SETTING(settings, "lease-ms", TG_SET_INT, "6000", 500, 60000, false,
		   "lease of the runs on a worker, in ms", lease_ms),
	/* Late copies of a submission may arrive seconds after its answer. */
	TG_SETTING(settings, "keep-ms", TG_SET_INT, "60000", 0, 86400000, false,
		   "how long an ended job is kept beyond the time in which "
		   "callers may ask for it, in ms",
		   keep_ms),
	TG_SETTING(
		settings, "follow-speed", TG_SET_BOOL, NULL, 0, 0, false,
		"estimate how fast workers are, and use it where they differ",
		follow_speed),
	TG_SETTING(settings, "fair-shares", TG_SET_BOOL, NULL, 0, 0, false,
		   "share capacity between workspaces within a priority",
		   fair_shares),
	{ .flag = NULL },
};

static const struct tg_settings_spec spec = {
	.prog = "tgflowd",
	.summary = "runs jobs of dependent steps on the workers of a site",
	.items = settings,
};

static const struct tg_event_info events[] = {
#define TG_EVENT TG_EVENT_INFO
#include "events.def"
#undef TG_EVENT
	{ 0, TG_INFO, NULL },
};

static const struct tg_controller *const controllers[] = {
	&rpc_controller,     &writer_controller,
	&orders_controller,  &round_controller,
	&owner_controller,   &links_controller,
	&verdict_controller, &metrics_controller,
	&purge_controller,   NULL,
};

int main(int argc, char **argv)
{
	static struct board b;
	struct tg_daemon_opts daemon = {
		.controllers = controllers,
		.board = &b,
		.drain_grace_ms = DRAIN_GRACE_MS,
		.drain_max_ms = DRAIN_MAX_MS,
	};
	int status;

	switch (tg_settings_load(&spec, argc, argv, &b.set, NULL)) {
	case TG_SETTINGS_EXIT:
		return 0;
	case TG_SETTINGS_INVALID:
		return TG_EXIT_USAGE;
	default:
		break;
	}
	tg_site_log_open("tgflowd", &tg_platform_ops, &b.set.flags, events);
	tg_rng_seed(&b.rng);
	b.base = tg_loop_new();
	if (tg_site_open(&b.site, b.base, &tg_platform_ops, &b.set.flags))
		return TG_EXIT_USAGE;
	daemon.base = b.base;
	status = tg_daemon_run(&daemon);
	tg_site_close(&b.site);
	event_base_free(b.base);
	return status;
}
