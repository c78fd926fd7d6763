#include <string.h>

#include "lease.h"
#include "message_internal.h"

static void adopt_lease(struct board *b, struct worker *w, const json_t *v)
{
	const char *job = json_string_value(json_object_get(v, "job"));
	const char *state = json_string_value(json_object_get(v, "state"));
	int64_t attempt = json_integer_value(json_object_get(v, "attempt"));
	int64_t index = json_integer_value(json_object_get(v, "index"));
	int64_t expires_ms =
		json_integer_value(json_object_get(v, "expires_ms"));
	int64_t local_expiry_ms;
	struct member *m;

	if (!job || !tg_name_valid(job) || !state) {
		tg_log(EV_SCHED_BAD_ANSWER, "worker=%s place=/leases", w->name);
		return;
	}
	m = message_find_member(b, w, job, attempt, index);
	if (!m || m->state == MEMBER_GONE) {
		message_add_orphan(b, w, job, attempt, index);
		return;
	}
	message_update_checkpoint(m, v);
	/* A renewal that was not answered may still reach the worker. */
	local_expiry_ms =
		lease_local_expiry_ms(w->response_ms, expires_ms - w->clock_ms);
	if (m->local_expiry_ms < local_expiry_ms)
		m->local_expiry_ms = local_expiry_ms;
	if (m->state >= MEMBER_DONE)
		return;
	if (!strcmp(state, "running"))
		m->state = MEMBER_RUNNING;
	else if (!strcmp(state, "reserved"))
		m->state = MEMBER_RESERVED;
	else
		/* The list "ended" of the next response says how it ended. */
		m->state = MEMBER_UNKNOWN;
}

static bool in_inventory(const struct worker *w, const struct member *m)
{
	json_t *v;
	size_t i;

	json_array_foreach(w->inventory, i, v) {
		const char *job = json_string_value(json_object_get(v, "job"));

		if (job && !strcmp(job, m->job->spec.job) &&
		    json_integer_value(json_object_get(v, "attempt")) ==
			    m->job->attempt &&
		    json_integer_value(json_object_get(v, "index")) == m->index)
			return true;
	}
	return false;
}

void message_add_orphans(struct board *b, struct worker *w,
			 const json_t *leases)
{
	const struct member *m;
	json_t *v;
	size_t i;

	json_array_foreach(leases, i, v) {
		const char *job = json_string_value(json_object_get(v, "job"));
		int64_t attempt =
			json_integer_value(json_object_get(v, "attempt"));
		int64_t index = json_integer_value(json_object_get(v, "index"));

		if (!job || !tg_name_valid(job)) {
			tg_log(EV_SCHED_BAD_ANSWER,
			       "worker=%s place=/results/leases", w->name);
			continue;
		}
		m = message_find_member(b, w, job, attempt, index);
		if (!m || m->state == MEMBER_GONE)
			message_add_orphan(b, w, job, attempt, index);
	}
}

void worker_reconcile(struct board *b, struct worker *w)
{
	struct member *m;
	json_t *v;
	size_t i;

	json_array_foreach(w->inventory, i, v)
		adopt_lease(b, w, v);
	/* A worker that has restarted has no record of completed tasks. */
	DL_FOREACH(w->members, m)
		if (m->state != MEMBER_NONE && m->state != MEMBER_DONE &&
		    m->state != MEMBER_GONE && !in_inventory(w, m)) {
			m->lost = m->state != MEMBER_STOPPED;
			m->state = MEMBER_GONE;
		}
	json_decref(w->inventory);
	w->inventory = NULL;
	w->lost = false;
	w->message_due = true;
	b->decision_due = true;
}
