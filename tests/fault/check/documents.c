#include <string.h>

#include "check.h"

/* The greatest generation that each process has shown, by source. */
static void check_reverts(struct check *c)
{
	json_t *seen = json_object();
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l) {
		char key[200];
		int64_t g = line_int(l, "generation"), before;

		if (!line_is(l, "generation"))
			continue;
		snprintf(key, sizeof(key), "%s by %s", line_text(l, "process"),
			 line_text(l, "source"));
		before = line_int(seen, key);
		if (g < before)
			violation(c, "reverted", "%s: %lld after %lld", key,
				  (long long)g, (long long)before);
		else
			json_object_set_new(seen, key, json_integer(g));
	}
	json_decref(seen);
}

static json_t *read_versions(struct check *c)
{
	json_t *versions = json_object();
	const json_t *l;
	size_t i;
	char key[32];

	json_array_foreach(c->lines, i, l) {
		if (!line_is(l, "version"))
			continue;
		snprintf(key, sizeof(key), "%lld",
			 (long long)line_int(l, "generation"));
		if (json_object_get(versions, key))
			violation(c, "two-documents",
				  "generation %s was written twice", key);
		json_object_set(versions, key, json_object_get(l, "marker"));
	}
	return versions;
}

static bool was_written(json_t *versions, const char *marker)
{
	const char *key;
	json_t *v;

	json_object_foreach(versions, key, v)
		if (!strcmp(json_string_value(v) ? json_string_value(v) : "",
			    marker))
			return true;
	return false;
}

static void check_save(struct check *c, json_t *versions, const json_t *save)
{
	int64_t status = line_int(save, "status");
	const char *marker = line_text(save, "marker");
	char key[32];

	snprintf(key, sizeof(key), "%lld",
		 (long long)line_int(save, "generation"));
	if (status == 200 && strcmp(line_text(versions, key), marker) != 0)
		violation(c, "lost-save",
			  "%s was accepted as %s, which holds '%s'", marker,
			  key, line_text(versions, key));
	if ((status == 409 || status == 422 || status == 503) &&
	    was_written(versions, marker))
		violation(c, "refused-save", "%s got %lld and was saved",
			  marker, (long long)status);
}

static int64_t last_version(const struct check *c)
{
	const json_t *l;
	int64_t last = 0;
	size_t i;

	json_array_foreach(c->lines, i, l)
		if (line_is(l, "version") && line_int(l, "generation") > last)
			last = line_int(l, "generation");
	return last;
}

/* Once at rest, every daemon has the last document in force. */
static void check_final(struct check *c)
{
	int64_t last = last_version(c);
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l)
		if (line_is(l, "final-generation") &&
		    line_int(l, "generation") != last)
			violation(c, "not-in-force",
				  "%s has generation %lld at rest, not %lld",
				  line_text(l, "name"),
				  (long long)line_int(l, "generation"),
				  (long long)last);
}

void check_documents(struct check *c)
{
	json_t *versions = read_versions(c);
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l)
		if (line_is(l, "save"))
			check_save(c, versions, l);
	check_reverts(c);
	check_final(c);
	json_decref(versions);
}
