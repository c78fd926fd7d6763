#ifndef TGPLACE_H
#define TGPLACE_H

#include <uthash.h>

#include "decide/decide.h"

/**
 * DOC: trace driver
 *
 * An event-driven simulation around the decision library.  It keeps its own
 * books of what runs where, so that its checks of guarantees and gangs do not
 * rest on the library's.
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

/** csv_fault() - add a finding for the current line */
void csv_fault(struct csv *c, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/** csv_int() - field @i as an integer in [min, max]; a finding and 0 if not */
int64_t csv_int(struct csv *c, int i, const char *name, int64_t min,
		int64_t max);
/** csv_name() - field @i, with a finding if it is not a valid name */
const char *csv_name(struct csv *c, int i, const char *name);
/**
 * csv_read() - call @row for each line with the right number of fields
 *
 * A missing file, a wrong header or a wrong number of fields is a finding.
 */
void csv_read(struct csv *c, void (*row)(struct csv *c, void *arg), void *arg);

/* --- input.c --- */

struct worker {
	char *name;
	int32_t az;
	int32_t cap[3], firm[3], lent[3]; /* accelerators, cores, memory */
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
	int32_t tasks, need[3];
	int64_t submit_ms, declared_ms, actual_ms, cancel_ms; /* or -1 */
	enum job_state state;
	uint32_t attempt;
	int32_t *workers;
	int32_t promise; /* guarantee it uses, or -1 */
	int32_t promised; /* tasks of it */
	bool counted; /* as a violation since it last ran */
	int64_t started_ms, first_start_ms, end_ms, done_ms;
	UT_hash_handle hh;
};

struct promise {
	char *workspace, *az_name;
	int32_t az, tasks;
	int32_t need[3];
	bool within_rack;
	int64_t lapses_ms;
	int32_t used; /* tasks in use, by the driver's books */
};

struct fault {
	int64_t at_ms;
	int32_t worker;
	enum { FAULT_DOWN, FAULT_UP, FAULT_FAILS_ALL } what;
};

struct input {
	struct worker *workers;
	struct job *jobs;
	struct promise *promises;
	struct fault *faults;
	int32_t n_workers, n_promises, n_racks;
	size_t n_jobs, n_faults;
	char **azs;
	int32_t n_azs;
};

struct options {
	const char *fleet, *jobs, *policy, *guarantees, *faults;
	int64_t seed;
	bool details;
};

/** input_load() - read all files; findings make the input unusable */
void input_load(struct input *in, const struct options *o,
		struct tg_findings *findings);
void input_free(struct input *in);

/* --- heap.c --- */

/* In the order in which events of one instant take effect. */
enum event_kind { E_FINISH, E_FAIL, E_FAULT, E_LAPSE, E_CANCEL, E_SUBMIT };

struct event {
	int64_t at_ms;
	enum event_kind kind;
	uint32_t attempt; /* of the job; older ones are void */
	uint64_t seq;
	size_t index; /* job, fault or worker */
	int32_t worker;
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
	size_t *waiting, n_waiting, cap_waiting; /* guaranteed jobs */
	int64_t used_acc, up_acc;
	/* figures */
	size_t submitted, completed, cancelled, refused;
	size_t violations, partial_gangs;
	double work_lost;
	double fragmentation_sum, utilization_sum, time_sum;
	size_t moves, stops_lent, stops_beyond; /* by reclaim */
	double packed_sum, gathered_sum;
	double stranded_share, used_share; /* at the last instant */
	double packed_share, gathered_share; /* with --details */
	struct tg_hist decisions;
	int64_t decide_us;
};

void sim_run(struct sim *s, struct input *in, const struct options *o);
void sim_free(struct sim *s);

/* --- promise.c --- */

/** promise_for() - guarantee with enough tasks left for the request, or -1 */
int32_t promise_for(const struct sim *s, const struct job *j);
/** promise_enter() - the job has started */
void promise_enter(struct sim *s, struct job *j);
/** promise_leave() - the job ends or stops */
void promise_leave(struct sim *s, struct job *j);
/** promise_check() - count requests of guarantees that have no place now */
void promise_check(struct sim *s);

/* --- report.c --- */

void report_print(const struct sim *s, bool details, FILE *out);

#endif
