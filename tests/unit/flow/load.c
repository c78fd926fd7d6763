#include <check.h>
#include <string.h>

#include "load.h"

/* Prime, so that the tasks of a job end at different times. */
#define SPREAD_STEP_MS 797

struct load_job *load_add(struct load *l, const char *queue, int64_t at_ms,
			  int32_t tasks, int32_t accelerators, int64_t run_ms)
{
	struct load_job *j = &l->jobs[l->n_jobs];

	ck_assert_int_lt(l->n_jobs, LOAD_JOBS_MAX);
	*j = (struct load_job){
		.queue = queue,
		.at_ms = at_ms,
		.run_ms = run_ms,
		.declared_ms = run_ms,
		.tasks = tasks,
		.accelerators = accelerators,
		.shape = fleet_task_shape(accelerators),
		.start_ms = -1,
	};
	snprintf(j->id, sizeof(j->id), "j%d", l->n_jobs++);
	return j;
}

static struct flow_spec *new_spec(const struct load_job *j)
{
	struct flow_spec *s =
		fleet_new_spec(j->tasks, j->accelerators, j->gang);

	s->steps[0].declared_ms = j->declared_ms;
	s->steps[0].within_rack = j->within_rack;
	s->steps[0].shape = j->shape;
	return s;
}

void load_submit(struct load *l)
{
	int i;

	for (i = 0; i < l->n_jobs; i++) {
		const struct load_job *j = &l->jobs[i];

		if (j->at_ms <= l->now_ms && !flow_has_job(l->f, j->id))
			fleet_add_job(l->f, j->id, j->queue, new_spec(j),
				      j->at_ms);
	}
}

static void end_runs(struct load *l)
{
	int i = 0;

	while (i < l->n_runs) {
		struct load_run *r = &l->runs[i];

		if (r->end_ms > l->now_ms) {
			i++;
			continue;
		}
		r->job->running--;
		r->job->done += !r->stopped;
		fleet_end_run(l->f, &r->order,
			      r->stopped ? FLOW_RUN_STOPPED : FLOW_RUN_DONE,
			      l->now_ms);
		*r = l->runs[--l->n_runs];
	}
}

static struct load_job *find_job(struct load *l, const char *id)
{
	int i;

	for (i = 0; i < l->n_jobs; i++)
		if (!strcmp(l->jobs[i].id, id))
			return &l->jobs[i];
	ck_abort_msg("no job %s", id);
	return NULL;
}

static void begin_run(struct load *l, const struct start_order *s)
{
	struct load_job *j = find_job(l, s->job);
	int64_t spread_ms = j->gang ? 0 : j->spread_ms;

	ck_assert_int_lt(l->n_runs, LOAD_RUNS_MAX);
	if (j->start_ms < 0)
		j->start_ms = l->now_ms;
	j->starts++;
	j->running++;
	l->runs[l->n_runs++] = (struct load_run){
		.order = *s,
		.job = j,
		.end_ms = l->now_ms + j->run_ms +
			s->index * SPREAD_STEP_MS % (spread_ms + 1),
	};
}

static void stop_run(struct load *l, const struct start_order *s)
{
	int i;

	for (i = 0; i < l->n_runs; i++) {
		struct load_run *r = &l->runs[i];

		if (strcmp(r->order.job, s->job) != 0 ||
		    r->order.index != s->index || r->order.run != s->run ||
		    r->stopped)
			continue;
		r->stopped = true;
		r->end_ms = l->now_ms + STOP_DURATION_MS +
			s->index * r->job->stop_step_ms;
		r->job->stops++;
	}
}

static void run_round(struct load *l)
{
	static struct orders o;
	int i;

	fleet_decide_unwritten(l->f, &o, l->now_ms);
	for (i = 0; i < o.n_stops; i++)
		stop_run(l, &o.stops[i]);
	if (l->write)
		l->write(l);
	else
		fleet_write(l->f);
	fleet_start_recorded(l->f, &o, l->now_ms);
	fleet_confirm_starts(l->f, &o, l->now_ms);
	for (i = 0; i < o.n_starts; i++)
		begin_run(l, &o.starts[i]);
}

void load_advance(struct load *l, int64_t until_ms)
{
	for (; l->now_ms < until_ms; l->now_ms += LOAD_STEP_MS) {
		load_submit(l);
		end_runs(l);
		run_round(l);
	}
}

int32_t load_accelerators_in_use(const struct load *l)
{
	int32_t i, n = 0;

	for (i = 0; i < l->n_runs; i++)
		n += l->runs[i].job->accelerators;
	return n;
}
