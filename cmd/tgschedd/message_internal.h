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
 * struct message - message in flight
 * @renews_all: has a renew_all
 * @ops: part of the same block, which is freed as a whole
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

/* ops.c: adds what the states of the worker's members ask for */
void message_add_ops(struct message *msg);
struct op *message_add_op(struct message *msg, enum op_kind kind, json_t *v);
/*
 * Sets the expiry of a lease in an operation, and when it has definitely
 * expired.  It counts from the moment of the answer that the expiry is from.
 */
void message_add_expiry(struct message *msg, json_t *op, struct member *m);
/* renewal.c: adds a renew_all if it can replace the single renewals */
void message_add_renewal(struct message *msg);
/* answer.c */
void message_handle_results(struct message *msg, const json_t *response);
void message_handle_error(struct message *msg, int status,
			  const json_t *response);
void message_add_orphan(struct board *b, struct worker *w, const char *job,
			int64_t attempt, int64_t index);
struct member *message_find_member(struct board *b, const struct worker *w,
				   const char *job, int64_t attempt,
				   int64_t index);
/* inventory.c: adds leases that belong to no attempt in force */
void message_add_orphans(struct board *b, struct worker *w,
			 const json_t *leases);
void message_update_checkpoint(struct member *m, const json_t *v);

#endif
