#include "limits.h"

bool bucket_take(struct bucket *b, double rate_per_s, int64_t now_ms)
{
	double capacity = rate_per_s < 1 ? 1 : rate_per_s;

	if (rate_per_s <= 0)
		return true;
	if (!b->updated_ms)
		b->tokens = capacity;
	else
		b->tokens +=
			rate_per_s * (double)(now_ms - b->updated_ms) / 1000;
	b->updated_ms = now_ms;
	if (b->tokens > capacity)
		b->tokens = capacity;
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
