#ifndef TEST_FLEET_H
#define TEST_FLEET_H

#include <check.h>

#include "flow/flow.h"

/*
 * Simulated workers for tests of the flow engine: collects the orders of a
 * round and reports their outcomes.
 */

#define ORDERS_MAX 4096
#define STOP_MS 900
#define RECLAIM_MS 3400

struct start_order {
	char job[FLOW_JOB_ID_LEN + 1], worker[TG_KEY_MAX + 1];
	char saved[FLOW_CHECKPOINT_LEN + 1];
	int32_t occurrence, step, index, run;
};

struct orders {
	struct start_order starts[ORDERS_MAX], stops[ORDERS_MAX];
	int n_starts, n_stops;
};

/** fleet_new() - an engine with queues "urgent", "normal", "low", no workers */
struct flow *fleet_new(void);
/** fleet_queue() - settings of a queue of service "s" with 3 attempts */
struct flow_queue fleet_queue(const char *name, int32_t priority);
/** fleet_add_worker() - add a worker of service "s" that has listed its runs */
void fleet_add_worker(struct flow *f, const char *id, const char *rack,
		      int32_t accelerators);
/** fleet_task_shape() - demand of a task of fleet_new_spec() */
struct flow_shape fleet_task_shape(int32_t accelerators);
/** fleet_new_spec() - a job of one step: @tasks with @accelerators each */
struct flow_spec *fleet_new_spec(int32_t tasks, int32_t accelerators,
				 bool gang);
void fleet_add_job(struct flow *f, const char *id, const char *queue,
		   struct flow_spec *spec, int64_t accepted_ms);
/** fleet_decide_unwritten() - run a round; @o then holds its orders only */
void fleet_decide_unwritten(struct flow *f, struct orders *o, int64_t now_ms);
/** fleet_write() - write all progress that has changed */
void fleet_write(struct flow *f);
/** fleet_start_recorded() - start recorded runs; @o holds these orders only */
void fleet_start_recorded(struct flow *f, struct orders *o, int64_t now_ms);
/**
 * fleet_decide() - run a round, write progress, and start what it decided on
 *
 * @o then holds the orders of all that.
 */
void fleet_decide(struct flow *f, struct orders *o, int64_t now_ms);
struct flow_run_ref fleet_run_ref(const struct start_order *s);
/** fleet_confirm_starts() - report that all start orders were carried out */
void fleet_confirm_starts(struct flow *f, const struct orders *o,
			  int64_t now_ms);
/** fleet_end_run() - report the end of a run, without a checkpoint */
void fleet_end_run(struct flow *f, const struct start_order *s,
		   enum flow_run_result how, int64_t now_ms);

/** crash_tcase() - tests of test-crash.c */
TCase *crash_tcase(void);
/** drain_tcase() - tests of test-drain.c */
TCase *drain_tcase(void);
/** evacuate_tcase() - tests of test-evacuate.c */
TCase *evacuate_tcase(void);
/** kept_tcase() - tests of test-kept.c */
TCase *kept_tcase(void);
/** loans_tcase() - tests of test-loans.c */
TCase *loans_tcase(void);
/** names_tcase() - tests of test-names.c */
TCase *names_tcase(void);
/** occurrences_tcase() - tests of test-occurrences.c */
TCase *occurrences_tcase(void);
/** plan_tcase() - tests of test-plan.c */
TCase *plan_tcase(void);
/** record_tcase() - tests of test-record.c */
TCase *record_tcase(void);
/** takeover_tcase() - tests of test-takeover.c */
TCase *takeover_tcase(void);
/** unconfirmed_tcase() - tests of test-unconfirmed.c */
TCase *unconfirmed_tcase(void);
/** unused_tcase() - tests of test-unused.c */
TCase *unused_tcase(void);
/** begun_tcase() - tests of test-begun.c */
TCase *begun_tcase(void);
/** capacity_tcase() - tests of test-capacity.c */
TCase *capacity_tcase(void);
/** index_tcase() - tests of test-index.c on a fleet of their own */
TCase *index_tcase(void);
/** fleet_size_tcase() - tests of test-index.c that compare fleets */
TCase *fleet_size_tcase(void);

#endif
