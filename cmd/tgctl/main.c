#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "../tgburn/burn.h"
#include "ctl.h"

#define PROG "tgctl"
#define KEY_BYTES_MAX 256

#define SETTING(flag, type, def, min, max, help, field) \
	TG_SETTING(ctl_opts, flag, type, def, min, max, false, help, field)

static const struct tg_setting settings[] = {
	SETTING("entry", TG_SET_ADDR, NULL, 0, 0,
		"address of an entry daemon (HTTP)", entry_addr),
	SETTING("console", TG_SET_ADDR, NULL, 0, 0,
		"address of a console (HTTP)", console_addr),
	SETTING("operator-key-file", TG_SET_STRING, NULL, 0, 0,
		"file with the operator key, for the console",
		operator_key_file),
	SETTING("operator", TG_SET_STRING, NULL, 0, 0,
		"author name recorded with changes of the document",
		operator_name),
	SETTING("json", TG_SET_BOOL, NULL, 0, 0, "print JSON", json),
	SETTING("timeout-ms", TG_SET_INT, "10000", 1, 600000,
		"time limit of an HTTP request", timeout_ms),
	SETTING("wait", TG_SET_BOOL, NULL, 0, 0,
		"submit, status: wait until the job ends", wait),
	SETTING("wait-ms", TG_SET_INT, "0", 0, INT64_MAX / 2,
		"time limit of --wait; 0: no limit", wait_ms),
	SETTING("generation", TG_SET_INT, "-1", -1, INT64_MAX / 2,
		"document put: generation that the file was edited from",
		generation),
	SETTING("workspace", TG_SET_NAME, NULL, 0, 0,
		"submit, jobs, guarantees: workspace", workspace),
	SETTING("job", TG_SET_NAME, NULL, 0, 0, "submit: name of the job", job),
	SETTING("class", TG_SET_NAME, NULL, 0, 0,
		"submit: urgent, guaranteed or lent", class),
	SETTING("az", TG_SET_NAME, NULL, 0, 0,
		"submit: availability zone, or any", az),
	SETTING("tasks", TG_SET_INT, "0", 0, 1024, "submit: tasks", tasks),
	SETTING("accelerators", TG_SET_INT, "0", 0, 1024,
		"submit: accelerators per task", accelerators),
	SETTING("cores", TG_SET_INT, "0", 0, 100000, "submit: cores per task",
		cores),
	SETTING("memory-gb", TG_SET_INT, "0", 0, 1000000,
		"submit: memory per task in GB", memory_gb),
	SETTING("within-rack", TG_SET_BOOL, NULL, 0, 0,
		"submit: all tasks in one rack", within_rack),
	SETTING("declared-ms", TG_SET_INT, "0", 0, INT64_MAX / 2,
		"submit: declared run time", declared_ms),
	SETTING("task", TG_SET_STRING, NULL, 0, 0,
		"submit: JSON object passed to the worker", task),
	{ 0 },
};

static const struct command {
	const char *name, *usage;
	int min_operands, max_operands;
	enum ctl_exit (*run)(struct ctl *c);
} commands[] = {
	{ "submit", "[FILE]", 0, 1, ctl_submit },
	{ "cancel", "WORKSPACE JOB", 2, 2, ctl_cancel },
	{ "status", "WORKSPACE JOB", 2, 2, ctl_status },
	{ "explain", "WORKSPACE JOB", 2, 2, ctl_explain },
	{ "jobs", "[WORKSPACE]", 0, 1, ctl_jobs },
	{ "request", "WORKSPACE KEY", 2, 2, ctl_request },
	{ "workers", "", 0, 0, ctl_workers },
	{ "guarantees", "", 0, 0, ctl_guarantees },
	{ "drain", "WORKER", 1, 1, ctl_drain },
	{ "undrain", "WORKER", 1, 1, ctl_undrain },
	{ "document", "check FILE|show|put FILE|diff FILE|history", 1, 2,
	  ctl_document },
};

/* Sets c->authorization from the key file.  Returns -1 after a message. */
static int read_operator_key(struct ctl *c)
{
	char *key;
	size_t n;

	if (!c->opts.operator_key_file)
		return 0;
	key = ctl_read_file(c->opts.operator_key_file, &n);
	if (!key)
		return -1;
	while (n && isspace((unsigned char)key[n - 1]))
		key[--n] = '\0';
	if (n && n < KEY_BYTES_MAX && !strpbrk(key, "\r\n"))
		c->authorization = tg_xasprintf("Bearer %s", key);
	else
		ctl_error("%s: not an operator key", c->opts.operator_key_file);
	free(key);
	return c->authorization ? 0 : -1;
}

static const struct command *find_command(const char *name)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(commands); i++)
		if (!strcmp(commands[i].name, name))
			return &commands[i];
	ctl_error("%s: no such command; commands are:", name);
	for (i = 0; i < ARRAY_SIZE(commands); i++)
		fprintf(stderr, "  %s %s\n", commands[i].name,
			commands[i].usage);
	fprintf(stderr, "  burn [ARGUMENT...]\n");
	return NULL;
}

static enum ctl_exit run_command(struct ctl *c,
				 const struct tg_operands *operands)
{
	const struct command *cmd = find_command(operands->v[0]);
	struct tg_http_client_opts http = { 0 };
	enum ctl_exit status;

	if (!cmd)
		return CTL_USAGE;
	c->n_args = operands->n - 1;
	c->args = operands->v + 1;
	if (c->n_args < cmd->min_operands || c->n_args > cmd->max_operands) {
		ctl_error("usage: %s %s", cmd->name, cmd->usage);
		return CTL_USAGE;
	}
	if (read_operator_key(c))
		return CTL_USAGE;
	c->base = event_base_new();
	http.base = c->base;
	c->http = tg_http_client_new(&http);
	status = cmd->run(c);
	tg_http_client_free(c->http);
	event_base_free(c->base);
	free(c->authorization);
	return status;
}

int main(int argc, char **argv)
{
	static const struct tg_settings_spec spec = {
		.prog = PROG,
		.summary = "Jobs, requests, workers, guarantees and document. "
			   "Commands: submit, cancel, status, explain, jobs, "
			   "request, workers, guarantees, drain, undrain, "
			   "document, burn.",
		.items = settings,
		.operands = "COMMAND [ARGUMENT...]",
		.operands_min = 1,
		.operands_max = 3,
	};
	struct tg_operands operands = { 0 };
	struct ctl c = { 0 };
	int status;

	/* "burn" parses its own options. */
	if (argc > 1 && !strcmp(argv[1], "burn"))
		return burn_main(argc - 1, argv + 1, PROG " burn");
	switch (tg_settings_load(&spec, argc, argv, &c.opts, &operands)) {
	case TG_SETTINGS_EXIT:
		return CTL_OK;
	case TG_SETTINGS_INVALID:
		status = CTL_USAGE;
		break;
	default:
		tg_log_open(PROG, "error");
		status = run_command(&c, &operands);
		break;
	}
	free(operands.v);
	return status;
}
