#ifndef TG_FLOW_PLACE_INTERNAL_H
#define TG_FLOW_PLACE_INTERNAL_H

#include "flow/flow_internal.h"

/* Capacity that a search may use; each includes the ones before. */
enum capacity_source {
	CAPACITY_FREE, /* free now */
	CAPACITY_STOPPING, /* free once runs that are stopping have ended */
	CAPACITY_VICTIMS, /* free after preempting runs of a greater rank */
};

#define ANY_RACK (-1)

/** struct search - state of a search for workers for tasks of one step */
struct search {
	struct flow *f;
	struct job *job;
	struct step_state *step_state;
	const struct flow_step *step;
	struct flow_shape need;
	int64_t now_ms;
	enum capacity_source source;
	int32_t rack; /* only its workers qualify, or ANY_RACK */
	bool last_attempt; /* a task of the step can fail only once more */
	bool one_rack; /* a gang that prefers one rack, and fits in one */
	bool reclaim_due; /* see flow_reclaim_due() */
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
struct flow_shape flow_available(const struct search *s, const struct worker *w,
				 enum capacity_source source);
/**
 * flow_choose_victims() - select runs of a worker to preempt for one task
 * @mark: mark them as victims, and the other members of their gangs
 *
 * Return: the work lost, in thousandths of a worker-millisecond, or -1 if the
 * task doesn't fit even so.
 */
int64_t flow_choose_victims(const struct search *s, struct worker *w,
			    bool mark);
/** flow_commit_victims() - keep all victims that are marked now */
void flow_commit_victims(struct flow *f);
/** flow_rollback_victims() - unmark the victims that are not committed */
void flow_rollback_victims(struct flow *f);

#endif
