#include <stdlib.h>
#include <string.h>

#include "authority.h"
#include "message_internal.h"

static void on_response(const struct tg_http_result *r, void *arg)
{
	struct message *msg = arg;
	struct board *b = msg->board;
	struct worker *w = msg->worker;
	json_t *response = tg_http_result_json(r);

	if (!worker_finish_call(b, w, r, response)) {
		w->message_due = true;
	} else if (!board_may_command(b) || b->term != msg->term) {
		/* Stepped down since; the jobs are no longer this process's. */
	} else if (r->status == 200) {
		message_handle_results(msg, response);
	} else {
		message_handle_error(msg, r->status, response);
	}
	json_decref(response);
	free(msg);
}

/*
 * Copies a message into one allocation with room for the operations in use: a
 * renewal round has a message to every worker in flight, and OPS_MAX operations
 * take 24 KiB.
 */
static struct message *copy_message(const struct message *draft)
{
	size_t ops_bytes = draft->n * sizeof(*draft->ops);
	struct message *msg = tg_xcalloc(1, sizeof(*msg) + ops_bytes);

	*msg = *draft;
	msg->ops = (struct op *)(msg + 1);
	memcpy(msg->ops, draft->ops, ops_bytes);
	return msg;
}

void message_send(struct board *b, struct worker *w, int64_t now_ms)
{
	static struct op ops[OPS_MAX];
	struct message draft = {
		.board = b,
		.worker = w,
		.term = b->term,
		.body = json_pack("{s:I, s:s, s:I, s:[]}", "epoch",
				  (json_int_t)worker_fence_epoch(b, w), "boot",
				  w->boot, "usage_after",
				  (json_int_t)w->usage_seq, "ops"),
		.ops = ops,
	};

	/* An old clock value would give leases that have nearly expired. */
	if (now_ms - w->response_ms <= b->opts->renew_ms)
		message_add_ops(&draft);
	else
		w->message_due = true;
	authority_note_command(b, now_ms);
	worker_call(b, w, "/v1/commands", draft.body, on_response,
		    copy_message(&draft));
}
