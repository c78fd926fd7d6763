#include <stdlib.h>
#include <string.h>

#include "base/base.h"

/**
 * DOC: draws the steps of a random fault run
 *
 * Most faults hit what a fault can do harm to.  Their targets are named by
 * what they do, and the run finds the process when it gets there: gang-worker
 * (holds a part of a gang that is on several workers), active (scheduler of AZ
 * a) and claimer (entry daemon that claimed the last key).
 *
 * One step per line: number, pause before it in ms, what to do.  The same seed
 * and number give the same steps.  --now prints the monotonic clock instead,
 * for a shell script that records when it did something.
 */

#define PROG "faultsteps"
#define FAULTS_MAX 2
#define PAUSE_MAX_MS 300
/* What a step takes beside its pause, as measured on an idle machine: without
 * it faults last three times as long as drawn, and few fit into a run. */
#define STEP_MS 330
/* Longer than the 4 s in which a leaving worker may get requests, and than the
 * short leases of the run. */
#define FAULT_MIN_MS 600
/* Longer than the silence after which a worker counts as lost (2,000 ms) and
 * a scheduler's row as free (1,500 ms). */
#define AIMED_MIN_MS 2500

struct opts {
	int64_t seed, steps, fault_max_ms, run_max_ms;
	bool now;
};

static const struct tg_setting settings[] = {
	TG_SETTING(opts, "seed", TG_SET_INT, "1", 0, INT64_MAX / 2, false,
		   "seed", seed),
	TG_SETTING(opts, "steps", TG_SET_INT, "40", 1, 100000, false,
		   "number of steps", steps),
	TG_SETTING(opts, "fault-max-ms", TG_SET_INT, "7000", AIMED_MIN_MS + 1,
		   600000, false, "longest fault, in ms", fault_max_ms),
	TG_SETTING(opts, "run-max-ms", TG_SET_INT, "6000", 1, 600000, false,
		   "longest run time of a job, in ms", run_max_ms),
	TG_SETTING(opts, "now", TG_SET_BOOL, NULL, 0, 0, false,
		   "print the monotonic clock in ms", now),
	{ 0 },
};

struct fault {
	const char *target; /* NULL: none */
	const char *kind;
	int64_t end_ms;
};

struct draw {
	struct tg_rng rng;
	const struct opts *opts;
	int64_t step, at_ms, last_key, last_job;
	struct fault faults[FAULTS_MAX];
};

static const char *const entries[] = { "e-1", "e-2", "e-3" };
static const char *const scheds[] = { "s-1", "s-2", "s-3" };
static const char *const workers[] = { "w-1", "w-2", "w-3", "w-4" };

static const char *const platform_faults[] = {
	"outage-refuse", "outage-hang", "outage-lose", "slow", "lose-next",
};
static const char *const worker_faults[] = {
	"kill", "stop", "cut",	  "hang",     "late",
	"late", "slow", "closes", "draining", "draining",
};
/* A gang depends on the agent only; the others are faults of the service. */
static const char *const gang_faults[] = { "kill", "stop", "cut", "cut" };
static const char *const process_faults[] = { "kill", "stop", "term" };
/* A graceful stop of the active scheduler hands over at once. */
static const char *const active_faults[] = { "kill", "stop", "stop", "term" };
static const char *const console_faults[] = { "kill", "term", "term" };

#define PICK(d, list) (list)[tg_rng_below(&(d)->rng, ARRAY_SIZE(list))]

static unsigned int below(struct draw *d, unsigned int n)
{
	return (unsigned int)tg_rng_below(&d->rng, n);
}

static void begin_line_after(struct draw *d, unsigned int pause_ms)
{
	d->at_ms += STEP_MS + pause_ms;
	printf("%lld %u ", (long long)d->step, pause_ms);
}

static void begin_line(struct draw *d)
{
	begin_line_after(d, below(d, PAUSE_MAX_MS));
}

static bool has_fault(const struct draw *d, const char *target)
{
	int i;

	for (i = 0; i < FAULTS_MAX; i++)
		if (d->faults[i].target && !strcmp(d->faults[i].target, target))
			return true;
	return false;
}

static struct fault *free_fault(struct draw *d)
{
	int i;

	for (i = 0; i < FAULTS_MAX; i++)
		if (!d->faults[i].target)
			return &d->faults[i];
	return NULL;
}

static bool is_calm(const struct draw *d)
{
	int i;

	for (i = 0; i < FAULTS_MAX; i++)
		if (d->faults[i].target)
			return false;
	return true;
}

static struct fault draw_fault(struct draw *d)
{
	struct fault f = { 0 };
	unsigned int what = below(d, 16);

	if (what < 3) {
		f.target = "platform";
		f.kind = PICK(d, platform_faults);
	} else if (what < 4) {
		f.target = PICK(d, entries);
		f.kind = PICK(d, process_faults);
	} else if (what < 6) {
		f.target = "claimer";
		f.kind = PICK(d, process_faults);
	} else if (what < 7) {
		f.target = PICK(d, scheds);
		f.kind = PICK(d, process_faults);
	} else if (what < 9) {
		f.target = "active";
		f.kind = PICK(d, active_faults);
	} else if (what < 11) {
		f.target = PICK(d, workers);
		f.kind = PICK(d, worker_faults);
	} else if (what < 15) {
		f.target = "gang-worker";
		f.kind = PICK(d, gang_faults);
	} else {
		f.target = "console";
		f.kind = PICK(d, console_faults);
	}
	return f;
}

static void set_end(struct draw *d, struct fault *f)
{
	bool aimed = !strcmp(f->target, "gang-worker") ||
		!strcmp(f->target, "active");
	unsigned int min_ms = aimed ? AIMED_MIN_MS : FAULT_MIN_MS;

	f->end_ms = d->at_ms + min_ms +
		below(d, (unsigned int)d->opts->fault_max_ms - min_ms);
}

static void print_gang(struct draw *d)
{
	/*
	 * Long, so that the fault hits the gang while it runs.  Urgent, so that
	 * it restarts at once on the two workers that are left: other classes
	 * leave room for urgent work or for the largest shape, and wait.
	 */
	unsigned int max_ms = (unsigned int)d->opts->run_max_ms;

	d->last_job = d->step;
	printf("job %s a 2 8 %u urgent\n", PICK(d, entries),
	       max_ms - below(d, max_ms / 3 + 1));
}

/* What the fault is to hit, in progress when it does. */
static void print_aim(struct draw *d, const struct fault *f)
{
	if (!strcmp(f->target, "gang-worker") ||
	    (!strcmp(f->target, "active") && below(d, 2))) {
		begin_line(d);
		print_gang(d);
	} else if (!strcmp(f->target, "claimer")) {
		d->last_key = d->step;
		begin_line(d);
		printf("caller %s %s work_ms=%u\n", PICK(d, entries),
		       below(d, 2) ? PICK(d, entries) : "-",
		       500 + below(d, 200));
	} else if (!strcmp(f->target, "console")) {
		begin_line(d);
		printf("save\n");
	}
}

static void print_fault(struct draw *d, const struct fault *f)
{
	/* At once, since the request that it is to hit takes 700 ms at most. */
	if (!strcmp(f->target, "claimer"))
		begin_line_after(d, 0);
	else
		begin_line(d);
	printf("fault %s %s\n", f->target, f->kind);
}

static void add_fault(struct draw *d, const struct fault *f)
{
	*free_fault(d) = *f;
	print_fault(d, f);
}

/*
 * Standbys renew gangs only if the table and the active scheduler fail.  Both
 * fail for most of the longest time and end at once, since the end of either
 * ends the renewal by standbys.
 */
static void step_outage(struct draw *d, struct fault *f)
{
	unsigned int max_ms = (unsigned int)d->opts->fault_max_ms;

	begin_line(d);
	print_gang(d);
	f->end_ms = d->at_ms + max_ms - below(d, max_ms / 4);
	add_fault(d, f);
	f->target = "active";
	f->kind = PICK(d, active_faults);
	add_fault(d, f);
}

static bool step_fault(struct draw *d)
{
	struct fault f = draw_fault(d);

	if (!free_fault(d) || has_fault(d, f.target))
		return false;
	if (!strncmp(f.kind, "outage", 6) && is_calm(d) && below(d, 2)) {
		step_outage(d, &f);
		return true;
	}
	print_aim(d, &f);
	set_end(d, &f);
	add_fault(d, &f);
	return true;
}

static void end_faults(struct draw *d)
{
	int i;

	for (i = 0; i < FAULTS_MAX; i++) {
		struct fault *f = &d->faults[i];

		if (!f->target || d->at_ms < f->end_ms)
			continue;
		printf("%lld 0 heal %s %s\n", (long long)d->step, f->target,
		       f->kind);
		*f = (struct fault){ 0 };
	}
}

static void step_request(struct draw *d)
{
	static const unsigned int sizes[] = { 0, 0, 1, 5000, 100000 };
	const char *e = PICK(d, entries);
	unsigned int work_ms = below(d, 4) ? below(d, 60) : below(d, 900);

	begin_line(d);
	switch (below(d, 8)) {
	case 0:
	case 1:
		printf("get %s work_ms=%u", e, work_ms);
		break;
	case 2:
	case 3:
		printf("post %s work_ms=%u", e, work_ms);
		break;
	case 4:
	case 5:
		d->last_key = d->step;
		printf("caller %s %s work_ms=%u", e,
		       below(d, 2) ? PICK(d, entries) : "-", work_ms);
		break;
	default:
		d->last_key = d->step;
		printf("issued %s %s %s work_ms=%u", PICK(d, entries), e,
		       below(d, 2) ? PICK(d, entries) : "-", work_ms);
		break;
	}
	if (below(d, 4) == 0)
		printf("&size=%u", PICK(d, sizes));
	printf("\n");
}

/* Requests at once share the kept connections to the workers. */
static void step_burst(struct draw *d)
{
	begin_line(d);
	printf("burst %s %u work_ms=%u\n", PICK(d, entries), 4 + below(d, 5),
	       below(d, 2) ? 0 : below(d, 200));
}

static void step_again(struct draw *d)
{
	begin_line(d);
	/* Of the last keys, so that the first attempt may be in progress. */
	printf("again %s %u\n", PICK(d, entries), 1 + below(d, 6));
}

static void step_job(struct draw *d)
{
	static const char *const classes[] = { "lent", "lent", "guaranteed",
					       "urgent" };
	static const unsigned int sizes[] = { 1, 2, 2, 3 };
	/* Most gangs need a worker of 8 for each member. */
	static const unsigned int accelerators[] = { 1, 2, 6, 8, 8 };
	unsigned int tasks = PICK(d, sizes);
	const char *az = tasks == 1 && !below(d, 3) ? "b" : "a";

	d->last_job = d->step;
	begin_line(d);
	printf("job %s %s %u %u %u %s\n", PICK(d, entries), az, tasks,
	       PICK(d, accelerators),
	       100 + below(d, (unsigned int)d->opts->run_max_ms),
	       PICK(d, classes));
}

static void step(struct draw *d)
{
	unsigned int what = below(d, 100);

	if (what < 20 && step_fault(d))
		return;
	if (what < 31) {
		step_job(d);
	} else if (what < 35) {
		begin_line(d);
		printf("cancel %s %u\n", PICK(d, entries), 1 + below(d, 3));
	} else if (what < 42) {
		begin_line(d);
		printf("%s\n", below(d, 3) ? "save" : "save-twice");
	} else if (what < 52) {
		step_again(d);
	} else if (what < 60) {
		step_burst(d);
	} else {
		step_request(d);
	}
}

int main(int argc, char **argv)
{
	static const struct tg_settings_spec spec = {
		.prog = PROG,
		.summary = "Draws the steps of a random fault run.",
		.items = settings,
	};
	struct opts o;
	struct draw d = { 0 };

	switch (tg_settings_load(&spec, argc, argv, &o, NULL)) {
	case TG_SETTINGS_OK:
		break;
	case TG_SETTINGS_EXIT:
		return 0;
	case TG_SETTINGS_INVALID:
		return TG_EXIT_USAGE;
	}
	if (o.now) {
		printf("%lld\n", (long long)tg_now_ms());
		return 0;
	}
	d.opts = &o;
	d.rng.state = (uint64_t)o.seed;
	for (d.step = 1; d.step <= o.steps; d.step++) {
		end_faults(&d);
		step(&d);
	}
	return 0;
}
