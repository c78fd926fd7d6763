#include <stdlib.h>
#include <sys/resource.h>

#include "place.h"

/* Shorter jobs count as this long in the slowdown. */
#define SLOWDOWN_MIN_MS 10000
#define GANG_TASKS 4
/* Upper bound for the wait of urgent jobs: docs/design.md, section 5. */
#define URGENT_WAIT_S 4.6

struct sample {
	double *v;
	size_t n;
};

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double quantile(struct sample *s, double q)
{
	size_t i;

	if (!s->n)
		return 0;
	qsort(s->v, s->n, sizeof(*s->v), compare_doubles);
	i = (size_t)(q * (double)(s->n - 1) + 0.5);
	return s->v[i];
}

static double mean(const struct sample *s)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < s->n; i++)
		sum += s->v[i];
	return s->n ? sum / (double)s->n : 0;
}

struct figures {
	struct sample completion, slowdown, gang_wait;
	double urgent_wait_max;
	size_t urgent, urgent_late;
	size_t stranded;
};

static double seconds(int64_t ms)
{
	return (double)ms / 1000;
}

/* A job that never started waits until its cancellation or the trace's end. */
static double wait_s(const struct sim *s, const struct job *j)
{
	int64_t until = j->first_start_ms;

	if (until < 0)
		until = j->state == J_CANCELLED ? j->cancel_ms : s->now_ms;
	return seconds(until - j->submit_ms);
}

static void add_job(const struct sim *s, const struct job *j, struct figures *f)
{
	int64_t run_ms;

	if (j->state == J_REFUSED || j->state == J_FUTURE)
		return;
	if (j->state == J_QUEUED || j->state == J_PARKED)
		f->stranded++;
	if (j->tasks >= GANG_TASKS)
		f->gang_wait.v[f->gang_wait.n++] = wait_s(s, j);
	if (j->class == TG_CLASS_URGENT) {
		f->urgent++;
		f->urgent_late += wait_s(s, j) > URGENT_WAIT_S;
		if (wait_s(s, j) > f->urgent_wait_max)
			f->urgent_wait_max = wait_s(s, j);
	}
	if (j->state != J_DONE)
		return;
	f->completion.v[f->completion.n++] = seconds(j->end_ms - j->submit_ms);
	run_ms =
		j->actual_ms > SLOWDOWN_MIN_MS ? j->actual_ms : SLOWDOWN_MIN_MS;
	f->slowdown.v[f->slowdown.n++] =
		(double)(j->end_ms - j->submit_ms) / (double)run_ms;
}

static double ratio(double sum, double n)
{
	return n > 0 ? sum / n : 0;
}

static int64_t peak_rss_kb(void)
{
	struct rusage u;

	return getrusage(RUSAGE_SELF, &u) ? 0 : u.ru_maxrss;
}

static void print_details(const struct sim *s, const struct figures *f,
			  FILE *out)
{
	fprintf(out, "fragmentation_packed_mean %.4f\n",
		ratio(s->packed_sum, s->time_sum));
	fprintf(out, "fragmentation_gathered_mean %.4f\n",
		ratio(s->gathered_sum, s->time_sum));
	fprintf(out, "urgent_jobs %zu\n", f->urgent);
	fprintf(out, "urgent_late %zu\n", f->urgent_late);
	fprintf(out, "moves %zu\n", s->moves);
	fprintf(out, "reclaims_lent %zu\n", s->reclaims_lent);
	fprintf(out, "reclaims_beyond %zu\n", s->reclaims_beyond);
}

void report_print(const struct sim *s, bool details, FILE *out)
{
	const struct input *in = s->in;
	struct figures f = { 0 };
	size_t i;

	f.completion.v = tg_xcalloc(in->n_jobs, sizeof(double));
	f.slowdown.v = tg_xcalloc(in->n_jobs, sizeof(double));
	f.gang_wait.v = tg_xcalloc(in->n_jobs, sizeof(double));
	for (i = 0; i < in->n_jobs; i++)
		add_job(s, &in->jobs[i], &f);
	fprintf(out, "jobs_submitted %zu\n", s->submitted);
	fprintf(out, "jobs_completed %zu\n", s->completed);
	fprintf(out, "jobs_cancelled %zu\n", s->cancelled);
	fprintf(out, "jobs_refused %zu\n", s->refused);
	fprintf(out, "jobs_stranded %zu\n", f.stranded);
	fprintf(out, "completion_mean_s %.3f\n", mean(&f.completion));
	fprintf(out, "completion_p95_s %.3f\n", quantile(&f.completion, 0.95));
	fprintf(out, "slowdown_p95 %.3f\n", quantile(&f.slowdown, 0.95));
	fprintf(out, "gang_wait_p95_s %.3f\n", quantile(&f.gang_wait, 0.95));
	fprintf(out, "urgent_wait_max_s %.3f\n", f.urgent_wait_max);
	fprintf(out, "fragmentation_mean %.4f\n",
		ratio(s->fragmentation_sum, s->time_sum));
	fprintf(out, "utilization_mean %.4f\n",
		ratio(s->utilization_sum, s->time_sum));
	fprintf(out, "work_lost_s %.0f\n", s->work_lost);
	fprintf(out, "guarantee_violations %zu\n", s->violations);
	fprintf(out, "partial_gangs %zu\n", s->partial_gangs);
	fprintf(out, "decision_p99_us %llu\n",
		(unsigned long long)tg_hist_quantile(&s->decide_latency_us,
						     0.99));
	fprintf(out, "decisions_per_s %.0f\n",
		ratio((double)s->decide_latency_us.n * 1e6,
		      (double)s->decide_total_us));
	fprintf(out, "peak_rss_kb %lld\n", (long long)peak_rss_kb());
	if (details)
		print_details(s, &f, out);
	free(f.completion.v);
	free(f.slowdown.v);
	free(f.gang_wait.v);
}
