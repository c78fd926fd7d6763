#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

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

void judge_log_time(void)
{
	int64_t ms = tg_wall_ms();
	time_t day_s = (time_t)(ms / 1000);
	struct tm tm;

	gmtime_r(&day_s, &tm);
	fprintf(stderr, "%02d:%02d:%02d.%03d ", tm.tm_hour, tm.tm_min,
		tm.tm_sec, (int)(ms % 1000));
}

void judge_log(const struct worker *w, const char *task, int run,
	       const char *what)
{
	judge_log_time();
	fprintf(stderr, "%s task=%s run=%d worker=%s\n", what, task, run,
		w->id);
}

void judge_process(const struct worker *w)
{
	judge_log_time();
	fprintf(stderr, "process worker=%s boot=%lld\n", w->id,
		(long long)w->born_wall_ms);
}

/* Whether another run of the task goes on. */
static bool has_copy(const struct worker *w, struct run *r)
{
	char what[64];
	struct run *o;
	int i;

	for (i = 0; i < WORKERS_MAX; i++)
		for (o = board.workers[i].runs; o; o = o->next) {
			if (o == r || strcmp(o->task, r->task) != 0)
				continue;
			snprintf(what, sizeof(what),
				 "goes on after %lld ms%s%s,",
				 (long long)(tg_now_ms() - o->started_ms),
				 o->late ? ", late" : "",
				 o->stopping ? ", being stopped" : "");
			judge_log(&board.workers[i], o->task, o->run, what);
			judge_log(w, r->task, r->run,
				  r->late ? "second start, late," :
					    "second start,");
			o->doubled = r->doubled = true;
		}
	return r->doubled;
}

int64_t judge_evacuated_ms(const struct worker *w)
{
	char key[KEY_BYTES];

	snprintf(key, sizeof(key), "evacuate/%s", w->zone);
	return store_put_ms("op", key);
}

static bool is_evacuated(const struct worker *w)
{
	int64_t ms = judge_evacuated_ms(w);

	return ms && tg_now_ms() - ms > board.opts.evacuate_ms;
}

void judge_start(const struct worker *w, struct run *r)
{
	struct done *d = find_task(r->task);

	if (d->done)
		judge_log(w, r->task, r->run, "start after done,");
	board.after_done += d->done;
	d->started_ms = tg_now_ms();
	judge_task_started(r->task);
	board.twice += has_copy(w, r);
	board.evacuated += !r->late && is_evacuated(w);
	board.over_room += used(w) > worker_room(w);
	if (used(w) > worker_room(w))
		judge_log(w, r->task, r->run, "beyond room,");
}

void judge_done(const char *task, int64_t ended_ms)
{
	struct done *d = find_task(task);

	board.after_done += d->started_ms > ended_ms;
	d->done = true;
}
