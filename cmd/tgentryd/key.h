#ifndef ENTRY_KEY_H
#define ENTRY_KEY_H

#include "base/base.h"

#define KEY_PREFIX "tgk1."
/* Longest key, so that "claims/WORKSPACE/KEY" fits into a key of the table. */
#define KEY_MAX 128

/** enum key_kind - what an Idempotency-Key header holds */
enum key_kind {
	KEY_NONE,
	KEY_CALLER, /* chosen by the caller */
	KEY_ISSUED, /* tgk1.AZ.INSTANCE.BOOT.N */
	KEY_INVALID,
};

struct issued_key {
	char az[TG_NAME_MAX + 1];
	char instance[TG_NAME_MAX + 1];
	char boot[TG_NAME_MAX + 1];
	uint64_t n;
};

/**
 * key_parse() - tell the kind of a key
 * @text: header value, or NULL
 * @out: parts of an issued key; may be NULL
 *
 * A key has 1 to KEY_MAX characters of [A-Za-z0-9._-].
 */
enum key_kind key_parse(const char *text, struct issued_key *out);
/** key_format() - inverse of key_parse(); false if it is too long */
bool key_format(const struct issued_key *k, char *out, size_t size);

#endif
