#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "flow/flow_internal.h"

/*
 * Durable progress of a job, from which another process can take over: its
 * state, which tasks are done, failed runs and checkpoints of the others, and
 * the runs that existed when it was written.
 */

const char *flow_take_dirty(struct flow *f)
{
	struct job *j = f->dirty;

	if (!j)
		return NULL;
	DL_DELETE2(f->dirty, j, dirty_prev, dirty_next);
	j->dirty = false;
	if (!j->writing)
		DL_APPEND2(f->writing, j, writing_prev, writing_next);
	j->writing = true;
	j->taken_decision = f->decisions;
	j->taken_ended = flow_has_ended(j);
	return j->id;
}

void flow_mark_written(struct flow *f)
{
	struct job *j;

	while ((j = f->writing)) {
		DL_DELETE2(f->writing, j, writing_prev, writing_next);
		j->writing = false;
		j->written_decision = j->taken_decision;
		j->durable = !j->dirty;
		j->end_durable |= j->taken_ended;
	}
}

const char *flow_next_expired(struct flow *f, int64_t now_ms, int64_t keep_ms)
{
	struct job *j, *tmp;

	HASH_ITER(hh, f->jobs, j, tmp) {
		if (!flow_has_ended(j) || !j->durable || j->n_runs)
			continue;
		if (!j->ended_ms)
			j->ended_ms = now_ms;
		if (now_ms - j->ended_ms >= keep_ms)
			return j->id;
	}
	return NULL;
}

/* Ranges of done tasks, such as "0-4,7-7". */
static char *encode_done_tasks(const struct flow_step *st,
			       const struct step_state *ss)
{
	size_t size = (size_t)st->tasks * 12 + 1, n = 0;
	char *s = tg_xcalloc(1, size);
	int32_t i = 0, from;

	while (i < st->tasks) {
		if (!ss->tasks[i].done) {
			i++;
			continue;
		}
		from = i;
		while (i + 1 < st->tasks && ss->tasks[i + 1].done)
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

static json_t *encode_task(const struct task *t)
{
	return json_pack("[isooI]", t->last_run, t->saved,
			 encode_run_numbers(&t->failures),
			 encode_run_numbers(&t->crashes),
			 (json_int_t)t->crash_age_ms);
}

/* A run that may exist, or may be started without a further record. */
static json_t *encode_run(int32_t index, int32_t run, const struct worker *w,
			  bool planned)
{
	json_t *a = json_pack("[iis]", index, run, w->id);

	if (planned)
		json_array_append_new(a, json_true());
	return a;
}

static json_t *encode_step_state(const struct job *j,
				 const struct step_state *ss)
{
	const struct flow_step *st = flow_step_of(j, ss);
	json_t *o = json_object(), *tasks = json_object();
	json_t *runs = json_array();
	char *done = encode_done_tasks(st, ss), key[16];
	int32_t i;

	json_object_set_new(o, "done", json_string(done));
	free(done);
	for (i = 0; i < st->tasks; i++) {
		const struct task *t = &ss->tasks[i];

		if (t->run)
			json_array_append_new(
				runs,
				encode_run(i, t->run->run, t->run->worker,
					   t->run->state == RUN_POSSIBLE));
		else if (t->planned_on && !flow_has_ended(j))
			json_array_append_new(runs,
					      encode_run(i, t->planned_run,
							 t->planned_on, true));
		if (t->done || (!t->failures.n && !t->crashes.n && !*t->saved))
			continue;
		snprintf(key, sizeof(key), "%d", i);
		json_object_set_new(tasks, key, encode_task(t));
	}
	json_object_set_new(o, "tasks", tasks);
	if (json_array_size(runs))
		json_object_set(o, "runs", runs);
	json_decref(runs);
	return o;
}

json_t *flow_progress_encode(const struct flow *f, const char *id)
{
	struct job *j = flow_find_job(f, id);
	json_t *o, *step_states;
	int32_t i;

	if (!j)
		return NULL;
	o = json_object();
	json_object_set_new(o, "state", json_integer(j->state));
	/* Runs that are being stopped still use capacity. */
	if (flow_has_ended(j) && !j->n_runs)
		return o;
	step_states = json_array();
	for (i = 0; i < j->n_step_states; i++)
		json_array_append_new(step_states,
				      encode_step_state(j, &j->step_states[i]));
	json_object_set_new(o, "steps", step_states);
	return o;
}

static bool decode_done_tasks(struct job *j, struct step_state *ss,
			      const char *s)
{
	const struct flow_step *st = flow_step_of(j, ss);
	int32_t from, to;
	int len;

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
	tg_strlcpy(t->saved, saved, sizeof(t->saved));
	json_array_foreach(failed, i, v)
		flow_add_run_number(&t->failures,
				    (int32_t)json_integer_value(v));
	/* Rows written by older versions end here. */
	json_array_foreach(json_array_get(o, 3), i, v)
		flow_add_run_number(&t->crashes,
				    (int32_t)json_integer_value(v));
	t->crash_age_ms = json_integer_value(json_array_get(o, 4));
	return true;
}

/* The run is active until its worker's list or an expired lease ends it. */
static bool add_recorded_run(struct flow *f, struct job *j,
			     struct step_state *ss, json_t *o)
{
	int index, run;
	const char *worker;
	bool begun = j->begun, planned = json_is_true(json_array_get(o, 3));
	struct run *r;

	if (json_unpack(o, "[iis]", &index, &run, &worker) || index < 0 ||
	    index >= flow_step_of(j, ss)->tasks)
		return false;
	if (ss->tasks[index].run)
		return true;
	r = flow_run_add(j, ss, index, flow_get_or_add_worker(f, worker), run,
			 0);
	r->state = planned ? RUN_POSSIBLE : RUN_ACTIVE;
	if (planned)
		j->begun = begun;
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
		j->begun = true;
	}
	json_array_foreach(json_object_get(o, "runs"), k, v)
		if (!add_recorded_run(f, j, ss, v))
			return false;
	return true;
}

bool flow_progress_decode(struct flow *f, const char *id, const json_t *o)
{
	struct job *j = flow_find_job(f, id);
	json_int_t state = json_integer_value(json_object_get(o, "state"));
	json_t *steps = json_object_get(o, "steps");
	int32_t i;

	if (!j || !json_is_object(o) || state < FLOW_QUEUED ||
	    state > FLOW_CANCELLED)
		return false;
	for (i = 0; i < j->n_step_states && i < (int32_t)json_array_size(steps);
	     i++)
		if (!decode_step_state(f, j, &j->step_states[i],
				       json_array_get(steps, (size_t)i)))
			return false;
	if (state >= FLOW_COMPLETED)
		j->state = (enum flow_state)state;
	j->end_durable = flow_has_ended(j);
	j->cancelled = j->state == FLOW_CANCELLED;
	j->begun |= state != FLOW_QUEUED;
	return true;
}
