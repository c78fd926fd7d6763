#ifndef TG_STANDIN_H
#define TG_STANDIN_H

#include "base/base.h"

/**
 * struct standin - a stand-in of one controller
 * @opts: where the settings are put
 * @log_level: one of them
 * @base: set to the event loop before the controller starts
 */
struct standin {
	const struct tg_settings_spec *spec;
	void *opts;
	const char **log_level;
	struct event_base **base;
	const struct tg_controller *controller;
};

/** standin_run() - what main() does; its exit status */
int standin_run(const struct standin *s, int argc, char **argv);

#endif
