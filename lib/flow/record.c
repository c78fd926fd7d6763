#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "flow/flow_internal.h"

/*
 * Which records must be written.
 *
 * The tasks of a job are numbered over all its step states, and a record covers
 * FLOW_RECORD_TASKS of them, whatever happens: which row of the store has a
 * task never changes.  Each record is true by itself, so the records of a job
 * may be written in any order and some time apart, with these exceptions:
 *
 * - Record 0 goes first.  It has the state of the job, and shows that the job
 *   has progress at all.
 * - The record of a job that older versions wrote whole is overwritten last,
 *   when the others have been written; see @unsplit.
 * - A record is deleted only after record 0 shows that the job has ended.
 */

void flow_records_init(struct job *j)
{
	int32_t i, tasks = (int32_t)flow_spec_tasks(j->spec);

	j->n_records = (tasks + FLOW_RECORD_TASKS - 1) / FLOW_RECORD_TASKS;
	j->records = tg_xcalloc((size_t)j->n_records, sizeof(*j->records));
	for (i = 0; i < j->n_records; i++) {
		struct record *p = &j->records[i];
		int32_t first = i * FLOW_RECORD_TASKS;

		p->job = j;
		p->number = i;
		if (i)
			snprintf(p->key, sizeof(p->key), "%s~%05u", j->id,
				 (unsigned)first % (FLOW_TASKS_MAX + 1));
		else
			tg_strlcpy(p->key, j->id, sizeof(p->key));
	}
}

struct record *flow_find_record(const struct flow *f, const char *key)
{
	char id[FLOW_JOB_ID_LEN + 1];
	size_t n = strcspn(key, "~");
	long first = 0;
	struct job *j;

	if (n > FLOW_JOB_ID_LEN)
		return NULL;
	snprintf(id, sizeof(id), "%.*s", (int)n, key);
	j = flow_find_job(f, id);
	if (key[n])
		first = strtol(key + n + 1, NULL, 10);
	if (!j || first < 0 || first / FLOW_RECORD_TASKS >= j->n_records ||
	    strcmp(j->records[first / FLOW_RECORD_TASKS].key, key) != 0)
		return NULL;
	return &j->records[first / FLOW_RECORD_TASKS];
}

bool flow_knows_record(const struct flow *f, const char *key)
{
	return flow_find_record(f, key) != NULL;
}

struct record *flow_record_of(const struct job *j, const struct step_state *ss,
			      int32_t index)
{
	return &j->records[(ss->first + index) / FLOW_RECORD_TASKS];
}

/* Limits the tasks of a step to those that the record covers. */
static void set_range(const struct record *p, struct flow_record_step *s)
{
	int32_t tasks = p->job->spec->steps[s->step].tasks;

	s->from = p->number * FLOW_RECORD_TASKS - s->first;
	s->end = s->from + FLOW_RECORD_TASKS;
	if (s->from < 0)
		s->from = 0;
	if (s->end > tasks)
		s->end = tasks;
}

struct flow_record_step flow_first_step(const struct record *p)
{
	const struct job *j = p->job;
	int32_t first = p->number * FLOW_RECORD_TASKS;
	struct flow_record_step s = { .occurrence =
					      first / j->occurrence_tasks };

	s.first = s.occurrence * j->occurrence_tasks;
	while (s.first + j->spec->steps[s.step].tasks <= first)
		s.first += j->spec->steps[s.step++].tasks;
	set_range(p, &s);
	return s;
}

void flow_next_step(const struct record *p, struct flow_record_step *s)
{
	s->first += p->job->spec->steps[s->step].tasks;
	if (++s->step == p->job->spec->n_steps) {
		s->step = 0;
		s->occurrence++;
	}
	set_range(p, s);
}

bool flow_has_step(const struct record *p, const struct flow_record_step *s)
{
	return s->occurrence < p->job->n_occurrences &&
		s->first < (p->number + 1) * FLOW_RECORD_TASKS;
}

static void unlist_dirty(struct record *p)
{
	struct flow *f = p->job->flow;

	if (!p->dirty)
		return;
	if (p->unneeded) {
		DL_DELETE2(f->unneeded, p, dirty_prev, dirty_next);
	} else {
		DL_DELETE2(f->dirty, p, dirty_prev, dirty_next);
		p->job->n_dirty--;
	}
	p->dirty = p->unneeded = false;
}

static void unlist_writing(struct record *p)
{
	if (!p->writing)
		return;
	DL_DELETE2(p->job->flow->writing, p, writing_prev, writing_next);
	p->job->n_writing--;
	p->writing = false;
}

void flow_records_free(struct job *j)
{
	int32_t i;

	for (i = 0; i < j->n_records; i++) {
		unlist_dirty(&j->records[i]);
		unlist_writing(&j->records[i]);
	}
	free(j->records);
}

static void mark_dirty(struct record *p)
{
	if (p->dirty && !p->unneeded)
		return;
	unlist_dirty(p);
	p->dirty = true;
	p->job->n_dirty++;
	DL_APPEND2(p->job->flow->dirty, p, dirty_prev, dirty_next);
}

static void mark_record_dirty(struct record *p)
{
	struct job *j = p->job;

	if (j->refused)
		return;
	mark_dirty(p);
	if (!j->records[0].stored)
		mark_dirty(&j->records[0]);
}

void flow_mark_dirty(struct job *j, const struct step_state *ss, int32_t index)
{
	mark_record_dirty(flow_record_of(j, ss, index));
}

void flow_mark_step_dirty(struct job *j, const struct step_state *ss)
{
	struct record *p = flow_record_of(j, ss, 0);
	struct record *last =
		flow_record_of(j, ss, flow_step_of(j, ss)->tasks - 1);

	for (; p <= last; p++)
		mark_record_dirty(p);
}

void flow_mark_state_dirty(struct job *j)
{
	mark_dirty(&j->records[0]);
}

void flow_mark_all_dirty(struct job *j)
{
	int32_t i;

	for (i = 0; i < j->n_records; i++)
		mark_record_dirty(&j->records[i]);
}

/* Whether any of its tasks has a run. */
static bool has_runs(const struct record *p)
{
	struct flow_record_step s;

	for (s = flow_first_step(p); flow_has_step(p, &s);
	     flow_next_step(p, &s)) {
		const struct step_state *ss =
			flow_step_state(p->job, s.occurrence, s.step);
		int32_t i;

		for (i = s.from; ss && ss->n_runs && i < s.end; i++)
			if (ss->tasks[i].n_runs)
				return true;
	}
	return false;
}

static bool is_unneeded(const struct record *p)
{
	const struct job *j = p->job;

	return p->number && j->end_durable && !j->unsplit &&
		(j->refused || !has_runs(p));
}

static void drop_if_unneeded(struct record *p)
{
	if (!p->stored || p->dirty || p->writing || !is_unneeded(p))
		return;
	p->dirty = p->unneeded = true;
	DL_APPEND2(p->job->flow->unneeded, p, dirty_prev, dirty_next);
}

void flow_drop_unneeded(struct job *j)
{
	int32_t i;

	for (i = 1; i < j->n_records; i++)
		drop_if_unneeded(&j->records[i]);
}

void flow_record_stored(struct record *p, bool stored)
{
	if (p->number)
		p->job->n_stored += (int)stored - (int)p->stored;
	p->stored = stored;
}

bool flow_is_durable(const struct job *j)
{
	return !j->n_dirty && !j->n_writing;
}

bool flow_is_recorded(const struct run *r)
{
	const struct job *j = r->job;
	const struct step_state *ss = r->step_state;
	const struct flow_step *st = flow_step_of(j, ss);
	const struct record *p = flow_record_of(j, ss, r->index), *last = p;

	/* All members were decided on before any record of them was taken. */
	if (st->gang) {
		p = flow_record_of(j, ss, 0);
		last = flow_record_of(j, ss, st->tasks - 1);
	}
	for (; p <= last; p++)
		if (r->decision > p->written_decision)
			return false;
	return true;
}

/* Whether the record can't be part of the present write. */
static bool must_wait(const struct record *p)
{
	const struct job *j = p->job;

	return p->writing ||
		(!p->number && j->unsplit && (j->n_dirty > 1 || j->n_writing));
}

static struct record *next_dirty(const struct flow *f)
{
	struct record *p;

	DL_FOREACH2(f->dirty, p, dirty_next)
	{
		struct record *first = &p->job->records[0];

		if (must_wait(p))
			continue;
		return first->dirty && !must_wait(first) ? first : p;
	}
	return f->unneeded;
}

const char *flow_take_dirty(struct flow *f)
{
	struct record *p = next_dirty(f);

	if (!p)
		return NULL;
	unlist_dirty(p);
	p->writing = true;
	p->job->n_writing++;
	DL_APPEND2(f->writing, p, writing_prev, writing_next);
	p->taken_decision = f->decisions;
	p->taken_for_delete = is_unneeded(p);
	if (!p->number)
		p->job->taken_ended = flow_has_ended(p->job);
	return p->key;
}

bool flow_has_dirty(const struct flow *f)
{
	return f->dirty != NULL;
}

static void first_written(struct job *j)
{
	j->unsplit = false;
	if (!j->taken_ended)
		return;
	j->end_durable = true;
	flow_drop_unneeded(j);
}

void flow_mark_written(struct flow *f)
{
	struct record *p;

	while ((p = f->writing)) {
		unlist_writing(p);
		p->written_decision = p->taken_decision;
		flow_record_stored(p, !p->taken_for_delete);
		if (p->number)
			drop_if_unneeded(p);
		else
			first_written(p->job);
	}
}

void flow_mark_unwritten(struct flow *f)
{
	struct record *p;

	/* From the last one on, since each goes before the others. */
	while (f->writing) {
		p = f->writing->writing_prev;
		unlist_writing(p);
		unlist_dirty(p);
		p->dirty = true;
		p->job->n_dirty++;
		DL_PREPEND2(f->dirty, p, dirty_prev, dirty_next);
	}
}

bool flow_record_refused(struct flow *f, const char *key)
{
	struct record *p = flow_find_record(f, key);
	struct job *j = p ? p->job : NULL;
	bool again = j && j->refused;
	int32_t i;

	if (!j)
		return false;
	unlist_writing(p);
	for (i = 0; i < j->n_records; i++)
		unlist_dirty(&j->records[i]);
	j->refused = true;
	j->unsplit = false;
	/* What is refused now is the state by itself. */
	if (again)
		return false;
	if (!flow_has_ended(j))
		j->state = FLOW_FAILED;
	flow_mark_state_dirty(j);
	return true;
}
