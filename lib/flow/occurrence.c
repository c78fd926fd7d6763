#include <stdlib.h>
#include <string.h>

#include "flow/flow_internal.h"

/*
 * State of a job's occurrences.  A job can have thousands of them, due over
 * weeks or all at once, so only open ones have state:
 *
 * - A job without times has one occurrence, which is always open.
 * - Others are opened in order when they are due, and some more only after
 *   those before have started.  Reports and records open the one they name.
 * - An occurrence is closed once all its tasks are done and no run is left.
 *   Nothing else is lost with its state, since a closed one is either done, of
 *   which a bit remains, or has never been started.
 */

/*
 * State of occurrences that are due and wait for capacity, of all jobs: half of
 * the 32 MB that a daemon may take at the size of the target.
 */
#define AHEAD_BYTES (16 << 20)
/* The most of it that one job takes, so that few jobs don't take all of it. */
#define AHEAD_BYTES_PER_JOB (128 << 10)

static int64_t occurrence_bytes(const struct flow_spec *s)
{
	int64_t n = (int64_t)sizeof(struct occurrence);
	int32_t i;

	for (i = 0; i < s->n_steps; i++)
		n += (int64_t)(sizeof(struct step_state) +
			       (size_t)s->steps[i].tasks * sizeof(struct task));
	return n;
}

/* What the specification itself takes, with its texts. */
static int64_t spec_bytes(const struct flow_spec *s)
{
	int64_t n = (int64_t)(sizeof(*s) + strlen(s->text));
	int32_t i;

	for (i = 0; i < s->n_steps; i++) {
		const struct flow_step *st = &s->steps[i];

		n += (int64_t)sizeof(*st);
		n += st->label ? (int64_t)strlen(st->label) : 0;
		n += st->data_rack ? (int64_t)strlen(st->data_rack) : 0;
		n += st->image ? (int64_t)strlen(st->image) : 0;
	}
	return n;
}

int64_t flow_job_bytes(const struct flow_spec *s)
{
	int64_t records = (flow_spec_tasks(s) + FLOW_RECORD_TASKS - 1) /
		FLOW_RECORD_TASKS;

	return (int64_t)sizeof(struct job) + spec_bytes(s) +
		records * (int64_t)sizeof(struct record) + s->times / 8 +
		occurrence_bytes(s);
}

int64_t flow_held_bytes(const struct flow *f)
{
	return f->held_bytes;
}

/* Position of the first open occurrence with @number or a greater one. */
static size_t find_open(const struct job *j, int32_t number)
{
	struct occurrence *const *open = j->open.items;
	size_t from = 0, to = j->open.n;

	while (from < to) {
		size_t middle = from + (to - from) / 2;

		if (open[middle]->number < number)
			from = middle + 1;
		else
			to = middle;
	}
	return from;
}

static struct occurrence *get_open(const struct job *j, int32_t number)
{
	struct occurrence *const *open = j->open.items;
	size_t i = find_open(j, number);

	return i < j->open.n && open[i]->number == number ? open[i] : NULL;
}

bool flow_occurrence_is_done(const struct job *j, int32_t number)
{
	return j->done_bits && (j->done_bits[number / 8] >> number % 8 & 1);
}

static void set_all_done(struct occurrence *o)
{
	const struct flow_spec *s = o->job->spec;
	int32_t i, k;

	for (i = 0; i < s->n_steps; i++) {
		for (k = 0; k < s->steps[i].tasks; k++)
			o->steps[i].tasks[k].done = true;
		o->steps[i].n_done = s->steps[i].tasks;
	}
	o->n_steps_done = s->n_steps;
}

static struct occurrence *open_occurrence(struct job *j, int32_t number)
{
	const struct flow_spec *s = j->spec;
	struct occurrence *o = tg_xcalloc(1, sizeof(*o));
	int32_t i, first = number * j->occurrence_tasks;

	o->job = j;
	o->number = number;
	o->steps = tg_xcalloc((size_t)s->n_steps, sizeof(*o->steps));
	for (i = 0; i < s->n_steps; i++) {
		o->steps[i].job = j;
		o->steps[i].of = o;
		o->steps[i].occurrence = number;
		o->steps[i].step = i;
		o->steps[i].first = first;
		o->steps[i].tasks = tg_xcalloc((size_t)s->steps[i].tasks,
					       sizeof(struct task));
		first += s->steps[i].tasks;
	}
	if (flow_occurrence_is_done(j, number))
		set_all_done(o);
	flow_pointers_insert(&j->open, find_open(j, number), o);
	return o;
}

static void free_occurrence(struct occurrence *o)
{
	int32_t i, k;

	for (i = 0; i < o->job->spec->n_steps; i++) {
		struct step_state *ss = &o->steps[i];

		flow_reservation_forget(ss);
		free(ss->kept_wait.worker);
		for (k = 0; k < flow_step_of(o->job, ss)->tasks; k++) {
			free(ss->tasks[k].failures.runs);
			free(ss->tasks[k].crashes.runs);
		}
		free(ss->tasks);
	}
	free(o->steps);
	free(o);
}

void flow_occurrences_init(struct job *j)
{
	int64_t ahead;

	j->n_occurrences = flow_spec_occurrences(j->spec);
	j->occurrence_tasks =
		(int32_t)(flow_spec_tasks(j->spec) / j->n_occurrences);
	ahead = AHEAD_BYTES_PER_JOB / occurrence_bytes(j->spec);
	j->ahead_max = ahead > 1 ? (int32_t)ahead : 1;
	if (j->spec->times > 0)
		j->done_bits = tg_xcalloc((size_t)j->n_occurrences / 8 + 1, 1);
	else
		open_occurrence(j, 0);
}

void flow_occurrences_free(struct job *j)
{
	struct occurrence **open = j->open.items;
	size_t i;

	for (i = 0; i < j->open.n; i++)
		free_occurrence(open[i]);
	flow_array_free(&j->open);
	free(j->done_bits);
}

struct step_state *flow_nth_open(const struct job *j, int32_t n)
{
	struct occurrence *const *open = j->open.items;
	size_t i = (size_t)(n / j->spec->n_steps);

	return i < j->open.n ? &open[i]->steps[n % j->spec->n_steps] : NULL;
}

static bool is_step(const struct job *j, int32_t occurrence, int32_t step)
{
	return step >= 0 && step < j->spec->n_steps && occurrence >= 0 &&
		occurrence < j->n_occurrences;
}

struct step_state *flow_step_state(const struct job *j, int32_t occurrence,
				   int32_t step)
{
	struct occurrence *o =
		is_step(j, occurrence, step) ? get_open(j, occurrence) : NULL;

	return o ? &o->steps[step] : NULL;
}

struct step_state *flow_open_step_state(struct job *j, int32_t occurrence,
					int32_t step)
{
	struct step_state *ss = flow_step_state(j, occurrence, step);

	if (ss || !is_step(j, occurrence, step))
		return ss;
	return &open_occurrence(j, occurrence)->steps[step];
}

bool flow_is_due(const struct flow *f, const struct job *j, int32_t occurrence,
		 int64_t wall_ms)
{
	return !j->spec->times ||
		wall_ms + f->opts.early_ms >=
		j->spec->first_wall_ms + occurrence * j->spec->interval_ms;
}

static int64_t count_runs(const struct occurrence *o)
{
	int64_t n = 0;
	int32_t i;

	for (i = 0; i < o->job->spec->n_steps; i++)
		n += o->steps[i].n_runs;
	return n;
}

static bool can_close(const struct occurrence *o)
{
	return o->job->spec->times > 0 &&
		o->n_steps_done == o->job->spec->n_steps && !count_runs(o);
}

void flow_close_done(struct job *j)
{
	struct occurrence **open = j->open.items;
	size_t i, kept = 0;

	for (i = 0; i < j->open.n; i++) {
		struct occurrence *o = open[i];

		if (!can_close(o)) {
			open[kept++] = o;
			continue;
		}
		if (!flow_occurrence_is_done(j, o->number))
			j->n_occurrences_closed++;
		j->done_bits[o->number / 8] |= (uint8_t)(1 << o->number % 8);
		free_occurrence(o);
	}
	j->open.n = kept;
}

/* Open ones that have no run now, though they aren't done. */
static int32_t count_waiting(const struct job *j)
{
	struct occurrence *const *open = j->open.items;
	int32_t n = 0;
	size_t i;

	for (i = 0; i < j->open.n; i++)
		n += open[i]->n_steps_done < j->spec->n_steps &&
			!count_runs(open[i]);
	return n;
}

static int32_t ahead_limit(const struct job *j, size_t n_jobs)
{
	int64_t share =
		AHEAD_BYTES / (int64_t)n_jobs / occurrence_bytes(j->spec);

	if (share > j->ahead_max)
		return j->ahead_max;
	return share > 1 ? (int32_t)share : 1;
}

static void open_due(const struct flow *f, struct job *j, size_t n_jobs,
		     int64_t wall_ms)
{
	int32_t left;

	flow_close_done(j);
	if (j->next_occurrence == j->n_occurrences)
		return;
	left = ahead_limit(j, n_jobs) - count_waiting(j);
	for (; j->next_occurrence < j->n_occurrences; j->next_occurrence++) {
		if (flow_occurrence_is_done(j, j->next_occurrence) ||
		    get_open(j, j->next_occurrence))
			continue;
		if (left <= 0 ||
		    !flow_is_due(f, j, j->next_occurrence, wall_ms))
			break;
		open_occurrence(j, j->next_occurrence);
		left--;
	}
}

void flow_open_due(struct flow *f, struct job *const *list, size_t n,
		   int64_t wall_ms)
{
	size_t i, n_jobs = 0;

	for (i = 0; i < n; i++)
		n_jobs += list[i]->spec->times > 0;
	for (i = 0; i < n; i++)
		if (list[i]->spec->times > 0)
			open_due(f, list[i], n_jobs, wall_ms);
}

int64_t flow_count_untouched(const struct job *j)
{
	struct occurrence *const *open = j->open.items;
	int64_t n = j->n_occurrences - j->n_occurrences_closed;
	size_t i;

	for (i = 0; i < j->open.n; i++)
		n -= !flow_occurrence_is_done(j, open[i]->number);
	return n;
}
