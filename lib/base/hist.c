#include "base/base.h"

#define SUB_BUCKETS (1U << TG_HIST_SUB_BITS)

static size_t bucket_index(uint64_t v)
{
	unsigned int shift;
	size_t b;

	if (v < SUB_BUCKETS)
		return (size_t)v;
	shift = 63U - (unsigned int)__builtin_clzll(v) - TG_HIST_SUB_BITS;
	b = ((size_t)(shift + 1) << TG_HIST_SUB_BITS) +
		(size_t)((v >> shift) - SUB_BUCKETS);
	return b < TG_HIST_BUCKETS ? b : TG_HIST_BUCKETS - 1;
}

static uint64_t bucket_upper_bound(size_t b)
{
	unsigned int shift;

	if (b < SUB_BUCKETS)
		return b;
	shift = (unsigned int)(b >> TG_HIST_SUB_BITS) - 1;
	return (((uint64_t)(b & (SUB_BUCKETS - 1)) + SUB_BUCKETS + 1)
		<< shift) -
		1;
}

void tg_hist_add(struct tg_hist *h, uint64_t v)
{
	h->counts[bucket_index(v)]++;
	h->n++;
	h->sum += v;
	if (v > h->max)
		h->max = v;
}

uint64_t tg_hist_quantile(const struct tg_hist *h, double q)
{
	uint64_t rank, seen = 0;
	size_t b;

	if (!h->n)
		return 0;
	rank = (uint64_t)(q * (double)h->n);
	if (rank >= h->n)
		rank = h->n - 1;
	for (b = 0; b < TG_HIST_BUCKETS; b++) {
		seen += h->counts[b];
		if (seen > rank)
			break;
	}
	return bucket_upper_bound(b) < h->max ? bucket_upper_bound(b) : h->max;
}

void tg_hist_merge(struct tg_hist *to, const struct tg_hist *from)
{
	size_t b;

	for (b = 0; b < TG_HIST_BUCKETS; b++)
		to->counts[b] += from->counts[b];
	to->n += from->n;
	to->sum += from->sum;
	if (from->max > to->max)
		to->max = from->max;
}
