#ifndef TG_SCHEDD_MESSAGE_INTERNAL_H
#define TG_SCHEDD_MESSAGE_INTERNAL_H

#include "message.h"

enum op_kind {
	OP_RESERVE,
	OP_START,
	OP_RENEW,
	OP_RENEW_ALL,
	OP_CHECKPOINT,
	OP_STOP,
	OP_RELEASE,
	OP_RELEASE_ORPHAN,
	OP_STOP_ORPHAN,
};

struct op {
	enum op_kind kind;
	char job[TG_NAME_MAX + 1];
	int64_t attempt;
	int32_t index;
	uint64_t round;
};

/**
 * struct message - message in flight to a worker
 * @term: term in which it was sent
 * @renews_all: it contains a renew_all
 * @body: request; only valid until it is sent
 * @ops: operations in the order of the results; in the same allocation
 */
struct message {
	struct board *board;
	struct worker *worker;
	uint64_t term;
	bool renews_all;
	json_t *body;
	struct op *ops;
	size_t n;
};

/* ops.c: adds the operations that the worker's members and orphans need */
void message_add_ops(struct message *msg);
struct op *message_add_op(struct message *msg, enum op_kind kind, json_t *v);
/*
 * Sets the expiry in @op and extends the member's local expiry.  Both count
 * from the worker's last response.
 */
void message_add_expiry(struct message *msg, json_t *op, struct member *m);
/* renewal.c: adds a renew_all if it can replace the individual renewals */
void message_add_renewal(struct message *msg);
/* response.c: responses with status 200, and with any other status */
void message_handle_results(struct message *msg, const json_t *response);
void message_handle_error(struct message *msg, int status,
			  const json_t *response);
void message_add_orphan(struct board *b, struct worker *w, const char *job,
			int64_t attempt, int64_t index);
/* Returns NULL if the lease belongs to no current attempt. */
struct member *message_find_member(struct board *b, const struct worker *w,
				   const char *job, int64_t attempt,
				   int64_t index);
/* inventory.c: adds an orphan for each lease of no current attempt */
void message_add_orphans(struct board *b, struct worker *w,
			 const json_t *leases);
void message_update_checkpoint(struct member *m, const json_t *v);

#endif
