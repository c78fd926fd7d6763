#include <stdlib.h>
#include <string.h>

#include "doc/doc.h"
#include "http/http.h"
#include "../run.h"

#define WORKSPACE "{\"name\":\"courts\"}"
#define SERVICE(members)                                           \
	"{\"version\":1,\"workspaces\":[" WORKSPACE                \
	"],\"services\":[{\"name\":\"s\",\"workspaces\":[\"courts" \
	"\"],\"azs\":[\"a\"]," members "}]}"
#define GUARANTEE(members)                                            \
	"{\"version\":1,\"workspaces\":[{\"name\":\"w\",\"guarantees" \
	"\":[{" members "}]}]}"

static const char full_doc[] =
	"{\"version\":1,\"weights\":{\"completion\":70,\"fragmentation\":30},"
	"\"workspaces\":[{\"name\":\"courts\",\"max_in_flight\":64,"
	"\"rate_per_s\":200,\"quota_accelerators\":64,\"guarantees\":[{"
	"\"az\":\"marmara-a\",\"tasks\":2,\"accelerators_per_task\":8,"
	"\"within_rack\":true,\"lapses\":\"2026-12-06T21:00:00Z\"}]},"
	"{\"name\":\"clerks\"}],"
	"\"services\":[{\"name\":\"responder\",\"workspaces\":[\"courts\"],"
	"\"azs\":[\"marmara-a\"],\"timeout_ms\":5000,\"queue\":128,"
	"\"idempotent_methods\":[\"GET\",\"HEAD\"],\"objective\":{"
	"\"availability\":0.999,\"latency_ms\":200,\"latency_share\":0.99}}],"
	"\"drains\":[{\"worker\":\"w-17\"}]}";

static struct tg_doc *parse(const char *text, struct tg_findings *f)
{
	return tg_doc_parse(text, strlen(text), f);
}

static char *join_findings(const struct tg_findings *f)
{
	char *out = tg_xstrdup("");
	size_t i;

	for (i = 0; i < f->n; i++) {
		char *next = tg_xasprintf("%s%s: %s\n", out, f->items[i].place,
					  f->items[i].text);

		free(out);
		out = next;
	}
	return out;
}

/* A field that is ignored or misread would disable what it configures. */
START_TEST(reads_every_field)
{
	struct tg_findings f = { 0 };
	struct tg_doc *d = parse(full_doc, &f);
	const struct tg_workspace *w;
	const struct tg_service *s;

	ck_assert_ptr_nonnull(d);
	ck_assert_uint_eq(f.n, 0);
	ck_assert_int_eq(d->weight_completion, 70);
	ck_assert_int_eq(d->weight_fragmentation, 30);
	w = tg_doc_workspace(d, "courts");
	ck_assert_int_eq(w->max_in_flight, 64);
	ck_assert_int_eq(w->rate_per_s, 200);
	ck_assert_int_eq(w->quota_accelerators, 64);
	ck_assert_uint_eq(w->n_guarantees, 1);
	ck_assert_str_eq(w->guarantees[0].az, "marmara-a");
	ck_assert_int_eq(w->guarantees[0].tasks, 2);
	ck_assert_int_eq(w->guarantees[0].accelerators_per_task, 8);
	ck_assert(w->guarantees[0].within_rack);
	ck_assert_int_eq(w->guarantees[0].lapses_wall_ms, 1796590800000);
	s = tg_doc_service(d, "responder");
	ck_assert_int_eq(s->timeout_ms, 5000);
	ck_assert_int_eq(s->queue, 128);
	ck_assert_uint_eq(s->idempotent_methods,
			  EVHTTP_REQ_GET | EVHTTP_REQ_HEAD);
	ck_assert_double_eq(s->availability, 0.999);
	ck_assert_double_eq(s->latency_share, 0.99);
	ck_assert_int_eq(s->latency_ms, 200);
	ck_assert(tg_service_allows(s, "courts"));
	ck_assert(!tg_service_allows(s, "clerks"));
	ck_assert(tg_service_in_az(s, "marmara-a"));
	ck_assert(!tg_service_in_az(s, "ege-a"));
	ck_assert(tg_doc_drains_worker(d, "w-17"));
	ck_assert(!tg_doc_drains_worker(d, "w-1"));
	ck_assert_ptr_null(tg_doc_workspace(d, "nobody"));
	ck_assert_ptr_null(tg_doc_service(d, "nothing"));
	ck_assert_str_eq(d->text, full_doc);
	ck_assert_uint_eq(d->text_bytes, strlen(full_doc));
	tg_doc_free(d);
}
END_TEST

/* Defaults are part of the schema in docs/document.md. */
START_TEST(fills_in_defaults)
{
	static const char text[] =
		"{\"version\":1,\"workspaces\":[{\"name\":\"w\",\"guarantees\":"
		"[{\"az\":\"a\",\"tasks\":1,\"accelerators_per_task\":1}]}],"
		"\"services\":[{\"name\":\"s\",\"workspaces\":[\"w\"],"
		"\"azs\":[\"a\"]}]}";
	struct tg_findings f = { 0 };
	struct tg_doc *d = parse(text, &f);
	const struct tg_service *s;

	ck_assert_ptr_nonnull(d);
	ck_assert_int_eq(d->weight_completion, 50);
	ck_assert_int_eq(d->weight_fragmentation, 50);
	ck_assert_int_eq(d->workspaces[0].max_in_flight, 0);
	ck_assert(!d->workspaces[0].guarantees[0].within_rack);
	ck_assert_int_eq(d->workspaces[0].guarantees[0].lapses_wall_ms,
			 INT64_MAX);
	s = &d->services[0];
	ck_assert_int_eq(s->timeout_ms, 10000);
	ck_assert_int_eq(s->queue, 256);
	ck_assert_uint_eq(s->idempotent_methods,
			  EVHTTP_REQ_GET | EVHTTP_REQ_HEAD |
				  EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PUT |
				  EVHTTP_REQ_DELETE);
	ck_assert_double_eq(s->availability, 0);
	ck_assert_int_eq(s->latency_ms, 0);
	tg_doc_free(d);
}
END_TEST

#define NAME_RULE "must match [a-z0-9][a-z0-9-]{0,62}"
#define INSTANT "must be a UTC instant like 2026-12-06T21:00:00Z"

static const struct {
	const char *text, *findings;
} invalid_docs[] = {
	{ "", ": line 1, column 0: '[' or '{' expected near end of file\n" },
	{ "[]", ": must be an object\n" },
	{ "{}", "/version: is required\n" },
	{ "{\"version\":2}", "/version: must be from 1 to 1\n" },
	{ "{\"version\":1.0}", "/version: must be an integer\n" },
	{ "{\"version\":\"1\"}", "/version: must be an integer\n" },
	{ "{\"version\":1,\"version\":1}",
	  ": line 1, column 22: duplicate object key near '\"version\"'\n" },
	{ "{\"version\":1} x",
	  ": line 1, column 15: end of file expected near 'x'\n" },
	{ "{\"version\":1,\"weight\":1,\"a/b~c\":{\"d\":1}}",
	  "/weight: unknown key\n/a~1b~0c: unknown key\n" },
	{ "{\"version\":1,\"weights\":[],\"workspaces\":{},"
	  "\"services\":1,\"drains\":null}",
	  "/weights: must be an object\n/workspaces: must be an array\n"
	  "/services: must be an array\n/drains: must be an array\n" },
	{ "{\"version\":1,\"weights\":{\"completion\":101,"
	  "\"fragmentation\":-1,\"speed\":1}}",
	  "/weights/speed: unknown key\n"
	  "/weights/completion: must be from 0 to 100\n"
	  "/weights/fragmentation: must be from 0 to 100\n" },
	{ "{\"version\":1,\"weights\":{\"completion\":0,"
	  "\"fragmentation\":0}}",
	  "/weights: one weight must be above 0\n" },
	{ "{\"version\":1,\"workspaces\":[1,{},{\"name\":\"A\"},"
	  "{\"name\":\"-a\"},{\"name\":7}]}",
	  "/workspaces/0: must be an object\n"
	  "/workspaces/1/name: is required\n"
	  "/workspaces/2/name: " NAME_RULE "\n"
	  "/workspaces/3/name: " NAME_RULE "\n"
	  "/workspaces/4/name: must be a string\n" },
	{ "{\"version\":1,\"workspaces\":[{\"name\":\"w\"},"
	  "{\"name\":\"x\",\"max_in_flight\":-5,\"rate_per_s\":2000000,"
	  "\"quota_accelerators\":1e3},{\"name\":\"w\"}]}",
	  "/workspaces/1/max_in_flight: must be from 0 to 1000000\n"
	  "/workspaces/1/rate_per_s: must be from 0 to 1000000\n"
	  "/workspaces/1/quota_accelerators: must be an integer\n"
	  "/workspaces/2/name: same name as /workspaces/0\n" },
	/* jansson stops at an integer beyond 64 bits; the parser must not. */
	{ "{\"version\":1,\"workspaces\":[{\"name\":\"w\",\"rate_per_s\":"
	  "99999999999999999999999,\"max_in_flight\":-1}]}",
	  "/workspaces/0/max_in_flight: must be from 0 to 1000000\n"
	  "/workspaces/0/rate_per_s: must be from 0 to 1000000\n" },
	{ "{\"version\":1,\"workspaces\":[{\"name\":\"w\",\"rate_per_s\":"
	  "1e999}]}",
	  ": line 1, column 57: real number overflow near '1e999'\n" },
	{ GUARANTEE("\"az\":\"a\",\"tasks\":0,\"accelerators_per_task\":65"),
	  "/workspaces/0/guarantees/0/tasks: must be from 1 to 1024\n"
	  "/workspaces/0/guarantees/0/accelerators_per_task: "
	  "must be from 1 to 64\n" },
	{ GUARANTEE("\"zone\":\"a\""),
	  "/workspaces/0/guarantees/0/zone: unknown key\n"
	  "/workspaces/0/guarantees/0/az: is required\n"
	  "/workspaces/0/guarantees/0/tasks: is required\n"
	  "/workspaces/0/guarantees/0/accelerators_per_task: is required\n" },
	{ GUARANTEE("\"az\":\"a\",\"tasks\":1,\"accelerators_per_task\":1,"
		    "\"within_rack\":1,\"lapses\":\"2026-02-30T00:00:00Z\""),
	  "/workspaces/0/guarantees/0/within_rack: must be true or false\n"
	  "/workspaces/0/guarantees/0/lapses: " INSTANT "\n" },
	/* Ambiguous forms that strptime() accepts. */
	{ GUARANTEE("\"az\":\"a\",\"tasks\":1,\"accelerators_per_task\":1,"
		    "\"lapses\":\"2026-12-6T21:00:00Z\""),
	  "/workspaces/0/guarantees/0/lapses: " INSTANT "\n" },
	{ GUARANTEE("\"az\":\"a\",\"tasks\":1,\"accelerators_per_task\":1,"
		    "\"lapses\":\"2026-12-06T21:00:60Z\""),
	  "/workspaces/0/guarantees/0/lapses: " INSTANT "\n" },
	{ GUARANTEE("\"az\":\"a\",\"tasks\":1,\"accelerators_per_task\":1,"
		    "\"lapses\":null"),
	  "/workspaces/0/guarantees/0/lapses: " INSTANT "\n" },
	{ "{\"version\":1,\"services\":[{}]}",
	  "/services/0/name: is required\n"
	  "/services/0/workspaces: is required\n"
	  "/services/0/azs: is required\n" },
	{ "{\"version\":1,\"workspaces\":[" WORKSPACE "],\"services\":["
	  "{\"name\":\"s\",\"workspaces\":[\"courts\",\"nobody\","
	  "\"courts\"],\"azs\":[]},{\"name\":\"s\",\"workspaces\":"
	  "[\"courts\"],\"azs\":[\"a\",3,\"a\"]}]}",
	  "/services/0/workspaces/2: same as item 0\n"
	  "/services/0/workspaces/1: no workspace has this name\n"
	  "/services/0/azs: must have at least one item\n"
	  "/services/1/azs/1: must be a string\n"
	  "/services/1/azs/2: same as item 0\n"
	  "/services/1/name: same name as /services/0\n" },
	{ SERVICE("\"timeout_ms\":0,\"queue\":-1,\"idempotent_methods\":"
		  "[\"GET\",\"get\",\"GET\"]"),
	  "/services/0/timeout_ms: must be from 1 to 60000\n"
	  "/services/0/queue: must be from 0 to 65536\n"
	  "/services/0/idempotent_methods/1: must be GET, HEAD, OPTIONS, "
	  "PUT, DELETE, POST or PATCH\n"
	  "/services/0/idempotent_methods/2: occurs twice\n" },
	{ SERVICE("\"objective\":{\"availability\":1,\"latency_ms\":5}"),
	  "/services/0/objective/availability: "
	  "must be from 0 to less than 1\n"
	  "/services/0/objective: latency_ms and latency_share need each "
	  "other\n" },
	{ SERVICE("\"objective\":{\"availability\":\"x\",\"latency_ms\":0,"
		  "\"latency_share\":-0.5}"),
	  "/services/0/objective/availability: must be a number\n"
	  "/services/0/objective/latency_ms: must be from 1 to 60000\n"
	  "/services/0/objective/latency_share: "
	  "must be from 0 to less than 1\n" },
	{ "{\"version\":1,\"drains\":[{\"worker\":\"w-1\"},\"w-2\","
	  "{\"worker\":\"w-1\"},{}]}",
	  "/drains/1: must be an object\n"
	  "/drains/2/worker: same worker as /drains/0\n"
	  "/drains/3/worker: is required\n" },
};

/* If only the first error were reported, each would take another save. */
START_TEST(reports_all_findings)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(invalid_docs); i++) {
		struct tg_findings f = { 0 };
		struct tg_doc *d = parse(invalid_docs[i].text, &f);
		char *got = join_findings(&f);

		ck_assert_msg(!d, "accepted: %s", invalid_docs[i].text);
		ck_assert_str_eq(got, invalid_docs[i].findings);
		free(got);
		tg_findings_free(&f);
	}
}
END_TEST

/* Findings are sent as JSON, which can't contain invalid UTF-8. */
START_TEST(refuses_invalid_utf8)
{
	static const char *const texts[] = {
		"{\"version\":1,\"\xff\":1}",
		"{\"version\":1,\"workspaces\":[{\"name\":\"\xc3(\"}]}",
		"{\"version\":1,\"workspaces\":[{\"name\":\"\xed\xa0\x80\"}]}",
		"{\"version\":1,\"workspaces\":[{\"name\":\"a\\u0000b\"}]}",
		"\xff\xfe{",
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(texts); i++) {
		struct tg_findings f = { 0 };
		json_t *list;

		ck_assert_ptr_null(parse(texts[i], &f));
		ck_assert_uint_eq(f.n, 1);
		list = tg_http_findings_to_json(&f);
		ck_assert_uint_eq(
			json_array_size(json_object_get(list, "findings")), 1);
		json_decref(list);
		tg_findings_free(&f);
	}
}
END_TEST

/* @item is a printf format with a %d for the number of the item. */
static char *doc_with_items(const char *head, const char *item, size_t n,
			    const char *tail)
{
	size_t size = strlen(head) + n * (strlen(item) + 12) + strlen(tail) + 1;
	char *text = tg_xcalloc(size, 1), *end = text;
	size_t i;

	end += sprintf(end, "%s", head);
	for (i = 0; i < n; i++) {
		end += sprintf(end, "%s", i ? "," : "");
		end += sprintf(end, item, (int)i);
	}
	sprintf(end, "%s", tail);
	return text;
}

/* Truncation inside a character would make the finding invalid UTF-8. */
START_TEST(truncates_long_keys)
{
	char text[2048];
	struct tg_findings f = { 0 };
	json_t *list;
	int n = sprintf(text, "{\"version\":1,\"a"), i;

	for (i = 0; i < 900; i++)
		n += sprintf(text + n, "\xc3\xa9");
	sprintf(text + n, "\":1}");
	ck_assert_ptr_null(parse(text, &f));
	ck_assert_uint_eq(f.n, 1);
	ck_assert_uint_lt(strlen(f.items[0].place), 80);
	list = tg_http_findings_to_json(&f);
	ck_assert_uint_eq(json_array_size(json_object_get(list, "findings")),
			  1);
	json_decref(list);
	tg_findings_free(&f);
}
END_TEST

/* Without limits, one document could exhaust the memory of all daemons. */
START_TEST(refuses_too_many_items)
{
	static const struct {
		const char *head, *item, *tail, *finding;
		size_t max_items;
	} cases[] = {
		{ "{\"version\":1,\"workspaces\":[", "{\"name\":\"w%d\"}", "]}",
		  "/workspaces: has 513 items, at most 512\n",
		  TG_DOC_WORKSPACES_MAX },
		{ "{\"version\":1,\"workspaces\":[" WORKSPACE
		  "],\"services\":[",
		  "{\"name\":\"s%d\",\"workspaces\":[\"courts\"],"
		  "\"azs\":[\"a\"]}",
		  "]}", "/services: has 513 items, at most 512\n",
		  TG_DOC_SERVICES_MAX },
		{ "{\"version\":1,\"drains\":[", "{\"worker\":\"w%d\"}", "]}",
		  "/drains: has 1025 items, at most 1024\n",
		  TG_DOC_DRAINS_MAX },
		{ "{\"version\":1,\"workspaces\":[{\"name\":\"w\","
		  "\"guarantees\":[",
		  "{\"az\":\"a%d\",\"tasks\":1,\"accelerators_per_task\":1}",
		  "]}]}",
		  "/workspaces/0/guarantees: has 65 items, at most 64\n",
		  TG_DOC_GUARANTEES_MAX },
		{ "{\"version\":1,\"workspaces\":[" WORKSPACE "],\"services\":["
		  "{\"name\":\"s\",\"workspaces\":[\"courts\"],\"azs\":[",
		  "\"a%d\"", "]}]}",
		  "/services/0/azs: has 65 items, at most 64\n",
		  TG_DOC_AZS_MAX },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		struct tg_findings f = { 0 };
		char *text = doc_with_items(cases[i].head, cases[i].item,
					    cases[i].max_items, cases[i].tail);
		struct tg_doc *d = parse(text, &f);
		char *got;

		ck_assert_ptr_nonnull(d);
		tg_doc_free(d);
		free(text);
		text = doc_with_items(cases[i].head, cases[i].item,
				      cases[i].max_items + 1, cases[i].tail);
		ck_assert_ptr_null(parse(text, &f));
		got = join_findings(&f);
		ck_assert_str_eq(got, cases[i].finding);
		free(got);
		free(text);
		tg_findings_free(&f);
	}
}
END_TEST

START_TEST(refuses_too_long_text)
{
	char *text = tg_xcalloc(TG_DOC_BYTES_MAX + 2, 1);
	struct tg_findings f = { 0 };
	struct tg_doc *d;

	memset(text, ' ', TG_DOC_BYTES_MAX + 1);
	memcpy(text, full_doc, sizeof(full_doc) - 1);
	d = tg_doc_parse(text, TG_DOC_BYTES_MAX, &f);
	ck_assert_ptr_nonnull(d);
	tg_doc_free(d);
	ck_assert_ptr_null(tg_doc_parse(text, TG_DOC_BYTES_MAX + 1, &f));
	ck_assert_uint_eq(f.n, 1);
	ck_assert_str_eq(f.items[0].text, "has 262145 bytes, at most 262144");
	tg_findings_free(&f);
	free(text);
}
END_TEST

/* Deep nesting must not exhaust the stack. */
START_TEST(refuses_deep_nesting)
{
	char *text = tg_xcalloc(TG_DOC_BYTES_MAX + 1, 1);
	struct tg_findings f = { 0 };

	memset(text, '[', TG_DOC_BYTES_MAX);
	ck_assert_ptr_null(tg_doc_parse(text, TG_DOC_BYTES_MAX, &f));
	ck_assert_uint_eq(f.n, 1);
	tg_findings_free(&f);
	free(text);
}
END_TEST

/* The digest of a text must be the same in every process and release. */
START_TEST(digest_is_stable)
{
	char a[17], b[17];

	tg_doc_digest("{}", 2, a);
	tg_doc_digest("{ }", 3, b);
	ck_assert_uint_eq(strlen(a), 16);
	ck_assert_str_ne(a, b);
	tg_doc_digest("", 0, a);
	ck_assert_str_eq(a, "ef46db3751d8e999");
}
END_TEST

/*
 * Matched by index instead of name, one inserted workspace would show all
 * later ones as changed and hide the actual changes of the other operator.
 */
START_TEST(diff_matches_by_name)
{
	static const char ours[] =
		"{\"version\":1,\"workspaces\":[{\"name\":\"a\",\"rate_per_s"
		"\":1},{\"name\":\"b\"}],\"drains\":[{\"worker\":\"w-1\"}]}";
	static const char theirs[] =
		"{\"version\":1,\"workspaces\":[{\"name\":\"c\"},{\"name\":"
		"\"b\"},{\"name\":\"a\",\"rate_per_s\":2}],\"drains\":["
		"{\"worker\":\"w-1\"}],\"weights\":{\"completion\":1}}";
	static const char expected[] =
		"[{\"place\":\"/workspaces/0/rate_per_s\",\"name\":\"a\","
		"\"ours\":1,\"theirs\":2},"
		"{\"place\":\"/workspaces/0\",\"name\":\"c\","
		"\"theirs\":{\"name\":\"c\"}},"
		"{\"place\":\"/weights\",\"theirs\":{\"completion\":1}}]";
	json_t *a = json_loads(ours, 0, NULL), *b = json_loads(theirs, 0, NULL);
	json_t *diff = tg_doc_diff(a, b);
	char *text = json_dumps(diff, JSON_COMPACT);

	ck_assert_str_eq(text, expected);
	free(text);
	json_decref(diff);
	diff = tg_doc_diff(a, a);
	ck_assert_uint_eq(json_array_size(diff), 0);
	json_decref(diff);
	json_decref(a);
	json_decref(b);
}
END_TEST

#define BYTE_ROUNDS 4000
#define VALUE_ROUNDS 4000

static void check_parse_and_diff(const char *text, size_t n)
{
	struct tg_findings f = { 0 };
	struct tg_doc *d = tg_doc_parse(text, n, &f);
	json_t *list;

	ck_assert_msg(!d == !!f.n, "%s", text);
	list = tg_http_findings_to_json(&f);
	ck_assert_uint_eq(json_array_size(json_object_get(list, "findings")),
			  f.n);
	json_decref(list);
	if (d) {
		list = tg_doc_diff(d->json, d->json);
		ck_assert_uint_eq(json_array_size(list), 0);
		json_decref(list);
	}
	tg_doc_free(d);
	tg_findings_free(&f);
}

static void mutate_bytes(struct tg_rng *r, char *text, size_t *n)
{
	uint64_t edits = 1 + tg_rng_below(r, 4);

	while (edits-- && *n) {
		size_t at = tg_rng_below(r, *n);

		switch (tg_rng_below(r, 4)) {
		case 0:
			text[at] = (char)tg_rng_next(r);
			break;
		case 1:
			text[at] = "{}[]\",:-0eE.\\"[tg_rng_below(r, 13)];
			break;
		case 2:
			memmove(text + at, text + at + 1, *n - at - 1);
			(*n)--;
			break;
		default:
			*n = at;
			break;
		}
	}
}

/* Documents come from peers and objects: no input may crash the parser. */
START_TEST(fuzz_bytes)
{
	char text[sizeof(full_doc)];
	struct tg_rng r = { .state = (uint64_t)_i };
	int round;

	for (round = 0; round < BYTE_ROUNDS; round++) {
		size_t n = strlen(full_doc);

		memcpy(text, full_doc, sizeof(full_doc));
		mutate_bytes(&r, text, &n);
		check_parse_and_diff(text, n);
	}
}
END_TEST

static json_t *random_value(struct tg_rng *r)
{
	static const char *const texts[] = {
		"null",
		"true",
		"[]",
		"{}",
		"\"\"",
		"\"a\"",
		"-1",
		"0",
		"1",
		"2147483648",
		"-2147483649",
		"9223372036854775807",
		"1e308",
		"-0.0",
		"0.5",
		"[[],{}]",
		"{\"name\":\"a\"}",
		"[\"courts\",1]",
		"{\"a/~b\":[null]}",
		"\"\\u00e9\\n<&\"",
	};

	return json_loads(texts[tg_rng_below(r, ARRAY_SIZE(texts))],
			  JSON_DECODE_ANY, NULL);
}

/* Replaces, deletes or adds one value somewhere below @v. */
static void mutate_value(struct tg_rng *r, json_t *v)
{
	size_t n = json_is_object(v) ? json_object_size(v) : json_array_size(v);
	size_t pick = tg_rng_below(r, n + 1), i = 0;
	const char *key;
	json_t *member = NULL;
	bool deeper = tg_rng_below(r, 3) > 0;

	if (json_is_array(v)) {
		member = json_array_get(v, pick);
		if (deeper && (json_is_array(member) || json_is_object(member)))
			mutate_value(r, member);
		else if (!member)
			json_array_append_new(v, random_value(r));
		else if (tg_rng_below(r, 2))
			json_array_set_new(v, pick, random_value(r));
		else
			json_array_append(v, member);
		return;
	}
	json_object_foreach(v, key, member) {
		if (i++ == pick)
			break;
	}
	if (pick == n)
		json_object_set_new(v, "extra", random_value(r));
	else if (deeper && (json_is_array(member) || json_is_object(member)))
		mutate_value(r, member);
	else if (tg_rng_below(r, 4))
		json_object_set_new(v, key, random_value(r));
	else
		json_object_del(v, key);
}

/* Valid JSON of any structure must not crash the parser either. */
START_TEST(fuzz_values)
{
	struct tg_rng r = { .state = (uint64_t)_i + 1000 };
	int round;

	for (round = 0; round < VALUE_ROUNDS; round++) {
		json_t *v = json_loads(full_doc, 0, NULL);
		uint64_t edits = 1 + tg_rng_below(&r, 3);
		char *text;

		while (edits--)
			mutate_value(&r, v);
		text = json_dumps(v, JSON_COMPACT);
		check_parse_and_diff(text, strlen(text));
		free(text);
		json_decref(v);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("doc");
	TCase *c = tcase_create("doc");

	tcase_set_timeout(c, 120);
	tcase_add_test(c, reads_every_field);
	tcase_add_test(c, fills_in_defaults);
	tcase_add_test(c, reports_all_findings);
	tcase_add_test(c, refuses_invalid_utf8);
	tcase_add_test(c, truncates_long_keys);
	tcase_add_test(c, refuses_too_many_items);
	tcase_add_test(c, refuses_too_long_text);
	tcase_add_test(c, refuses_deep_nesting);
	tcase_add_test(c, digest_is_stable);
	tcase_add_test(c, diff_matches_by_name);
	tcase_add_loop_test(c, fuzz_bytes, 1, 6);
	tcase_add_loop_test(c, fuzz_values, 1, 6);
	suite_add_tcase(s, c);
	return run_suite(s);
}
