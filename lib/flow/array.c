#include <stdlib.h>
#include <string.h>

#include "flow/flow_internal.h"

#define SIZE_MIN_ITEMS 16

static void grow(struct array *a, size_t bytes)
{
	if (a->n < a->size)
		return;
	a->size = a->size ? 2 * a->size : SIZE_MIN_ITEMS;
	a->items = tg_xrealloc(a->items, a->size * bytes);
}

void *flow_array_insert(struct array *a, size_t i, size_t bytes)
{
	char *at;

	grow(a, bytes);
	at = (char *)a->items + i * bytes;
	memmove(at + bytes, at, (a->n - i) * bytes);
	memset(at, 0, bytes);
	a->n++;
	return at;
}

void *flow_array_add(struct array *a, size_t bytes)
{
	return flow_array_insert(a, a->n, bytes);
}

void flow_array_remove(struct array *a, size_t i, size_t bytes)
{
	char *at = (char *)a->items + i * bytes;

	a->n--;
	memmove(at, at + bytes, (a->n - i) * bytes);
}

void flow_array_free(struct array *a)
{
	free(a->items);
	memset(a, 0, sizeof(*a));
}
