#include <stdlib.h>
#include <string.h>

#include "../../../cmd/tgconsoled/board.h"
#include "../run.h"

#define ROUNDS 3000

static char *render_page(const struct document_page *p)
{
	struct evbuffer *out = evbuffer_new();
	size_t n;
	char *s;

	html_document(out, p);
	n = evbuffer_get_length(out);
	s = tg_xcalloc(n + 1, 1);
	evbuffer_copyout(out, s, n);
	evbuffer_free(out);
	return s;
}

static void add_encoded(struct evbuffer *out, const char *name,
			const char *value)
{
	char *n = evhttp_uriencode(name, -1, 1);
	char *v = evhttp_uriencode(value, -1, 1);

	if (evbuffer_get_length(out))
		evbuffer_add(out, "&", 1);
	evbuffer_add_printf(out, "%s=%s", n, v);
	free(n);
	free(v);
}

static char *evbuffer_to_text(struct evbuffer *b)
{
	size_t n = evbuffer_get_length(b);
	char *s = tg_xcalloc(n + 1, 1);

	evbuffer_copyout(b, s, n);
	evbuffer_free(b);
	return s;
}

static char *unescape(const char *s, size_t n)
{
	char *out = tg_xcalloc(n + 1, 1), *o = out;
	const char *end = s + n;

	while (s < end) {
		if (s[0] == '&' && s[1] == '#') {
			*o++ = (char)strtol(s + 2, NULL, 10);
			s = strchr(s, ';') + 1;
		} else {
			*o++ = *s++;
		}
	}
	return out;
}

/* Returns the unescaped text from the next @prefix to a quote; advances *s. */
static char *next_quoted(const char **s, const char *prefix)
{
	const char *begin = strstr(*s, prefix);
	const char *end;

	if (!begin)
		return NULL;
	begin += strlen(prefix);
	end = strchr(begin, '"');
	*s = end;
	return unescape(begin, (size_t)(end - begin));
}

/* Builds the body that a browser would post: all inputs and selections. */
static char *build_form_body(const char *html)
{
	struct evbuffer *out = evbuffer_new();
	const char *s = html;

	while ((s = strstr(s, "name=\"/"))) {
		char *name = next_quoted(&s, "name=\"");
		bool is_choice = !strncmp(s, "\"><option", 9);
		const char *selected =
			is_choice ? strstr(s, " selected") : NULL;
		char *value;

		if (is_choice) {
			while (selected[-1] != '=' || selected[0] != '"')
				selected--;
			value = next_quoted(&selected, "\"");
		} else {
			value = next_quoted(&s, "value=\"");
		}
		add_encoded(out, name, value);
		free(name);
		free(value);
	}
	return evbuffer_to_text(out);
}

/*
 * Guards against settings that are lost or changed when a document is shown in
 * the form and posted unchanged.
 */
START_TEST(form_round_trip)
{
	static const char text[] =
		"{\"version\":1,\"weights\":{\"completion\":0},"
		"\"workspaces\":[{\"name\":\"courts\",\"max_in_flight\":0,"
		"\"rate_per_s\":200,\"guarantees\":[{\"az\":\"a\",\"tasks\":2,"
		"\"accelerators_per_task\":8,\"within_rack\":false,"
		"\"lapses\":\"2026-12-06T21:00:00Z\"},{\"az\":\"b\","
		"\"tasks\":1,\"accelerators_per_task\":1,"
		"\"within_rack\":true}]},{\"name\":\"w\"}],"
		"\"services\":[{\"name\":\"s\",\"workspaces\":[\"courts\","
		"\"w\"],\"azs\":[\"a\"],\"timeout_ms\":5000,\"queue\":0,"
		"\"idempotent_methods\":[],\"objective\":{\"availability\":"
		"0.99925,\"latency_ms\":200,\"latency_share\":0.1}}],"
		"\"drains\":[{\"worker\":\"w-1\"},{\"worker\":\"w-2\"}]}";
	struct session session = { .token = "t", .form_token = "f" };
	struct document_page page = { .session = &session };
	json_t *doc = json_loads(text, 0, NULL);
	char *html, *body, *round_trip;
	struct form form;

	ck_assert_ptr_nonnull(doc);
	page.doc = doc;
	html = render_page(&page);
	body = build_form_body(html);
	form_parse(body, &form);
	round_trip =
		json_dumps(form.doc, JSON_COMPACT | JSON_REAL_PRECISION(15));
	ck_assert_str_eq(round_trip, text);
	form_free(&form);
	free(round_trip);
	free(body);
	free(html);
	json_decref(doc);
}
END_TEST

/*
 * Guards against crashes on malformed names, indexes, encodings and
 * differences, and against input of a wrong type being dropped instead of kept
 * as a string.
 */
START_TEST(malformed_fields)
{
	static const struct {
		const char *body, *doc;
	} cases[] = {
		{ "", "{\"version\":1}" },
		{ "&&=&x&=y&%2F=1&//=2", "{\"version\":1}" },
		{ "/workspaces/1/name=a", "{\"version\":1,\"workspaces\":[]}" },
		{ "/workspaces/99999999999999999999/name=a",
		  "{\"version\":1,\"workspaces\":[]}" },
		{ "/workspaces/0/name=a&/workspaces/x/name=b",
		  "{\"version\":1,\"workspaces\":[{\"name\":\"a\"}]}" },
		{ "/weights=1&/weights/completion=2",
		  "{\"version\":1,\"weights\":\"1\"}" },
		{ "/a/b/c/d/e/f/g/h/i=1", "{\"version\":1}" },
		{ "/workspaces/0/name=%FF%FEa",
		  "{\"version\":1,\"workspaces\":[{\"name\":\"??a\"}]}" },
		{ "/workspaces/0/name=%00a",
		  "{\"version\":1,\"workspaces\":[{}]}" },
		{ "/workspaces/0/rate_per_s=+7+",
		  "{\"version\":1,\"workspaces\":[{\"rate_per_s\":7}]}" },
		{ "/workspaces/0/rate_per_s=[7]",
		  "{\"version\":1,\"workspaces\":[{\"rate_per_s\":\"[7]\"}]}" },
		{ "/drains/0/worker=w&take=1&take={&take={}",
		  "{\"version\":1,\"drains\":[{\"worker\":\"w\"}]}" },
		{ "/drains/0/worker=a&/drains/1/worker=b&/drains/2/worker=c"
		  "&take={\"place\":\"/drains/0\",\"ours\":1}"
		  "&take={\"place\":\"/drains/2\",\"ours\":1}",
		  "{\"version\":1,\"drains\":[{\"worker\":\"b\"}]}" },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		struct form form;
		char *text;

		form_parse(cases[i].body, &form);
		text = json_dumps(form.doc, JSON_COMPACT);
		ck_assert_str_eq(text, cases[i].doc);
		free(text);
		form_free(&form);
	}
}
END_TEST

/* Guards against wrong results of add and remove, also with bad pointers. */
START_TEST(add_and_remove_actions)
{
	static const struct {
		const char *action, *doc;
	} cases[] = {
		{ "add /drains",
		  "{\"version\":1,\"drains\":[{\"worker\":\"a\"},"
		  "{\"worker\":\"b\"},{}]}" },
		{ "add /workspaces",
		  "{\"version\":1,\"drains\":[{\"worker\":\"a\"},"
		  "{\"worker\":\"b\"}],\"workspaces\":[{}]}" },
		{ "add /workspaces/0/guarantees",
		  "{\"version\":1,\"drains\":[{\"worker\":\"a\"},"
		  "{\"worker\":\"b\"}],\"workspaces\":[{\"guarantees\":[{}]}]"
		  "}" },
		{ "remove /drains/0",
		  "{\"version\":1,\"drains\":[{\"worker\":\"b\"}]}" },
		{ "remove /drains/7",
		  "{\"version\":1,\"drains\":[{\"worker\":\"a\"},"
		  "{\"worker\":\"b\"}]}" },
		{ "remove /version",
		  "{\"version\":1,\"drains\":[{\"worker\":\"a\"},"
		  "{\"worker\":\"b\"}]}" },
		{ "add /version/x",
		  "{\"version\":1,\"drains\":[{\"worker\":\"a\"},"
		  "{\"worker\":\"b\"}]}" },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		struct evbuffer *body = evbuffer_new();
		struct form form;
		char *text;

		add_encoded(body, "/drains/0/worker", "a");
		add_encoded(body, "/drains/1/worker", "b");
		add_encoded(body, "do", cases[i].action);
		text = evbuffer_to_text(body);
		form_parse(text, &form);
		free(text);
		ck_assert(form_apply_action(&form));
		text = json_dumps(form.doc, JSON_COMPACT);
		ck_assert_str_eq(text, cases[i].doc);
		free(text);
		form_free(&form);
	}
}
END_TEST

/*
 * Guards against script injection: names and values of random forms are shown
 * in the page, and none may appear there as markup.
 */
START_TEST(fuzz_forms)
{
	static const char *const names[] = {
		"/workspaces/0/name",
		"/workspaces/1/name",
		"/workspaces/0/rate_per_s",
		"/workspaces/0/guarantees/0/lapses",
		"/workspaces/0",
		"/workspaces",
		"/services/0/workspaces",
		"/services/0/objective",
		"/services/0/objective/availability",
		"/drains/0/worker",
		"/weights",
		"/drains/-1/worker",
		"/weights/completion",
		"take",
		"do",
		"generation",
		"/<x>evil</x>",
	};
	static const char *const values[] = {
		"<x>evil</x>",
		"\"><x>",
		"'",
		"&lt;x>",
		"1e999",
		"-1",
		"a b",
		"none",
		"",
		"true",
		"[]",
		"\xff",
		"add /services",
		"remove /workspaces/0",
		"{\"place\":\"/workspaces/0/name\",\"theirs\":{\"a\":[]}}",
		"{\"place\":\"/workspaces\",\"theirs\":7}",
		"{\"place\":\"/services/0\",\"theirs\":\"<x>\"}",
		"{\"place\":\"/drains\"}",
	};
	struct session session = { .author = "<x>" };
	struct tg_rng r = { .state = (uint64_t)_i };
	int round;

	for (round = 0; round < ROUNDS; round++) {
		struct document_page page = { .session = &session,
					      .message = "<x>" };
		struct evbuffer *b = evbuffer_new();
		uint64_t fields = tg_rng_below(&r, 8);
		struct tg_findings f = { 0 };
		struct form form;
		char *body, *html, *text;

		while (fields--)
			add_encoded(
				b, names[tg_rng_below(&r, ARRAY_SIZE(names))],
				values[tg_rng_below(&r, ARRAY_SIZE(values))]);
		body = evbuffer_to_text(b);
		form_parse(body, &form);
		form_apply_action(&form);
		text = json_dumps(form.doc, JSON_COMPACT);
		ck_assert_ptr_nonnull(text);
		tg_doc_free(tg_doc_parse(text, strlen(text), &f));
		page.doc = form.doc;
		page.findings = &f;
		html = render_page(&page);
		ck_assert_msg(!strstr(html, "<x") && !strstr(html, "</x"), "%s",
			      body);
		tg_findings_free(&f);
		form_free(&form);
		free(text);
		free(html);
		free(body);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("console");
	TCase *c = tcase_create("console");

	tcase_set_timeout(c, 120);
	tcase_add_test(c, form_round_trip);
	tcase_add_test(c, malformed_fields);
	tcase_add_test(c, add_and_remove_actions);
	tcase_add_loop_test(c, fuzz_forms, 1, 5);
	suite_add_tcase(s, c);
	return run_suite(s);
}
