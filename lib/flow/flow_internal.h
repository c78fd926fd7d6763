#ifndef TG_FLOW_INTERNAL_H
#define TG_FLOW_INTERNAL_H

#include <uthash.h>

#include "flow/estimate.h"
#include "flow/flow.h"

/** struct array - items of one type in memory that grows */
struct array {
	void *items;
	size_t n, size;
};

enum run_state {
	RUN_DECIDED, /* its record is not durable yet, so no order was sent */
	RUN_POSSIBLE, /* a former owner planned it, and may have started it */
	RUN_STARTING, /* the start order has no answer yet */
	RUN_START_UNKNOWN, /* no answer to the start order; see next list */
	RUN_ACTIVE,
	RUN_STOPPING, /* to be stopped; occupies capacity until it has ended */
};

/** struct run - one execution of a task; occupies capacity of a worker */
struct run {
	struct job *job;
	struct step_state *step_state;
	int32_t index, run;
	struct worker *worker;
	enum run_state state;
	int64_t decision; /* number of the decision to start it */
	bool planned; /* it was recorded as planned before that; see plan.c */
	struct run *decided_prev, *decided_next; /* while it is RUN_DECIDED */
	bool stop_confirmed; /* the worker will refuse a delayed start */
	bool stop_pending; /* a stop order is still to be sent */
	int64_t stopping_since_ms; /* 0 until a round has seen it stopping */
	/* A copy of the start order got no answer, and may be carried out. */
	bool start_unanswered;
	/* The process that got the start order has ended; a later one may. */
	bool process_ended;
	bool start_sent; /* a copy of the start order */
	/* Its lease is as the caller counts; see flow_start_confirmed(). */
	bool is_confirmed;
	bool begun; /* its worker has begun it; see runs.c */
	struct run *unconfirmed_prev, *unconfirmed_next; /* while it is not */
	int64_t next_stop_ms; /* earliest time of the next stop order */
	bool victim; /* to be preempted for another job */
	bool on_loan; /* in capacity kept for others; see kept.c */
	bool is_candidate; /* for preemption, during a search */
	bool ends_soon; /* see flow_prepare_victims() */
	int64_t lost_work; /* if it is preempted; see flow_prepare_victims() */
	/* Last answer to an order; before any, when the run was added. */
	int64_t answered_ms;
	int64_t added_ms;
	/* As of the last round, and since which one; see unused.c. */
	enum flow_held held;
	int64_t held_since_ms;
	int64_t listed_ms; /* last list that named the run */
	/* First and latest progress listed, and when each was first seen. */
	int32_t percent, first_percent;
	int64_t percent_ms, first_percent_ms;
	/* Where the next sample of its speed begins, and samples so far. */
	int32_t speed_percent, speed_samples;
	int64_t speed_ms;
	bool answered_start; /* at answered_ms */
	bool stalled; /* stopped for lack of progress */
	bool moved; /* stopped to start on a faster worker */
	struct run *prev, *next; /* list of the worker's runs */
};

/* Most that are kept; a task that lasts can have any number of failed runs. */
#define RUN_NUMBERS_MAX 16

/**
 * struct run_numbers - numbers of runs of a task, each once, ascending
 * @n_older: how many more there were, all lower
 */
struct run_numbers {
	int32_t *runs;
	int32_t n;
	int32_t n_older;
};

struct task {
	bool done;
	bool begun; /* a worker has begun a run of it */
	struct run_numbers failures; /* a gang's are kept by its first task */
	/*
	 * Runs whose workers' crashes are blamed on the task, and the greatest
	 * age at which one of them crashed.
	 */
	struct run_numbers crashes;
	int64_t crash_age_ms;
	int32_t last_run;
	char saved[FLOW_CHECKPOINT_LEN + 1];
	struct worker *last_failed_on;
	struct run *run; /* the current one; others are to be stopped */
	int32_t n_runs; /* including those being stopped */
	/* The next run, while there is none; see plan.c. */
	struct worker *planned_on; /* NULL without a plan */
	int32_t planned_run;
	int64_t planned_ms, planned_decision;
	bool planned_on_loan; /* in capacity that is booked */
};

/**
 * struct reservation - capacity that is booked for a gang, round after round
 * @round: last scheduling round that booked it; 0 without a reservation
 * @since_ms: when it began
 * @expected_ms: when the gang is expected to start
 * @first_expected_ms: when it was expected to start at first
 * @postponed: how many times @expected_ms became later
 * @reported: the state that was reported last
 */
struct reservation {
	int64_t round, since_ms, expected_ms, first_expected_ms;
	int32_t postponed;
	enum flow_reservation_state reported;
};

/**
 * struct kept_wait - a wait beside free capacity that is kept for others
 * @round: last scheduling round in which the step could have used it
 * @since_ms: since when it could have done so in each round
 * @worker: where
 * @keeper: for whom, see struct flow_kept_wait
 */
struct kept_wait {
	int64_t round, since_ms;
	char *worker; /* NULL before the first round */
	char keeper[FLOW_JOB_ID_LEN + 1];
};

/** struct step_state - progress of a step in one open occurrence of its job */
struct step_state {
	struct job *job;
	struct occurrence *of;
	int32_t occurrence, step;
	int32_t first; /* number of its first task among those of the job */
	int32_t n_done, n_runs;
	int64_t waiting_round; /* last round that found no capacity for it */
	struct kept_wait kept_wait;
	/* Last scheduling round that waited for recalls, and since when. */
	int64_t recall_round, recall_since_ms;
	struct reservation reservation; /* of a gang */
	/* In the list of those with a reservation. */
	struct step_state *reserved_prev, *reserved_next;
	/* Of a gang in this round; see flow_gang_is_partial(). */
	int64_t gang_checked_round;
	bool gang_is_partial;
	/* Actual to declared time on a typical worker; see speed.c. */
	struct estimate work;
	bool work_begun, work_known;
	struct task *tasks;
};

/**
 * struct occurrence - state of an open occurrence of a job; see occurrence.c
 * @steps: one for each step of the job
 */
struct occurrence {
	struct job *job;
	int32_t number, n_steps_done;
	struct step_state *steps;
};

/**
 * struct record - row of the store that holds the progress of some tasks
 *
 * A job has a record for each FLOW_RECORD_TASKS tasks, so that the size of a
 * row doesn't grow with the job.  Record 0 holds the state of the job as well.
 * See record.c.
 */
struct record {
	struct job *job;
	char key[FLOW_PROGRESS_KEY_LEN + 1];
	int32_t number;
	bool stored; /* the store may have the row */
	bool dirty, writing;
	bool unneeded; /* dirty, only to be deleted some time */
	bool taken_for_delete;
	/* In lists of the flow: dirty or unneeded, and being written. */
	struct record *dirty_prev, *dirty_next, *writing_prev, *writing_next;
	/* The last decision covered by the record as taken, and as written. */
	int64_t taken_decision, written_decision;
};

struct job {
	struct flow *flow;
	char id[FLOW_JOB_ID_LEN + 1];
	char *queue, *workspace;
	struct flow_spec *spec;
	int32_t n_occurrences, occurrence_tasks; /* tasks of each */
	struct array open; /* of struct occurrence *, by number */
	uint8_t *done_bits; /* closed ones; NULL for a job without times */
	int32_t n_occurrences_done, n_occurrences_closed;
	int32_t next_occurrence; /* those before it were opened when due */
	int32_t ahead_max; /* most open ones that wait for capacity */
	enum flow_state state;
	bool cancelled, recovered;
	bool begun; /* a worker has begun a run of it */
	bool taken_ended; /* it had ended when record 0 was last taken */
	bool end_durable; /* a record 0 that shows its end is durable */
	/* Record 0 in the store has all tasks, as older versions wrote it. */
	bool unsplit;
	bool void_records; /* it was read as ended and without runs */
	bool refused; /* the store refuses its records; only its end is kept */
	struct record *records;
	int32_t n_records;
	/* Records that are dirty (and needed), being written, in the store. */
	int32_t n_dirty, n_writing, n_stored;
	int64_t accepted_ms;
	int64_t ended_ms; /* when its end was found durable; 0 before */
	int64_t n_runs, runs_begun, failures;
	struct queue *queue_conf; /* set each round */
	struct pool *pool; /* set each round; NULL without workers */
	int32_t rank; /* lower goes first; set each round */
	int32_t position; /* in the order of the round; set each round */
	bool over_share; /* of its workspace; see fairness.c */
	bool late; /* can't end within its objective */
	bool behind; /* has waited for half of the time that it can wait */
	bool will_miss_deadline; /* can't end before deadline_ms */
	int64_t deadline_ms;
	UT_hash_handle hh;
};

/**
 * struct booking - capacity of a worker in which waiting gangs will start
 * @need: of all their tasks on the worker
 * @left: least capacity that remains beside them
 * @from_ms: when the first of these tasks is expected to start; 0 without any
 * @job: the job of that task
 */
struct booking {
	struct flow_shape need, left;
	int64_t from_ms;
	const struct job *job;
};

/**
 * struct lost_run - a run that ended when its worker's leases expired
 *
 * It is kept until the worker's address shows whether the worker has crashed.
 */
struct lost_run {
	char job[FLOW_JOB_ID_LEN + 1];
	int32_t occurrence, step, index, run;
	int64_t age_ms; /* when the worker went silent; -1 if unknown */
};

/**
 * struct run_end - a run, and the estimated time until it ends
 */
struct run_end {
	const struct run *run;
	int64_t after_ms;
};

/** enum fit_class - by the kinds of tasks that a worker runs */
enum fit_class {
	FIT_IDLE,
	FIT_URGENT = 1,
	FIT_ORDINARY = 2,
	FIT_BOTH = 3,
	FIT_CLASSES,
};

/** enum speed_class - how fast a worker is, of those of its pool */
enum speed_class {
	SPEED_UNKNOWN, /* or its pool is not uneven */
	SPEED_FAST,
	SPEED_TYPICAL,
	SPEED_SLOW,
	SPEED_CLASSES,
};

/* Workers of one list of an index; see fitindex.c. */
#define FIT_LISTS (FIT_CLASSES * SPEED_CLASSES)

/**
 * struct fit_entry - place of a worker in its pool's index
 *
 * Entries are sorted by @key, workers with the same key by @number.
 */
struct fit_entry {
	int64_t key;
	int32_t number;
	struct worker *worker;
};

struct worker {
	char *id;
	int32_t number; /* workers are numbered as they are added */
	struct pool *pool; /* NULL before flow_worker_update() */
	char *az, *rack; /* empty before flow_worker_update() */
	struct rack *in_rack; /* NULL before flow_worker_update() */
	char *labels[FLOW_LABELS_MAX];
	int32_t n_labels;
	struct flow_shape capacity, used;
	struct flow_shape stopping; /* part of used held by stopping runs */
	struct flow_shape overdue; /* part of that whose stop is overdue */
	int32_t n_overdue; /* such runs */
	struct flow_shape expected; /* free soon and not planned; see plan.c */
	/* This round: capacity promised to tasks, and held by victims. */
	struct flow_shape reserved, victims;
	struct booking booking; /* of this round */
	/* This round: number of runs and placed tasks. */
	int32_t urgent_tasks, ordinary_tasks;
	int32_t ordinary_on_loan; /* of the ordinary runs */
	/* Its entry in the index of its pool; see fitindex.c. */
	int64_t fit_round; /* round of the index; it is not in an older one */
	int64_t fit_key;
	int32_t fit_list;
	/*
	 * What a search for victims needs to know of its runs, and the
	 * preemptible ones, the first to preempt first; see victims.c.
	 */
	int64_t victims_round;
	struct flow_shape ends_soon; /* used by such runs, without victims */
	struct array preemptible; /* of struct run * */
	/* Ends of its runs, soonest first; see book.c. */
	int64_t run_ends_round;
	struct array run_ends; /* of struct run_end */
	size_t candidate; /* its index in the current search */
	bool present, runs_known, suspect, draining;
	bool evacuated; /* its AZ is; see evacuate.c */
	int64_t warm_ms; /* see struct flow_worker_spec */
	bool cold; /* this round: it is before that time */
	bool gone; /* see flow_worker_set_gone() */
	int64_t earliest_exit_ms; /* see struct flow_worker_spec */
	int32_t failures_in_row;
	int64_t failed_ms; /* time of the last failure */
	char failed_job[FLOW_JOB_ID_LEN + 1];
	int64_t quarantined_until_ms;
	int32_t quarantines;
	int64_t silent_ms; /* last time that it went silent; or 0 */
	bool may_have_own_cause; /* of that silence: a run that crashed it */
	struct lost_run *lost_runs;
	size_t n_lost_runs;
	const struct job *isolated_for; /* this round; see crash.c */
	/* As of the last round, and since which one; see unused.c. */
	enum flow_unready unready;
	int64_t unready_since_ms;
	double speed; /* declared / actual run time, moving average */
	/* Logarithm of its run times relative to a typical worker's. */
	struct estimate slowness;
	int64_t slowness_ms; /* time of the last sample */
	enum speed_class speed_class; /* this round */
	enum speed_class told_class; /* see flow_next_speed_change() */
	struct run *runs;
	UT_hash_handle hh;
};

/** struct pool - totals over the workers of a service */
struct pool {
	char *service;
	struct flow_shape largest; /* of the worker with most accelerators */
	struct array ready; /* of struct worker *: those that may get tasks */
	int32_t n_ready; /* number of them; of these: */
	int32_t n_failing; /* failed a task recently */
	int32_t n_without_ordinary; /* run no ordinary tasks */
	int32_t n_urgent_busy; /* run urgent tasks only */
	/* Of the workers that count (see kept.c), and what runs hold. */
	struct flow_shape total, in_use;
	int64_t underused_since_ms; /* see kept.c; 0 if it isn't underused */
	int32_t n_on_loan; /* runs on loan */
	/* Workers that urgent jobs need: now, and average at demand_ms. */
	double demand_now, demand;
	int64_t demand_ms;
	double urgent_reserve; /* workers to be kept free of ordinary tasks */
	int32_t n_ordinary_queues; /* with open jobs */
	int64_t fit_round; /* round in which the index was built */
	struct array fit[FIT_LISTS]; /* of struct fit_entry */
	/* This round: workers of known speed, and fast and slow ones of them.
	 */
	int32_t n_known, n_fast, n_slow;
	double slowness_mean; /* of the known ones */
	bool uneven; /* the speeds of its workers differ much */
	UT_hash_handle hh;
};

struct rack {
	char *name;
	struct array workers; /* of struct worker *, of all pools */
	UT_hash_handle hh;
};

struct queue {
	char *name, *service;
	int32_t priority, max_attempts;
	double stretch;
	int64_t target_ms;
	bool listed; /* in the list that flow_set_queues() is given */
	/* Since the queue became known; see struct flow_queue_usage. */
	int64_t starts, preempted;
	double done_worker_ms, lost_worker_ms;
	/* This round: capacity held, and lacking to the minimum share. */
	double held_workers, share_left;
	/* Error of its declared times, a logarithm, with its variance. */
	struct estimate error;
	bool has_error;
	double evacuated_workers; /* part of what is held, in evacuated AZs */
	bool has_ordinary_jobs; /* this round */
	/* Of the current report; see struct flow_queue_usage. */
	int64_t open_jobs, stalled_jobs, oldest_stalled_ms;
	UT_hash_handle hh;
};

struct quota {
	char *workspace;
	int32_t guaranteed;
	int64_t left; /* this round, not used by jobs ranked so far */
	UT_hash_handle hh;
};

/** struct account - what a workspace holds; see fairness.c */
struct account {
	char *workspace;
	/* By priority: the average, and of this round. */
	double held[FLOW_FAIR_LEVELS], held_now[FLOW_FAIR_LEVELS];
	bool has_jobs[FLOW_FAIR_LEVELS]; /* open ones */
	UT_hash_handle hh;
};

struct flow {
	struct flow_opts opts;
	struct account *accounts;
	int64_t accounts_ms; /* when they were averaged last */
	/* This round, of workspaces with open jobs: what they have held. */
	double fair_held[FLOW_FAIR_LEVELS];
	int32_t n_fair[FLOW_FAIR_LEVELS]; /* their number */
	struct job *jobs;
	int64_t held_bytes; /* see flow_held_bytes() */
	struct record *dirty, *unneeded, *writing; /* lists */
	struct step_state *reservations; /* list */
	struct run *decided; /* list of runs that are RUN_DECIDED, in order */
	struct run *unconfirmed; /* list */
	int64_t decisions; /* number of the last decision to start a run */
	int64_t planned_ms; /* when plans were last made */
	bool offline; /* see flow_set_offline() */
	struct array evacuated; /* of char *: names of AZs */
	bool starts_held; /* see flow_hold_starts() */
	struct worker *workers;
	int32_t n_workers_added;
	struct pool *pools;
	struct rack *racks;
	struct array victims; /* of struct run *: marked, not committed yet */
	struct array no_fits; /* of struct no_fit; of this round */
	int64_t workers_checked; /* see struct flow_stats */
	struct queue *queues;
	struct quota *quotas;
	int64_t round; /* number of the current flow_decide() */
	int64_t scheduling_round; /* the same without those that are offline */
	int64_t unused_checked_ms; /* see unused.c */
	bool recovering;
};

/* jobs.c */
struct job *flow_find_job(const struct flow *f, const char *id);
const struct flow_step *flow_step_of(const struct job *j,
				     const struct step_state *ss);
bool flow_has_ended(const struct job *j);
/** flow_may_not_start() - whether the job must not start or plan anything yet
 */
bool flow_may_not_start(const struct job *j);
/** flow_task_done() - mark a task as done; completes the job with its last */
void flow_task_done(struct job *j, struct step_state *ss, int32_t index);
/** flow_is_ready() - whether the step's dependencies are done and it is due */
bool flow_is_ready(const struct flow *f, struct job *j,
		   const struct step_state *ss, int64_t wall_ms);

struct queue *flow_find_queue(const struct flow *f, const char *name);
/** flow_add_run_number() - false if @run is already among them */
bool flow_add_run_number(struct run_numbers *fl, int32_t run);
/** flow_count_run_numbers() - how many there were, kept or not */
int32_t flow_count_run_numbers(const struct run_numbers *fl);

/* occurrence.c */
/** flow_occurrences_init() - set up those of a new job */
void flow_occurrences_init(struct job *j);
void flow_occurrences_free(struct job *j);
/**
 * flow_open_due() - open the occurrences of the jobs @list that are due
 *
 * Those of a job that wait for capacity are limited in number.
 */
void flow_open_due(struct flow *f, struct job *const *list, size_t n,
		   int64_t wall_ms);
/** flow_close_done() - free the state of the job's done occurrences */
void flow_close_done(struct job *j);
/** flow_is_due() - whether the time of the occurrence has come */
bool flow_is_due(const struct flow *f, const struct job *j, int32_t occurrence,
		 int64_t wall_ms);
/** flow_occurrence_is_done() - whether it is closed since it is done */
bool flow_occurrence_is_done(const struct job *j, int32_t number);
/** flow_count_untouched() - number of occurrences neither open nor done */
int64_t flow_count_untouched(const struct job *j);
/** flow_nth_open() - NULL if @n is at least the number of open step states */
struct step_state *flow_nth_open(const struct job *j, int32_t n);
/** flow_step_state() - NULL if the occurrence is not open, or doesn't exist */
struct step_state *flow_step_state(const struct job *j, int32_t occurrence,
				   int32_t step);
/** flow_open_step_state() - the same, but opens the occurrence if it exists */
struct step_state *flow_open_step_state(struct job *j, int32_t occurrence,
					int32_t step);

/* array.c */
/** flow_array_add() - append an item of @bytes, zeroed, and return it */
void *flow_array_add(struct array *a, size_t bytes);
/** flow_array_insert() - insert an item before item @i, and return it */
void *flow_array_insert(struct array *a, size_t i, size_t bytes);
void flow_array_remove(struct array *a, size_t i, size_t bytes);
void flow_array_free(struct array *a);
/* The same for arrays of pointers. */
void flow_pointers_insert(struct array *a, size_t i, void *p);
void flow_pointers_add(struct array *a, void *p);
void flow_pointers_remove(struct array *a, size_t i);
void flow_pointers_sort(struct array *a,
			int (*compare)(const void *x, const void *y));

/* workers.c */
/** flow_free_worker() - free a worker without runs */
void flow_free_worker(struct flow *f, struct worker *w);
/**
 * flow_worker_replaced() - like flow_worker_lost(), but another process serves
 *
 * What it may yet start is stopped there instead of ended.
 */
void flow_worker_replaced(struct flow *f, struct worker *w,
			  const struct flow_crash *crash, int64_t now_ms);
struct worker *flow_find_worker(const struct flow *f, const char *id);
/** flow_get_or_add_worker() - a worker that is added has no description yet */
struct worker *flow_get_or_add_worker(struct flow *f, const char *id);
bool flow_worker_ready(const struct worker *w, int64_t now_ms);
/** flow_worker_has_label() - true for an empty label */
bool flow_worker_has_label(const struct worker *w, const char *label);
struct pool *flow_find_pool(const struct flow *f, const char *service);
bool flow_shape_fits(const struct flow_shape *need,
		     const struct flow_shape *have);
void flow_shape_add(struct flow_shape *to, const struct flow_shape *s,
		    int32_t sign);
/** flow_shape_limit() - reduce each resource of @s to at most that of @max */
void flow_shape_limit(struct flow_shape *s, const struct flow_shape *max);
/**
 * flow_dominant_share() - share of @whole that @part takes
 *
 * Of the resource of which it takes the largest share.
 */
double flow_dominant_share(const struct flow_shape *part,
			   const struct flow_shape *whole);
/** flow_task_shape() - capacity that a task of @st occupies on a worker */
struct flow_shape flow_task_shape(const struct flow_step *st);
/*
 * Nobody waits for a stop that takes this much longer than stop_ms, the time of
 * the orders and lists around it.
 */
#define STOP_MARGIN_MS 300

/** flow_stop_is_overdue() - whether a stop takes too long to be waited for */
bool flow_stop_is_overdue(const struct flow *f, const struct run *r,
			  int64_t now_ms);
/** flow_update_pools() - recompute the per-round counts of pools and workers */
void flow_update_pools(struct flow *f, int64_t now_ms);
bool flow_worker_failed_recently(const struct worker *w, int64_t now_ms);
/**
 * flow_pool_can_avoid_failing() - whether so few workers have failed recently
 * that a task can avoid all of them
 */
bool flow_pool_can_avoid_failing(const struct pool *p);
void flow_worker_succeeded(struct worker *w);
void flow_worker_failed(struct flow *f, struct worker *w, const char *job,
			int64_t now_ms);

/* record.c */
/** flow_records_init() - divide the tasks of a new job among records */
void flow_records_init(struct job *j);
/** flow_records_free() - remove the records from all lists and free them */
void flow_records_free(struct job *j);
/** flow_find_record() - NULL if there is no such record */
struct record *flow_find_record(const struct flow *f, const char *key);
struct record *flow_record_of(const struct job *j, const struct step_state *ss,
			      int32_t index);
/**
 * struct flow_record_step - a step of an occurrence that a record covers
 * @first: number of the step's first task among those of the job
 * @from: first task of the step that the record covers
 * @end: the task after the last one of them
 */
struct flow_record_step {
	int32_t occurrence, step, first, from, end;
};

/* Iterate over the steps that a record covers, in order. */
struct flow_record_step flow_first_step(const struct record *p);
void flow_next_step(const struct record *p, struct flow_record_step *s);
bool flow_has_step(const struct record *p, const struct flow_record_step *s);
/** flow_mark_dirty() - the record of a task must be written */
void flow_mark_dirty(struct job *j, const struct step_state *ss, int32_t index);
/** flow_mark_step_dirty() - the records of all tasks of a step must be written
 */
void flow_mark_step_dirty(struct job *j, const struct step_state *ss);
/** flow_mark_state_dirty() - the state of the job must be written */
void flow_mark_state_dirty(struct job *j);
/** flow_mark_all_dirty() - all records of the job must be written */
void flow_mark_all_dirty(struct job *j);
/** flow_drop_unneeded() - delete records of a job whose end is durable */
void flow_drop_unneeded(struct job *j);
/** flow_record_stored() - the store has, or may have, the row */
void flow_record_stored(struct record *p, bool stored);
/** flow_is_durable() - whether the store has all that is to be recorded */
bool flow_is_durable(const struct job *j);
/**
 * flow_is_recorded() - whether the record of a decision to start is durable
 *
 * For a member of a gang: of the decisions to start all its members.
 */
bool flow_is_recorded(const struct run *r);

/* runs.c */
/** flow_count_runs() - number of runs that occupy a worker */
size_t flow_count_runs(const struct worker *w);
struct run *flow_run_add(struct job *j, struct step_state *ss, int32_t index,
			 struct worker *w, int32_t run, int64_t now_ms);
void flow_run_remove(struct run *r);
/** flow_run_decide() - add a run that is RUN_DECIDED */
struct run *flow_run_decide(struct job *j, struct step_state *ss, int32_t index,
			    struct worker *w, int32_t run, int64_t now_ms);
/** flow_run_was_ordered() - false if the run may never have been ordered */
bool flow_run_was_ordered(const struct run *r);
/** flow_run_set_confirmed() - whether its lease is as the caller counts */
void flow_run_set_confirmed(struct run *r, bool confirmed);
struct flow_run_ref flow_ref_of(const struct run *r);
/** flow_run_mark_stopping() - let the next flow_decide() order a stop */
void flow_run_mark_stopping(struct run *r);
/**
 * flow_run_may_outlive() - whether the run may be, or come to be, on the
 * process that has replaced the one which it was started on
 */
bool flow_run_may_outlive(const struct run *r, const struct flow_crash *crash);
/**
 * flow_run_process_ended() - the process that got its start order has ended
 *
 * The run is to be stopped at the worker's next process, which then refuses a
 * late copy of the order.
 */
void flow_run_process_ended(struct run *r, int64_t now_ms);
/**
 * flow_gang_is_partial() - whether a member of the run's gang is missing
 *
 * The members of a gang can only work together.
 */
bool flow_gang_is_partial(const struct run *r);
/** flow_store_checkpoint() - record a checkpoint of a task, or of its gang */
void flow_store_checkpoint(struct job *j, struct step_state *ss, int32_t index,
			   const char *saved);
/** flow_gang_done() - mark all tasks of a gang as done */
void flow_gang_done(struct job *j, struct step_state *ss);
/** flow_run_ended() - record the end of a run and free it with its capacity */
void flow_run_ended(struct flow *f, struct run *r, enum flow_run_result how,
		    const char *saved, int64_t now_ms);

/**
 * flow_fail_if_exhausted() - fail the job if a task has used all its attempts
 *
 * Nothing happens while the job's queue is not known.
 */
void flow_fail_if_exhausted(struct flow *f, struct job *j,
			    struct step_state *ss, int32_t index);

/* crash.c */
/** flow_may_crash_worker() - whether the task may have crashed its last workers
 */
bool flow_may_crash_worker(const struct task *t);
/** flow_run_is_isolated() - whether its worker gets no tasks of other jobs */
bool flow_run_is_isolated(const struct run *r, int64_t now_ms);
/** flow_clear_crashes() - clear the task if the run has lasted long enough */
void flow_clear_crashes(struct run *r);
void flow_remember_lost_run(struct worker *w, const struct run *r);
void flow_forget_lost_runs(struct worker *w);

/* drain.c */
/**
 * flow_must_leave_worker() - whether the run has to be stopped now, so that its
 * end is known when its draining worker exits
 */
bool flow_must_leave_worker(const struct run *r, int64_t now_ms);

/* kept.c */
/** flow_update_use() - find how much of each pool is in use, once a round */
void flow_update_use(struct flow *f, int64_t now_ms);
/** flow_kept_wait_restart() - a task of the step is recalled; it waits anew */
void flow_kept_wait_restart(struct step_state *ss, int64_t now_ms);
/**
 * flow_awaits_recall() - whether the step stopped runs on loan that are about
 * to end
 */
bool flow_awaits_recall(const struct flow *f, const struct step_state *ss,
			int64_t now_ms);
/** flow_use_add() - a run of the round will hold capacity of the pool */
void flow_use_add(struct pool *p, const struct flow_shape *need);

/* reservation.c */
/** flow_reservation_update() - a gang has booked capacity in this round */
void flow_reservation_update(struct step_state *ss, int64_t now_ms,
			     int64_t expected_ms);
/** flow_reservation_forget() - the job of the step is freed */
void flow_reservation_forget(struct step_state *ss);
/** flow_report_reservations() - tell @ops which ones began or ended */
void flow_report_reservations(struct flow *f, int64_t now_ms,
			      const struct flow_ops *ops, void *arg);

/* evacuate.c */
/** flow_evacuate_update() - the worker's AZ was set */
void flow_evacuate_update(struct flow *f, struct worker *w);
void flow_evacuate_free(struct flow *f);

/* plan.c */
/** flow_plan_cancel() - drop the plan of a task, if it has one */
void flow_plan_cancel(struct job *j, const struct step_state *ss,
		      int32_t index);
/** flow_plan() - plan the next starts of the open jobs @list, in order */
void flow_plan(struct flow *f, struct job *const *list, size_t n,
	       int64_t now_ms, int64_t wall_ms);
/**
 * flow_start_planned() - decide to start what is planned and recorded
 *
 * Return: whether there was anything.
 */
bool flow_start_planned(struct flow *f, struct job *const *list, size_t n,
			int64_t now_ms, int64_t wall_ms);

/* move.c */
/** flow_move_runs() - mark runs on slow workers that are better moved */
void flow_move_runs(struct flow *f, int64_t now_ms);

/* pace.c */
/** flow_ms_per_percent() - pace of a run; 0 if it is not known yet */
double flow_ms_per_percent(const struct run *r);
/** flow_pace_update() - record the progress that a worker lists for a run */
void flow_pace_update(struct run *r, int32_t percent, int64_t now_ms);
/** flow_remaining_ms() - estimated time until the run ends by itself; > 0 */
int64_t flow_remaining_ms(const struct run *r, int64_t now_ms);
/** flow_is_stalled() - whether the run has made no progress for too long */
bool flow_is_stalled(const struct run *r, int64_t now_ms);

/* speed.c */
/** flow_speed_reset() - nothing is known of the worker's process */
void flow_speed_reset(struct worker *w);
/** flow_speed_listed() - learn from the progress that a worker lists */
void flow_speed_listed(struct run *r, int32_t percent, int64_t now_ms);
/** flow_speed_done() - learn from a run that has ended as done */
void flow_speed_done(struct run *r, int64_t now_ms);
/** flow_speed_update_pools() - set the speed classes, once a round */
void flow_speed_update_pools(struct flow *f);
/** flow_speed_is_known() - whether enough is known of the worker */
bool flow_speed_is_known(const struct worker *w);
/** flow_speed_cost() - cost of a worker of that class for a task */
int64_t flow_speed_cost(const struct job *j, const struct flow_step *st,
			enum speed_class c);

/* usage.c */
/** flow_run_share() - part of its worker that a run holds */
double flow_run_share(const struct run *r);
/** flow_usage_run_ended() - account the time of a run to its queue */
void flow_usage_run_ended(struct flow *f, const struct run *r,
			  enum flow_run_result how, const char *saved,
			  int64_t now_ms);
/** flow_usage_run_preempted() - count a run that is preempted */
void flow_usage_run_preempted(struct flow *f, const struct run *r);

/* unused.c */
/** flow_unused_update() - note which capacity is not used now, and why */
void flow_unused_update(struct flow *f, int64_t now_ms);

/* order.c */
/**
 * flow_sort_jobs() - list the open jobs of known queues, most urgent first
 * @out: the list, to be freed by the caller
 *
 * Return: number of jobs.
 */
size_t flow_sort_jobs(struct flow *f, int64_t now_ms, struct job ***out);
/** flow_is_guaranteed() - whether it is within its workspace's guarantee */
bool flow_is_guaranteed(const struct job *j);
/** flow_is_urgent() - whether the job goes before all ordinary jobs */
bool flow_is_urgent(const struct job *j);
/** flow_may_preempt() - whether the job may preempt runs of a greater rank */
bool flow_may_preempt(const struct job *j);
/** flow_first_step_started() - whether all tasks of step 0 have begun */
bool flow_first_step_started(struct job *j);
/**
 * flow_reclaim_due() - whether a guaranteed job is about to miss its bound
 *
 * The bound is reclaim_ms of struct flow_opts.  If the job is about to miss it,
 * its gang may span racks, and it may preempt runs of guaranteed jobs
 * whose first step has been started.
 */
bool flow_reclaim_due(const struct flow *f, struct job *j, int64_t now_ms);

/* fairness.c */
/** flow_fairness_update() - find whose workspaces have held too much */
void flow_fairness_update(struct flow *f, struct job *const *list, size_t n,
			  int64_t now_ms);
void flow_fairness_free(struct flow *f);

/* headroom.c */
/**
 * flow_headroom_update() - set how many workers to keep free of ordinary tasks
 * @list: the open jobs
 */
void flow_headroom_update(struct flow *f, struct job *const *list, size_t n,
			  int64_t now_ms);
/**
 * flow_headroom_allows() - whether the headroom lets a worker get a task
 * @runs_ordinary: whether the worker, of pool @p, has ordinary tasks
 */
bool flow_headroom_allows(const struct job *j, const struct flow_step *st,
			  const struct pool *p, bool runs_ordinary);
/** flow_headroom_add_task() - count a task of @j that is placed on a worker */
void flow_headroom_add_task(const struct job *j, struct worker *w);
/** flow_headroom_remove_task() - undo flow_headroom_add_task() */
void flow_headroom_remove_task(const struct job *j, struct worker *w);

/* share.c */
/** flow_share_update() - set what each queue lacks of its minimum share */
void flow_share_update(struct flow *f, struct job *const *list, size_t n);
/**
 * flow_share_limit() - how many of @want tasks the minimum share allows now
 *
 * Return: for a gang @want or 0.
 */
int32_t flow_share_limit(const struct job *j, const struct flow_step *st,
			 int32_t want);
/** flow_share_use() - count @n tasks placed within the minimum share */
void flow_share_use(struct job *j, const struct flow_step *st, int32_t n);

/* place.c */
/**
 * flow_place() - choose workers for tasks of a step and reserve their capacity
 * @want: number of tasks to place
 * @preempt: runs of a greater rank may be marked as victims
 * @out: set to a worker for each task placed; has space for @want
 * @wait: set if the tasks can't start before stopped runs have ended
 * @on_loan: set if the tasks start in capacity that is kept for others
 *
 * Return: number of tasks placed; for a gang @want or 0.
 */
int32_t flow_place(struct flow *f, struct job *j, struct step_state *ss,
		   int32_t want, bool preempt, struct worker **out, bool *wait,
		   bool *on_loan, int64_t now_ms);

#endif
