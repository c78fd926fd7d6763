#include "flow/place_internal.h"

/*
 * Remembers for one round which searches found no capacity.  A search that
 * asks for as much or more, with no more rights, fails as well, as the round
 * only takes capacity.  It is for a fleet that is full, with hundreds of
 * waiting jobs that ask for much the same.
 */

/* Demands of one day differ little; more entries would only cost time. */
#define NO_FITS_MAX 32

/**
 * struct no_fit - a search that failed
 * @want: tasks of a gang; 1 for tasks that are placed one by one
 * @position: of the job, which says which runs on loan it may stop
 * @run_ms: declared time; INT64_MAX if the tasks outlast any booking
 */
struct no_fit {
	const struct pool *pool;
	enum capacity_source source;
	struct flow_shape need;
	int32_t want, rank, position;
	int64_t run_ms;
	bool one_rack, reclaim_due, uses_headroom, preempt, recall;
};

static struct no_fit describe(const struct search *s, int32_t want)
{
	const struct flow_step *st = s->step;

	return (struct no_fit){
		.pool = s->job->pool,
		.source = s->source,
		.need = s->need,
		.want = st->gang ? want : 1,
		.rank = s->job->rank,
		.position = s->recall ? s->job->position : 0,
		.run_ms = st->gang || st->endless ? INT64_MAX : st->declared_ms,
		.one_rack = s->one_rack && !s->reclaim_due &&
			s->source != CAPACITY_KEPT,
		.reclaim_due = s->reclaim_due,
		.preempt = s->preempt,
		.recall = s->recall,
		.uses_headroom = st->endless || flow_is_urgent(s->job) ||
			flow_search_uses_headroom(s),
	};
}

/* Whether a search that needs @b fails because one for @a has failed. */
static bool implies(const struct no_fit *a, const struct no_fit *b)
{
	return a->pool == b->pool && a->source == b->source &&
		flow_shape_fits(&a->need, &b->need) && a->want <= b->want &&
		a->rank <= b->rank && a->run_ms <= b->run_ms &&
		a->one_rack <= b->one_rack &&
		a->reclaim_due >= b->reclaim_due && a->preempt >= b->preempt &&
		a->recall >= b->recall &&
		(!b->recall || a->position <= b->position) &&
		a->uses_headroom >= b->uses_headroom;
}

bool flow_no_fit_known(const struct search *s, int32_t want)
{
	const struct no_fit *list = s->f->no_fits.items;
	struct no_fit n = describe(s, want);
	size_t i;

	for (i = 0; i < s->f->no_fits.n; i++)
		if (implies(&list[i], &n))
			return true;
	return false;
}

void flow_no_fit_add(const struct search *s, int32_t want)
{
	const struct flow_step *st = s->step;
	struct no_fit *n;

	/* Others may use workers that these must not use. */
	if (st->label || st->per_worker_max || s->last_attempt ||
	    s->f->no_fits.n >= NO_FITS_MAX)
		return;
	n = flow_array_add(&s->f->no_fits, sizeof(*n));
	*n = describe(s, want);
}
