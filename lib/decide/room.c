#include <stdlib.h>

#include "decide/internal.h"

int32_t res_count(struct res need, struct res room, int32_t max)
{
	int32_t n = max;

	if (room.acc < 0 || room.cores < 0 || room.mem < 0)
		return 0;
	if (need.acc)
		n = min32(n, room.acc / need.acc);
	if (need.cores)
		n = min32(n, room.cores / need.cores);
	if (need.mem)
		n = min32(n, room.mem / need.mem);
	return n;
}

struct res room_idle(const struct worker *w)
{
	return res_sub(w->cap, res_add(w->firm, res_add(w->inside, w->lent)));
}

struct res room_firm(const struct worker *w)
{
	struct res staying = res_sub(w->firm, w->leaving_firm);

	return res_sub(w->cap, res_add(staying, w->plan));
}

struct res room_beyond(const struct worker *w)
{
	struct res urgent = res_sub(w->firm, w->beyond);

	return res_sub(w->cap, res_add(urgent, w->plan));
}

bool job_is_beyond(const struct job *j)
{
	return j->class == TG_CLASS_GUARANTEED && !j->g;
}

struct res room_of(const struct worker *w, enum view v)
{
	if (w->health != TG_WORKER_UP)
		return (struct res){ 0 };
	switch (v) {
	case VIEW_IDLE:
		return room_idle(w);
	case VIEW_FIRM:
		return res_min(room_idle(w), room_firm(w));
	case VIEW_OVER_BEYOND:
		return room_beyond(w);
	case VIEW_OVER_LENT:
		break;
	}
	return room_firm(w);
}

static void add_sums(const struct tg_fleet *f, struct rack *r,
		     const struct worker *w)
{
	struct res idle = room_idle(w), firm = room_firm(w);

	r->acc += w->cap.acc;
	if (w->health != TG_WORKER_DOWN)
		r->acc_alive += w->cap.acc;
	if (w->health != TG_WORKER_UP)
		return;
	r->acc_up += w->cap.acc;
	r->max_idle = res_max(r->max_idle, idle);
	r->max_firm = res_max(r->max_firm, firm);
	r->max_beyond = res_max(r->max_beyond, room_beyond(w));
	r->idle_acc += max32(0, idle.acc);
	r->firm_acc += max32(0, firm.acc);
	if (!is_whole(f, w)) {
		if (f->shape.acc && idle.acc > 0)
			r->parts += (double)idle.acc * idle.acc / f->shape.acc;
		return;
	}
	r->whole++;
	r->shapes += res_count(f->shape, idle, INT32_MAX);
}

/* The sums are a cache, so that a fleet that is read only may fill it. */
const struct rack *rack_sums(const struct tg_fleet *f, int32_t rack)
{
	struct rack *r = &f->racks[rack];
	int32_t i;

	if (!r->dirty)
		return r;
	r->max_idle = r->max_firm = r->max_beyond = (struct res){ 0 };
	r->idle_acc = r->firm_acc = r->whole = r->shapes = 0;
	r->parts = 0;
	r->acc = r->acc_alive = r->acc_up = 0;
	for (i = 0; i < r->n_workers; i++)
		add_sums(f, r, &f->workers[r->workers[i]]);
	r->dirty = false;
	return r;
}

const struct az *az_sums(const struct tg_fleet *f, int32_t az)
{
	struct az *z = &f->azs[az];
	int32_t i;

	if (z->sums_at == z->changed + 1)
		return z;
	z->sums_at = z->changed + 1;
	z->idle_acc = z->most_whole = 0;
	for (i = 0; i < z->n_racks; i++) {
		const struct rack *r = rack_sums(f, z->racks[i]);

		z->idle_acc += r->idle_acc;
		z->most_whole = max32(z->most_whole, r->whole);
	}
	return z;
}

static struct res *sum_of(struct worker *w, const struct job *j)
{
	if (j->g)
		return &w->inside;
	return j->class == TG_CLASS_LENT ? &w->lent : &w->firm;
}

static void add_resident(struct worker *w, struct job *j)
{
	int32_t i;

	for (i = 0; i < w->n_jobs; i++)
		if (w->jobs[i].job == j)
			break;
	if (i == w->n_jobs) {
		/* Grown by doubling, like the counts 1, 2, 4, 8. */
		if (!(w->n_jobs & (w->n_jobs - 1)))
			w->jobs = tg_xrealloc(w->jobs,
					      (size_t)max32(1, 2 * w->n_jobs) *
						      sizeof(*w->jobs));
		w->jobs[w->n_jobs++] = (struct resident){ j, 0 };
	}
	w->jobs[i].n++;
}

static void remove_resident(struct worker *w, const struct job *j)
{
	int32_t i;

	for (i = 0; i < w->n_jobs; i++)
		if (w->jobs[i].job == j)
			break;
	if (i == w->n_jobs || --w->jobs[i].n)
		return;
	/* Keeps the order, so that decisions depend on facts only. */
	w->n_jobs--;
	for (; i < w->n_jobs; i++)
		w->jobs[i] = w->jobs[i + 1];
}

void room_take(struct tg_fleet *f, struct job *j)
{
	int32_t i;

	for (i = 0; i < j->tasks; i++) {
		struct worker *w = &f->workers[j->workers[i]];
		struct res *sum = sum_of(w, j);

		*sum = res_add(*sum, j->need);
		if (job_is_beyond(j))
			w->beyond = res_add(w->beyond, j->need);
		add_resident(w, j);
		f->racks[w->rack].dirty = true;
		f->azs[w->az].changed++;
	}
	j->ws->used_acc += job_acc(j);
}

static void count_leaving(struct worker *w, const struct job *j, int sign)
{
	w->leaving = res_move(w->leaving, j->need, sign);
	if (job_is_beyond(j))
		w->leaving_firm = res_move(w->leaving_firm, j->need, sign);
}

void room_bind(struct worker *w, const struct job *j, int sign)
{
	w->inside = res_move(w->inside, j->need, sign);
	w->firm = res_move(w->firm, j->need, -sign);
	w->beyond = res_move(w->beyond, j->need, -sign);
}

void room_give(struct tg_fleet *f, struct job *j)
{
	int32_t i;

	for (i = 0; i < j->tasks; i++) {
		struct worker *w = &f->workers[j->workers[i]];
		struct res *sum = sum_of(w, j);

		*sum = res_sub(*sum, j->need);
		if (job_is_beyond(j))
			w->beyond = res_sub(w->beyond, j->need);
		if (j->reclaiming)
			count_leaving(w, j, -1);
		remove_resident(w, j);
		f->racks[w->rack].dirty = true;
		f->azs[w->az].changed++;
		f->azs[w->az].freed++;
	}
	j->ws->used_acc -= job_acc(j);
	j->reclaiming = false;
}

void room_leaving(struct tg_fleet *f, struct job *j)
{
	int32_t i;

	if (j->reclaiming)
		return;
	j->reclaiming = true;
	for (i = 0; i < j->tasks; i++) {
		struct worker *w = &f->workers[j->workers[i]];

		count_leaving(w, j, 1);
		f->racks[w->rack].dirty = true;
		f->azs[w->az].changed++;
		f->azs[w->az].freed++;
	}
}

void room_plan(struct tg_fleet *f, int32_t worker, struct res need, int sign)
{
	struct worker *w = &f->workers[worker];

	w->plan = res_move(w->plan, need, sign);
	f->racks[w->rack].dirty = true;
	f->azs[w->az].freed++;
}
