#include <nettle/base64.h>
#include <stdlib.h>
#include <string.h>

#include "sited.h"

/*
 * Finds jobs that wait beside free workers: rule LOST of the platform.  While
 * no fault is near, nothing of a job runs for WAIT_MAX_MS, although there is
 * room for one of its tasks, or its gang, twice over, and less than half of the
 * capacity is in use.  Jobs are known from their rows, and their progress from
 * the workers.
 */

#define WAIT_MAX_MS 3000
/* Waits count from this long after the last fault. */
#define CALM_MS 4000
#define FITS_MIN 2
#define ID_BYTES 17

enum { CPU, MEMORY, ACCELERATORS, RESOURCES };

/* The states of a job that has ended, in its progress, begin with this one. */
#define STATE_ENDED_MIN 2

struct step {
	int64_t need[RESOURCES];
	int32_t tasks, n_done;
	bool *done;
	bool gang, is_known; /* its tasks may run on any worker, once */
	json_t *after;
};

struct job {
	char id[ID_BYTES];
	bool ended;
	int n_steps, n_runs;
	struct step *steps;
	int64_t since_ms; /* it has waited; 0 if it doesn't wait */
	bool is_counted;
	UT_hash_handle hh;
};

struct room {
	int64_t free[WORKERS_MAX][RESOURCES];
	int64_t capacity[RESOURCES], left[RESOURCES];
	int workers;
};

static struct job *jobs;

static int64_t int_of(const json_t *o, const char *name)
{
	return json_integer_value(json_object_get(o, name));
}

static json_t *decode(const char *value)
{
	size_t n = BASE64_DECODE_LENGTH(strlen(value));
	uint8_t *text = tg_xcalloc(1, n + 1);
	struct base64_decode_ctx ctx;
	json_t *o = NULL;

	base64_decode_init(&ctx);
	if (base64_decode_update(&ctx, &n, text, strlen(value), value))
		o = json_loadb((char *)text, n, 0, NULL);
	free(text);
	return o;
}

static struct job *find_job(const char *key)
{
	char id[ID_BYTES];
	struct job *j;

	snprintf(id, sizeof(id), "%s", key);
	HASH_FIND_STR(jobs, id, j);
	return j;
}

static void read_step(const json_t *o, struct step *st)
{
	st->need[CPU] = int_of(o, "cpu");
	st->need[MEMORY] = int_of(o, "memory_mb");
	st->need[ACCELERATORS] = int_of(o, "accelerators");
	st->tasks = (int32_t)int_of(o, "tasks");
	st->done = tg_xcalloc((size_t)st->tasks + 1, sizeof(*st->done));
	st->gang = int_of(o, "gang");
	st->after = json_incref(json_object_get(o, "after"));
	st->is_known = !int_of(o, "endless") && !int_of(o, "filler") &&
		!int_of(o, "per_worker_max") && !json_object_get(o, "label");
}

static void add_job(const char *id, const char *value)
{
	json_t *row = decode(value), *v;
	const json_t *spec = json_object_get(row, "spec");
	const json_t *steps = json_object_get(spec, "steps");
	struct job *j;
	size_t i;

	/* Of a job with several occurrences, tasks may not be due yet. */
	if (!steps || int_of(spec, "times")) {
		json_decref(row);
		return;
	}
	j = tg_xcalloc(1, sizeof(*j));
	tg_strlcpy(j->id, id, sizeof(j->id));
	j->steps = tg_xcalloc(json_array_size(steps) + 1, sizeof(*j->steps));
	json_array_foreach(steps, i, v)
		read_step(v, &j->steps[j->n_steps++]);
	HASH_ADD_STR(jobs, id, j);
	json_decref(row);
}

void judge_row(const struct row *r)
{
	struct job *j = find_job(r->key);
	json_t *progress;

	if (!strcmp(r->table, "jobs")) {
		/* A row with a longer key is a request to cancel the job. */
		if (j && (r->deleted || strlen(r->key) >= ID_BYTES))
			j->ended = true;
		else if (!j && !r->deleted && strlen(r->key) == ID_BYTES - 1)
			add_job(r->key, r->value);
	} else if (j && !r->deleted && !strcmp(r->table, "progress") &&
		   !strcmp(r->key, j->id)) {
		progress = decode(r->value);
		j->ended |= int_of(progress, "state") >= STATE_ENDED_MIN;
		json_decref(progress);
	}
}

/* The step of a task, and the task's index; NULL if the job isn't known. */
static struct step *step_of(const char *task, int *index)
{
	struct job *j = find_job(task);
	int step;

	if (!j || strlen(task) < ID_BYTES ||
	    sscanf(task + ID_BYTES, "%*d.%d.%d", &step, index) != 2 ||
	    step < 0 || step >= j->n_steps || *index < 0 ||
	    *index >= j->steps[step].tasks)
		return NULL;
	return &j->steps[step];
}

void judge_task_done(const char *task)
{
	int i;
	struct step *st = step_of(task, &i);

	if (!st || st->done[i])
		return;
	st->done[i] = true;
	st->n_done++;
}

/* Whether nothing keeps a worker from taking orders. */
static bool takes_orders(const struct worker *w)
{
	return w->listed && !w->gone && !w->draining && !w->unlisted &&
		!judge_evacuated_ms(w);
}

static bool is_disturbed(void)
{
	int i;

	for (i = 0; i < board.opts.stores; i++)
		if (strcmp(board.doors[i].mode, "ok") != 0)
			return true;
	for (i = 0; i < board.opts.workers; i++) {
		const struct worker *w = &board.workers[i];

		if (strcmp(w->mode, "ok") != 0 || w->pace_percent != 100 ||
		    ((w->gone || w->unlisted) && !w->draining))
			return true;
	}
	for (i = 0; i < FAULTS_MAX; i++)
		if (*board.faults[i])
			return true;
	return false;
}

static void add_runs(const struct worker *w, int64_t *available)
{
	const struct run *r;
	int i;

	for (r = w->runs; r; r = r->next) {
		struct job *j = find_job(r->task);
		const struct step *st = step_of(r->task, &i);

		if (j)
			j->n_runs++;
		for (i = 0; i < RESOURCES && st; i++)
			available[i] -= st->need[i];
	}
}

static void measure(struct room *room)
{
	struct job *j;
	int i, k;

	for (j = jobs; j; j = j->hh.next)
		j->n_runs = 0;
	for (i = 0; i < board.opts.workers; i++) {
		const struct worker *w = &board.workers[i];
		int64_t available[RESOURCES] = {
			WORKER_CPU,
			board.opts.memory_mb,
			w->accelerators,
		};

		if (takes_orders(w))
			for (k = 0; k < RESOURCES; k++)
				room->capacity[k] += available[k];
		add_runs(w, available);
		if (!takes_orders(w))
			continue;
		for (k = 0; k < RESOURCES; k++)
			room->left[k] += available[k];
		memcpy(room->free[room->workers++], available,
		       sizeof(available));
	}
}

/* The largest of the shares of resources in use. */
static int64_t percent_used(const struct room *room)
{
	int64_t most = 0;
	int k;

	for (k = 0; k < RESOURCES; k++) {
		int64_t used = room->capacity[k] - room->left[k];

		if (room->capacity[k] && 100 * used / room->capacity[k] > most)
			most = 100 * used / room->capacity[k];
	}
	return most;
}

/* How many tasks of a step fit into the free room. */
static int64_t count_fits(const struct step *st, const struct room *room)
{
	int64_t sum = 0;
	int i, k;

	for (i = 0; i < room->workers; i++) {
		int64_t n = INT32_MAX;

		for (k = 0; k < RESOURCES; k++)
			if (st->need[k] && room->free[i][k] / st->need[k] < n)
				n = room->free[i][k] / st->need[k];
		sum += n > 0 ? n : 0;
	}
	return sum;
}

static bool is_turn(const struct job *j, const struct step *st)
{
	json_t *v;
	size_t i;

	/* Once a member of a gang is done, the others may be as well. */
	if (!st->is_known || st->n_done == st->tasks ||
	    (st->gang && st->n_done))
		return false;
	json_array_foreach(st->after, i, v) {
		int n = (int)json_integer_value(v);

		if (n < 0 || n >= j->n_steps ||
		    j->steps[n].n_done < j->steps[n].tasks)
			return false;
	}
	return true;
}

/* The step that could run twice over, or NULL. */
static const struct step *idle_step(const struct job *j,
				    const struct room *room)
{
	int i;

	for (i = 0; i < j->n_steps && !j->ended && !j->n_runs; i++) {
		const struct step *st = &j->steps[i];

		if (is_turn(j, st) &&
		    count_fits(st, room) >=
			    FITS_MIN * (st->gang ? st->tasks : 1))
			return st;
	}
	return NULL;
}

static void log_wait(const struct job *j, const struct step *st,
		     const struct room *room)
{
	judge_log_time();
	fprintf(stderr,
		"waited_idle job=%s step=%d for_ms=%lld gang=%d tasks=%d "
		"need=%lld/%lld/%lld fits=%lld free=%lld/%lld/%lld workers=%d "
		"used=%lld%%\n",
		j->id, (int)(st - j->steps),
		(long long)(tg_now_ms() - j->since_ms), st->gang, st->tasks,
		(long long)st->need[CPU], (long long)st->need[MEMORY],
		(long long)st->need[ACCELERATORS],
		(long long)count_fits(st, room), (long long)room->left[CPU],
		(long long)room->left[MEMORY],
		(long long)room->left[ACCELERATORS], room->workers,
		(long long)percent_used(room));
}

static void end_wait(struct job *j)
{
	if (j->is_counted) {
		judge_log_time();
		fprintf(stderr, "wait ended job=%s for_ms=%lld\n", j->id,
			(long long)(tg_now_ms() - j->since_ms));
	}
	j->since_ms = 0;
	j->is_counted = false;
}

/* A run may begin and end between two looks at the workers. */
void judge_task_started(const char *task)
{
	struct job *j = find_job(task);

	if (j)
		end_wait(j);
}

void judge_waits(void)
{
	int64_t now_ms = tg_now_ms();
	struct room room = { .workers = 0 };
	const struct step *st;
	struct job *j;
	bool idle;

	if (is_disturbed())
		board.disturbed_ms = now_ms;
	measure(&room);
	idle = now_ms - board.disturbed_ms >= CALM_MS &&
		percent_used(&room) < 50;
	for (j = jobs; j; j = j->hh.next) {
		st = idle ? idle_step(j, &room) : NULL;
		if (!st) {
			end_wait(j);
		} else if (!j->since_ms) {
			j->since_ms = now_ms;
		} else if (now_ms - j->since_ms >= WAIT_MAX_MS &&
			   !j->is_counted) {
			j->is_counted = true;
			board.waited_idle++;
			log_wait(j, st, &room);
		}
	}
}
