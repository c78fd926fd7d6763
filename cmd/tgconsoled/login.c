#include <stdlib.h>
#include <string.h>

#include "board.h"

#define COOKIE_SECONDS (12 * 3600)

void login_reply_page(struct evhttp_request *req, int status,
		      const char *message, const char *posted)
{
	struct evbuffer *out = evbuffer_new();

	html_begin(out, "Log in");
	evbuffer_add_printf(out, "<h1>Log in</h1>\n");
	if (message) {
		evbuffer_add_printf(out, "<p class=\"fault\" role=\"alert\">");
		html_text(out, message);
		evbuffer_add_printf(out, "</p>\n");
	}
	evbuffer_add_printf(
		out,
		"<form method=\"post\" action=\"/login\">\n"
		"<p><label for=\"name\">Your name, shown in the history"
		"</label>\n<input id=\"name\" name=\"name\" "
		"maxlength=\"63\" autocomplete=\"username\" required></p>"
		"\n<p><label for=\"key\">Operator key</label>\n"
		"<input id=\"key\" name=\"key\" type=\"password\" "
		"autocomplete=\"current-password\" required></p>\n");
	if (posted) {
		evbuffer_add_printf(out,
				    "<input type=\"hidden\" name=\"typed\" "
				    "value=\"");
		html_text(out, posted);
		evbuffer_add_printf(out, "\">\n");
	}
	evbuffer_add_printf(out, "<p><button>Log in</button></p>\n</form>\n");
	html_end(out);
	html_reply(req, status, out);
}

static void set_session_cookie(struct board *b, struct evhttp_request *req,
			       const char *token, int64_t seconds)
{
	char value[160];

	snprintf(value, sizeof(value),
		 "tgconsole=%s; HttpOnly; SameSite=Strict; Path=/; "
		 "Max-Age=%lld%s",
		 token, (long long)seconds,
		 b->opts.secure_cookie ? "; Secure" : "");
	evhttp_add_header(evhttp_request_get_output_headers(req), "Set-Cookie",
			  value);
}

static void redirect_home(struct board *b, struct evhttp_request *req,
			  const char *token, int64_t seconds)
{
	set_session_cookie(b, req, token, seconds);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Location",
			  "/");
	tg_http_reply_text(req, 303, "text/plain", "", 0);
}

static char *copy_body(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);
	char *s = tg_xcalloc(n + 1, 1);

	evbuffer_copyout(in, s, n);
	return s;
}

static void check_login(struct board *b, struct evhttp_request *req,
			struct evkeyvalq *form)
{
	const char *name = evhttp_find_header(form, "name");
	const char *key = evhttp_find_header(form, "key");
	const char *posted = evhttp_find_header(form, "typed");
	struct session *s;

	switch (auth_check_key(b, req, key)) {
	case KEY_VALID:
		break;
	case KEY_RATE_LIMITED:
		login_reply_page(
			req, 429,
			"Too many wrong operator keys from this address; "
			"try again in a minute.",
			posted);
		return;
	default:
		login_reply_page(req, 403, "The operator key is wrong.",
				 posted);
		return;
	}
	s = auth_open_session(b, name);
	if (!s) {
		login_reply_page(req, 503,
				 "The session could not be created: no random "
				 "numbers. Try again.",
				 posted);
		return;
	}
	tg_log(EV_CONSOLE_LOGIN, "author=%s", s->author);
	if (!posted) {
		redirect_home(b, req, s->token, COOKIE_SECONDS);
		return;
	}
	set_session_cookie(b, req, s->token, COOKIE_SECONDS);
	pages_show_posted(b, req, s, posted);
}

void login_handle(struct evhttp_request *req, void *arg)
{
	struct evkeyvalq form;
	char *body;

	if (evhttp_request_get_command(req) == EVHTTP_REQ_GET) {
		login_reply_page(req, 200, NULL, NULL);
		return;
	}
	body = copy_body(req);
	if (evhttp_parse_query_str(body, &form)) {
		login_reply_page(req, 400, "The form could not be parsed.",
				 NULL);
	} else {
		check_login(arg, req, &form);
		evhttp_clear_headers(&form);
	}
	free(body);
}

void login_handle_logout(struct evhttp_request *req, void *arg)
{
	struct session *s = auth_get_session(arg, req);

	/*
	 * Needs no form token: the cookie is SameSite=Strict, and a forged
	 * logout does no harm.
	 */
	if (s)
		memset(s, 0, sizeof(*s));
	redirect_home(arg, req, "", 0);
}
