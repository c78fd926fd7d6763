#include <stdlib.h>
#include <string.h>

#include "gangs.h"

static struct member *find(struct members *m, const json_t *l)
{
	struct member *x;

	for (x = m->items; x < m->items + m->n; x++)
		if (!strcmp(x->job, line_text(l, "job")) &&
		    x->attempt == line_int(l, "attempt") &&
		    x->index == line_int(l, "index") &&
		    !strcmp(x->boot, line_text(l, "boot")))
			return x;
	m->items = tg_xrealloc(m->items, (m->n + 1) * sizeof(*m->items));
	x = &m->items[m->n++];
	*x = (struct member){
		.job = line_text(l, "job"),
		.worker = line_text(l, "worker"),
		.boot = line_text(l, "boot"),
		.reason = "",
		.attempt = line_int(l, "attempt"),
		.index = line_int(l, "index"),
		.gang_size = line_int(l, "gang_size"),
		.reserved_ms = NEVER_MS,
		.run_ms = NEVER_MS,
		.end_ms = NEVER_MS,
	};
	return x;
}

static void note_change(struct member *x, const json_t *l)
{
	const char *state = line_text(l, "state");
	int64_t at_ms = line_int(l, "at_ms");

	if (!strcmp(state, "reserved") && x->reserved_ms == NEVER_MS) {
		x->reserved_ms = at_ms;
	} else if (!strcmp(state, "running") && x->run_ms == NEVER_MS) {
		x->run_ms = at_ms;
	} else if (!strcmp(state, "ended") && x->end_ms == NEVER_MS) {
		x->end_ms = at_ms;
		x->reason = line_text(l, "reason");
	}
}

/* The tasks of a worker end when it is killed. */
static int64_t killed_ms(const struct check *c, const struct member *x)
{
	int64_t since_ms = x->run_ms, at_ms = NEVER_MS;
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l)
		if (line_is(l, "killed") &&
		    !strcmp(line_text(l, "name"), x->worker) &&
		    line_int(l, "at_ms") >= since_ms &&
		    line_int(l, "at_ms") < at_ms)
			at_ms = line_int(l, "at_ms");
	return at_ms;
}

void members_read(const struct check *c, struct members *m)
{
	struct member *x;
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l) {
		if (line_int(l, "at_ms") > m->history_end_ms)
			m->history_end_ms = line_int(l, "at_ms");
		if (line_is(l, "task"))
			note_change(find(m, l), l);
	}
	for (x = m->items; x < m->items + m->n; x++) {
		if (x->end_ms == NEVER_MS)
			x->end_ms = killed_ms(c, x);
		if (x->end_ms == NEVER_MS)
			x->end_ms = m->history_end_ms;
	}
}

bool member_ran(const struct member *x)
{
	return x->run_ms != NEVER_MS;
}

bool member_same_attempt(const struct member *x, const struct member *y)
{
	return !strcmp(x->job, y->job) && x->attempt == y->attempt;
}

static void check_pair(struct check *c, const struct member *x,
		       const struct member *y)
{
	if (strcmp(x->job, y->job) != 0 || !member_ran(x) || !member_ran(y) ||
	    (x->attempt == y->attempt && x->index != y->index))
		return;
	if (x->run_ms < y->end_ms && y->run_ms < x->end_ms)
		violation(c, "two-attempts",
			  "%s: %lld/%lld on %s [%lld, %lld] %s and"
			  " %lld/%lld on %s [%lld, %lld] %s",
			  x->job, (long long)x->attempt, (long long)x->index,
			  x->worker, (long long)x->run_ms, (long long)x->end_ms,
			  x->reason, (long long)y->attempt, (long long)y->index,
			  y->worker, (long long)y->run_ms, (long long)y->end_ms,
			  y->reason);
}

/* No member may start before every member of the attempt has a reservation. */
static void check_reserved(struct check *c, const struct members *m,
			   const struct member *x)
{
	const struct member *y;
	int64_t i, missing = 0;

	for (i = 0; i < x->gang_size; i++) {
		for (y = m->items; y < m->items + m->n; y++)
			if (member_same_attempt(x, y) && y->index == i &&
			    y->reserved_ms <= x->run_ms)
				break;
		missing += y == m->items + m->n;
	}
	if (missing)
		violation(c, "started-early",
			  "%s: %lld/%lld on %s ran at %lld with %lld of %lld"
			  " members not reserved",
			  x->job, (long long)x->attempt, (long long)x->index,
			  x->worker, (long long)x->run_ms, (long long)missing,
			  (long long)x->gang_size);
}

/*
 * Last moment at which the whole gang of @x ran, a member that is done counted
 * as running on; the first start if it never ran whole.
 */
static int64_t last_whole_ms(const struct members *m, const struct member *x)
{
	int64_t first = NEVER_MS, last_run = 0, first_end = NEVER_MS, i;
	const struct member *y;

	for (i = 0; i < x->gang_size; i++) {
		const struct member *last = NULL;

		for (y = m->items; y < m->items + m->n; y++)
			if (member_same_attempt(x, y) && y->index == i &&
			    member_ran(y) &&
			    (!last || y->run_ms > last->run_ms))
				last = y;
		if (!last) {
			last_run = NEVER_MS;
			continue;
		}
		if (last->run_ms < first)
			first = last->run_ms;
		if (last->run_ms > last_run)
			last_run = last->run_ms;
		if (strcmp(last->reason, "done") != 0 &&
		    last->end_ms < first_end)
			first_end = last->end_ms;
	}
	return last_run <= first_end && last_run != NEVER_MS ? first_end :
							       first;
}

static void check_alone(struct check *c, const struct members *m,
			const struct member *x)
{
	int64_t whole_ms = last_whole_ms(m, x);

	if (whole_ms != NEVER_MS &&
	    x->end_ms - whole_ms > c->lease_ms + c->gang_margin_ms)
		violation(c, "part-alone",
			  "%s: %lld/%lld on %s ran until %lld (%s), %lld ms"
			  " after the whole gang",
			  x->job, (long long)x->attempt, (long long)x->index,
			  x->worker, (long long)x->end_ms, x->reason,
			  (long long)(x->end_ms - whole_ms));
}

void check_gangs(struct check *c)
{
	struct members m = { 0 };
	size_t i, k;

	members_read(c, &m);
	for (i = 0; i < m.n; i++) {
		for (k = i + 1; k < m.n; k++)
			check_pair(c, &m.items[i], &m.items[k]);
		if (!member_ran(&m.items[i]))
			continue;
		check_reserved(c, &m, &m.items[i]);
		check_alone(c, &m, &m.items[i]);
	}
	free(m.items);
}

/* The last part of a lease's job, which names the workspace first. */
static bool is_job(const char *lease, const char *job)
{
	const char *s = strrchr(lease, '/');

	return !strcmp(s ? s + 1 : lease, job);
}

static bool has_lease(const struct check *c, const char *job)
{
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l)
		if (line_is(l, "task") && is_job(line_text(l, "job"), job))
			return true;
	return false;
}

static const char *final_state(const struct check *c, const char *job)
{
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l)
		if (line_is(l, "final-job") &&
		    !strcmp(line_text(l, "job"), job))
			return line_text(l, "state");
	return "";
}

static bool was_cancelled(const struct check *c, const char *job)
{
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l)
		if (line_is(l, "cancel") && !strcmp(line_text(l, "job"), job))
			return true;
	return false;
}

void check_jobs(struct check *c)
{
	const json_t *l;
	size_t i;

	json_array_foreach(c->lines, i, l) {
		const char *job = line_text(l, "job");
		int64_t status = line_int(l, "status");
		const char *state = final_state(c, job);

		if (!line_is(l, "submit"))
			continue;
		if (!strcmp(line_text(l, "outcome"), "not-run") &&
		    (has_lease(c, job) || *state))
			violation(c, "not-run-job",
				  "%s was refused with %lld"
				  " and is '%s'",
				  job, (long long)status, state);
		if ((status == 200 || status == 201) && !*state)
			violation(c, "lost-job", "%s was accepted", job);
		if (!strcmp(state, "cancelled") && !was_cancelled(c, job))
			violation(c, "cancelled-job", "%s without a call", job);
	}
}
