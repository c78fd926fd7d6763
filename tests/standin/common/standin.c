#include "standin.h"

#include "http/http.h"
#include "loop.h"

/* No test waits for requests that are in progress when a stand-in stops. */
#define DRAIN_MAX_MS 100

int standin_run(const struct standin *s, int argc, char **argv)
{
	const struct tg_controller *const controllers[] = { s->controller,
							    NULL };
	struct tg_daemon_opts daemon = { .controllers = controllers,
					 .drain_max_ms = DRAIN_MAX_MS };

	switch (tg_settings_load(s->spec, argc, argv, s->opts, NULL)) {
	case TG_SETTINGS_EXIT:
		return 0;
	case TG_SETTINGS_INVALID:
		return TG_EXIT_USAGE;
	default:
		break;
	}
	tg_log_open(s->spec->prog, *s->log_level);
	tg_log_register(tg_http_events);
	*s->base = daemon.base = new_precise_loop();
	return tg_daemon_run(&daemon);
}
