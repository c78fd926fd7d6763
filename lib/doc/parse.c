#include <stdlib.h>
#include <string.h>

#include "doc/reader.h"
#include "http/http.h"

/*
 * Upper limits of the fields.  They are far above the capacity target of
 * docs/CAPACITY.md and keep the products that the daemons calculate from them
 * below 2^31.
 */
#define REQUEST_LIMIT_MAX 1000000
#define ACCELERATORS_MAX 1000000
#define GUARANTEE_TASKS_MAX 1024
#define ACCELERATORS_PER_TASK_MAX 64
#define TIMEOUT_MS_MAX 60000 /* the longest deadline a caller can set */
#define QUEUE_MAX 65536

/* Defaults of optional fields */
#define WEIGHT_DEFAULT 50
#define TIMEOUT_MS_DEFAULT 10000
#define QUEUE_DEFAULT 256
#define IDEMPOTENT_METHODS_MAX 7
#define IDEMPOTENT_METHODS_DEFAULT                               \
	(EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_OPTIONS | \
	 EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE)

static void read_version(struct reader *r, const json_t *v)
{
	static const struct int_field version = { "version", 1, 1, 1, true };

	reader_get_int(r, v, &version);
}

static void read_weights(struct reader *r, const json_t *v, struct tg_doc *d)
{
	static const char *const keys[] = { "completion", "fragmentation",
					    NULL };
	static const struct int_field completion = { "completion", 0, 100,
						     WEIGHT_DEFAULT, false };
	static const struct int_field fragmentation = { "fragmentation", 0, 100,
							WEIGHT_DEFAULT, false };
	size_t saved_len;

	d->weight_completion = WEIGHT_DEFAULT;
	d->weight_fragmentation = WEIGHT_DEFAULT;
	if (!v)
		return;
	saved_len = reader_push_key(r, "weights");
	if (reader_check_object(r, v, keys)) {
		d->weight_completion = reader_get_int(r, v, &completion);
		d->weight_fragmentation = reader_get_int(r, v, &fragmentation);
		if (!d->weight_completion && !d->weight_fragmentation)
			reader_add_finding(r, "one weight must be above 0");
	}
	reader_pop(r, saved_len);
}

/*
 * Accepts only the canonical form of a UTC time, which is the one that
 * formatting the parsed time gives again.
 */
static void read_lapses(struct reader *r, const json_t *v, int64_t *wall_ms)
{
	const char *s = json_string_value(v);
	size_t saved_len;
	char canonical[32];

	*wall_ms = INT64_MAX;
	if (!v)
		return;
	if (s && !tg_parse_utc(s, wall_ms)) {
		tg_format_utc(*wall_ms, canonical, sizeof(canonical));
		if (!strcmp(s, canonical))
			return;
	}
	saved_len = reader_push_key(r, "lapses");
	reader_add_finding(r,
			   "must be a UTC instant like 2026-12-06T21:00:00Z");
	reader_pop(r, saved_len);
}

static void read_guarantee(struct reader *r, const json_t *v,
			   struct tg_guarantee_spec *g)
{
	static const char *const keys[] = {
		"az",	       "tasks",	 "accelerators_per_task",
		"within_rack", "lapses", NULL
	};
	static const struct int_field tasks = { "tasks", 1, GUARANTEE_TASKS_MAX,
						1, true };
	static const struct int_field per_task = { "accelerators_per_task", 1,
						   ACCELERATORS_PER_TASK_MAX, 1,
						   true };

	if (!reader_check_object(r, v, keys))
		return;
	reader_get_name(r, v, "az", g->az);
	g->tasks = reader_get_int(r, v, &tasks);
	g->accelerators_per_task = reader_get_int(r, v, &per_task);
	g->within_rack = reader_get_bool(r, v, "within_rack", false);
	read_lapses(r, json_object_get(v, "lapses"), &g->lapses_wall_ms);
}

static void read_guarantees(struct reader *r, const json_t *v,
			    struct tg_workspace *w)
{
	json_t *list;
	size_t n = reader_get_array(r, v, "guarantees", TG_DOC_GUARANTEES_MAX,
				    false, &list);
	size_t saved_len = reader_push_key(r, "guarantees"), item_saved_len, i;

	w->guarantees = tg_xcalloc(n + 1, sizeof(*w->guarantees));
	w->n_guarantees = n;
	for (i = 0; i < n; i++) {
		item_saved_len = reader_push_index(r, i);
		read_guarantee(r, json_array_get(list, i), &w->guarantees[i]);
		reader_pop(r, item_saved_len);
	}
	reader_pop(r, saved_len);
}

static void read_workspace(struct reader *r, const json_t *v,
			   struct tg_workspace *w)
{
	static const char *const keys[] = { "name",	  "max_in_flight",
					    "rate_per_s", "quota_accelerators",
					    "guarantees", NULL };
	static const struct int_field max_in_flight = { "max_in_flight", 0,
							REQUEST_LIMIT_MAX, 0,
							false };
	static const struct int_field rate_per_s = { "rate_per_s", 0,
						     REQUEST_LIMIT_MAX, 0,
						     false };
	static const struct int_field quota_accelerators = {
		"quota_accelerators", 0, ACCELERATORS_MAX, 0, false
	};

	if (!reader_check_object(r, v, keys))
		return;
	reader_get_name(r, v, "name", w->name);
	w->max_in_flight = reader_get_int(r, v, &max_in_flight);
	w->rate_per_s = reader_get_int(r, v, &rate_per_s);
	w->quota_accelerators = reader_get_int(r, v, &quota_accelerators);
	read_guarantees(r, v, w);
}

static void check_workspace_name_unique(struct reader *r,
					const struct tg_doc *d, size_t i)
{
	size_t saved_len, k;

	for (k = 0; k < i && *d->workspaces[i].name; k++) {
		if (strcmp(d->workspaces[k].name, d->workspaces[i].name) != 0)
			continue;
		saved_len = reader_push_key(r, "name");
		reader_add_finding(r, "same name as /workspaces/%zu", k);
		reader_pop(r, saved_len);
		return;
	}
}

static void read_workspaces(struct reader *r, const json_t *v, struct tg_doc *d)
{
	json_t *list;
	size_t n = reader_get_array(r, v, "workspaces", TG_DOC_WORKSPACES_MAX,
				    false, &list);
	size_t saved_len = reader_push_key(r, "workspaces"), item_saved_len, i;

	d->workspaces = tg_xcalloc(n + 1, sizeof(*d->workspaces));
	d->n_workspaces = n;
	for (i = 0; i < n; i++) {
		item_saved_len = reader_push_index(r, i);
		read_workspace(r, json_array_get(list, i), &d->workspaces[i]);
		check_workspace_name_unique(r, d, i);
		reader_pop(r, item_saved_len);
	}
	reader_pop(r, saved_len);
}

typedef char doc_name[TG_NAME_MAX + 1];

/* Reads a required array of unique names. */
static size_t read_names(struct reader *r, const json_t *v, const char *key,
			 size_t max, doc_name **out)
{
	json_t *list;
	size_t n = reader_get_array(r, v, key, max, true, &list);
	size_t saved_len = reader_push_key(r, key), item_saved_len, i, k;

	*out = tg_xcalloc(n + 1, sizeof(**out));
	for (i = 0; i < n; i++) {
		item_saved_len = reader_push_index(r, i);
		reader_copy_name(r, json_array_get(list, i), (*out)[i]);
		for (k = 0; k < i && *(*out)[i]; k++)
			if (!strcmp((*out)[k], (*out)[i])) {
				reader_add_finding(r, "same as item %zu", k);
				break;
			}
		reader_pop(r, item_saved_len);
	}
	reader_pop(r, saved_len);
	return n;
}

static void check_workspaces_exist(struct reader *r, const struct tg_doc *d,
				   const struct tg_service *s)
{
	size_t saved_len = reader_push_key(r, "workspaces"), item_saved_len, i;

	for (i = 0; i < s->n_workspaces; i++) {
		if (!*s->workspaces[i] || tg_doc_workspace(d, s->workspaces[i]))
			continue;
		item_saved_len = reader_push_index(r, i);
		reader_add_finding(r, "no workspace has this name");
		reader_pop(r, item_saved_len);
	}
	reader_pop(r, saved_len);
}

static uint16_t read_idempotent_methods(struct reader *r, const json_t *v)
{
	json_t *list;
	size_t n = reader_get_array(r, v, "idempotent_methods",
				    IDEMPOTENT_METHODS_MAX, false, &list);
	size_t saved_len, item_saved_len, i;
	uint16_t methods = 0;

	if (!list)
		return IDEMPOTENT_METHODS_DEFAULT;
	saved_len = reader_push_key(r, "idempotent_methods");
	for (i = 0; i < n; i++) {
		const char *s = json_string_value(json_array_get(list, i));
		uint16_t method = s ? (uint16_t)tg_http_parse_method(s) : 0;

		item_saved_len = reader_push_index(r, i);
		if (!method)
			reader_add_finding(r,
					   "must be GET, HEAD, OPTIONS, PUT, "
					   "DELETE, POST or PATCH");
		else if (methods & method)
			reader_add_finding(r, "occurs twice");
		methods |= method;
		reader_pop(r, item_saved_len);
	}
	reader_pop(r, saved_len);
	return methods;
}

static void read_objective(struct reader *r, const json_t *v,
			   struct tg_service *s)
{
	static const char *const keys[] = { "availability", "latency_ms",
					    "latency_share", NULL };
	static const struct int_field latency = { "latency_ms", 1,
						  TIMEOUT_MS_MAX, 0, false };
	size_t saved_len;

	if (!v)
		return;
	saved_len = reader_push_key(r, "objective");
	if (reader_check_object(r, v, keys)) {
		s->availability = reader_get_fraction(r, v, "availability", 0);
		s->latency_ms = reader_get_int(r, v, &latency);
		s->latency_share =
			reader_get_fraction(r, v, "latency_share", 0);
		if (!json_object_get(v, "latency_ms") !=
		    !json_object_get(v, "latency_share"))
			reader_add_finding(r,
					   "latency_ms and latency_share need "
					   "each other");
	}
	reader_pop(r, saved_len);
}

static void read_service(struct reader *r, const json_t *v,
			 const struct tg_doc *d, struct tg_service *s)
{
	static const char *const keys[] = { "name",	 "workspaces",
					    "azs",	 "timeout_ms",
					    "queue",	 "idempotent_methods",
					    "objective", NULL };
	static const struct int_field timeout = { "timeout_ms", 1,
						  TIMEOUT_MS_MAX,
						  TIMEOUT_MS_DEFAULT, false };
	static const struct int_field queue = { "queue", 0, QUEUE_MAX,
						QUEUE_DEFAULT, false };

	if (!reader_check_object(r, v, keys))
		return;
	reader_get_name(r, v, "name", s->name);
	s->n_workspaces = read_names(r, v, "workspaces", TG_DOC_WORKSPACES_MAX,
				     &s->workspaces);
	check_workspaces_exist(r, d, s);
	s->n_azs = read_names(r, v, "azs", TG_DOC_AZS_MAX, &s->azs);
	s->timeout_ms = reader_get_int(r, v, &timeout);
	s->queue = reader_get_int(r, v, &queue);
	s->idempotent_methods = read_idempotent_methods(r, v);
	read_objective(r, json_object_get(v, "objective"), s);
}

static void check_service_name_unique(struct reader *r, const struct tg_doc *d,
				      size_t i)
{
	size_t saved_len, k;

	for (k = 0; k < i && *d->services[i].name; k++) {
		if (strcmp(d->services[k].name, d->services[i].name) != 0)
			continue;
		saved_len = reader_push_key(r, "name");
		reader_add_finding(r, "same name as /services/%zu", k);
		reader_pop(r, saved_len);
		return;
	}
}

static void read_services(struct reader *r, const json_t *v, struct tg_doc *d)
{
	json_t *list;
	size_t n = reader_get_array(r, v, "services", TG_DOC_SERVICES_MAX,
				    false, &list);
	size_t saved_len = reader_push_key(r, "services"), item_saved_len, i;

	d->services = tg_xcalloc(n + 1, sizeof(*d->services));
	d->n_services = n;
	for (i = 0; i < n; i++) {
		item_saved_len = reader_push_index(r, i);
		read_service(r, json_array_get(list, i), d, &d->services[i]);
		check_service_name_unique(r, d, i);
		reader_pop(r, item_saved_len);
	}
	reader_pop(r, saved_len);
}

static void read_drain(struct reader *r, const json_t *v,
		       const struct tg_doc *d, size_t i)
{
	static const char *const keys[] = { "worker", NULL };
	size_t saved_len, k;

	if (!reader_check_object(r, v, keys) ||
	    !reader_get_name(r, v, "worker", d->drains[i]))
		return;
	for (k = 0; k < i; k++) {
		if (strcmp(d->drains[k], d->drains[i]) != 0)
			continue;
		saved_len = reader_push_key(r, "worker");
		reader_add_finding(r, "same worker as /drains/%zu", k);
		reader_pop(r, saved_len);
		return;
	}
}

static void read_drains(struct reader *r, const json_t *v, struct tg_doc *d)
{
	json_t *list;
	size_t n = reader_get_array(r, v, "drains", TG_DOC_DRAINS_MAX, false,
				    &list);
	size_t saved_len = reader_push_key(r, "drains"), item_saved_len, i;

	d->drains = tg_xcalloc(n + 1, sizeof(*d->drains));
	d->n_drains = n;
	for (i = 0; i < n; i++) {
		item_saved_len = reader_push_index(r, i);
		read_drain(r, json_array_get(list, i), d, i);
		reader_pop(r, item_saved_len);
	}
	reader_pop(r, saved_len);
}

static void read_document(struct reader *r, struct tg_doc *d)
{
	static const char *const keys[] = { "version",	"weights", "workspaces",
					    "services", "drains",  NULL };

	if (!reader_check_object(r, d->json, keys))
		return;
	read_version(r, d->json);
	read_weights(r, json_object_get(d->json, "weights"), d);
	read_workspaces(r, d->json, d);
	read_services(r, d->json, d);
	read_drains(r, d->json, d);
}

/*
 * The error text of jansson quotes the input, which may be invalid UTF-8, so
 * other bytes than printable ASCII are replaced.
 */
static void add_syntax_finding(struct tg_findings *f, json_error_t *e)
{
	char *c;

	for (c = e->text; *c; c++)
		if (*c < ' ' || *c > '~')
			*c = '?';
	tg_findings_add(f, "", "line %d, column %d: %s", e->line, e->column,
			e->text);
}

/*
 * jansson stops at an integer that does not fit into 64 bits.  The document is
 * then decoded again with all integers as reals, so that the integer is
 * reported with its JSON pointer and together with all other findings.
 */
static json_t *load_json(const char *text, size_t n, json_error_t *e,
			 bool *ints_as_reals)
{
	json_t *v = json_loadb(text, n, JSON_REJECT_DUPLICATES, e);
	json_error_t retry_error;

	if (v || json_error_code(e) != json_error_numeric_overflow)
		return v;
	*ints_as_reals = true;
	v = json_loadb(text, n,
		       JSON_REJECT_DUPLICATES | JSON_DECODE_INT_AS_REAL,
		       &retry_error);
	if (!v)
		*e = retry_error;
	return v;
}

struct tg_doc *tg_doc_parse(const char *text, size_t n, struct tg_findings *f)
{
	struct reader r = { .findings = f };
	size_t findings_before = f->total;
	json_error_t e;
	struct tg_doc *d;
	json_t *v;

	if (n > TG_DOC_BYTES_MAX) {
		tg_findings_add(f, "", "has %zu bytes, at most %d", n,
				TG_DOC_BYTES_MAX);
		return NULL;
	}
	v = load_json(text, n, &e, &r.ints_as_reals);
	if (!v) {
		add_syntax_finding(f, &e);
		return NULL;
	}
	d = tg_xcalloc(1, sizeof(*d));
	d->json = v;
	d->text = tg_xcalloc(n + 1, 1);
	memcpy(d->text, text, n);
	d->text_bytes = n;
	read_document(&r, d);
	if (f->total == findings_before && r.ints_as_reals)
		add_syntax_finding(f, &e);
	if (f->total == findings_before)
		return d;
	tg_doc_free(d);
	return NULL;
}
