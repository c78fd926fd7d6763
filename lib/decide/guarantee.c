#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "decide/internal.h"

#define TASKS_MAX 100000

void guarantee_free(struct guarantee *g)
{
	free(g->slots);
	g->slots = NULL;
}

int32_t guarantee_usable_slots(const struct tg_fleet *f,
			       const struct guarantee *g)
{
	int32_t i, n = 0;

	for (i = 0; i < g->tasks; i++) {
		const struct slot *s = &g->slots[i];

		if (!s->job && s->worker != NONE &&
		    f->workers[s->worker].health == TG_WORKER_UP)
			n++;
	}
	return n;
}

bool guarantee_at_risk(const struct guarantee *g)
{
	int32_t i;

	if (g->lapsed)
		return false;
	for (i = 0; i < g->tasks; i++)
		if (g->slots[i].worker == NONE)
			return true;
	return false;
}

struct guarantee *guarantee_for(const struct tg_fleet *f, const struct job *j,
				bool usable)
{
	size_t i;

	if (j->class != TG_CLASS_GUARANTEED)
		return NULL;
	for (i = 0; i < f->n_guarantees; i++) {
		struct guarantee *g = &f->guarantees[i];

		if (g->ws != j->ws || g->lapsed || j->tasks > g->tasks ||
		    (j->az != NONE && j->az != g->az) ||
		    (j->within_rack && !g->within_rack) ||
		    !res_fits(j->need, g->need))
			continue;
		if (!usable || guarantee_usable_slots(f, g) >= j->tasks)
			return g;
	}
	return NULL;
}

void slot_set(struct tg_fleet *f, struct guarantee *g, struct slot *s,
	      int32_t worker)
{
	if (s->worker != NONE)
		usage_add_planned(f, s->worker, g->need, -1);
	s->worker = worker;
	if (worker != NONE)
		usage_add_planned(f, worker, g->need, 1);
}

void guarantee_unbind(struct tg_fleet *f, struct job *j)
{
	struct guarantee *g = j->g;
	int32_t i;

	if (!g)
		return;
	for (i = 0; i < j->tasks; i++)
		usage_set_covered(&f->workers[j->workers[i]], j, -1);
	for (i = 0; i < g->tasks; i++)
		if (g->slots[i].job == j)
			g->slots[i].job = NULL;
	j->g = NULL;
}

/*
 * Resources of one slot.  A guarantee states accelerators only; cores and
 * memory are the share of so many accelerators on the worker of the AZ with the
 * smallest share, so that every slot fits on every worker that has enough
 * accelerators.
 */
static struct res slot_need(const struct tg_fleet *f, int32_t az, int32_t acc)
{
	struct res need = { acc, INT32_MAX, INT32_MAX };
	int32_t i;

	for (i = 0; i < f->n_workers; i++) {
		const struct worker *w = &f->workers[i];
		int64_t a = w->cap.acc;

		if (w->az != az || a < acc)
			continue;
		need.cores = min32(need.cores,
				   (int32_t)((int64_t)w->cap.cores * acc / a));
		need.mem = min32(need.mem,
				 (int32_t)((int64_t)w->cap.mem * acc / a));
	}
	if (need.cores == INT32_MAX)
		need.cores = need.mem = 0;
	return need;
}

static bool validate_guarantee(const struct tg_fleet *f,
			       const struct tg_guarantee *g, const char *place,
			       struct tg_findings *findings)
{
	const char *fault = NULL;

	if (!tg_name_valid(g->workspace))
		fault = "workspace is not a valid name";
	else if (g->tasks < 1 || g->tasks > TASKS_MAX)
		fault = "tasks is out of range";
	else if (g->accelerators_per_task < 1 ||
		 g->accelerators_per_task > TASKS_MAX)
		fault = "accelerators_per_task is out of range";
	else if (name_find(f->az_ids, g->az) == NONE)
		fault = "no worker in this az";
	if (fault && findings)
		tg_findings_add(findings, place, "%s", fault);
	return !fault;
}

static struct guarantee
make_guarantee(struct tg_fleet *f, const struct tg_guarantee *g, int64_t now_ms)
{
	struct guarantee out = {
		.ws = workspace_get(f, g->workspace),
		.az = name_find(f->az_ids, g->az),
		.tasks = g->tasks,
		.within_rack = g->within_rack,
		.lapses_ms = g->lapses_ms,
		.lapsed = now_ms >= g->lapses_ms,
	};
	int32_t i;

	out.need = slot_need(f, out.az, g->accelerators_per_task);
	out.slots = tg_xcalloc((size_t)g->tasks, sizeof(*out.slots));
	for (i = 0; i < g->tasks; i++)
		out.slots[i].worker = NONE;
	return out;
}

/*
 * Takes the slots of all guarantees out of the accounts and unbinds their jobs.
 * The array is kept for reinstate_all().
 */
static void withdraw_all(struct tg_fleet *f)
{
	size_t i;
	int32_t k;

	for (i = 0; i < f->n_guarantees; i++) {
		struct guarantee *g = &f->guarantees[i];

		for (k = 0; k < g->tasks; k++) {
			struct slot *s = &g->slots[k];
			struct job *j = s->job;

			if (s->worker != NONE)
				usage_add_planned(f, s->worker, g->need, -1);
			if (j && j->g) {
				guarantee_unbind(f, j);
				j->was_covered = true;
				s->job = j; /* for reinstate_all() */
			}
		}
	}
}

/*
 * Puts the guarantees in @saved in force again.  @slots holds copies made
 * before withdraw_all(), since guarantee_unbind() clears all slots of a job but
 * the first.
 */
static void reinstate_all(struct tg_fleet *f, struct guarantee *saved, size_t n,
			  struct slot **slots)
{
	size_t i;
	int32_t k;

	f->guarantees = saved;
	f->n_guarantees = n;
	for (i = 0; i < n; i++) {
		struct guarantee *g = &saved[i];

		memcpy(g->slots, slots[i],
		       (size_t)g->tasks * sizeof(*g->slots));
		for (k = 0; k < g->tasks; k++) {
			struct slot *s = &g->slots[k];

			if (s->worker == NONE)
				continue;
			usage_add_planned(f, s->worker, g->need, 1);
			if (!s->job)
				continue;
			usage_set_covered(&f->workers[s->worker], s->job, 1);
			s->job->g = g;
			s->job->was_covered = false;
		}
	}
}

static int by_size(const void *a, const void *b)
{
	const struct job *x = *(struct job *const *)a;
	const struct job *y = *(struct job *const *)b;

	if (job_acc(x) != job_acc(y))
		return job_acc(x) > job_acc(y) ? -1 : 1;
	return x->seq < y->seq ? -1 : 1;
}

static void bind_jobs_and_free(struct tg_fleet *f, struct queue *list)
{
	size_t i, k;

	if (list->n)
		qsort(list->jobs, list->n, sizeof(struct job *), by_size);
	for (k = 0; k < list->n; k++) {
		struct job *j = list->jobs[k];

		for (i = 0; i < f->n_guarantees && !j->g; i++)
			plan_bind(f, &f->guarantees[i], j);
	}
	free(list->jobs);
}

/*
 * Binds running jobs to slots: first jobs that were covered before, and among
 * equals the largest first.  If a small uncovered job took their slots, more
 * capacity would be reserved, since the large jobs go on running as well.
 */
static void bind_running_jobs(struct tg_fleet *f)
{
	struct queue covered = { 0 }, others = { 0 };
	struct job *j, *next;

	HASH_ITER(hh, f->jobs, j, next) {
		if (j->workers && j->class == TG_CLASS_GUARANTEED)
			list_add(j->was_covered ? &covered : &others, j);
		j->was_covered = j->adopted = false;
	}
	bind_jobs_and_free(f, &covered);
	bind_jobs_and_free(f, &others);
	f->adopted = false;
}

void guarantee_bind_adopted(struct tg_fleet *f)
{
	struct queue list = { 0 };
	struct job *j, *next;

	if (!f->adopted)
		return;
	HASH_ITER(hh, f->jobs, j, next) {
		if (j->adopted && j->workers && !j->g)
			list_add(&list, j);
		j->adopted = false;
	}
	bind_jobs_and_free(f, &list);
	f->adopted = false;
}

static void update_largest_shape(struct tg_fleet *f)
{
	int64_t best = 0;
	size_t i;
	int32_t w;

	f->shape = (struct res){ 0 };
	f->shape_tasks = 1;
	f->shape_within_rack = false;
	for (i = 0; i < f->n_guarantees; i++) {
		const struct guarantee *g = &f->guarantees[i];
		int64_t size = (int64_t)g->tasks * g->need.acc;

		if (size <= best)
			continue;
		best = size;
		f->shape = g->need;
		f->shape_tasks = g->tasks;
		f->shape_within_rack = g->within_rack;
	}
	for (w = 0; !best && w < f->n_workers; w++)
		if (f->workers[w].cap.acc > f->shape.acc)
			f->shape = (struct res){ .acc = f->workers[w].cap.acc };
	for (w = 0; w < f->n_racks; w++)
		f->racks[w].dirty = true;
	for (w = 0; w < f->n_azs; w++)
		f->azs[w].change_seq++;
}

static struct slot **copy_slots(const struct tg_fleet *f)
{
	struct slot **out = tg_xcalloc(f->n_guarantees, sizeof(struct slot *));
	size_t i;

	for (i = 0; i < f->n_guarantees; i++) {
		const struct guarantee *g = &f->guarantees[i];
		size_t size = (size_t)g->tasks * sizeof(*g->slots);

		out[i] = tg_xcalloc(1, size);
		memcpy(out[i], g->slots, size);
	}
	return out;
}

static size_t report_unplaced(const struct tg_fleet *f,
			      const size_t *input_index,
			      struct tg_findings *findings)
{
	size_t i, n_unplaced = 0;
	char place[TG_NAME_MAX + 24];

	for (i = 0; i < f->n_guarantees; i++) {
		const struct guarantee *g = &f->guarantees[i];

		if (!guarantee_at_risk(g))
			continue;
		n_unplaced++;
		snprintf(place, sizeof(place), "%s/%zu", g->ws->name,
			 input_index[i]);
		if (findings)
			tg_findings_add(findings, place,
					"%d tasks of %d accelerators%s do not "
					"fit in %s together with the other "
					"guarantees",
					g->tasks, g->need.acc,
					g->within_rack ? " in a rack" : "",
					f->azs[g->az].name);
	}
	return n_unplaced;
}

int tg_fleet_set_guarantees(struct tg_fleet *f, const struct tg_guarantee *g,
			    size_t n, int64_t now_ms, bool force,
			    struct tg_findings *findings)
{
	struct guarantee *old = f->guarantees, *new;
	size_t i, n_invalid = 0, n_new = 0, n_old = f->n_guarantees;
	size_t *input_index;
	struct slot **slots;
	char place[TG_NAME_MAX + 24];
	int result = 0;

	plan_lapse(f, now_ms);
	new = tg_xcalloc(n, sizeof(*new));
	input_index = tg_xcalloc(n, sizeof(*input_index));
	for (i = 0; i < n; i++) {
		snprintf(place, sizeof(place), "%.63s/%zu", g[i].workspace, i);
		if (!validate_guarantee(f, &g[i], place, findings)) {
			n_invalid++;
			continue;
		}
		input_index[n_new] = i;
		new[n_new++] = make_guarantee(f, &g[i], now_ms);
	}
	slots = copy_slots(f);
	if (n_invalid && !force) {
		result = -1;
	} else {
		withdraw_all(f);
		f->guarantees = new;
		f->n_guarantees = n_new;
		bind_running_jobs(f);
		for (i = 0; i < (size_t)f->n_azs; i++)
			plan_az(f, (int32_t)i);
		if (report_unplaced(f, input_index, findings))
			result = -1;
		if (result && !force) {
			withdraw_all(f);
			reinstate_all(f, old, n_old, slots);
			for (i = 0; i < (size_t)f->n_azs; i++)
				plan_az(f, (int32_t)i);
		}
	}
	for (i = 0; i < n_old; i++)
		free(slots[i]);
	free(slots);
	free(input_index);
	if (f->guarantees == new) {
		for (i = 0; i < n_old; i++)
			guarantee_free(&old[i]);
		free(old);
		if (force && !n_invalid)
			result = 0;
	} else {
		for (i = 0; i < n_new; i++)
			guarantee_free(&new[i]);
		free(new);
	}
	update_largest_shape(f);
	return result;
}

size_t tg_fleet_n_guarantees(const struct tg_fleet *f)
{
	return f->n_guarantees;
}

void tg_fleet_guarantee_status(const struct tg_fleet *f, size_t i,
			       int64_t now_ms, struct tg_guarantee_status *out)
{
	const struct guarantee *g = &f->guarantees[i];
	int32_t k;

	*out = (struct tg_guarantee_status){
		.g = { .workspace = g->ws->name,
		       .az = f->azs[g->az].name,
		       .tasks = g->tasks,
		       .accelerators_per_task = g->need.acc,
		       .within_rack = g->within_rack,
		       .lapses_ms = g->lapses_ms },
		.lapsed = g->lapsed || now_ms >= g->lapses_ms,
	};
	if (out->lapsed)
		return;
	out->at_risk = guarantee_at_risk(g);
	for (k = 0; k < g->tasks; k++) {
		const struct slot *s = &g->slots[k];
		const struct worker *w;
		struct res avail;

		out->used_tasks += s->job != NULL;
		if (s->worker == NONE || s->job)
			continue;
		/* Lent use that does not fit into the unreserved capacity. */
		w = &f->workers[s->worker];
		avail = uncommitted_capacity(w);
		out->lent_accelerators +=
			min32(g->need.acc, max32(0, w->lent.acc - avail.acc));
	}
}
