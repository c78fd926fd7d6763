#include "flow/place_internal.h"

/*
 * Plans where waiting tasks start next, so that they can start while progress
 * can't be written.  A plan is recorded like a run: whoever reads the progress
 * knows that the run may exist on that worker, and nowhere else.
 */

/* Plans cover what is expected to become free in this time. */
#define HORIZON_MS 6000
#define PERIOD_MS 500
/* A plan whose worker is not expected to have room is kept this long. */
#define KEEP_MS 2000
/* Searches of a pass, and those of them that find no worker. */
#define SEARCHES_MAX 100
#define MISSES_MAX 4

/** struct pass - one pass over all waiting tasks */
struct pass {
	int searches, misses;
};

/* What is expected to be free within the horizon. */
static void expect_capacity(struct flow *f, int64_t now_ms)
{
	struct worker *w;
	const struct run *r;

	for (w = f->workers; w; w = w->hh.next) {
		w->expected = w->capacity;
		flow_shape_add(&w->expected, &w->used, -1);
		for (r = w->runs; r; r = r->next) {
			const struct flow_step *st =
				flow_step_of(r->job, r->step_state);
			struct flow_shape freed = flow_task_shape(st);

			if (r->state == RUN_STOPPING ||
			    (!st->endless &&
			     flow_remaining_ms(r, now_ms) <= HORIZON_MS))
				flow_shape_add(&w->expected, &freed, 1);
		}
	}
}

void flow_plan_cancel(struct job *j, const struct step_state *ss, int32_t index)
{
	struct task *t = &ss->tasks[index];

	if (!t->planned_on)
		return;
	t->planned_on = NULL;
	flow_mark_dirty(j, ss, index);
}

/* Gangs need all their workers at one time, so they are not planned. */
static bool can_plan(const struct search *s)
{
	return !s->step->gang && !s->step->per_worker_max;
}

static bool is_waiting(const struct task *t)
{
	return !t->done && !t->n_runs;
}

static struct worker *find_worker(const struct search *s)
{
	const struct array *list = flow_search_workers(s);
	struct worker **workers = list->items;
	size_t i;

	for (i = 0; i < list->n; i++)
		if (flow_shape_fits(&s->need, &workers[i]->expected) &&
		    flow_worker_allowed(s, workers[i]))
			return workers[i];
	return NULL;
}

static bool keep_plan(const struct search *s, const struct task *t)
{
	struct worker *w = t->planned_on;

	return w && t->planned_run == t->last_run + 1 &&
		flow_worker_ready(w, s->now_ms) && flow_worker_allowed(s, w) &&
		(flow_shape_fits(&s->need, &w->expected) ||
		 s->now_ms - t->planned_ms < KEEP_MS);
}

static void plan_task(struct pass *p, const struct search *s, int32_t index)
{
	struct task *t = &s->step_state->tasks[index];
	struct worker *w = find_worker(s);

	p->searches++;
	if (!w) {
		p->misses++;
		return;
	}
	t->planned_on = w;
	t->planned_run = t->last_run + 1;
	t->planned_ms = s->now_ms;
	t->planned_decision = ++s->f->decisions;
	flow_mark_dirty(s->job, s->step_state, index);
}

static void plan_step(struct pass *p, const struct search *s)
{
	int misses = p->misses;
	int32_t i;

	for (i = 0; i < s->step->tasks; i++) {
		struct task *t = &s->step_state->tasks[i];

		if (!is_waiting(t))
			continue;
		if (!keep_plan(s, t)) {
			flow_plan_cancel(s->job, s->step_state, i);
			/* After a miss the step's other tasks fit nowhere. */
			if (p->misses > misses || p->misses >= MISSES_MAX ||
			    p->searches >= SEARCHES_MAX ||
			    flow_may_crash_worker(t))
				continue;
			plan_task(p, s, i);
		}
		if (!t->planned_on)
			continue;
		flow_shape_add(&t->planned_on->expected, &s->need, -1);
		t->planned_on_loan = flow_outlasts_booking(s, t->planned_on);
	}
}

static struct search search_for(struct flow *f, struct job *j,
				struct step_state *ss, int64_t now_ms)
{
	return (struct search){
		.f = f,
		.job = j,
		.step_state = ss,
		.step = flow_step_of(j, ss),
		.need = flow_task_shape(flow_step_of(j, ss)),
		.now_ms = now_ms,
	};
}

void flow_plan(struct flow *f, struct job *const *list, size_t n,
	       int64_t now_ms, int64_t wall_ms)
{
	struct pass p = { 0 };
	struct step_state *ss;
	size_t i;
	int32_t k;

	if (f->planned_ms && now_ms - f->planned_ms < PERIOD_MS)
		return;
	f->planned_ms = now_ms;
	expect_capacity(f, now_ms);
	for (i = 0; i < n; i++)
		for (k = 0; (ss = flow_nth_open(list[i], k)); k++) {
			struct search s = search_for(f, list[i], ss, now_ms);

			if (flow_may_not_start(list[i]) || !can_plan(&s) ||
			    !flow_is_ready(f, s.job, s.step_state, wall_ms))
				continue;
			plan_step(&p, &s);
		}
}

static bool may_start(const struct search *s, int32_t index)
{
	const struct task *t = &s->step_state->tasks[index];
	const struct record *rec = flow_record_of(s->job, s->step_state, index);
	const struct worker *w = t->planned_on;
	struct flow_shape available;

	if (!w || !is_waiting(t) || t->planned_run != t->last_run + 1 ||
	    t->planned_decision > rec->written_decision ||
	    !flow_worker_ready(w, s->now_ms) || !flow_worker_allowed(s, w))
		return false;
	available = w->capacity;
	flow_shape_add(&available, &w->used, -1);
	return flow_shape_fits(&s->need, &available);
}

static void start_as_planned(const struct search *s, int32_t index)
{
	struct task *t = &s->step_state->tasks[index];
	struct run *r =
		flow_run_decide(s->job, s->step_state, index, t->planned_on,
				t->planned_run, s->now_ms);

	r->planned = true;
	r->on_loan = t->planned_on_loan;
}

bool flow_start_planned(struct flow *f, struct job *const *list, size_t n,
			int64_t now_ms, int64_t wall_ms)
{
	bool started = false;
	struct step_state *ss;
	size_t i;
	int32_t k, index;

	for (i = 0; i < n; i++)
		for (k = 0; (ss = flow_nth_open(list[i], k)); k++) {
			struct search s = search_for(f, list[i], ss, now_ms);

			if (!flow_is_ready(f, s.job, s.step_state, wall_ms))
				continue;
			for (index = 0; index < s.step->tasks; index++) {
				if (!may_start(&s, index))
					continue;
				start_as_planned(&s, index);
				started = true;
			}
		}
	return started;
}
