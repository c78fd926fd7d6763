#include <stdlib.h>
#include <string.h>

#include "board.h"

/*
 * A submission is accepted once its row is in the store.  After a write without
 * an answer, which may have taken effect, the job is not refused: the write is
 * repeated, and the row in the store shows the result.  The store may refuse
 * this instance while it serves the neighbours, so every second attempt goes
 * through another instance.
 */

/* A write takes 4 ms, 64 ms across regions and 300 ms on a slow store. */
#define WRITE_TIMEOUT_MS 700
/*
 * Time-out of attempts after one without an answer.  A slow store applies the
 * writes to a part one after another, so more copies would slow it down
 * further.
 */
#define REPEAT_TIMEOUT_MS 1400
#define RETRY_MS 60
/* The notice to the owner may be lost: the owner also reads its feed. */
#define NOTIFY_TIMEOUT_MS 1000
/* For this long after a failed write, first attempts go through a peer. */
#define AVOID_FAILED_MS 2000
/*
 * While writes fail both directly and through peers, one request per this time
 * tries the store and others are refused.
 */
#define PROBE_MS 300
/*
 * A request is refused after this many failed attempts if writes fail both
 * directly and through peers.
 */
#define FAILED_ATTEMPTS_MAX 3

static void try_store(struct request *r);

static void on_notified(enum tg_rpc_call_status end,
			const struct tg_rpc_answer *a, void *arg)
{
	(void)end; /* the owner also reads the job from its feed */
	(void)a;
	(void)arg;
}

static struct tg_rpc_job submit_args(struct request *r)
{
	struct tg_rpc_job j = {
		.workspace = "",
		.job = r->job,
	};

	j.spec.spec_val = r->row;
	j.spec.spec_len = (u_int)strlen(r->row);
	return j;
}

/* The version tells the owner whether the job may have been deleted since. */
static void accept_job(struct request *r, int64_t row_version, const char *why)
{
	struct tg_rpc_job j = submit_args(r);
	char *notice = tg_job_notice_encode(r->row, row_version);

	j.spec.spec_val = notice;
	j.spec.spec_len = (u_int)strlen(notice);
	owner_call(r->board, TG_RPC_JOB_SUBMIT, &j, NOTIFY_TIMEOUT_MS,
		   on_notified, NULL);
	free(notice);
	request_end(r, 200, why);
}

static void give_up(struct request *r)
{
	if (r->maybe_stored)
		request_end(r, 504, "unknown whether the job was stored");
	else
		request_end(r, 503, "the job could not be stored");
}

/* Whether writes by this instance and by a peer have both failed recently. */
static bool store_is_down(const struct board *b)
{
	int64_t since_ms = tg_now_ms() - AVOID_FAILED_MS;

	return b->store_failed_ms > since_ms && b->relay_failed_ms > since_ms;
}

static void retry_store(struct request *r)
{
	tg_log(EV_QUEUE_ATTEMPT,
	       "job=%s attempt=%d relayed=%d unknown=%d left_ms=%lld", r->job,
	       r->attempts, r->relayed, r->maybe_stored,
	       (long long)request_left_ms(r));
	if (request_left_ms(r) <= RETRY_MS ||
	    (!r->maybe_stored && r->attempts >= FAILED_ATTEMPTS_MAX &&
	     store_is_down(r->board)))
		give_up(r);
	else
		request_schedule(r, RETRY_MS, try_store);
}

static void attempt_ended(struct request *r, enum tg_job_store_result end,
			  int64_t row_version)
{
	switch (end) {
	case TG_JOB_STORED:
		accept_job(r, row_version,
			   r->relayed ? "stored by a peer" : "stored");
		break;
	case TG_JOB_ID_TAKEN:
		request_end(r, 409, "another job has this id");
		break;
	case TG_JOB_REJECTED:
		request_end(r, r->maybe_stored ? 504 : 413,
			    "the store can't hold the job");
		break;
	case TG_JOB_UNKNOWN:
		r->maybe_stored = true;
		retry_store(r);
		break;
	default:
		retry_store(r);
	}
}

static void on_stored(enum tg_job_store_result end, int64_t row_version,
		      void *arg)
{
	struct request *r = arg;
	bool failed = end == TG_JOB_NOT_STORED || end == TG_JOB_UNKNOWN;

	r->board->store_failed_ms = failed ? tg_now_ms() : 0;
	attempt_ended(r, end, row_version);
}

/* 0 if the peer is of an older version. */
static int64_t row_version_of(const struct tg_rpc_answer *a)
{
	json_t *o = json_loadb(a->json.json_val, a->json.json_len, 0, NULL);
	int64_t v = json_integer_value(json_object_get(o, "row_version"));

	json_decref(o);
	return v;
}

static void on_relayed(enum tg_rpc_call_status end, const void *res, void *arg)
{
	struct request *r = arg;
	const struct tg_rpc_answer *a = res;
	enum tg_job_store_result stored = TG_JOB_UNKNOWN;

	if (end == TG_RPC_CALL_NOT_SENT || end == TG_RPC_CALL_REJECTED)
		stored = TG_JOB_NOT_STORED;
	else if (end == TG_RPC_CALL_OK)
		stored = tg_job_store_result_from_rpc(a->status);
	/* A peer that does not answer shows nothing about the store. */
	if (end == TG_RPC_CALL_OK)
		r->board->relay_failed_ms = stored == TG_JOB_NOT_STORED ||
				stored == TG_JOB_UNKNOWN ?
			tg_now_ms() :
			0;
	attempt_ended(r, stored,
		      stored == TG_JOB_STORED ? row_version_of(a) : 0);
}

/* Whether the next attempt goes through a peer. */
static bool should_relay(const struct request *r)
{
	int64_t failed_ms = r->board->store_failed_ms;
	bool avoid = failed_ms && tg_now_ms() - failed_ms < AVOID_FAILED_MS;

	return (r->attempts % 2 == 1) != avoid;
}

static void try_store(struct request *r)
{
	struct board *b = r->board;
	struct tg_rpc_job j = submit_args(r);
	const char *peer = should_relay(r) ? owner_pick_peer(b) : NULL;
	int64_t timeout_ms =
		r->maybe_stored ? REPEAT_TIMEOUT_MS : WRITE_TIMEOUT_MS;

	if (request_left_ms(r) < timeout_ms)
		timeout_ms = request_left_ms(r);
	r->relayed = peer != NULL;
	r->attempts++;
	if (peer)
		tg_rpc_call(b->peers, peer, TG_RPC_JOB_STORE, &j, timeout_ms,
			    on_relayed, r);
	else
		tg_job_store(&b->site, r->job, r->row, timeout_ms, on_stored,
			     r);
}

void submit(struct request *r)
{
	struct board *b = r->board;
	int64_t now_ms = tg_now_ms();

	if (!r->row) {
		request_end(r, 500, "the job can't be encoded");
		return;
	}
	if (strlen(r->row) > (size_t)b->site.set.row_bytes) {
		request_end(r, 413, "the store can't hold the job");
		return;
	}
	if (store_is_down(b) && now_ms - b->probed_ms < PROBE_MS) {
		request_end(r, 503, "the store does not answer");
		return;
	}
	if (!room_is_left(r)) {
		room_note_refusal(r);
		reject_unless_stored(r);
		return;
	}
	b->probed_ms = now_ms;
	room_take(r);
	try_store(r);
}
