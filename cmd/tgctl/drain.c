#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/*
 * Adding or removing one drain is valid on any generation of the document and
 * idempotent, so it is retried on the current generation after a conflict with
 * another writer and after a lost reply.
 */
#define ATTEMPTS 10
#define RETRY_MS 300

/* Returns the index of the drain of @worker, or the array size if none. */
static size_t find_drain(const json_t *drains, const char *worker)
{
	size_t i;

	for (i = 0; i < json_array_size(drains); i++) {
		const char *s = json_string_value(
			json_object_get(json_array_get(drains, i), "worker"));

		if (s && !strcmp(s, worker))
			break;
	}
	return i;
}

/* Adds or removes the drain of @worker.  Returns whether @doc was changed. */
static bool set_drained(json_t *doc, const char *worker, bool drain)
{
	json_t *drains = json_object_get(doc, "drains");
	size_t index = find_drain(drains, worker);
	bool is_drained = index < json_array_size(drains);

	if (is_drained == drain)
		return false;
	if (!drains) {
		drains = json_array();
		json_object_set_new(doc, "drains", drains);
	}
	if (drain)
		json_array_append_new(drains,
				      json_pack("{s:s}", "worker", worker));
	else
		json_array_remove(drains, index);
	return true;
}

static void print_result(struct ctl *c, bool drain, json_int_t generation,
			 bool changed)
{
	if (c->opts.json)
		printf("{\"changed\":%s,\"drained\":%s,\"generation\":%lld,"
		       "\"worker\":\"%s\"}\n",
		       changed ? "true" : "false", drain ? "true" : "false",
		       (long long)generation, c->args[0]);
	else
		printf("%s: %s%s in generation %lld\n", c->args[0],
		       changed ? "" : "already ",
		       drain ? "drained" : "not drained",
		       (long long)generation);
}

/*
 * Loads the document, changes it and saves it once.  Prints the result or the
 * reason of the failure, and sets *retry if another try may succeed.
 */
static enum ctl_exit try_change(struct ctl *c, bool drain, bool *retry)
{
	enum ctl_exit status;
	json_int_t generation;
	struct ctl_reply r;
	char *text = NULL;
	json_t *doc;

	*retry = false;
	ctl_call(c, EVHTTP_REQ_GET, c->opts.console_addr, "/v1/document", NULL,
		 &r);
	status = ctl_exit_status(&r, false);
	if (status != CTL_OK) {
		ctl_report_failure(&r, false);
		goto out;
	}
	generation = json_integer_value(json_object_get(r.json, "generation"));
	doc = json_object_get(r.json, "document");
	if (!set_drained(doc, c->args[0], drain)) {
		print_result(c, drain, generation, false);
		goto out;
	}
	text = json_dumps(doc, JSON_COMPACT | JSON_REAL_PRECISION(15));
	ctl_reply_free(&r);
	ctl_put_document(c, (uint64_t)generation, text, &r);
	status = ctl_exit_status(&r, true);
	*retry = r.status == 409 || status == CTL_OUTCOME_UNKNOWN;
	if (status == CTL_OK)
		print_result(c, drain, generation + 1, true);
	else
		ctl_report_failure(&r, true);
out:
	ctl_reply_free(&r);
	free(text);
	return status;
}

static enum ctl_exit change_with_retries(struct ctl *c, bool drain)
{
	enum ctl_exit status;
	bool retry;
	int i;

	if (!ctl_require_option(c->opts.console_addr, "console"))
		return CTL_USAGE;
	if (!tg_name_valid(c->args[0])) {
		ctl_error("WORKER: not a name of a-z, 0-9 and -");
		return CTL_USAGE;
	}
	for (i = 0; i < ATTEMPTS; i++) {
		status = try_change(c, drain, &retry);
		if (!retry)
			break;
		ctl_sleep(c, RETRY_MS);
	}
	return status;
}

enum ctl_exit ctl_drain(struct ctl *c)
{
	return change_with_retries(c, true);
}

enum ctl_exit ctl_undrain(struct ctl *c)
{
	return change_with_retries(c, false);
}
