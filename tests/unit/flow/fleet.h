#ifndef TEST_FLEET_H
#define TEST_FLEET_H

#include "flow/flow.h"

/*
 * A fleet for tests of the flow engine: collects the orders of a round, and
 * checks what workers would see.
 */

#define ORDERS_MAX 4096
#define STOP_MS 900
#define RECLAIM_MS 3400

struct start_order {
	char job[FLOW_JOB_LEN + 1], worker[TG_NAME_MAX + 1];
	char saved[FLOW_SAVED_LEN + 1];
	int32_t occurrence, step, index, run;
};

struct orders {
	struct start_order starts[ORDERS_MAX], stops[ORDERS_MAX];
	int n_starts, n_stops;
};

/** fleet_new() - no workers; the queues "urgent", "normal" and "low" */
struct flow *fleet_new(void);
/** fleet_queue() - a queue of the service "s" with @priority, 3 attempts */
struct flow_queue fleet_queue(const char *name, int32_t priority);
/** fleet_add_worker() - listed, of service "s" */
void fleet_add_worker(struct flow *f, const char *id, const char *rack,
		      int32_t accelerators);
/** fleet_spec() - one step of @tasks with @accelerators each */
struct flow_spec *fleet_new_spec(int32_t tasks, int32_t accelerators,
				 bool gang);
void fleet_add_job(struct flow *f, const char *id, const char *queue,
		   struct flow_spec *spec, int64_t accepted_ms);
/** fleet_decide() - a round; the orders of before are forgotten */
void fleet_decide(struct flow *f, struct orders *o, int64_t now_ms);
struct flow_ref fleet_run_ref(const struct start_order *s);
/** fleet_confirm() - all starts of @o were carried out */
void fleet_confirm_starts(struct flow *f, const struct orders *o,
			  int64_t now_ms);
void fleet_end_run(struct flow *f, const struct start_order *s,
		   enum flow_how how, int64_t now_ms);

#endif
