#include <stdlib.h>
#include <string.h>

#include "board.h"

/*
 * Queries about jobs go to the owner, which knows their state, or are answered
 * from the store if no owner answers.
 */

#define OWNER_TIMEOUT_MS 600
#define CANCEL_TIMEOUT_MS 1500
#define READ_TIMEOUT_MS 800
#define WRITE_TIMEOUT_MS 900
#define RETRY_MS 120

static void read_job(struct request *r);

/* Starts over at the owner, which may be known or have changed by now. */
static void retry_query(struct request *r)
{
	if (r->kind == TG_REQUEST_CANCEL)
		cancel_job(r);
	else
		query_state(r);
}

static struct tg_rpc_job job_args(struct request *r)
{
	struct tg_rpc_job j = { .workspace = "", .job = r->job };

	return j;
}

/*
 * Ends the request if the owner's answer shows that it was decoded by a
 * document that must not be used any more.
 */
static bool end_if_outdated(struct request *r)
{
	if (tg_document_state(r->board->document) != TG_DOCUMENT_OUTDATED)
		return false;
	request_end_outdated(r);
	return true;
}

static bool out_of_time(struct request *r)
{
	if (request_left_ms(r) > RETRY_MS)
		return false;
	request_end(r, 504, "neither the owner nor the store answered in time");
	return true;
}

/* --- jobs that are refused --- */

/* Memory becomes free as jobs end, some time after their callers have asked. */
#define NO_ROOM_RETRY_AFTER_S 10

static void on_refused_row(const struct tg_store_result *w, void *arg)
{
	struct request *r = arg;

	r->retry_after_s = NO_ROOM_RETRY_AFTER_S;
	if (w->end != TG_STORE_OK)
		request_end(r, 504, "unknown whether the job was stored");
	else if (!w->n_rows || strcmp(w->rows[0].key, r->job) != 0)
		request_end(r, 503, "no memory for further jobs");
	else if (tg_job_rows_equal(w->rows[0].value, w->rows[0].value_bytes,
				   r->row, strlen(r->row)))
		request_end(r, 200, "stored before");
	else
		request_end(r, 409, "another job has this id");
}

/* The request may repeat one whose answer was lost. */
void reject_unless_stored(struct request *r)
{
	struct tg_store_range range = {
		.table = TG_JOBS_TABLE,
		.part = tg_job_part(r->job),
		.from = r->job,
		.limit = 1,
		.timeout_ms = READ_TIMEOUT_MS,
	};

	r->board->site.ops->get(r->board->site.port, &range, on_refused_row, r);
}

/* --- state --- */

/*
 * Whether a worker may have begun a run of the job, by the first row of its
 * progress: a recorded run may have begun, and older versions record no more.
 */
static bool may_have_begun(const json_t *progress)
{
	const json_t *steps = json_object_get(progress, "steps"), *v;
	size_t i;

	if (!json_is_false(json_object_get(progress, "begun")))
		return true;
	json_array_foreach(steps, i, v)
		if (json_array_size(json_object_get(v, "runs")))
			return true;
	return false;
}

/*
 * A job that had ended when its cancellation was stored is not cancelled.
 *
 * Return: NULL if the stored state is invalid.
 */
static const char *state_of(const struct request *r,
			    const struct tg_store_result *w)
{
	json_int_t state = FLOW_QUEUED;
	json_t *o;

	if (w->n_rows && !strcmp(w->rows[0].key, r->job)) {
		o = json_loadb(w->rows[0].value, w->rows[0].value_bytes, 0,
			       NULL);
		state = json_integer_value(json_object_get(o, "state"));
		if (state == FLOW_QUEUED && may_have_begun(o))
			state = FLOW_RUNNING;
		json_decref(o);
	}
	if (state < FLOW_QUEUED || state > FLOW_CANCELLED)
		return NULL;
	if (state < FLOW_COMPLETED && r->cancelled)
		state = FLOW_CANCELLED;
	return flow_state_name((enum flow_state)state);
}

static void on_progress(const struct tg_store_result *w, void *arg)
{
	struct request *r = arg;
	const char *state;

	if (w->end != TG_STORE_OK) {
		if (!out_of_time(r))
			request_schedule(r, RETRY_MS, retry_query);
		return;
	}
	state = state_of(r, w);
	if (state)
		request_end_state(r, state);
	else
		request_end(r, 503, "the stored state of the job is invalid");
}

static void read_progress(struct request *r)
{
	struct tg_store_range range = {
		.table = TG_PROGRESS_TABLE,
		.part = TG_OWNER_PART,
		.from = r->job,
		.limit = 1,
		.timeout_ms = READ_TIMEOUT_MS,
	};

	r->board->site.ops->get(r->board->site.port, &range, on_progress, r);
}

static void store_cancel(struct request *r);

static void on_job_row(const struct tg_store_result *w, void *arg)
{
	struct request *r = arg;
	char cancel[64];
	size_t i;

	if (w->end != TG_STORE_OK) {
		if (!out_of_time(r))
			request_schedule(r, RETRY_MS, retry_query);
		return;
	}
	snprintf(cancel, sizeof(cancel), "%s%s", r->job, TG_CANCEL_SUFFIX);
	for (i = 0; i < w->n_rows; i++) {
		r->found |= !strcmp(w->rows[i].key, r->job);
		r->cancelled |= !strcmp(w->rows[i].key, cancel);
	}
	if (!r->found)
		request_end(r, 410, "no such job");
	else if (r->kind == TG_REQUEST_CANCEL)
		store_cancel(r);
	else
		read_progress(r);
}

static void read_job(struct request *r)
{
	struct tg_store_range range = {
		.table = TG_JOBS_TABLE,
		.part = tg_job_part(r->job),
		.from = r->job,
		.limit = 2,
		.timeout_ms = READ_TIMEOUT_MS,
	};

	r->board->site.ops->get(r->board->site.port, &range, on_job_row, r);
}

static void on_state(enum tg_rpc_call_status end, const struct tg_rpc_answer *a,
		     void *arg)
{
	struct request *r = arg;
	const char *state;
	json_t *o;

	if (end_if_outdated(r))
		return;
	if (end != TG_RPC_CALL_OK || a->status != TG_RPC_OK) {
		/* The owner may not have read a newly stored job yet. */
		read_job(r);
		return;
	}
	o = json_loadb(a->json.json_val, a->json.json_len, 0, NULL);
	state = json_string_value(json_object_get(o, "state"));
	if (state)
		request_end_state(r, state);
	else
		read_job(r);
	json_decref(o);
}

void query_state(struct request *r)
{
	struct tg_rpc_job j = job_args(r);

	owner_call(r->board, TG_RPC_JOB_STATUS, &j, OWNER_TIMEOUT_MS, on_state,
		   r);
}

/* --- cancel --- */

static void on_cancel_stored(const struct tg_store_result *w, void *arg)
{
	struct request *r = arg;

	if (w->end == TG_STORE_OK)
		request_end(r, 200, "cancellation stored");
	else if (!out_of_time(r))
		request_schedule(r, RETRY_MS, store_cancel);
}

/* Stores the cancellation as a row, which the next owner reads. */
static void store_cancel(struct request *r)
{
	char key[64];
	struct tg_row put = {
		.table = TG_JOBS_TABLE,
		.part = tg_job_part(r->job),
		.key = key,
		.value = "{}",
		.value_bytes = 2,
	};
	struct tg_store_tx tx = {
		.puts = &put,
		.n_puts = 1,
		.timeout_ms = WRITE_TIMEOUT_MS,
	};

	snprintf(key, sizeof(key), "%s%s", r->job, TG_CANCEL_SUFFIX);
	r->board->site.ops->tx(r->board->site.port, &tx, on_cancel_stored, r);
}

static void on_cancelled(enum tg_rpc_call_status end,
			 const struct tg_rpc_answer *a, void *arg)
{
	struct request *r = arg;

	if (end == TG_RPC_CALL_OK && a->status == TG_RPC_OK)
		request_end(r, 200, "cancelled");
	else if (end_if_outdated(r))
		return;
	else
		read_job(r);
}

void cancel_job(struct request *r)
{
	struct tg_rpc_job j = job_args(r);

	owner_call(r->board, TG_RPC_JOB_CANCEL, &j, CANCEL_TIMEOUT_MS,
		   on_cancelled, r);
}

/* --- count --- */

static void retry_waiting(struct request *r)
{
	query_waiting(r);
}

static void on_count(enum tg_rpc_call_status end, const struct tg_rpc_answer *a,
		     void *arg)
{
	struct request *r = arg;
	json_t *o;

	if (end_if_outdated(r))
		return;
	if (end != TG_RPC_CALL_OK || a->status != TG_RPC_OK) {
		if (request_left_ms(r) <= 2 * RETRY_MS)
			request_end(r, 503, "no owner answered in time");
		else
			request_schedule(r, RETRY_MS, retry_waiting);
		return;
	}
	o = json_loadb(a->json.json_val, a->json.json_len, 0, NULL);
	request_end_count(r, json_integer_value(json_object_get(o, "waiting")));
	json_decref(o);
}

void query_waiting(struct request *r)
{
	struct tg_rpc_list l = { .workspace = r->queue, .after = "" };

	owner_call(r->board, TG_RPC_JOB_LIST, &l, OWNER_TIMEOUT_MS, on_count,
		   r);
}
