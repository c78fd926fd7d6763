#include <stdlib.h>

#include "decide/internal.h"

/*
 * Defragmentation: moves lent and uncovered jobs so that more capacity is
 * available for the largest guaranteed shape.  A move is a checkpoint, a stop
 * and a start on other workers.
 *
 * The limits keep the cost of moves below a few percent of the run time if a
 * checkpoint and a start take half a minute together: a job runs for at least
 * MOVE_MIN_RUN_MS between moves and does not move when less than
 * MOVE_MIN_REMAINING_MS of its expected run time is left.
 */
#define MOVE_MIN_RUN_MS 1200000
#define MOVE_MIN_REMAINING_MS 600000
/*
 * Smallest gain in score of a move,, per accelerator of the job, so that a
 * large job does not move for a small gain.
 */
#define MOVE_MIN_GAIN 0.05
/* Number of AZs tried as destination, the job's own AZ first. */
#define MOVE_AZS_MAX 3
/* Bounds the time of one search: an AZ of the target size runs some 400 jobs.
 */
#define CANDIDATES_MAX 24

bool worker_fits_shape(const struct tg_fleet *f, const struct worker *w)
{
	return f->shape.acc && w->health == TG_WORKER_UP &&
		res_fits(f->shape, idle_capacity(w));
}

/*
 * Fewer workers than the shape needs can't hold it yet.  Their score grows with
 * the square of their number, so that moves concentrate them in few racks.
 */
double rack_score(const struct tg_fleet *f, int32_t shape_workers)
{
	double needed = f->shape_within_rack ? f->shape_tasks : 1;

	if (shape_workers >= needed)
		return (double)shape_workers * f->shape.acc;
	return 0.5 * shape_workers * shape_workers / needed * f->shape.acc;
}

/*
 * Idle capacity of partly used workers counts by its square, so that each move
 * that empties a worker further is a gain, although it takes several moves to
 * empty a worker with several small jobs.
 */
#define FRAGMENT_WEIGHT 0.1

static double az_score(const struct tg_fleet *f, const struct az *z)
{
	double sum = 0;
	int32_t i;

	for (i = 0; i < z->n_racks; i++) {
		const struct rack *r = rack_sums(f, z->racks[i]);

		sum += rack_score(f, r->shape_workers) +
			FRAGMENT_WEIGHT * r->fragment_score;
	}
	return sum;
}

/* The rack with most workers that can hold a task of the shape, or NONE. */
static int32_t rack_with_most_shape_workers(const struct tg_fleet *f,
					    const struct az *z)
{
	int32_t i, n, most = 0, best = NONE;

	for (i = 0; i < z->n_racks; i++) {
		n = rack_sums(f, z->racks[i])->shape_workers;
		if (n <= most)
			continue;
		most = n;
		best = z->racks[i];
	}
	return best;
}

/* Whether AZ @a lacks less than @b to hold the whole shape in one rack. */
static bool is_closer_to_shape(const struct tg_fleet *f, int32_t a, int32_t b)
{
	const struct az *x = az_sums(f, a), *y = az_sums(f, b);
	int32_t needed = f->shape_tasks;
	int32_t m = min32(x->max_shape_workers, needed);
	int32_t n = min32(y->max_shape_workers, needed);

	if (m != n)
		return m > n;
	if (x->idle_acc != y->idle_acc)
		return x->idle_acc > y->idle_acc;
	return a < b;
}

bool defrag_keeps_free(const struct tg_fleet *f, int32_t az)
{
	int64_t shape = (int64_t)f->shape_tasks * f->shape.acc, idle = 0, most;
	int32_t i, closer = 0;

	for (i = 0; i < f->n_azs; i++) {
		idle += az_sums(f, i)->idle_acc;
		closer += i != az && is_closer_to_shape(f, i, az);
	}
	most = shape ? idle / shape : 0;
	return closer < (most > 1 ? most : 1);
}

void defrag_choose_kept_free(struct tg_fleet *f, int32_t az)
{
	struct az *z = &f->azs[az];
	int32_t rack, k, left = f->shape_tasks;
	const struct rack *r;

	if (z->kept_free_at == z->change_seq)
		return;
	z->kept_free_at = z->change_seq;
	rack = rack_with_most_shape_workers(f, z);
	if (z->kept_free_rack) {
		r = &f->racks[z->kept_free_rack - 1];
		for (k = 0; k < r->n_workers; k++)
			f->workers[r->workers[k]].kept_free = false;
	}
	z->kept_free_rack = rack + 1;
	if (rack == NONE)
		return;
	r = &f->racks[rack];
	for (k = 0; k < r->n_workers && left; k++) {
		struct worker *w = &f->workers[r->workers[k]];

		w->kept_free = worker_fits_shape(f, w);
		left -= w->kept_free;
	}
}

static bool can_move(const struct tg_fleet *f, const struct job *j,
		     int64_t now_ms)
{
	if (job_is_uncovered(j) && f->azs[f->workers[j->workers[0]].az].at_risk)
		return false;
	return (j->class == TG_CLASS_LENT || job_is_uncovered(j)) &&
		j->state == JOB_RUNNING && j->need.acc && !j->reclaiming &&
		now_ms - j->started_ms >= MOVE_MIN_RUN_MS &&
		job_remaining_ms(f, j, now_ms) >= MOVE_MIN_REMAINING_MS;
}

static double score_of_azs(const struct tg_fleet *f, int32_t a, int32_t b)
{
	return az_score(f, &f->azs[a]) + (a == b ? 0 : az_score(f, &f->azs[b]));
}

/*
 * Gain in score of both AZs if the job moves to AZ @to; 0 if it doesn't fit
 * there.  @workers receives the new workers.
 */
static double gain_of_move(struct tg_fleet *f, struct job *j, int32_t from,
			   int32_t to, int64_t now_ms, int32_t *workers)
{
	enum capacity_kind kind = j->class == TG_CLASS_LENT ?
		CAPACITY_IDLE :
		CAPACITY_IDLE_UNCOMMITTED;
	double before = score_of_azs(f, from, to), gain = 0;
	int32_t *old = j->workers;

	usage_remove_job(f, j);
	j->workers = workers;
	if (place_gang(f, j, to, kind, false, false, now_ms, workers)) {
		usage_add_job(f, j);
		gain = score_of_azs(f, from, to) - before;
		usage_remove_job(f, j);
	}
	j->workers = old;
	usage_add_job(f, j);
	return gain;
}

static size_t collect_candidates_in_rack(const struct tg_fleet *f,
					 const struct rack *r, int64_t now_ms,
					 struct job **candidates, size_t n)
{
	int32_t k, m;
	size_t c;

	for (k = 0; k < r->n_workers; k++) {
		const struct worker *w = &f->workers[r->workers[k]];

		for (m = 0; m < w->n_jobs && n < CANDIDATES_MAX; m++) {
			struct job *j = w->jobs[m].job;

			if (!can_move(f, j, now_ms))
				continue;
			for (c = 0; c < n && candidates[c] != j; c++)
				;
			if (c == n)
				candidates[n++] = j;
		}
	}
	return n;
}

/*
 * Candidates for a move, rack by rack.  Each search continues after the rack
 * where the one before had enough candidates.
 */
static size_t collect_candidates(const struct tg_fleet *f, struct az *z,
				 int64_t now_ms, struct job **candidates)
{
	int32_t i;
	size_t n = 0;

	for (i = 0; i < z->n_racks && n < CANDIDATES_MAX; i++) {
		z->last_defrag_rack = (z->last_defrag_rack + 1) % z->n_racks;
		n = collect_candidates_in_rack(
			f, &f->racks[z->racks[z->last_defrag_rack]], now_ms,
			candidates, n);
	}
	return n;
}

struct job *defrag_pick(struct tg_fleet *f, int32_t az, int64_t now_ms)
{
	struct job *candidates[CANDIDATES_MAX], *best = NULL;
	size_t n = collect_candidates(f, &f->azs[az], now_ms, candidates), i;
	double best_score = 0;

	for (i = 0; i < n; i++) {
		struct job *j = candidates[i];
		int32_t k,
			azs = j->az == NONE ? min32(f->n_azs, MOVE_AZS_MAX) : 1;

		for (k = 0; k < azs; k++) {
			int32_t to = (az + k) % f->n_azs;
			int32_t *workers =
				tg_xcalloc((size_t)j->tasks, sizeof(*workers));
			double gain =
				gain_of_move(f, j, az, to, now_ms, workers);
			double score = gain / (double)job_acc(j);

			if (score < MOVE_MIN_GAIN || score <= best_score) {
				free(workers);
				continue;
			}
			if (best) {
				free(best->move_target);
				best->move_target = NULL;
			}
			best = j;
			best_score = score;
			j->move_target = workers;
		}
	}
	return best;
}
