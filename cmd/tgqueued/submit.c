#include <stdlib.h>
#include <string.h>

#include "board.h"

/*
 * A submission is accepted once its row is in the store.  While a write may
 * have taken effect without an answer the caller gets no refusal: the write is
 * repeated, and the row itself tells.
 */

#define WRITE_TIMEOUT_MS 900
#define RETRY_MS 120
/* Told to the owner so that it need not wait for its feed; may be lost. */
#define NOTIFY_TIMEOUT_MS 1000
#define RETRY_AFTER_S 1

static void try_write(struct request *r);

static void on_notified(enum tg_rpc_end end, const struct tg_rpc_answer *a,
			void *arg)
{
	(void)end; /* the owner's feed brings the job as well */
	(void)a;
	(void)arg;
}

static void notify_owner(struct request *r)
{
	struct tg_rpc_job j = {
		.workspace = "",
		.job = r->job,
	};

	j.spec.spec_val = r->row;
	j.spec.spec_len = (u_int)strlen(r->row);
	owner_call(r->board, TG_RPC_JOB_SUBMIT, &j, NOTIFY_TIMEOUT_MS,
		   on_notified, NULL);
}

static void accept_job(struct request *r, const char *why)
{
	notify_owner(r);
	request_end(r, 200, why);
}

static void give_up(struct request *r)
{
	if (r->unknown)
		request_end(r, 504, "unknown whether the job is stored");
	else
		request_end(r, 503, "the store does not take the job");
}

static void try_again(struct request *r)
{
	tg_log(EV_QUEUE_ATTEMPT, "job=%s attempt=%d unknown=%d left_ms=%lld",
	       r->job, r->attempts, r->unknown, (long long)request_left_ms(r));
	if (request_left_ms(r) <= RETRY_MS)
		give_up(r);
	else
		request_later(r, RETRY_MS, try_write);
}

static void on_written(const struct tg_store_result *w, void *arg)
{
	struct request *r = arg;

	switch (w->end) {
	case TG_STORE_OK:
		accept_job(r, "stored");
		break;
	case TG_STORE_CONFLICT:
		if (!w->n_rows)
			try_again(r);
		else if (tg_job_row_same(w->rows[0].value,
					 w->rows[0].value_bytes, r->row,
					 strlen(r->row)))
			accept_job(r, "stored before");
		else
			request_end(r, 409, "the id has another job");
		break;
	case TG_STORE_INVALID:
		request_end(r, r->unknown ? 504 : 413,
			    "the store can't keep the job");
		break;
	case TG_STORE_UNKNOWN:
		r->unknown = true;
		try_again(r);
		break;
	default:
		try_again(r);
	}
}

static void try_write(struct request *r)
{
	struct board *b = r->board;
	struct tg_row check = {
		.table = TG_JOBS_TABLE,
		.part = tg_job_part(r->job),
		.key = r->job,
	};
	struct tg_row put = check;
	struct tg_store_tx tx = {
		.checks = &check,
		.n_checks = 1,
		.puts = &put,
		.n_puts = 1,
		.timeout_ms = WRITE_TIMEOUT_MS,
	};

	if (request_left_ms(r) < tx.timeout_ms)
		tx.timeout_ms = request_left_ms(r);
	put.value = r->row;
	put.value_bytes = strlen(r->row);
	r->attempts++;
	b->site.ops->tx(b->site.port, &tx, on_written, r);
}

void submit(struct request *r)
{
	try_write(r);
}
