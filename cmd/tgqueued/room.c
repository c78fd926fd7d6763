#include "board.h"

/*
 * Refuses jobs that the owner has no memory for.  An owner that exceeds its
 * memory is killed, and so is each of its successors, which read the same rows;
 * then no job of any caller runs.
 *
 * The owner tells in each of its answers how much it can hold.  In between each
 * instance counts what it accepts against an equal part of that.
 */

/* One job may take this part of the room, so that smaller ones still fit. */
#define JOB_PART 4
/* Time-out of a question that only serves to learn of the room. */
#define ASK_TIMEOUT_MS 600

void room_heard_of(struct board *b, const json_t *answer)
{
	const json_t *room = json_object_get(answer, "room-bytes");

	if (!json_is_integer(room))
		return;
	b->room_known = true;
	b->room_heard_ms = tg_now_ms();
	b->room_bytes = json_integer_value(room);
	b->accepted_bytes = 0;
	b->room_wanted = false;
}

/* The first job after an answer may take more than the part of an instance. */
bool room_is_left(const struct request *r)
{
	const struct board *b = r->board;
	int64_t parts = b->members.n > JOB_PART ? b->members.n : JOB_PART;
	int64_t taken = b->accepted_bytes + b->storing_bytes;

	return !b->room_known ||
		taken + r->job_bytes <= b->room_bytes / parts ||
		(!taken && r->job_bytes <= b->room_bytes / JOB_PART);
}

void room_note_refusal(const struct request *r)
{
	struct board *b = r->board;

	b->room_wanted = true;
	tg_log(EV_QUEUE_NO_ROOM,
	       "job=%s job_bytes=%lld room_bytes=%lld heard_age_ms=%lld "
	       "accepted_bytes=%lld storing_bytes=%lld instances=%d",
	       r->job, (long long)r->job_bytes, (long long)b->room_bytes,
	       (long long)(tg_now_ms() - b->room_heard_ms),
	       (long long)b->accepted_bytes, (long long)b->storing_bytes,
	       (int)b->members.n);
}

void room_take(struct request *r)
{
	r->has_room = true;
	r->board->storing_bytes += r->job_bytes;
}

void room_settle(struct request *r, bool stored)
{
	if (!r->has_room)
		return;
	r->has_room = false;
	r->board->storing_bytes -= r->job_bytes;
	if (stored)
		r->board->accepted_bytes += r->job_bytes;
}

static void on_answer(enum tg_rpc_call_status end,
		      const struct tg_rpc_answer *a, void *arg)
{
	struct board *b = arg;

	(void)end; /* owner_call() has passed on what the answer says */
	(void)a;
	b->room_asking = false;
}

void room_check(struct board *b)
{
	struct tg_rpc_list l = { .workspace = "", .after = "" };

	if (!b->room_wanted || b->room_asking)
		return;
	b->room_asking = true;
	owner_call(b, TG_RPC_JOB_LIST, &l, ASK_TIMEOUT_MS, on_answer, b);
}
