#include <math.h>
#include <string.h>

#include "decide/internal.h"

static double key_fifo(const struct tg_fleet *f, const struct job *j)
{
	(void)f;
	return (double)j->seq;
}

static int64_t run_declared(const struct job *j)
{
	return j->declared_ms > 0 ? j->declared_ms : 1;
}

/* Jobs after which a workspace's correction counts half. */
#define TRUST_JOBS 3.0

static int64_t run_corrected(const struct job *j)
{
	double n = (double)j->ws->finished;
	double ratio = exp(j->ws->log_ratio * n / (n + TRUST_JOBS));
	double ms = (double)run_declared(j) * ratio;

	return ms < 1 ? 1 : ms > 1e15 ? (int64_t)1e15 : (int64_t)ms;
}

/*
 * A job may be passed by jobs submitted later, up to AGING times its own
 * expected work in accelerator-milliseconds.
 */
#define AGING 4.0

static double key_short_first(const struct tg_fleet *f, const struct job *j)
{
	double left = (double)job_remaining_ms(f, j, j->submitted_ms);
	double size = (double)job_acc(j);

	return (double)j->submitted_ms + AGING * left * (size > 1 ? size : 1);
}

static double rack_tightest(const struct tg_fleet *f, const struct job *j,
			    const struct rack *r, int32_t tasks)
{
	(void)f;
	(void)j;
	(void)tasks;
	return r->idle_acc;
}

static double worker_tightest(const struct tg_fleet *f, const struct job *j,
			      const struct worker *w)
{
	(void)f;
	(void)j;
	return room_idle(w).acc;
}

static double victim_youngest(const struct tg_fleet *f, const struct job *j,
			      int64_t now_ms)
{
	(void)f;
	return (double)(now_ms - j->started_ms + 1) * (double)(job_acc(j) + 1);
}

static const struct tg_policy policies[] = {
	{
		.name = "fifo-firstfit",
		.key = key_fifo,
		.run_ms = run_declared,
		.victim_cost = victim_youngest,
		.strict = true,
	},
	{
		.name = "fifo-bestfit",
		.key = key_fifo,
		.run_ms = run_declared,
		.rack_cost = rack_tightest,
		.worker_cost = worker_tightest,
		.victim_cost = victim_youngest,
		.strict = true,
	},
	{
		.name = "backfill-declared",
		.key = key_fifo,
		.run_ms = run_declared,
		.victim_cost = victim_youngest,
	},
	{
		.name = "completion",
		.weight_completion = 80,
		.weight_fragmentation = 20,
		.key = key_short_first,
		.run_ms = run_corrected,
		.rack_cost = rack_tightest,
		.worker_cost = worker_tightest,
		.victim_cost = victim_youngest,
		.patience = 10,
	},
	{
		.name = "fragmentation",
		.weight_completion = 20,
		.weight_fragmentation = 80,
		.key = key_short_first,
		.run_ms = run_corrected,
		.rack_cost = rack_tightest,
		.worker_cost = worker_tightest,
		.victim_cost = victim_youngest,
		.patience = 10,
	},
};

static const char *const names[] = {
	"fifo-firstfit", "fifo-bestfit",  "backfill-declared",
	"completion",	 "fragmentation", NULL,
};

const struct tg_policy *tg_policy_find(const char *name)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(policies); i++)
		if (!strcmp(policies[i].name, name))
			return &policies[i];
	return NULL;
}

const char *const *tg_policy_names(void)
{
	return names;
}
