#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"

void violation(struct check *c, const char *name, const char *fmt, ...)
{
	va_list ap;

	c->violations++;
	fprintf(stderr, "violation %s: ", name);
	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
}

bool line_is(const json_t *line, const char *kind)
{
	return !strcmp(line_text(line, "kind"), kind);
}

const char *line_text(const json_t *line, const char *field)
{
	const char *s = json_string_value(json_object_get(line, field));

	return s ? s : "";
}

int64_t line_int(const json_t *line, const char *field)
{
	return json_integer_value(json_object_get(line, field));
}

int history_load(struct check *c)
{
	FILE *f = fopen(c->history, "r");
	json_error_t e;
	char *s = NULL;
	size_t size = 0, n = 0;
	int rc = -1;

	c->lines = json_array();
	if (!f) {
		perror(c->history);
		return -1;
	}
	while (getline(&s, &size, f) > 0) {
		json_t *v = json_loads(s, 0, &e);

		n++;
		if (!v) {
			fprintf(stderr, "faultcheck: %s:%zu: %s\n", c->history,
				n, e.text);
			goto out;
		}
		json_array_append_new(c->lines, v);
	}
	rc = 0;
out:
	free(s);
	fclose(f);
	return rc;
}
