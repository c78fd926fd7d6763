#include <string.h>

#include "jobrow.h"
#include "spec.h"

/* Keeps a reply below TG_RPC_LIST_MAX; a name has up to TG_NAME_MAX bytes. */
#define PUBLIC_WORKERS_MAX 256

void jobrow_key(const struct board *b, const char *job, char *out)
{
	snprintf(out, TG_KEY_MAX, "jobs/%s/%s", b->opts->az, job);
}

static json_t *member_worker_names(const struct job *j, int32_t max)
{
	json_t *a = json_array();
	int32_t i;

	for (i = 0; i < j->n_members && i < max; i++)
		json_array_append_new(a,
				      json_string(j->members[i].worker->name));
	return a;
}

json_t *jobrow_encode(const struct job *j, enum job_state state)
{
	json_t *v = json_pack("{s:O, s:s, s:I, s:I, s:s, s:I, s:I}", "spec",
			      j->spec_json, "state", job_state_name(state),
			      "attempt", (json_int_t)j->attempt, "epoch",
			      (json_int_t)j->epoch, "reason", j->reason,
			      "submitted_ms", (json_int_t)j->submitted_wall_ms,
			      "done_ms", (json_int_t)j->saved_progress_ms);

	if (state == JOB_RUNNING && j->n_members)
		json_object_set_new(v, "workers",
				    member_worker_names(j, INT32_MAX));
	if (json_array_size(j->ckpts) && state <= JOB_RUNNING)
		json_object_set(v, "checkpoints", j->ckpts);
	if (j->cancel_recorded)
		json_object_set_new(v, "cancel", json_true());
	if (state > JOB_RUNNING)
		json_object_set_new(v, "ended_ms", json_integer(tg_wall_ms()));
	return v;
}

static int parse_state(const char *s)
{
	enum job_state i;

	for (i = JOB_QUEUED; s && i <= JOB_PARKED; i++)
		if (!strcmp(job_state_name(i), s))
			return (int)i;
	return -1;
}

static int64_t read_int(const json_t *v, const char *key)
{
	json_int_t n = json_integer_value(json_object_get(v, key));

	return n < 0 ? 0 : n;
}

/* Returns false unless the row names one valid worker for each task. */
static bool assign_members(struct board *b, struct job *j, const json_t *names)
{
	int32_t i;

	if (json_array_size(names) != (size_t)j->spec.tasks)
		return false;
	for (i = 0; i < j->spec.tasks; i++) {
		const char *s =
			json_string_value(json_array_get(names, (size_t)i));

		if (!s || !tg_name_valid(s))
			return false;
	}
	board_create_members(j);
	for (i = 0; i < j->spec.tasks; i++)
		board_assign_member(
			&j->members[i],
			board_add_worker(b,
					 json_string_value(json_array_get(
						 names, (size_t)i))));
	return true;
}

/* Checkpoints that do not match the number of tasks are ignored. */
static void decode_fields(struct job *j, const struct tg_row *row, int state)
{
	const json_t *v = row->value;
	const char *reason = json_string_value(json_object_get(v, "reason"));
	json_t *ckpts = json_object_get(v, "checkpoints");

	j->version = row->version;
	j->version_known = true;
	j->state = (enum job_state)state;
	j->attempt = read_int(v, "attempt");
	j->epoch = (uint64_t)read_int(v, "epoch");
	tg_strlcpy(j->reason, reason ? reason : "", sizeof(j->reason));
	j->submitted_wall_ms = read_int(v, "submitted_ms");
	j->ended_wall_ms = read_int(v, "ended_ms");
	j->cancel_recorded = json_is_true(json_object_get(v, "cancel"));
	if (json_array_size(ckpts) != (size_t)j->spec.tasks)
		return;
	j->ckpts = json_incref(ckpts);
	j->saved_progress_ms = read_int(v, "done_ms");
}

struct job *jobrow_decode(struct board *b, const struct tg_row *row)
{
	int state = parse_state(
		json_string_value(json_object_get(row->value, "state")));
	struct tg_findings f = { 0 };
	struct job_spec spec;
	json_t *spec_json = spec_parse(json_object_get(row->value, "spec"),
				       b->opts->az, &spec, &f);
	struct job *j = NULL;
	char key[TG_KEY_MAX];

	tg_findings_free(&f);
	if (spec_json)
		jobrow_key(b, spec.job, key);
	if (!spec_json || state < 0 || strcmp(key, row->key) != 0 ||
	    board_find_job(b, spec.job)) {
		tg_log(EV_SCHED_BAD_ROW, "key=%s", row->key);
		json_decref(spec_json);
		return NULL;
	}
	j = board_add_job(b, &spec);
	j->spec_json = spec_json;
	decode_fields(j, row, state);
	if (state == JOB_RUNNING &&
	    !assign_members(b, j, json_object_get(row->value, "workers"))) {
		tg_log(EV_SCHED_BAD_ROW, "key=%s place=/workers", row->key);
		board_remove_job(b, j);
		return NULL;
	}
	return j;
}

json_t *jobrow_public(const struct board *b, const struct job *j)
{
	json_t *v =
		json_pack("{s:s, s:s, s:s, s:s, s:I, s:s, s:O}", "workspace",
			  j->spec.workspace, "job", j->spec.job, "az",
			  b->opts->az, "state", job_state_name(j->state),
			  "attempt", (json_int_t)j->attempt, "reason",
			  j->reason, "spec", j->spec_json);

	if (j->gang != GANG_NONE) {
		json_object_set_new(v, "workers",
				    member_worker_names(j, PUBLIC_WORKERS_MAX));
		json_object_set_new(v, "gang",
				    json_string(gang_state_name(j->gang)));
	}
	if (j->saved_progress_ms)
		json_object_set_new(v, "kept_ms",
				    json_integer(j->saved_progress_ms));
	return v;
}

json_t *jobrow_repeated(const struct board *b, const struct job *j)
{
	json_t *v = jobrow_public(b, j);

	json_object_set_new(v, "repeated", json_true());
	return v;
}
