#ifndef TG_SCHEDD_DIGEST_H
#define TG_SCHEDD_DIGEST_H

#include <stdint.h>

/**
 * DOC: digest of leases
 *
 * As in docs/platform-contract.md: a sum of hashes, which has no order.
 */

/* 16 hexadecimal digits and the terminating zero */
#define DIGEST_SIZE 17

/** digest_lease() - hash of a lease's identity; its share of the sum */
uint64_t digest_lease(const char *job, int64_t attempt, int32_t index);
/** digest_text() - sum as it is sent */
void digest_format(uint64_t sum, char out[DIGEST_SIZE]);

#endif
