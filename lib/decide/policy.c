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
 * expected run time.  The size does not count: with work instead of time, large
 * jobs were left for the end of a trace, where they leave more room unused.
 */
#define AGING 20.0

static double key_short_first(const struct tg_fleet *f, const struct job *j)
{
	return (double)j->submitted_ms +
		AGING * (double)job_remaining_ms(f, j, j->submitted_ms);
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

/*
 * Work since the start bounds what the stop loses.  The added time lets size
 * count among jobs that have just started: stopping a large one leaves more
 * room in pieces.
 */
#define VICTIM_SIZE_MS 600000.0

static double victim_least_lost(const struct tg_fleet *f, const struct job *j,
				int64_t now_ms)
{
	(void)f;
	return ((double)(now_ms - j->started_ms) + VICTIM_SIZE_MS) *
		(double)(job_acc(j) + 1);
}

/*
 * What the placement takes from the rack's worth for the largest guaranteed
 * shape.  Room that can't hold a task of that shape is used first; among equals
 * the rack with least idle room.
 */
static double rack_least_broken(const struct tg_fleet *f, const struct job *j,
				const struct rack *r, int32_t tasks)
{
	int32_t i, n, whole = 0, partial = 0, per_whole, broken = 0;

	if (!j->need.acc)
		return r->idle_acc;
	for (i = 0; i < r->n_workers; i++) {
		const struct worker *w = &f->workers[r->workers[i]];
		struct res room = room_of(w, VIEW_IDLE);

		if (is_whole(f, w))
			whole++;
		else
			partial += res_count(j->need, room, tasks);
	}
	per_whole = max32(1, f->shape.acc / j->need.acc);
	n = max32(0, tasks - partial);
	broken = min32(whole, (n + per_whole - 1) / per_whole);
	return (rack_worth(f, whole) - rack_worth(f, whole - broken)) * 1e6 +
		r->idle_acc;
}

/* Workers without room for a task of the shape first, the fullest of them. */
static double worker_least_broken(const struct tg_fleet *f, const struct job *j,
				  const struct worker *w)
{
	struct res room = room_idle(w);
	bool whole = f->shape.acc && res_fits(f->shape, room);

	/* Lent work goes where only lent work can go. */
	return (whole ? 1e6 : 0) + room.acc * 1e3 +
		(j->class == TG_CLASS_LENT ? room_firm(w).acc : 0);
}

/* What the policies of our own share; they differ in their weights. */
#define OWN(policy, completion, fragmentation)                                \
	.name = (policy), .weight_completion = (completion),                  \
	.weight_fragmentation = (fragmentation), .key = key_short_first,      \
	.run_ms = run_corrected, .rack_cost = rack_least_broken,              \
	.worker_cost = worker_least_broken, .victim_cost = victim_least_lost, \
	.patience = 60, .move_period_ms = 20000, .spare_ms = 60000000,        \
	.any_fullest = true, .urgent_over_beyond = true

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
	{ OWN("completion", 80, 20) },
	{ OWN("fragmentation", 20, 80) },
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
