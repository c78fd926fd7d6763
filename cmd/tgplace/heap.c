#include <stdlib.h>

#include "place.h"

static bool event_before(const struct event *a, const struct event *b)
{
	if (a->at_ms != b->at_ms)
		return a->at_ms < b->at_ms;
	if (a->kind != b->kind)
		return a->kind < b->kind;
	return a->seq < b->seq;
}

void heap_push(struct heap *h, struct event e)
{
	size_t i = h->n++;

	if (h->n > h->cap) {
		h->cap = h->cap ? 2 * h->cap : 256;
		h->items = tg_xrealloc(h->items, h->cap * sizeof(*h->items));
	}
	e.seq = h->next_seq++;
	while (i && event_before(&e, &h->items[(i - 1) / 2])) {
		h->items[i] = h->items[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	h->items[i] = e;
}

struct event heap_pop(struct heap *h)
{
	struct event top = h->items[0], last = h->items[--h->n];
	size_t i = 0, k;

	while ((k = 2 * i + 1) < h->n) {
		if (k + 1 < h->n &&
		    event_before(&h->items[k + 1], &h->items[k]))
			k++;
		if (!event_before(&h->items[k], &last))
			break;
		h->items[i] = h->items[k];
		i = k;
	}
	h->items[i] = last;
	return top;
}
