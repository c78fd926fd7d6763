#ifndef ENTRY_KEY_H
#define ENTRY_KEY_H

#include "base/base.h"

#define KEY_PREFIX "tgk1."
/* Longest key.  With it the row key "claims/WORKSPACE/KEY" fits the table. */
#define KEY_MAX 128

/** enum key_kind - kind of the value of an Idempotency-Key header */
enum key_kind {
	KEY_NONE,
	KEY_CALLER, /* chosen by the caller */
	KEY_ISSUED, /* tgk1.AZ.INSTANCE.BOOT.N */
	KEY_INVALID,
};

/**
 * struct issued_key - parts of a key that an entry daemon issued
 * @instance: entry daemon that issued it
 * @boot: start of that daemon; after a restart it no longer knows the key
 * @n: number of the key within that boot
 */
struct issued_key {
	char az[TG_NAME_MAX + 1];
	char instance[TG_NAME_MAX + 1];
	char boot[TG_NAME_MAX + 1];
	uint64_t n;
};

/**
 * key_parse() - determine the kind of a key
 * @text: value of the header, or NULL if there is none
 * @out: set to the parts of a KEY_ISSUED, else left alone; may be NULL
 *
 * A key has 1 to KEY_MAX characters of [A-Za-z0-9._-].
 */
enum key_kind key_parse(const char *text, struct issued_key *out);
/** key_format() - write a key as text; false if it is too long for @out */
bool key_format(const struct issued_key *k, char *out, size_t size);

#endif
