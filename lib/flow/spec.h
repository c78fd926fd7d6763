#ifndef TG_FLOW_SPEC_H
#define TG_FLOW_SPEC_H

#include <jansson.h>

#include "base/base.h"

/**
 * DOC: specification of a job of dependent steps
 *
 * A job has steps, a step has tasks of one shape.  The JSON form is what the
 * store keeps; see flow_spec_encode().
 */

#define FLOW_JOB_LEN 16
#define FLOW_SAVED_LEN 63
#define FLOW_STEPS_MAX 64
#define FLOW_TASKS_MAX 20000 /* of a job, all occurrences included */
#define FLOW_TEXT_MAX 4000

/** struct flow_shape - what a task takes and a worker has */
struct flow_shape {
	int64_t cpu_millicores, memory_mb, accelerators;
};

/**
 * struct flow_step - tasks of one shape
 * @after: steps all of whose tasks must be done first
 * @declared_ms: caller's estimate of the run time of one task
 * @gang: the tasks run together or not at all
 * @within_rack: slower if the gang spans racks
 * @label: label that the worker must have; empty for any
 * @data_rack: rack on which the tasks run faster; empty for none
 * @per_worker_max: tasks of the step on one worker; 0 for any number
 * @checkpoints: a stopped task can continue from its checkpoint
 * @duplicates: copies may run at the same time
 * @endless: runs until the job is cancelled
 * @filler: uses the processors that others leave idle
 * @absent_max: tasks of an endless step that may be absent by our own doing
 */
struct flow_step {
	int32_t tasks;
	struct flow_shape shape;
	int64_t declared_ms;
	int32_t after[FLOW_STEPS_MAX];
	int32_t n_after;
	bool gang, within_rack, checkpoints, duplicates, endless, filler;
	char label[TG_NAME_MAX + 1], data_rack[TG_NAME_MAX + 1];
	char image[TG_NAME_MAX + 1];
	int32_t per_worker_max, absent_max;
	int64_t latency_target_ms;
};

/**
 * struct flow_spec - a job
 * @text: passed to each task unchanged
 * @times: occurrences at @first_wall_ms + K x @interval_ms; 0 for a job that
 *	runs once, at once
 */
struct flow_spec {
	char *text;
	int32_t n_steps;
	struct flow_step *steps;
	int32_t times;
	int64_t first_wall_ms, interval_ms;
};

/**
 * flow_spec_check() - add a finding for each fault of a specification
 *
 * Refused are, besides values out of range, steps that depend on themselves or
 * on later steps.
 */
void flow_spec_check(const struct flow_spec *s, struct tg_findings *f);
/** flow_spec_occurrences() - at least 1 */
int32_t flow_spec_occurrences(const struct flow_spec *s);
int64_t flow_spec_tasks(const struct flow_spec *s);
json_t *flow_spec_encode(const struct flow_spec *s);
/** flow_spec_decode() - NULL if @j was not made by flow_spec_encode() */
struct flow_spec *flow_spec_decode(const json_t *j);
void flow_spec_free(struct flow_spec *s);

#endif
