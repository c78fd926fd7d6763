#include <stdlib.h>

#include "decide/internal.h"

/* Room that a running job is expected to free. */
struct release {
	int64_t at_ms;
	int32_t worker;
	struct res idle, firm;
};

struct forecast {
	struct tg_fleet *f;
	const struct job *j;
	int32_t az;
	struct release *list;
	size_t n;
	int32_t total; /* tasks that fit at the time looked at */
};

void reserve_drop(struct tg_fleet *f, struct az *az)
{
	int32_t i;

	for (i = 0; i < az->kept.n_workers; i++)
		f->workers[az->kept.workers[i]].reserved = false;
	free(az->kept.workers);
	az->kept = (struct reservation){ 0 };
	az->freed++;
}

void reserve_forget(struct tg_fleet *f, const struct job *j)
{
	int32_t i;

	for (i = 0; i < f->n_azs; i++)
		if (f->azs[i].kept.job == j)
			reserve_drop(f, &f->azs[i]);
}

static int by_time(const void *a, const void *b)
{
	const struct release *x = a, *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->worker - y->worker;
}

static int32_t count_at(const struct forecast *c, int32_t id)
{
	struct res room = c->f->room[id];

	if (c->f->workers[id].health != TG_WORKER_UP)
		return 0;
	if (c->j->class != TG_CLASS_LENT)
		room = res_min(room, c->f->room_later[id]);
	return res_count(c->j->need, room, c->j->tasks);
}

static void add_releases(struct forecast *c, int32_t id, int64_t now_ms)
{
	const struct worker *w = &c->f->workers[id];
	int32_t i;

	for (i = 0; i < w->n_jobs; i++) {
		const struct job *j = w->jobs[i].job;
		int32_t k = w->jobs[i].n;
		struct res use = { j->need.acc * k, j->need.cores * k,
				   j->need.mem * k };
		struct release *r = &c->list[c->n++];

		*r = (struct release){ .worker = id, .idle = use };
		r->at_ms = j->reclaiming ? now_ms : job_end_ms(c->f, j, now_ms);
		if (j->class != TG_CLASS_LENT && !j->g)
			r->firm = use;
	}
}

static void collect(struct forecast *c, int64_t now_ms)
{
	struct tg_fleet *f = c->f;
	const struct az *az = &f->azs[c->az];
	int32_t i, k;
	size_t n = 0;

	for (i = 0; i < az->n_racks; i++) {
		const struct rack *r = &f->racks[az->racks[i]];

		for (k = 0; k < r->n_workers; k++)
			n += (size_t)f->workers[r->workers[k]].n_jobs;
	}
	c->list = tg_xcalloc(n, sizeof(*c->list));
	for (i = 0; i < az->n_racks; i++) {
		const struct rack *r = &f->racks[az->racks[i]];

		f->fit[az->racks[i]] = 0;
		for (k = 0; k < r->n_workers; k++) {
			int32_t id = r->workers[k], fit;

			f->room[id] = room_idle(&f->workers[id]);
			f->room_later[id] = room_firm(&f->workers[id]);
			fit = count_at(c, id);
			f->fit[az->racks[i]] += fit;
			c->total += fit;
			add_releases(c, id, now_ms);
		}
	}
	qsort(c->list, c->n, sizeof(*c->list), by_time);
}

/* The rack that holds the gang, NONE, or -2 if several racks do. */
#define SEVERAL_RACKS (-2)

static int32_t rack_now(const struct forecast *c)
{
	const struct az *az = &c->f->azs[c->az];
	int32_t i;

	for (i = 0; i < az->n_racks; i++)
		if (c->f->fit[az->racks[i]] >= c->j->tasks)
			return az->racks[i];
	if (!c->j->within_rack && c->total >= c->j->tasks)
		return SEVERAL_RACKS;
	return NONE;
}

static bool advance(struct forecast *c, int64_t *at_ms, int32_t *rack)
{
	struct tg_fleet *f = c->f;
	size_t i;

	*rack = rack_now(c);
	for (i = 0; *rack == NONE && i < c->n; i++) {
		const struct release *r = &c->list[i];
		int32_t id = r->worker, in = f->workers[id].rack;
		int32_t before = count_at(c, id), more;

		f->room[id] = res_add(f->room[id], r->idle);
		f->room_later[id] = res_add(f->room_later[id], r->firm);
		more = count_at(c, id) - before;
		*at_ms = r->at_ms;
		f->fit[in] += more;
		c->total += more;
		if (more && f->fit[in] >= c->j->tasks)
			*rack = in;
		else if (!c->j->within_rack && c->total >= c->j->tasks)
			*rack = SEVERAL_RACKS;
	}
	return *rack != NONE;
}

static int by_fit(const void *a, const void *b, void *arg)
{
	const struct tg_fleet *f = arg;
	int32_t x = *(const int32_t *)a, y = *(const int32_t *)b;

	if (f->fit[x] != f->fit[y])
		return f->fit[y] - f->fit[x];
	return x - y;
}

static int32_t keep_in_rack(const struct forecast *c, int32_t rack,
			    int32_t left, struct reservation *kept)
{
	const struct rack *r = &c->f->racks[rack];
	int32_t i, n;

	for (i = 0; i < r->n_workers && left > 0; i++) {
		n = count_at(c, r->workers[i]);
		if (!n)
			continue;
		left -= n;
		kept->workers[kept->n_workers++] = r->workers[i];
		c->f->workers[r->workers[i]].reserved = true;
	}
	return left;
}

static void keep(const struct forecast *c, int32_t rack,
		 struct reservation *kept)
{
	struct tg_fleet *f = c->f;
	const struct az *az = &f->azs[c->az];
	int32_t i, left = c->j->tasks;

	kept->workers =
		tg_xcalloc((size_t)az->n_workers, sizeof(*kept->workers));
	if (rack != SEVERAL_RACKS) {
		keep_in_rack(c, rack, left, kept);
		return;
	}
	for (i = 0; i < az->n_racks; i++)
		f->order[i] = az->racks[i];
	qsort_r(f->order, (size_t)az->n_racks, sizeof(*f->order), by_fit, f);
	for (i = 0; i < az->n_racks && left > 0; i++)
		left = keep_in_rack(c, f->order[i], left, kept);
}

bool reserve_make(struct tg_fleet *f, struct job *j, int32_t az, int64_t now_ms)
{
	struct forecast c = { .f = f, .j = j, .az = az };
	struct reservation *kept = &f->azs[az].kept;
	int64_t at_ms = now_ms;
	int32_t rack;

	collect(&c, now_ms);
	if (advance(&c, &at_ms, &rack)) {
		kept->job = j;
		kept->at_ms = at_ms;
		kept->made_ms = now_ms;
		keep(&c, rack, kept);
		f->azs[az].freed++;
	}
	free(c.list);
	return kept->job == j;
}
