#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define FILE_BYTES_MAX (4 << 20)

char *ctl_read_file(const char *path, size_t *n)
{
	FILE *in = strcmp(path, "-") ? fopen(path, "r") : stdin;
	char *text;

	if (!in) {
		ctl_error("%s: %s", path, strerror(errno));
		return NULL;
	}
	text = tg_xcalloc(FILE_BYTES_MAX + 1, 1);
	*n = fread(text, 1, FILE_BYTES_MAX, in);
	if (ferror(in)) {
		ctl_error("%s: %s", path, strerror(errno));
		free(text);
		text = NULL;
	}
	if (in != stdin)
		fclose(in);
	return text;
}

void ctl_put_document(struct ctl *c, uint64_t generation, const char *text,
		      struct ctl_reply *r)
{
	char uri[64];

	snprintf(uri, sizeof(uri), "/v1/document?generation=%llu",
		 (unsigned long long)generation);
	ctl_call(c, EVHTTP_REQ_PUT, c->opts.console_addr, uri, text, r);
}

static void print_differences(const json_t *list, const char *ours_label,
			      const char *theirs_label)
{
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const json_t *d = json_array_get(list, i);
		const char *name =
			json_string_value(json_object_get(d, "name"));
		char *place = ctl_format_value(json_object_get(d, "place"));
		char *ours_text = ctl_format_value(json_object_get(d, "ours"));
		char *theirs_text =
			ctl_format_value(json_object_get(d, "theirs"));

		printf("%s%s%s%s\n  %s: %s\n  %s: %s\n", place,
		       name ? " (" : "", name ? name : "", name ? ")" : "",
		       ours_label, ours_text, theirs_label, theirs_text);
		free(place);
		free(ours_text);
		free(theirs_text);
	}
}

/* Without --console, prints the document that an entry daemon has loaded. */
static enum ctl_exit show_document(struct ctl *c)
{
	const char *addr = c->opts.console_addr ? c->opts.console_addr :
						  c->opts.entry_addr;
	enum ctl_exit status;
	struct ctl_reply r;

	if (!ctl_require_option(addr, "console"))
		return CTL_USAGE;
	ctl_call(c, EVHTTP_REQ_GET, addr, "/v1/document", NULL, &r);
	status = ctl_exit_status(&r, false);
	if (status != CTL_OK) {
		ctl_report_failure(&r, false);
	} else if (c->opts.json) {
		ctl_print_json(r.json);
	} else {
		fprintf(stderr, "tgctl: generation %lld\n",
			(long long)json_integer_value(
				json_object_get(r.json, "generation")));
		json_dumpf(json_object_get(r.json, "document"), stdout,
			   JSON_INDENT(2) | JSON_REAL_PRECISION(15));
		printf("\n");
	}
	ctl_reply_free(&r);
	return status;
}

static enum ctl_exit check_locally(const char *text, size_t n)
{
	struct tg_findings f = { 0 };
	struct tg_doc *d = tg_doc_parse(text, n, &f);
	enum ctl_exit status = d ? CTL_OK : CTL_REFUSED;
	size_t i;

	for (i = 0; i < f.n; i++)
		ctl_error("%s: %s",
			  *f.items[i].place ? f.items[i].place : "document",
			  f.items[i].text);
	if (d)
		printf("no findings; guarantees were not checked, which needs "
		       "--console\n");
	tg_doc_free(d);
	tg_findings_free(&f);
	return status;
}

static enum ctl_exit check_document(struct ctl *c)
{
	enum ctl_exit status;
	struct ctl_reply r;
	size_t n;
	char *text = ctl_read_file(c->args[1], &n);

	if (!text)
		return CTL_USAGE;
	if (!c->opts.console_addr) {
		status = check_locally(text, n);
		free(text);
		return status;
	}
	ctl_call(c, EVHTTP_REQ_POST, c->opts.console_addr, "/v1/document/check",
		 text, &r);
	status = ctl_exit_status(&r, false);
	if (c->opts.json && r.json)
		ctl_print_json(r.json);
	else if (status == CTL_OK)
		printf("no findings\n");
	else
		ctl_report_failure(&r, false);
	ctl_reply_free(&r);
	free(text);
	return status;
}

static enum ctl_exit put_document(struct ctl *c)
{
	enum ctl_exit status;
	struct ctl_reply r;
	size_t n;
	char *text;

	if (!ctl_require_option(c->opts.console_addr, "console"))
		return CTL_USAGE;
	if (c->opts.generation < 0) {
		ctl_error("--generation: needed: the generation that was "
			  "edited, see document show");
		return CTL_USAGE;
	}
	text = ctl_read_file(c->args[1], &n);
	if (!text)
		return CTL_USAGE;
	ctl_put_document(c, (uint64_t)c->opts.generation, text, &r);
	status = ctl_exit_status(&r, true);
	if (c->opts.json && r.json) {
		ctl_print_json(r.json);
	} else if (status == CTL_OK) {
		ctl_print_members(r.json);
	} else {
		ctl_report_failure(&r, true);
		print_differences(json_object_get(r.json, "differences"),
				  "yours", "theirs");
	}
	ctl_reply_free(&r);
	free(text);
	return status;
}

static enum ctl_exit diff_document(struct ctl *c)
{
	enum ctl_exit status = CTL_USAGE;
	struct ctl_reply r = { 0 };
	json_t *file_doc = NULL, *list = NULL;
	json_error_t e;
	size_t n;
	char *text;

	if (!ctl_require_option(c->opts.console_addr, "console"))
		return CTL_USAGE;
	text = ctl_read_file(c->args[1], &n);
	if (!text)
		return CTL_USAGE;
	file_doc = json_loadb(text, n, 0, &e);
	if (!file_doc) {
		ctl_error("%s: line %d, column %d: %s", c->args[1], e.line,
			  e.column, e.text);
		status = CTL_REFUSED;
		goto out;
	}
	ctl_call(c, EVHTTP_REQ_GET, c->opts.console_addr, "/v1/document", NULL,
		 &r);
	status = ctl_exit_status(&r, false);
	if (status != CTL_OK) {
		ctl_report_failure(&r, false);
		goto out;
	}
	list = tg_doc_diff(file_doc, json_object_get(r.json, "document"));
	if (c->opts.json)
		ctl_print_json(list);
	else
		print_differences(list, "file", "console");
out:
	json_decref(list);
	json_decref(file_doc);
	ctl_reply_free(&r);
	free(text);
	return status;
}

static enum ctl_exit show_history(struct ctl *c)
{
	static const char *const columns[] = { "generation", "author", "at",
					       "digest", NULL };
	enum ctl_exit status;
	struct ctl_reply r;

	if (!ctl_require_option(c->opts.console_addr, "console"))
		return CTL_USAGE;
	ctl_call(c, EVHTTP_REQ_GET, c->opts.console_addr,
		 "/v1/document/history", NULL, &r);
	status = ctl_exit_status(&r, false);
	if (status != CTL_OK)
		ctl_report_failure(&r, false);
	else if (c->opts.json)
		ctl_print_json(r.json);
	else
		ctl_print_table(json_object_get(r.json, "entries"), columns);
	ctl_reply_free(&r);
	return status;
}

enum ctl_exit ctl_document(struct ctl *c)
{
	static const struct {
		const char *name;
		int n_args;
		enum ctl_exit (*run)(struct ctl *c);
	} commands[] = {
		{ "show", 0, show_document },	{ "check", 1, check_document },
		{ "put", 1, put_document },	{ "diff", 1, diff_document },
		{ "history", 0, show_history },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(commands); i++) {
		if (strcmp(c->args[0], commands[i].name) != 0)
			continue;
		if (c->n_args - 1 != commands[i].n_args)
			break;
		return commands[i].run(c);
	}
	ctl_error("document: needs check FILE, show, put FILE, diff FILE or "
		  "history");
	return CTL_USAGE;
}
