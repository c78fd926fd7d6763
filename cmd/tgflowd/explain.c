#include "board.h"

/* Tells an operator what a job has done so far and what it waits for. */

json_t *explain_job(const struct board *b, const char *job)
{
	struct flow_job_status v;
	const char *az;
	json_t *o;

	if (!flow_job_status(b->flow, job, &v))
		return NULL;
	o = json_pack("{s:s,s:b,s:I,s:I,s:I,s:I}", "state",
		      flow_state_name(v.state), "durable", v.durable, "tasks",
		      (json_int_t)v.tasks, "done", (json_int_t)v.done, "runs",
		      (json_int_t)v.runs, "failures", (json_int_t)v.failures);
	az = flow_find_evacuated_fit(b->flow, job);
	if (az)
		json_object_set_new(o, "waits_for_evacuated_az",
				    json_string(az));
	return o;
}
