#include <stdlib.h>

#include "account.h"
#include "message_internal.h"

static void on_answer(const struct tg_http_result *r, void *arg)
{
	struct message *msg = arg;
	struct board *b = msg->board;
	struct worker *w = msg->worker;
	json_t *answer = tg_http_result_json(r);

	if (!worker_call_ended(b, w, r, answer)) {
		w->due = true;
	} else if (!board_commands(b) || b->term != msg->term) {
		/* Stepped down since; the board is not ours any more. */
	} else if (r->status == 200) {
		message_results(msg, answer);
	} else {
		message_refused(msg, r->status, answer);
	}
	json_decref(answer);
	free(msg);
}

void message_send(struct board *b, struct worker *w, int64_t now_ms)
{
	struct message *msg = tg_xcalloc(1, sizeof(*msg));

	msg->board = b;
	msg->worker = w;
	msg->term = b->term;
	msg->body = json_pack("{s:I, s:s, s:[]}", "epoch",
			      (json_int_t)worker_fence(b, w), "boot", w->boot,
			      "ops");
	/* An old clock reading would give a lease that has nearly expired. */
	if (now_ms - w->reply_ms <= b->opts->renew_ms)
		message_add_ops(msg);
	else
		w->due = true;
	account_command(b, now_ms);
	worker_call(b, w, "/v1/commands", msg->body, on_answer, msg);
}
