#ifndef TG_FLOW_SPEC_H
#define TG_FLOW_SPEC_H

#include <jansson.h>

#include "base/base.h"

/**
 * DOC: specification of a job of dependent steps
 *
 * A job consists of steps, a step of tasks with the same resource demand.  The
 * store keeps the JSON form of flow_spec_encode().
 */

#define FLOW_JOB_ID_LEN 16
#define FLOW_CHECKPOINT_LEN 63
#define FLOW_STEPS_MAX 64
#define FLOW_TASKS_MAX 20000 /* of a job, over all occurrences */
#define FLOW_TEXT_MAX 4000
#define FLOW_LABELS_MAX 8 /* of a worker */

/** struct flow_shape - demand of a task, or capacity of a worker */
struct flow_shape {
	int64_t cpu_millicores, memory_mb, accelerators;
};

/**
 * struct flow_step - tasks with the same demand
 * @after: indexes of the steps whose tasks must all be done before this one
 *	starts
 * @declared_ms: caller's estimate of the run time of one task
 * @gang: all tasks run at the same time or none does
 * @within_rack: the gang runs slower if it spans racks
 * @label: label that the worker must have; NULL for any worker
 * @data_rack: rack on which the tasks run faster; NULL for none
 * @image: what the tasks run; NULL if it is not known
 * @per_worker_max: most tasks of the step on one worker; 0 for no limit
 * @checkpoints: a stopped task can resume from its checkpoint
 * @duplicates: several copies of a task may run at the same time
 * @endless: the tasks run until the job is cancelled
 * @filler: the tasks use idle processor time only, so that their processor
 *	demand isn't counted against the worker's capacity
 * @absent_max: most tasks of an endless step that the scheduler's own decisions
 *	may keep from running at a time
 */
struct flow_step {
	int32_t tasks;
	struct flow_shape shape;
	int64_t declared_ms;
	int32_t after[FLOW_STEPS_MAX];
	int32_t n_after;
	bool gang, within_rack, checkpoints, duplicates, endless, filler;
	char *label, *data_rack, *image;
	int32_t per_worker_max, absent_max;
	int64_t latency_target_ms;
};

/**
 * struct flow_spec - a job
 * @text: passed to each task unchanged
 * @times: number of occurrences; occurrence K (from 0) is due at
 *	@first_wall_ms + K x @interval_ms.  0 for a job that runs once, as soon
 *	as it can.
 */
struct flow_spec {
	char *text;
	int32_t n_steps;
	struct flow_step *steps;
	int32_t times;
	int64_t first_wall_ms, interval_ms;
};

/**
 * flow_spec_check() - add a finding for each error in a specification
 *
 * Errors are values out of range and steps that depend on themselves or on
 * later steps.
 */
void flow_spec_check(const struct flow_spec *s, struct tg_findings *f);
/** flow_spec_occurrences() - number of occurrences, at least 1 */
int32_t flow_spec_occurrences(const struct flow_spec *s);
/** flow_spec_tasks() - number of tasks over all occurrences */
int64_t flow_spec_tasks(const struct flow_spec *s);
/** flow_spec_encode() - return a new reference */
json_t *flow_spec_encode(const struct flow_spec *s);
/** flow_spec_decode() - NULL unless @j is a valid specification */
struct flow_spec *flow_spec_decode(const json_t *j);
/** flow_spec_free() - does nothing if @s is NULL */
void flow_spec_free(struct flow_spec *s);

#endif
