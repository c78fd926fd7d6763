#include <string.h>

#include "authority.h"
#include "lease.h"
#include "message_internal.h"

static const char *const class_names[] = { "urgent", "guaranteed", "lent" };

struct op *message_add_op(struct message *msg, enum op_kind kind, json_t *v)
{
	struct op *op = &msg->ops[msg->n++];

	memset(op, 0, sizeof(*op));
	op->kind = kind;
	json_array_append_new(json_object_get(msg->body, "ops"), v);
	return op;
}

static json_t *add_op(struct message *msg, enum op_kind kind, const char *name,
		      const char *job, int64_t attempt, int32_t index)
{
	json_t *v = json_pack("{s:s, s:s, s:I, s:i}", "op", name, "job", job,
			      "attempt", (json_int_t)attempt, "index", index);
	struct op *op = message_add_op(msg, kind, v);

	tg_strlcpy(op->job, job, sizeof(op->job));
	op->attempt = attempt;
	op->index = index;
	return v;
}

static json_t *add_member_op(struct message *msg, enum op_kind kind,
			     const char *name, const struct member *m)
{
	return add_op(msg, kind, name, m->job->spec.job, m->job->attempt,
		      m->index);
}

static void set_int(json_t *v, const char *key, int64_t n)
{
	json_object_set_new(v, key, json_integer(n));
}

void message_add_expiry(struct message *msg, json_t *op, struct member *m)
{
	struct worker *w = msg->worker;
	int64_t ttl_ms = msg->board->opts->lease_ms;
	int64_t local_expiry_ms = lease_local_expiry_ms(w->response_ms, ttl_ms);

	set_int(op, "expires_ms", lease_worker_expiry_ms(w->clock_ms, ttl_ms));
	if (m->local_expiry_ms < local_expiry_ms)
		m->local_expiry_ms = local_expiry_ms;
}

static void add_reserve_op(struct message *msg, struct member *m)
{
	const struct job *j = m->job;
	json_t *op = add_member_op(msg, OP_RESERVE, "reserve", m);
	json_t *ckpt = json_array_get(j->ckpts, (size_t)m->index);
	json_t *task = json_object_get(j->spec_json, "task");

	message_add_expiry(msg, op, m);
	set_int(op, "gang_size", j->n_members);
	set_int(op, "accelerators", j->spec.accelerators);
	set_int(op, "cores", j->spec.cores);
	set_int(op, "memory_gb", j->spec.memory_gb);
	json_object_set_new(op, "workspace", json_string(j->spec.workspace));
	json_object_set_new(op, "class",
			    json_string(class_names[j->spec.class]));
	if (json_string_length(ckpt))
		json_object_set(op, "checkpoint", ckpt);
	json_object_set(op, "task", task);
	m->state = MEMBER_UNKNOWN;
}

static bool all_have_leases(const struct job *j)
{
	int32_t i;

	for (i = 0; i < j->n_members; i++)
		if (j->members[i].state < MEMBER_RESERVED ||
		    j->members[i].state > MEMBER_DONE)
			return false;
	return true;
}

static void add_reserving_ops(struct message *msg, struct member *m)
{
	if (m->state == MEMBER_NONE || m->state == MEMBER_UNKNOWN)
		add_reserve_op(msg, m);
	if (msg->board->opts->unsafe_start_before_reserved &&
	    m->state < MEMBER_RUNNING && msg->n < OPS_MAX)
		add_member_op(msg, OP_START, "start", m);
}

static void add_running_ops(struct message *msg, struct member *m)
{
	struct job *j = m->job;
	json_t *op;

	if (m->state != MEMBER_RUNNING)
		return;
	if (m->confirmed_round < j->round && m->renew_all_round < j->round &&
	    authority_may_renew(msg->board, tg_now_ms())) {
		op = add_member_op(msg, OP_RENEW, "renew", m);
		msg->ops[msg->n - 1].round = j->round;
		message_add_expiry(msg, op, m);
	}
	if (m->ckpt_round < j->ckpt_round && msg->n < OPS_MAX) {
		add_member_op(msg, OP_CHECKPOINT, "checkpoint", m);
		msg->ops[msg->n - 1].round = j->ckpt_round;
	}
}

static void add_final_checkpoint(struct message *msg, struct member *m)
{
	add_member_op(msg, OP_CHECKPOINT, "checkpoint", m);
	msg->ops[msg->n - 1].round = UINT64_MAX;
}

static void add_stopping_ops(struct message *msg, struct member *m)
{
	switch (m->state) {
	case MEMBER_UNKNOWN:
	case MEMBER_RESERVED:
	case MEMBER_RUNNING:
		if (m->job->reclaim_requested && m->state == MEMBER_RUNNING)
			add_final_checkpoint(msg, m);
		add_member_op(msg, OP_STOP, "stop", m);
		break;
	case MEMBER_DONE:
		if (board_may_release_done(m->job))
			add_member_op(msg, OP_RELEASE, "release", m);
		break;
	case MEMBER_STOPPED:
		add_member_op(msg, OP_RELEASE, "release", m);
		break;
	default:
		break;
	}
}

static void add_ops_of_member(struct message *msg, struct member *m)
{
	switch (m->job->gang) {
	case GANG_RESERVING:
		add_reserving_ops(msg, m);
		break;
	case GANG_STARTING:
		if (m->state == MEMBER_RESERVED && all_have_leases(m->job))
			add_member_op(msg, OP_START, "start", m);
		break;
	case GANG_RUNNING:
		add_running_ops(msg, m);
		break;
	case GANG_STOPPING:
		add_stopping_ops(msg, m);
		break;
	case GANG_RELEASING:
		if (m->state == MEMBER_DONE || m->state == MEMBER_STOPPED)
			add_member_op(msg, OP_RELEASE, "release", m);
		break;
	default:
		break;
	}
}

/*
 * A member or orphan adds at most two operations; those that do not fit go into
 * the next message.
 */
static bool is_full(struct message *msg)
{
	if (msg->n + 2 <= OPS_MAX)
		return false;
	msg->worker->message_due = true;
	return true;
}

void message_add_ops(struct message *msg)
{
	struct worker *w = msg->worker;
	struct orphan *o;
	struct member *m;

	DL_FOREACH(w->orphans, o) {
		if (is_full(msg))
			return;
		add_op(msg, OP_STOP_ORPHAN, "stop", o->job, o->attempt,
		       o->index);
		add_op(msg, OP_RELEASE_ORPHAN, "release", o->job, o->attempt,
		       o->index);
	}
	/*
	 * After the orphans are stopped, since the worker includes running
	 * orphans in the leases that a renew_all must match.
	 */
	if (is_full(msg))
		return;
	message_add_renewal(msg);
	DL_FOREACH(w->members, m) {
		if (is_full(msg))
			return;
		add_ops_of_member(msg, m);
	}
}
