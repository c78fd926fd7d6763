#include <stdlib.h>

#include "decide/internal.h"

/* Capacity of a worker that a running job is expected to release. */
struct expected_release {
	int64_t at_ms;
	int32_t worker;
	struct res idle, uncommitted;
};

struct forecast {
	struct tg_fleet *f;
	const struct job *j;
	int32_t az;
	struct expected_release *releases;
	size_t n;
	int32_t total_fit; /* tasks that fit at the time of the forecast */
};

void reserve_drop(struct tg_fleet *f, struct az *az)
{
	int32_t i;

	for (i = 0; i < az->reservation.n_workers; i++)
		f->workers[az->reservation.workers[i]].reserved = false;
	free(az->reservation.workers);
	az->reservation = (struct reservation){ 0 };
	az->release_seq++;
}

void reserve_drop_job(struct tg_fleet *f, const struct job *j)
{
	int32_t i;

	for (i = 0; i < f->n_azs; i++)
		if (f->azs[i].reservation.job == j)
			reserve_drop(f, &f->azs[i]);
}

static int by_time(const void *a, const void *b)
{
	const struct expected_release *x = a, *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->worker - y->worker;
}

static int32_t tasks_that_fit(const struct forecast *c, int32_t id)
{
	struct res avail = c->f->avail[id];

	if (c->f->workers[id].health != TG_WORKER_UP)
		return 0;
	if (c->j->class != TG_CLASS_LENT)
		avail = res_min(avail, c->f->avail_uncommitted[id]);
	return res_count(c->j->need, avail, c->j->tasks);
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
		struct expected_release *r = &c->releases[c->n++];

		*r = (struct expected_release){ .worker = id, .idle = use };
		r->at_ms = j->reclaiming ? now_ms : job_end_ms(c->f, j, now_ms);
		if (j->class != TG_CLASS_LENT && !j->g)
			r->uncommitted = use;
	}
}

static void collect_releases(struct forecast *c, int64_t now_ms)
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
	c->releases = tg_xcalloc(n, sizeof(*c->releases));
	for (i = 0; i < az->n_racks; i++) {
		const struct rack *r = &f->racks[az->racks[i]];

		f->rack_fit[az->racks[i]] = 0;
		for (k = 0; k < r->n_workers; k++) {
			int32_t id = r->workers[k], fit;

			f->avail[id] = idle_capacity(&f->workers[id]);
			f->avail_uncommitted[id] =
				uncommitted_capacity(&f->workers[id]);
			fit = tasks_that_fit(c, id);
			f->rack_fit[az->racks[i]] += fit;
			c->total_fit += fit;
			add_releases(c, id, now_ms);
		}
	}
	qsort(c->releases, c->n, sizeof(*c->releases), by_time);
}

/* Instead of a rack: only several racks together hold the job. */
#define SEVERAL_RACKS (-2)

/* The rack that holds the job at the time of the forecast, or NONE. */
static int32_t rack_that_fits(const struct forecast *c)
{
	const struct az *az = &c->f->azs[c->az];
	int32_t i;

	for (i = 0; i < az->n_racks; i++)
		if (c->f->rack_fit[az->racks[i]] >= c->j->tasks)
			return az->racks[i];
	if (!c->j->within_rack && c->total_fit >= c->j->tasks)
		return SEVERAL_RACKS;
	return NONE;
}

static bool find_earliest_start(struct forecast *c, int64_t *at_ms,
				int32_t *rack)
{
	struct tg_fleet *f = c->f;
	size_t i;

	*rack = rack_that_fits(c);
	for (i = 0; *rack == NONE && i < c->n; i++) {
		const struct expected_release *r = &c->releases[i];
		int32_t id = r->worker, worker_rack = f->workers[id].rack;
		int32_t before = tasks_that_fit(c, id), more;

		f->avail[id] = res_add(f->avail[id], r->idle);
		f->avail_uncommitted[id] =
			res_add(f->avail_uncommitted[id], r->uncommitted);
		more = tasks_that_fit(c, id) - before;
		*at_ms = r->at_ms;
		f->rack_fit[worker_rack] += more;
		c->total_fit += more;
		if (more && f->rack_fit[worker_rack] >= c->j->tasks)
			*rack = worker_rack;
		else if (!c->j->within_rack && c->total_fit >= c->j->tasks)
			*rack = SEVERAL_RACKS;
	}
	return *rack != NONE;
}

static int by_fit(const void *a, const void *b, void *arg)
{
	const struct tg_fleet *f = arg;
	int32_t x = *(const int32_t *)a, y = *(const int32_t *)b;

	if (f->rack_fit[x] != f->rack_fit[y])
		return f->rack_fit[y] - f->rack_fit[x];
	return x - y;
}

static int32_t reserve_in_rack(const struct forecast *c, int32_t rack,
			       int32_t left, struct reservation *reservation)
{
	const struct rack *r = &c->f->racks[rack];
	int32_t i, n;

	for (i = 0; i < r->n_workers && left > 0; i++) {
		n = tasks_that_fit(c, r->workers[i]);
		if (!n)
			continue;
		left -= n;
		reservation->workers[reservation->n_workers++] = r->workers[i];
		c->f->workers[r->workers[i]].reserved = true;
	}
	return left;
}

static void reserve_workers(const struct forecast *c, int32_t rack,
			    struct reservation *reservation)
{
	struct tg_fleet *f = c->f;
	const struct az *az = &f->azs[c->az];
	int32_t i, left = c->j->tasks;

	reservation->workers = tg_xcalloc((size_t)az->n_workers,
					  sizeof(*reservation->workers));
	if (rack != SEVERAL_RACKS) {
		reserve_in_rack(c, rack, left, reservation);
		return;
	}
	for (i = 0; i < az->n_racks; i++)
		f->rack_order[i] = az->racks[i];
	qsort_r(f->rack_order, (size_t)az->n_racks, sizeof(*f->rack_order),
		by_fit, f);
	for (i = 0; i < az->n_racks && left > 0; i++)
		left = reserve_in_rack(c, f->rack_order[i], left, reservation);
}

bool reserve_make(struct tg_fleet *f, struct job *j, int32_t az, int64_t now_ms)
{
	struct forecast c = { .f = f, .j = j, .az = az };
	struct reservation *reservation = &f->azs[az].reservation;
	int64_t at_ms = now_ms;
	int32_t rack;

	collect_releases(&c, now_ms);
	if (find_earliest_start(&c, &at_ms, &rack)) {
		reservation->job = j;
		reservation->expected_start_ms = at_ms;
		reservation->made_ms = now_ms;
		reserve_workers(&c, rack, reservation);
		f->azs[az].release_seq++;
	}
	free(c.releases);
	return reservation->job == j;
}
