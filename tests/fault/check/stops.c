#include <string.h>

#include "check.h"

static bool is_call(const json_t *l)
{
	return line_is(l, "attempt") || line_is(l, "submit") ||
		line_is(l, "cancel") || line_is(l, "save");
}

/*
 * Calls that begin in the first half of the grace period must be accepted and
 * served; the other half is for the caller's process, which starts after its
 * clock was read.
 */
static void check_cut(struct check *c, const json_t *stop)
{
	int64_t at_ms = line_int(stop, "at_ms");
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l) {
		if (!is_call(l) || !line_int(l, "curl") ||
		    strcmp(line_text(l, "entry"), line_text(stop, "name")) !=
			    0 ||
		    line_int(l, "begin_ms") > at_ms + c->drain_grace_ms / 2 ||
		    line_int(l, "end_ms") < at_ms)
			continue;
		violation(c, "cut-request",
			  "%s cut %s %s off with curl status %lld, %lld ms"
			  " after SIGTERM",
			  line_text(stop, "name"), line_text(l, "kind"),
			  line_text(l, "path"), (long long)line_int(l, "curl"),
			  (long long)(line_int(l, "end_ms") - at_ms));
	}
}

void check_stops(struct check *c)
{
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l) {
		if (line_is(l, "terminated"))
			check_cut(c, l);
		if (line_is(l, "ended") && line_int(l, "status"))
			violation(c, "stop-status", "%s ended with %lld",
				  line_text(l, "name"),
				  (long long)line_int(l, "status"));
	}
}
