#include "fencetoken.h"

bool fence_shows_later_owner(uint64_t sent, uint64_t highest)
{
	return sent >= highest;
}

bool ping_shows_later_owner(uint64_t told, uint64_t recorded)
{
	return told > recorded;
}
