#include <string.h>

#include "flow/place_internal.h"

/*
 * Decides how long capacity may be kept free for waiting gangs and for urgent
 * jobs to come, and follows which tasks wait beside it, and since when.
 *
 * A pool is underused if less than USE_MIN of it is in use.  While it is, tasks
 * that have waited beside kept capacity start there on loan, until it isn't any
 * more.  A gang that goes before them stops runs on loan if it can start as
 * soon as these have ended, so a loan delays it by about a stop.
 */

/*
 * The platform counts accepted tasks as lost that wait for 3 s beside free
 * capacity while less than half of a service is in use.  It learns of starts
 * later and of ends earlier than the owner does, hence a share above one half.
 */
#define USE_MIN 0.55
/*
 * A pool must be underused, and a task have waited, for this long.  The rest of
 * the 3 s is for a round, the write of the record and the start.
 */
#define LOAN_AFTER_MS 1500
/* A job without a run gets a loan after this long, however full the pool is. */
#define STALLED_LOAN_AFTER_MS 20000

void flow_kept_wait_note(const struct search *s, const struct worker *w)
{
	struct kept_wait *k = &s->step_state->kept_wait;
	const struct job *keeper = NULL;

	if (k->round + 1 < s->f->scheduling_round)
		k->since_ms = s->now_ms;
	k->round = s->f->scheduling_round;
	if (w->booking.from_ms)
		keeper = w->booking.job;
	tg_set_str(&k->worker, w->id);
	tg_strlcpy(k->keeper, keeper ? keeper->id : "", sizeof(k->keeper));
}

void flow_kept_wait_restart(struct step_state *ss, int64_t now_ms)
{
	ss->kept_wait.since_ms = now_ms;
}

/*
 * Workers that don't answer count, as the platform can't tell that the owner
 * doesn't reach them.  With 30% of the workers cut off, jobs waited beside
 * kept capacity while the platform saw less than half in use.
 */
static bool counts_as_capacity(const struct worker *w)
{
	return w->pool && w->present && !w->gone && !w->draining &&
		!w->evacuated;
}

void flow_update_use(struct flow *f, int64_t now_ms)
{
	struct worker *w;
	struct pool *p;

	for (p = f->pools; p; p = p->hh.next) {
		memset(&p->total, 0, sizeof(p->total));
		memset(&p->in_use, 0, sizeof(p->in_use));
	}
	for (w = f->workers; w; w = w->hh.next) {
		if (!counts_as_capacity(w))
			continue;
		flow_shape_add(&w->pool->total, &w->capacity, 1);
		flow_shape_add(&w->pool->in_use, &w->used, 1);
	}
	for (p = f->pools; p; p = p->hh.next) {
		if (flow_dominant_share(&p->in_use, &p->total) >= USE_MIN)
			p->underused_since_ms = 0;
		else if (!p->underused_since_ms)
			p->underused_since_ms = now_ms;
	}
}

void flow_use_add(struct pool *p, const struct flow_shape *need)
{
	flow_shape_add(&p->in_use, need, 1);
}

/* How many of @want tasks it takes until the pool isn't underused any more. */
static int32_t underused_limit(const struct search *s, int32_t want)
{
	const struct pool *p = s->job->pool;
	struct flow_shape in_use = p->in_use;
	int32_t n;

	for (n = 0; n < want; n++) {
		if (flow_dominant_share(&in_use, &p->total) >= USE_MIN)
			break;
		flow_shape_add(&in_use, &s->need, 1);
	}
	return n;
}

int32_t flow_loan_limit(const struct search *s, int32_t want)
{
	const struct kept_wait *k = &s->step_state->kept_wait;
	const struct pool *p = s->job->pool;
	int64_t waited_ms = s->now_ms - k->since_ms;
	int32_t n = 0;

	if (k->round + 1 < s->f->scheduling_round || waited_ms < LOAN_AFTER_MS)
		return 0;
	if (s->step->endless)
		return want;
	if (p->underused_since_ms &&
	    s->now_ms - p->underused_since_ms >= LOAN_AFTER_MS)
		n = underused_limit(s, want);
	if (!n && !s->job->n_runs && waited_ms >= STALLED_LOAN_AFTER_MS)
		n = 1;
	return n && s->step->gang ? want : n;
}

void flow_recall_note(const struct search *s)
{
	struct step_state *ss = s->step_state;

	if (ss->recall_round + 1 < s->f->scheduling_round)
		ss->recall_since_ms = s->now_ms;
	ss->recall_round = s->f->scheduling_round;
}

bool flow_awaits_recall(const struct flow *f, const struct step_state *ss,
			int64_t now_ms)
{
	return ss->recall_round &&
		ss->recall_round + 1 == f->scheduling_round &&
		now_ms - ss->recall_since_ms <=
		f->opts.stop_ms + STOP_MARGIN_MS;
}

bool flow_may_recall(const struct search *s, const struct run *r)
{
	return s->recall && r->on_loan && r->job->position > s->job->position;
}

void flow_each_kept_wait(const struct flow *f, int64_t now_ms,
			 void (*fn)(const struct flow_kept_wait *w, void *arg),
			 void *arg)
{
	const struct step_state *ss;
	const struct job *j;
	int32_t i;

	for (j = f->jobs; j; j = j->hh.next)
		for (i = 0; (ss = flow_nth_open(j, i)); i++) {
			const struct flow_kept_wait w = {
				.job = j->id,
				.occurrence = ss->occurrence,
				.step = ss->step,
				.worker = ss->kept_wait.worker,
				.keeper = ss->kept_wait.keeper,
				.for_ms = now_ms - ss->kept_wait.since_ms,
			};

			if (ss->kept_wait.round &&
			    ss->kept_wait.round == f->scheduling_round)
				fn(&w, arg);
		}
}
