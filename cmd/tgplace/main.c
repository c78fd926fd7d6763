#include <stddef.h>
#include <stdlib.h>

#include "place.h"

static const struct tg_setting settings[] = {
	TG_SETTING(options, "fleet", TG_SET_STRING, NULL, 0, 0, true,
		   "fleet CSV file", fleet),
	TG_SETTING(options, "jobs", TG_SET_STRING, NULL, 0, 0, true,
		   "jobs CSV file", jobs),
	TG_SETTING(options, "policy", TG_SET_STRING, "completion", 0, 0, true,
		   "name of the policy", policy),
	TG_SETTING(options, "guarantees", TG_SET_STRING, NULL, 0, 0, false,
		   "guarantees CSV file", guarantees),
	TG_SETTING(options, "faults", TG_SET_STRING, NULL, 0, 0, false,
		   "faults CSV file", faults),
	TG_SETTING(options, "seed", TG_SET_INT, "1", 0, INT64_MAX, false,
		   "seed of the failures of tasks", seed),
	TG_SETTING(
		options, "details", TG_SET_BOOL, "false", 0, 0, false,
		"also print bounds of fragmentation and waits of urgent jobs",
		details),
	{ 0 },
};

static const struct tg_settings_spec spec = {
	.prog = "tgplace",
	.summary = "feed a trace to the decision library and print figures",
	.items = settings,
};

static void check_policy(const char *name, struct tg_findings *findings)
{
	const char *const *names = tg_policy_names();
	char *list = tg_xstrdup("");

	if (!tg_policy_find(name)) {
		for (; *names; names++) {
			char *more = tg_xasprintf("%s %s", list, *names);

			free(list);
			list = more;
		}
		tg_findings_add(findings, "--policy", "\"%s\" is not one of:%s",
				name, list);
	}
	free(list);
}

int main(int argc, char **argv)
{
	struct options o = { 0 };
	struct input in = { 0 };
	struct sim s = { 0 };
	struct tg_findings findings = { 0 };
	int status = 0;

	switch (tg_settings_load(&spec, argc, argv, &o, NULL)) {
	case TG_SETTINGS_OK:
		break;
	case TG_SETTINGS_EXIT:
		return 0;
	case TG_SETTINGS_INVALID:
		return TG_EXIT_USAGE;
	}
	check_policy(o.policy, &findings);
	input_load(&in, &o, &findings);
	if (findings.total) {
		tg_findings_print(&findings, stderr, spec.prog);
		status = TG_EXIT_USAGE;
	} else {
		sim_run(&s, &in, &o);
		report_print(&s, o.details, stdout);
		sim_free(&s);
	}
	tg_findings_free(&findings);
	input_free(&in);
	return status;
}
