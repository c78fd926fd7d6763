#ifndef TEST_LOAD_H
#define TEST_LOAD_H

#include <check.h>

#include "fleet.h"

/*
 * Simulates a load on the flow engine: jobs arrive at at_ms, each task runs for
 * the run_ms of its job, and a stopped run ends after STOP_DURATION_MS.
 */

#define STOP_DURATION_MS 400
#define LOAD_JOBS_MAX 512
#define LOAD_RUNS_MAX 1024

/**
 * struct load_job - a job of one step
 * @start_ms: result: start of its first task; -1 if none has started
 * @stops: result: number of runs that were stopped
 * @done: result: number of tasks that are done
 */
struct load_job {
	char id[FLOW_JOB_ID_LEN + 1];
	const char *queue;
	int64_t at_ms, run_ms;
	int32_t tasks, accelerators;
	bool gang, within_rack;
	int64_t start_ms;
	int32_t stops, done;
};

struct load_run {
	struct start_order order;
	struct load_job *job;
	int64_t end_ms;
	bool stopped;
};

struct load {
	struct flow *f;
	struct load_job jobs[LOAD_JOBS_MAX];
	int n_jobs;
	struct load_run runs[LOAD_RUNS_MAX];
	int n_runs;
	int64_t now_ms;
};

/** load_add() - add a job of one step that arrives at @at_ms */
struct load_job *load_add(struct load *l, const char *queue, int64_t at_ms,
			  int32_t tasks, int32_t accelerators, int64_t run_ms);
/** load_advance() - simulate until @until_ms in steps of 50 ms */
void load_advance(struct load *l, int64_t until_ms);
/** load_accelerators_in_use() - by all runs, also those being stopped */
int32_t load_accelerators_in_use(const struct load *l);

/** load_tcase() - tests of the scheduling under load */
TCase *load_tcase(void);

#endif
