#ifndef TGFLOWD_STANDING_H
#define TGFLOWD_STANDING_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct owner_standing - how the owner's writes have fared
 * @written_ms: last write that succeeded
 * @refused_ms: since when the store refuses all writes, or 0
 */
struct owner_standing {
	int64_t written_ms, refused_ms, now_ms;
};

/**
 * owner_stands() - whether the owner still reaches the store
 *
 * Otherwise a standby that reaches it should take over.
 */
bool owner_stands(const struct owner_standing *s);

#endif
