#include "flow/flow_internal.h"

/*
 * Follows which capacity the engine doesn't use although it may be free: that
 * of workers that get no starts, and that of runs which may not exist.
 */

/* The report leaves out what lasts less than 0.5 s. */
#define PERIOD_MS 100

static enum flow_unready unready_reason(const struct worker *w, int64_t now_ms)
{
	if (w->suspect && w->gone)
		return FLOW_UNREADY_GONE;
	if (w->draining)
		return FLOW_UNREADY_DRAINING;
	if (w->suspect || !w->present)
		return FLOW_UNREADY_SUSPECT;
	if (!w->runs_known)
		return FLOW_UNREADY_UNLISTED;
	if (w->evacuated)
		return FLOW_UNREADY_EVACUATED;
	if (w->quarantined_until_ms > now_ms)
		return FLOW_UNREADY_QUARANTINED;
	return FLOW_READY;
}

static enum flow_held held_by(const struct run *r)
{
	switch (r->state) {
	case RUN_DECIDED:
		return FLOW_HELD_UNRECORDED;
	case RUN_POSSIBLE:
		return FLOW_HELD_POSSIBLE;
	case RUN_STARTING:
	case RUN_START_UNKNOWN:
		return FLOW_HELD_UNANSWERED;
	case RUN_STOPPING:
		return FLOW_HELD_STOPPING;
	case RUN_ACTIVE:
		break;
	}
	return FLOW_HELD_RUNNING;
}

static void update_worker(struct worker *w, int64_t now_ms)
{
	enum flow_unready why = unready_reason(w, now_ms);
	struct run *r;

	if (why != w->unready) {
		w->unready = why;
		w->unready_since_ms = now_ms;
	}
	for (r = w->runs; r; r = r->next) {
		enum flow_held held = held_by(r);

		if (r->held == held && r->held_since_ms)
			continue;
		r->held = held;
		r->held_since_ms = now_ms;
	}
}

void flow_unused_update(struct flow *f, int64_t now_ms)
{
	struct worker *w;

	if (f->unused_checked_ms && now_ms - f->unused_checked_ms < PERIOD_MS)
		return;
	f->unused_checked_ms = now_ms;
	for (w = f->workers; w; w = w->hh.next)
		update_worker(w, now_ms);
}

static void note_oldest(struct flow_unused_count *c, const char *worker,
			int64_t for_ms)
{
	if (c->worker && for_ms <= c->longest_ms)
		return;
	c->worker = worker;
	c->longest_ms = for_ms;
}

static void add_worker(struct flow_unused *u, const struct worker *w,
		       int64_t now_ms)
{
	struct flow_unused_count *c = &u->unready[w->unready];

	if (w->unready == FLOW_READY)
		return;
	c->workers++;
	note_oldest(c, w->id, now_ms - w->unready_since_ms);
}

/* What runs on a worker that gets no starts is lost or known again with it. */
static void add_run(struct flow_unused *u, const struct run *r, int64_t now_ms)
{
	const struct worker *w = r->worker;
	bool away = w->unready == FLOW_UNREADY_SUSPECT ||
		w->unready == FLOW_UNREADY_GONE ||
		w->unready == FLOW_UNREADY_UNLISTED;
	struct flow_unused_count *c =
		away ? &u->held[FLOW_HELD_AWAY] : &u->held[r->held];

	if (!away && r->held == FLOW_HELD_RUNNING)
		return;
	c->workers += w->pool ? flow_run_share(r) : 0;
	c->runs++;
	note_oldest(c, w->id,
		    now_ms - (away ? w->unready_since_ms : r->held_since_ms));
}

static void add_pool(const struct flow *f, const struct pool *p,
		     struct flow_unused *u, int64_t now_ms)
{
	const struct worker *w;
	const struct run *r;

	for (w = f->workers; w; w = w->hh.next) {
		if (w->pool == p)
			add_worker(u, w, now_ms);
		/* A worker without a description belongs to no pool. */
		for (r = w->runs; r; r = r->next)
			if ((w->pool ? w->pool : r->job->pool) == p)
				add_run(u, r, now_ms);
	}
}

void flow_each_unused(const struct flow *f, int64_t now_ms,
		      void (*fn)(const struct flow_unused *u, void *arg),
		      void *arg)
{
	const struct pool *p;
	int i;

	for (p = f->pools; p; p = p->hh.next) {
		struct flow_unused u = { .service = p->service };
		bool any = false;

		add_pool(f, p, &u, now_ms);
		for (i = 0; i < FLOW_UNREADY_REASONS; i++)
			any |= u.unready[i].worker != NULL;
		for (i = 0; i < FLOW_HELD_KINDS; i++)
			any |= u.held[i].worker != NULL;
		if (any)
			fn(&u, arg);
	}
}
