#include <string.h>

#include "faults.h"

static int64_t end_of_fault(const struct check *c, const json_t *fault)
{
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l)
		if (line_is(l, "heal") &&
		    !strcmp(line_text(l, "name"), line_text(fault, "name")) &&
		    line_int(l, "at_ms") >= line_int(fault, "at_ms"))
			return line_int(l, "at_ms");
	return INT64_MAX;
}

/* Faults of the service of a worker do not touch its tasks. */
static bool hits_tasks(const char *fault)
{
	return !strcmp(fault, "kill") || !strcmp(fault, "stop") ||
		!strcmp(fault, "cut") || !strcmp(fault, "term") ||
		!strncmp(fault, "outage", 6);
}

int64_t fault_begin_ms(const struct check *c, const char *name, int64_t from_ms,
		       int64_t to_ms)
{
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l)
		if (line_is(l, "fault") &&
		    !strcmp(line_text(l, "name"), name) &&
		    hits_tasks(line_text(l, "fault")) &&
		    line_int(l, "at_ms") <= to_ms &&
		    end_of_fault(c, l) >= from_ms)
			return line_int(l, "at_ms");
	return INT64_MAX;
}
