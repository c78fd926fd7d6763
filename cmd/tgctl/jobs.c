#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/* Submitting and cancelling are idempotent, since the request names the job. */
#define ATTEMPTS 3
#define RETRY_MS 500
#define POLL_MS 500

static void set_int_if_given(json_t *v, const char *key, int64_t value)
{
	if (value)
		json_object_set_new(v, key, json_integer(value));
}

static void set_string_if_given(json_t *v, const char *key, const char *text)
{
	if (text)
		json_object_set_new(v, key, json_string(text));
}

static json_t *read_spec_file(const char *path)
{
	json_error_t e;
	json_t *v = NULL;
	size_t n;
	char *text = ctl_read_file(path, &n);

	if (!text)
		return NULL;
	v = json_loadb(text, n, JSON_REJECT_DUPLICATES, &e);
	free(text);
	if (json_is_object(v))
		return v;
	ctl_error("%s: line %d, column %d: %s", path, e.line, e.column,
		  v ? "not an object" : e.text);
	json_decref(v);
	return NULL;
}

/* Builds a job spec from the file, if one is given; options override it. */
static json_t *build_spec(struct ctl *c)
{
	const struct ctl_opts *o = &c->opts;
	json_t *v = c->n_args ? read_spec_file(c->args[0]) : json_object();
	json_t *task;

	if (!v)
		return NULL;
	set_string_if_given(v, "workspace", o->workspace);
	set_string_if_given(v, "job", o->job);
	set_string_if_given(v, "class", o->class);
	set_string_if_given(v, "az", o->az);
	set_int_if_given(v, "tasks", o->tasks);
	set_int_if_given(v, "accelerators_per_task", o->accelerators);
	set_int_if_given(v, "cores_per_task", o->cores);
	set_int_if_given(v, "memory_gb_per_task", o->memory_gb);
	set_int_if_given(v, "declared_ms", o->declared_ms);
	if (o->within_rack)
		json_object_set_new(v, "within_rack", json_true());
	if (o->task) {
		task = json_loads(o->task, 0, NULL);
		if (!task) {
			ctl_error("--task: not a JSON object");
			json_decref(v);
			return NULL;
		}
		json_object_set_new(v, "task", task);
	}
	return v;
}

/*
 * Chooses a job name if the spec has none.  A name known before the request is
 * sent makes it safe to repeat the request after a lost reply.
 */
static void ensure_job_name(json_t *spec)
{
	char token[TG_TOKEN_LEN + 1], name[TG_NAME_MAX + 1];

	if (json_object_get(spec, "job"))
		return;
	tg_random_token(token);
	snprintf(name, sizeof(name), "ctl-%.20s", token);
	json_object_set_new(spec, "job", json_string(name));
}

static void call_with_retries(struct ctl *c, enum evhttp_cmd_type method,
			      const char *uri, const char *body,
			      struct ctl_reply *r)
{
	int i;

	for (i = 0;; i++) {
		ctl_call(c, method, c->opts.entry_addr, uri, body, r);
		if (ctl_exit_status(r, true) != CTL_OUTCOME_UNKNOWN ||
		    i + 1 == ATTEMPTS)
			return;
		ctl_error("no reply, retrying");
		ctl_reply_free(r);
		ctl_sleep(c, RETRY_MS);
	}
}

static const char *job_state(const json_t *v)
{
	const char *s = json_string_value(json_object_get(v, "state"));

	return s ? s : "?";
}

static bool is_final_state(const char *state)
{
	return !strcmp(state, "done") || !strcmp(state, "cancelled") ||
		!strcmp(state, "parked");
}

static void print_job(struct ctl *c, const json_t *v)
{
	if (c->opts.json)
		ctl_print_json(v);
	else
		ctl_print_job(v);
}

/* Polls until the job ends, and prints each change of state to stderr. */
static enum ctl_exit wait_for_job(struct ctl *c, const char *uri)
{
	int64_t end_ms = tg_now_ms() + c->opts.wait_ms;
	enum ctl_exit status = CTL_OUTCOME_UNKNOWN;
	char last_state[64] = "";
	struct ctl_reply r;
	bool ended = false;

	while (!ended) {
		const char *state;

		ctl_call(c, EVHTTP_REQ_GET, c->opts.entry_addr, uri, NULL, &r);
		status = ctl_exit_status(&r, false);
		state = status == CTL_OK      ? job_state(r.json) :
			status == CTL_REFUSED ? "not found" :
						"not reachable, retrying";
		if (strcmp(state, last_state) != 0)
			fprintf(stderr, "tgctl: %s\n", state);
		tg_strlcpy(last_state, state, sizeof(last_state));
		ended = status == CTL_REFUSED ||
			(status == CTL_OK && is_final_state(state));
		if (ended && status == CTL_OK) {
			print_job(c, r.json);
			status = strcmp(state, "done") ? CTL_REFUSED : CTL_OK;
		}
		ctl_reply_free(&r);
		if (ended)
			break;
		if (c->opts.wait_ms && tg_now_ms() >= end_ms) {
			ctl_error("job has not ended after %lld ms",
				  (long long)c->opts.wait_ms);
			return CTL_OUTCOME_UNKNOWN;
		}
		ctl_sleep(c, POLL_MS);
	}
	return status;
}

static char *job_uri(const char *workspace, const char *job, const char *suffix)
{
	if (!tg_name_valid(workspace) || !tg_name_valid(job)) {
		ctl_error("WORKSPACE JOB: not names of a-z, 0-9 and -");
		return NULL;
	}
	return tg_xasprintf("/v1/jobs/%s/%s%s", workspace, job, suffix);
}

enum ctl_exit ctl_submit(struct ctl *c)
{
	enum ctl_exit status = CTL_USAGE;
	struct ctl_reply r = { 0 };
	char *body = NULL, *uri = NULL;
	json_t *spec;

	if (!ctl_require_option(c->opts.entry_addr, "entry"))
		return CTL_USAGE;
	spec = build_spec(c);
	if (!spec)
		return CTL_USAGE;
	ensure_job_name(spec);
	body = json_dumps(spec, JSON_COMPACT);
	call_with_retries(c, EVHTTP_REQ_POST, "/v1/jobs", body, &r);
	status = ctl_exit_status(&r, true);
	if (status != CTL_OK) {
		ctl_report_failure(&r, true);
		if (status == CTL_OUTCOME_UNKNOWN)
			ctl_error("name of the job: %s",
				  json_string_value(
					  json_object_get(spec, "job")));
	} else if (!c->opts.wait) {
		print_job(c, r.json);
	} else {
		uri = job_uri(
			json_string_value(json_object_get(spec, "workspace")),
			json_string_value(json_object_get(spec, "job")), "");
		status = uri ? wait_for_job(c, uri) : CTL_USAGE;
	}
	ctl_reply_free(&r);
	json_decref(spec);
	free(body);
	free(uri);
	return status;
}

enum ctl_exit ctl_cancel(struct ctl *c)
{
	enum ctl_exit status;
	struct ctl_reply r;
	char *uri;

	if (!ctl_require_option(c->opts.entry_addr, "entry"))
		return CTL_USAGE;
	uri = job_uri(c->args[0], c->args[1], "");
	if (!uri)
		return CTL_USAGE;
	call_with_retries(c, EVHTTP_REQ_DELETE, uri, NULL, &r);
	status = ctl_exit_status(&r, true);
	if (status == CTL_OK)
		print_job(c, r.json);
	else
		ctl_report_failure(&r, true);
	ctl_reply_free(&r);
	free(uri);
	return status;
}

static enum ctl_exit print_job_status(struct ctl *c, const char *suffix)
{
	enum ctl_exit status;
	struct ctl_reply r;
	char *uri;

	if (!ctl_require_option(c->opts.entry_addr, "entry"))
		return CTL_USAGE;
	uri = job_uri(c->args[0], c->args[1], suffix);
	if (!uri)
		return CTL_USAGE;
	if (c->opts.wait && !*suffix) {
		status = wait_for_job(c, uri);
		goto out;
	}
	ctl_call(c, EVHTTP_REQ_GET, c->opts.entry_addr, uri, NULL, &r);
	status = ctl_exit_status(&r, false);
	if (status == CTL_OK)
		print_job(c, r.json);
	else
		ctl_report_failure(&r, false);
	ctl_reply_free(&r);
out:
	free(uri);
	return status;
}

enum ctl_exit ctl_status(struct ctl *c)
{
	return print_job_status(c, "");
}

enum ctl_exit ctl_explain(struct ctl *c)
{
	return print_job_status(c, "/explain");
}

static enum ctl_exit print_list(struct ctl *c, const char *path,
				const char *key, const char *const *columns)
{
	char *uri = c->opts.workspace ?
		tg_xasprintf("%s?workspace=%s", path, c->opts.workspace) :
		tg_xstrdup(path);
	const json_t *unreachable;
	enum ctl_exit status;
	struct ctl_reply r;

	ctl_call(c, EVHTTP_REQ_GET, c->opts.entry_addr, uri, NULL, &r);
	free(uri);
	status = ctl_exit_status(&r, false);
	if (status != CTL_OK) {
		ctl_report_failure(&r, false);
		goto out;
	}
	if (c->opts.json)
		ctl_print_json(r.json);
	else
		ctl_print_table(json_object_get(r.json, key), columns);
	unreachable = json_object_get(r.json, "unreachable");
	if (json_array_size(unreachable)) {
		ctl_error("%zu AZs did not reply, the list is incomplete",
			  json_array_size(unreachable));
		status = CTL_UNREACHABLE;
	}
	if (json_is_true(json_object_get(r.json, "more")))
		ctl_error("the list is truncated, the server has more entries");
out:
	ctl_reply_free(&r);
	return status;
}

enum ctl_exit ctl_jobs(struct ctl *c)
{
	static const char *const columns[] = { "workspace", "job",   "az",
					       "class",	    "state", "attempt",
					       "reason",    NULL };

	if (!ctl_require_option(c->opts.entry_addr, "entry"))
		return CTL_USAGE;
	if (c->n_args)
		c->opts.workspace = c->args[0];
	if (c->opts.workspace && !tg_name_valid(c->opts.workspace)) {
		ctl_error("WORKSPACE: not a name of a-z, 0-9 and -");
		return CTL_USAGE;
	}
	return print_list(c, "/v1/jobs", "jobs", columns);
}

enum ctl_exit ctl_workers(struct ctl *c)
{
	static const char *const columns[] = {
		"worker", "az",		  "rack",	  "state",
		"slots",  "slots_in_use", "accelerators", "accelerators_in_use",
		NULL
	};

	if (!ctl_require_option(c->opts.entry_addr, "entry"))
		return CTL_USAGE;
	c->opts.workspace = NULL;
	return print_list(c, "/v1/workers", "workers", columns);
}

enum ctl_exit ctl_guarantees(struct ctl *c)
{
	static const char *const columns[] = {
		"workspace",   "az",
		"tasks",       "accelerators_per_task",
		"within_rack", "lapses",
		"lapsed",      "at_risk",
		"used_tasks",  "lent_accelerators",
		NULL
	};

	if (!ctl_require_option(c->opts.entry_addr, "entry"))
		return CTL_USAGE;
	return print_list(c, "/v1/guarantees", "guarantees", columns);
}
