#ifndef TG_FLOW_INTERNAL_H
#define TG_FLOW_INTERNAL_H

#include <uthash.h>

#include "flow/flow.h"

enum run_state {
	RUN_STARTING, /* ordered, no answer yet */
	RUN_START_UNKNOWN, /* the start had no answer; its list tells */
	RUN_ACTIVE,
	RUN_STOPPING, /* a stop was ordered; room is taken until it ended */
};

/** struct run - a task on a worker; takes room there */
struct run {
	struct job *job;
	struct step_state *step_state;
	int32_t index, run;
	struct worker *worker;
	enum run_state state;
	bool stop_confirmed; /* a stop was answered */
	bool stop_pending; /* the stop was not confirmed */
	int64_t next_stop_ms; /* not sent again before */
	bool victim; /* is to be stopped for another job */
	bool is_candidate; /* as a victim, while a search looks at its worker */
	bool victim_committed; /* the search that chose it has succeeded */
	int64_t answered_ms, listed_ms;
	/* Progress as listed: first and last value, and when they were new. */
	int32_t percent, first_percent;
	int64_t percent_ms, first_percent_ms;
	bool stalled; /* makes no progress, is stopped */
	struct run *prev, *next; /* of the worker */
};

/** struct failures - numbers of the runs that failed, in any order */
struct failures {
	int32_t *runs;
	int32_t n;
};

struct task {
	bool done;
	struct failures failures; /* of a gang those of its first task */
	int32_t last_run;
	char saved[FLOW_SAVED_LEN + 1];
	struct worker *last_failed_on;
	struct run *run; /* the one that is wanted */
	int32_t n_runs; /* with those that are being stopped */
};

/** struct inst - a step of one occurrence */
struct step_state {
	int32_t occurrence, step;
	int32_t n_done, n_runs;
	struct task *tasks;
};

struct job {
	char id[FLOW_JOB_LEN + 1];
	char queue[TG_NAME_MAX + 1], workspace[TG_NAME_MAX + 1];
	struct flow_spec *spec;
	struct step_state *step_states; /* occurrence x steps + step */
	int32_t n_step_states, n_step_states_done;
	enum flow_state state;
	bool cancelled, recovered, begun, dirty, writing, durable;
	int64_t accepted_ms, ended_ms; /* 0 until the end was seen as durable */
	int64_t n_runs, runs_total, failures;
	struct queue *queue_conf; /* of this round */
	struct pool *pool; /* of its queue; NULL while it has no workers */
	int32_t rank; /* see order.c */
	bool will_miss_deadline; /* can't end while it is still of use */
	int64_t deadline_ms;
	UT_hash_handle hh;
};

struct worker {
	char id[TG_NAME_MAX + 1];
	struct pool *pool; /* NULL while only recorded runs name it */
	char az[TG_NAME_MAX + 1], rack[TG_NAME_MAX + 1];
	int32_t rack_index;
	char labels[8][TG_NAME_MAX + 1];
	int32_t n_labels;
	struct flow_shape capacity, used;
	struct flow_shape stopping; /* part of @used that is being stopped */
	/* Within a round: promised to waiting tasks; of runs to be stopped. */
	struct flow_shape reserved, victims;
	/* Within a round: runs and placed tasks. */
	int32_t urgent_tasks, ordinary_tasks;
	bool present, runs_known, suspect, draining;
	int64_t remaining_ms;
	/* health */
	int32_t failures_in_row;
	int64_t failed_ms; /* last failure */
	char failed_job[FLOW_JOB_LEN + 1];
	int64_t quarantined_until_ms;
	int32_t quarantines;
	double speed; /* declared over real time of its runs, smoothed */
	struct run *runs;
	UT_hash_handle hh;
};

/** struct pool - the workers of a service */
struct pool {
	char service[TG_NAME_MAX + 1];
	struct flow_shape largest; /* capacity of its largest worker */
	int32_t n_ready; /* workers that may get tasks, of these: */
	int32_t n_failing; /* failed a task lately */
	int32_t n_without_ordinary; /* no ordinary tasks */
	int32_t n_urgent_busy; /* only urgent tasks, at least one */
	/* Workers that urgent jobs need: now, and averaged at @demand_ms. */
	double demand_now, demand;
	int64_t demand_ms;
	double urgent_reserve; /* ordinary tasks leave this many alone */
	UT_hash_handle hh;
};

struct rack {
	char name[TG_NAME_MAX + 1];
	int32_t index;
	UT_hash_handle hh;
};

struct queue {
	char name[TG_NAME_MAX + 1], service[TG_NAME_MAX + 1];
	int32_t priority, max_attempts;
	double stretch;
	int64_t target_ms;
	UT_hash_handle hh;
};

struct quota {
	char workspace[TG_NAME_MAX + 1];
	int32_t guaranteed;
	UT_hash_handle hh;
};

struct flow {
	struct flow_opts opts;
	struct job *jobs;
	struct worker *workers;
	struct pool *pools;
	struct rack *racks;
	int32_t n_racks;
	struct queue *queues;
	struct quota *quotas;
	bool recovering;
};

/* jobs.c */
struct job *flow_find_job(const struct flow *f, const char *id);
struct step_state *flow_step_state(struct job *j, int32_t occurrence,
				   int32_t step);
const struct flow_step *flow_step_of(const struct job *j,
				     const struct step_state *ss);
bool flow_has_ended(const struct job *j);
void flow_mark_dirty(struct job *j);
/** flow_task_done() - record it, and the end of the job if it was the last */
void flow_task_done(struct job *j, struct step_state *ss, int32_t index);
/** flow_is_ready() - whether the steps before have ended and its time is come
 */
bool flow_is_ready(const struct flow *f, struct job *j,
		   const struct step_state *ss, int64_t wall_ms);

/** flow_add_failure() - false if @run was counted before */
bool flow_add_failure(struct failures *fl, int32_t run);

/* workers.c */
struct worker *flow_find_worker(const struct flow *f, const char *id);
/** flow_worker_get() - add one of which nothing else is known if need be */
struct worker *flow_get_or_add_worker(struct flow *f, const char *id);
bool flow_worker_ready(const struct worker *w, int64_t now_ms);
struct pool *flow_find_pool(const struct flow *f, const char *service);
bool flow_shape_fits(const struct flow_shape *need,
		     const struct flow_shape *have);
void flow_shape_add(struct flow_shape *to, const struct flow_shape *s,
		    int32_t sign);
/** flow_room() - what a task of @st takes on a worker */
struct flow_shape flow_task_shape(const struct flow_step *st);
/** flow_count_pools() - what a round needs to know of pools and workers */
void flow_update_pools(struct flow *f, int64_t now_ms);
bool flow_worker_failed_recently(const struct worker *w, int64_t now_ms);
/** flow_is_avoidable() - whether few enough fail to stay away from all those */
bool flow_pool_can_avoid_failing(const struct pool *p);
void flow_worker_succeeded(struct worker *w);
void flow_worker_failed(struct flow *f, struct worker *w, const char *job,
			int64_t now_ms);

/* runs.c */
struct run *flow_run_add(struct job *j, struct step_state *ss, int32_t index,
			 struct worker *w, int32_t run, int64_t now_ms);
void flow_run_remove(struct run *r);
void flow_run_mark_stopping(struct run *r);
/** flow_run_over() - a run ended; counts, frees its room */
void flow_run_ended(struct flow *f, struct run *r, enum flow_how how,
		    const char *saved, int64_t now_ms);

/* pace.c */
/** flow_pace_listed() - note the progress of a run */
void flow_pace_update(struct run *r, int32_t percent, int64_t now_ms);
/** flow_remaining_ms() - until the run is expected to end by itself */
int64_t flow_remaining_ms(const struct run *r, int64_t now_ms);
/** flow_is_stalled() - whether it has made no progress for too long */
bool flow_is_stalled(const struct run *r, int64_t now_ms);

/* order.c */
/** flow_order() - open jobs of known queues, most urgent first, to be freed */
size_t flow_sort_jobs(struct flow *f, int64_t now_ms, struct job ***out);
/** flow_is_urgent() - whether it goes before all ordinary jobs */
bool flow_is_urgent(const struct job *j);
/** flow_may_preempt() - whether runs of a greater rank may be stopped for it */
bool flow_may_preempt(const struct job *j);
/** flow_has_begun() - whether each task of its first step was started once */
bool flow_first_step_started(struct job *j);
/**
 * flow_must_begin() - whether a guaranteed job is about to miss its bound
 *
 * Its gang may span racks then, and guaranteed runs that have begun in time may
 * be moved for it.
 */
bool flow_reclaim_due(const struct flow *f, struct job *j, int64_t now_ms);

/* headroom.c */
/** flow_headroom_plan() - workers that ordinary tasks leave alone this round */
void flow_headroom_update(struct flow *f, struct job *const *list, size_t n,
			  int64_t now_ms);
/** flow_headroom_allows() - whether a task may be placed on a worker */
bool flow_headroom_allows(const struct job *j, const struct flow_step *st,
			  const struct worker *w);
/** flow_headroom_take() - a task of @j is placed on a worker */
void flow_headroom_add_task(const struct job *j, struct worker *w);
void flow_headroom_remove_task(const struct job *j, struct worker *w);

/* place.c */
/**
 * flow_place() - workers for tasks of a step
 * @want: number of tasks
 * @preempt: runs of a lower priority may be marked as victims
 * @out: a worker for each task that was placed
 * @wait: set if some of them have to wait for room to become free
 *
 * Return: number of tasks placed; for a gang all or none.
 */
int32_t flow_place(struct flow *f, struct job *j, struct step_state *ss,
		   int32_t want, bool preempt, struct worker **out, bool *wait,
		   int64_t now_ms);

#endif
