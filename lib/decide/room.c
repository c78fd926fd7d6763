#include <stdlib.h>

#include "decide/internal.h"

int32_t res_count(struct res need, struct res avail, int32_t max)
{
	int32_t n = max;

	if (avail.acc < 0 || avail.cores < 0 || avail.mem < 0)
		return 0;
	if (need.acc)
		n = min32(n, avail.acc / need.acc);
	if (need.cores)
		n = min32(n, avail.cores / need.cores);
	if (need.mem)
		n = min32(n, avail.mem / need.mem);
	return n;
}

struct res idle_capacity(const struct worker *w)
{
	return res_sub(w->cap,
		       res_add(w->committed, res_add(w->covered, w->lent)));
}

struct res uncommitted_capacity(const struct worker *w)
{
	struct res remaining = res_sub(w->committed, w->stopping_committed);

	return res_sub(w->cap, res_add(remaining, w->planned));
}

struct res urgent_capacity(const struct worker *w)
{
	struct res urgent = res_sub(w->committed, w->uncovered);

	return res_sub(w->cap, res_add(urgent, w->planned));
}

bool job_is_uncovered(const struct job *j)
{
	return j->class == TG_CLASS_GUARANTEED && !j->g;
}

struct res capacity_of(const struct worker *w, enum capacity_kind kind)
{
	if (w->health != TG_WORKER_UP)
		return (struct res){ 0 };
	switch (kind) {
	case CAPACITY_IDLE:
		return idle_capacity(w);
	case CAPACITY_IDLE_UNCOMMITTED:
		return res_min(idle_capacity(w), uncommitted_capacity(w));
	case CAPACITY_RECLAIM_UNCOVERED:
		return urgent_capacity(w);
	case CAPACITY_RECLAIM_LENT:
		break;
	}
	return uncommitted_capacity(w);
}

static void add_to_sums(const struct tg_fleet *f, struct rack *r,
			const struct worker *w)
{
	struct res idle = idle_capacity(w),
		   uncommitted = uncommitted_capacity(w);

	r->acc += w->cap.acc;
	if (w->health != TG_WORKER_DOWN)
		r->acc_alive += w->cap.acc;
	if (w->health != TG_WORKER_UP)
		return;
	r->acc_up += w->cap.acc;
	r->max_idle = res_max(r->max_idle, idle);
	r->max_uncommitted = res_max(r->max_uncommitted, uncommitted);
	r->max_urgent = res_max(r->max_urgent, urgent_capacity(w));
	r->idle_acc += max32(0, idle.acc);
	r->uncommitted_acc += max32(0, uncommitted.acc);
	if (!worker_fits_shape(f, w)) {
		if (f->shape.acc && idle.acc > 0)
			r->fragment_score +=
				(double)idle.acc * idle.acc / f->shape.acc;
		return;
	}
	r->shape_workers++;
	r->n_shape_tasks += res_count(f->shape, idle, INT32_MAX);
}

/* The sums are a cache, which is filled even if the fleet is const. */
const struct rack *rack_sums(const struct tg_fleet *f, int32_t rack)
{
	struct rack *r = &f->racks[rack];
	int32_t i;

	if (!r->dirty)
		return r;
	r->max_idle = r->max_uncommitted = r->max_urgent = (struct res){ 0 };
	r->idle_acc = r->uncommitted_acc = r->shape_workers = r->n_shape_tasks =
		0;
	r->fragment_score = 0;
	r->acc = r->acc_alive = r->acc_up = 0;
	for (i = 0; i < r->n_workers; i++)
		add_to_sums(f, r, &f->workers[r->workers[i]]);
	r->dirty = false;
	return r;
}

const struct az *az_sums(const struct tg_fleet *f, int32_t az)
{
	struct az *z = &f->azs[az];
	int32_t i;

	if (z->sums_at == z->change_seq + 1)
		return z;
	z->sums_at = z->change_seq + 1;
	z->idle_acc = z->max_shape_workers = 0;
	for (i = 0; i < z->n_racks; i++) {
		const struct rack *r = rack_sums(f, z->racks[i]);

		z->idle_acc += r->idle_acc;
		z->max_shape_workers =
			max32(z->max_shape_workers, r->shape_workers);
	}
	return z;
}

static struct res *usage_sum(struct worker *w, const struct job *j)
{
	if (j->g)
		return &w->covered;
	return j->class == TG_CLASS_LENT ? &w->lent : &w->committed;
}

static void add_worker_job(struct worker *w, struct job *j)
{
	int32_t i;

	for (i = 0; i < w->n_jobs; i++)
		if (w->jobs[i].job == j)
			break;
	if (i == w->n_jobs) {
		/* The array doubles when the count reaches a power of two. */
		if (!(w->n_jobs & (w->n_jobs - 1)))
			w->jobs = tg_xrealloc(w->jobs,
					      (size_t)max32(1, 2 * w->n_jobs) *
						      sizeof(*w->jobs));
		w->jobs[w->n_jobs++] = (struct worker_job){ j, 0 };
	}
	w->jobs[i].n++;
}

static void remove_worker_job(struct worker *w, const struct job *j)
{
	int32_t i;

	for (i = 0; i < w->n_jobs; i++)
		if (w->jobs[i].job == j)
			break;
	if (i == w->n_jobs || --w->jobs[i].n)
		return;
	/* The order is kept, so that the same facts give the same decisions. */
	w->n_jobs--;
	for (; i < w->n_jobs; i++)
		w->jobs[i] = w->jobs[i + 1];
}

void usage_add_job(struct tg_fleet *f, struct job *j)
{
	int32_t i;

	for (i = 0; i < j->tasks; i++) {
		struct worker *w = &f->workers[j->workers[i]];
		struct res *sum = usage_sum(w, j);

		*sum = res_add(*sum, j->need);
		if (job_is_uncovered(j))
			w->uncovered = res_add(w->uncovered, j->need);
		add_worker_job(w, j);
		f->racks[w->rack].dirty = true;
		f->azs[w->az].change_seq++;
	}
	j->ws->used_acc += job_acc(j);
}

static void add_stopping(struct worker *w, const struct job *j, int sign)
{
	w->stopping = res_add_signed(w->stopping, j->need, sign);
	if (job_is_uncovered(j))
		w->stopping_committed =
			res_add_signed(w->stopping_committed, j->need, sign);
}

void usage_set_covered(struct worker *w, const struct job *j, int sign)
{
	w->covered = res_add_signed(w->covered, j->need, sign);
	w->committed = res_add_signed(w->committed, j->need, -sign);
	w->uncovered = res_add_signed(w->uncovered, j->need, -sign);
}

void usage_remove_job(struct tg_fleet *f, struct job *j)
{
	int32_t i;

	for (i = 0; i < j->tasks; i++) {
		struct worker *w = &f->workers[j->workers[i]];
		struct res *sum = usage_sum(w, j);

		*sum = res_sub(*sum, j->need);
		if (job_is_uncovered(j))
			w->uncovered = res_sub(w->uncovered, j->need);
		if (j->reclaiming)
			add_stopping(w, j, -1);
		remove_worker_job(w, j);
		f->racks[w->rack].dirty = true;
		f->azs[w->az].change_seq++;
		f->azs[w->az].release_seq++;
	}
	j->ws->used_acc -= job_acc(j);
	j->reclaiming = false;
}

void usage_mark_stopping(struct tg_fleet *f, struct job *j)
{
	int32_t i;

	if (j->reclaiming)
		return;
	j->reclaiming = true;
	for (i = 0; i < j->tasks; i++) {
		struct worker *w = &f->workers[j->workers[i]];

		add_stopping(w, j, 1);
		f->racks[w->rack].dirty = true;
		f->azs[w->az].change_seq++;
		f->azs[w->az].release_seq++;
	}
}

void usage_add_planned(struct tg_fleet *f, int32_t worker, struct res need,
		       int sign)
{
	struct worker *w = &f->workers[worker];

	w->planned = res_add_signed(w->planned, need, sign);
	f->racks[w->rack].dirty = true;
	f->azs[w->az].release_seq++;
}
