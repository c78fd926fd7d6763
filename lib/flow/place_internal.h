#ifndef TG_FLOW_PLACE_INTERNAL_H
#define TG_FLOW_PLACE_INTERNAL_H

#include "flow/flow_internal.h"

/*
 * Capacity that a search may use.  CAPACITY_STOPPING includes what is free, and
 * CAPACITY_VICTIMS includes CAPACITY_STOPPING.
 */
enum capacity_source {
	CAPACITY_FREE, /* free now */
	CAPACITY_RECALL, /* free once runs on loan have been stopped */
	CAPACITY_STOPPING, /* free once runs that are stopping have ended */
	CAPACITY_VICTIMS, /* free after stopping runs of other jobs */
	CAPACITY_KEPT, /* free now, though it may be kept for others */
};

/** struct search - state of a search for workers for tasks of one step */
struct search {
	struct flow *f;
	struct job *job;
	struct step_state *step_state;
	const struct flow_step *step;
	struct flow_shape need;
	int64_t now_ms;
	enum capacity_source source;
	const struct rack *rack; /* only its workers qualify; NULL for any */
	bool last_attempt; /* a task of the step can fail only once more */
	bool one_rack; /* a gang that prefers one rack, and fits in one */
	bool reclaim_due; /* see flow_reclaim_due() */
	bool preempt; /* may preempt runs of a greater rank */
	bool recall; /* see flow_may_recall() */
	bool on_loan; /* what it finds is taken on loan */
	int64_t cost; /* work lost by the victims of place_tasks() */
};

/**
 * flow_worker_allowed() - whether a worker may get tasks of the step
 *
 * Its available capacity is not looked at.
 */
bool flow_worker_allowed(const struct search *s, const struct worker *w);
/**
 * flow_book_earliest() - book the capacity where a gang can start first
 *
 * For the rest of the round tasks of other jobs get only capacity that the gang
 * does not need, or that they give back before it is expected to start.
 */
void flow_book_earliest(struct search *s, int32_t want);
/**
 * flow_outlasts_booking() - whether a task that starts on a worker now would
 * still run when a gang is expected to start there
 */
bool flow_outlasts_booking(const struct search *s, const struct worker *w);
/** flow_available() - capacity of a worker that is available from @source */
struct flow_shape flow_available(const struct search *s, struct worker *w,
				 enum capacity_source source);

/* kept.c */
/**
 * flow_kept_wait_note() - the step could start on @w, in kept capacity
 */
void flow_kept_wait_note(const struct search *s, const struct worker *w);
/**
 * flow_loan_limit() - how many of @want tasks may start in kept capacity now
 *
 * Return: for a gang @want or 0.
 */
int32_t flow_loan_limit(const struct search *s, int32_t want);
/** flow_recall_note() - the step waits for runs on loan that it stops */
void flow_recall_note(const struct search *s);
/**
 * flow_may_recall() - whether the search may stop a run because it is on loan
 *
 * A gang may, unless the run's job goes before it.
 */
bool flow_may_recall(const struct search *s, const struct run *r);

/* bestfit.c */
/** flow_search_uses_headroom() - whether headroom is there for the search */
bool flow_search_uses_headroom(const struct search *s);
/**
 * flow_headroom_permits() - whether headroom keeps no worker from the search
 * @runs_ordinary: whether the worker has ordinary tasks
 */
bool flow_headroom_permits(const struct search *s, bool runs_ordinary);
/**
 * flow_is_eligible() - whether a worker may get tasks of the step when it is
 * idle
 */
bool flow_is_eligible(const struct search *s, const struct worker *w);
/** flow_search_workers() - the workers that the search may look at */
const struct array *flow_search_workers(const struct search *s);
/**
 * flow_place_tasks() - choose workers for up to @want tasks and reserve their
 * capacity
 *
 * Return: number of tasks placed.
 */
int32_t flow_place_tasks(struct search *s, int32_t want, struct worker **out);
/** flow_undo_tasks() - undo flow_place_tasks() */
void flow_undo_tasks(const struct search *s, struct worker **out, int32_t n);
/** flow_below_worker_limit() - whether per_worker_max allows one more task */
bool flow_below_worker_limit(const struct search *s, const struct worker *w,
			     struct worker *const *out, int32_t n);

/* Cost of one free accelerator that a task doesn't need. */
#define FLOW_ACCELERATOR_COST 1000000LL

/* fitindex.c */
/**
 * flow_index_best() - the worker with the tightest fit in free capacity
 * @exclude: a worker not to be chosen, or NULL
 *
 * @out and @n are the tasks of the step that are placed already.
 *
 * Return: NULL if the task fits nowhere.
 */
struct worker *flow_index_best(const struct search *s,
			       const struct worker *exclude,
			       struct worker *const *out, int32_t n);
/** flow_index_update() - what is free on a worker, or what it runs, changed */
void flow_index_update(struct flow *f, struct worker *w);
/** flow_fit_cost() - cost of a worker by its free capacity and its state */
int64_t flow_fit_cost(const struct worker *w,
		      const struct flow_shape *available);
enum fit_class flow_fit_class(const struct worker *w);
/** flow_class_cost() - added for a worker without tasks of the job's class */
int64_t flow_class_cost(const struct job *j, enum fit_class c);

/* nofit.c */
/** flow_no_fit_known() - whether a search in this round showed that it fails */
bool flow_no_fit_known(const struct search *s, int32_t want);
/** flow_no_fit_add() - record that @want tasks didn't fit */
void flow_no_fit_add(const struct search *s, int32_t want);
/**
 * flow_choose_victims() - select runs of a worker to preempt for one task
 * @mark: mark them as victims, and the other members of their gangs
 *
 * Return: the work lost, in thousandths of a worker-millisecond, or -1 if the
 * task doesn't fit even so.
 */
int64_t flow_choose_victims(const struct search *s, struct worker *w,
			    bool mark);
/**
 * flow_prepare_victims() - look at the runs of a worker, once a round
 *
 * It finds those that end by themselves soon, and the work that preempting the
 * others loses.  The runs that the round itself starts are left out.
 */
void flow_prepare_victims(const struct search *s, struct worker *w);
/**
 * flow_recall_loans() - mark runs on loan as victims, so that what the round
 * has reserved on the worker fits
 */
void flow_recall_loans(const struct search *s, struct worker *w);
/** flow_commit_victims() - keep all victims that are marked now */
void flow_commit_victims(struct flow *f);
/** flow_rollback_victims() - unmark the victims that are not committed */
void flow_rollback_victims(struct flow *f);

#endif
