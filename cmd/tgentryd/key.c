#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "key.h"

static bool has_valid_characters(const char *s)
{
	size_t n = 0;

	for (; *s; s++, n++)
		if (!isalnum((unsigned char)*s) && !strchr("._-", *s))
			return false;
	return n >= 1 && n <= KEY_MAX;
}

static bool parse_name(const char **s, char *out)
{
	size_t n = strcspn(*s, ".");

	if (n > TG_NAME_MAX || (*s)[n] != '.')
		return false;
	memcpy(out, *s, n);
	out[n] = '\0';
	*s += n + 1;
	return tg_name_valid(out);
}

/* Accepts canonical decimal numbers only, so that a key has one spelling. */
static bool parse_number(const char *s, uint64_t *n)
{
	char *end;

	if (!isdigit((unsigned char)*s) || (*s == '0' && s[1]))
		return false;
	errno = 0;
	*n = strtoull(s, &end, 10);
	return !errno && !*end;
}

enum key_kind key_parse(const char *text, struct issued_key *out)
{
	struct issued_key k;
	const char *s = text;

	if (!text)
		return KEY_NONE;
	if (!has_valid_characters(text))
		return KEY_INVALID;
	if (strncmp(text, KEY_PREFIX, strlen(KEY_PREFIX)) != 0)
		return KEY_CALLER;
	s += strlen(KEY_PREFIX);
	if (!parse_name(&s, k.az) || !parse_name(&s, k.instance) ||
	    !parse_name(&s, k.boot) || !parse_number(s, &k.n))
		return KEY_INVALID;
	if (out)
		*out = k;
	return KEY_ISSUED;
}

bool key_format(const struct issued_key *k, char *out, size_t size)
{
	int n = snprintf(out, size, KEY_PREFIX "%s.%s.%s.%llu", k->az,
			 k->instance, k->boot, (unsigned long long)k->n);

	return n > 0 && (size_t)n < size && n <= KEY_MAX;
}
