#include <stdlib.h>
#include <string.h>

#include "fault.h"
#include "lease.h"
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
	uint64_t epoch;
	int64_t worker_now_ms;
	json_t *body;
	struct op ops[OPS_MAX];
	size_t n;
};

static const char *const class_names[] = { "urgent", "guaranteed", "lent" };

static json_t *add_op(struct message *msg, enum op_kind kind, const char *name,
		      const char *job, int64_t attempt, int32_t index)
{
	struct op *op = &msg->ops[msg->n++];
	json_t *v = json_pack("{s:s, s:s, s:I, s:i}", "op", name, "job", job,
			      "attempt", (json_int_t)attempt, "index", index);

	op->kind = kind;
	tg_strlcpy(op->job, job, sizeof(op->job));
	op->attempt = attempt;
	op->index = index;
	json_array_append_new(json_object_get(msg->body, "ops"), v);
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

/* The lease counts from the moment of the answer that its expiry is from. */
static void add_expiry(struct message *msg, json_t *op, struct member *m)
{
	struct worker *w = msg->worker;
	int64_t ttl_ms = msg->board->opts->lease_ms;
	int64_t expired_ms = lease_expired_ms(w->reply_ms, ttl_ms);

	set_int(op, "expires_ms", lease_expires_ms(w->now_ms, ttl_ms));
	if (m->expired_ms < expired_ms)
		m->expired_ms = expired_ms;
}

static void add_reserve(struct message *msg, struct member *m)
{
	const struct job *j = m->job;
	json_t *op = add_member_op(msg, OP_RESERVE, "reserve", m);
	json_t *ckpt = json_array_get(j->ckpts, (size_t)m->index);
	json_t *task = json_object_get(j->json, "task");

	add_expiry(msg, op, m);
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
	m->state = M_UNKNOWN;
}

static bool all_present(const struct job *j)
{
	int32_t i;

	for (i = 0; i < j->n_members; i++)
		if (j->members[i].state < M_RESERVED ||
		    j->members[i].state > M_DONE)
			return false;
	return true;
}

static void add_reserving(struct message *msg, struct member *m)
{
	if (m->state == M_NONE || m->state == M_UNKNOWN)
		add_reserve(msg, m);
	if (msg->board->opts->unsafe_start_before_reserved &&
	    m->state < M_RUNNING && msg->n < OPS_MAX)
		add_member_op(msg, OP_START, "start", m);
}

static void add_running(struct message *msg, struct member *m)
{
	struct job *j = m->job;
	json_t *op;

	if (m->state != M_RUNNING)
		return;
	if (m->confirmed < j->round) {
		op = add_member_op(msg, OP_RENEW, "renew", m);
		msg->ops[msg->n - 1].round = j->round;
		add_expiry(msg, op, m);
	}
	if (m->ckpt_round < j->ckpt_round && msg->n < OPS_MAX) {
		add_member_op(msg, OP_CHECKPOINT, "checkpoint", m);
		msg->ops[msg->n - 1].round = j->ckpt_round;
	}
}

static void add_last_checkpoint(struct message *msg, struct member *m)
{
	add_member_op(msg, OP_CHECKPOINT, "checkpoint", m);
	msg->ops[msg->n - 1].round = UINT64_MAX;
}

static void add_stopping(struct message *msg, struct member *m)
{
	switch (m->state) {
	case M_UNKNOWN:
	case M_RESERVED:
	case M_RUNNING:
		if (m->job->checkpoint && m->state == M_RUNNING)
			add_last_checkpoint(msg, m);
		add_member_op(msg, OP_STOP, "stop", m);
		break;
	case M_DONE:
	case M_STOPPED:
		add_member_op(msg, OP_RELEASE, "release", m);
		break;
	default:
		break;
	}
}

static void add_member(struct message *msg, struct member *m)
{
	switch (m->job->gang) {
	case GANG_RESERVING:
		add_reserving(msg, m);
		break;
	case GANG_STARTING:
		if (m->state == M_RESERVED && all_present(m->job))
			add_member_op(msg, OP_START, "start", m);
		break;
	case GANG_RUNNING:
		add_running(msg, m);
		break;
	case GANG_STOPPING:
		add_stopping(msg, m);
		break;
	case GANG_RELEASING:
		if (m->state == M_DONE || m->state == M_STOPPED)
			add_member_op(msg, OP_RELEASE, "release", m);
		break;
	default:
		break;
	}
}

/* A member adds two ops at most; the rest goes into the next message. */
static bool is_full(struct message *msg)
{
	if (msg->n + 2 <= OPS_MAX)
		return false;
	msg->worker->due = true;
	return true;
}

static void add_ops(struct message *msg)
{
	struct worker *w = msg->worker;
	struct orphan *o;
	struct member *m;

	DL_FOREACH(w->orphans, o)
	{
		if (is_full(msg))
			return;
		add_op(msg, OP_STOP_ORPHAN, "stop", o->job, o->attempt,
		       o->index);
		add_op(msg, OP_RELEASE_ORPHAN, "release", o->job, o->attempt,
		       o->index);
	}
	DL_FOREACH(w->members, m)
	{
		if (is_full(msg))
			return;
		add_member(msg, m);
	}
}

/*
 * A late copy of the stop of this attempt must not end another reservation, so
 * its number is not used again (spec/gang.pml, REUSE_ATTEMPT).
 */
static void add_orphan(struct board *b, struct worker *w, const char *job,
		       int64_t attempt, int64_t index)
{
	struct job *j = board_job(b, job);

	if (j && attempt > j->attempt_floor && !b->opts->unsafe_reuse_attempts)
		j->attempt_floor = attempt;
	board_add_orphan(w, job, attempt, (int32_t)index);
}

static struct member *find_member(struct board *b, const struct worker *w,
				  const char *job, int64_t attempt,
				  int64_t index)
{
	struct job *j = board_job(b, job);

	if (!j || j->attempt != attempt || index < 0 || index >= j->n_members ||
	    j->members[index].worker != w)
		return NULL;
	return &j->members[index];
}

static void note_checkpoint(struct member *m, const json_t *v)
{
	const char *s = json_string_value(json_object_get(v, "checkpoint"));
	const json_t *progress = json_object_get(v, "progress_ms");

	if (json_is_integer(progress) && json_integer_value(progress) >= 0)
		m->progress_ms = json_integer_value(progress);
	if (s && *s && strlen(s) <= CKPT_MAX)
		tg_strlcpy(m->ckpt, s, sizeof(m->ckpt));
}

static void on_reserve(struct member *m, bool ok, const char *error)
{
	if (m->job->gang != GANG_RESERVING)
		return;
	if (ok) {
		if (m->state < M_RESERVED)
			m->state = M_RESERVED;
		return;
	}
	m->refused = true;
	m->state = M_GONE;
	snprintf(m->job->reason, sizeof(m->job->reason),
		 "worker %s refused the reservation: %s", m->worker->name,
		 error);
}

static void on_start(struct member *m, bool ok, const char *error)
{
	if (ok && m->state == M_RESERVED) {
		m->state = M_RUNNING;
	} else if (!ok && m->state == M_RESERVED) {
		if (!strcmp(error, "no_lease")) {
			m->lost = true;
			m->state = M_GONE;
			return;
		}
		/* The lease stays until it is released. */
		m->failed = true;
		snprintf(m->job->reason, sizeof(m->job->reason),
			 "start failed on worker %s: %s", m->worker->name,
			 error);
	}
}

static void on_renew(struct member *m, const struct op *op, bool ok,
		     const char *error)
{
	if (ok && m->confirmed < op->round)
		m->confirmed = op->round;
	else if (!ok && m->state == M_RUNNING && !strcmp(error, "no_lease")) {
		m->lost = true;
		m->state = M_GONE;
	}
}

static void on_checkpoint(struct member *m, const struct op *op,
			  const json_t *result)
{
	const struct job *j = m->job;

	/* An answer need not give the progress; this is close to it. */
	m->progress_ms = j->base_ms + tg_now_ms() - j->running_since_ms;
	note_checkpoint(m, result);
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

static void on_result(struct message *msg, const struct op *op,
		      const json_t *result)
{
	struct board *b = msg->board;
	bool ok = json_is_true(json_object_get(result, "ok"));
	const char *error = json_string_value(json_object_get(result, "error"));
	struct member *m;

	if (op->kind == OP_RELEASE_ORPHAN && ok) {
		on_orphan_released(msg->worker, op);
		b->decide = true;
	}
	m = find_member(b, msg->worker, op->job, op->attempt, op->index);
	if (!m)
		return;
	if (!error)
		error = "unknown error";
	switch (op->kind) {
	case OP_RESERVE:
		on_reserve(m, ok, error);
		break;
	case OP_START:
		on_start(m, ok, error);
		fault_pause(b, "start", op->job);
		break;
	case OP_RENEW:
		on_renew(m, op, ok, error);
		break;
	case OP_CHECKPOINT:
		if (ok)
			on_checkpoint(m, op, result);
		break;
	case OP_STOP:
		if (ok && m->state < M_DONE)
			m->state = M_STOPPED;
		break;
	case OP_RELEASE:
		if (ok)
			m->state = M_GONE;
		break;
	default:
		break;
	}
}

static void on_failed_task(struct member *m)
{
	m->failed = true;
	snprintf(m->job->reason, sizeof(m->job->reason),
		 "task %d failed on worker %s", m->index, m->worker->name);
}

static void on_ended(struct board *b, struct worker *w, const json_t *v)
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
	m = find_member(b, w, job, attempt, index);
	if (!m) {
		add_orphan(b, w, job, attempt, index);
		return;
	}
	if (m->state >= M_DONE)
		return;
	note_checkpoint(m, v);
	if (!strcmp(reason, "done")) {
		m->state = M_DONE;
		return;
	}
	m->state = M_STOPPED;
	if (!strcmp(reason, "failed"))
		on_failed_task(m);
	else if (m->job->gang != GANG_STOPPING)
		m->lost = true;
}

bool worker_note_clock(struct worker *w, const json_t *answer)
{
	const char *boot = json_string_value(json_object_get(answer, "boot"));
	const json_t *now = json_object_get(answer, "now_ms");
	const json_t *epoch = json_object_get(answer, "epoch");

	if (!boot || !json_is_integer(now) ||
	    !tg_strlcpy(w->boot, boot, sizeof(w->boot))) {
		tg_log(EV_SCHED_BAD_ANSWER, "worker=%s", w->name);
		return false;
	}
	w->now_ms = json_integer_value(now);
	w->reply_ms = tg_now_ms();
	w->epoch_seen = json_is_integer(epoch) ?
		(uint64_t)json_integer_value(epoch) :
		0;
	w->draining = json_is_true(json_object_get(answer, "draining"));
	if (!w->up)
		tg_log(EV_SCHED_WORKER_BACK, "worker=%s", w->name);
	w->up = w->tried = true;
	return true;
}

static void on_stale(struct message *msg, const json_t *answer)
{
	struct board *b = msg->board;
	uint64_t epoch =
		(uint64_t)json_integer_value(json_object_get(answer, "epoch"));

	tg_counter("tg_sched_fenced_total", "Commands refused by epoch.", NULL)
		->value++;
	tg_log(EV_SCHED_FENCED, "worker=%s epoch=%llu higher=%llu",
	       msg->worker->name, (unsigned long long)b->epoch,
	       (unsigned long long)epoch);
	msg->worker->epoch_seen = epoch;
	board_step_down(b, "worker", epoch);
	msg->worker->due = true;
}

static void on_refused(struct message *msg, int status, const json_t *answer)
{
	const char *error = json_string_value(json_object_get(answer, "error"));
	struct worker *w = msg->worker;

	if (status == 409 && error && !strcmp(error, "stale_epoch")) {
		on_stale(msg, answer);
	} else if (status == 409 && error && !strcmp(error, "wrong_boot")) {
		/* The inventory of the new boot shows that all is gone. */
		w->installed = false;
		w->next_ms = 0;
	} else {
		tg_log(EV_SCHED_BAD_ANSWER, "worker=%s status=%d error=%s",
		       w->name, status, error ? error : "-");
		w->next_ms = tg_now_ms() + msg->board->opts->renew_ms;
	}
}

static void on_results(struct message *msg, const json_t *answer)
{
	json_t *results = json_object_get(answer, "results"), *v;
	struct worker *w = msg->worker;
	size_t i;

	if (!worker_note_clock(w, answer))
		return;
	/* First, since an ended task also refuses its renewal. */
	json_array_foreach(json_object_get(answer, "ended"), i, v)
		on_ended(msg->board, w, v);
	for (i = 0; i < msg->n; i++)
		on_result(msg, &msg->ops[i], json_array_get(results, i));
}

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
		on_results(msg, answer);
	} else {
		on_refused(msg, r->status, answer);
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
		add_ops(msg);
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

/* --- inventory --- */

static void adopt_lease(struct board *b, struct worker *w, const json_t *v)
{
	const char *job = json_string_value(json_object_get(v, "job"));
	const char *state = json_string_value(json_object_get(v, "state"));
	int64_t attempt = json_integer_value(json_object_get(v, "attempt"));
	int64_t index = json_integer_value(json_object_get(v, "index"));
	int64_t expires_ms =
		json_integer_value(json_object_get(v, "expires_ms"));
	struct member *m;

	if (!job || !tg_name_valid(job) || !state) {
		tg_log(EV_SCHED_BAD_ANSWER, "worker=%s place=/leases", w->name);
		return;
	}
	m = find_member(b, w, job, attempt, index);
	if (!m || m->state == M_GONE) {
		add_orphan(b, w, job, attempt, index);
		return;
	}
	note_checkpoint(m, v);
	m->expired_ms = lease_expired_ms(w->reply_ms, expires_ms - w->now_ms);
	if (m->state >= M_DONE)
		return;
	if (!strcmp(state, "running"))
		m->state = M_RUNNING;
	else if (!strcmp(state, "reserved"))
		m->state = M_RESERVED;
	else
		/* The ended list of the next answer says how. */
		m->state = M_UNKNOWN;
}

static bool in_inventory(const struct worker *w, const struct member *m)
{
	json_t *v;
	size_t i;

	json_array_foreach(w->inventory, i, v)
	{
		const char *job = json_string_value(json_object_get(v, "job"));

		if (job && !strcmp(job, m->job->spec.job) &&
		    json_integer_value(json_object_get(v, "attempt")) ==
			    m->job->attempt &&
		    json_integer_value(json_object_get(v, "index")) == m->index)
			return true;
	}
	return false;
}

void worker_reconcile(struct board *b, struct worker *w)
{
	struct member *m;
	json_t *v;
	size_t i;

	json_array_foreach(w->inventory, i, v) adopt_lease(b, w, v);
	DL_FOREACH(w->members, m)
	if (m->state != M_NONE && m->state != M_GONE && !in_inventory(w, m)) {
		m->lost = m->state != M_STOPPED;
		m->state = M_GONE;
	}
	json_decref(w->inventory);
	w->inventory = NULL;
	w->lost = false;
	w->due = true;
	b->decide = true;
}
