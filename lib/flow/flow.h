#ifndef TG_FLOW_H
#define TG_FLOW_H

#include "flow/spec.h"

/**
 * DOC: flow engine
 *
 * Keeps the state of all jobs and workers of a site and schedules tasks.  It
 * does no I/O and reads no clock.  The caller reports events; flow_decide()
 * decides on starts and issues stop orders through struct flow_ops, and
 * flow_start_recorded() issues start orders.  Times are milliseconds
 * of one monotonic clock of the caller's choice; those with "wall" in their
 * name are milliseconds of the wall clock.
 */

enum flow_state {
	FLOW_QUEUED,
	FLOW_RUNNING,
	FLOW_COMPLETED,
	FLOW_FAILED,
	FLOW_CANCELLED,
};

const char *flow_state_name(enum flow_state s);

/** enum flow_run_result - how a run ended */
enum flow_run_result {
	FLOW_RUN_DONE,
	FLOW_RUN_FAILED,
	FLOW_RUN_STOPPED,
	FLOW_RUN_LEASE_EXPIRED, /* its lease expired */
	FLOW_RUN_GANG_BROKEN, /* another member of the gang ended */
	FLOW_RUN_GANG_TIMEOUT, /* timed out waiting for the other members of the
				  gang */
};

/**
 * struct flow_run_ref - identifies a run of a task
 * @run: counts the runs of the task from 1; the members of a gang share it
 */
struct flow_run_ref {
	const char *job;
	int32_t occurrence, step, index;
	int32_t run;
};

/**
 * struct flow_start_order - order to start a run
 *
 * The strings are valid during the call only.
 *
 * @text: of the job's specification
 * @saved: checkpoint to resume from; empty for none
 * @reason: for the log
 */
struct flow_start_order {
	struct flow_run_ref ref;
	const char *worker;
	const char *text, *saved;
	const char *reason;
};

/**
 * struct flow_stop_order - order to stop a run
 *
 * The strings are valid during the call only.
 *
 * @reason: for the log
 */
struct flow_stop_order {
	struct flow_run_ref ref;
	const char *worker;
	const char *reason;
};

/** enum flow_reservation_state - what has happened to a reservation */
enum flow_reservation_state {
	FLOW_RESERVATION_NONE,
	FLOW_RESERVATION_BEGUN,
	/* The gang was expected to start a while ago, and still waits. */
	FLOW_RESERVATION_OVERDUE,
	FLOW_RESERVATION_USED, /* the gang starts */
	FLOW_RESERVATION_DROPPED, /* nothing is booked for it any more */
};

/**
 * struct flow_reservation - capacity that is booked for a waiting gang
 *
 * The strings are valid during the call only.
 *
 * @for_ms: time since it began
 * @expected_in_ms: time until the gang is expected to start
 * @late_ms: how much later that is than was expected at first
 * @postponed: how many times the expected start became later
 */
struct flow_reservation {
	const char *job;
	int32_t occurrence, step;
	enum flow_reservation_state state;
	int32_t tasks, postponed;
	struct flow_shape need; /* of each task */
	int64_t for_ms, expected_in_ms, late_ms;
};

/**
 * struct flow_ops - functions that carry out the orders of flow_decide()
 *
 * They must not call back into the engine.
 *
 * @drop: a run that was decided on is given up; no order was issued for it
 * @reservation: the state of a reservation has changed; may be NULL
 */
struct flow_ops {
	void (*start)(const struct flow_start_order *s, void *arg);
	void (*stop)(const struct flow_stop_order *s, void *arg);
	void (*drop)(const struct flow_stop_order *s, void *arg);
	void (*reservation)(const struct flow_reservation *r, void *arg);
};

/**
 * struct flow_opts - options of an engine
 * @early_ms: an occurrence may start this long before it is due
 * @stop_ms: longest time from a confirmed stop order to the end of the run.
 *	Until then the run occupies capacity, listed by its worker or not.
 * @reclaim_ms: a job within its workspace's guarantee starts at most this long
 *	after it was accepted; 0 for no bound
 * @follow_speed: estimate how fast workers are, and use it where they differ
 * @fair_shares: share capacity between workspaces within a priority
 */
struct flow_opts {
	int64_t early_ms, stop_ms, reclaim_ms;
	bool follow_speed;
	bool fair_shares;
};

struct flow;

struct flow *flow_new(const struct flow_opts *opts);
void flow_free(struct flow *f);

/* --- policy --- */

/**
 * struct flow_queue - settings of a queue
 * @priority: 0 for urgent jobs; a greater number is served later
 * @max_attempts: a job fails when one of its tasks has failed this many times
 * @stretch: a job is due this many times its declared critical path, plus
 *	@target_ms, after it was accepted
 * @target_ms: see @stretch
 */
struct flow_queue {
	const char *name, *service;
	int32_t priority, max_attempts;
	double stretch;
	int64_t target_ms;
};

/** struct flow_quota - accelerators that are guaranteed to a workspace */
struct flow_quota {
	const char *workspace;
	int32_t guaranteed;
};

/** flow_set_queues() - replace all; jobs of queues not listed don't start */
void flow_set_queues(struct flow *f, const struct flow_queue *q, size_t n);
/** flow_set_quotas() - replace all guarantees */
void flow_set_quotas(struct flow *f, const struct flow_quota *q, size_t n);

/* --- workers --- */

struct flow_worker_spec {
	const char *id, *service, *az, *rack;
	const char *labels[FLOW_LABELS_MAX];
	int32_t n_labels;
	struct flow_shape capacity;
	bool draining; /* gets no starts */
	/* Of a draining worker: it exits no sooner; 0 if unknown. */
	int64_t earliest_exit_ms;
	int64_t warm_ms; /* until then it is slow after its start */
};

/**
 * flow_worker_update() - add a worker or update its description
 *
 * A new worker gets no starts before flow_worker_set_runs_known() has been
 * called.
 */
void flow_worker_update(struct flow *f, const struct flow_worker_spec *s);
/** flow_worker_set_runs_known() - all runs of the worker have been reported */
void flow_worker_set_runs_known(struct flow *f, const char *id);
/** flow_worker_set_suspect() - a suspect worker gets no starts */
void flow_worker_set_suspect(struct flow *f, const char *id, bool suspect);
/**
 * flow_worker_set_gone() - a worker is not listed any more; it is suspect
 *
 * flow_worker_update() says that it is listed again.
 */
void flow_worker_set_gone(struct flow *f, const char *id);
/**
 * struct flow_speed - how slow a worker is
 * @mean: logarithm of its run times, relative to those of a typical worker
 * @var: variance of that estimate
 */
struct flow_speed {
	double mean, var;
};

/**
 * flow_worker_speed() - what is known of the worker
 *
 * Return: false if that is not enough to be used, or is not needed since the
 * workers of its service differ little.
 */
bool flow_worker_speed(const struct flow *f, const char *id,
		       struct flow_speed *out);
/** flow_worker_set_speed() - what was known before, unless more is known now */
void flow_worker_set_speed(struct flow *f, const char *id,
			   const struct flow_speed *v, int64_t now_ms);
/** struct flow_speed_change - a worker's speed class, as it was and is */
struct flow_speed_change {
	const char *worker, *before, *now;
	struct flow_speed speed;
};
/**
 * flow_next_speed_change() - a worker that has become faster or slower since it
 * was returned last
 *
 * Return: false if there is none.
 */
bool flow_next_speed_change(struct flow *f, struct flow_speed_change *out);
/**
 * flow_wants_progress() - whether the progress of runs on the worker, soon
 * after their start, would tell how fast it is
 */
bool flow_wants_progress(const struct flow *f, const char *id);
/** flow_worker_silent() - the worker has just stopped answering */
void flow_worker_silent(struct flow *f, const char *id, int64_t now_ms);
/** flow_worker_back() - the same process of the worker answers again */
void flow_worker_back(struct flow *f, const char *id);

/**
 * struct flow_blame - a task that a worker's crash is blamed on
 * @age_ms: of its run when the worker went silent; -1 if unknown
 * @crashes: number of crashes that the task is blamed for now
 * @given_up: the job has failed for that
 */
struct flow_blame {
	struct flow_run_ref ref;
	int64_t age_ms;
	int32_t crashes;
	bool given_up;
};

/**
 * struct flow_crash - the end of a worker's process
 * @silent_ms: when the worker stopped answering
 * @asked_ms: when the call began whose answer shows it; 0 if it is not known
 * @orders_lost: orders in progress can't reach the process that answers now
 * @on_blame: called for each task that is blamed; must not call back into the
 *	engine.  May be NULL.
 */
struct flow_crash {
	const char *worker;
	int64_t silent_ms, asked_ms;
	bool orders_lost;
	void (*on_blame)(const struct flow_blame *b, void *arg);
	void *arg;
};

/**
 * flow_worker_crashed() - like flow_worker_lost(), and find the task to blame
 *
 * To be called when the worker has been replaced by another process, also if
 * that shows only after flow_worker_lost().  No task is blamed if the worker
 * was draining.
 *
 * A start order that got no answer may yet reach the other process, since
 * orders name the worker only, and one that was answered after @asked_ms may
 * have been answered by that process.  Unless @orders_lost says that it can't,
 * such a run ends once that process has confirmed a stop order for it.
 */
void flow_worker_crashed(struct flow *f, const struct flow_crash *crash,
			 int64_t now_ms);
/**
 * flow_worker_lost() - end all runs of a worker as FLOW_RUN_LEASE_EXPIRED
 *
 * To be called when its leases have expired or it has ended as announced.  It
 * gets no starts until flow_worker_set_runs_known() is called again.
 */
void flow_worker_lost(struct flow *f, const char *id, int64_t now_ms);
/**
 * flow_worker_lost_confirmed() - like flow_worker_lost(), but keep runs that
 * may hold other leases than those the caller counts, see
 * flow_start_confirmed()
 */
void flow_worker_lost_confirmed(struct flow *f, const char *id, int64_t now_ms);
/** flow_worker_has_unconfirmed() - whether there are such runs */
bool flow_worker_has_unconfirmed(const struct flow *f, const char *id);
/**
 * flow_each_unconfirmed() - call @fn with the worker of each such run
 *
 * Those that are decided on are among them, but not those that were only
 * planned, which their record shows.  A worker may come several times.
 */
void flow_each_unconfirmed(const struct flow *f,
			   void (*fn)(const char *worker, void *arg),
			   void *arg);
/**
 * flow_each_run_of() - call @fn for each run that a worker may have
 * @only_confirmed: leave out those that flow_worker_lost_confirmed() keeps
 * @fn: @started_ms is the time of the start order, 0 if it is not known
 */
void flow_each_run_of(const struct flow *f, const char *worker,
		      bool only_confirmed,
		      void (*fn)(const struct flow_run_ref *r,
				 int64_t started_ms, void *arg),
		      void *arg);
/**
 * flow_each_undescribed_worker() - call @fn for each worker without a
 * description
 *
 * These are named by runs in decoded progress, but flow_worker_update() has not
 * been called for them yet.
 */
void flow_each_undescribed_worker(const struct flow *f,
				  void (*fn)(const char *id, void *arg),
				  void *arg);
/** flow_worker_remove() - end its runs as FLOW_RUN_LEASE_EXPIRED and remove it
 */
void flow_worker_remove(struct flow *f, const char *id, int64_t now_ms);

/* --- evacuation of availability zones --- */

/**
 * flow_set_evacuated() - replace the list of evacuated AZs
 *
 * Nothing is started on their workers.  Their capacity is left out wherever
 * capacity is counted, and runs whose start order has not been sent are given
 * up; other runs go on.
 */
void flow_set_evacuated(struct flow *f, const char *const *azs, size_t n);
/**
 * flow_hold_starts() - whether nothing may be started anywhere
 *
 * For as long as it isn't known which AZs are evacuated.
 */
void flow_hold_starts(struct flow *f, bool hold);
/**
 * flow_find_evacuated_fit() - the AZ that a waiting job needs and can't use
 *
 * Return: an evacuated AZ in which a waiting step of the job would fit, if it
 * fits on no workers elsewhere even if they were idle; NULL if there is none.
 * Valid until the next call of flow_set_evacuated().
 */
const char *flow_find_evacuated_fit(const struct flow *f, const char *job);
/** flow_each_evacuated_wait() - call @fn for each job that waits so */
void flow_each_evacuated_wait(const struct flow *f,
			      void (*fn)(const char *job, const char *az,
					 void *arg),
			      void *arg);

/* --- jobs --- */

struct flow_job_opts {
	const char *id, *queue, *workspace;
	struct flow_spec *spec; /* owned by the engine from then on */
	int64_t accepted_ms; /* negative if before the clock's zero */
	bool recovered; /* may have runs not reported yet; starts nothing */
};

/** flow_add_job() - false if the job exists; its specification is freed then */
bool flow_add_job(struct flow *f, const struct flow_job_opts *o);
/**
 * flow_job_bytes() - memory that a job takes
 *
 * Of its occurrences it includes one; what further ones take together that are
 * due at a time is limited, and those not due take a bit each.
 */
int64_t flow_job_bytes(const struct flow_spec *s);
/** flow_held_bytes() - sum of flow_job_bytes() over all jobs */
int64_t flow_held_bytes(const struct flow *f);
bool flow_has_job(const struct flow *f, const char *id);
/**
 * flow_cancel() - cancel a job; no effect if it has ended
 *
 * The next flow_decide() stops its runs.
 *
 * Return: false if there is no such job.
 */
bool flow_cancel(struct flow *f, const char *id, int64_t now_ms);
/** flow_remove_job() - false unless the job has ended and has no runs */
bool flow_remove_job(struct flow *f, const char *id);
/** flow_end_recovery() - all runs are reported; recovered jobs may start tasks
 */
void flow_end_recovery(struct flow *f);

/**
 * struct flow_job_status - status of a job
 * @durable: the state has been written; the end of a job must not be shown to
 *	callers before
 * @begun: a worker has begun a run: it has answered the start so, or listed
 *	the run or its end
 * @tasks: number of tasks
 * @done: number of tasks that are done
 * @runs: number of runs that workers have begun, of which this process knows
 * @failures: number of failed runs so far
 */
struct flow_job_status {
	enum flow_state state;
	bool durable;
	bool begun;
	int64_t tasks, done, runs, failures;
};

/** flow_job_status() - false if there is no such job */
bool flow_job_status(const struct flow *f, const char *id,
		     struct flow_job_status *v);
/**
 * flow_count_waiting() - number of jobs of a queue that have neither begun nor
 * ended
 *
 * Jobs with occurrences at given times are not counted.
 */
int64_t flow_count_waiting(const struct flow *f, const char *queue);

/* --- reports of workers --- */

/** enum flow_order_result - outcome of an order */
enum flow_order_result {
	FLOW_ORDER_DONE,
	FLOW_ORDER_STALE_RUN, /* the worker has seen this run or a later one */
	FLOW_ORDER_NOT_DONE, /* not carried out, and never will be */
	FLOW_ORDER_UNKNOWN, /* may have been, or may yet be carried out */
	FLOW_ORDER_INVALID, /* the worker refuses the order as invalid */
	FLOW_ORDER_WITHHELD, /* not sent, which says nothing of the worker */
};

/**
 * flow_start_answered() - report the outcome of a start order
 *
 * After FLOW_ORDER_UNKNOWN the run keeps its capacity until
 * flow_report_list_end() or a stop order settles whether it runs.
 * FLOW_ORDER_INVALID fails the job.
 */
void flow_start_answered(struct flow *f, const struct flow_run_ref *r,
			 const char *worker, enum flow_order_result end,
			 int64_t now_ms);
/**
 * flow_start_sent() - a start order is being sent
 *
 * A run of which none was sent ends with the known process of its worker.
 */
void flow_start_sent(struct flow *f, const struct flow_run_ref *r,
		     const char *worker);
/**
 * flow_start_confirmed() - the start order granted the lease that it asked for
 *
 * Until then another process of the worker may have carried it out, on a clock
 * of its own, which can grant a longer lease.  A list that names the run
 * confirms it as well.
 */
void flow_start_confirmed(struct flow *f, const struct flow_run_ref *r,
			  const char *worker);
/**
 * flow_start_unanswered() - a copy of a start order got no answer
 *
 * It may be carried out later, also by another process of the worker.  To be
 * called when the order is sent again; FLOW_ORDER_UNKNOWN tells the same.
 */
void flow_start_unanswered(struct flow *f, const struct flow_run_ref *r,
			   const char *worker);
/**
 * flow_stop_answered() - report the outcome of a stop order
 *
 * FLOW_ORDER_DONE says that the run has ended or ends within @stop_ms of struct
 * flow_opts, and that the worker refuses a delayed copy of its start order.
 * After any other outcome the stop order is sent again.
 */
void flow_stop_answered(struct flow *f, const struct flow_run_ref *r,
			const char *worker, enum flow_order_result end,
			int64_t now_ms);
/** flow_has_run() - whether a worker may have a run */
bool flow_has_run(const struct flow *f, const struct flow_run_ref *r,
		  const char *worker);
/** flow_is_stopping() - whether a worker still has a run that is to be stopped
 */
bool flow_is_stopping(const struct flow *f, const struct flow_run_ref *r,
		      const char *worker);
/** enum flow_listed - what is known of a run that a worker lists */
enum flow_listed {
	FLOW_LISTED_UNKNOWN, /* there is no such job, task or worker */
	FLOW_LISTED_KNOWN,
	FLOW_LISTED_ADDED, /* neither recorded nor ordered by this engine */
};

/**
 * flow_report_run() - report a run that a worker lists
 * @saved: its last checkpoint; NULL or empty for none
 *
 * A run that is not known is added; it is stopped if it is not wanted.  A
 * checkpoint of over FLOW_CHECKPOINT_LEN bytes counts as none.
 */
enum flow_listed flow_report_run(struct flow *f, const struct flow_run_ref *r,
				 const char *worker, int32_t percent,
				 const char *saved, int64_t now_ms);
/**
 * flow_report_list_end() - report that a worker has listed all its runs
 * @asked_ms: when the list was requested
 *
 * Of the runs that are not listed, one whose start order had an unknown outcome
 * gets a stop order.  An active one, or one whose stop is confirmed, has ended
 * by the first list that is requested more than stop_ms of struct flow_opts
 * later.  A run is left alone if its start order has no answer yet, or if its
 * last answer is not older than @asked_ms.
 *
 * Return: whether an active run is missing, which only such a later list ends.
 */
bool flow_report_list_end(struct flow *f, const char *worker, int64_t asked_ms,
			  int64_t now_ms);
/**
 * flow_report_end() - report the end of a run, known or not
 * @saved: its last checkpoint; NULL or empty for none
 *
 * Return: false if there is no such job or task.
 */
bool flow_report_end(struct flow *f, const struct flow_run_ref *r,
		     const char *worker, enum flow_run_result how,
		     const char *saved, int64_t now_ms);

/**
 * flow_starting_text() - text of the specification for a start order
 *
 * Return: NULL if the run is not waiting for its start any more, or no copy of
 * the order may be sent, since the worker's AZ has been evacuated.
 */
const char *flow_starting_text(const struct flow *f,
			       const struct flow_run_ref *r,
			       const char *worker);

/* --- decisions --- */

/**
 * flow_decide() - run a scheduling round
 *
 * The runs that it decides to start occupy capacity from then on.
 *
 * Return: whether progress must be written.
 */
bool flow_decide(struct flow *f, int64_t now_ms, int64_t wall_ms,
		 const struct flow_ops *ops, void *arg);

/**
 * flow_start_recorded() - issue start orders for runs whose record is durable
 *
 * No other run gets one, so the progress that another process reads names every
 * run that may exist.  Runs that are not wanted any more, or whose worker gets
 * no starts now, are dropped.
 *
 * Return: whether progress must be written.
 */
bool flow_start_recorded(struct flow *f, int64_t now_ms,
			 const struct flow_ops *ops, void *arg);

/**
 * flow_set_offline() - whether progress can't be written at present
 *
 * Meanwhile flow_decide() starts only what was planned and recorded before.
 */
void flow_set_offline(struct flow *f, bool offline);
/** flow_drop_decided() - drop all runs that have no start order yet */
void flow_drop_decided(struct flow *f, const struct flow_ops *ops, void *arg);

/* --- durable progress --- */

/* Tasks whose progress shares a row of the store. */
#define FLOW_RECORD_TASKS 32
/*
 * Key of a row: the id of the job, for rows other than the first one with the
 * number of their first task.
 */
#define FLOW_PROGRESS_KEY_LEN (FLOW_JOB_ID_LEN + 6)

/**
 * flow_take_dirty() - take a record that must be written
 *
 * A record is a row of the store with the progress of some tasks of a job.  It
 * is marked as being written.  Records that are only to be deleted come last.
 * The records must be written in the order in which they are taken.
 *
 * Return: its key, valid as long as the job exists; NULL if there is none.
 */
const char *flow_take_dirty(struct flow *f);
/** flow_has_dirty() - whether a record must be written, not only deleted */
bool flow_has_dirty(const struct flow *f);
/**
 * flow_mark_written() - all records marked as being written are written
 *
 * As they were when flow_take_dirty() returned them they are durable.  Those
 * that have changed meanwhile are not durable yet.
 */
void flow_mark_written(struct flow *f);
/**
 * flow_mark_unwritten() - no record marked as being written is written
 *
 * They are taken again, in the same order.
 */
void flow_mark_unwritten(struct flow *f);
/**
 * flow_record_refused() - the store will never accept a record
 *
 * It is not marked as being written any more.  Its job fails unless it has
 * ended, as its runs can't be recorded.  From then on only the state of the job
 * is written.
 *
 * Return: false if that was refused, which is given up then.
 */
bool flow_record_refused(struct flow *f, const char *key);
/**
 * flow_next_expired() - find a job that ended at least @keep_ms ago
 *
 * Only jobs without runs whose end is durable are considered.  The time counts
 * from the first call that sees the job so, also after a take-over.
 *
 * Return: its id, or NULL if there is none.
 */
const char *flow_next_expired(struct flow *f, int64_t now_ms, int64_t keep_ms);
/**
 * flow_progress_encode() - encode a record
 *
 * Return: a new reference; NULL if there is no such record, or if it was taken
 * to be deleted.
 */
json_t *flow_progress_encode(const struct flow *f, const char *key);
/** flow_knows_record() - whether the job of the record exists */
bool flow_knows_record(const struct flow *f, const char *key);
/**
 * flow_progress_decode() - apply the result of flow_progress_encode() to a job
 *
 * The records of a job are to be decoded in the order of their keys.  Recorded
 * runs count as active until flow_report_list_end() or flow_worker_lost() is
 * called for their workers.
 *
 * Return: false if there is no such job or the progress doesn't match it.
 */
bool flow_progress_decode(struct flow *f, const char *key, const json_t *j);

/**
 * struct flow_stats - counts for metrics
 * @open_occurrences: occurrences that have state, of all jobs
 * @unsure: runs whose start had no answer
 * @workers_checked: workers looked at for tasks by the last flow_decide(), each
 *	as often as it was looked at
 */
struct flow_stats {
	int64_t jobs, open_jobs, open_occurrences, waiting_tasks;
	int64_t runs, stopping, unsure;
	int64_t workers, ready_workers, quarantined, free_accelerators;
	int64_t workers_checked;
};

void flow_stats(const struct flow *f, struct flow_stats *out);

/**
 * struct flow_queue_usage - what a queue's jobs have and what they wait for
 *
 * Capacity is counted in workers: a task that takes at most a quarter of any
 * resource of its worker counts as 0.25.
 *
 * @stalled_jobs: open jobs without any run; those with occurrences at given
 *	times are not counted
 * @oldest_stalled_ms: age of the oldest of them; 0 if there is none
 * @held_workers: capacity that the queue's runs held at the last flow_decide()
 * @starts: runs that workers have begun
 * @preempted: runs preempted for jobs that go before
 * @done_worker_ms: time of the runs that ended done or left a checkpoint
 * @lost_worker_ms: time of the other runs, whose work has to be done again
 */
struct flow_queue_usage {
	const char *queue;
	int32_t priority;
	int64_t open_jobs, stalled_jobs, oldest_stalled_ms;
	double held_workers;
	int64_t starts, preempted;
	double done_worker_ms, lost_worker_ms;
};

/** flow_each_queue_usage() - call @fn for each queue with open jobs */
void flow_each_queue_usage(const struct flow *f, int64_t now_ms,
			   void (*fn)(const struct flow_queue_usage *u,
				      void *arg),
			   void *arg);

/**
 * struct flow_pool_usage - capacity of a service's workers that is free or kept
 *
 * As of the last flow_decide(), in workers; see struct flow_queue_usage.
 *
 * @free_workers: capacity that holds no runs
 * @reserved_workers: capacity kept for waiting jobs.  It can be more than is
 *	free, since they also wait for capacity that runs still hold.
 * @headroom_workers: part of the free capacity that only urgent jobs may use
 * @share_in_use: of the resource of which runs hold the largest share
 * @underused_ms: how long kept capacity may be lent, see kept.c; else 0
 * @on_loan: runs in capacity that is kept for others
 * @evacuated_workers: workers in evacuated AZs, and @evacuated_runs on them
 * @known_workers: of these the speed is known; @fast_workers and @slow_workers
 *	of them differ from the typical one
 * @uneven: speeds differ so much that tasks are placed by them
 */
struct flow_pool_usage {
	const char *service;
	int32_t ready_workers;
	double free_workers, reserved_workers, headroom_workers;
	double share_in_use;
	int64_t underused_ms;
	int32_t on_loan;
	int32_t evacuated_workers, evacuated_runs;
	int32_t known_workers, fast_workers, slow_workers;
	bool uneven;
};

/** flow_each_pool_usage() - call @fn for each service that has workers */
void flow_each_pool_usage(const struct flow *f, int64_t now_ms,
			  void (*fn)(const struct flow_pool_usage *u,
				     void *arg),
			  void *arg);

/* Priorities that have accounts of their own; greater ones share the last. */
#define FLOW_FAIR_LEVELS 4

/**
 * struct flow_account - what a workspace has held, averaged over some time
 * @held_workers: by priority, see struct flow_queue_usage
 * @over_share: it has held so much that others go first
 */
struct flow_account {
	const char *workspace;
	double held_workers[FLOW_FAIR_LEVELS];
	bool over_share;
};

/** flow_each_account() - call @fn for each workspace that has an account */
void flow_each_account(const struct flow *f,
		       void (*fn)(const struct flow_account *a, void *arg),
		       void *arg);
/** flow_set_account() - what a former owner knew, unless more is known now */
void flow_set_account(struct flow *f, const struct flow_account *in);

/** enum flow_unready - why a worker gets no starts */
enum flow_unready {
	FLOW_READY,
	FLOW_UNREADY_DRAINING,
	FLOW_UNREADY_SUSPECT, /* it is suspect, or has no description */
	FLOW_UNREADY_GONE, /* it is suspect and not listed any more */
	FLOW_UNREADY_UNLISTED, /* its runs are not known */
	FLOW_UNREADY_QUARANTINED,
	FLOW_UNREADY_EVACUATED, /* its AZ is evacuated */
	FLOW_UNREADY_REASONS,
};

/** enum flow_held - what holds capacity on a worker */
enum flow_held {
	FLOW_HELD_RUNNING, /* a run that its worker has confirmed or listed */
	FLOW_HELD_UNRECORDED, /* a decided run, until its record is durable */
	FLOW_HELD_UNANSWERED, /* a start order without an answer */
	FLOW_HELD_STOPPING, /* a run to be stopped that has not ended */
	FLOW_HELD_POSSIBLE, /* a run that a former owner planned */
	/* Any of them on a worker that is suspect, gone or not listed. */
	FLOW_HELD_AWAY,
	FLOW_HELD_KINDS,
};

/**
 * struct flow_unused_count - workers that get no starts, or runs of one kind
 * @workers: how many; for runs the capacity that they hold, see struct
 *	flow_queue_usage
 * @runs: number of runs
 * @worker: where it has been so for longest; NULL if there is none
 * @longest_ms: for how long
 */
struct flow_unused_count {
	double workers;
	int32_t runs;
	const char *worker;
	int64_t longest_ms;
};

/**
 * struct flow_unused - capacity of a service that gets no starts although it
 * may be free
 *
 * As of the last flow_decide().  The strings are valid during the call only.
 *
 * @unready: by reason; that of FLOW_READY is empty
 * @held: by what holds it; that of FLOW_HELD_RUNNING is empty
 */
struct flow_unused {
	const char *service;
	struct flow_unused_count unready[FLOW_UNREADY_REASONS];
	struct flow_unused_count held[FLOW_HELD_KINDS];
};

/** flow_each_unused() - call @fn for each service that has such capacity */
void flow_each_unused(const struct flow *f, int64_t now_ms,
		      void (*fn)(const struct flow_unused *u, void *arg),
		      void *arg);

/** flow_each_reservation() - call @fn for each gang with a reservation */
void flow_each_reservation(const struct flow *f, int64_t now_ms,
			   void (*fn)(const struct flow_reservation *r,
				      void *arg),
			   void *arg);

/**
 * struct flow_kept_wait - a step that waits beside free capacity
 *
 * As of the last flow_decide().  The strings are valid during the call only.
 *
 * @worker: where a task of the step could start
 * @keeper: the job that the capacity is booked for, or that waits there for
 *	stopped runs; empty if it is headroom for urgent jobs
 * @for_ms: how long it could have started in each round
 */
struct flow_kept_wait {
	const char *job;
	int32_t occurrence, step;
	const char *worker, *keeper;
	int64_t for_ms;
};

/** flow_each_kept_wait() - call @fn for each step that waits so */
void flow_each_kept_wait(const struct flow *f, int64_t now_ms,
			 void (*fn)(const struct flow_kept_wait *w, void *arg),
			 void *arg);

#endif
