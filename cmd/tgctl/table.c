#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define COLUMNS_MAX 16

void ctl_print_json(const json_t *v)
{
	char *text =
		json_dumps(v,
			   JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY |
				   JSON_REAL_PRECISION(15));

	printf("%s\n", text ? text : "null");
	free(text);
}

/* Keeps terminal escape sequences in a reply from reaching the terminal. */
static char *mask_control_chars(char *s)
{
	char *c;

	for (c = s; *c; c++)
		if ((unsigned char)*c < ' ' && *c != '\n')
			*c = '?';
	return s;
}

char *ctl_format_value(const json_t *v)
{
	if (!v || json_is_null(v))
		return tg_xstrdup("-");
	if (json_is_string(v))
		return mask_control_chars(tg_xstrdup(json_string_value(v)));
	if (json_is_boolean(v))
		return tg_xstrdup(json_is_true(v) ? "yes" : "no");
	return json_dumps(
		v, JSON_COMPACT | JSON_ENCODE_ANY | JSON_REAL_PRECISION(15));
}

static void print_member(const char *key, const json_t *v)
{
	char *text;
	size_t i;

	if (!json_is_array(v)) {
		text = ctl_format_value(v);
		printf("%s: %s\n", key, text);
		free(text);
		return;
	}
	for (i = 0; i < json_array_size(v); i++) {
		text = ctl_format_value(json_array_get(v, i));
		printf("%s: %s\n", key, text);
		free(text);
	}
}

void ctl_print_members(const json_t *v)
{
	const char *key;
	json_t *member;

	json_object_foreach((json_t *)v, key, member)
		print_member(key, member);
}

static size_t column_width(const json_t *rows, const char *key)
{
	size_t width = 0, i;

	for (i = 0; i < json_array_size(rows); i++) {
		const json_t *v = json_object_get(json_array_get(rows, i), key);
		char *text;

		if (!v)
			continue;
		text = ctl_format_value(v);
		if (strlen(text) > width)
			width = strlen(text);
		free(text);
	}
	return width && width < strlen(key) ? strlen(key) : width;
}

static void print_row(const json_t *row, const char *const *columns,
		      const size_t *widths)
{
	const char *separator = "";
	size_t k;

	for (k = 0; columns[k]; k++) {
		char *text = row ?
			ctl_format_value(json_object_get(row, columns[k])) :
			tg_xstrdup(columns[k]);

		if (widths[k]) {
			/* No trailing spaces after the last column. */
			printf("%s%-*s", separator,
			       columns[k + 1] ? (int)widths[k] : 0, text);
			separator = "  ";
		}
		free(text);
	}
	printf("\n");
}

void ctl_print_table(const json_t *rows, const char *const *columns)
{
	size_t widths[COLUMNS_MAX] = { 0 }, k, i;

	for (k = 0; columns[k] && k < COLUMNS_MAX; k++)
		widths[k] = column_width(rows, columns[k]);
	if (!json_array_size(rows)) {
		printf("none\n");
		return;
	}
	print_row(NULL, columns, widths);
	for (i = 0; i < json_array_size(rows); i++)
		print_row(json_array_get(rows, i), columns, widths);
}
