#include <string.h>

#include "check.h"

#define PROG "faultcheck"

static const struct tg_setting settings[] = {
	TG_SETTING(check, "history", TG_SET_STRING, NULL, 0, 0, true,
		   "file of JSON lines", history),
	TG_SETTING(check, "lease-ms", TG_SET_INT, "4000", 1, 1000000, false,
		   "length of a task lease", lease_ms),
	TG_SETTING(check, "gang-margin-ms", TG_SET_INT, "2100", 0, 1000000,
		   false, "what a part of a gang may run beyond a lease",
		   gang_margin_ms),
	TG_SETTING(check, "drain-grace-ms", TG_SET_INT, "600", 0, 1000000,
		   false, "how long daemons listen after SIGTERM",
		   drain_grace_ms),
	{ 0 },
};

/* A run in which nothing was recorded would have no violation either. */
static void check_recorded(struct check *c)
{
	static const char *const kinds[] = { "attempt",	   "run",
					     "generation", "version",
					     "save",	   "final-generation" };
	size_t i, k, n;

	for (k = 0; k < ARRAY_SIZE(kinds); k++) {
		for (i = n = 0; i < json_array_size(c->lines); i++)
			n += line_is(json_array_get(c->lines, i), kinds[k]);
		if (!n)
			violation(c, "nothing-recorded", "no %s", kinds[k]);
	}
}

static void check_reached(struct check *c)
{
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l)
		if (line_is(l, "not-reached"))
			violation(c, "no-rest", "%s", line_text(l, "what"));
}

int main(int argc, char **argv)
{
	static const struct tg_settings_spec spec = {
		.prog = PROG,
		.summary = "Checks the history of a random fault run.",
		.items = settings,
	};
	struct check c = { 0 };

	switch (tg_settings_load(&spec, argc, argv, &c, NULL)) {
	case TG_SETTINGS_OK:
		break;
	case TG_SETTINGS_EXIT:
		return 0;
	case TG_SETTINGS_INVALID:
		return TG_EXIT_USAGE;
	}
	if (history_load(&c))
		return TG_EXIT_USAGE;
	check_recorded(&c);
	check_requests(&c);
	check_leaving(&c);
	check_gangs(&c);
	check_again(&c);
	check_outage(&c);
	check_stops(&c);
	check_jobs(&c);
	check_documents(&c);
	check_reached(&c);
	printf("violations %ld\n", c.violations);
	json_decref(c.lines);
	return c.violations != 0;
}
