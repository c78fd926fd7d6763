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

void flow_pointers_insert(struct array *a, size_t i, void *p)
{
	void **to = flow_array_insert(a, i, sizeof(void *));

	*to = p;
}

void flow_pointers_add(struct array *a, void *p)
{
	flow_pointers_insert(a, a->n, p);
}

void flow_pointers_remove(struct array *a, size_t i)
{
	flow_array_remove(a, i, sizeof(void *));
}

void flow_pointers_sort(struct array *a,
			int (*compare)(const void *x, const void *y))
{
	if (a->n)
		qsort(a->items, a->n, sizeof(void *), compare);
}

void flow_array_free(struct array *a)
{
	free(a->items);
	memset(a, 0, sizeof(*a));
}
