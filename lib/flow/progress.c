#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "flow/flow_internal.h"

/*
 * Encodes and decodes the records from which another process can take over: the
 * state of a job, which tasks are done, failed runs and checkpoints of the
 * others, and the runs that existed when the record was written.
 *
 * A record has the members of its steps in the order of the job's step states,
 * of which "first" is the first one.  Record 0 of a job that ended and has no
 * runs has only the state; the job's other records are void then.
 */

const char *flow_next_expired(struct flow *f, int64_t now_ms, int64_t keep_ms)
{
	struct job *j, *tmp;

	HASH_ITER(hh, f->jobs, j, tmp) {
		if (!flow_has_ended(j) || !flow_is_durable(j) || j->n_runs ||
		    j->n_stored)
			continue;
		if (!j->ended_ms)
			j->ended_ms = now_ms;
		if (now_ms - j->ended_ms >= keep_ms)
			return j->id;
	}
	return NULL;
}

/* Ranges of done tasks, such as "0-4,7-7". */
static char *encode_done_tasks(const struct step_state *ss,
			       const struct flow_record_step *at)
{
	size_t size = (size_t)(at->end - at->from) * 12 + 1, n = 0;
	char *s = tg_xcalloc(1, size);
	int32_t i = at->from, from;

	while (i < at->end) {
		if (!ss->tasks[i].done) {
			i++;
			continue;
		}
		from = i;
		while (i + 1 < at->end && ss->tasks[i + 1].done)
			i++;
		n += (size_t)snprintf(s + n, size - n, n ? ",%d-%d" : "%d-%d",
				      from, i);
		i++;
	}
	return s;
}

static json_t *encode_run_numbers(const struct run_numbers *n)
{
	json_t *a = json_array();
	int32_t i;

	for (i = 0; i < n->n; i++)
		json_array_append_new(a, json_integer(n->runs[i]));
	return a;
}

static json_t *encode_task(const struct task *t, const char *saved)
{
	return json_pack("[isooIi]", t->last_run, saved,
			 encode_run_numbers(&t->failures),
			 encode_run_numbers(&t->crashes),
			 (json_int_t)t->crash_age_ms, t->failures.n_older);
}

/* A run that may exist, or may be started without a further record. */
static json_t *encode_run(int32_t index, int32_t run, const struct worker *w,
			  bool planned, bool on_loan)
{
	json_t *a = json_pack("[iis]", index, run, w->id);

	if (planned || on_loan)
		json_array_append_new(a, json_boolean(planned));
	if (on_loan)
		json_array_append_new(a, json_true());
	return a;
}

/* All tasks of a closed occurrence are done, or none has been started. */
static json_t *encode_closed(const struct record *p,
			     const struct flow_record_step *at)
{
	char done[32] = "";

	if (flow_occurrence_is_done(p->job, at->occurrence))
		snprintf(done, sizeof(done), "%d-%d", at->from, at->end - 1);
	return json_pack("{s:s,s:{}}", "done", done, "tasks");
}

static json_t *encode_step_state(const struct record *p,
				 const struct flow_record_step *at)
{
	const struct job *j = p->job;
	const struct step_state *ss =
		flow_step_state(j, at->occurrence, at->step);
	json_t *o, *tasks, *runs;
	char *done, key[16];
	int32_t i;

	if (!ss)
		return encode_closed(p, at);
	o = json_object();
	tasks = json_object();
	runs = json_array();
	done = encode_done_tasks(ss, at);

	json_object_set_new(o, "done", json_string(done));
	free(done);
	for (i = at->from; i < at->end; i++) {
		const struct task *t = &ss->tasks[i];
		/* A gang has one checkpoint, that of its first task. */
		const char *saved =
			i && flow_step_of(j, ss)->gang ? "" : t->saved;

		if (t->run)
			json_array_append_new(
				runs,
				encode_run(i, t->run->run, t->run->worker,
					   t->run->state == RUN_POSSIBLE,
					   t->run->on_loan));
		else if (t->planned_on && !flow_has_ended(j))
			json_array_append_new(runs,
					      encode_run(i, t->planned_run,
							 t->planned_on, true,
							 t->planned_on_loan));
		if (t->done || (!t->failures.n && !t->crashes.n && !*saved))
			continue;
		snprintf(key, sizeof(key), "%d", i);
		json_object_set_new(tasks, key, encode_task(t, saved));
	}
	json_object_set_new(o, "tasks", tasks);
	if (json_array_size(runs))
		json_object_set(o, "runs", runs);
	json_decref(runs);
	return o;
}

json_t *flow_progress_encode(const struct flow *f, const char *key)
{
	const struct record *p = flow_find_record(f, key);
	const struct job *j = p ? p->job : NULL;
	struct flow_record_step s;
	json_t *o, *steps;

	if (!p || (p->writing && p->taken_for_delete))
		return NULL;
	o = json_object();
	if (!p->number)
		json_object_set_new(o, "state", json_integer(j->state));
	/* Runs that are being stopped still use capacity. */
	if (!p->number && flow_has_ended(j) && (!j->n_runs || j->refused))
		return o;
	/* Rows of older versions don't have it. */
	if (!p->number || j->begun)
		json_object_set_new(o, "begun", json_boolean(j->begun));
	s = flow_first_step(p);
	if (j->n_records > 1)
		json_object_set_new(
			o, "first",
			json_integer(s.occurrence * j->spec->n_steps + s.step));
	steps = json_array();
	for (; flow_has_step(p, &s); flow_next_step(p, &s))
		json_array_append_new(steps, encode_step_state(p, &s));
	json_object_set_new(o, "steps", steps);
	return o;
}

static bool decode_done_tasks(struct job *j, struct step_state *ss,
			      const char *s)
{
	const struct flow_step *st = flow_step_of(j, ss);
	int32_t from, to;
	int len;

	if (s && *s)
		j->begun = true;
	while (s && *s) {
		if (sscanf(s, "%d-%d%n", &from, &to, &len) != 2 || from < 0 ||
		    to >= st->tasks)
			return false;
		for (; from <= to; from++)
			flow_task_done(j, ss, from);
		s += len;
		s += *s == ',';
	}
	return true;
}

static bool decode_task(struct task *t, json_t *o)
{
	const char *saved;
	json_t *failed, *v;
	size_t i;

	if (json_unpack(o, "[iso]", &t->last_run, &saved, &failed))
		return false;
	/* A part of a checkpoint is none. */
	if (*saved && !tg_strlcpy(t->saved, saved, sizeof(t->saved)))
		t->saved[0] = '\0';
	json_array_foreach(failed, i, v)
		flow_add_run_number(&t->failures,
				    (int32_t)json_integer_value(v));
	/* Rows written by older versions end here. */
	json_array_foreach(json_array_get(o, 3), i, v)
		flow_add_run_number(&t->crashes,
				    (int32_t)json_integer_value(v));
	t->crash_age_ms = json_integer_value(json_array_get(o, 4));
	t->failures.n_older = (int32_t)json_integer_value(json_array_get(o, 5));
	t->begun = true;
	return true;
}

/*
 * The run is active until its worker's list or an expired lease ends it.  Only
 * the list tells whether it has begun: its start may not have been ordered, or
 * may have been refused.
 */
static bool add_recorded_run(struct flow *f, struct job *j,
			     struct step_state *ss, json_t *o)
{
	int index, run;
	const char *worker;
	bool planned = json_is_true(json_array_get(o, 3));
	struct run *r;

	if (json_unpack(o, "[iis]", &index, &run, &worker) || index < 0 ||
	    index >= flow_step_of(j, ss)->tasks)
		return false;
	if (ss->tasks[index].run)
		return true;
	r = flow_run_add(j, ss, index, flow_get_or_add_worker(f, worker), run,
			 0);
	r->state = planned ? RUN_POSSIBLE : RUN_ACTIVE;
	flow_run_set_confirmed(r, !planned);
	/* Rows written by older versions don't tell. */
	r->on_loan = json_is_true(json_array_get(o, 4));
	return true;
}

static bool decode_step_state(struct flow *f, struct job *j,
			      struct step_state *ss, json_t *o)
{
	const struct flow_step *st = flow_step_of(j, ss);
	const char *key;
	json_t *v;
	size_t k;

	if (!decode_done_tasks(j, ss,
			       json_string_value(json_object_get(o, "done"))))
		return false;
	json_object_foreach(json_object_get(o, "tasks"), key, v) {
		int32_t i = (int32_t)strtol(key, NULL, 10);

		if (i < 0 || i >= st->tasks || !decode_task(&ss->tasks[i], v))
			return false;
		flow_store_checkpoint(j, ss, i, ss->tasks[i].saved);
		j->begun = true;
	}
	/* The records of a gang may have been written one after another. */
	if (st->gang && ss->n_done)
		flow_gang_done(j, ss);
	json_array_foreach(json_object_get(o, "runs"), k, v)
		if (!add_recorded_run(f, j, ss, v))
			return false;
	return true;
}

/* A step of which nothing is recorded needs no state. */
static bool is_blank(const json_t *o)
{
	const char *done = json_string_value(json_object_get(o, "done"));

	return (!done || !*done) &&
		!json_object_size(json_object_get(o, "tasks")) &&
		!json_array_size(json_object_get(o, "runs"));
}

static bool decode_steps(struct flow *f, struct job *j, const json_t *o)
{
	json_t *steps = json_object_get(o, "steps"), *v;
	json_int_t first = json_integer_value(json_object_get(o, "first"));
	json_int_t n = (json_int_t)j->n_occurrences * j->spec->n_steps;
	size_t i;

	if (first < 0 || first > n)
		return false;
	json_array_foreach(steps, i, v) {
		int32_t at = (int32_t)first + (int32_t)i;

		if ((json_int_t)i >= n - first)
			return false;
		if (is_blank(v))
			continue;
		if (!decode_step_state(
			    f, j,
			    flow_open_step_state(j, at / j->spec->n_steps,
						 at % j->spec->n_steps),
			    v))
			return false;
	}
	return true;
}

static bool decode_first(struct flow *f, struct job *j, const json_t *o)
{
	json_int_t state = json_integer_value(json_object_get(o, "state"));
	bool has_steps = json_object_get(o, "steps") != NULL;

	if (state < FLOW_QUEUED || state > FLOW_CANCELLED)
		return false;
	if (state >= FLOW_COMPLETED)
		j->state = (enum flow_state)state;
	j->end_durable = flow_has_ended(j);
	j->void_records = j->end_durable && !has_steps;
	j->cancelled = j->state == FLOW_CANCELLED;
	j->begun |= state != FLOW_QUEUED;
	j->unsplit =
		has_steps && j->n_records > 1 && !json_object_get(o, "first");
	return decode_steps(f, j, o);
}

static bool decode_other(struct flow *f, struct record *p, const json_t *o)
{
	struct job *j = p->job;
	bool ok = decode_steps(f, j, o);

	if (flow_has_ended(j) && !j->end_durable)
		flow_mark_state_dirty(j);
	return ok;
}

bool flow_progress_decode(struct flow *f, const char *key, const json_t *o)
{
	struct record *p = flow_find_record(f, key);
	struct job *j = p ? p->job : NULL;
	bool ok = true;

	if (!p || !json_is_object(o))
		return false;
	flow_record_stored(p, true);
	j->begun |= json_is_true(json_object_get(o, "begun"));
	if (!p->number)
		ok = decode_first(f, j, o);
	else if (!j->void_records)
		ok = decode_other(f, p, o);
	flow_close_done(j);
	if (j->unsplit)
		flow_mark_all_dirty(j);
	else if (j->end_durable)
		flow_drop_unneeded(j);
	return ok;
}
