#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/*
 * Maps the outcome of the request that is looked up.  It is read from the body,
 * as ctl_exit_status() judges only the lookup itself.
 */
static enum ctl_exit outcome_exit_status(const json_t *v)
{
	const char *s = json_string_value(json_object_get(v, "outcome"));

	if (s && !strcmp(s, "answered"))
		return CTL_OK;
	return s && !strcmp(s, "not-run") ? CTL_REFUSED : CTL_OUTCOME_UNKNOWN;
}

enum ctl_exit ctl_request(struct ctl *c)
{
	enum ctl_exit status;
	struct ctl_reply r;
	char *key, *uri;

	if (!ctl_require_option(c->opts.entry_addr, "entry"))
		return CTL_USAGE;
	if (!tg_name_valid(c->args[0])) {
		ctl_error("WORKSPACE: not a name of a-z, 0-9 and -");
		return CTL_USAGE;
	}
	key = evhttp_uriencode(c->args[1], -1, 0);
	uri = tg_xasprintf("/v1/requests/%s/%s", c->args[0], key);
	ctl_call(c, EVHTTP_REQ_GET, c->opts.entry_addr, uri, NULL, &r);
	status = ctl_exit_status(&r, false);
	/* While the table is unavailable, the reply is 503 with an outcome. */
	if (status == CTL_OK ||
	    json_is_string(json_object_get(r.json, "outcome"))) {
		status = outcome_exit_status(r.json);
		if (c->opts.json)
			ctl_print_json(r.json);
		else
			ctl_print_members(r.json);
	} else {
		ctl_report_failure(&r, false);
	}
	ctl_reply_free(&r);
	free(key);
	free(uri);
	return status;
}
