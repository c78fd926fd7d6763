#ifndef TEST_DRAWN_LOAD_H
#define TEST_DRAWN_LOAD_H

#include "load.h"
#include "record-store.h"

/*
 * A drawn load on a fleet whose workers drain, go once they are idle, and come
 * back.
 */

#define DRAWN_RACKS 4
#define DRAWN_WORKERS 24
#define DRAWN_ACCELERATORS 8
#define DRAWN_BACKLOG_TASKS 64

/**
 * struct drawn_opts - what is drawn
 * @workers: number of workers
 * @workers_min: at least as many take orders
 * @come_back: workers that have gone may come back
 * @until_ms: jobs arrive and workers drain and come back until then
 * @overrun: one job of twelve takes this many times its declared time
 * @gangs: number of gangs
 * @gang_tasks_max: most tasks of a gang
 * @single_jobs: number of jobs that are no gangs
 * @urgent_jobs: number of urgent gangs
 * @owners: number of owners, one after the other
 */
struct drawn_opts {
	int workers, workers_min;
	bool come_back;
	int64_t until_ms;
	int overrun;
	int gangs, gang_tasks_max, single_jobs, urgent_jobs, owners;
};

struct drawn_worker {
	bool present, draining;
	struct flow_shape capacity, used;
};

/**
 * struct drawn_load - a drawn load and its fleet
 * @drained_ms: result: when a worker began to drain last; 0 for never
 * @takeovers: result: number of changes of the owner
 */
struct drawn_load {
	struct load load;
	struct drawn_opts opts;
	struct tg_rng rng;
	struct drawn_worker workers[DRAWN_WORKERS];
	struct record_store store;
	int64_t drained_ms;
	int takeovers;
};

/** drawn_load_new() - draw a load; drawn_load_free() frees it */
struct drawn_load *drawn_load_new(const struct drawn_opts *opts, int seed);
void drawn_load_free(struct drawn_load *d);
/** drawn_load_add_single_tasks() - draw a job of them that arrives at @at_ms */
void drawn_load_add_single_tasks(struct drawn_load *d, int64_t at_ms);
/**
 * drawn_load_fill_backlog() - add single tasks until DRAWN_BACKLOG_TASKS wait
 */
void drawn_load_fill_backlog(struct drawn_load *d);
/** drawn_load_advance() - simulate one step of load_advance() */
void drawn_load_advance(struct drawn_load *d);
/** drawn_load_is_ready() - whether a worker takes orders */
bool drawn_load_is_ready(const struct drawn_load *d, int worker);
/** drawn_load_share_used() - share of the most used resource that runs hold */
double drawn_load_share_used(const struct drawn_load *d);
/** drawn_load_count_fits() - tasks of a job that fit into what runs leave */
int64_t drawn_load_count_fits(const struct drawn_load *d,
			      const struct load_job *j);

/** gang_wait_tcase() - tests of test-gang-wait.c */
TCase *gang_wait_tcase(void);
/** never_fits_tcase() - tests of test-never-fits.c with ordinary gangs */
TCase *never_fits_tcase(void);
/** urgent_never_fits_tcase() - tests of test-never-fits.c with urgent gangs */
TCase *urgent_never_fits_tcase(void);

#endif
