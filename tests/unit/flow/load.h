#ifndef TEST_LOAD_H
#define TEST_LOAD_H

#include <check.h>

#include "fleet.h"

/*
 * Simulates a load on the flow engine: jobs arrive at at_ms, each task runs for
 * the run_ms of its job, and a stopped run ends after STOP_DURATION_MS.
 */

#define STOP_DURATION_MS 400
#define LOAD_STEP_MS 50
#define LOAD_JOBS_MAX 1024
#define LOAD_RUNS_MAX 1024

/**
 * struct load_job - a job of one step
 * @declared_ms: its caller's estimate of @run_ms, and equal to it at first
 * @spread_ms: the tasks of a job that is no gang take up to this much longer
 * @stop_step_ms: a stop of a task takes this much longer than of the one before
 * @shape: of a task
 * @running: result: number of runs that have not ended
 * @start_ms: result: start of its first task; -1 if none has started
 * @starts: result: number of runs
 * @stops: result: number of runs that were stopped
 * @done: result: number of tasks that are done
 */
struct load_job {
	char id[FLOW_JOB_ID_LEN + 1];
	const char *queue;
	int64_t at_ms, run_ms, declared_ms, spread_ms, stop_step_ms;
	int32_t tasks, accelerators;
	struct flow_shape shape;
	bool gang, within_rack;
	int64_t start_ms;
	int32_t running, starts, stops, done;
};

struct load_run {
	struct start_order order;
	struct load_job *job;
	int64_t end_ms;
	bool stopped;
};

/**
 * struct load - a load and the state of its simulation
 * @write: writes all progress that has changed; NULL if nobody will read it
 */
struct load {
	struct flow *f;
	void (*write)(struct load *l);
	struct load_job jobs[LOAD_JOBS_MAX];
	int n_jobs;
	struct load_run runs[LOAD_RUNS_MAX];
	int n_runs;
	int64_t now_ms;
};

/** load_add() - add a job of one step that arrives at @at_ms */
struct load_job *load_add(struct load *l, const char *queue, int64_t at_ms,
			  int32_t tasks, int32_t accelerators, int64_t run_ms);
/** load_advance() - simulate until @until_ms in steps of LOAD_STEP_MS */
void load_advance(struct load *l, int64_t until_ms);
/** load_accelerators_in_use() - by all runs, also those being stopped */
int32_t load_accelerators_in_use(const struct load *l);

/** load_submit() - add the jobs that have arrived to an engine without them */
void load_submit(struct load *l);

/** load_tcase() - tests of the scheduling under load */
TCase *load_tcase(void);

#endif
