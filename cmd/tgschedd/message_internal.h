#ifndef TG_SCHEDD_MESSAGE_INTERNAL_H
#define TG_SCHEDD_MESSAGE_INTERNAL_H

#include "message.h"

enum op_kind {
	OP_RESERVE,
	OP_START,
	OP_RENEW,
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

struct message {
	struct board *board;
	struct worker *worker;
	uint64_t term;
	int64_t worker_now_ms;
	json_t *body;
	struct op ops[OPS_MAX];
	size_t n;
};

/* ops.c: adds what the states of the worker's members ask for */
void message_add_ops(struct message *msg);
/* answer.c */
void message_results(struct message *msg, const json_t *answer);
void message_refused(struct message *msg, int status, const json_t *answer);
void message_add_orphan(struct board *b, struct worker *w, const char *job,
			int64_t attempt, int64_t index);
struct member *message_find_member(struct board *b, const struct worker *w,
				   const char *job, int64_t attempt,
				   int64_t index);
void message_note_checkpoint(struct member *m, const json_t *v);

#endif
