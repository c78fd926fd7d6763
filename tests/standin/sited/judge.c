#include <stdlib.h>
#include <string.h>

#include "sited.h"

/* What is known of a task: its last start, and whether it is done. */
struct done {
	char task[64];
	int64_t started_ms;
	bool done;
	UT_hash_handle hh;
};

static struct done *find_task(const char *task)
{
	struct done *d;

	HASH_FIND_STR(board.done, task, d);
	if (d)
		return d;
	d = tg_xcalloc(1, sizeof(*d));
	tg_strlcpy(d->task, task, sizeof(d->task));
	HASH_ADD_STR(board.done, task, d);
	return d;
}

static int used(const struct worker *w)
{
	const struct run *r;
	int n = 0;

	for (r = w->runs; r; r = r->next)
		n += r->accelerators;
	return n;
}

static int copies(const char *task)
{
	const struct run *r;
	int i, n = 0;

	for (i = 0; i < WORKERS_MAX; i++)
		for (r = board.workers[i].runs; r; r = r->next)
			n += !strcmp(r->task, task);
	return n;
}

void judge_start(const struct worker *w, const struct run *r)
{
	struct done *d = find_task(r->task);

	board.after_done += d->done;
	d->started_ms = tg_now_ms();
	board.twice += copies(r->task) > 1;
	board.over_room += used(w) > worker_room(w);
}

void judge_done(const char *task, int64_t ended_ms)
{
	struct done *d = find_task(task);

	board.after_done += d->started_ms > ended_ms;
	d->done = true;
}
