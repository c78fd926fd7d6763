#include <math.h>
#include <string.h>

#include "doc/reader.h"

static bool is_utf8_continuation(char c)
{
	return ((unsigned char)c & 0xc0) == 0x80;
}

/*
 * Appends a key with the escapes of RFC 6901.  A long key is truncated at a
 * character boundary, since a partial character would be invalid UTF-8.
 */
static void append_key(struct reader *r, const char *key)
{
	size_t n = strlen(key), i;
	bool truncated = n > READER_KEY_MAX;

	if (truncated) {
		n = READER_KEY_MAX;
		while (n && is_utf8_continuation(key[n]))
			n--;
	}
	if (r->path_len + 2 * n + 5 > sizeof(r->path))
		return;
	r->path[r->path_len++] = '/';
	for (i = 0; i < n; i++) {
		if (key[i] == '~' || key[i] == '/') {
			r->path[r->path_len++] = '~';
			r->path[r->path_len++] = key[i] == '~' ? '0' : '1';
		} else {
			r->path[r->path_len++] = key[i];
		}
	}
	if (truncated) {
		memcpy(r->path + r->path_len, "...", 3);
		r->path_len += 3;
	}
	r->path[r->path_len] = '\0';
}

size_t reader_push_key(struct reader *r, const char *key)
{
	size_t saved_len = r->path_len;

	append_key(r, key);
	return saved_len;
}

size_t reader_push_index(struct reader *r, size_t i)
{
	char key[24];

	snprintf(key, sizeof(key), "%zu", i);
	return reader_push_key(r, key);
}

void reader_pop(struct reader *r, size_t saved_len)
{
	r->path_len = saved_len;
	r->path[saved_len] = '\0';
}

void reader_add_finding(struct reader *r, const char *fmt, ...)
{
	char text[256];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	tg_findings_add(r->findings, r->path, "%s", text);
}

static bool contains_key(const char *const *keys, const char *key)
{
	for (; *keys; keys++)
		if (!strcmp(*keys, key))
			return true;
	return false;
}

bool reader_check_object(struct reader *r, const json_t *v,
			 const char *const *keys)
{
	const char *key;
	json_t *member;
	size_t saved_len;

	if (!json_is_object(v)) {
		reader_add_finding(r, "must be an object");
		return false;
	}
	json_object_foreach((json_t *)v, key, member) {
		if (contains_key(keys, key))
			continue;
		saved_len = reader_push_key(r, key);
		reader_add_finding(r, "unknown key");
		reader_pop(r, saved_len);
	}
	return true;
}

size_t reader_get_array(struct reader *r, const json_t *obj, const char *key,
			size_t max, bool required, json_t **list)
{
	size_t saved_len = reader_push_key(r, key), n = 0;

	*list = json_object_get(obj, key);
	if (!*list) {
		if (required)
			reader_add_finding(r, "is required");
	} else if (!json_is_array(*list)) {
		reader_add_finding(r, "must be an array");
	} else {
		n = json_array_size(*list);
		if (required && !n)
			reader_add_finding(r, "must have at least one item");
		if (n > max) {
			reader_add_finding(r, "has %zu items, at most %zu", n,
					   max);
			n = max;
		}
	}
	reader_pop(r, saved_len);
	return n;
}

static bool is_integer(const struct reader *r, const json_t *v)
{
	if (json_is_integer(v))
		return true;
	return r->ints_as_reals && json_is_real(v) &&
		floor(json_real_value(v)) == json_real_value(v);
}

static int64_t check_int(struct reader *r, const json_t *v,
			 const struct int_field *field)
{
	/*
	 * A double represents every limit exactly; rounding a 64-bit value does
	 * not move it across a limit.
	 */
	double value = json_number_value(v);

	if (!is_integer(r, v))
		reader_add_finding(r, "must be an integer");
	else if (value < (double)field->min || value > (double)field->max)
		reader_add_finding(r, "must be from %lld to %lld",
				   (long long)field->min,
				   (long long)field->max);
	else
		return (int64_t)value;
	return field->default_value;
}

int32_t reader_get_int(struct reader *r, const json_t *obj,
		       const struct int_field *field)
{
	const json_t *v = json_object_get(obj, field->key);
	size_t saved_len = reader_push_key(r, field->key);
	int64_t value = field->default_value;

	if (v)
		value = check_int(r, v, field);
	else if (field->required)
		reader_add_finding(r, "is required");
	reader_pop(r, saved_len);
	return (int32_t)value;
}

bool reader_get_bool(struct reader *r, const json_t *obj, const char *key,
		     bool default_value)
{
	const json_t *v = json_object_get(obj, key);
	size_t saved_len;

	if (!v)
		return default_value;
	if (json_is_boolean(v))
		return json_is_true(v);
	saved_len = reader_push_key(r, key);
	reader_add_finding(r, "must be true or false");
	reader_pop(r, saved_len);
	return default_value;
}

double reader_get_fraction(struct reader *r, const json_t *obj, const char *key,
			   double default_value)
{
	const json_t *v = json_object_get(obj, key);
	double value = json_number_value(v);
	size_t saved_len;

	if (!v)
		return default_value;
	if (json_is_number(v) && value >= 0 && value < 1)
		return value;
	saved_len = reader_push_key(r, key);
	if (json_is_number(v))
		reader_add_finding(r, "must be from 0 to less than 1");
	else
		reader_add_finding(r, "must be a number");
	reader_pop(r, saved_len);
	return default_value;
}

bool reader_copy_name(struct reader *r, const json_t *v,
		      char out[TG_NAME_MAX + 1])
{
	const char *s = json_string_value(v);

	if (!s)
		reader_add_finding(r, "must be a string");
	else if (!tg_name_valid(s))
		reader_add_finding(r, "must match [a-z0-9][a-z0-9-]{0,62}");
	else
		return tg_strlcpy(out, s, TG_NAME_MAX + 1);
	return false;
}

bool reader_get_name(struct reader *r, const json_t *obj, const char *key,
		     char out[TG_NAME_MAX + 1])
{
	const json_t *v = json_object_get(obj, key);
	size_t saved_len = reader_push_key(r, key);
	bool valid = false;

	if (v)
		valid = reader_copy_name(r, v, out);
	else
		reader_add_finding(r, "is required");
	reader_pop(r, saved_len);
	return valid;
}
