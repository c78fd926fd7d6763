#include "limits.h"

bool bucket_take(struct bucket *b, double rate_per_s, int64_t now_ms)
{
	double most = rate_per_s < 1 ? 1 : rate_per_s;

	if (rate_per_s <= 0)
		return true;
	if (!b->at_ms)
		b->tokens = most;
	else
		b->tokens += rate_per_s * (double)(now_ms - b->at_ms) / 1000;
	b->at_ms = now_ms;
	if (b->tokens > most)
		b->tokens = most;
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}

int32_t limits_share(int32_t limit, size_t entries)
{
	int32_t n = entries < 1 ? 1 : (int32_t)entries;

	return limit / n + (limit % n != 0);
}
