#include <stdio.h>

#include "base/base.h"
#include "digest.h"

uint64_t digest_lease(const char *job, int64_t attempt, int32_t index)
{
	/* Room for two numbers of up to 20 characters and two spaces. */
	char text[TG_NAME_MAX + 48];
	int n = snprintf(text, sizeof(text), "%s %lld %d", job,
			 (long long)attempt, index);

	return tg_hash64(text, (size_t)n);
}

void digest_format(uint64_t sum, char out[DIGEST_SIZE])
{
	snprintf(out, DIGEST_SIZE, "%016llx", (unsigned long long)sum);
}
