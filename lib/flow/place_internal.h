#ifndef TG_FLOW_PLACE_INTERNAL_H
#define TG_FLOW_PLACE_INTERNAL_H

#include "flow/flow_internal.h"

/* What counts as room, in the order in which it is tried. */
enum capacity_source {
	CAPACITY_FREE, /* now */
	CAPACITY_STOPPING, /* when the runs that are being stopped have ended */
	CAPACITY_VICTIMS, /* after stopping runs of lower rank */
};

#define ANY_RACK (-1)

/** struct search - a search for workers for tasks of one step */
struct search {
	struct flow *f;
	struct job *job;
	struct step_state *step_state;
	const struct flow_step *step;
	struct flow_shape need;
	int64_t now_ms;
	enum capacity_source source;
	int32_t rack; /* only workers of this one, or ANY_RACK */
	bool last_attempt; /* of a task of the step */
	bool one_rack; /* a gang that prefers one rack, and one could hold it */
	bool reclaim_due; /* see flow_must_begin() */
	int64_t cost; /* of the victims of fill() */
};

/** flow_may_place() - whether a worker may get tasks of the step, given room */
bool flow_worker_allowed(const struct search *s, const struct worker *w);
/**
 * flow_reserve() - keep the room for a gang that will be free first
 *
 * For the rest of the round nothing else is placed there.
 */
void flow_reserve_earliest(struct search *s, int32_t want);
/** flow_room_of() - room on a worker that counts for a search */
struct flow_shape flow_available(const struct search *s, const struct worker *w,
				 enum capacity_source source);
/**
 * flow_choose_victims() - the cheapest runs of a worker whose end makes room
 * @mark: they are to be stopped
 *
 * Return: the work that is lost, or -1 if there is no room even so.
 */
int64_t flow_choose_victims(const struct search *s, struct worker *w,
			    bool mark);
/** flow_keep_victims() - the search that marked them has succeeded */
void flow_commit_victims(struct flow *f);
/** flow_drop_victims() - forget those of a search that failed */
void flow_rollback_victims(struct flow *f);

#endif
