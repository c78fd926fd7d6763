#ifndef TGFLOWD_OWNERWRITES_H
#define TGFLOWD_OWNERWRITES_H

#include <stdbool.h>
#include <stdint.h>

/* Longer than a write to a slow store takes. */
#define OWNER_STALE_MS 1600

/**
 * struct owner_writes - recent results of the owner's writes to the store
 * @written_ms: start of the last write that succeeded
 * @refused_since_ms: start of the current series of refused writes, or 0
 */
struct owner_writes {
	int64_t written_ms, refused_since_ms, now_ms;
};

/**
 * owner_reaches_store() - whether the owner can still write to the store
 *
 * If it can't, a standby that can should take over.
 */
bool owner_reaches_store(const struct owner_writes *s);

#endif
