#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "base/base.h"

/**
 * DOC: seeded generator of fleets and traces for tgplace
 *
 * Sizes: "today" is the fleet of both of today's users (docs/design.md,
 * section 1), "target" the two-year target, scaled by --percent.
 *
 * Kinds: "mixed" (Poisson arrivals), "bursts" (of small and of large jobs),
 * "false-times" (declared times wrong by up to 100 times), "cancels" (waves
 * of cancellations), "faults" (workers that go down or fail every task).
 */

struct options {
	const char *size, *kind, *out;
	int64_t seed, percent, jobs, load_percent;
};

static const struct tg_setting settings[] = {
	{ "size", TG_SET_STRING, "today", 0, 0, true, "today or target",
	  offsetof(struct options, size) },
	{ "kind", TG_SET_STRING, "mixed", 0, 0, true,
	  "mixed, bursts, false-times, cancels or faults",
	  offsetof(struct options, kind) },
	{ "out", TG_SET_STRING, NULL, 0, 0, true, "directory to write to",
	  offsetof(struct options, out) },
	{ "seed", TG_SET_INT, "1", 0, INT64_MAX, false, "seed",
	  offsetof(struct options, seed) },
	{ "percent", TG_SET_INT, "100", 1, 100, false,
	  "share of the target's size, percent",
	  offsetof(struct options, percent) },
	{ "jobs", TG_SET_INT, "0", 0, 1000000, false,
	  "number of jobs; 0: 6000, or a day's at the target's size",
	  offsetof(struct options, jobs) },
	{ "load-percent", TG_SET_INT, "90", 1, 1000, false,
	  "accelerator time asked for, percent of the fleet's",
	  offsetof(struct options, load_percent) },
	{ 0 },
};

static const struct tg_settings_spec spec = {
	.prog = "tracegen",
	.summary = "write a seeded fleet and trace for tgplace",
	.items = settings,
};

struct trace {
	struct options o;
	struct tg_rng rng;
	bool target;
	int32_t n_azs, racks_per_az, rack_size, workspaces;
	int64_t accelerators;
	double span_s;
};

struct job {
	double submit_s;
	int32_t ws, az, tasks, acc, cores, mem;
	int64_t declared_s, actual_s, cancel_s;
	const char *class;
	bool large, warm;
};

static const char *const az_names[] = { "marmara-a", "ic-anadolu-a", "ege-a",
					"az-d",	     "az-e",	     "az-f",
					"az-g",	     "az-h",	     "az-i",
					"az-j",	     "az-k" };

static double uniform(struct trace *t)
{
	return (double)(tg_rng_next(&t->rng) >> 11) / 9007199254740992.0;
}

static bool chance(struct trace *t, double p)
{
	return uniform(t) < p;
}

static int32_t pick(struct trace *t, const int32_t *list, size_t n)
{
	return list[tg_rng_below(&t->rng, n)];
}

/* Log-uniform in [min, max]. */
static double spread(struct trace *t, double min, double max)
{
	return min * pow(max / min, uniform(t));
}

static FILE *open_out(const struct trace *t, const char *name,
		      const char *header)
{
	char *path = tg_xasprintf("%s/%s", t->o.out, name);
	FILE *f = fopen(path, "w");

	if (!f) {
		fprintf(stderr, "tracegen: %s: %s\n", path, strerror(errno));
		exit(1);
	}
	fprintf(f, "%s\n", header);
	free(path);
	return f;
}

/* --- fleet --- */

/* At the target's size one worker in five has accelerators. */
static int32_t accelerators_of(const struct trace *t, int32_t rack)
{
	return !t->target || rack % 5 == 0 ? 8 : 0;
}

static void write_fleet(struct trace *t)
{
	FILE *f = open_out(t, "fleet.csv",
			   "az,rack,worker,cores,memory_gb,accelerators");
	int32_t a, r, w, n = 0;

	for (a = 0; a < t->n_azs; a++)
		for (r = 0; r < t->racks_per_az; r++)
			for (w = 0; w < t->rack_size; w++) {
				int32_t acc = accelerators_of(t, r);

				fprintf(f, "%s,r-%d,w-%d,128,256,%d\n",
					az_names[a], r, n++, acc);
				t->accelerators += acc;
			}
	fclose(f);
}

/* --- guarantees --- */

static void write_guarantees(struct trace *t)
{
	FILE *f = open_out(t, "guarantees.csv",
			   "workspace,az,tasks,accelerators_per_task,"
			   "within_rack,lapses_s");
	int32_t w;

	if (!t->target) {
		fprintf(f, "ws-0,%s,4,8,1,\n", az_names[0]);
		fprintf(f, "ws-0,%s,2,8,1,\n", az_names[1]);
		fprintf(f, "ws-1,%s,4,4,1,%.0f\n", az_names[2],
			t->span_s * 0.6);
		fprintf(f, "ws-2,%s,2,8,1,\n", az_names[2]);
	}
	/* A third of the workspaces of the target hold a guarantee. */
	for (w = 0; t->target && w < t->workspaces; w += 3)
		fprintf(f, "ws-%d,%s,%d,8,%d,%s\n", w,
			az_names[w / 3 % t->n_azs], w % 2 ? 2 : 4, w % 2,
			w % 4 ? "" : "20000");
	fclose(f);
}

/* --- jobs --- */

static void shape_small(struct trace *t, struct job *j)
{
	static const int32_t tasks[] = { 1, 1, 1, 1, 2, 2, 4 };
	static const int32_t acc[] = { 1, 1, 1, 2, 2, 4 };

	j->tasks = pick(t, tasks, ARRAY_SIZE(tasks));
	j->acc = pick(t, acc, ARRAY_SIZE(acc));
	j->actual_s = (int64_t)spread(t, 120, 5400);
}

static void shape_medium(struct trace *t, struct job *j)
{
	static const int32_t tasks[] = { 1, 2, 2, 3, 4 };
	static const int32_t acc[] = { 2, 4, 4, 8 };

	j->tasks = pick(t, tasks, ARRAY_SIZE(tasks));
	j->acc = pick(t, acc, ARRAY_SIZE(acc));
	j->actual_s = (int64_t)spread(t, 1200, 14400);
}

static void shape_large(struct trace *t, struct job *j)
{
	static const int32_t tasks[] = { 2, 4, 4, 6, 8 };

	j->tasks = pick(t, tasks, ARRAY_SIZE(tasks));
	j->acc = 8;
	j->actual_s = (int64_t)spread(t, 3600, 28800);
	j->large = true;
}

/* Jobs of the target that use no accelerators: most of its 77,000 tasks. */
static void shape_cores(struct trace *t, struct job *j)
{
	j->tasks = (int32_t)spread(t, 1, 48);
	if (chance(t, 0.004))
		j->tasks = (int32_t)spread(t, 128, 1024);
	j->acc = 0;
	j->cores = (int32_t)spread(t, 2, 16);
	j->mem = j->cores * 2;
	j->actual_s = (int64_t)spread(t, 3600, 43200);
}

static void choose_class(struct trace *t, struct job *j)
{
	double u = uniform(t);

	/* Urgent jobs are small; what is large is never urgent. */
	if (u < 0.05 && !j->large && j->tasks <= 4) {
		j->class = "urgent";
		j->actual_s = (int64_t)spread(t, 60, 1800);
	} else if (u < 0.35) {
		j->class = "guaranteed";
	} else {
		j->class = "lent";
	}
}

/* A few workspaces are large: half of the jobs belong to the first ones. */
static int32_t choose_workspace(struct trace *t)
{
	if (chance(t, 0.5))
		return (int32_t)tg_rng_below(&t->rng, 2);
	return (int32_t)tg_rng_below(&t->rng, (uint64_t)t->workspaces);
}

static int64_t declare(struct trace *t, const struct job *j)
{
	/* Each workspace errs in its own way, and each job besides. */
	static const double habit[] = { 1, 3, 0.5, 1.5 };
	bool wild = !strcmp(t->o.kind, "false-times");
	double by = habit[j->ws % 4] * spread(t, 0.5, 2);

	if (wild)
		by *= spread(t, 0.1, 10);
	if (wild && chance(t, 0.05))
		by = chance(t, 0.5) ? 0.01 : 100;
	return (int64_t)fmax(1, (double)j->actual_s * by);
}

static void make_job(struct trace *t, struct job *j, bool large_burst)
{
	double u = uniform(t);

	*j = (struct job){ .cancel_s = -1 };
	j->ws = choose_workspace(t);
	j->az = (int32_t)tg_rng_below(&t->rng, (uint64_t)t->n_azs + 1);
	if (t->target && u < 0.7)
		shape_cores(t, j);
	else if (large_burst ? u < 0.9 : u > 0.92)
		shape_large(t, j);
	else if (u > 0.72)
		shape_medium(t, j);
	else
		shape_small(t, j);
	if (j->acc) {
		j->cores = j->acc * 12;
		j->mem = j->acc * 24;
	}
	choose_class(t, j);
	j->declared_s = declare(t, j);
}

static int by_submit(const void *a, const void *b)
{
	const struct job *x = a, *y = b;

	return x->submit_s < y->submit_s ? -1 : x->submit_s > y->submit_s;
}

/*
 * Jobs of the target that are there from the start.  At a mean of about six
 * hours, 26,000 jobs a day are 6,500 at once, with some 77,000 tasks.
 */
#define WARM_JOBS 6500

static size_t warm_jobs(const struct trace *t)
{
	size_t n = (size_t)(WARM_JOBS * t->o.percent / 100);
	size_t half = (size_t)t->o.jobs / 2;

	return n < (size_t)t->o.jobs ? n : half;
}

/*
 * The span follows from the accelerator time asked for, so that the load is
 * the same for each seed.  The target starts with what would run already.
 */
static void set_times(struct trace *t, struct job *jobs, size_t n)
{
	double area = 0, burst_s = 0;
	bool bursts = !strcmp(t->o.kind, "bursts");
	size_t i;

	for (i = 0; i < n; i++)
		area += (double)jobs[i].tasks * jobs[i].acc *
			(double)jobs[i].actual_s;
	t->span_s = area * 100 / (double)t->o.load_percent /
		(double)t->accelerators;
	if (t->target)
		t->span_s = 86400.0 * (double)n / 26000 * 100 /
			(double)t->o.percent;
	for (i = 0; i < n; i++) {
		if (bursts && i % 50 == 0)
			burst_s = uniform(t) * t->span_s;
		jobs[i].submit_s = bursts && i % 50 < 40 ?
			burst_s + 60 * uniform(t) :
			uniform(t) * t->span_s;
		if (t->target && jobs[i].warm)
			jobs[i].submit_s = 10 * uniform(t);
	}
}

static void cancel_wave(struct trace *t, struct job *jobs, size_t n)
{
	double at_s = uniform(t) * t->span_s;
	int32_t ws = choose_workspace(t);
	size_t i;

	for (i = 0; i < n; i++)
		if (jobs[i].ws == ws && jobs[i].submit_s < at_s &&
		    jobs[i].submit_s > at_s - 7200 && chance(t, 0.8))
			jobs[i].cancel_s = (int64_t)at_s + 1 +
				(int64_t)tg_rng_below(&t->rng, 20);
}

static void write_jobs(struct trace *t, const struct job *jobs, size_t n)
{
	FILE *f = open_out(t, "jobs.csv",
			   "submit_s,job,workspace,az,tasks,"
			   "accelerators_per_task,cores_per_task,"
			   "memory_gb_per_task,declared_s,actual_s,class,"
			   "cancel_s");
	size_t i;

	for (i = 0; i < n; i++) {
		const struct job *j = &jobs[i];

		fprintf(f, "%.0f,j-%zu,ws-%d,%s,%d,%d,%d,%d,%lld,%lld,%s,",
			floor(j->submit_s), i, j->ws,
			j->az < t->n_azs ? az_names[j->az] : "any", j->tasks,
			j->acc, j->cores, j->mem, (long long)j->declared_s,
			(long long)j->actual_s, j->class);
		if (j->cancel_s >= 0)
			fprintf(f, "%lld", (long long)j->cancel_s);
		fputc('\n', f);
	}
	fclose(f);
}

static void write_faults(struct trace *t)
{
	FILE *f = open_out(t, "faults.csv", "at_s,worker,what");
	int32_t workers = t->n_azs * t->racks_per_az * t->rack_size, i, n;

	n = strcmp(t->o.kind, "faults") != 0 ? 0 : 12 + workers / 100;
	for (i = 0; i < n; i++) {
		double at_s = uniform(t) * t->span_s;
		int32_t w = (int32_t)tg_rng_below(&t->rng, (uint64_t)workers);

		fprintf(f, "%.0f,w-%d,%s\n", at_s, w,
			chance(t, 0.3) ? "fails_all" : "down");
		fprintf(f, "%.0f,w-%d,up\n", at_s + spread(t, 300, 14400), w);
	}
	fclose(f);
}

static void set_size(struct trace *t)
{
	t->target = !strcmp(t->o.size, "target");
	t->n_azs = t->target ? 11 : 3;
	t->rack_size = 8;
	/* 11 AZs of 105 racks of 8 workers are 9,240. */
	t->racks_per_az = t->target ? (int32_t)(105 * t->o.percent / 100) : 2;
	if (t->racks_per_az < 5 && t->target)
		t->racks_per_az = 5;
	t->workspaces = t->target ? 170 : 4;
	if (!t->o.jobs)
		t->o.jobs = t->target ? 26000 * t->o.percent / 100 : 6000;
}

int main(int argc, char **argv)
{
	struct trace t = { 0 };
	struct job *jobs;
	size_t i, n;

	switch (tg_settings_load(&spec, argc, argv, &t.o, NULL)) {
	case TG_SETTINGS_OK:
		break;
	case TG_SETTINGS_EXIT:
		return 0;
	case TG_SETTINGS_INVALID:
		return TG_EXIT_USAGE;
	}
	t.rng.state = (uint64_t)t.o.seed * 1000003;
	set_size(&t);
	mkdir(t.o.out, 0777);
	write_fleet(&t);
	n = (size_t)t.o.jobs;
	jobs = tg_xcalloc(n, sizeof(*jobs));
	for (i = 0; i < n; i++) {
		make_job(&t, &jobs[i],
			 !strcmp(t.o.kind, "bursts") && i / 50 % 4 == 0 &&
				 i % 50 < 10);
		jobs[i].warm = t.target && i < warm_jobs(&t);
	}
	set_times(&t, jobs, n);
	if (!strcmp(t.o.kind, "cancels"))
		for (i = 0; i < 6; i++)
			cancel_wave(&t, jobs, n);
	qsort(jobs, n, sizeof(*jobs), by_submit);
	write_jobs(&t, jobs, n);
	write_guarantees(&t);
	write_faults(&t);
	free(jobs);
	return 0;
}
