#include <stdlib.h>
#include <string.h>

#include "board.h"

/* A request for the document's page during a load, a check or a save. */
struct form_request {
	struct board *board;
	struct evhttp_request *req;
	struct session session; /* copied, as it may expire meanwhile */
	struct form form;
	char *text; /* document of the form as JSON */
};

static void free_form_request(struct form_request *p)
{
	form_free(&p->form);
	free(p->text);
	free(p);
}

static void reply_page(struct evhttp_request *req, int status,
		       const struct document_page *page)
{
	struct evbuffer *out = evbuffer_new();

	html_document(out, page);
	html_reply(req, status, out);
}

static void reply_form(struct form_request *p, int status, const char *message,
		       bool is_error, const struct tg_findings *f)
{
	struct document_page page = {
		.session = &p->session,
		.generation = p->form.generation,
		.message = message,
		.is_error = is_error,
		.doc = p->form.doc,
		.findings = f,
	};

	reply_page(p->req, status, &page);
}

/* --- load --- */

static void on_loaded(const struct stored_doc *s, void *arg)
{
	struct document_page page = { 0 };
	struct form_request *p = arg;
	char *saved = tg_http_query_param(p->req, "saved");
	char message[64];

	page.session = &p->session;
	if (!s) {
		page.message = "The document can't be read now: the platform "
			       "does not answer. Load this page again.";
		page.is_error = true;
		reply_page(p->req, 503, &page);
		goto out;
	}
	page.doc = json_loadb(s->text, s->text_bytes, 0, NULL);
	page.generation = s->generation;
	page.saved_by = s->author;
	page.saved_at = s->at;
	if (saved) {
		snprintf(message, sizeof(message), "Saved as generation %llu.",
			 strtoull(saved, NULL, 10));
		page.message = message;
	}
	if (s->from_cache) {
		page.message =
			"The table does not answer. This is the document "
			"in force here; it can't be saved now.";
		page.is_error = true;
	}
	reply_page(p->req, 200, &page);
	json_decref((json_t *)page.doc);
out:
	free(saved);
	free_form_request(p);
}

/* --- save --- */

static void redirect_saved(struct form_request *p, uint64_t generation)
{
	char location[48];

	snprintf(location, sizeof(location), "/?saved=%llu",
		 (unsigned long long)generation);
	evhttp_add_header(evhttp_request_get_output_headers(p->req), "Location",
			  location);
	tg_http_reply_text(p->req, 303, "text/plain", "", 0);
}

static void reply_conflict(struct form_request *p, const struct save_result *r)
{
	json_t *theirs = r->theirs->text ?
		json_loadb(r->theirs->text, r->theirs->text_bytes, 0, NULL) :
		NULL;
	json_t *empty = json_object();
	struct document_page page = {
		.session = &p->session,
		.generation = r->generation,
		.message = "Not saved: the document was changed since you "
			   "loaded it.",
		.is_error = true,
		.doc = p->form.doc,
		.their_generation = r->generation,
		.their_author = r->theirs->author,
	};

	if (theirs || !r->generation) {
		page.differences =
			tg_doc_diff(p->form.doc, theirs ? theirs : empty);
	} else {
		/*
		 * The other document is not shown, so the old generation is
		 * kept: the next save conflicts too and replaces nothing.
		 */
		page.generation = p->form.generation;
		page.message = "Not saved: the document was changed since you "
			       "loaded it. The other document can't be read "
			       "now; save again to see it.";
	}
	reply_page(p->req, 409, &page);
	json_decref((json_t *)page.differences);
	json_decref(theirs);
	json_decref(empty);
}

static void on_saved(const struct save_result *r, void *arg)
{
	struct form_request *p = arg;
	char message[160];

	switch (r->outcome) {
	case SAVE_DONE:
		redirect_saved(p, r->generation);
		break;
	case SAVE_INVALID:
		reply_form(p, 422, "Not saved.", true, r->findings);
		break;
	case SAVE_CONFLICT:
		reply_conflict(p, r);
		break;
	case SAVE_UNAVAILABLE:
		snprintf(message, sizeof(message),
			 "Not saved: no answer from %s. What you typed is "
			 "below.",
			 r->unavailable);
		reply_form(p, 503, message, true, NULL);
		break;
	default:
		snprintf(message, sizeof(message),
			 "It is unknown whether generation %llu was saved: the "
			 "table's answer was lost. Look at the history before "
			 "you save again.",
			 (unsigned long long)r->generation);
		reply_form(p, 504, message, true, NULL);
		break;
	}
	free_form_request(p);
}

static void on_checked(enum save_outcome outcome, const struct tg_findings *f,
		       void *arg)
{
	struct form_request *p = arg;

	if (outcome == SAVE_DONE)
		reply_form(p, 200, "No findings. Not saved yet.", false, NULL);
	else if (outcome == SAVE_INVALID)
		reply_form(p, 200, "Checked, not saved.", true, f);
	else
		reply_form(p, 503, "Not checked: there is no instance list.",
			   true, NULL);
	free_form_request(p);
}

static void run_action(struct form_request *p)
{
	if (form_apply_action(&p->form)) {
		reply_form(p, 200, "Not saved yet.", false, NULL);
		free_form_request(p);
		return;
	}
	p->text =
		json_dumps(p->form.doc, JSON_COMPACT | JSON_REAL_PRECISION(15));
	if (!strcmp(p->form.action, "save"))
		store_save(p->board, p->form.generation, p->text,
			   strlen(p->text), p->session.author, on_saved, p);
	else
		store_check(p->board, p->text, strlen(p->text), on_checked, p);
}

static struct form_request *new_form_request(struct board *b,
					     struct evhttp_request *req,
					     const struct session *s)
{
	struct form_request *p = tg_xcalloc(1, sizeof(*p));

	p->board = b;
	p->req = req;
	p->session = *s;
	return p;
}

static void handle_post(struct board *b, struct evhttp_request *req,
			const struct session *s, const char *body)
{
	const char *fetch_site = tg_http_header(req, "Sec-Fetch-Site");
	struct form_request *p = new_form_request(b, req, s);

	form_parse(body, &p->form);
	if (!auth_equal_const_time(p->form.token, s->form_token) ||
	    (fetch_site && !strcmp(fetch_site, "cross-site"))) {
		tg_log(EV_CONSOLE_CROSS_SITE, "author=%s site=%s", s->author,
		       fetch_site ? fetch_site : "-");
		reply_form(p, 403,
			   "Nothing was done: the form has no valid token. "
			   "Check it and send it again.",
			   true, NULL);
		free_form_request(p);
		return;
	}
	run_action(p);
}

void pages_show_posted(struct board *b, struct evhttp_request *req,
		       struct session *s, const char *body)
{
	struct form_request *p = new_form_request(b, req, s);

	form_parse(body, &p->form);
	reply_form(p, 200, "You are logged in again. Nothing was saved yet.",
		   false, NULL);
	free_form_request(p);
}

void pages_document(struct evhttp_request *req, void *arg)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);
	struct board *b = arg;
	struct session *s = auth_get_session(b, req);
	char *body;

	if (evhttp_request_get_command(req) == EVHTTP_REQ_GET) {
		if (s)
			store_load(b, on_loaded, new_form_request(b, req, s));
		else
			login_reply_page(req, 200, NULL, NULL);
		return;
	}
	body = tg_xcalloc(n + 1, 1);
	evbuffer_copyout(in, body, n);
	if (s)
		handle_post(b, req, s, body);
	else
		login_reply_page(
			req, 403,
			"Your session has ended. Log in again; what you "
			"typed is kept.",
			body);
	free(body);
}

/* --- history --- */

static void add_cell(struct evbuffer *out, const json_t *v, const char *key)
{
	const char *s = json_string_value(json_object_get(v, key));

	evbuffer_add_printf(out, "<td>");
	html_text(out, s ? s : "");
	evbuffer_add_printf(out, "</td>");
}

static void on_history(const struct stored_doc *s, void *arg)
{
	struct evbuffer *out = evbuffer_new();
	struct evhttp_request *req = arg;
	size_t i;

	html_begin(out, "History");
	evbuffer_add_printf(out,
			    "<h1>History</h1>\n<p><a href=\"/\">"
			    "Configuration</a></p>\n");
	if (!s || s->from_cache) {
		evbuffer_add_printf(out,
				    "<p class=\"fault\" role=\"alert\">The "
				    "history can't be read now.</p>\n");
		html_end(out);
		html_reply(req, 503, out);
		return;
	}
	evbuffer_add_printf(out,
			    "<table>\n<tr><th>Generation</th><th>Author"
			    "</th><th>At</th><th>Digest</th></tr>\n");
	for (i = 0; i < json_array_size(s->history); i++) {
		const json_t *v = json_array_get(s->history, i);

		evbuffer_add_printf(out, "<tr><td>%lld</td>",
				    (long long)json_integer_value(
					    json_object_get(v, "generation")));
		add_cell(out, v, "author");
		add_cell(out, v, "at");
		add_cell(out, v, "digest");
		evbuffer_add_printf(out, "</tr>\n");
	}
	evbuffer_add_printf(out, "</table>\n");
	html_end(out);
	html_reply(req, 200, out);
}

void pages_history(struct evhttp_request *req, void *arg)
{
	struct board *b = arg;

	if (auth_get_session(b, req))
		store_load(b, on_history, req);
	else
		login_reply_page(req, 200, NULL, NULL);
}

void pages_style(struct evhttp_request *req, void *arg)
{
	(void)arg;
	tg_http_reply_text(req, 200, "text/css", console_style,
			   strlen(console_style));
}
