#include <stdlib.h>
#include <string.h>

#include "message_internal.h"

static void on_answer(const struct tg_http_result *r, void *arg)
{
	struct message *msg = arg;
	struct board *b = msg->board;
	struct worker *w = msg->worker;
	json_t *answer = tg_http_result_json(r);

	w->call = NULL;
	w->call_arg = NULL;
	w->in_flight = false;
	if (r->end != TG_HTTP_WHOLE || !answer) {
		w->up = false;
		w->tried = true;
		w->due = true;
		w->next_ms = tg_now_ms() + b->opts->call_ms;
	} else if (!board_commands(b) || b->epoch != msg->epoch) {
		/* Stepped down since; the board is not ours any more. */
	} else if (r->status == 200) {
		message_results(msg, answer);
	} else {
		message_refused(msg, r->status, answer);
	}
	json_decref(answer);
	free(msg);
}

static uint64_t fence(const struct board *b, const struct worker *w)
{
	if (b->opts->unsafe_ignore_epoch && w->epoch_seen > b->epoch)
		return w->epoch_seen;
	return b->epoch;
}

void message_send(struct board *b, struct worker *w, int64_t now_ms)
{
	struct message *msg = tg_xcalloc(1, sizeof(*msg));
	struct tg_http_call_opts call = {
		.method = EVHTTP_REQ_POST,
		.addr = w->addr,
		.uri = "/v1/commands",
		.timeout_ms = b->opts->call_ms,
		.done = on_answer,
		.arg = msg,
	};
	char *text;

	msg->board = b;
	msg->worker = w;
	msg->epoch = b->epoch;
	msg->body = json_pack("{s:I, s:s, s:[]}", "epoch",
			      (json_int_t)fence(b, w), "boot", w->boot, "ops");
	/* An old clock reading would give a lease that has nearly expired. */
	if (now_ms - w->reply_ms <= b->opts->renew_ms)
		message_add_ops(msg);
	else
		w->due = true;
	text = json_dumps(msg->body, JSON_COMPACT);
	json_decref(msg->body);
	call.body = text;
	call.body_bytes = strlen(text);
	w->in_flight = true;
	w->call_arg = msg;
	w->call = tg_http_call_start(b->worker_http, &call);
	free(text);
}
