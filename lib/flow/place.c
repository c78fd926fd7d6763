#include <stdlib.h>
#include <string.h>

#include "flow/place_internal.h"

/* Places the tasks of steps, and gangs as a whole or not at all. */

/* Number of tasks of the step that fit into @available of one worker. */
static int64_t fit_count(const struct search *s,
			 const struct flow_shape *available)
{
	int64_t n = INT32_MAX;

	if (s->need.cpu_millicores > 0)
		n = available->cpu_millicores / s->need.cpu_millicores;
	if (s->need.memory_mb > 0 &&
	    available->memory_mb / s->need.memory_mb < n)
		n = available->memory_mb / s->need.memory_mb;
	if (s->need.accelerators > 0 &&
	    available->accelerators / s->need.accelerators < n)
		n = available->accelerators / s->need.accelerators;
	if (s->step->per_worker_max && n > s->step->per_worker_max)
		n = s->step->per_worker_max;
	return n > 0 ? n : 0;
}

/* struct rack_fit - tasks that fit on the workers of a rack, by their speed */
struct rack_fit {
	int64_t all, by_speed[SPEED_CLASSES];
};

static struct rack_fit count_rack_fits(struct search *s,
				       const struct rack *rack, bool empty)
{
	struct worker **workers = rack->workers.items;
	struct rack_fit fit = { .all = 0 };
	size_t i;

	for (i = 0; i < rack->workers.n; i++) {
		struct worker *w = workers[i];
		struct flow_shape available;
		int64_t n;

		if (!(empty ? flow_is_eligible(s, w) :
			      flow_worker_allowed(s, w)))
			continue;
		available =
			empty ? w->capacity : flow_available(s, w, s->source);
		n = fit_count(s, &available);
		fit.all += n;
		fit.by_speed[w->speed_class] += n;
	}
	return fit;
}

/* In accelerators, of the slowest worker that @want tasks need. */
static int64_t rack_speed_cost(const struct search *s,
			       const struct rack_fit *fit, int32_t want)
{
	int64_t cost, worst = 0, left = want;
	enum speed_class c, best;
	bool used[SPEED_CLASSES] = { false };

	while (left > 0) {
		best = SPEED_CLASSES;
		for (c = 0; c < SPEED_CLASSES; c++)
			if (!used[c] &&
			    (best == SPEED_CLASSES ||
			     flow_speed_cost(s->job, s->step, c) <
				     flow_speed_cost(s->job, s->step, best)))
				best = c;
		if (best == SPEED_CLASSES)
			break;
		used[best] = true;
		left -= fit->by_speed[best];
		cost = flow_speed_cost(s->job, s->step, best);
		if (fit->by_speed[best] && cost > worst)
			worst = cost;
	}
	return worst / FLOW_ACCELERATOR_COST;
}

/* Whether all tasks would fit in some rack if it were idle. */
static bool fits_in_one_rack(struct search *s, int32_t want)
{
	const struct rack *rack;

	for (rack = s->f->racks; rack; rack = rack->hh.next)
		if (count_rack_fits(s, rack, true).all >= want)
			return true;
	return false;
}

static int32_t place_in_rack(struct search *s, const struct rack *rack,
			     int32_t want, struct worker **out)
{
	int32_t n;

	s->rack = rack;
	s->cost = 0;
	n = flow_place_tasks(s, want, out);
	s->rack = NULL;
	if (n == want)
		return n;
	flow_undo_tasks(s, out, n);
	return 0;
}

/*
 * Number of tasks that fit and cost of slow workers, or work lost; -1 if the
 * tasks can't be placed.
 */
static int64_t rack_cost(struct search *s, const struct rack *rack,
			 int32_t want, struct worker **out)
{
	struct rack_fit fit =
		count_rack_fits(s, rack, s->source == CAPACITY_VICTIMS);

	if (fit.all < want)
		return -1;
	if (s->source != CAPACITY_VICTIMS)
		return fit.all + rack_speed_cost(s, &fit, want);
	if (!place_in_rack(s, rack, want, out))
		return -1;
	flow_undo_tasks(s, out, want);
	return s->cost;
}

/* Best fit among racks, or the rack where the least work is lost. */
static int32_t place_in_best_rack(struct search *s, int32_t want,
				  struct worker **out)
{
	const struct rack *rack, *best = NULL;
	int64_t best_cost = 0;

	for (rack = s->f->racks; rack; rack = rack->hh.next) {
		int64_t cost = rack_cost(s, rack, want, out);

		if (cost < 0 || (best && cost >= best_cost))
			continue;
		best = rack;
		best_cost = cost;
	}
	return best ? place_in_rack(s, best, want, out) : 0;
}

static int32_t place_gang_tasks(struct search *s, int32_t want,
				struct worker **out)
{
	int32_t n;

	if (s->one_rack) {
		n = place_in_best_rack(s, want, out);
		if (n == want ||
		    (!s->reclaim_due && s->source != CAPACITY_KEPT))
			return n;
	}
	n = flow_place_tasks(s, want, out);
	if (n == want)
		return n;
	flow_undo_tasks(s, out, n);
	return 0;
}

static bool is_last_attempt(const struct job *j, const struct step_state *ss)
{
	int32_t i;

	for (i = 0; i < flow_step_of(j, ss)->tasks; i++) {
		const struct task *t = &ss->tasks[i];

		if (!t->done && t->failures.n &&
		    flow_count_run_numbers(&t->failures) >=
			    j->queue_conf->max_attempts - 1)
			return true;
	}
	return false;
}

/* From the present source of the search only. */
static int32_t place_step(struct search *s, int32_t want, struct worker **out)
{
	int32_t n;

	if (flow_no_fit_known(s, want))
		return 0;
	n = s->step->gang ? place_gang_tasks(s, want, out) :
			    flow_place_tasks(s, want, out);
	if (s->step->gang ? n < want : !n)
		flow_no_fit_add(s, want);
	return n;
}

/* Notes whether @want more tasks could start in capacity kept for others. */
static void note_kept_wait(struct search *s, int32_t want, struct worker **out)
{
	int32_t n;

	s->source = CAPACITY_KEPT;
	n = place_step(s, want, out);
	if (!n)
		return;
	flow_kept_wait_note(s, out[0]);
	flow_undo_tasks(s, out, n);
}

/* Places tasks in capacity that is kept for others, if they may start there. */
static int32_t place_on_loan(struct search *s, int32_t want,
			     struct worker **out)
{
	int32_t n = s->job->pool ? flow_loan_limit(s, want) : 0;

	s->source = CAPACITY_KEPT;
	s->on_loan = true;
	if (n)
		n = place_step(s, n, out);
	s->on_loan = false;
	if (n)
		flow_kept_wait_note(s, out[0]);
	else
		note_kept_wait(s, s->step->gang ? want : 1, out);
	return n;
}

/* Stops the runs on loan that hold what is reserved for a gang. */
static void recall(const struct search *s, struct worker *const *out, int32_t n)
{
	int32_t i;

	/* If it can't start after all, it has waited longer than these runs. */
	flow_kept_wait_note(s, out[0]);
	flow_recall_note(s);
	for (i = 0; i < n; i++)
		flow_recall_loans(s, out[i]);
}

int32_t flow_place(struct flow *f, struct job *j, struct step_state *ss,
		   int32_t want, bool preempt, struct worker **out, bool *wait,
		   bool *on_loan, int64_t now_ms)
{
	/* Each list ends with CAPACITY_KEPT. */
	static const enum capacity_source ordinary[] = { CAPACITY_FREE,
							 CAPACITY_KEPT },
					  recalling[] = { CAPACITY_FREE,
							  CAPACITY_RECALL,
							  CAPACITY_KEPT },
					  preempting[] = { CAPACITY_FREE,
							   CAPACITY_STOPPING,
							   CAPACITY_VICTIMS,
							   CAPACITY_KEPT };
	struct search s = {
		.f = f,
		.job = j,
		.step_state = ss,
		.step = flow_step_of(j, ss),
		.need = flow_task_shape(flow_step_of(j, ss)),
		.now_ms = now_ms,
		.last_attempt = is_last_attempt(j, ss),
		.reclaim_due = flow_reclaim_due(f, j, now_ms),
		.preempt = preempt,
	};
	const enum capacity_source *source;
	int32_t n = 0;

	*wait = *on_loan = false;
	s.recall = s.step->gang && j->pool && j->pool->n_on_loan > 0;
	s.one_rack = s.step->gang && s.step->within_rack &&
		fits_in_one_rack(&s, want);
	source = preempt ? preempting : s.recall ? recalling : ordinary;
	for (; *source != CAPACITY_KEPT; source++) {
		s.source = *source;
		n = place_step(&s, want, out);
		if (n == want)
			break;
		/* Single tasks use what is free now; the others wait. */
		if (s.source == CAPACITY_FREE && !s.step->gang && n > 0) {
			note_kept_wait(&s, 1, out + n);
			return n;
		}
		if (source[1] != CAPACITY_KEPT || s.step->gang) {
			if (!s.step->gang)
				flow_undo_tasks(&s, out, n);
			n = 0;
		}
	}
	if (n > 0) {
		*wait = s.source != CAPACITY_FREE;
		if (s.source == CAPACITY_RECALL)
			recall(&s, out, n);
		if (*wait && s.step->gang)
			flow_reservation_update(ss, now_ms,
						now_ms + f->opts.stop_ms);
	} else {
		n = place_on_loan(&s, want, out);
		*on_loan = n > 0;
		if (!n && s.step->gang)
			flow_book_earliest(&s, want);
	}
	flow_commit_victims(f);
	return n;
}
