#include "route.h"

uint32_t route_cap(uint32_t slots, size_t entries)
{
	size_t n = entries ? entries : 1;
	uint32_t cap = (uint32_t)((slots + n - 1) / n) + 1;

	return cap < slots ? cap : slots;
}

/* The @k-th candidate below its cap. */
static int open_candidate(const struct route_candidate *c, size_t n, size_t k)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (c[i].in_flight < c[i].cap && !k--)
			return (int)i;
	return -1;
}

/* Compares the shares of slots in use, as workers may differ in size. */
static bool is_less_loaded(const struct route_candidate *a,
			   const struct route_candidate *b)
{
	return (uint64_t)a->load * b->slots < (uint64_t)b->load * a->slots;
}

int route_choose(const struct route_candidate *c, size_t n, struct tg_rng *rng)
{
	size_t i, open = 0, first, second;
	int a, b;

	for (i = 0; i < n; i++)
		open += c[i].in_flight < c[i].cap;
	if (!open)
		return -1;
	first = tg_rng_below(rng, open);
	a = open_candidate(c, n, first);
	if (open == 1)
		return a;
	second = tg_rng_below(rng, open - 1);
	if (second >= first)
		second++;
	b = open_candidate(c, n, second);
	return is_less_loaded(&c[b], &c[a]) ? b : a;
}
