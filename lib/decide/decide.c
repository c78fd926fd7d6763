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
	int32_t *place; /* scratch, for the tasks of one job */
	int32_t place_cap;
	struct az_idle *azs; /* scratch, all AZs */
	bool *blocked; /* by AZ: a strict policy's first job waits there */
	struct job **victims; /* scratch, @max */
};

static struct tg_action *act(struct round *r, enum tg_action_kind kind,
			     const struct job *j)
{
	struct tg_action *a = &r->out[r->n++];

	*a = (struct tg_action){ .kind = kind, .job = j ? j->name : NULL };
	return a;
}

static void note(struct round *r, const struct tg_action *a)
{
	note_action(r->f, a, r->now_ms);
}

static int32_t *place_for(struct round *r, const struct job *j)
{
	if (j->tasks > r->place_cap) {
		r->place_cap = j->tasks;
		r->place = tg_xrealloc(
			r->place, (size_t)r->place_cap * sizeof(*r->place));
	}
	return r->place;
}

/* --- facts that need no decision --- */

static void report_failures(struct round *r)
{
	struct tg_fleet *f = r->f;
	struct tg_action *a;
	size_t i;

	f->reported = tg_xrealloc(f->reported,
				  (f->n_failing + 1) * sizeof(*f->reported));
	for (i = 0; i < f->n_failing && r->n < r->max; i++) {
		a = act(r, TG_ACT_QUARANTINE, NULL);
		a->n_workers = 1;
		snprintf(a->reason, sizeof(a->reason),
			 "%d different jobs failed in a row on %s",
			 f->opts.worker_failures,
			 f->workers[f->failing[i]].name);
		f->reported[i] = f->failing[i];
		a->workers = &f->reported[i];
		note(r, a);
	}
	f->n_failing -= i;
	if (f->n_failing)
		memmove(f->failing, f->failing + i,
			f->n_failing * sizeof(*f->failing));
	for (i = 0; i < f->parking.n && r->n < r->max; i++) {
		a = act(r, TG_ACT_PARK, f->parking.jobs[i]);
		tg_strlcpy(a->reason, f->parking.jobs[i]->why,
			   sizeof(a->reason));
		note(r, a);
	}
	f->parking.n -= i;
	if (f->parking.n)
		memmove(f->parking.jobs, f->parking.jobs + i,
			f->parking.n * sizeof(struct job *));
}

/* --- held jobs --- */

static void start(struct round *r, struct job *j)
{
	struct tg_action *a = act(r, TG_ACT_START, j);

	list_remove(&r->f->held, j);
	j->state = JOB_RUNNING;
	j->started_ms = r->now_ms;
	r->f->n_running++;
	a->workers = j->workers;
	a->n_workers = j->tasks;
	snprintf(a->reason, sizeof(a->reason), "%.120s: %s", j->why,
		 j->class == TG_CLASS_LENT ? "lent room" : "firm room");
	note(r, a);
}

static void reclaim(struct round *r, struct job *j)
{
	size_t i, n;

	n = reclaim_for(r->f, j, r->now_ms, r->victims, r->max - r->n);
	for (i = 0; i < n; i++) {
		struct tg_action *a = act(r, TG_ACT_RECLAIM, r->victims[i]);

		tg_strlcpy(a->beneficiary, j->name, sizeof(a->beneficiary));
		snprintf(a->reason, sizeof(a->reason),
			 "%s is reclaimed for job %.63s",
			 r->victims[i]->class == TG_CLASS_LENT ?
				 "lent room" :
				 "room beyond guarantees",
			 j->name);
		note(r, a);
	}
}

/* Work that others may reclaim may not make others stop. */
static bool may_reclaim(const struct job *j)
{
	return j->class != TG_CLASS_LENT && !job_is_beyond(j);
}

/*
 * Starts a held job or reclaims what is in its way.  A job that moves and finds
 * its new place taken waits in the queue again, and so does one that waits for
 * its slots when its guarantee lapses.
 *
 * Return: whether the job is no longer held.
 */
static bool carry_on(struct round *r, struct job *j)
{
	if (r->n == r->max)
		return false;
	if (!reclaim_room(r->f, j)) {
		if (!may_reclaim(j)) {
			job_release(r->f, j);
			queue_insert(r->f, j);
			return true;
		}
		reclaim(r, j);
	}
	if (r->n == r->max || !reclaim_room(r->f, j))
		return false;
	start(r, j);
	return true;
}

static void carry_on_held(struct round *r)
{
	size_t i = 0;

	while (i < r->f->held.n && r->n < r->max)
		if (!carry_on(r, r->f->held.jobs[i]))
			i++;
}

static void assign(struct round *r, struct job *j, struct guarantee *g,
		   const char *why)
{
	queue_remove(r->f, j);
	tg_strlcpy(j->why, why, sizeof(j->why));
	job_assign(r->f, j, r->place, g);
	carry_on(r, j);
}

/* --- placements --- */

static bool may_start(const struct round *r, const struct job *j)
{
	return r->now_ms >= j->not_before_ms;
}

static bool within_quota(const struct job *j)
{
	return !j->ws->quota || j->ws->used_acc + job_acc(j) <= j->ws->quota;
}

/*
 * While waiting jobs ask for more than BACKLOG times the accelerators, jobs
 * wait only this part of the time for the sake of spared places, since the
 * room is needed: at a load of 90%, utilization was 2.5 points lower with the
 * whole time than with a fifth of it.
 */
#define BACKLOG 3
#define BACKLOG_SPARE_PART 3

/*
 * Whether the job may not use what the AZ spares for the largest shape.  A job
 * that never fits beside the spared place gains nothing by waiting.
 */
static bool must_spare(const struct round *r, const struct job *j, int32_t az)
{
	const struct tg_fleet *f = r->f;
	int64_t shape = (int64_t)f->shape_tasks * f->shape.acc;
	int64_t wait_ms = f->spare_ms;

	if (f->queued_acc > BACKLOG * f->acc)
		wait_ms /= BACKLOG_SPARE_PART;
	return j->class != TG_CLASS_URGENT && j->need.acc &&
		r->now_ms < j->submitted_ms + wait_ms &&
		job_acc(j) <= f->azs[az].acc - shape && defrag_spares(f, az);
}

static bool place_in(struct round *r, struct job *j, enum view v, int32_t az)
{
	struct tg_fleet *f = r->f;
	struct reservation *kept = &f->azs[az].kept;
	bool use_kept = j->class == TG_CLASS_URGENT || kept->job == j;
	bool spare = must_spare(r, j, az);

	if (r->blocked[az])
		return false;
	if (spare)
		defrag_spare(f, az);
	/*
	 * Lent work may run on reserved workers until the reservation is due;
	 * it is reclaimed then, if its declared time was false.
	 */
	if (!use_kept && kept->job && j->class == TG_CLASS_LENT &&
	    job_end_ms(f, j, r->now_ms) <= kept->at_ms)
		use_kept = j->backfilled = true;
	if (place_gang(f, j, az, v, use_kept, spare, r->now_ms,
		       place_for(r, j)))
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

/* Any AZ: the fullest first, so that free room gathers in few. */
static bool place_anywhere(struct round *r, struct job *j, enum view v)
{
	struct tg_fleet *f = r->f;
	int32_t i;

	for (i = 0; i < f->n_azs; i++) {
		r->azs[i].az = i;
		r->azs[i].idle =
			f->policy->any_fullest ? az_sums(f, i)->idle_acc : 0;
	}
	qsort(r->azs, (size_t)f->n_azs, sizeof(*r->azs), by_idle);
	for (i = 0; i < f->n_azs; i++)
		if (place_in(r, j, v, r->azs[i].az))
			return true;
	return false;
}

static bool place_somewhere(struct round *r, struct job *j, enum view v)
{
	return j->az == NONE ? place_anywhere(r, j, v) :
			       place_in(r, j, v, j->az);
}

static bool place_urgent(struct round *r, struct job *j)
{
	return place_somewhere(r, j, VIEW_FIRM) ||
		place_somewhere(r, j, VIEW_OVER_LENT) ||
		(r->f->policy->urgent_over_beyond &&
		 place_somewhere(r, j, VIEW_OVER_BEYOND));
}

static void start_urgent(struct round *r)
{
	struct queue *q = &r->f->queues[TG_CLASS_URGENT];
	size_t i = 0;

	while (i < q->n && r->n < r->max) {
		struct job *j = q->jobs[i];

		if (!may_start(r, j) || !within_quota(j) || !place_urgent(r, j))
			i++;
		else
			assign(r, j, NULL, "urgent");
	}
}

static void start_guaranteed(struct round *r)
{
	struct queue *q = &r->f->queues[TG_CLASS_GUARANTEED];
	size_t i = 0;

	while (i < q->n && r->n < r->max) {
		struct job *j = q->jobs[i];
		struct guarantee *g = guarantee_for(r->f, j, true);

		if (!g || !may_start(r, j) ||
		    !place_in_slots(r->f, j, g, true, place_for(r, j)))
			i++;
		else
			assign(r, j, g, "guaranteed");
	}
}

/* --- the rest, in the policy's order --- */

static void wait_for_place(struct round *r, struct job *j)
{
	struct tg_fleet *f = r->f;
	int64_t waited = r->now_ms - j->submitted_ms;
	int32_t az;

	for (az = 0; az < f->n_azs; az++) {
		if (j->az != NONE && j->az != az)
			continue;
		if (f->policy->strict)
			r->blocked[az] = true;
		else if (!f->azs[az].kept.job && !f->azs[az].at_risk &&
			 (double)waited >= f->policy->patience *
					 (double)f->policy->run_ms(j) &&
			 reserve_make(f, j, az, r->now_ms))
			return;
	}
}

static bool try_rest(struct round *r, struct job *j)
{
	enum view v = j->class == TG_CLASS_LENT ? VIEW_IDLE : VIEW_FIRM;

	if (!may_start(r, j) || !within_quota(j))
		return false;
	if (place_somewhere(r, j, v)) {
		assign(r, j, NULL, "in turn");
		return true;
	}
	wait_for_place(r, j);
	return false;
}

/* Lent work that overran on workers reserved for a job that is due. */
static void enforce_kept(struct round *r, struct az *az)
{
	struct job *j = az->kept.job;
	int32_t i, k;

	if (!j || r->now_ms < az->kept.at_ms)
		return;
	for (i = 0; i < az->kept.n_workers; i++) {
		struct worker *w = &r->f->workers[az->kept.workers[i]];

		for (k = 0; k < w->n_jobs && r->n < r->max; k++) {
			struct job *v = w->jobs[k].job;
			struct tg_action *a;

			if (!v->backfilled || v->reclaiming)
				continue;
			room_leaving(r->f, v);
			a = act(r, TG_ACT_RECLAIM, v);
			tg_strlcpy(a->beneficiary, j->name,
				   sizeof(a->beneficiary));
			snprintf(a->reason, sizeof(a->reason),
				 "ran past the time the room is reserved from "
				 "for job %.63s",
				 j->name);
			note(r, a);
		}
	}
}

/* A reservation whose time has passed in vain is made anew. */
#define KEPT_RETRY_MS 60000

static void start_kept(struct round *r)
{
	struct tg_fleet *f = r->f;
	int32_t i;

	for (i = 0; i < f->n_azs && r->n < r->max; i++) {
		struct az *az = &f->azs[i];
		struct job *j = az->kept.job;

		if (!j || try_rest(r, j))
			continue;
		enforce_kept(r, az);
		if (r->now_ms < az->kept.at_ms + KEPT_RETRY_MS ||
		    r->now_ms < az->kept.made_ms + KEPT_RETRY_MS)
			continue;
		reserve_drop(f, az);
		reserve_make(f, j, i, r->now_ms);
	}
}

static void start_rest(struct round *r)
{
	struct queue *a = &r->f->queues[TG_CLASS_GUARANTEED];
	struct queue *b = &r->f->queues[TG_CLASS_LENT];
	size_t i = 0, k = 0;

	while ((i < a->n || k < b->n) && r->n < r->max) {
		bool first = k == b->n ||
			(i < a->n && a->jobs[i]->key <= b->jobs[k]->key);
		struct job *j = first ? a->jobs[i] : b->jobs[k];

		if (try_rest(r, j))
			continue;
		if (first)
			i++;
		else
			k++;
	}
}

/* --- moves --- */

/*
 * Moves happen when nothing else is left to do, in one AZ at a time, which
 * bounds the time of a round.
 */
static void move_lent(struct round *r)
{
	struct tg_fleet *f = r->f;
	struct tg_action *a;
	struct job *j;
	struct az *az;

	if (r->n || !f->policy->move_period_ms || !f->n_azs)
		return;
	f->defrag_az = (f->defrag_az + 1) % f->n_azs;
	az = &f->azs[f->defrag_az];
	if (r->now_ms < az->defrag_ms)
		return;
	az->defrag_ms = r->now_ms + f->policy->move_period_ms;
	j = defrag_pick(f, f->defrag_az, r->now_ms);
	if (!j)
		return;
	room_leaving(f, j);
	a = act(r, TG_ACT_RECLAIM, j);
	snprintf(a->reason, sizeof(a->reason),
		 "moves, so that more workers have room for the largest "
		 "guaranteed shape");
	note(r, a);
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
	report_failures(&r);
	carry_on_held(&r);
	queue_refresh(f, now_ms);
	start_urgent(&r);
	start_guaranteed(&r);
	start_kept(&r);
	start_rest(&r);
	move_lent(&r);
	free(r.place);
	free(r.blocked);
	free(r.azs);
	free(r.victims);
	return r.n;
}

int64_t tg_fleet_next_ms(const struct tg_fleet *f, int64_t now_ms)
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
			at = j->submitted_ms + f->spare_ms;
			if (at > now_ms && at < next)
				next = at;
			at = j->submitted_ms + f->spare_ms / BACKLOG_SPARE_PART;
			if (at > now_ms && at < next)
				next = at;
		}
	for (k = 0; k < f->n_azs; k++) {
		const struct reservation *kept = &f->azs[k].kept;
		int64_t at = kept->at_ms;

		if (!kept->job)
			continue;
		if (at <= now_ms)
			at = kept->at_ms > kept->made_ms ? kept->at_ms :
							   kept->made_ms;
		if (at <= now_ms)
			at += KEPT_RETRY_MS;
		if (at <= now_ms)
			at = now_ms + KEPT_RETRY_MS;
		if (at < next)
			next = at;
	}
	return next > now_ms ? next : now_ms;
}
