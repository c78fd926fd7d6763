#include <stdlib.h>
#include <string.h>

#include "queue.h"

static void insert_flow(struct queue *q, struct queue_flow *f)
{
	struct queue_flow *at = q->current;

	if (!at) {
		f->prev = f->next = f;
		q->current = f;
		q->quantum_granted = false;
		return;
	}
	/* Insert it before the current flow, that is last in this round. */
	f->next = at;
	f->prev = at->prev;
	at->prev->next = f;
	at->prev = f;
}

static void remove_flow(struct queue *q, struct queue_flow *f)
{
	if (q->current == f) {
		q->current = f->next == f ? NULL : f->next;
		q->quantum_granted = false;
	}
	f->prev->next = f->next;
	f->next->prev = f->prev;
	HASH_DEL(q->flows, f);
	free(f);
}

static struct queue_flow *get_or_add_flow(struct queue *q,
					  const char *workspace)
{
	struct queue_flow *f;

	HASH_FIND_STR(q->flows, workspace, f);
	if (f)
		return f;
	f = tg_xcalloc(1, sizeof(*f));
	tg_strlcpy(f->name, workspace, sizeof(f->name));
	HASH_ADD_STR(q->flows, name, f);
	insert_flow(q, f);
	return f;
}

uint32_t queue_cost(size_t body_bytes)
{
	return 1 + (uint32_t)(body_bytes / QUEUE_COST_BYTES);
}

void queue_push(struct queue *q, struct queue_item *item, const char *workspace)
{
	struct queue_flow *f = get_or_add_flow(q, workspace);

	item->flow = f;
	item->next = NULL;
	item->prev = f->tail;
	if (f->tail)
		f->tail->next = item;
	else
		f->head = item;
	f->tail = item;
	q->n++;
}

void queue_remove(struct queue *q, struct queue_item *item)
{
	struct queue_flow *f = item->flow;

	if (item->prev)
		item->prev->next = item->next;
	else
		f->head = item->next;
	if (item->next)
		item->next->prev = item->prev;
	else
		f->tail = item->prev;
	item->prev = item->next = NULL;
	item->flow = NULL;
	q->n--;
	if (!f->head)
		remove_flow(q, f);
}

struct queue_item *queue_pop(struct queue *q)
{
	while (q->current) {
		struct queue_flow *f = q->current;
		struct queue_item *item = f->head;

		if (!q->quantum_granted) {
			f->deficit += QUEUE_QUANTUM;
			q->quantum_granted = true;
		}
		if (f->deficit >= item->cost) {
			f->deficit -= item->cost;
			queue_remove(q, item);
			return item;
		}
		q->current = f->next;
		q->quantum_granted = false;
	}
	return NULL;
}

void queue_unpop(struct queue *q, struct queue_item *item,
		 const char *workspace)
{
	struct queue_flow *f = get_or_add_flow(q, workspace);

	item->flow = f;
	item->prev = NULL;
	item->next = f->head;
	if (f->head)
		f->head->prev = item;
	else
		f->tail = item;
	f->head = item;
	q->n++;
	f->deficit += item->cost;
	q->current = f;
	q->quantum_granted = true;
}
