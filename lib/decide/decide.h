#ifndef TG_DECIDE_H
#define TG_DECIDE_H

#include "base/base.h"

/**
 * DOC: decisions
 *
 * Placement, guarantees, order and reclaim, without I/O and without a clock:
 * the caller records facts, tg_decide() returns actions with their reasons,
 * the caller carries them out and records what came of them.  The same facts in
 * the same order give the same actions.
 *
 * All times are milliseconds of one clock of the caller's choice.
 */

enum tg_job_class { TG_CLASS_URGENT, TG_CLASS_GUARANTEED, TG_CLASS_LENT };

enum tg_worker_health {
	TG_WORKER_UP,
	TG_WORKER_DRAINING, /* keeps its tasks, takes no new ones */
	TG_WORKER_DOWN, /* its tasks are lost */
	TG_WORKER_QUARANTINED, /* takes no new tasks */
};

struct tg_fleet;

/**
 * struct tg_policy - what varies between policies
 *
 * Defined in lib/decide; listed by tg_policy_find() and tg_policy_names().
 */
struct tg_policy;
/** tg_policy_find() - policy of a name, or NULL */
const struct tg_policy *tg_policy_find(const char *name);
/** tg_policy_names() - names, ended by NULL; baselines come first */
const char *const *tg_policy_names(void);

/**
 * struct tg_fleet_opts - options of a fleet
 * @policy: NULL for "completion"
 * @weight_completion: weight of completion time, 0..100; with
 * @weight_fragmentation: it replaces the weights of the policy unless both
 *	are 0
 * @quarantine_percent: largest share of an AZ's workers to quarantine, at
 *	least one worker; 0 for 10
 * @worker_failures: failures of different jobs in a row that quarantine a
 *	worker; 0 for 3
 * @job_failures: failures on different workers that park a job; 0 for 3
 */
struct tg_fleet_opts {
	const struct tg_policy *policy;
	int32_t weight_completion, weight_fragmentation;
	int32_t quarantine_percent;
	int32_t worker_failures;
	int32_t job_failures;
};

struct tg_worker_spec {
	const char *name, *az, *rack;
	int32_t cores, memory_gb, accelerators;
};

/**
 * struct tg_guarantee - a promise of places that can always be reclaimed
 *
 * A task of it may use the cores and the memory that belong to its accelerators
 * on the worker of the AZ that has least of them.  A job is within a guarantee
 * if its class is TG_CLASS_GUARANTEED, workspace and AZ match, each task fits
 * and enough tasks of the guarantee are unused.
 */
struct tg_guarantee {
	const char *workspace, *az;
	int32_t tasks, accelerators_per_task;
	bool within_rack;
	int64_t lapses_ms; /* INT64_MAX: does not lapse */
};

struct tg_job_spec {
	const char *name, *workspace;
	const char *az; /* "any" for any */
	enum tg_job_class class;
	int32_t tasks;
	int32_t accelerators_per_task, cores_per_task, memory_gb_per_task;
	bool within_rack; /* required; otherwise adjacency is preferred */
	int64_t declared_ms;
	int64_t submitted_ms;
};

enum tg_action_kind {
	TG_ACT_START, /* start the gang on .workers */
	TG_ACT_RECLAIM, /* checkpoint and stop the job for .beneficiary */
	TG_ACT_PARK, /* the job failed too often */
	TG_ACT_QUARANTINE, /* .workers[0] fails everything */
};

/**
 * struct tg_action - one action
 * @job: name of the job
 * @workers: for TG_ACT_START one worker id for each task, in order of the
 *	task's index
 * @reason: one line for operators
 * @beneficiary: for TG_ACT_RECLAIM, job that needs the place; empty for a move:
 *	the job itself starts elsewhere once tg_fleet_job_stopped() was called
 *
 * Pointers are valid until the next call of a mutator or of tg_decide().
 */
struct tg_action {
	enum tg_action_kind kind;
	const char *job;
	const int32_t *workers;
	int32_t n_workers;
	char reason[160];
	char beneficiary[TG_NAME_MAX + 1];
};

struct tg_fleet *tg_fleet_new(const struct tg_fleet_opts *opts);
void tg_fleet_free(struct tg_fleet *f);

/* --- workers --- */

/** tg_fleet_add_worker() - id of the worker; the same id for the same name */
int32_t tg_fleet_add_worker(struct tg_fleet *f,
			    const struct tg_worker_spec *spec);
/** tg_fleet_worker() - id of a name, or -1 */
int32_t tg_fleet_find_worker(const struct tg_fleet *f, const char *name);
const char *tg_fleet_worker_name(const struct tg_fleet *f, int32_t id);
size_t tg_fleet_n_workers(const struct tg_fleet *f);
enum tg_worker_health tg_fleet_worker_health(const struct tg_fleet *f,
					     int32_t id);
/**
 * tg_fleet_set_health() - record the health of a worker
 *
 * With TG_WORKER_DOWN the caller records the loss of each job that ran there
 * by tg_fleet_job_stopped().
 */
void tg_fleet_set_health(struct tg_fleet *f, int32_t id,
			 enum tg_worker_health health, int64_t now_ms);

/* --- guarantees --- */

/**
 * tg_fleet_set_guarantees() - replace all guarantees
 * @findings: one for each guarantee that doesn't fit together with the others,
 *	with its place "workspace/N"; may be NULL.  With findings nothing is
 *	changed unless @force.
 * @force: take them even so (the fleet has lost workers, say); those that
 *	don't fit are at risk
 *
 * Return: 0, or -1 with findings.
 */
int tg_fleet_set_guarantees(struct tg_fleet *f, const struct tg_guarantee *g,
			    size_t n, int64_t now_ms, bool force,
			    struct tg_findings *findings);
/** struct tg_guarantee_status - state of one guarantee */
struct tg_guarantee_status {
	struct tg_guarantee g;
	bool lapsed;
	bool at_risk; /* the plan has no place for it now */
	int32_t used_tasks; /* by jobs of the workspace within the guarantee */
	int32_t lent_accelerators; /* of its planned place, to lent work */
};
size_t tg_fleet_n_guarantees(const struct tg_fleet *f);
void tg_fleet_guarantee(const struct tg_fleet *f, size_t i, int64_t now_ms,
			struct tg_guarantee_status *out);
/** tg_fleet_set_quota() - accelerators of a workspace at once; 0: no limit */
void tg_fleet_set_quota(struct tg_fleet *f, const char *workspace,
			int32_t accelerators);

/* --- jobs --- */

/**
 * tg_fleet_submit() - add a queued job
 * @findings: reasons if it can never run, with the field as place
 *
 * Return: 0, or -1 if it is refused (it can never run on this fleet, names are
 * invalid, sizes are out of range, or the name is taken).
 */
int tg_fleet_submit(struct tg_fleet *f, const struct tg_job_spec *spec,
		    int64_t now_ms, struct tg_findings *findings);
/**
 * tg_fleet_adopt() - record a job that runs already, after a takeover
 *
 * The plan makes room for it in the next tg_decide(); the status of guarantees
 * is up to date after that.
 *
 * @workers: one id for each task
 * @started_ms: when it started
 */
int tg_fleet_adopt(struct tg_fleet *f, const struct tg_job_spec *spec,
		   const int32_t *workers, int64_t started_ms);
/** tg_fleet_cancel() - forget a job in any state and free its place */
void tg_fleet_cancel(struct tg_fleet *f, const char *job, int64_t now_ms);
/**
 * tg_fleet_job_done() - the job has completed
 * @ran_ms: its whole run time over all attempts, from which the declared times
 *	of the workspace are corrected
 */
void tg_fleet_job_done(struct tg_fleet *f, const char *job, int64_t now_ms,
		       int64_t ran_ms);

enum tg_stop_cause {
	TG_STOP_RECLAIMED, /* by TG_ACT_RECLAIM */
	TG_STOP_WORKER_LOST,
	TG_STOP_TASK_FAILED,
	TG_STOP_START_REFUSED, /* a reservation was refused; nothing ran */
};

/**
 * tg_fleet_job_stopped() - a started job no longer runs and is queued again
 * @worker: id of the worker at fault for TG_STOP_TASK_FAILED and
 *	TG_STOP_START_REFUSED, else -1
 * @done_ms: run time kept by the last checkpoint of the whole gang
 */
void tg_fleet_job_stopped(struct tg_fleet *f, const char *job,
			  enum tg_stop_cause cause, int32_t worker,
			  int64_t now_ms, int64_t done_ms);

/* --- decisions --- */

/**
 * tg_decide() - decide
 * @max: limit of actions in this round
 *
 * The library counts a start or reclaim as under way from now on, until
 * tg_fleet_job_stopped(), _done() or _cancel().  Call again after the actions
 * were started: fewer than @max actions mean that nothing more can be decided
 * now.
 *
 * Return: number of actions in @out.
 */
size_t tg_decide(struct tg_fleet *f, int64_t now_ms, struct tg_action *out,
		 size_t max);
/** tg_fleet_next_ms() - when time alone will allow a decision; INT64_MAX: never
 */
int64_t tg_fleet_next_ms(const struct tg_fleet *f, int64_t now_ms);
/**
 * tg_fleet_explain() - why a job waits, runs where it runs, or was stopped
 * @out: text of several lines, from the state and the ring of last actions
 *
 * Return: 0, or -1 if the job is not known.
 */
int tg_fleet_explain(const struct tg_fleet *f, const char *job, int64_t now_ms,
		     char *out, size_t size);

/** struct tg_fleet_stats - figures of the moment */
struct tg_fleet_stats {
	int64_t accelerators, accelerators_free, accelerators_up;
	int64_t accelerators_stranded; /* free, but can't serve the largest
					  guaranteed shape */
	/* Lower bounds of it: the same free accelerators packed perfectly
	   within their AZs, and all of them in one AZ. */
	int64_t accelerators_stranded_packed, accelerators_stranded_gathered;
	size_t jobs_queued, jobs_running, jobs_parked;
	size_t guarantees_at_risk;
};
void tg_fleet_stats(const struct tg_fleet *f, int64_t now_ms,
		    struct tg_fleet_stats *out);

#endif
