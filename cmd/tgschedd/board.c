#include <stdlib.h>
#include <string.h>

#include "board.h"

struct worker *board_find_worker(struct board *b, const char *name)
{
	struct worker *w;

	HASH_FIND_STR(b->workers, name, w);
	return w;
}

struct worker *board_add_worker(struct board *b, const char *name)
{
	struct worker *w = board_find_worker(b, name);

	if (w)
		return w;
	w = tg_xcalloc(1, sizeof(*w));
	tg_strlcpy(w->name, name, sizeof(w->name));
	w->id = -1;
	HASH_ADD_STR(b->workers, name, w);
	return w;
}

struct job *board_find_job(struct board *b, const char *name)
{
	struct job *j;

	HASH_FIND(hh, b->jobs, name, strlen(name), j);
	return j;
}

struct job *board_add_job(struct board *b, const struct job_spec *spec)
{
	struct job *j = tg_xcalloc(1, sizeof(*j));

	j->spec = *spec;
	j->faulty_worker = -1;
	HASH_ADD_KEYPTR(hh, b->jobs, j->spec.job, strlen(j->spec.job), j);
	return j;
}

void board_create_members(struct job *j)
{
	int32_t i;

	board_free_members(j);
	j->n_members = j->spec.tasks;
	j->members = tg_xcalloc((size_t)j->n_members, sizeof(*j->members));
	for (i = 0; i < j->n_members; i++) {
		j->members[i].job = j;
		j->members[i].index = i;
	}
}

void board_assign_member(struct member *m, struct worker *w)
{
	m->worker = w;
	DL_APPEND(w->members, m);
}

void board_free_members(struct job *j)
{
	int32_t i;

	for (i = 0; i < j->n_members; i++)
		if (j->members[i].worker)
			DL_DELETE(j->members[i].worker->members,
				  &j->members[i]);
	free(j->members);
	j->members = NULL;
	j->n_members = 0;
}

void board_reply(struct board *b, struct waiter **list,
		 enum tg_rpc_status status, const json_t *json,
		 const char *text)
{
	char *body = json ? json_dumps(json, JSON_COMPACT) : NULL;
	struct tg_rpc_answer a = {
		.status = status,
		.epoch = b->epoch,
		.json = { .json_len = body ? (u_int)strlen(body) : 0,
			  .json_val = body },
		.text = (char *)text,
	};

	while (*list) {
		struct waiter *w = *list;

		*list = w->next;
		tg_rpc_reply(w->req, &a);
		free(w);
	}
	free(body);
}

bool board_may_release_done(const struct job *j)
{
	bool all_done = true;
	int32_t i;

	for (i = 0; i < j->n_members; i++) {
		if (j->members[i].state < MEMBER_DONE)
			return false;
		if (j->members[i].state != MEMBER_DONE)
			all_done = false;
	}
	return !all_done;
}

void board_mark_gang_due(struct job *j)
{
	int32_t i;

	for (i = 0; i < j->n_members; i++)
		if (j->members[i].worker)
			j->members[i].worker->message_due = true;
}

void board_remove_job(struct board *b, struct job *j)
{
	board_free_members(j);
	board_reply(b, &j->waiters, TG_RPC_UNKNOWN, NULL,
		    "the scheduler changed; ask again");
	board_reply(b, &j->cancel_waiters, TG_RPC_UNKNOWN, NULL,
		    "the scheduler changed; ask again");
	HASH_DEL(b->jobs, j);
	json_decref(j->spec_json);
	json_decref(j->ckpts);
	free(j);
}

void board_add_orphan(struct worker *w, const char *job, int64_t attempt,
		      int32_t index)
{
	struct orphan *o;

	DL_FOREACH(w->orphans, o)
		if (o->attempt == attempt && o->index == index &&
		    !strcmp(o->job, job))
			return;
	o = tg_xcalloc(1, sizeof(*o));
	tg_strlcpy(o->job, job, sizeof(o->job));
	o->attempt = attempt;
	o->index = index;
	DL_APPEND(w->orphans, o);
	w->message_due = true;
	tg_log(EV_SCHED_ORPHAN, "worker=%s job=%s attempt=%lld index=%d",
	       w->name, job, (long long)attempt, index);
}

void board_remove_orphan(struct worker *w, struct orphan *o)
{
	DL_DELETE(w->orphans, o);
	free(o);
}

static void reset_worker(struct worker *w)
{
	while (w->orphans)
		board_remove_orphan(w, w->orphans);
	json_decref(w->inventory);
	w->inventory = NULL;
	w->epoch_installed = w->contacted = w->message_due = w->lost =
		w->quarantined = false;
	w->id = -1;
	w->next_call_ms = 0;
	w->raised_epoch = 0;
}

void board_reset(struct board *b)
{
	struct worker *w, *tmp_w;
	struct job *j, *tmp_j;

	HASH_ITER(hh, b->jobs, j, tmp_j)
		board_remove_job(b, j);
	HASH_ITER(hh, b->workers, w, tmp_w) {
		reset_worker(w);
		if (w->call)
			tg_http_call_cancel(w->call);
		free(w->call_arg);
		w->call = NULL;
		w->call_arg = NULL;
		w->call_in_flight = false;
	}
	tg_fleet_free(b->fleet);
	b->fleet = NULL;
	b->generation = 0;
}

void board_free(struct board *b)
{
	struct worker *w, *tmp;

	board_reset(b);
	HASH_ITER(hh, b->workers, w, tmp) {
		HASH_DEL(b->workers, w);
		free(w);
	}
	free(b->az_schedulers);
}

void board_record_action(struct board *b, const char *job, const char *fmt, ...)
{
	struct action_record *r =
		&b->action_records[b->n_action_records++ % ACTION_RECORDS_MAX];
	va_list ap;

	r->wall_ms = tg_wall_ms();
	tg_strlcpy(r->job, job, sizeof(r->job));
	va_start(ap, fmt);
	vsnprintf(r->text, sizeof(r->text), fmt, ap);
	va_end(ap);
}

void board_step_down(struct board *b, const char *why, uint64_t epoch)
{
	if (b->role == ROLE_STANDBY || b->opts->unsafe_ignore_epoch)
		return;
	tg_log(EV_SCHED_STEPPED_DOWN, "why=%s epoch=%llu higher=%llu", why,
	       (unsigned long long)b->epoch, (unsigned long long)epoch);
	b->role = ROLE_STANDBY;
	b->epoch = b->term = 0;
	b->row_write_unknown = b->epoch_raise_wanted = false;
	/* The new holder's lease counts from the next read of the row. */
	b->row_changed_ms = 0;
	tg_member_set_scheduler_state(b->member, b->advertised_epoch, false);
}

bool board_may_command(const struct board *b)
{
	return b->role == ROLE_ACTIVE;
}

void board_set_table_available(struct board *b, bool available)
{
	if (available == !b->table_down)
		return;
	b->table_down = !available;
	b->decision_due = true;
	if (!available)
		b->table_down_ms = tg_now_ms();
	else if (tg_now_ms() - b->table_down_ms >= b->opts->sched_renew_ms)
		b->table_up_ms = tg_now_ms();
	tg_log(available ? EV_SCHED_TABLE_UP : EV_SCHED_TABLE_DOWN, "az=%s",
	       b->opts->az);
}

const char *job_state_name(enum job_state s)
{
	static const char *const names[] = {
		"queued", "queued",    "queued", "running",
		"done",	  "cancelled", "parked",
	};

	return names[s];
}
