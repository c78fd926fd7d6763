#include <stdlib.h>
#include <string.h>

#include "board.h"

enum field_kind { FIELD_TEXT, FIELD_NUMBER, FIELD_BOOL };

struct field {
	const char *key, *label, *hint;
	enum field_kind kind;
};

static const struct field weight_fields[] = {
	{ "completion", "Weight of completion time", "0 to 100, empty: 50",
	  FIELD_NUMBER },
	{ "fragmentation", "Weight of fragmentation", "0 to 100, empty: 50",
	  FIELD_NUMBER },
	{ 0 },
};
static const struct field workspace_fields[] = {
	{ "name", "Name", "a-z, 0-9 and -, at most 63", FIELD_TEXT },
	{ "max_in_flight", "Requests in progress",
	  "at most, in each AZ; 0 or empty: no limit", FIELD_NUMBER },
	{ "rate_per_s", "Requests per second",
	  "at most, in each AZ; 0 or empty: no limit", FIELD_NUMBER },
	{ "quota_accelerators", "Accelerators",
	  "in use at once; 0 or empty: no limit", FIELD_NUMBER },
	{ 0 },
};
static const struct field guarantee_fields[] = {
	{ "az", "Availability zone", "", FIELD_TEXT },
	{ "tasks", "Tasks", "1 to 1024", FIELD_NUMBER },
	{ "accelerators_per_task", "Accelerators per task", "1 to 64",
	  FIELD_NUMBER },
	{ "within_rack", "Within one rack", "", FIELD_BOOL },
	{ "lapses", "Lapses at",
	  "UTC, as 2026-12-06T21:00:00Z; empty: does not lapse", FIELD_TEXT },
	{ 0 },
};
static const struct field service_fields[] = {
	{ "name", "Name", "a-z, 0-9 and -, at most 63", FIELD_TEXT },
	{ "workspaces", "Workspaces that may call it", "separated by spaces",
	  FIELD_TEXT },
	{ "azs", "Availability zones", "separated by spaces", FIELD_TEXT },
	{ "timeout_ms", "Timeout in ms", "1 to 60000, empty: 10000",
	  FIELD_NUMBER },
	{ "queue", "Longest queue", "requests, empty: 256", FIELD_NUMBER },
	{ "idempotent_methods", "Idempotent methods",
	  "separated by spaces; empty: GET HEAD OPTIONS PUT DELETE; \"none\"",
	  FIELD_TEXT },
	{ 0 },
};
static const struct field objective_fields[] = {
	{ "availability", "Availability objective",
	  "share of requests, as 0.999; empty: none", FIELD_NUMBER },
	{ "latency_ms", "Latency objective in ms", "empty: none",
	  FIELD_NUMBER },
	{ "latency_share", "Share within it", "as 0.99", FIELD_NUMBER },
	{ 0 },
};
static const struct field drain_fields[] = {
	{ "worker", "Worker", "name of the worker to drain", FIELD_TEXT },
	{ 0 },
};

void html_text(struct evbuffer *out, const char *s)
{
	for (; *s; s++) {
		size_t n = strcspn(s, "&<>\"'");

		evbuffer_add(out, s, n);
		s += n;
		if (!*s)
			return;
		evbuffer_add_printf(out, "&#%d;", *s);
	}
}

void html_begin(struct evbuffer *out, const char *title)
{
	evbuffer_add_printf(out,
			    "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n"
			    "<meta charset=\"utf-8\">\n"
			    "<meta name=\"viewport\" content=\"width=device-"
			    "width, initial-scale=1\">\n<title>");
	html_text(out, title);
	evbuffer_add_printf(out,
			    " - tarragonfield</title>\n<link "
			    "rel=\"stylesheet\" href=\"/style.css\">\n"
			    "</head>\n<body>\n<main>\n");
}

void html_end(struct evbuffer *out)
{
	evbuffer_add_printf(out, "</main>\n</body>\n</html>\n");
}

void html_reply(struct evhttp_request *req, int status, struct evbuffer *out)
{
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);
	size_t n = evbuffer_get_length(out);

	evhttp_add_header(h, "Content-Security-Policy",
			  "default-src 'none'; style-src 'self'; "
			  "form-action 'self'; base-uri 'none'; "
			  "frame-ancestors 'none'");
	evhttp_add_header(h, "X-Content-Type-Options", "nosniff");
	evhttp_add_header(h, "Referrer-Policy", "same-origin");
	evhttp_add_header(h, "Cache-Control", "no-store");
	tg_http_reply_text(req, status, "text/html; charset=utf-8",
			   (char *)evbuffer_pullup(out, -1), n);
	evbuffer_free(out);
}

/* Appends a value in the syntax of a form field, as form_parse() reads it. */
static void add_field_value(struct evbuffer *out, const json_t *v)
{
	size_t i;

	if (json_is_string(v)) {
		html_text(out, json_string_value(v));
	} else if (json_is_integer(v)) {
		evbuffer_add_printf(out, "%lld",
				    (long long)json_integer_value(v));
	} else if (json_is_real(v)) {
		evbuffer_add_printf(out, "%.15g", json_real_value(v));
	} else if (json_is_boolean(v)) {
		evbuffer_add_printf(out, json_is_true(v) ? "true" : "false");
	} else if (json_is_array(v)) {
		if (!json_array_size(v))
			evbuffer_add_printf(out, "none");
		for (i = 0; i < json_array_size(v); i++) {
			if (i)
				evbuffer_add_printf(out, " ");
			add_field_value(out, json_array_get(v, i));
		}
	}
}

/* Whether a finding is at @pointer or, if @with_children, below it. */
static bool finding_is_at(const struct tg_finding *f, const char *pointer,
			  bool with_children)
{
	size_t n = strlen(pointer);

	if (strncmp(f->place, pointer, n) != 0)
		return false;
	return !f->place[n] || (with_children && f->place[n] == '/');
}

static bool has_findings(const struct document_page *p, const char *pointer,
			 bool with_children)
{
	size_t i;

	for (i = 0; p->findings && i < p->findings->n; i++)
		if (finding_is_at(&p->findings->items[i], pointer,
				  with_children))
			return true;
	return false;
}

static void add_findings(struct evbuffer *out, const struct document_page *p,
			 const char *pointer, bool with_children)
{
	size_t i;

	if (!has_findings(p, pointer, with_children))
		return;
	evbuffer_add_printf(out, "<span class=\"fault\" id=\"fault:%s\">",
			    pointer);
	for (i = 0; i < p->findings->n; i++)
		if (finding_is_at(&p->findings->items[i], pointer,
				  with_children)) {
			html_text(out, p->findings->items[i].text);
			evbuffer_add_printf(out, ". ");
		}
	evbuffer_add_printf(out, "</span>\n");
}

static void add_bool_select(struct evbuffer *out, const char *pointer,
			    const json_t *v)
{
	static const struct {
		const char *value, *label;
	} options[] = { { "", "no (default)" },
			{ "true", "yes" },
			{ "false", "no" } };
	const char *selected = json_is_true(v) ? "true" :
		json_is_false(v)	       ? "false" :
						 "";
	size_t i;

	evbuffer_add_printf(out, "<select id=\"%s\" name=\"%s\">", pointer,
			    pointer);
	for (i = 0; i < ARRAY_SIZE(options); i++)
		evbuffer_add_printf(
			out, "<option value=\"%s\"%s>%s</option>",
			options[i].value,
			strcmp(options[i].value, selected) ? "" : " selected",
			options[i].label);
	evbuffer_add_printf(out, "</select>\n");
}

static void add_input(struct evbuffer *out, const struct document_page *p,
		      const struct field *f, const char *pointer,
		      const json_t *v)
{
	evbuffer_add_printf(
		out, "<input id=\"%s\" name=\"%s\"%s", pointer, pointer,
		f->kind == FIELD_NUMBER ? " inputmode=\"decimal\"" :
					  " autocapitalize=\"none\"");
	if (has_findings(p, pointer, true))
		evbuffer_add_printf(out,
				    " aria-invalid=\"true\" "
				    "aria-describedby=\"fault:%s\"",
				    pointer);
	evbuffer_add_printf(out, " value=\"");
	add_field_value(out, v);
	evbuffer_add_printf(out, "\">\n");
}

/* Pointers consist of keys from this file and indexes, so need no escaping. */
static void add_field(struct evbuffer *out, const struct document_page *p,
		      const struct field *f, const char *parent,
		      const json_t *obj)
{
	const json_t *v = json_object_get(obj, f->key);
	char pointer[200];

	snprintf(pointer, sizeof(pointer), "%s/%s", parent, f->key);
	evbuffer_add_printf(out, "<p><label for=\"%s\">%s</label>\n", pointer,
			    f->label);
	if (f->kind == FIELD_BOOL)
		add_bool_select(out, pointer, v);
	else
		add_input(out, p, f, pointer, v);
	if (*f->hint) {
		evbuffer_add_printf(out, "<small>");
		html_text(out, f->hint);
		evbuffer_add_printf(out, "</small>\n");
	}
	add_findings(out, p, pointer, true);
	evbuffer_add_printf(out, "</p>\n");
}

static void add_fields(struct evbuffer *out, const struct document_page *p,
		       const struct field *f, const char *pointer,
		       const json_t *obj)
{
	for (; f->key; f++)
		add_field(out, p, f, pointer, obj);
}

static void add_button(struct evbuffer *out, const char *action,
		       const char *pointer, const char *label, const char *name)
{
	evbuffer_add_printf(out,
			    "<button class=\"small\" name=\"do\" "
			    "value=\"%s %s\">%s",
			    action, pointer, label);
	if (name && *name) {
		evbuffer_add_printf(out, " ");
		html_text(out, name);
	}
	evbuffer_add_printf(out, "</button>\n");
}

static void begin_fieldset(struct evbuffer *out, const struct document_page *p,
			   const char *pointer, const char *kind, size_t i,
			   const char *name)
{
	evbuffer_add_printf(out, "<fieldset id=\"%s\">\n<legend>%s %zu",
			    pointer, kind, i + 1);
	if (name) {
		evbuffer_add_printf(out, ": ");
		html_text(out, name);
	}
	evbuffer_add_printf(out, "</legend>\n");
	add_findings(out, p, pointer, false);
}

static void add_guarantees(struct evbuffer *out, const struct document_page *p,
			   const char *parent, const json_t *list)
{
	char pointer[120], item[160];
	size_t i;

	snprintf(pointer, sizeof(pointer), "%s/guarantees", parent);
	add_findings(out, p, pointer, false);
	for (i = 0; i < json_array_size(list); i++) {
		snprintf(item, sizeof(item), "%s/%zu", pointer, i);
		begin_fieldset(out, p, item, "Guaranteed shape", i, NULL);
		add_fields(out, p, guarantee_fields, item,
			   json_array_get(list, i));
		add_button(out, "remove", item, "Remove this shape", NULL);
		evbuffer_add_printf(out, "</fieldset>\n");
	}
	add_button(out, "add", pointer, "Add a guaranteed shape", NULL);
}

static void add_workspace(struct evbuffer *out, const struct document_page *p,
			  const char *pointer, const json_t *v)
{
	add_fields(out, p, workspace_fields, pointer, v);
	add_guarantees(out, p, pointer, json_object_get(v, "guarantees"));
}

static void add_service(struct evbuffer *out, const struct document_page *p,
			const char *pointer, const json_t *v)
{
	char objective[160];

	add_fields(out, p, service_fields, pointer, v);
	snprintf(objective, sizeof(objective), "%s/objective", pointer);
	add_findings(out, p, objective, false);
	add_fields(out, p, objective_fields, objective,
		   json_object_get(v, "objective"));
}

static void add_drain(struct evbuffer *out, const struct document_page *p,
		      const char *pointer, const json_t *v)
{
	add_fields(out, p, drain_fields, pointer, v);
}

static const struct section {
	const char *key, *title, *item, *name;
	void (*add)(struct evbuffer *out, const struct document_page *p,
		    const char *pointer, const json_t *v);
} sections[] = {
	{ "workspaces", "Workspaces", "Workspace", "name", add_workspace },
	{ "services", "Services", "Service", "name", add_service },
	{ "drains", "Drains of workers", "Drain", "worker", add_drain },
};

static void add_section(struct evbuffer *out, const struct document_page *p,
			const struct section *s)
{
	const json_t *list = json_object_get(p->doc, s->key);
	char pointer[64], item[96];
	size_t i;

	snprintf(pointer, sizeof(pointer), "/%s", s->key);
	evbuffer_add_printf(out, "<h2 id=\"%s\">%s</h2>\n", pointer, s->title);
	add_findings(out, p, pointer, false);
	for (i = 0; i < json_array_size(list); i++) {
		const json_t *v = json_array_get(list, i);
		const char *name =
			json_string_value(json_object_get(v, s->name));

		snprintf(item, sizeof(item), "/%s/%zu", s->key, i);
		begin_fieldset(out, p, item, s->item, i, name);
		s->add(out, p, item, v);
		add_button(out, "remove", item, "Remove", name);
		evbuffer_add_printf(out, "</fieldset>\n");
	}
	add_button(out, "add", pointer, "Add to", s->title);
}

static void add_message(struct evbuffer *out, const struct document_page *p)
{
	if (!p->message)
		return;
	evbuffer_add_printf(out, "<p class=\"%s\" role=\"%s\">",
			    p->is_error ? "fault" : "done",
			    p->is_error ? "alert" : "status");
	html_text(out, p->message);
	evbuffer_add_printf(out, "</p>\n");
}

/*
 * Begins a list item with a link to the field of a finding.  Elements of a list
 * in a service have no field of their own, so the link is to that of the list.
 */
static void begin_finding_item(struct evbuffer *out, const char *pointer)
{
	const char *last = strrchr(pointer, '/');
	char field[200];

	if (!strncmp(pointer, "/services/", 10) && last > pointer + 10 &&
	    last[1] >= '0' && last[1] <= '9' &&
	    (size_t)(last - pointer) < sizeof(field)) {
		tg_strlcpy(field, pointer, (size_t)(last - pointer) + 1);
		pointer = field;
	}
	evbuffer_add_printf(out, "<li><a href=\"#");
	html_text(out, pointer);
	evbuffer_add_printf(out, "\">");
}

static void add_summary(struct evbuffer *out, const struct document_page *p)
{
	const struct tg_findings *f = p->findings;
	size_t i;

	if (!f || !f->n)
		return;
	evbuffer_add_printf(out,
			    "<section class=\"fault\">\n<h2>Findings"
			    "</h2>\n<ul>\n");
	for (i = 0; i < f->n; i++) {
		begin_finding_item(out, f->items[i].place);
		html_text(out,
			  *f->items[i].place ? f->items[i].place : "document");
		evbuffer_add_printf(out, "</a>: ");
		html_text(out, f->items[i].text);
		evbuffer_add_printf(out, "</li>\n");
	}
	if (f->total > f->n)
		evbuffer_add_printf(out, "<li>%zu more findings</li>\n",
				    f->total - f->n);
	evbuffer_add_printf(out, "</ul>\n</section>\n");
}

static void add_json(struct evbuffer *out, const json_t *v)
{
	char *text = v ? json_dumps(v,
				    JSON_COMPACT | JSON_ENCODE_ANY |
					    JSON_REAL_PRECISION(15)) :
			 NULL;

	html_text(out, text ? text : "(absent)");
	free(text);
}

static void add_difference(struct evbuffer *out, const json_t *d)
{
	const char *pointer = json_string_value(json_object_get(d, "place"));
	const char *name = json_string_value(json_object_get(d, "name"));

	evbuffer_add_printf(out, "<tr><td>");
	html_text(out, pointer);
	if (name) {
		evbuffer_add_printf(out, "<br>");
		html_text(out, name);
	}
	evbuffer_add_printf(out, "</td><td>");
	add_json(out, json_object_get(d, "ours"));
	evbuffer_add_printf(out, "</td><td>");
	add_json(out, json_object_get(d, "theirs"));
	evbuffer_add_printf(out,
			    "</td><td><label><input type=\"checkbox\" "
			    "name=\"take\" value=\"");
	add_json(out, d);
	evbuffer_add_printf(out, "\"> take theirs</label></td></tr>\n");
}

static void add_differences(struct evbuffer *out, const struct document_page *p)
{
	size_t i;

	if (!p->differences)
		return;
	evbuffer_add_printf(out, "<section class=\"race\">\n<h2>Changed by ");
	html_text(out, *p->their_author ? p->their_author : "another operator");
	evbuffer_add_printf(
		out,
		" meanwhile: generation %llu</h2>\n"
		"<p>Nothing was saved, and all that you typed is below. "
		"Mark what you want to take from the other change. "
		"Saving replaces generation %llu with the result.</p>\n"
		"<table>\n<tr><th>Place</th><th>Yours</th><th>Theirs</th>"
		"<th></th></tr>\n",
		(unsigned long long)p->their_generation,
		(unsigned long long)p->their_generation);
	for (i = 0; i < json_array_size(p->differences); i++)
		add_difference(out, json_array_get(p->differences, i));
	if (!json_array_size(p->differences))
		evbuffer_add_printf(out,
				    "<tr><td colspan=\"4\">none: both "
				    "changes are the same</td></tr>\n");
	evbuffer_add_printf(out, "</table>\n</section>\n");
}

static void add_save_buttons(struct evbuffer *out)
{
	evbuffer_add_printf(out,
			    "<p class=\"bar\"><button name=\"do\" "
			    "value=\"check\">Check</button>\n"
			    "<button class=\"main\" name=\"do\" value=\"save\">"
			    "Save</button></p>\n");
}

static void add_page_header(struct evbuffer *out, const struct document_page *p)
{
	evbuffer_add_printf(out, "<h1>Configuration</h1>\n<p>Generation %llu",
			    (unsigned long long)p->generation);
	if (p->saved_by && *p->saved_by) {
		evbuffer_add_printf(out, ", saved by ");
		html_text(out, p->saved_by);
		evbuffer_add_printf(out, " at ");
		html_text(out, p->saved_at);
	}
	evbuffer_add_printf(out, ". You are ");
	html_text(out, p->session->author);
	evbuffer_add_printf(out,
			    ". <a href=\"/history\">History</a> "
			    "<a href=\"/\">Load again</a></p>\n"
			    "<form method=\"post\" action=\"/logout\">"
			    "<button class=\"small\">Log out</button></form>"
			    "\n");
}

void html_document(struct evbuffer *out, const struct document_page *p)
{
	size_t i;

	html_begin(out, "Configuration");
	add_page_header(out, p);
	add_message(out, p);
	add_summary(out, p);
	evbuffer_add_printf(out,
			    "<form method=\"post\" action=\"/\">\n"
			    "<input type=\"hidden\" name=\"token\" "
			    "value=\"%s\">\n"
			    "<input type=\"hidden\" name=\"generation\" "
			    "value=\"%llu\">\n",
			    p->session->form_token,
			    (unsigned long long)p->generation);
	add_save_buttons(out);
	add_differences(out, p);
	evbuffer_add_printf(out, "<h2 id=\"/weights\">Weights</h2>\n");
	add_findings(out, p, "/weights", false);
	add_fields(out, p, weight_fields, "/weights",
		   json_object_get(p->doc, "weights"));
	for (i = 0; i < ARRAY_SIZE(sections); i++)
		add_section(out, p, &sections[i]);
	add_save_buttons(out);
	evbuffer_add_printf(out, "</form>\n");
	html_end(out);
}
