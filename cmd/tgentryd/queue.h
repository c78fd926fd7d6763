#ifndef ENTRY_QUEUE_H
#define ENTRY_QUEUE_H

#include <uthash.h>

#include "base/base.h"

/**
 * DOC: queue of a service
 *
 * Deficit round robin over workspaces, so that a workspace with many or long
 * requests does not delay the others.  An entry's cost is counted in units of
 * QUEUE_COST_BYTES of its body.
 */

#define QUEUE_COST_BYTES 16384
/* Units that a workspace gets in one turn. */
#define QUEUE_QUANTUM 8

struct queue_flow;

/** struct queue_item - embedded in what waits */
struct queue_item {
	struct queue_flow *flow; /* NULL when not queued */
	uint32_t cost;
	struct queue_item *prev, *next;
};

/** struct queue_flow - waiting requests of one workspace */
struct queue_flow {
	char name[TG_NAME_MAX + 1];
	struct queue_item *head, *tail;
	uint32_t deficit;
	struct queue_flow *prev, *next; /* ring */
	UT_hash_handle hh;
};

struct queue {
	struct queue_flow *flows; /* by workspace, each with an item */
	struct queue_flow *current;
	bool granted; /* @current got its quantum in this turn */
	size_t n;
};

/** queue_cost() - cost of a request with a body of @body_bytes */
uint32_t queue_cost(size_t body_bytes);
/** queue_push() - append to the flow of @workspace; @item->cost is set */
void queue_push(struct queue *q, struct queue_item *item,
		const char *workspace);
/** queue_pop() - take the next item, or NULL */
struct queue_item *queue_pop(struct queue *q);
/** queue_unpop() - put the item that was just taken back in its place */
void queue_unpop(struct queue *q, struct queue_item *item,
		 const char *workspace);
/** queue_remove() - take a waiting item out */
void queue_remove(struct queue *q, struct queue_item *item);

#endif
