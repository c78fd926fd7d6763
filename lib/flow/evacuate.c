#include <stdlib.h>
#include <string.h>

#include "flow/flow_internal.h"

/*
 * Evacuated availability zones.  Their workers get no starts, and so leave the
 * pools: their capacity is neither free nor kept, and is no part of shares.
 * Runs there go on, since the operator asks only that nothing more be started,
 * and a stop would lose their work.
 */

static const char *find_name(const struct flow *f, const char *az)
{
	char **names = f->evacuated.items;
	size_t i;

	for (i = 0; i < f->evacuated.n; i++)
		if (!strcmp(names[i], az))
			return names[i];
	return NULL;
}

/* A run of which no start order was sent runs nowhere. */
static void remove_unsent(struct worker *w)
{
	struct run *r, *next;

	for (r = w->runs; r; r = next) {
		next = r->next;
		if (r->state == RUN_STARTING && !r->start_sent)
			flow_run_remove(r);
	}
}

void flow_evacuate_update(struct flow *f, struct worker *w)
{
	w->evacuated = find_name(f, w->az) != NULL;
	if (w->evacuated)
		remove_unsent(w);
}

void flow_evacuate_free(struct flow *f)
{
	char **names = f->evacuated.items;
	size_t i;

	for (i = 0; i < f->evacuated.n; i++)
		free(names[i]);
	flow_array_free(&f->evacuated);
}

void flow_set_evacuated(struct flow *f, const char *const *azs, size_t n)
{
	struct worker *w;
	size_t i;

	flow_evacuate_free(f);
	for (i = 0; i < n; i++)
		flow_pointers_add(&f->evacuated, tg_xstrdup(azs[i]));
	for (w = f->workers; w; w = w->hh.next)
		flow_evacuate_update(f, w);
}

void flow_hold_starts(struct flow *f, bool hold)
{
	f->starts_held = hold;
}

/* Number of tasks of the step that fit on the worker if it is idle. */
static int64_t count_fits(const struct flow_step *st, const struct worker *w)
{
	struct flow_shape need = flow_task_shape(st), left = w->capacity;
	int64_t n = 0;

	if (!w->present || w->draining || !flow_worker_has_label(w, st->label))
		return 0;
	while (n < st->tasks && flow_shape_fits(&need, &left)) {
		flow_shape_add(&left, &need, -1);
		n++;
	}
	return st->per_worker_max && n > st->per_worker_max ?
		st->per_worker_max :
		n;
}

static const char *find_fit(const struct flow *f, const struct job *j,
			    const struct flow_step *st)
{
	int64_t need = st->gang ? st->tasks : 1, elsewhere = 0, all = 0;
	const struct queue *q = flow_find_queue(f, j->queue);
	const struct worker *w;
	const char *az = NULL;

	for (w = f->workers; q && w; w = w->hh.next) {
		int64_t n;

		if (!w->pool || strcmp(w->pool->service, q->service) != 0)
			continue;
		n = count_fits(st, w);
		all += n;
		if (!w->evacuated)
			elsewhere += n;
		else if (n && !az)
			az = find_name(f, w->az);
	}
	return elsewhere < need && all >= need ? az : NULL;
}

static const char *find_fit_of_job(const struct flow *f, const struct job *j)
{
	const struct step_state *ss;
	const char *az = NULL;
	int32_t i;

	if (!f->evacuated.n || flow_has_ended(j))
		return NULL;
	for (i = 0; !az && (ss = flow_nth_open(j, i)); i++) {
		const struct flow_step *st = flow_step_of(j, ss);

		if (ss->n_done + ss->n_runs < st->tasks)
			az = find_fit(f, j, st);
	}
	if (az || !flow_count_untouched(j))
		return az;
	for (i = 0; !az && i < j->spec->n_steps; i++)
		az = find_fit(f, j, &j->spec->steps[i]);
	return az;
}

const char *flow_find_evacuated_fit(const struct flow *f, const char *job)
{
	const struct job *j = flow_find_job(f, job);

	return j ? find_fit_of_job(f, j) : NULL;
}

void flow_each_evacuated_wait(const struct flow *f,
			      void (*fn)(const char *job, const char *az,
					 void *arg),
			      void *arg)
{
	const struct job *j;

	for (j = f->jobs; f->evacuated.n && j; j = j->hh.next) {
		const char *az = find_fit_of_job(f, j);

		if (az)
			fn(j->id, az, arg);
	}
}
