#ifndef TG_DECIDE_H
#define TG_DECIDE_H

#include "base/base.h"

/**
 * DOC: scheduling decisions
 *
 * This library decides on the placement and the order of jobs, on guarantees
 * and on which jobs are stopped to reclaim their accelerators.  It does no I/O
 * and reads no clock.  The caller records events of the fleet, tg_decide()
 * returns actions with their reasons, and the caller carries them out and
 * records their results.  The same events in the same order give the same
 * actions.
 *
 * Lent jobs run on idle capacity and can always be reclaimed.  Urgent jobs
 * may reclaim lent jobs and, depending on the policy, jobs of class
 * TG_CLASS_GUARANTEED that no guarantee covers.  Jobs within a guarantee may
 * reclaim lent jobs and are never reclaimed.
 *
 * All times are in milliseconds, of a clock that the caller chooses.
 */

enum tg_job_class { TG_CLASS_URGENT, TG_CLASS_GUARANTEED, TG_CLASS_LENT };

enum tg_worker_health {
	TG_WORKER_UP,
	TG_WORKER_DRAINING, /* keeps its tasks, gets no new ones */
	TG_WORKER_DOWN, /* its tasks are lost */
	TG_WORKER_QUARANTINED, /* too many jobs failed on it; gets no new tasks
				*/
};

struct tg_fleet;

/**
 * struct tg_policy - what varies between policies
 *
 * Defined in lib/decide; listed by tg_policy_find() and tg_policy_names().
 */
struct tg_policy;
/** tg_policy_find() - policy with this name, or NULL */
const struct tg_policy *tg_policy_find(const char *name);
/**
 * tg_policy_names() - names of all policies
 *
 * Return: static array that ends with NULL.  The baselines, which serve for
 * comparison, come first.
 */
const char *const *tg_policy_names(void);

/**
 * struct tg_fleet_opts - options of a fleet
 * @policy: NULL for "completion"
 * @weight_completion: weight of short completion times, 0..100
 * @weight_fragmentation: weight of low fragmentation, 0..100; if both weights
 *	are 0, those of the policy apply
 * @quarantine_percent: largest share of an AZ's workers that may be
 *	quarantined, in percent; 0 for 10.  One worker always may.
 * @worker_failures: number of different jobs that have to fail on a worker,
 *	without one that completes there, to quarantine it; 0 for 3, at most 8
 * @job_failures: number of different workers on which a job has to fail to be
 *	parked; 0 for 3, at most 8
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
 * struct tg_guarantee - tasks that a workspace can run at any time
 *
 * The capacity for these tasks is kept idle or used by jobs that can be
 * reclaimed.  A task may use as many cores and as much memory as correspond to
 * its accelerators on the worker of the AZ where this share is smallest.  A job
 * is within a guarantee if its class is TG_CLASS_GUARANTEED, workspace and AZ
 * match, each task fits and enough tasks of the guarantee are unused.
 */
struct tg_guarantee {
	const char *workspace, *az;
	int32_t tasks, accelerators_per_task;
	bool within_rack; /* all tasks in one rack */
	int64_t lapses_ms; /* when it ends; INT64_MAX: never */
};

struct tg_job_spec {
	const char *name, *workspace;
	const char *az; /* "any" for any */
	enum tg_job_class class;
	int32_t tasks;
	int32_t accelerators_per_task, cores_per_task, memory_gb_per_task;
	bool within_rack; /* one rack is required, not just preferred */
	int64_t declared_ms; /* expected run time as the user states it */
	int64_t submitted_ms;
};

enum tg_action_kind {
	TG_ACT_START, /* start all tasks of the job on .workers */
	TG_ACT_RECLAIM, /* checkpoint and stop the job for .beneficiary */
	TG_ACT_PARK, /* the job failed too often; it is not started again */
	TG_ACT_QUARANTINE, /* too many jobs failed on .workers[0] */
};

/**
 * struct tg_action - one action
 * @job: name of the job; NULL for TG_ACT_QUARANTINE
 * @workers: for TG_ACT_START one worker id for each task, in order of the
 *	task's index; for TG_ACT_QUARANTINE the worker
 * @reason: one line for operators
 * @beneficiary: for TG_ACT_RECLAIM, the job that needs the capacity; empty if
 *	the reclaimed job is moved, that is starts on other workers once
 *	tg_fleet_job_stopped() was called
 *
 * Pointers are valid until the next call of a function that changes the fleet,
 * such as tg_decide().
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

/**
 * tg_fleet_add_worker() - add a worker, unless one with this name exists
 *
 * Return: id of the worker.  Ids count from 0.
 */
int32_t tg_fleet_add_worker(struct tg_fleet *f,
			    const struct tg_worker_spec *spec);
/** tg_fleet_find_worker() - id of the worker with this name, or -1 */
int32_t tg_fleet_find_worker(const struct tg_fleet *f, const char *name);
const char *tg_fleet_worker_name(const struct tg_fleet *f, int32_t id);
size_t tg_fleet_n_workers(const struct tg_fleet *f);
enum tg_worker_health tg_fleet_worker_health(const struct tg_fleet *f,
					     int32_t id);
/**
 * tg_fleet_set_worker_health() - record the health of a worker
 *
 * For TG_WORKER_DOWN the caller also has to call tg_fleet_job_stopped() for
 * each job that ran there.
 */
void tg_fleet_set_worker_health(struct tg_fleet *f, int32_t id,
				enum tg_worker_health health, int64_t now_ms);

/* --- guarantees --- */

/**
 * tg_fleet_set_guarantees() - replace all guarantees
 * @force: replace them even if some don't fit, for example since workers were
 *	lost; those that don't fit are at risk, invalid ones are left out
 * @findings: receives one finding for each guarantee that is invalid or doesn't
 *	fit together with the others, with "workspace/N" as place, where N is
 *	its index in @g; may be NULL
 *
 * Return: 0 if the guarantees were replaced, else -1 with findings.  With
 *@force they are always replaced, whatever is returned.
 */
int tg_fleet_set_guarantees(struct tg_fleet *f, const struct tg_guarantee *g,
			    size_t n, int64_t now_ms, bool force,
			    struct tg_findings *findings);
struct tg_guarantee_status {
	struct tg_guarantee g;
	bool lapsed;
	bool at_risk; /* not all its tasks could be placed */
	int32_t used_tasks; /* by jobs of the workspace within the guarantee */
	int32_t lent_accelerators; /* of unused tasks, used by lent jobs */
};
size_t tg_fleet_n_guarantees(const struct tg_fleet *f);
void tg_fleet_guarantee_status(const struct tg_fleet *f, size_t i,
			       int64_t now_ms, struct tg_guarantee_status *out);
/**
 * tg_fleet_set_quota() - limit the accelerators that a workspace uses at once
 *
 * Jobs within guarantees count, but start regardless of it.  0 means no limit.
 */
void tg_fleet_set_quota(struct tg_fleet *f, const char *workspace,
			int32_t accelerators);

/* --- jobs --- */

/**
 * tg_fleet_submit_job() - add a queued job
 * @findings: receives the reasons of a refusal, with the name of the field as
 *	place; may be NULL
 *
 * Return: 0, or -1 if the job is refused: it can never run on this fleet, a
 * field is invalid, or the name is taken.
 */
int tg_fleet_submit_job(struct tg_fleet *f, const struct tg_job_spec *spec,
			int64_t now_ms, struct tg_findings *findings);
/**
 * tg_fleet_adopt_job() - add a job that runs already, after a takeover
 * @workers: one worker id for each task, all in one AZ
 * @started_ms: when it started
 *
 * The next tg_decide() places the guarantees around the job.  Only after that
 * the status of guarantees is up to date.
 *
 * Return: 0, or -1 if the job or its workers are invalid.
 */
int tg_fleet_adopt_job(struct tg_fleet *f, const struct tg_job_spec *spec,
		       const int32_t *workers, int64_t started_ms);
/** tg_fleet_cancel_job() - remove a job in any state; no effect if not known */
void tg_fleet_cancel_job(struct tg_fleet *f, const char *job, int64_t now_ms);
/**
 * tg_fleet_job_done() - remove a job that has completed
 * @ran_ms: its run time over all attempts together; corrects how the declared
 *	times of later jobs of the workspace are taken
 */
void tg_fleet_job_done(struct tg_fleet *f, const char *job, int64_t now_ms,
		       int64_t ran_ms);

enum tg_stop_cause {
	TG_STOP_RECLAIMED, /* by TG_ACT_RECLAIM */
	TG_STOP_WORKER_LOST,
	TG_STOP_TASK_FAILED,
	TG_STOP_START_REFUSED, /* a worker refused its task; nothing ran */
};

/**
 * tg_fleet_job_stopped() - record that a started job no longer runs
 * @worker: for TG_STOP_TASK_FAILED and TG_STOP_START_REFUSED the id of the
 *	worker that failed or refused the task, else -1
 * @done_ms: run time that the last checkpoint of all tasks preserves
 *
 * The job is queued again, moved or parked.  No effect if it was not started.
 */
void tg_fleet_job_stopped(struct tg_fleet *f, const char *job,
			  enum tg_stop_cause cause, int32_t worker,
			  int64_t now_ms, int64_t done_ms);

/* --- decisions --- */

/**
 * tg_decide() - decide which actions to take now
 * @max: size of @out
 *
 * From then on the library regards the actions as under way, until the caller
 * records the end of a job by tg_fleet_job_stopped(), tg_fleet_job_done() or
 * tg_fleet_cancel_job().  The caller should begin the actions and call again;
 * fewer than @max actions mean that there is nothing more to do now.
 *
 * Return: number of actions in @out.
 */
size_t tg_decide(struct tg_fleet *f, int64_t now_ms, struct tg_action *out,
		 size_t max);
/**
 * tg_fleet_next_decision_ms() - when to call tg_decide() again if nothing else
 * happens
 *
 * Return: a time not before @now_ms, or INT64_MAX for never.
 */
int64_t tg_fleet_next_decision_ms(const struct tg_fleet *f, int64_t now_ms);
/**
 * tg_fleet_explain_job() - explain the state of a job and recent actions on it
 * @out: receives text of several lines, truncated to @size
 *
 * Return: 0, or -1 if the job is not known.
 */
int tg_fleet_explain_job(const struct tg_fleet *f, const char *job,
			 int64_t now_ms, char *out, size_t size);

/**
 * struct tg_fleet_stats - current figures of a fleet
 *
 * Free accelerators are idle ones on workers that are up.  A free accelerator
 * is stranded if it can't be used by an instance of the largest guaranteed
 * shape, or if nothing is guaranteed, by a task that takes all accelerators of
 * the largest worker.
 */
struct tg_fleet_stats {
	int64_t accelerators, accelerators_free;
	int64_t accelerators_not_down; /* of workers in any other state */
	int64_t accelerators_stranded;
	/* Lower bounds of accelerators_stranded: if the free accelerators of
	   each AZ were not fragmented, and if moreover all were in one AZ. */
	int64_t accelerators_stranded_packed, accelerators_stranded_gathered;
	size_t jobs_queued, jobs_running, jobs_parked;
	size_t guarantees_at_risk;
};
void tg_fleet_stats(const struct tg_fleet *f, int64_t now_ms,
		    struct tg_fleet_stats *out);

#endif
