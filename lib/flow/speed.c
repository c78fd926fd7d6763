#include <math.h>

#include "flow/place_internal.h"

/*
 * Follows how slow each worker is, from the progress that it lists for its
 * runs, and tells the fast from the slow ones.  It is for services whose
 * workers differ by more than their tasks do: urgent jobs and gangs are as slow
 * as the slowest worker that they get.
 */

/* Standard deviation of the run time between tasks of a step. */
#define TASK_SD 0.2
/* The same between workers of which nothing is known. */
#define WORKER_SD 0.4
/* The same of declared times of a queue that has ended no step yet. */
#define DECLARED_SD 0.6
/* Between steps of a queue, beyond its usual error. */
#define STEP_VAR_MIN 0.01
/* A worker's variance grows by this much in a second. */
#define AGING_PER_S 0.0005
/* Listed progress is in whole percent, and its time is off by this much. */
#define PERCENT_ERROR 0.4
#define TIME_ERROR_MS 60.0
/* A sample spans this much progress at least; the first one may span less. */
#define SPAN_PERCENT 20
#define FIRST_SPAN_PERCENT 5
/* Further samples of a run share what is its own. */
#define REPEATED_VAR_FACTOR 4
/* A step counts for its queue once its own variance is below this. */
#define STEP_KNOWN_VAR 0.03
/* Weight of a step in the error of its queue's declared times. */
#define QUEUE_WEIGHT 0.25

/*
 * A worker is slow or fast if the factor is this far from the typical one, and
 * known if its deviation is below KNOWN_SD.
 */
#define CLASS_DISTANCE 0.2
#define KNOWN_SD 0.25
/* A pool is uneven if this share of its known workers is slow. */
#define UNEVEN_SHARE 0.15
#define UNEVEN_KNOWN_MIN 16

void flow_speed_reset(struct worker *w)
{
	w->slowness = (struct estimate){ 0, WORKER_SD * WORKER_SD };
	w->slowness_ms = 0;
}

static void age(struct worker *w, int64_t now_ms)
{
	if (w->slowness_ms)
		estimate_age(&w->slowness,
			     AGING_PER_S * (double)(now_ms - w->slowness_ms) /
				     1000,
			     WORKER_SD * WORKER_SD);
	w->slowness_ms = now_ms;
}

/* What the step is taken for before any of its tasks has told. */
static void begin_step(struct step_state *ss, const struct queue *q)
{
	ss->work = q && q->has_error ?
		q->error :
		(struct estimate){ 0, DECLARED_SD * DECLARED_SD };
	ss->work.var += STEP_VAR_MIN;
	ss->work_begun = true;
}

/* The error of a queue's declared times: its mean, and how it varies. */
static void learn_error(struct step_state *ss, struct queue *q)
{
	double off;

	if (ss->work_known || !q || ss->work.var > STEP_KNOWN_VAR)
		return;
	ss->work_known = true;
	if (!q->has_error) {
		q->error = (struct estimate){ ss->work.mean,
					      DECLARED_SD * DECLARED_SD / 2 };
		q->has_error = true;
		return;
	}
	off = ss->work.mean - q->error.mean;
	q->error.mean += QUEUE_WEIGHT * off;
	q->error.var += QUEUE_WEIGHT * (off * off - q->error.var);
}

static void take_sample(struct run *r, double ms, double percent,
			int64_t now_ms)
{
	const struct flow_step *st = flow_step_of(r->job, r->step_state);
	struct queue *q = flow_find_queue(r->job->flow, r->job->queue);
	double rounding = PERCENT_ERROR / percent, timing = TIME_ERROR_MS / ms;
	double var = TASK_SD * TASK_SD;

	if (!r->job->flow->opts.follow_speed || st->declared_ms <= 0 || ms <= 0)
		return;
	if (r->speed_samples++)
		var *= REPEATED_VAR_FACTOR;
	var += rounding * rounding + timing * timing;
	if (!r->step_state->work_begun)
		begin_step(r->step_state, q);
	age(r->worker, now_ms);
	estimate_pair(&r->worker->slowness, &r->step_state->work,
		      log(100 * ms / (percent * (double)st->declared_ms)), var);
	learn_error(r->step_state, q);
}

/* The members of a gang begin to work when the last one has started. */
static int64_t began_ms(const struct run *r)
{
	const struct flow_step *st = flow_step_of(r->job, r->step_state);
	int64_t ms = r->answered_ms;
	int32_t i;

	for (i = 0; st->gang && i < st->tasks; i++) {
		const struct run *o = r->step_state->tasks[i].run;

		if (!o || o->run != r->run || o->state != RUN_ACTIVE)
			return 0;
		if (o->answered_ms > ms)
			ms = o->answered_ms;
	}
	return ms;
}

/* A run that has been added from a list, or resumes, began before. */
static bool begins_at_zero(const struct run *r)
{
	return r->answered_start && !*r->step_state->tasks[r->index].saved;
}

void flow_speed_listed(struct run *r, int32_t percent, int64_t now_ms)
{
	int32_t span = percent - r->speed_percent;

	if (percent >= 100 || r->state != RUN_ACTIVE)
		return;
	if (!r->speed_ms) {
		r->speed_ms = now_ms;
		r->speed_percent = percent;
		if (!begins_at_zero(r) || percent < FIRST_SPAN_PERCENT)
			return;
		if (began_ms(r))
			take_sample(r, (double)(now_ms - began_ms(r)), percent,
				    now_ms);
		return;
	}
	if (span < SPAN_PERCENT)
		return;
	take_sample(r, (double)(now_ms - r->speed_ms), span, now_ms);
	r->speed_ms = now_ms;
	r->speed_percent = percent;
}

void flow_speed_done(struct run *r, int64_t now_ms)
{
	const struct flow_step *st = flow_step_of(r->job, r->step_state);
	int32_t span = 100 - r->speed_percent;

	/* A gang ends with its slowest member. */
	if (st->gang || st->endless || r->state != RUN_ACTIVE)
		return;
	if (r->speed_ms && span >= SPAN_PERCENT)
		take_sample(r, (double)(now_ms - r->speed_ms), span, now_ms);
	else if (!r->speed_ms && begins_at_zero(r))
		take_sample(r, (double)(now_ms - r->answered_ms), 100, now_ms);
}

bool flow_speed_is_known(const struct worker *w)
{
	return w->slowness.var < KNOWN_SD * KNOWN_SD;
}

static enum speed_class class_of(const struct worker *w)
{
	double distance;

	if (!w->pool || !flow_speed_is_known(w))
		return SPEED_UNKNOWN;
	distance = w->slowness.mean - w->pool->slowness_mean;
	if (distance > CLASS_DISTANCE)
		return SPEED_SLOW;
	return distance < -CLASS_DISTANCE ? SPEED_FAST : SPEED_TYPICAL;
}

/*
 * The mean of what is known drifts, as samples come from some workers more than
 * from others.
 */
static void update_means(struct flow *f)
{
	struct worker *w;
	struct pool *p;

	for (p = f->pools; p; p = p->hh.next) {
		p->slowness_mean = 0;
		p->n_known = 0;
	}
	for (w = f->workers; w; w = w->hh.next)
		if (w->pool && flow_speed_is_known(w)) {
			w->pool->slowness_mean += w->slowness.mean;
			w->pool->n_known++;
		}
	for (p = f->pools; p; p = p->hh.next)
		if (p->n_known)
			p->slowness_mean /= p->n_known;
}

bool flow_worker_speed(const struct flow *f, const char *id,
		       struct flow_speed *out)
{
	const struct worker *w = flow_find_worker(f, id);

	if (!w || !w->pool || !w->pool->uneven || !flow_speed_is_known(w))
		return false;
	*out = (struct flow_speed){ w->slowness.mean - w->pool->slowness_mean,
				    w->slowness.var };
	return true;
}

void flow_worker_set_speed(struct flow *f, const char *id,
			   const struct flow_speed *v, int64_t now_ms)
{
	struct worker *w = flow_find_worker(f, id);

	if (!w || w->slowness.var <= v->var)
		return;
	w->slowness = (struct estimate){ v->mean, v->var };
	w->slowness_ms = now_ms;
}

bool flow_next_speed_change(struct flow *f, struct flow_speed_change *out)
{
	static const char *const names[] = {
		[SPEED_UNKNOWN] = "unknown",
		[SPEED_FAST] = "fast",
		[SPEED_TYPICAL] = "typical",
		[SPEED_SLOW] = "slow",
	};
	struct worker *w;

	for (w = f->workers; w; w = w->hh.next) {
		if (w->told_class == w->speed_class)
			continue;
		*out = (struct flow_speed_change){
			.worker = w->id,
			.before = names[w->told_class],
			.now = names[w->speed_class],
			.speed = { w->slowness.mean -
					   (w->pool ? w->pool->slowness_mean :
						      0),
				   w->slowness.var },
		};
		w->told_class = w->speed_class;
		return true;
	}
	return false;
}

bool flow_wants_progress(const struct flow *f, const char *id)
{
	const struct worker *w = flow_find_worker(f, id);

	return w && w->pool && w->pool->uneven && !flow_speed_is_known(w);
}

void flow_speed_update_pools(struct flow *f)
{
	struct worker *w;
	struct pool *p;

	if (!f->opts.follow_speed)
		return;
	update_means(f);
	for (p = f->pools; p; p = p->hh.next)
		p->n_fast = p->n_slow = 0;
	for (w = f->workers; w; w = w->hh.next) {
		w->speed_class = class_of(w);
		if (!w->pool)
			continue;
		w->pool->n_fast += w->speed_class == SPEED_FAST;
		w->pool->n_slow += w->speed_class == SPEED_SLOW;
	}
	for (p = f->pools; p; p = p->hh.next)
		p->uneven = p->n_known >= UNEVEN_KNOWN_MIN &&
			p->n_slow >= UNEVEN_SHARE * p->n_known;
	for (w = f->workers; w; w = w->hh.next)
		if (!w->pool || !w->pool->uneven)
			w->speed_class = SPEED_UNKNOWN;
}

int64_t flow_speed_cost(const struct job *j, const struct flow_step *st,
			enum speed_class c)
{
	/* What is late on a slow worker goes elsewhere, at any cost of room. */
	static const int64_t urgent[SPEED_CLASSES] = {
		[SPEED_UNKNOWN] = 8 * FLOW_ACCELERATOR_COST,
		[SPEED_FAST] = 0,
		[SPEED_TYPICAL] = 3 * FLOW_ACCELERATOR_COST,
		[SPEED_SLOW] = 60 * FLOW_ACCELERATOR_COST,
	};
	/* The whole gang holds its room for as long as its slowest member. */
	static const int64_t gang[SPEED_CLASSES] = {
		[SPEED_UNKNOWN] = 4 * FLOW_ACCELERATOR_COST,
		[SPEED_FAST] = 3 * FLOW_ACCELERATOR_COST,
		[SPEED_TYPICAL] = 0,
		[SPEED_SLOW] = 30 * FLOW_ACCELERATOR_COST,
	};
	/* Single tasks can wait for theirs, and find out about workers. */
	static const int64_t single[SPEED_CLASSES] = {
		[SPEED_UNKNOWN] = 0,
		[SPEED_FAST] = 20 * FLOW_ACCELERATOR_COST,
		[SPEED_TYPICAL] = 18 * FLOW_ACCELERATOR_COST,
		[SPEED_SLOW] = 15 * FLOW_ACCELERATOR_COST,
	};

	if (!j->pool || !j->pool->uneven)
		return 0;
	return flow_is_urgent(j) ? urgent[c] : st->gang ? gang[c] : single[c];
}
