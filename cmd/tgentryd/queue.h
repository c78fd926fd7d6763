#ifndef ENTRY_QUEUE_H
#define ENTRY_QUEUE_H

#include <uthash.h>

#include "base/base.h"

/**
 * DOC: queue of a service
 *
 * Deficit round robin over workspaces, so that a workspace with many or large
 * requests does not delay the others.  The cost of a request is the size of its
 * body in units of QUEUE_COST_BYTES, plus one.
 */

#define QUEUE_COST_BYTES 16384
/* Cost units that a workspace gets in each turn. */
#define QUEUE_QUANTUM 8

struct queue_flow;

/**
 * struct queue_item - list node, embedded in a queued request
 * @flow: flow that it is queued in, or NULL
 * @cost: in cost units, at least 1
 */
struct queue_item {
	struct queue_flow *flow;
	uint32_t cost;
	struct queue_item *prev, *next;
};

/**
 * struct queue_flow - queued requests of one workspace
 * @name: of the workspace
 * @deficit: cost units that it may still use
 * @next: next flow of the ring in which the flows take their turns
 */
struct queue_flow {
	char name[TG_NAME_MAX + 1];
	struct queue_item *head, *tail;
	uint32_t deficit;
	struct queue_flow *prev, *next;
	UT_hash_handle hh;
};

/**
 * struct queue - queue of a service
 * @flows: hash table by workspace; a flow without items is removed
 * @current: flow whose turn it is, or NULL if the queue is empty
 * @quantum_granted: @current got its quantum in this turn
 * @n: number of items
 */
struct queue {
	struct queue_flow *flows;
	struct queue_flow *current;
	bool quantum_granted;
	size_t n;
};

/** queue_cost() - cost of a request with a body of @body_bytes */
uint32_t queue_cost(size_t body_bytes);
/** queue_push() - append to the flow of @workspace; set @item->cost before */
void queue_push(struct queue *q, struct queue_item *item,
		const char *workspace);
/** queue_pop() - remove and return the next item, or NULL if there is none */
struct queue_item *queue_pop(struct queue *q);
/**
 * queue_unpop() - undo queue_pop() of @item
 *
 * Puts the item back at the head of its flow, returns its cost to the flow and
 * makes it that flow's turn again.
 */
void queue_unpop(struct queue *q, struct queue_item *item,
		 const char *workspace);
/** queue_remove() - remove a queued item from any position */
void queue_remove(struct queue *q, struct queue_item *item);

#endif
