#include <math.h>
#include <string.h>

#include "decide/internal.h"

static double key_fifo(const struct tg_fleet *f, const struct job *j)
{
	(void)f;
	return (double)j->seq;
}

static int64_t declared_run_ms(const struct job *j)
{
	return j->declared_ms > 0 ? j->declared_ms : 1;
}

/*
 * Completed jobs of a workspace after which half of the measured correction of
 * its declared run times is applied.
 */
#define HALF_CORRECTION_JOBS 3.0

static int64_t corrected_run_ms(const struct job *j)
{
	double n = (double)j->ws->finished;
	double ratio =
		exp(j->ws->log_runtime_ratio * n / (n + HALF_CORRECTION_JOBS));
	double ms = (double)declared_run_ms(j) * ratio;

	return ms < 1 ? 1 : ms > 1e15 ? (int64_t)1e15 : (int64_t)ms;
}

/*
 * Shorter jobs may overtake a job if they are submitted within AGING_FACTOR
 * times its expected run time after it.  The key depends on run time and not on
 * accelerator time: with the latter, large jobs were left for the end of a
 * trace, where they leave more capacity unused.
 */
#define AGING_FACTOR 20.0

static double key_shortest_first_aged(const struct tg_fleet *f,
				      const struct job *j)
{
	return (double)j->submitted_ms +
		AGING_FACTOR * (double)job_remaining_ms(f, j, j->submitted_ms);
}

static double rack_cost_best_fit(const struct tg_fleet *f, const struct job *j,
				 const struct rack *r, int32_t tasks)
{
	(void)f;
	(void)j;
	(void)tasks;
	return r->idle_acc;
}

static double worker_cost_best_fit(const struct tg_fleet *f,
				   const struct job *j, const struct worker *w)
{
	(void)f;
	(void)j;
	return idle_capacity(w).acc;
}

static double victim_cost_lost_work(const struct tg_fleet *f,
				    const struct job *j, int64_t now_ms)
{
	(void)f;
	return (double)(now_ms - j->started_ms + 1) * (double)(job_acc(j) + 1);
}

/*
 * The accelerator time since the start is an upper bound of the work that a
 * stop loses.  The added time makes the size count among jobs that have just
 * started, because stopping a large job fragments more capacity.
 */
#define VICTIM_SIZE_MS 600000.0

static double victim_cost_lost_work_and_size(const struct tg_fleet *f,
					     const struct job *j,
					     int64_t now_ms)
{
	(void)f;
	return ((double)(now_ms - j->started_ms) + VICTIM_SIZE_MS) *
		(double)(job_acc(j) + 1);
}

/*
 * How much the placement lowers the rack's score for the largest guaranteed
 * shape, if it uses workers that can't hold a task of that shape first.  Among
 * equals the rack with the fewest idle accelerators is cheapest.
 */
static double rack_cost_fragmentation(const struct tg_fleet *f,
				      const struct job *j, const struct rack *r,
				      int32_t tasks)
{
	int32_t i, n, shape_workers = 0, other_tasks = 0, tasks_per_worker,
		      used = 0;

	if (!j->need.acc)
		return r->idle_acc;
	for (i = 0; i < r->n_workers; i++) {
		const struct worker *w = &f->workers[r->workers[i]];
		struct res idle = capacity_of(w, CAPACITY_IDLE);

		if (worker_fits_shape(f, w))
			shape_workers++;
		else
			other_tasks += res_count(j->need, idle, tasks);
	}
	tasks_per_worker = max32(1, f->shape.acc / j->need.acc);
	n = max32(0, tasks - other_tasks);
	used = min32(shape_workers,
		     (n + tasks_per_worker - 1) / tasks_per_worker);
	return (rack_score(f, shape_workers) -
		rack_score(f, shape_workers - used)) *
		1e6 +
		r->idle_acc;
}

/*
 * Workers that can't hold a task of the shape are cheapest, and among them
 * those with the fewest idle accelerators.
 */
static double worker_cost_fragmentation(const struct tg_fleet *f,
					const struct job *j,
					const struct worker *w)
{
	struct res idle = idle_capacity(w);
	bool fits = f->shape.acc && res_fits(f->shape, idle);

	/* Lent jobs prefer capacity that only lent jobs can use. */
	return (fits ? 1e6 : 0) + idle.acc * 1e3 +
		(j->class == TG_CLASS_LENT ? uncommitted_capacity(w).acc : 0);
}

/* Policies that differ in their weights only; the others are baselines. */
#define WEIGHTED_POLICY(policy, completion, fragmentation)                   \
	.name = (policy), .weight_completion = (completion),                 \
	.weight_fragmentation = (fragmentation),                             \
	.key = key_shortest_first_aged, .expected_run_ms = corrected_run_ms, \
	.rack_cost = rack_cost_fragmentation,                                \
	.worker_cost = worker_cost_fragmentation,                            \
	.victim_cost = victim_cost_lost_work_and_size, .reserve_after = 60,  \
	.defrag_period_ms = 20000, .keep_free_ms = 60000000,                 \
	.fullest_az_first = true, .urgent_reclaims_uncovered = true

static const struct tg_policy policies[] = {
	{
		.name = "fifo-firstfit",
		.key = key_fifo,
		.expected_run_ms = declared_run_ms,
		.victim_cost = victim_cost_lost_work,
		.strict_order = true,
	},
	{
		.name = "fifo-bestfit",
		.key = key_fifo,
		.expected_run_ms = declared_run_ms,
		.rack_cost = rack_cost_best_fit,
		.worker_cost = worker_cost_best_fit,
		.victim_cost = victim_cost_lost_work,
		.strict_order = true,
	},
	{
		.name = "backfill-declared",
		.key = key_fifo,
		.expected_run_ms = declared_run_ms,
		.victim_cost = victim_cost_lost_work,
	},
	{ WEIGHTED_POLICY("completion", 80, 20) },
	{ WEIGHTED_POLICY("fragmentation", 20, 80) },
};

static const char *const policy_names[] = {
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
	return policy_names;
}
