#ifndef TGPLACE_H
#define TGPLACE_H

#include <uthash.h>

#include "decide/decide.h"

/**
 * DOC: trace driver
 *
 * A discrete-event simulation that drives the decision library with a trace.
 * It keeps its own record of the resources in use on each worker, so that its
 * checks of guarantees and gangs do not depend on the library's accounting.
 */

/* --- csv.c --- */

#define CSV_FIELDS_MAX 16

struct csv {
	const char *path;
	const char *header;
	struct tg_findings *findings;
	long line;
	char *field[CSV_FIELDS_MAX];
};

/** csv_error() - add a finding for the current line */
void csv_error(struct csv *c, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/**
 * csv_int() - field @i as an integer in [min, max]
 *
 * Return: the value; @min, with a finding added, if the field is not an integer
 * or is out of range.
 */
int64_t csv_int(struct csv *c, int i, const char *name, int64_t min,
		int64_t max);
/**
 * csv_name() - field @i as a name
 *
 * Return: the field, valid until the next line is read.  A finding is added if
 * it is not a valid name.
 */
const char *csv_name(struct csv *c, int i, const char *name);
/**
 * csv_read() - call @row for each line after the header
 *
 * A finding is added for an unreadable or empty file and a wrong header, and
 * for each line that is too long or has the wrong number of fields; such lines
 * are skipped.
 */
void csv_read(struct csv *c, void (*row)(struct csv *c, void *arg), void *arg);

/* --- input.c --- */

struct worker {
	char *name;
	int32_t az;
	/* Indexed by resource: accelerators, cores, memory in GB. */
	int32_t capacity[3], used_nonlent[3], used_lent[3];
	bool up, fails_all, quarantined;
	char *az_name, *rack;
	int32_t rack_id;
};

enum job_state {
	J_FUTURE,
	J_QUEUED,
	J_RUNNING,
	J_DONE,
	J_CANCELLED,
	J_REFUSED,
	J_PARKED,
};

struct job {
	char *name, *workspace, *az;
	enum tg_job_class class;
	int32_t tasks, per_task[3];
	int64_t submit_ms, declared_ms, actual_ms;
	int64_t cancel_ms; /* -1: never */
	enum job_state state;
	uint32_t attempt;
	int32_t *workers;
	int32_t guarantee; /* index of the guarantee charged, or -1 */
	int32_t guaranteed_tasks; /* tasks charged to it */
	bool violation_counted; /* since the job was last queued */
	int64_t started_ms, first_start_ms, end_ms;
	int64_t saved_ms; /* run time kept from earlier runs */
	UT_hash_handle hh;
};

struct guarantee {
	char *workspace, *az_name;
	int32_t az, tasks;
	int32_t per_task[3];
	bool within_rack;
	int64_t lapses_ms;
	int32_t used; /* tasks charged to it by running jobs */
};

struct fault {
	int64_t at_ms;
	int32_t worker;
	enum { FAULT_DOWN, FAULT_UP, FAULT_FAILS_ALL } what;
};

struct input {
	struct worker *workers;
	struct job *jobs;
	struct guarantee *guarantees;
	struct fault *faults;
	int32_t n_workers, n_guarantees, n_racks;
	size_t n_jobs, n_faults;
	char **azs;
	int32_t n_azs;
};

struct options {
	const char *fleet, *jobs, *policy, *guarantees, *faults;
	int64_t seed;
	bool details;
};

/**
 * input_load() - read the files named in @o
 *
 * If @findings is not empty afterwards, @in may only be freed.
 */
void input_load(struct input *in, const struct options *o,
		struct tg_findings *findings);
void input_free(struct input *in);

/* --- heap.c --- */

/* Events with the same time are handled in this order. */
enum event_kind { E_FINISH, E_FAIL, E_FAULT, E_LAPSE, E_CANCEL, E_SUBMIT };

struct event {
	int64_t at_ms;
	enum event_kind kind;
	uint32_t attempt; /* ignored if the job's attempt is newer */
	uint64_t seq; /* push order, assigned by heap_push() */
	size_t index; /* of the job or fault */
	int32_t worker; /* E_FAIL: where the task fails */
};

struct heap {
	struct event *items;
	size_t n, cap;
	uint64_t next_seq;
};

void heap_push(struct heap *h, struct event e);
struct event heap_pop(struct heap *h);

/* --- sim.c --- */

struct sim {
	struct input *in;
	struct tg_fleet *fleet;
	struct heap heap;
	struct tg_rng rng;
	int64_t now_ms, first_ms, wake_ms;
	struct job *by_name;
	size_t n_running, n_queued;
	size_t *waiting, n_waiting, cap_waiting; /* queued guaranteed jobs */
	int64_t used_accelerators, up_accelerators;
	/* results */
	size_t submitted, completed, cancelled, refused;
	size_t violations, partial_gangs;
	double work_lost;
	/* Weighted by time in ms; time_sum is the total weight. */
	double fragmentation_sum, utilization_sum, time_sum;
	/* Reclaims: without a beneficiary, of lent jobs, of other jobs. */
	size_t moves, reclaims_lent, reclaims_beyond;
	double packed_sum, gathered_sum;
	double stranded_share, used_share; /* since the last event */
	double packed_share, gathered_share; /* with --details */
	struct tg_hist decide_latency_us;
	int64_t decide_total_us;
};

void sim_run(struct sim *s, struct input *in, const struct options *o);
void sim_free(struct sim *s);

/* --- guarantee.c --- */

/**
 * guarantee_find() - guarantee that covers all tasks of a job
 *
 * Return: the index of the first guarantee in force with enough tasks left, or
 * -1.
 */
int32_t guarantee_find(const struct sim *s, const struct job *j);
/** guarantee_charge() - charge a job that has started to a guarantee */
void guarantee_charge(struct sim *s, struct job *j);
/** guarantee_release() - undo the charge of a job that ends or stops */
void guarantee_release(struct sim *s, struct job *j);
/**
 * guarantee_check() - count guarantee violations among the queued jobs
 *
 * A job is counted once each time it is queued.
 */
void guarantee_check(struct sim *s);

/* --- report.c --- */

void report_print(const struct sim *s, bool details, FILE *out);

#endif
