#include <math.h>
#include <string.h>

#include "doc/reader.h"

static bool is_utf8_tail(char c)
{
	return ((unsigned char)c & 0xc0) == 0x80;
}

/* Adds a key with the escapes of RFC 6901, cut at a whole character. */
static void append_key(struct reader *r, const char *key)
{
	size_t n = strlen(key), i;
	bool cut = n > READER_KEY_MAX;

	if (cut) {
		n = READER_KEY_MAX;
		while (n && is_utf8_tail(key[n]))
			n--;
	}
	if (r->len + 2 * n + 5 > sizeof(r->path))
		return;
	r->path[r->len++] = '/';
	for (i = 0; i < n; i++) {
		if (key[i] == '~' || key[i] == '/') {
			r->path[r->len++] = '~';
			r->path[r->len++] = key[i] == '~' ? '0' : '1';
		} else {
			r->path[r->len++] = key[i];
		}
	}
	if (cut) {
		memcpy(r->path + r->len, "...", 3);
		r->len += 3;
	}
	r->path[r->len] = '\0';
}

size_t reader_push(struct reader *r, const char *key)
{
	size_t mark = r->len;

	append_key(r, key);
	return mark;
}

size_t reader_push_index(struct reader *r, size_t i)
{
	char key[24];

	snprintf(key, sizeof(key), "%zu", i);
	return reader_push(r, key);
}

void reader_pop(struct reader *r, size_t mark)
{
	r->len = mark;
	r->path[mark] = '\0';
}

void reader_fault(struct reader *r, const char *fmt, ...)
{
	char text[256];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	tg_findings_add(r->f, r->path, "%s", text);
}

static bool contains(const char *const *keys, const char *key)
{
	for (; *keys; keys++)
		if (!strcmp(*keys, key))
			return true;
	return false;
}

bool reader_object(struct reader *r, const json_t *v, const char *const *keys)
{
	const char *key;
	json_t *member;
	size_t mark;

	if (!json_is_object(v)) {
		reader_fault(r, "must be an object");
		return false;
	}
	json_object_foreach((json_t *)v, key, member) {
		if (contains(keys, key))
			continue;
		mark = reader_push(r, key);
		reader_fault(r, "unknown key");
		reader_pop(r, mark);
	}
	return true;
}

size_t reader_array(struct reader *r, const json_t *obj, const char *key,
		    size_t max, bool required, json_t **list)
{
	size_t mark = reader_push(r, key), n = 0;

	*list = json_object_get(obj, key);
	if (!*list) {
		if (required)
			reader_fault(r, "is required");
	} else if (!json_is_array(*list)) {
		reader_fault(r, "must be an array");
	} else {
		n = json_array_size(*list);
		if (required && !n)
			reader_fault(r, "must have at least one item");
		if (n > max) {
			reader_fault(r, "has %zu items, at most %zu", n, max);
			n = max;
		}
	}
	reader_pop(r, mark);
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
	/* A double holds every limit exactly, and a 64-bit value closely. */
	double value = json_number_value(v);

	if (!is_integer(r, v))
		reader_fault(r, "must be an integer");
	else if (value < (double)field->min || value > (double)field->max)
		reader_fault(r, "must be from %lld to %lld",
			     (long long)field->min, (long long)field->max);
	else
		return (int64_t)value;
	return field->def;
}

int32_t reader_int(struct reader *r, const json_t *obj,
		   const struct int_field *field)
{
	const json_t *v = json_object_get(obj, field->key);
	size_t mark = reader_push(r, field->key);
	int64_t value = field->def;

	if (v)
		value = check_int(r, v, field);
	else if (field->required)
		reader_fault(r, "is required");
	reader_pop(r, mark);
	return (int32_t)value;
}

bool reader_bool(struct reader *r, const json_t *obj, const char *key, bool def)
{
	const json_t *v = json_object_get(obj, key);
	size_t mark;

	if (!v)
		return def;
	if (json_is_boolean(v))
		return json_is_true(v);
	mark = reader_push(r, key);
	reader_fault(r, "must be true or false");
	reader_pop(r, mark);
	return def;
}

double reader_share(struct reader *r, const json_t *obj, const char *key,
		    double def)
{
	const json_t *v = json_object_get(obj, key);
	double value = json_number_value(v);
	size_t mark;

	if (!v)
		return def;
	if (json_is_number(v) && value >= 0 && value < 1)
		return value;
	mark = reader_push(r, key);
	if (json_is_number(v))
		reader_fault(r, "must be from 0 to less than 1");
	else
		reader_fault(r, "must be a number");
	reader_pop(r, mark);
	return def;
}

bool reader_name(struct reader *r, const json_t *v, char out[TG_NAME_MAX + 1])
{
	const char *s = json_string_value(v);

	if (!s)
		reader_fault(r, "must be a string");
	else if (!tg_name_valid(s))
		reader_fault(r, "must match [a-z0-9][a-z0-9-]{0,62}");
	else
		return tg_strlcpy(out, s, TG_NAME_MAX + 1);
	return false;
}

bool reader_name_member(struct reader *r, const json_t *obj, const char *key,
			char out[TG_NAME_MAX + 1])
{
	const json_t *v = json_object_get(obj, key);
	size_t mark = reader_push(r, key);
	bool ok = false;

	if (v)
		ok = reader_name(r, v, out);
	else
		reader_fault(r, "is required");
	reader_pop(r, mark);
	return ok;
}
