#ifndef TG_DECIDE_INTERNAL_H
#define TG_DECIDE_INTERNAL_H

#include <uthash.h>

#include "decide/decide.h"

/**
 * DOC: internals of the decision library
 *
 * A "covered" job uses slots of a guarantee.  An "uncovered" job has class
 * TG_CLASS_GUARANTEED, but no guarantee covers it.  "Committed" work is urgent
 * and uncovered jobs: what other than lent work runs outside of slots.
 *
 * Resources of a worker are accounted in four sums: @committed, @covered and
 * @lent are used by jobs of these kinds, and @planned is reserved by the slots
 * that are placed on the worker, whether a job uses them or not.  The plan,
 * which is the placement of all slots, is feasible as long as
 * committed - stopping_committed + planned <= cap on every worker.  Lent jobs
 * don't count, because they can be reclaimed at any time, nor do jobs that are
 * already stopping, because a stop is never cancelled.
 */

/*
 * Limit of both failure histories: workers where a job failed and jobs that
 * failed on a worker.
 */
#define FAILURE_HISTORY_MAX 8
#define ACTION_LOG_SIZE 256
#define NONE (-1)

/* Amounts of resources: accelerators, cores, memory in GB. */
struct res {
	int32_t acc, cores, mem;
};

enum job_state {
	JOB_QUEUED,
	JOB_ASSIGNED, /* has workers; starts when its victims have stopped */
	JOB_RUNNING,
	JOB_PARKED,
};

/* The capacity of a worker that a placement may use. */
enum capacity_kind {
	CAPACITY_IDLE, /* not used by any job */
	CAPACITY_IDLE_UNCOMMITTED, /* idle, and not reserved by the plan */
	CAPACITY_RECLAIM_LENT, /* not reserved by the plan; lent jobs are
				  reclaimed */
	CAPACITY_RECLAIM_UNCOVERED, /* not reserved by the plan; lent and
				       uncovered jobs are reclaimed */
};

struct name_id {
	char *name;
	int32_t id;
	UT_hash_handle hh;
};

struct workspace {
	char *name;
	int32_t quota; /* in accelerators; 0: no limit */
	int64_t used_acc;
	int64_t finished; /* number of completed jobs */
	double log_runtime_ratio; /* mean of log(actual / declared run time) */
	UT_hash_handle hh;
};

struct job {
	char *name;
	struct workspace *ws;
	int32_t az; /* NONE: any */
	enum tg_job_class class;
	int32_t tasks;
	struct res need; /* of one task */
	bool within_rack;
	int64_t declared_ms, submitted_ms;
	uint64_t seq;
	enum job_state state;
	int32_t *workers; /* one for each task while assigned or running */
	struct guarantee *g; /* whose slots the job uses, or NULL */
	bool adopted; /* not yet considered for slots since it was adopted */
	bool was_covered; /* used slots when the guarantees were replaced */
	int64_t started_ms, done_ms, not_before_ms;
	bool reclaiming; /* TG_ACT_RECLAIM was returned */
	int32_t *move_target; /* workers to start on after the stop, or NULL */
	bool backfilled; /* runs on workers reserved for another job */
	double key; /* of the policy; jobs with smaller keys start first */
	int32_t failed_workers[FAILURE_HISTORY_MAX], n_failed_workers;
	int64_t avoid_until_ms; /* @failed_workers are avoided until then */
	char reason[160]; /* why it was assigned or parked */
	UT_hash_handle hh;
};

/* The tasks of one job on a worker. */
struct worker_job {
	struct job *job;
	int32_t n; /* tasks */
};

struct worker {
	char *name;
	int32_t az, rack;
	struct res cap, committed, covered, lent, planned;
	struct res uncovered; /* part of @committed */
	struct res stopping; /* part of @lent and @committed whose jobs are
				being reclaimed */
	struct res stopping_committed; /* part of @stopping in @committed */
	enum tg_worker_health health;
	bool kept_free; /* for the largest guaranteed shape */
	bool reserved; /* for the job of its AZ's reservation */
	struct worker_job *jobs;
	int32_t n_jobs;
	/* Sequence numbers of the different jobs that failed here since a job
	   completed or the worker came up. */
	uint64_t failed_jobs[FAILURE_HISTORY_MAX];
	int32_t n_failed_jobs;
};

struct rack {
	char *name;
	int32_t az;
	int32_t *workers;
	int32_t n_workers;
	bool dirty; /* the fields below are out of date */
	struct res max_idle, max_uncommitted, max_urgent; /* of one worker */
	int32_t idle_acc, uncommitted_acc; /* sums over workers that are up */
	int32_t acc, acc_alive, acc_up; /* all, not down, up */
	int32_t shape_workers; /* with idle capacity for a task of the shape */
	double fragment_score; /* sum of idle accelerators squared over those of
				  the shape, of workers that don't hold one */
	int32_t n_shape_tasks; /* tasks of the shape that idle capacity holds */
};

/* Workers reserved for a job that waited too long, at most one for each AZ. */
struct reservation {
	struct job *job;
	int64_t expected_start_ms;
	int64_t made_ms;
	int32_t *workers;
	int32_t n_workers;
};

/*
 * A placement that failed.  One that needs at least as much is not tried again
 * until @release_seq of the AZ grows.
 */
struct failed_placement {
	struct res need;
	int32_t tasks;
	enum capacity_kind kind;
	bool within_rack, use_reserved, avoid_kept_free;
};
#define FAILED_PLACEMENTS_MAX 32

struct az {
	char *name;
	int32_t n_workers, n_quarantined;
	int64_t acc; /* of all its workers */
	int32_t *racks;
	int32_t n_racks;
	bool needs_replan;
	bool at_risk; /* a slot of a guarantee in force is not placed */
	uint64_t release_seq; /* grows whenever capacity may become available */
	uint64_t change_seq; /* grows whenever the use of capacity changes */
	uint64_t sums_at; /* @change_seq + 1 when the next two were computed */
	int64_t idle_acc;
	int32_t max_shape_workers; /* largest @shape_workers of its racks */
	uint64_t kept_free_at; /* @change_seq when @kept_free was last set */
	struct reservation reservation;
	int64_t next_defrag_ms;
	int32_t last_defrag_rack; /* index in @racks */
	int32_t kept_free_rack; /* id + 1 of the rack with workers kept free;
				   0: none */
	struct failed_placement failed_placements[FAILED_PLACEMENTS_MAX];
	int32_t n_failed_placements;
	uint64_t failed_placements_at; /* @release_seq they belong to */
};

struct slot {
	int32_t worker; /* NONE: not placed, so that the guarantee is at risk */
	struct job *job;
};

struct guarantee {
	struct workspace *ws;
	int32_t az, tasks;
	struct res need; /* of one slot */
	bool within_rack, lapsed;
	int64_t lapses_ms;
	struct slot *slots;
};

struct queue {
	struct job **jobs;
	size_t n, cap;
};

struct action_record {
	int64_t at_ms;
	enum tg_action_kind kind;
	char job[TG_NAME_MAX + 1];
	char text[160];
};

struct tg_fleet {
	struct tg_fleet_opts opts;
	int64_t keep_free_ms; /* of the policy, scaled by the weight */
	const struct tg_policy *policy;
	struct az *azs;
	int32_t n_azs;
	struct rack *racks;
	int32_t n_racks;
	struct worker *workers;
	int32_t n_workers;
	struct name_id *az_ids, *rack_ids, *worker_ids;
	struct workspace *workspaces;
	struct guarantee *guarantees;
	size_t n_guarantees;
	/* One task of the largest guaranteed shape, or all accelerators of the
	   largest worker if nothing is guaranteed. */
	struct res shape;
	int32_t shape_tasks;
	bool shape_within_rack;
	bool adopted; /* a job was adopted since the last decision */
	struct job *jobs;
	struct queue queues[3]; /* by class */
	struct queue assigned, newly_parked;
	int32_t *newly_quarantined; /* not reported by an action yet */
	size_t n_newly_quarantined;
	int32_t *reported; /* workers of the last round's quarantines */
	size_t n_running, n_parked;
	uint64_t next_seq;
	int64_t acc, queued_acc; /* of all workers; requested by queued jobs */
	int32_t last_defrag_az;
	int64_t keys_computed_ms;
	struct action_record action_log[ACTION_LOG_SIZE];
	uint64_t n_logged;
	struct res *avail, *avail_uncommitted; /* scratch, by worker */
	int32_t *rack_fit; /* scratch: tasks that fit, by rack */
	int32_t *rack_order; /* scratch, by rack */
};

/**
 * struct tg_policy - what varies between policies
 * @key: sort key of queued jobs; the smallest starts first
 * @expected_run_ms: expected run time of a job, for order and reservations
 * @rack_cost: cost of placing @tasks tasks of @j on a rack, of which the
 *	cheapest is chosen; NULL: the first rack that fits
 * @worker_cost: the same for one worker
 * @victim_cost: cost of reclaiming @j; the cheapest is chosen
 * @strict_order: no job starts before an earlier one that waits for the same AZ
 * @reserve_after: how long a job waits, in multiples of its expected run time,
 *	until workers are reserved for it; 0: a job that can't start gets a
 *	reservation at once if its AZ has none
 * @keep_free_ms: how long a job waits before it may use the workers that an AZ
 *	keeps free for the largest guaranteed shape, at a fragmentation weight
 *	of 100
 * @fullest_az_first: a job that may run in any AZ tries them by idle
 *	accelerators, the fewest first
 * @urgent_reclaims_uncovered: urgent jobs reclaim uncovered jobs if reclaiming
 *	lent jobs does not suffice
 * @defrag_period_ms: how often an AZ looks for a job to move; 0: never
 */
struct tg_policy {
	const char *name;
	int32_t weight_completion, weight_fragmentation;
	double (*key)(const struct tg_fleet *f, const struct job *j);
	int64_t (*expected_run_ms)(const struct job *j);
	double (*rack_cost)(const struct tg_fleet *f, const struct job *j,
			    const struct rack *r, int32_t tasks);
	double (*worker_cost)(const struct tg_fleet *f, const struct job *j,
			      const struct worker *w);
	double (*victim_cost)(const struct tg_fleet *f, const struct job *j,
			      int64_t now_ms);
	bool strict_order;
	double reserve_after;
	int64_t defrag_period_ms;
	int64_t keep_free_ms;
	bool fullest_az_first;
	bool urgent_reclaims_uncovered;
};

/* --- resources --- */

static inline struct res res_add(struct res a, struct res b)
{
	return (struct res){ a.acc + b.acc, a.cores + b.cores, a.mem + b.mem };
}

static inline struct res res_sub(struct res a, struct res b)
{
	return (struct res){ a.acc - b.acc, a.cores - b.cores, a.mem - b.mem };
}

/* Adds @b if @sign is positive, else subtracts it. */
static inline struct res res_add_signed(struct res a, struct res b, int sign)
{
	return sign > 0 ? res_add(a, b) : res_sub(a, b);
}

static inline bool res_fits(struct res need, struct res avail)
{
	return need.acc <= avail.acc && need.cores <= avail.cores &&
		need.mem <= avail.mem;
}

static inline int32_t min32(int32_t a, int32_t b)
{
	return a < b ? a : b;
}

static inline int32_t max32(int32_t a, int32_t b)
{
	return a > b ? a : b;
}

static inline struct res res_min(struct res a, struct res b)
{
	return (struct res){ min32(a.acc, b.acc), min32(a.cores, b.cores),
			     min32(a.mem, b.mem) };
}

static inline struct res res_max(struct res a, struct res b)
{
	return (struct res){ max32(a.acc, b.acc), max32(a.cores, b.cores),
			     max32(a.mem, b.mem) };
}

/* --- room.c: use and available capacity of workers --- */

/**
 * res_count() - how many times @need fits into @avail
 *
 * Return: at most @max; 0 if any amount of @avail is negative.
 */
int32_t res_count(struct res need, struct res avail, int32_t max);
/** idle_capacity() - capacity that no job uses; negative if overcommitted */
struct res idle_capacity(const struct worker *w);
/**
 * uncommitted_capacity() - capacity that neither the plan reserves nor
 * committed work uses that goes on
 */
struct res uncommitted_capacity(const struct worker *w);
/** capacity_of() - capacity of a kind; nothing unless the worker is up */
struct res capacity_of(const struct worker *w, enum capacity_kind kind);
/** rack_sums() - the rack, after its sums were brought up to date */
const struct rack *rack_sums(const struct tg_fleet *f, int32_t rack);
/** az_sums() - the AZ, after its sums were brought up to date */
const struct az *az_sums(const struct tg_fleet *f, int32_t az);
/** usage_add_job() - account a job's tasks to the workers in its @workers */
void usage_add_job(struct tg_fleet *f, struct job *j);
/** usage_remove_job() - undo usage_add_job() and usage_mark_stopping() */
void usage_remove_job(struct tg_fleet *f, struct job *j);
/** urgent_capacity() - what urgent jobs get if they reclaim all they may */
struct res urgent_capacity(const struct worker *w);
/** job_is_uncovered() - whether a guaranteed job is outside of any guarantee */
bool job_is_uncovered(const struct job *j);
/**
 * usage_set_covered() - account one task of an uncovered job as covered
 * (@sign 1), or the reverse (-1)
 */
void usage_set_covered(struct worker *w, const struct job *j, int sign);
/** usage_mark_stopping() - mark a job as reclaimed and its use as stopping */
void usage_mark_stopping(struct tg_fleet *f, struct job *j);
/** usage_add_planned() - add (@sign 1) or remove (-1) a slot of the plan */
void usage_add_planned(struct tg_fleet *f, int32_t worker, struct res need,
		       int sign);

/* --- plan.c: placement of guarantees --- */

/**
 * plan_az() - place every unused slot of an AZ
 *
 * If no way is found, some stay unplaced and the AZ is marked as at risk.
 */
void plan_az(struct tg_fleet *f, int32_t az);
/** plan_check() - bind adopted jobs, and plan_az() for every AZ that needs it
 */
void plan_check(struct tg_fleet *f);
/** plan_clear() - unplace an AZ's unused slots until the next plan_check() */
void plan_clear(struct tg_fleet *f, int32_t az);
/**
 * plan_lapse() - take guarantees out of force that have lapsed by now
 *
 * Their slots are unplaced and their jobs become uncovered.
 */
void plan_lapse(struct tg_fleet *f, int64_t now_ms);
/**
 * plan_bind() - bind a job to slots of @g on the workers it runs on
 *
 * The unused slots of @g are unplaced.  Return: whether the job was bound.
 */
bool plan_bind(struct tg_fleet *f, struct guarantee *g, struct job *j);
/**
 * guarantee_for() - first guarantee in force that covers the job, or NULL
 * @usable: only one with enough slots that the job can use now
 */
struct guarantee *guarantee_for(const struct tg_fleet *f, const struct job *j,
				bool usable);
/** guarantee_usable_slots() - number of unused slots on workers that are up */
int32_t guarantee_usable_slots(const struct tg_fleet *f,
			       const struct guarantee *g);
/** guarantee_unbind() - make a job uncovered; its slots become unused */
void guarantee_unbind(struct tg_fleet *f, struct job *j);
/** guarantee_bind_adopted() - bind adopted jobs to slots, where they fit */
void guarantee_bind_adopted(struct tg_fleet *f);
/** slot_set() - place a slot on a worker, or unplace it with NONE */
void slot_set(struct tg_fleet *f, struct guarantee *g, struct slot *s,
	      int32_t worker);
bool guarantee_at_risk(const struct guarantee *g);
/** guarantee_free() - free the slots, but not @g itself */
void guarantee_free(struct guarantee *g);

/* --- place.c --- */

/**
 * place_gang() - choose workers of an AZ for all tasks of a job
 * @out: receives one worker for each task
 * @use_reserved: workers of the AZ's reservation may be chosen
 * @avoid_kept_free: workers that the AZ keeps free may not be chosen
 *
 * Return: whether all tasks were placed.
 */
bool place_gang(struct tg_fleet *f, const struct job *j, int32_t az,
		enum capacity_kind kind, bool use_reserved,
		bool avoid_kept_free, int64_t now_ms, int32_t *out);
/**
 * place_in_slots() - choose workers of unused slots of @g
 * @reclaim: slots whose capacity other jobs still use may be chosen as well
 *
 * Return: whether all tasks were placed.
 */
bool place_in_slots(struct tg_fleet *f, const struct job *j,
		    struct guarantee *g, bool reclaim, int32_t *out);

/* --- job.c, queue.c --- */

void job_free(struct tg_fleet *f, struct job *j);
/** job_acc() - accelerators of all tasks */
int64_t job_acc(const struct job *j);
/** unguaranteed_acc() - accelerators of an AZ beyond permanent guarantees */
int64_t unguaranteed_acc(const struct tg_fleet *f, int32_t az);
/** job_remaining_ms() - expected run time that is left, at least 1 */
int64_t job_remaining_ms(const struct tg_fleet *f, const struct job *j,
			 int64_t now_ms);
/** job_end_ms() - expected end of a job that runs from @now_ms on */
int64_t job_end_ms(const struct tg_fleet *f, const struct job *j,
		   int64_t now_ms);
/**
 * job_assign() - assign workers, and slots of @g unless it is NULL
 *
 * The job starts once its victims have stopped.
 */
void job_assign(struct tg_fleet *f, struct job *j, const int32_t *workers,
		struct guarantee *g);
/**
 * job_release() - release the workers of an assigned or running job
 *
 * Its state is JOB_QUEUED then, but the caller has to insert it into a queue.
 */
void job_release(struct tg_fleet *f, struct job *j);
/** queue_insert() - put a job into the queue of its class, ordered by key */
void queue_insert(struct tg_fleet *f, struct job *j);
/** queue_remove() - take a job out of its queue; no effect if it isn't there */
void queue_remove(struct tg_fleet *f, struct job *j);
/** queue_refresh() - recompute the keys and the order, if it is time to */
void queue_refresh(struct tg_fleet *f, int64_t now_ms);
void list_add(struct queue *q, struct job *j);
/** list_remove() - remove a job, keeping the order; no effect if not there */
void list_remove(struct queue *q, const struct job *j);

/* --- reclaim.c --- */

/**
 * reclaim_for() - mark jobs for reclaim until an assigned job has its capacity
 * @victims: receives the victims
 *
 * Return: number of victims.  If it is @max, more may be needed in a later
 * round.
 */
size_t reclaim_for(struct tg_fleet *f, const struct job *j, int64_t now_ms,
		   struct job **victims, size_t max);
/** reclaim_cost() - estimated cost of the victims of one task on a worker */
double reclaim_cost(const struct tg_fleet *f, const struct worker *w,
		    struct res need, int64_t now_ms);
/**
 * assigned_job_fits() - whether an assigned job can start on its workers now
 *
 * For committed work the plan also has to be feasible beside it.
 */
bool assigned_job_fits(const struct tg_fleet *f, const struct job *j);

/* --- reserve.c --- */

/** reserve_drop() - give up the reservation of an AZ, if it has one */
void reserve_drop(struct tg_fleet *f, struct az *az);
/** reserve_drop_job() - give up all reservations for a job */
void reserve_drop_job(struct tg_fleet *f, const struct job *j);
/**
 * reserve_make() - reserve the workers on which a job can start earliest
 *
 * The AZ must have no reservation.  Return: whether there are such workers.
 */
bool reserve_make(struct tg_fleet *f, struct job *j, int32_t az,
		  int64_t now_ms);

/* --- defrag.c --- */

/** worker_fits_shape() - idle capacity for a task of the largest shape */
bool worker_fits_shape(const struct tg_fleet *f, const struct worker *w);
/**
 * rack_score() - value, in accelerators, of a rack where @shape_workers workers
 * have idle capacity for a task of the largest shape
 */
double rack_score(const struct tg_fleet *f, int32_t shape_workers);
/**
 * defrag_keeps_free() - whether the AZ keeps workers free for the largest shape
 *
 * As many AZs do as the fleet's idle accelerators could hold instances of the
 * shape, but at least one: those that are closest to holding one.
 */
bool defrag_keeps_free(const struct tg_fleet *f, int32_t az);
/** defrag_choose_kept_free() - choose the workers that the AZ keeps free */
void defrag_choose_kept_free(struct tg_fleet *f, int32_t az);
/**
 * defrag_pick() - lent or uncovered job that should move, or NULL
 *
 * Its new workers are stored in @move_target and assigned when it has stopped.
 */
struct job *defrag_pick(struct tg_fleet *f, int32_t az, int64_t now_ms);

/* --- failure.c --- */

/**
 * record_task_failure() - record that a task of the job failed on a worker
 *
 * May park the job and quarantine the worker.
 */
void record_task_failure(struct tg_fleet *f, struct job *j, int32_t worker,
			 int64_t now_ms);
/** reset_worker_failures() - forget the failures on a worker */
void reset_worker_failures(struct worker *w);

/* --- explain.c --- */

/** action_log_add() - store an action for tg_fleet_explain_job() */
void action_log_add(struct tg_fleet *f, const struct tg_action *a,
		    int64_t now_ms);

/* --- fleet.c --- */

/** workspace_get() - workspace of a name, created on first use */
struct workspace *workspace_get(struct tg_fleet *f, const char *name);
/** name_find() - id of a name, or NONE */
int32_t name_find(const struct name_id *table, const char *name);

#endif
