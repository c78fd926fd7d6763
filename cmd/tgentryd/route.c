#include "route.h"

uint32_t route_cap(uint32_t slots, size_t entries)
{
	size_t n = entries ? entries : 1;
	uint32_t cap = (uint32_t)((slots + n - 1) / n) + 1;

	return cap < slots ? cap : slots;
}

/* Returns the index of the @k-th candidate below its cap. */
static int nth_available(const struct route_candidate *c, size_t n, size_t k)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (c[i].in_flight < c[i].cap && !k--)
			return (int)i;
	return -1;
}

/* Compares the fractions of slots in use, as workers differ in slots. */
static bool is_less_loaded(const struct route_candidate *a,
			   const struct route_candidate *b)
{
	return (uint64_t)a->load * b->slots < (uint64_t)b->load * a->slots;
}

int route_choose(const struct route_candidate *c, size_t n, struct tg_rng *rng)
{
	size_t i, n_available = 0, first, second;
	int a, b;

	for (i = 0; i < n; i++)
		n_available += c[i].in_flight < c[i].cap;
	if (!n_available)
		return -1;
	first = tg_rng_below(rng, n_available);
	a = nth_available(c, n, first);
	if (n_available == 1)
		return a;
	second = tg_rng_below(rng, n_available - 1);
	if (second >= first)
		second++;
	b = nth_available(c, n, second);
	return is_less_loaded(&c[b], &c[a]) ? b : a;
}
