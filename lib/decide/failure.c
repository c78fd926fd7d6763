#include <string.h>

#include "decide/internal.h"

/* How long a job that failed on a worker is placed elsewhere. */
#define AVOID_MS 600000

void failure_reset(struct worker *w)
{
	w->n_row = 0;
}

static bool may_quarantine(const struct tg_fleet *f, const struct az *az)
{
	int64_t max = (int64_t)az->n_workers * f->opts.quarantine_percent / 100;

	return az->n_quarantined < (max > 1 ? max : 1);
}

static void blame_worker(struct tg_fleet *f, const struct job *j, int32_t id,
			 int64_t now_ms)
{
	struct worker *w = &f->workers[id];
	int32_t i;

	for (i = 0; i < w->n_row; i++)
		if (w->row[i] == j->seq)
			return;
	if (w->n_row < FAILED_MAX)
		w->row[w->n_row++] = j->seq;
	if (w->n_row < f->opts.worker_failures || w->health != TG_WORKER_UP ||
	    !may_quarantine(f, &f->azs[w->az]))
		return;
	f->failing = tg_xrealloc(f->failing,
				 (f->n_failing + 1) * sizeof(*f->failing));
	f->failing[f->n_failing++] = id;
	tg_fleet_set_health(f, id, TG_WORKER_QUARANTINED, now_ms);
}

void failure_of_task(struct tg_fleet *f, struct job *j, int32_t worker,
		     int64_t now_ms)
{
	int32_t i;

	j->avoid_until_ms = now_ms + AVOID_MS;
	blame_worker(f, j, worker, now_ms);
	for (i = 0; i < j->n_failed; i++)
		if (j->failed[i] == worker)
			return;
	if (j->n_failed < FAILED_MAX)
		j->failed[j->n_failed++] = worker;
	if (j->n_failed < f->opts.job_failures)
		return;
	j->state = JOB_PARKED;
	snprintf(j->why, sizeof(j->why),
		 "parked: failed on %d different workers, last on %s",
		 j->n_failed, f->workers[worker].name);
	f->n_parked++;
	list_add(&f->parking, j);
}
