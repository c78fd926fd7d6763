#ifndef TG_FLOW_H
#define TG_FLOW_H

#include "flow/spec.h"

/**
 * DOC: flow engine
 *
 * State of all jobs and workers of a site, and the decisions on them, without
 * I/O and without a clock.  The caller records what happened; flow_decide()
 * orders starts and stops through a table of functions.  Times are milliseconds
 * of one monotonic clock of the caller's choice unless a name says wall.
 */

enum flow_state {
	FLOW_QUEUED,
	FLOW_RUNNING,
	FLOW_COMPLETED,
	FLOW_FAILED,
	FLOW_CANCELLED,
};

const char *flow_state_name(enum flow_state s);

enum flow_how {
	FLOW_DONE,
	FLOW_FAILURE,
	FLOW_STOPPED,
	FLOW_LAPSED,
	FLOW_BROKEN,
	FLOW_ALONE,
};

/** struct flow_ref - a run of a task */
struct flow_ref {
	const char *job;
	int32_t occurrence, step, index;
	int32_t run;
};

struct flow_start {
	struct flow_ref ref;
	const char *worker;
	const char *text, *saved;
	const char *reason;
};

struct flow_stop {
	struct flow_ref ref;
	const char *worker;
	const char *reason;
};

/** struct flow_ops - orders of flow_decide(); not to call back into the flow */
struct flow_ops {
	void (*start)(const struct flow_start *s, void *arg);
	void (*stop)(const struct flow_stop *s, void *arg);
};

/**
 * struct flow_opts - options of a flow
 * @early_ms: an occurrence may start this long before its time
 * @stop_ms: longest time from a stop to the end of the run; a worker need not
 *	list the run meanwhile, although it takes room
 * @reclaim_ms: a job within its workspace's guarantee has begun by then; 0 for
 *	no bound
 */
struct flow_opts {
	int64_t early_ms, stop_ms, reclaim_ms;
};

struct flow;

struct flow *flow_new(const struct flow_opts *opts);
void flow_free(struct flow *f);

/* --- policy --- */

struct flow_queue {
	const char *name, *service;
	int32_t priority, max_attempts;
	double stretch;
	int64_t target_ms;
};

struct flow_quota {
	const char *workspace;
	int32_t guaranteed;
};

/** flow_set_queues() - replace all; jobs of other queues start nothing */
void flow_set_queues(struct flow *f, const struct flow_queue *q, size_t n);
void flow_set_quotas(struct flow *f, const struct flow_quota *q, size_t n);

/* --- workers --- */

struct flow_worker_spec {
	const char *id, *service, *az, *rack;
	const char *labels[8];
	int32_t n_labels;
	struct flow_shape capacity;
	bool draining;
	int64_t remaining_ms; /* while draining; -1 if unknown */
};

/**
 * flow_worker_set() - add a worker or change what is known of it
 *
 * A new worker gets no starts before flow_worker_listed().
 */
void flow_worker_set(struct flow *f, const struct flow_worker_spec *s);
/** flow_worker_listed() - its runs are known from now on */
void flow_worker_listed(struct flow *f, const char *id);
/** flow_worker_suspect() - give it no starts for as long as @suspect */
void flow_worker_suspect(struct flow *f, const char *id, bool suspect);
/**
 * flow_worker_lost() - everything that ran there has ended
 *
 * Its leases have expired, or it has started again.  It is unlisted again.
 */
void flow_worker_lost(struct flow *f, const char *id, int64_t now_ms);
/** flow_absent_workers() - those that only recorded runs have named so far */
void flow_absent_workers(const struct flow *f,
			 void (*fn)(const char *id, void *arg), void *arg);
void flow_worker_remove(struct flow *f, const char *id, int64_t now_ms);

/* --- jobs --- */

struct flow_job_opts {
	const char *id, *queue, *workspace;
	struct flow_spec *spec; /* taken over */
	int64_t accepted_ms; /* may be negative */
	bool recovered; /* may have runs that are not known yet */
};

/** flow_add_job() - false if the job is there already; @spec is freed then */
bool flow_add_job(struct flow *f, const struct flow_job_opts *o);
bool flow_has_job(const struct flow *f, const char *id);
/** flow_cancel() - false if there is no such job */
bool flow_cancel(struct flow *f, const char *id, int64_t now_ms);
/** flow_remove_job() - forget a job that has ended and has no runs */
bool flow_remove_job(struct flow *f, const char *id);
/** flow_recovered() - all runs are known: jobs of before may start */
void flow_recovered(struct flow *f);

/**
 * struct flow_view - what callers are told
 * @durable: the state has been written; an end is not shown before
 */
struct flow_view {
	enum flow_state state;
	bool durable;
	bool begun;
	int64_t tasks, done, runs, failures;
};

bool flow_view(const struct flow *f, const char *id, struct flow_view *v);
/** flow_waiting() - jobs of a queue without times that have not begun */
int64_t flow_waiting(const struct flow *f, const char *queue);

/* --- what workers tell --- */

enum flow_order_end {
	FLOW_ORDER_DONE,
	FLOW_ORDER_OLD_RUN, /* the worker has seen a run as high */
	FLOW_ORDER_NOT_DONE, /* and never will be */
	FLOW_ORDER_UNKNOWN, /* may be carried out later */
	FLOW_ORDER_INVALID,
};

/** flow_start_answered() - outcome of a start that flow_decide() ordered */
void flow_start_answered(struct flow *f, const struct flow_ref *r,
			 const char *worker, enum flow_order_end end,
			 int64_t now_ms);
/**
 * flow_stop_answered() - outcome of a stop
 *
 * After FLOW_ORDER_DONE the run is over or ends soon, and a copy of its start
 * that arrives later is refused.
 */
void flow_stop_answered(struct flow *f, const struct flow_ref *r,
			const char *worker, enum flow_order_end end,
			int64_t now_ms);
/**
 * flow_listed_run() - a worker lists a run
 *
 * Return: false if there is no such job or task.
 */
bool flow_listed_run(struct flow *f, const struct flow_ref *r,
		     const char *worker, int32_t percent, const char *saved,
		     int64_t now_ms);
/** flow_listed_all() - end of a list that was asked for at @asked_ms */
void flow_listed_all(struct flow *f, const char *worker, int64_t asked_ms,
		     int64_t now_ms);
/** flow_ended_run() - false if there is no such job or task */
bool flow_ended_run(struct flow *f, const struct flow_ref *r,
		    const char *worker, enum flow_how how, const char *saved,
		    int64_t now_ms);

/* --- decisions --- */

/** flow_decide() - a round; true if progress has to be written */
bool flow_decide(struct flow *f, int64_t now_ms, int64_t wall_ms,
		 const struct flow_ops *ops, void *arg);

/* --- durable progress --- */

/**
 * flow_next_dirty() - id of a job whose progress must be written, or NULL
 *
 * The job is marked as being written.
 */
const char *flow_next_dirty(struct flow *f);
/** flow_written() - all jobs that were being written are durable */
void flow_written(struct flow *f);
/**
 * flow_next_expired() - id of a job that ended @keep_ms ago, or NULL
 *
 * Its end is durable and it has no runs.  After a take-over the time counts
 * from the first call.
 */
const char *flow_next_expired(struct flow *f, int64_t now_ms, int64_t keep_ms);
/** flow_progress_encode() - new reference */
json_t *flow_progress_encode(const struct flow *f, const char *id);
/**
 * flow_progress_decode() - apply; false if it doesn't fit the job
 *
 * Recorded runs are assumed to run until flow_listed_all() or
 * flow_worker_lost() on their workers.
 */
bool flow_progress_decode(struct flow *f, const char *id, const json_t *j);

struct flow_stats {
	int64_t jobs, open_jobs, waiting_tasks, runs, stopping, unsure;
	int64_t workers, ready_workers, quarantined, free_accelerators;
};

void flow_stats(const struct flow *f, struct flow_stats *out);

#endif
