#include "board.h"
#include "platform/platform.h"

/*
 * The load balancer and callers with open connections use a process until it
 * exits, so it keeps serving until shortly before it would be killed.
 */
#define STOP_MARGIN_MS 900
#define KILL_MARGIN_MS 300
/* Requests that wait for the store or an owner are answered before that. */
#define ANSWER_MARGIN_MS 600
/* Leaves time within 3 s for the others, which wait for the change. */
#define DOCUMENT_DIRECT_MS 700

static const struct tg_setting settings[] = {
	TG_SITE_FLAGS(settings, NULL),
	TG_SETTING(settings, "deadline-ms", TG_SET_INT, "3000", 100, 600000,
		   false, "time for a request that does not say it, in ms",
		   deadline_ms),
	{ .flag = NULL },
};

static const struct tg_settings_spec spec = {
	.prog = "tgqueued",
	.summary = "takes callers' jobs and answers questions on them",
	.items = settings,
};

static const struct tg_event_info events[] = {
#define TG_EVENT TG_EVENT_INFO
#include "events.def"
#undef TG_EVENT
	{ 0, TG_INFO, NULL },
};

static const struct tg_controller *const controllers[] = {
	&owner_controller,
	&front_controller,
	NULL,
};

int main(int argc, char **argv)
{
	static struct board b;
	struct tg_document_opts document = {
		.site = &b.site,
		.direct_ms = DOCUMENT_DIRECT_MS,
		.publish = true,
	};
	struct tg_daemon_opts daemon = {
		.controllers = controllers,
		.board = &b,
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
	tg_site_log_open("tgqueued", &tg_platform_ops, &b.set.flags, events);
	b.base = event_base_new();
	if (tg_site_open(&b.site, b.base, &tg_platform_ops, &b.set.flags))
		return TG_EXIT_USAGE;
	b.document = tg_document_new(&document);
	daemon.base = b.base;
	daemon.drain_grace_ms = b.site.set.grace_ms - STOP_MARGIN_MS;
	daemon.drain_max_ms = b.site.set.grace_ms - KILL_MARGIN_MS;
	b.answer_all_ms = b.site.set.grace_ms - ANSWER_MARGIN_MS;
	status = tg_daemon_run(&daemon);
	tg_document_free(b.document);
	tg_site_close(&b.site);
	event_base_free(b.base);
	return status;
}
