#include <check.h>
#include <string.h>

#include "load.h"

#define STEP_MS 50

struct load_job *load_add(struct load *l, const char *queue, int64_t at_ms,
			  int32_t tasks, int32_t accelerators, int64_t run_ms)
{
	struct load_job *j = &l->jobs[l->n_jobs];

	ck_assert_int_lt(l->n_jobs, LOAD_JOBS_MAX);
	*j = (struct load_job){
		.queue = queue,
		.at_ms = at_ms,
		.run_ms = run_ms,
		.tasks = tasks,
		.accelerators = accelerators,
		.start_ms = -1,
	};
	snprintf(j->id, sizeof(j->id), "j%d", l->n_jobs++);
	return j;
}

static void submit(struct load *l)
{
	int i;

	for (i = 0; i < l->n_jobs; i++) {
		struct load_job *j = &l->jobs[i];
		struct flow_spec *s;

		if (j->at_ms > l->now_ms || flow_has_job(l->f, j->id))
			continue;
		s = fleet_new_spec(j->tasks, j->accelerators, j->gang);
		s->steps[0].declared_ms = j->run_ms;
		s->steps[0].within_rack = j->within_rack;
		fleet_add_job(l->f, j->id, j->queue, s, j->at_ms);
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

	ck_assert_int_lt(l->n_runs, LOAD_RUNS_MAX);
	if (j->start_ms < 0)
		j->start_ms = l->now_ms;
	l->runs[l->n_runs++] = (struct load_run){
		.order = *s,
		.job = j,
		.end_ms = l->now_ms + j->run_ms,
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
		r->end_ms = l->now_ms + STOP_DURATION_MS;
		r->job->stops++;
	}
}

void load_advance(struct load *l, int64_t until_ms)
{
	static struct orders o;
	int i;

	for (; l->now_ms < until_ms; l->now_ms += STEP_MS) {
		submit(l);
		end_runs(l);
		fleet_decide(l->f, &o, l->now_ms);
		fleet_confirm_starts(l->f, &o, l->now_ms);
		for (i = 0; i < o.n_stops; i++)
			stop_run(l, &o.stops[i]);
		for (i = 0; i < o.n_starts; i++)
			begin_run(l, &o.starts[i]);
	}
}

int32_t load_accelerators_in_use(const struct load *l)
{
	int32_t i, n = 0;

	for (i = 0; i < l->n_runs; i++)
		n += l->runs[i].job->accelerators;
	return n;
}
