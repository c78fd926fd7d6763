#ifndef ENTRY_LIMITS_H
#define ENTRY_LIMITS_H

#include "base/base.h"

/**
 * struct bucket - token bucket of a rate limit
 * @tokens: tokens left, at most those added in one second or one, whichever is
 *	more
 * @updated_ms: when @tokens was computed; 0: not used yet, the bucket is full
 */
struct bucket {
	double tokens;
	int64_t updated_ms;
};

/**
 * bucket_take() - take a token
 * @rate_per_s: tokens added per second; 0 for no limit
 *
 * Return: false if there is no token.
 */
bool bucket_take(struct bucket *b, double rate_per_s, int64_t now_ms);
/**
 * limits_share() - this instance's share of a limit that applies to the AZ
 * @limit: limit of the AZ, 0 for none
 * @entries: number of live entry daemons in the AZ
 *
 * Rounded up, so that each instance admits requests also with a small limit.
 */
int32_t limits_share(int32_t limit, size_t entries);

#endif
