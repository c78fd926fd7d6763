#include <stdlib.h>
#include <string.h>

#include "decide/internal.h"

struct az_idle {
	int64_t idle;
	int32_t az;
};

struct round {
	struct tg_fleet *f;
	int64_t now_ms;
	struct tg_action *out;
	size_t n, max;
	int32_t *workers_buf; /* scratch, one for each task of a job */
	int32_t workers_buf_cap;
	struct az_idle *azs; /* scratch, all AZs */
	bool *blocked; /* by AZ: an earlier job waits there, in strict order */
	struct job **victims; /* scratch, @max */
};

static struct tg_action *add_action(struct round *r, enum tg_action_kind kind,
				    const struct job *j)
{
	struct tg_action *a = &r->out[r->n++];

	*a = (struct tg_action){ .kind = kind, .job = j ? j->name : NULL };
	return a;
}

static void log_action(struct round *r, const struct tg_action *a)
{
	action_log_add(r->f, a, r->now_ms);
}

static int32_t *workers_buf_for(struct round *r, const struct job *j)
{
	if (j->tasks > r->workers_buf_cap) {
		r->workers_buf_cap = j->tasks;
		r->workers_buf = tg_xrealloc(r->workers_buf,
					     (size_t)r->workers_buf_cap *
						     sizeof(*r->workers_buf));
	}
	return r->workers_buf;
}

/* --- reports of quarantined workers and parked jobs --- */

static void report_quarantined_and_parked(struct round *r)
{
	struct tg_fleet *f = r->f;
	struct tg_action *a;
	size_t i;

	f->reported = tg_xrealloc(f->reported,
				  (f->n_newly_quarantined + 1) *
					  sizeof(*f->reported));
	for (i = 0; i < f->n_newly_quarantined && r->n < r->max; i++) {
		a = add_action(r, TG_ACT_QUARANTINE, NULL);
		a->n_workers = 1;
		snprintf(a->reason, sizeof(a->reason),
			 "%d different jobs failed in a row on %s",
			 f->opts.worker_failures,
			 f->workers[f->newly_quarantined[i]].name);
		f->reported[i] = f->newly_quarantined[i];
		a->workers = &f->reported[i];
		log_action(r, a);
	}
	f->n_newly_quarantined -= i;
	if (f->n_newly_quarantined)
		memmove(f->newly_quarantined, f->newly_quarantined + i,
			f->n_newly_quarantined * sizeof(*f->newly_quarantined));
	for (i = 0; i < f->newly_parked.n && r->n < r->max; i++) {
		a = add_action(r, TG_ACT_PARK, f->newly_parked.jobs[i]);
		tg_strlcpy(a->reason, f->newly_parked.jobs[i]->reason,
			   sizeof(a->reason));
		log_action(r, a);
	}
	f->newly_parked.n -= i;
	if (f->newly_parked.n)
		memmove(f->newly_parked.jobs, f->newly_parked.jobs + i,
			f->newly_parked.n * sizeof(struct job *));
}

/* --- assigned jobs --- */

static void start_job(struct round *r, struct job *j)
{
	struct tg_action *a = add_action(r, TG_ACT_START, j);

	list_remove(&r->f->assigned, j);
	j->state = JOB_RUNNING;
	j->started_ms = r->now_ms;
	r->f->n_running++;
	a->workers = j->workers;
	a->n_workers = j->tasks;
	snprintf(a->reason, sizeof(a->reason), "%.120s: %s", j->reason,
		 j->class == TG_CLASS_LENT ? "lent capacity" :
					     "capacity that is not lent");
	log_action(r, a);
}

static void reclaim_victims(struct round *r, struct job *j)
{
	size_t i, n;

	n = reclaim_for(r->f, j, r->now_ms, r->victims, r->max - r->n);
	for (i = 0; i < n; i++) {
		struct tg_action *a =
			add_action(r, TG_ACT_RECLAIM, r->victims[i]);

		tg_strlcpy(a->beneficiary, j->name, sizeof(a->beneficiary));
		snprintf(a->reason, sizeof(a->reason),
			 "%s is reclaimed for job %.63s",
			 r->victims[i]->class == TG_CLASS_LENT ?
				 "lent capacity" :
				 "capacity not covered by a guarantee",
			 j->name);
		log_action(r, a);
	}
}

/* A job that other jobs may reclaim must not reclaim any itself. */
static bool may_reclaim(const struct job *j)
{
	return j->class != TG_CLASS_LENT && !job_is_uncovered(j);
}

/*
 * Starts an assigned job, or reclaims the jobs whose capacity it needs.  A job
 * that may not reclaim is queued again if its workers lack capacity: one that
 * moves and whose new workers were taken meanwhile, or one whose guarantee
 * lapsed while it waited for its slots.
 *
 * Return: whether the job was started or queued again.
 */
static bool start_or_reclaim(struct round *r, struct job *j)
{
	if (r->n == r->max)
		return false;
	if (!assigned_job_fits(r->f, j)) {
		if (!may_reclaim(j)) {
			job_release(r->f, j);
			queue_insert(r->f, j);
			return true;
		}
		reclaim_victims(r, j);
	}
	if (r->n == r->max || !assigned_job_fits(r->f, j))
		return false;
	start_job(r, j);
	return true;
}

static void start_or_reclaim_assigned(struct round *r)
{
	size_t i = 0;

	while (i < r->f->assigned.n && r->n < r->max)
		if (!start_or_reclaim(r, r->f->assigned.jobs[i]))
			i++;
}

static void assign_and_start(struct round *r, struct job *j,
			     struct guarantee *g, const char *reason)
{
	queue_remove(r->f, j);
	tg_strlcpy(j->reason, reason, sizeof(j->reason));
	job_assign(r->f, j, r->workers_buf, g);
	start_or_reclaim(r, j);
}

/* --- placements --- */

static bool is_start_time_reached(const struct round *r, const struct job *j)
{
	return r->now_ms >= j->not_before_ms;
}

static bool within_quota(const struct job *j)
{
	return !j->ws->quota || j->ws->used_acc + job_acc(j) <= j->ws->quota;
}

/*
 * While queued jobs request more than BACKLOG times all accelerators, the time
 * for which jobs leave the workers that are kept free alone is divided by
 * BACKLOG_KEEP_FREE_DIVISOR, since the capacity is needed: at a load of 90%,
 * utilization was 2.5 percentage points lower with the full time than with a
 * fifth of it.
 */
#define BACKLOG 3
#define BACKLOG_KEEP_FREE_DIVISOR 3

/*
 * Whether the job may not use the workers that the AZ keeps free for the
 * largest shape.  A job too large to ever fit beside them may use them at once,
 * because waiting would gain it nothing.
 */
static bool must_avoid_kept_free(const struct round *r, const struct job *j,
				 int32_t az)
{
	const struct tg_fleet *f = r->f;
	int64_t shape = (int64_t)f->shape_tasks * f->shape.acc;
	int64_t wait_ms = f->keep_free_ms;

	if (f->queued_acc > BACKLOG * f->acc)
		wait_ms /= BACKLOG_KEEP_FREE_DIVISOR;
	return j->class != TG_CLASS_URGENT && j->need.acc &&
		r->now_ms < j->submitted_ms + wait_ms &&
		job_acc(j) <= f->azs[az].acc - shape &&
		defrag_keeps_free(f, az);
}

static bool place_in(struct round *r, struct job *j, enum capacity_kind kind,
		     int32_t az)
{
	struct tg_fleet *f = r->f;
	struct reservation *reservation = &f->azs[az].reservation;
	bool use_reserved =
		j->class == TG_CLASS_URGENT || reservation->job == j;
	bool avoid_kept_free = must_avoid_kept_free(r, j, az);

	if (r->blocked[az])
		return false;
	if (avoid_kept_free)
		defrag_choose_kept_free(f, az);
	/*
	 * Backfill: a lent job may run on reserved workers if it is expected to
	 * end before the reservation is due.  If it still runs then, it is
	 * reclaimed.
	 */
	if (!use_reserved && reservation->job && j->class == TG_CLASS_LENT &&
	    job_end_ms(f, j, r->now_ms) <= reservation->expected_start_ms)
		use_reserved = j->backfilled = true;
	if (place_gang(f, j, az, kind, use_reserved, avoid_kept_free, r->now_ms,
		       workers_buf_for(r, j)))
		return true;
	j->backfilled = false;
	return false;
}

static int by_idle(const void *a, const void *b)
{
	const struct az_idle *x = a, *y = b;

	if (x->idle != y->idle)
		return x->idle < y->idle ? -1 : 1;
	return x->az - y->az;
}

/*
 * Tries every AZ.  With the fullest first, idle capacity concentrates in few
 * AZs, where it can hold larger shapes.
 */
static bool place_in_any_az(struct round *r, struct job *j,
			    enum capacity_kind kind)
{
	struct tg_fleet *f = r->f;
	int32_t i;

	for (i = 0; i < f->n_azs; i++) {
		r->azs[i].az = i;
		r->azs[i].idle = f->policy->fullest_az_first ?
			az_sums(f, i)->idle_acc :
			0;
	}
	qsort(r->azs, (size_t)f->n_azs, sizeof(*r->azs), by_idle);
	for (i = 0; i < f->n_azs; i++)
		if (place_in(r, j, kind, r->azs[i].az))
			return true;
	return false;
}

static bool place_in_allowed_azs(struct round *r, struct job *j,
				 enum capacity_kind kind)
{
	return j->az == NONE ? place_in_any_az(r, j, kind) :
			       place_in(r, j, kind, j->az);
}

static bool place_urgent(struct round *r, struct job *j)
{
	return place_in_allowed_azs(r, j, CAPACITY_IDLE_UNCOMMITTED) ||
		place_in_allowed_azs(r, j, CAPACITY_RECLAIM_LENT) ||
		(r->f->policy->urgent_reclaims_uncovered &&
		 place_in_allowed_azs(r, j, CAPACITY_RECLAIM_UNCOVERED));
}

static void start_urgent(struct round *r)
{
	struct queue *q = &r->f->queues[TG_CLASS_URGENT];
	size_t i = 0;

	while (i < q->n && r->n < r->max) {
		struct job *j = q->jobs[i];

		if (!is_start_time_reached(r, j) || !within_quota(j) ||
		    !place_urgent(r, j))
			i++;
		else
			assign_and_start(r, j, NULL, "urgent");
	}
}

static void start_guaranteed(struct round *r)
{
	struct queue *q = &r->f->queues[TG_CLASS_GUARANTEED];
	size_t i = 0;

	while (i < q->n && r->n < r->max) {
		struct job *j = q->jobs[i];
		struct guarantee *g = guarantee_for(r->f, j, true);

		if (!g || !is_start_time_reached(r, j) ||
		    !place_in_slots(r->f, j, g, true, workers_buf_for(r, j)))
			i++;
		else
			assign_and_start(r, j, g, "guaranteed");
	}
}

/* --- other jobs, in the order of the policy --- */

static void block_or_reserve(struct round *r, struct job *j)
{
	struct tg_fleet *f = r->f;
	int64_t waited = r->now_ms - j->submitted_ms;
	int32_t az;

	for (az = 0; az < f->n_azs; az++) {
		if (j->az != NONE && j->az != az)
			continue;
		if (f->policy->strict_order)
			r->blocked[az] = true;
		else if (!f->azs[az].reservation.job && !f->azs[az].at_risk &&
			 (double)waited >= f->policy->reserve_after *
					 (double)f->policy->expected_run_ms(
						 j) &&
			 reserve_make(f, j, az, r->now_ms))
			return;
	}
}

static bool try_start(struct round *r, struct job *j)
{
	enum capacity_kind kind = j->class == TG_CLASS_LENT ?
		CAPACITY_IDLE :
		CAPACITY_IDLE_UNCOMMITTED;

	if (!is_start_time_reached(r, j) || !within_quota(j))
		return false;
	if (place_in_allowed_azs(r, j, kind)) {
		assign_and_start(r, j, NULL, "in queue order");
		return true;
	}
	block_or_reserve(r, j);
	return false;
}

/*
 * Reclaims backfilled jobs that still run on reserved workers although the
 * reservation is due.
 */
static void reclaim_overdue_backfill(struct round *r, struct az *az)
{
	struct job *j = az->reservation.job;
	int32_t i, k;

	if (!j || r->now_ms < az->reservation.expected_start_ms)
		return;
	for (i = 0; i < az->reservation.n_workers; i++) {
		struct worker *w = &r->f->workers[az->reservation.workers[i]];

		for (k = 0; k < w->n_jobs && r->n < r->max; k++) {
			struct job *victim = w->jobs[k].job;
			struct tg_action *a;

			if (!victim->backfilled || victim->reclaiming)
				continue;
			usage_mark_stopping(r->f, victim);
			a = add_action(r, TG_ACT_RECLAIM, victim);
			tg_strlcpy(a->beneficiary, j->name,
				   sizeof(a->beneficiary));
			snprintf(a->reason, sizeof(a->reason),
				 "still runs on workers that are now reserved "
				 "for job %.63s",
				 j->name);
			log_action(r, a);
		}
	}
}

/*
 * How long after it was made and was due a reservation is replaced by a new one
 * if its job has not started.
 */
#define RESERVATION_RETRY_MS 60000

static void start_reserved(struct round *r)
{
	struct tg_fleet *f = r->f;
	int32_t i;

	for (i = 0; i < f->n_azs && r->n < r->max; i++) {
		struct az *az = &f->azs[i];
		struct job *j = az->reservation.job;

		if (!j || try_start(r, j))
			continue;
		reclaim_overdue_backfill(r, az);
		if (r->now_ms < az->reservation.expected_start_ms +
				    RESERVATION_RETRY_MS ||
		    r->now_ms < az->reservation.made_ms + RESERVATION_RETRY_MS)
			continue;
		reserve_drop(f, az);
		reserve_make(f, j, i, r->now_ms);
	}
}

static void start_in_policy_order(struct round *r)
{
	struct queue *guaranteed = &r->f->queues[TG_CLASS_GUARANTEED];
	struct queue *lent = &r->f->queues[TG_CLASS_LENT];
	size_t g = 0, l = 0;

	while ((g < guaranteed->n || l < lent->n) && r->n < r->max) {
		bool take_guaranteed = l == lent->n ||
			(g < guaranteed->n &&
			 guaranteed->jobs[g]->key <= lent->jobs[l]->key);
		struct job *j =
			take_guaranteed ? guaranteed->jobs[g] : lent->jobs[l];

		if (try_start(r, j))
			continue;
		if (take_guaranteed)
			g++;
		else
			l++;
	}
}

/* --- moves --- */

/*
 * Moves a job against fragmentation.  Happens only in a round without any other
 * action, and in one AZ per round, which bounds the time of the round.
 */
static void move_for_defrag(struct round *r)
{
	struct tg_fleet *f = r->f;
	struct tg_action *a;
	struct job *j;
	struct az *az;

	if (r->n || !f->policy->defrag_period_ms || !f->n_azs)
		return;
	f->last_defrag_az = (f->last_defrag_az + 1) % f->n_azs;
	az = &f->azs[f->last_defrag_az];
	if (r->now_ms < az->next_defrag_ms)
		return;
	az->next_defrag_ms = r->now_ms + f->policy->defrag_period_ms;
	j = defrag_pick(f, f->last_defrag_az, r->now_ms);
	if (!j)
		return;
	usage_mark_stopping(f, j);
	a = add_action(r, TG_ACT_RECLAIM, j);
	snprintf(a->reason, sizeof(a->reason),
		 "moves, so that more workers have capacity for the "
		 "largest guaranteed shape");
	log_action(r, a);
}

size_t tg_decide(struct tg_fleet *f, int64_t now_ms, struct tg_action *out,
		 size_t max)
{
	struct round r = { .f = f, .now_ms = now_ms, .out = out, .max = max };

	if (!max)
		return 0;
	r.blocked = tg_xcalloc((size_t)f->n_azs, sizeof(*r.blocked));
	r.azs = tg_xcalloc((size_t)f->n_azs, sizeof(*r.azs));
	r.victims = tg_xcalloc(max, sizeof(struct job *));
	plan_lapse(f, now_ms);
	plan_check(f);
	report_quarantined_and_parked(&r);
	start_or_reclaim_assigned(&r);
	queue_refresh(f, now_ms);
	start_urgent(&r);
	start_guaranteed(&r);
	start_reserved(&r);
	start_in_policy_order(&r);
	move_for_defrag(&r);
	free(r.workers_buf);
	free(r.blocked);
	free(r.azs);
	free(r.victims);
	return r.n;
}

int64_t tg_fleet_next_decision_ms(const struct tg_fleet *f, int64_t now_ms)
{
	int64_t next = INT64_MAX;
	size_t c, i;
	int32_t k;

	for (i = 0; i < f->n_guarantees; i++) {
		int64_t at = f->guarantees[i].lapses_ms;

		if (!f->guarantees[i].lapsed && at < next)
			next = at;
	}
	for (c = 0; c < ARRAY_SIZE(f->queues); c++)
		for (i = 0; i < f->queues[c].n; i++) {
			const struct job *j = f->queues[c].jobs[i];
			int64_t at = j->not_before_ms;

			if (at > now_ms && at < next)
				next = at;
			at = j->submitted_ms + f->keep_free_ms;
			if (at > now_ms && at < next)
				next = at;
			at = j->submitted_ms +
				f->keep_free_ms / BACKLOG_KEEP_FREE_DIVISOR;
			if (at > now_ms && at < next)
				next = at;
		}
	for (k = 0; k < f->n_azs; k++) {
		const struct reservation *reservation = &f->azs[k].reservation;
		int64_t at = reservation->expected_start_ms;

		if (!reservation->job)
			continue;
		if (at <= now_ms)
			at = reservation->expected_start_ms >
					reservation->made_ms ?
				reservation->expected_start_ms :
				reservation->made_ms;
		if (at <= now_ms)
			at += RESERVATION_RETRY_MS;
		if (at <= now_ms)
			at = now_ms + RESERVATION_RETRY_MS;
		if (at < next)
			next = at;
	}
	return next > now_ms ? next : now_ms;
}
