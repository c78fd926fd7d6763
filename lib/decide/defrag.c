#include <stdlib.h>

#include "decide/internal.h"

/*
 * Moves of lent jobs that leave more room for the largest guaranteed shape.  A
 * move is a checkpoint, a stop and a start elsewhere.
 *
 * The bounds keep the cost of moves below a few percent of the run time when a
 * checkpoint and a start take half a minute: a job moves once in
 * MOVE_PERIOD_MS and not shortly before its expected end.
 */
#define MOVE_PERIOD_MS 1200000
#define MOVE_LEFT_MS 600000
/* Least gain of a move for each accelerator of the job. */
#define MOVE_GAIN 0.05
/* AZs in which a place is looked for, the job's own first. */
#define MOVE_AZS 3
/* Bounds the time of one search; at the target an AZ runs some 400 jobs. */
#define CANDIDATES_MAX 24

bool is_whole(const struct tg_fleet *f, const struct worker *w)
{
	return f->shape.acc && w->health == TG_WORKER_UP &&
		res_fits(f->shape, room_idle(w));
}

/*
 * Workers below the number that the shape takes can't serve it yet.  Their
 * worth grows with the square, so that they gather in few racks.
 */
double rack_worth(const struct tg_fleet *f, int32_t whole)
{
	double wanted = f->shape_within_rack ? f->shape_tasks : 1;

	if (whole >= wanted)
		return (double)whole * f->shape.acc;
	return 0.5 * whole * whole / wanted * f->shape.acc;
}

/*
 * Idle room on partly used workers counts by its square, so that workers with
 * several small jobs are emptied move by move.
 */
#define PARTS_WORTH 0.1

static double az_worth(const struct tg_fleet *f, const struct az *z)
{
	double sum = 0;
	int32_t i;

	for (i = 0; i < z->n_racks; i++) {
		const struct rack *r = rack_sums(f, z->racks[i]);

		sum += rack_worth(f, r->whole) + PARTS_WORTH * r->parts;
	}
	return sum;
}

/* The rack that is closest to a place for the shape, with a place or not. */
static int32_t best_rack(const struct tg_fleet *f, const struct az *z)
{
	int32_t i, n, most = 0, best = NONE;

	for (i = 0; i < z->n_racks; i++) {
		n = rack_sums(f, z->racks[i])->whole;
		if (n <= most)
			continue;
		most = n;
		best = z->racks[i];
	}
	return best;
}

/* Whether AZ @a is closer to a place for the shape than @b. */
static bool is_closer(const struct tg_fleet *f, int32_t a, int32_t b)
{
	const struct az *x = az_sums(f, a), *y = az_sums(f, b);
	int32_t wanted = f->shape_tasks;
	int32_t m = min32(x->most_whole, wanted);
	int32_t n = min32(y->most_whole, wanted);

	if (m != n)
		return m > n;
	if (x->idle_acc != y->idle_acc)
		return x->idle_acc > y->idle_acc;
	return a < b;
}

bool defrag_spares(const struct tg_fleet *f, int32_t az)
{
	int64_t shape = (int64_t)f->shape_tasks * f->shape.acc, idle = 0, most;
	int32_t i, closer = 0;

	for (i = 0; i < f->n_azs; i++) {
		idle += az_sums(f, i)->idle_acc;
		closer += i != az && is_closer(f, i, az);
	}
	most = shape ? idle / shape : 0;
	return closer < (most > 1 ? most : 1);
}

void defrag_spare(struct tg_fleet *f, int32_t az)
{
	struct az *z = &f->azs[az];
	int32_t rack, k, left = f->shape_tasks;
	const struct rack *r;

	if (z->spared_at == z->changed)
		return;
	z->spared_at = z->changed;
	rack = best_rack(f, z);
	if (z->spared_rack) {
		r = &f->racks[z->spared_rack - 1];
		for (k = 0; k < r->n_workers; k++)
			f->workers[r->workers[k]].spared = false;
	}
	z->spared_rack = rack + 1;
	if (rack == NONE)
		return;
	r = &f->racks[rack];
	for (k = 0; k < r->n_workers && left; k++) {
		struct worker *w = &f->workers[r->workers[k]];

		w->spared = is_whole(f, w);
		left -= w->spared;
	}
}

static bool can_move(const struct tg_fleet *f, const struct job *j,
		     int64_t now_ms)
{
	if (job_is_beyond(j) && f->azs[f->workers[j->workers[0]].az].at_risk)
		return false;
	return (j->class == TG_CLASS_LENT || job_is_beyond(j)) &&
		j->state == JOB_RUNNING && j->need.acc && !j->reclaiming &&
		now_ms - j->started_ms >= MOVE_PERIOD_MS &&
		job_remaining_ms(f, j, now_ms) >= MOVE_LEFT_MS;
}

static double worth_of_both(const struct tg_fleet *f, int32_t a, int32_t b)
{
	return az_worth(f, &f->azs[a]) + (a == b ? 0 : az_worth(f, &f->azs[b]));
}

/* What AZs gain if the job moves to where it is placed best in @to. */
static double gain_of(struct tg_fleet *f, struct job *j, int32_t from,
		      int32_t to, int64_t now_ms, int32_t *place)
{
	enum view v = j->class == TG_CLASS_LENT ? VIEW_IDLE : VIEW_FIRM;
	double before = worth_of_both(f, from, to), gain = 0;
	int32_t *old = j->workers;

	room_give(f, j);
	j->workers = place;
	if (place_gang(f, j, to, v, false, false, now_ms, place)) {
		room_take(f, j);
		gain = worth_of_both(f, from, to) - before;
		room_give(f, j);
	}
	j->workers = old;
	room_take(f, j);
	return gain;
}

static size_t collect_in_rack(const struct tg_fleet *f, const struct rack *r,
			      int64_t now_ms, struct job **list, size_t n)
{
	int32_t k, m;
	size_t c;

	for (k = 0; k < r->n_workers; k++) {
		const struct worker *w = &f->workers[r->workers[k]];

		for (m = 0; m < w->n_jobs && n < CANDIDATES_MAX; m++) {
			struct job *j = w->jobs[m].job;

			if (!can_move(f, j, now_ms))
				continue;
			for (c = 0; c < n && list[c] != j; c++)
				;
			if (c == n)
				list[n++] = j;
		}
	}
	return n;
}

/* Each search goes on where the one before had enough candidates. */
static size_t collect(const struct tg_fleet *f, struct az *z, int64_t now_ms,
		      struct job **list)
{
	int32_t i;
	size_t n = 0;

	for (i = 0; i < z->n_racks && n < CANDIDATES_MAX; i++) {
		z->defrag_rack = (z->defrag_rack + 1) % z->n_racks;
		n = collect_in_rack(f, &f->racks[z->racks[z->defrag_rack]],
				    now_ms, list, n);
	}
	return n;
}

struct job *defrag_pick(struct tg_fleet *f, int32_t az, int64_t now_ms)
{
	struct job *list[CANDIDATES_MAX], *best = NULL;
	size_t n = collect(f, &f->azs[az], now_ms, list), i;
	double best_score = 0;

	for (i = 0; i < n; i++) {
		struct job *j = list[i];
		int32_t k, azs = j->az == NONE ? min32(f->n_azs, MOVE_AZS) : 1;

		for (k = 0; k < azs; k++) {
			int32_t to = (az + k) % f->n_azs;
			int32_t *place =
				tg_xcalloc((size_t)j->tasks, sizeof(*place));
			double gain = gain_of(f, j, az, to, now_ms, place);
			double score = gain / (double)job_acc(j);

			/* A move of large jobs for a small gain is not worth
			   it. */
			if (score < MOVE_GAIN || score <= best_score) {
				free(place);
				continue;
			}
			if (best) {
				free(best->target);
				best->target = NULL;
			}
			best = j;
			best_score = score;
			j->target = place;
		}
	}
	return best;
}
