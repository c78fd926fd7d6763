#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

#include "base/base.h"

uint64_t tg_rng_next(struct tg_rng *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint64_t tg_rng_below(struct tg_rng *r, uint64_t n)
{
	/* Multiply-shift instead of modulo; the bias is below n / 2^64. */
	return (uint64_t)(((unsigned __int128)tg_rng_next(r) * n) >> 64);
}

/* If getrandom() fails, only the first 8 bytes are set, from the clock. */
static void fill_random(void *p, size_t n)
{
	if (getrandom(p, n, 0) != (ssize_t)n) {
		struct tg_rng r = { (uint64_t)tg_now_us() };
		uint64_t v = tg_rng_next(&r);

		memcpy(p, &v, n < sizeof(v) ? n : sizeof(v));
	}
}

void tg_rng_seed(struct tg_rng *r)
{
	fill_random(&r->state, sizeof(r->state));
}

void tg_random_token(char out[TG_TOKEN_LEN + 1])
{
	static const char digits[] = "0123456789abcdef";
	unsigned char bytes[TG_TOKEN_LEN / 2] = { 0 };
	size_t i;

	fill_random(bytes, sizeof(bytes));
	for (i = 0; i < sizeof(bytes); i++) {
		out[2 * i] = digits[bytes[i] >> 4];
		out[2 * i + 1] = digits[bytes[i] & 15];
	}
	out[TG_TOKEN_LEN] = '\0';
}

uint64_t tg_hash64(const void *p, size_t n)
{
	return XXH64(p, n, 0);
}

uint64_t tg_rendezvous_weight(const char *node, const char *key)
{
	return XXH64(key, strlen(key), XXH64(node, strlen(node), 0));
}
