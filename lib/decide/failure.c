#include <string.h>

#include "decide/internal.h"

/* How long a job avoids the workers on which it failed, after a failure. */
#define AVOID_MS 600000

void reset_worker_failures(struct worker *w)
{
	w->n_failed_jobs = 0;
}

static bool may_quarantine(const struct tg_fleet *f, const struct az *az)
{
	int64_t limit =
		(int64_t)az->n_workers * f->opts.quarantine_percent / 100;

	return az->n_quarantined < (limit > 1 ? limit : 1);
}

static void record_worker_failure(struct tg_fleet *f, const struct job *j,
				  int32_t id, int64_t now_ms)
{
	struct worker *w = &f->workers[id];
	int32_t i;

	for (i = 0; i < w->n_failed_jobs; i++)
		if (w->failed_jobs[i] == j->seq)
			return;
	if (w->n_failed_jobs < FAILURE_HISTORY_MAX)
		w->failed_jobs[w->n_failed_jobs++] = j->seq;
	if (w->n_failed_jobs < f->opts.worker_failures ||
	    w->health != TG_WORKER_UP || !may_quarantine(f, &f->azs[w->az]))
		return;
	f->newly_quarantined = tg_xrealloc(
		f->newly_quarantined,
		(f->n_newly_quarantined + 1) * sizeof(*f->newly_quarantined));
	f->newly_quarantined[f->n_newly_quarantined++] = id;
	tg_fleet_set_worker_health(f, id, TG_WORKER_QUARANTINED, now_ms);
}

void record_task_failure(struct tg_fleet *f, struct job *j, int32_t worker,
			 int64_t now_ms)
{
	int32_t i;

	j->avoid_until_ms = now_ms + AVOID_MS;
	record_worker_failure(f, j, worker, now_ms);
	for (i = 0; i < j->n_failed_workers; i++)
		if (j->failed_workers[i] == worker)
			return;
	if (j->n_failed_workers < FAILURE_HISTORY_MAX)
		j->failed_workers[j->n_failed_workers++] = worker;
	if (j->n_failed_workers < f->opts.job_failures)
		return;
	j->state = JOB_PARKED;
	snprintf(j->reason, sizeof(j->reason),
		 "parked: failed on %d different workers, last on %s",
		 j->n_failed_workers, f->workers[worker].name);
	f->n_parked++;
	list_add(&f->newly_parked, j);
}
