#ifndef ENTRY_LIMITS_H
#define ENTRY_LIMITS_H

#include "base/base.h"

/** struct bucket - token bucket that holds one second's worth, at least 1 */
struct bucket {
	double tokens;
	int64_t at_ms; /* 0: not used yet, then full */
};

/** bucket_take() - take a token; @rate_per_s 0 means no limit */
bool bucket_take(struct bucket *b, double rate_per_s, int64_t now_ms);
/**
 * limits_share() - this instance's part of a limit of the AZ
 * @limit: of the AZ, 0 for none
 * @entries: live entry instances of the AZ
 *
 * Rounded up, so that a small limit still admits requests everywhere.
 */
int32_t limits_share(int32_t limit, size_t entries);

#endif
