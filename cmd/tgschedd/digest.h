#ifndef TG_SCHEDD_DIGEST_H
#define TG_SCHEDD_DIGEST_H

#include <stdint.h>

/**
 * DOC: digest of leases
 *
 * The sum of the hashes of all leases, which does not depend on their order;
 * defined in docs/platform-contract.md.
 */

/* 16 hexadecimal digits and the terminating null byte */
#define DIGEST_SIZE 17

/** digest_lease() - hash of one lease, to be added to the sum */
uint64_t digest_lease(const char *job, int64_t attempt, int32_t index);
/** digest_format() - format a sum as it is sent */
void digest_format(uint64_t sum, char out[DIGEST_SIZE]);

#endif
