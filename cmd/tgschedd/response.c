#include <string.h>

#include "fault.h"
#include "message_internal.h"

/*
 * A delayed stop of this attempt must not end a later reservation, so the
 * number of the attempt is not used again (spec/gang.pml, REUSE_ATTEMPT).
 */
void message_add_orphan(struct board *b, struct worker *w, const char *job,
			int64_t attempt, int64_t index)
{
	struct job *j = board_find_job(b, job);

	if (j && attempt > j->attempt_floor && !b->opts->unsafe_reuse_attempts)
		j->attempt_floor = attempt;
	board_add_orphan(w, job, attempt, (int32_t)index);
}

struct member *message_find_member(struct board *b, const struct worker *w,
				   const char *job, int64_t attempt,
				   int64_t index)
{
	struct job *j = board_find_job(b, job);

	if (!j || j->attempt != attempt || index < 0 || index >= j->n_members ||
	    j->members[index].worker != w)
		return NULL;
	return &j->members[index];
}

void message_update_checkpoint(struct member *m, const json_t *v)
{
	const char *s = json_string_value(json_object_get(v, "checkpoint"));
	const json_t *progress = json_object_get(v, "progress_ms");

	if (json_is_integer(progress) && json_integer_value(progress) >= 0)
		m->progress_ms = json_integer_value(progress);
	if (s && *s && strlen(s) <= CKPT_MAX)
		tg_strlcpy(m->ckpt, s, sizeof(m->ckpt));
}

static void on_reserve_result(struct member *m, bool ok, const char *error)
{
	if (m->job->gang != GANG_RESERVING)
		return;
	if (ok) {
		if (m->state < MEMBER_RESERVED)
			m->state = MEMBER_RESERVED;
		return;
	}
	m->refused = true;
	m->state = MEMBER_GONE;
	snprintf(m->job->reason, sizeof(m->job->reason),
		 "worker %s refused the reservation: %s", m->worker->name,
		 error);
}

static void on_start_result(struct member *m, bool ok, const char *error)
{
	if (ok && m->state == MEMBER_RESERVED) {
		m->state = MEMBER_RUNNING;
	} else if (!ok && m->state == MEMBER_RESERVED) {
		if (!strcmp(error, "no_lease")) {
			m->lost = true;
			m->state = MEMBER_GONE;
			return;
		}
		/* The worker keeps the lease until it is released. */
		m->failed = true;
		snprintf(m->job->reason, sizeof(m->job->reason),
			 "start failed on worker %s: %s", m->worker->name,
			 error);
	}
}

static void on_renew_result(struct member *m, const struct op *op, bool ok,
			    const char *error)
{
	if (ok && m->confirmed_round < op->round)
		m->confirmed_round = op->round;
	else if (!ok && m->state == MEMBER_RUNNING &&
		 !strcmp(error, "no_lease")) {
		m->lost = true;
		m->state = MEMBER_GONE;
	}
}

static void on_checkpoint_result(struct member *m, const struct op *op,
				 const json_t *result)
{
	const struct job *j = m->job;

	/* Estimate, in case the response does not report the progress. */
	m->progress_ms =
		j->initial_progress_ms + tg_now_ms() - j->running_since_ms;
	message_update_checkpoint(m, result);
	if (m->ckpt_round < op->round)
		m->ckpt_round = op->round;
}

static void on_orphan_released(struct worker *w, const struct op *op)
{
	struct orphan *o, *tmp;

	DL_FOREACH_SAFE(w->orphans, o, tmp)
		if (o->attempt == op->attempt && o->index == op->index &&
		    !strcmp(o->job, op->job))
			board_remove_orphan(w, o);
}

static void on_renew_all_result(struct message *msg, bool ok,
				const json_t *result)
{
	struct worker *w = msg->worker;
	struct member *m;

	if (ok) {
		DL_FOREACH(w->members, m)
			if (m->confirmed_round < m->renew_all_round)
				m->confirmed_round = m->renew_all_round;
		return;
	}
	tg_counter("tg_renewals_mismatched_total",
		   "Renewals of all leases of a worker that it refused.", NULL)
		->value++;
	tg_log(EV_SCHED_RENEWAL_MISMATCH, "worker=%s", w->name);
	message_add_orphans(msg->board, w, json_object_get(result, "leases"));
	w->renew_individually = true;
	w->message_due = true;
}

static void on_result(struct message *msg, const struct op *op,
		      const json_t *result)
{
	struct board *b = msg->board;
	bool ok = json_is_true(json_object_get(result, "ok"));
	const char *error = json_string_value(json_object_get(result, "error"));
	struct member *m;

	if (op->kind == OP_RENEW_ALL) {
		on_renew_all_result(msg, ok, result);
		return;
	}
	if (op->kind == OP_RELEASE_ORPHAN && ok) {
		on_orphan_released(msg->worker, op);
		b->decision_due = true;
	}
	m = message_find_member(b, msg->worker, op->job, op->attempt,
				op->index);
	if (!m)
		return;
	if (!error)
		error = "unknown error";
	switch (op->kind) {
	case OP_RESERVE:
		on_reserve_result(m, ok, error);
		break;
	case OP_START:
		on_start_result(m, ok, error);
		fault_pause(b, "start", op->job);
		break;
	case OP_RENEW:
		on_renew_result(m, op, ok, error);
		break;
	case OP_CHECKPOINT:
		if (ok)
			on_checkpoint_result(m, op, result);
		break;
	case OP_STOP:
		if (ok && m->state < MEMBER_DONE)
			m->state = MEMBER_STOPPED;
		break;
	case OP_RELEASE:
		if (ok)
			m->state = MEMBER_GONE;
		break;
	default:
		break;
	}
}

static void on_task_failed(struct member *m)
{
	m->failed = true;
	snprintf(m->job->reason, sizeof(m->job->reason),
		 "task %d failed on worker %s", m->index, m->worker->name);
}

static void on_task_ended(struct board *b, struct worker *w, const json_t *v)
{
	const char *job = json_string_value(json_object_get(v, "job"));
	const char *reason = json_string_value(json_object_get(v, "reason"));
	int64_t attempt = json_integer_value(json_object_get(v, "attempt"));
	int64_t index = json_integer_value(json_object_get(v, "index"));
	struct member *m;

	if (!job || !tg_name_valid(job) || !reason) {
		tg_log(EV_SCHED_BAD_ANSWER, "worker=%s place=/ended", w->name);
		return;
	}
	m = message_find_member(b, w, job, attempt, index);
	if (!m) {
		message_add_orphan(b, w, job, attempt, index);
		return;
	}
	if (m->state >= MEMBER_DONE)
		return;
	message_update_checkpoint(m, v);
	if (!strcmp(reason, "done")) {
		m->state = MEMBER_DONE;
		return;
	}
	m->state = MEMBER_STOPPED;
	if (!strcmp(reason, "failed"))
		on_task_failed(m);
	else if (m->job->gang != GANG_STOPPING)
		m->lost = true;
}

bool worker_update_from_response(struct worker *w, const json_t *response)
{
	const char *name =
		json_string_value(json_object_get(response, "worker"));
	const char *boot = json_string_value(json_object_get(response, "boot"));
	const json_t *now = json_object_get(response, "now_ms");
	const json_t *epoch = json_object_get(response, "epoch");

	if (!boot || !json_is_integer(now) || !name ||
	    strcmp(name, w->name) != 0) {
		tg_log(EV_SCHED_BAD_ANSWER, "worker=%s", w->name);
		return false;
	}
	if (strcmp(boot, w->boot) != 0) {
		/* The worker may have been restarted with another version. */
		w->renew_all_unsupported = w->renew_individually = false;
		w->usage_seq = 0;
	}
	if (!tg_strlcpy(w->boot, boot, sizeof(w->boot))) {
		tg_log(EV_SCHED_BAD_ANSWER, "worker=%s place=/boot", w->name);
		return false;
	}
	w->clock_ms = json_integer_value(now);
	w->response_ms = tg_now_ms();
	w->epoch_seen = json_is_integer(epoch) ?
		(uint64_t)json_integer_value(epoch) :
		0;
	w->draining = json_is_true(json_object_get(response, "draining"));
	w->raised_epoch = 0;
	if (!w->reachable)
		tg_log(EV_SCHED_WORKER_BACK, "worker=%s", w->name);
	w->reachable = w->contacted = true;
	return true;
}

static void on_stale_epoch(struct message *msg, const json_t *response)
{
	struct board *b = msg->board;
	uint64_t epoch = (uint64_t)json_integer_value(
		json_object_get(response, "epoch"));

	tg_counter("tg_sched_fenced_total", "Commands refused by epoch.", NULL)
		->value++;
	msg->worker->epoch_seen = epoch;
	msg->worker->raised_epoch = 0;
	msg->worker->message_due = true;
	/* The message was sent before this process raised its epoch. */
	if (epoch <= b->epoch)
		return;
	tg_log(EV_SCHED_FENCED, "worker=%s epoch=%llu higher=%llu",
	       msg->worker->name, (unsigned long long)b->epoch,
	       (unsigned long long)epoch);
	board_step_down(b, "worker", epoch);
}

/* Operation because of which the worker rejected the message, or NULL. */
static const struct op *find_rejected_op(const struct message *msg,
					 const json_t *response)
{
	const char *place =
		json_string_value(json_object_get(response, "place"));
	char slash;
	size_t i;

	if (!place || sscanf(place, "/ops/%zu%c", &i, &slash) != 2 ||
	    slash != '/' || i >= msg->n)
		return NULL;
	return &msg->ops[i];
}

/*
 * Falls back to individual renewals, whatever the worker objected to, so that
 * the leases do not expire because of it.
 */
static void on_renew_all_unsupported(struct worker *w, const json_t *response)
{
	const char *place =
		json_string_value(json_object_get(response, "place"));

	tg_log(EV_SCHED_RENEWAL_SINGLE, "worker=%s place=%s", w->name, place);
	w->renew_all_unsupported = true;
	w->message_due = true;
	worker_update_from_response(w, response);
}

/*
 * Fails the member whose task the worker rejected as invalid.  A task is passed
 * to the worker as it was submitted, and a worker that rejects one operation
 * carries out none of the message.  If the reservation were sent again, no
 * lease of the worker would be renewed any more.
 */
static void on_task_rejected(struct message *msg, const struct op *op,
			     const json_t *response)
{
	const char *error =
		json_string_value(json_object_get(response, "error"));
	struct worker *w = msg->worker;
	struct member *m;

	worker_update_from_response(w, response);
	w->message_due = true;
	m = message_find_member(msg->board, w, op->job, op->attempt, op->index);
	if (!m || m->job->gang != GANG_RESERVING)
		return;
	m->failed = true;
	m->state = MEMBER_GONE;
	snprintf(m->job->reason, sizeof(m->job->reason),
		 "worker %s refused the task as invalid: %.40s: %.40s", w->name,
		 json_string_value(json_object_get(response, "place")),
		 error ? error : "-");
}

void message_handle_error(struct message *msg, int status,
			  const json_t *response)
{
	const char *error =
		json_string_value(json_object_get(response, "error"));
	const struct op *op =
		status == 400 ? find_rejected_op(msg, response) : NULL;
	struct worker *w = msg->worker;

	if (status == 409 && error && !strcmp(error, "stale_epoch")) {
		on_stale_epoch(msg, response);
	} else if (status == 409 && error && !strcmp(error, "wrong_boot")) {
		/*
		 * Installing the epoch returns the inventory of the new boot,
		 * which shows that all former leases are gone.
		 */
		w->epoch_installed = false;
		w->next_call_ms = 0;
	} else if (op && op->kind == OP_RENEW_ALL) {
		on_renew_all_unsupported(w, response);
	} else if (op && op->kind == OP_RESERVE) {
		on_task_rejected(msg, op, response);
	} else {
		tg_log(EV_SCHED_BAD_ANSWER, "worker=%s status=%d error=%s",
		       w->name, status, error ? error : "-");
		w->next_call_ms = tg_now_ms() + msg->board->opts->renew_ms;
	}
}

void message_handle_results(struct message *msg, const json_t *response)
{
	json_t *results = json_object_get(response, "results"), *v;
	json_t *usage_seq = json_object_get(response, "usage_seq");
	struct worker *w = msg->worker;
	size_t i;

	if (!worker_update_from_response(w, response))
		return;
	w->usage_seq = json_integer_value(usage_seq);
	/*
	 * The individual renewals were sent.  If the leases still differ, the
	 * next renew_all sets it again.
	 */
	if (msg->n && !msg->renews_all)
		w->renew_individually = false;
	/* First, since the renewal of an ended task fails with no_lease. */
	json_array_foreach(json_object_get(response, "ended"), i, v)
		on_task_ended(msg->board, w, v);
	for (i = 0; i < msg->n; i++)
		on_result(msg, &msg->ops[i], json_array_get(results, i));
}
