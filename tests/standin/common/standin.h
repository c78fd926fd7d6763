#ifndef TG_STANDIN_H
#define TG_STANDIN_H

#include "base/base.h"

/**
 * struct standin - a stand-in program with a single controller
 * @opts: structure that the parsed settings are stored in
 * @log_level: the member of @opts that holds the log level
 * @base: receives the event loop before the controller starts
 */
struct standin {
	const struct tg_settings_spec *spec;
	void *opts;
	const char **log_level;
	struct event_base **base;
	const struct tg_controller *controller;
};

/** standin_run() - load the settings and run; returns main()'s exit status */
int standin_run(const struct standin *s, int argc, char **argv);

#endif
