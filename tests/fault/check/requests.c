#include <stdlib.h>
#include <string.h>

#include "check.h"

/* A worker that is leaving gets no new request after this (docs/design.md,
 * section 6). */
#define LEAVING_MS 4000

/* Runs of one path, which is unique to a request or to a key. */
static json_t *runs_of(json_t *by_path, const char *path)
{
	json_t *list = json_object_get(by_path, path);

	if (!list) {
		list = json_array();
		json_object_set_new(by_path, path, list);
	}
	return list;
}

static json_t *group(const struct check *c, const char *kind)
{
	json_t *by_path = json_object(), *l;
	size_t i;

	json_array_foreach(c->lines, i, l)
		if (line_is(l, kind))
			json_array_append(
				runs_of(by_path, line_text(l, "path")), l);
	return by_path;
}

static bool is_whole_filler(const char *body, long size)
{
	return (long)strlen(body) == size && (long)strspn(body, "x") == size;
}

static bool has_run(const json_t *runs, const json_t *answer)
{
	const json_t *r;
	size_t i;

	json_array_foreach(runs, i, r)
		if (line_int(r, "run") == line_int(answer, "run") &&
		    !strcmp(line_text(r, "worker"),
			    line_text(answer, "worker")))
			return true;
	return false;
}

/* The stand-in echoes the request, or sends as many bytes as it asks for. */
static bool is_own_answer(const json_t *a, const json_t *runs)
{
	const char *sent = line_text(a, "sent"), *body = line_text(a, "body");
	const char *size = strstr(line_text(a, "path"), "size=");
	json_t *v;
	char hash[17];
	bool own;

	if (line_int(a, "status") != 200)
		return false;
	if (size)
		return is_whole_filler(body, strtol(size + 5, NULL, 10));
	v = json_loads(body, 0, NULL);
	snprintf(hash, sizeof(hash), "%016llx",
		 (unsigned long long)tg_hash64(sent, strlen(sent)));
	own = v && !strcmp(line_text(v, "path"), line_text(a, "path")) &&
		!strcmp(line_text(v, "body_hash"), hash) &&
		!strcmp(line_text(v, "method"), line_text(a, "method")) &&
		!strcmp(line_text(v, "workspace"), "courts") &&
		has_run(runs, v);
	json_decref(v);
	return own;
}

/*
 * A request with a key that was refused may have run in an earlier attempt; if
 * that can't be told, it is unknown under the status of the refusal.
 */
static bool is_status_of(const char *outcome, int64_t status, bool has_key)
{
	if (!strcmp(outcome, "unknown"))
		return status == 502 || status == 504 ||
			(has_key && (status == 429 || status == 503));
	if (!strcmp(outcome, "not-run"))
		return status == 400 || status == 404 || status == 413 ||
			status == 422 || status == 429 || status == 503;
	return !strcmp(outcome, "answered");
}

static void check_attempt(struct check *c, const json_t *a, const json_t *runs)
{
	const char *outcome = line_text(a, "outcome");
	const char *name = line_text(a, "attempt"),
		   *path = line_text(a, "path");

	/* The caller saw no whole answer. */
	if (line_int(a, "curl") != 0)
		return;
	if (!is_status_of(outcome, line_int(a, "status"), *line_text(a, "key")))
		violation(c, "outcome", "attempt %s of %s: '%s' with %lld",
			  name, path, outcome,
			  (long long)line_int(a, "status"));
	if (strcmp(outcome, "answered") != 0)
		return;
	if (!json_array_size(runs))
		violation(c, "answered-not-run", "attempt %s of %s", name,
			  path);
	else if (!is_own_answer(a, runs))
		violation(c, "answer-of-another", "attempt %s of %s: %.200s",
			  name, path, line_text(a, "body"));
}

/* An attempt with a key may be refused while another one of the key runs. */
static bool all_not_run(const json_t *attempts)
{
	const json_t *a;
	size_t i;

	json_array_foreach(attempts, i, a)
		if (line_int(a, "curl") != 0 ||
		    strcmp(line_text(a, "outcome"), "not-run") != 0)
			return false;
	return true;
}

/*
 * A refusal may race with another attempt of the key, but not say that nothing
 * ran when the key's request had started before the attempt was made.
 */
static void check_refusal(struct check *c, const json_t *a, const json_t *runs)
{
	const json_t *r;
	size_t i;

	if (line_int(a, "curl") != 0 ||
	    strcmp(line_text(a, "outcome"), "not-run") != 0)
		return;
	json_array_foreach(runs, i, r)
		if (line_int(r, "start_ms") < line_int(a, "begin_ms")) {
			violation(c, "not-run-before",
				  "attempt %s of %s began %lld ms after a run",
				  line_text(a, "attempt"), line_text(a, "path"),
				  (long long)(line_int(a, "begin_ms") -
					      line_int(r, "start_ms")));
			return;
		}
}

void check_requests(struct check *c)
{
	json_t *runs = group(c, "run"), *attempts = group(c, "attempt");
	const char *path;
	json_t *list;

	json_object_foreach(attempts, path, list) {
		const json_t *ran = runs_of(runs, path), *a;
		const json_t *first = json_array_get(list, 0);
		size_t i, n = json_array_size(ran);

		if (n > 1 && !strcmp(line_text(first, "method"), "POST"))
			violation(c, "ran-twice", "%s, key kind %s: %zu runs",
				  path, line_text(first, "key_kind"), n);
		if (n && all_not_run(list))
			violation(c, "not-run-ran", "%s: %zu runs", path, n);
		json_array_foreach(list, i, a) {
			check_attempt(c, a, ran);
			check_refusal(c, a, ran);
		}
	}
	json_decref(runs);
	json_decref(attempts);
}

static const char *az_of(const char *instance)
{
	return !strcmp(instance, "e-3") || !strcmp(instance, "w-4") ? "b" : "a";
}

/* The bound holds within the worker's AZ; an issued key runs at its home. */
static bool is_of_az(const json_t *attempts, const char *az)
{
	const json_t *a;
	size_t i;

	json_array_foreach(attempts, i, a) {
		const char *key = line_text(a, "key");

		if (!strncmp(key, "tgk1.", 5)) {
			if (strncmp(key + 5, az, 1) != 0)
				return false;
		} else if (strcmp(az_of(line_text(a, "entry")), az) != 0) {
			return false;
		}
	}
	return true;
}

/* An entry daemon that was paused knows of the drain after its next probe. */
static bool is_after_pause(const struct check *c, int64_t at_ms)
{
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l)
		if (line_is(l, "heal") && *line_text(l, "name") == 'e' &&
		    !strcmp(line_text(l, "fault"), "stop") &&
		    at_ms >= line_int(l, "at_ms") &&
		    at_ms - line_int(l, "at_ms") <= LEAVING_MS)
			return true;
	return false;
}

static int64_t end_of_drain(const struct check *c, const json_t *begin)
{
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l)
		if (line_is(l, "heal") &&
		    !strcmp(line_text(l, "name"), line_text(begin, "name")) &&
		    line_int(l, "at_ms") >= line_int(begin, "at_ms"))
			return line_int(l, "at_ms");
	return INT64_MAX;
}

static void check_drain(struct check *c, const json_t *begin, json_t *attempts)
{
	int64_t from_ms = line_int(begin, "at_ms") + LEAVING_MS;
	int64_t to_ms = end_of_drain(c, begin);
	const char *worker = line_text(begin, "name");
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l) {
		int64_t at_ms = line_is(l, "run") ? line_int(l, "start_ms") :
						    line_int(l, "at_ms");
		const char *path = strstr(line_text(l, "path"), "/r");

		if ((!line_is(l, "run") && !line_is(l, "refused")) || !path ||
		    strcmp(line_text(l, "worker"), worker) != 0 ||
		    at_ms <= from_ms || at_ms >= to_ms)
			continue;
		if (line_is(l, "refused"))
			path = strchr(path + 1, '/');
		if (path &&
		    is_of_az(json_object_get(attempts, path), az_of(worker)) &&
		    !is_after_pause(c, at_ms))
			violation(c, "leaving",
				  "%s got %s %lld ms after it"
				  " began to leave",
				  worker, path,
				  (long long)at_ms - from_ms + LEAVING_MS);
	}
}

void check_leaving(struct check *c)
{
	json_t *attempts = group(c, "attempt");
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l)
		if (line_is(l, "fault-set") &&
		    !strcmp(line_text(l, "fault"), "draining"))
			check_drain(c, l, attempts);
	json_decref(attempts);
}
