#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "place.h"

#define LINE_LEN_MAX 1024

void csv_error(struct csv *c, const char *fmt, ...)
{
	char *location = tg_xasprintf("%s:%ld", c->path, c->line);
	char text[256];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	tg_findings_add(c->findings, location, "%s", text);
	free(location);
}

int64_t csv_int(struct csv *c, int i, const char *name, int64_t min,
		int64_t max)
{
	const char *s = c->field[i];
	char *end;
	long long v;

	errno = 0;
	v = strtoll(s, &end, 10);
	if (!*s || *end || errno || *s == ' ' || *s == '+') {
		csv_error(c, "%s: \"%.40s\" is not an integer", name, s);
		return min;
	}
	if (v < min || v > max) {
		csv_error(c, "%s: %lld is not in %lld..%lld", name, v,
			  (long long)min, (long long)max);
		return min;
	}
	return v;
}

const char *csv_name(struct csv *c, int i, const char *name)
{
	if (!tg_name_valid(c->field[i]))
		csv_error(c, "%s: \"%.40s\" is not a valid name", name,
			  c->field[i]);
	return c->field[i];
}

static int count_fields(const char *s)
{
	int n = 1;

	for (; *s; s++)
		n += *s == ',';
	return n;
}

static void split_fields(struct csv *c, char *line)
{
	int n = 0;
	char *comma;

	while (n < CSV_FIELDS_MAX) {
		c->field[n++] = line;
		comma = strchr(line, ',');
		if (!comma)
			break;
		*comma = '\0';
		line = comma + 1;
	}
}

static void strip_newline(char *line)
{
	size_t n = strlen(line);

	while (n && (line[n - 1] == '\n' || line[n - 1] == '\r'))
		line[--n] = '\0';
}

void csv_read(struct csv *c, void (*row)(struct csv *c, void *arg), void *arg)
{
	FILE *in = fopen(c->path, "r");
	int n_header = count_fields(c->header), n;
	char *line = NULL;
	size_t size = 0;
	ssize_t len;

	if (!in) {
		tg_findings_add(c->findings, c->path, "%s", strerror(errno));
		return;
	}
	while ((len = getline(&line, &size, in)) >= 0) {
		c->line++;
		if (len > LINE_LEN_MAX || (size_t)len != strlen(line)) {
			csv_error(c, "line is too long or has a null byte");
			continue;
		}
		strip_newline(line);
		if (c->line == 1) {
			if (strcmp(line, c->header) != 0)
				csv_error(c, "header is not \"%s\"", c->header);
			continue;
		}
		n = count_fields(line);
		if (n != n_header) {
			csv_error(c, "%d fields instead of %d", n, n_header);
			continue;
		}
		split_fields(c, line);
		row(c, arg);
	}
	if (ferror(in))
		csv_error(c, "read error");
	if (!c->line) {
		c->line = 1;
		csv_error(c, "the file is empty");
	}
	free(line);
	fclose(in);
}
