#include <stdlib.h>
#include <string.h>

#include "decide/internal.h"

/*
 * How often keys are recomputed.  They change slowly, with the correction of
 * declared run times.
 */
#define KEYS_REFRESH_MS 60000

void list_add(struct queue *q, struct job *j)
{
	if (q->n == q->cap) {
		q->cap = q->cap ? 2 * q->cap : 64;
		q->jobs = tg_xrealloc(q->jobs, q->cap * sizeof(struct job *));
	}
	q->jobs[q->n++] = j;
}

void list_remove(struct queue *q, const struct job *j)
{
	size_t i;

	for (i = 0; i < q->n; i++)
		if (q->jobs[i] == j)
			break;
	if (i == q->n)
		return;
	q->n--;
	memmove(&q->jobs[i], &q->jobs[i + 1],
		(q->n - i) * sizeof(struct job *));
}

static int compare_keys(const struct job *a, const struct job *b)
{
	if (a->key != b->key)
		return a->key < b->key ? -1 : 1;
	return a->seq < b->seq ? -1 : a->seq > b->seq;
}

static size_t insert_position(const struct queue *q, const struct job *j)
{
	size_t low = 0, high = q->n;

	while (low < high) {
		size_t mid = (low + high) / 2;

		if (compare_keys(q->jobs[mid], j) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

void queue_insert(struct tg_fleet *f, struct job *j)
{
	struct queue *q = &f->queues[j->class];
	size_t at;

	f->queued_acc += job_acc(j);
	j->state = JOB_QUEUED;
	j->key = f->policy->key(f, j);
	at = insert_position(q, j);
	list_add(q, j);
	memmove(&q->jobs[at + 1], &q->jobs[at],
		(q->n - 1 - at) * sizeof(struct job *));
	q->jobs[at] = j;
}

void queue_remove(struct tg_fleet *f, struct job *j)
{
	struct queue *q = &f->queues[j->class];
	size_t at = insert_position(q, j);

	if (at == q->n || q->jobs[at] != j)
		return;
	f->queued_acc -= job_acc(j);
	q->n--;
	memmove(&q->jobs[at], &q->jobs[at + 1],
		(q->n - at) * sizeof(struct job *));
}

static int compare_entries(const void *a, const void *b)
{
	return compare_keys(*(struct job *const *)a, *(struct job *const *)b);
}

void queue_refresh(struct tg_fleet *f, int64_t now_ms)
{
	size_t c, i;

	if (f->keys_computed_ms != INT64_MIN &&
	    now_ms - f->keys_computed_ms < KEYS_REFRESH_MS)
		return;
	f->keys_computed_ms = now_ms;
	for (c = 0; c < ARRAY_SIZE(f->queues); c++) {
		struct queue *q = &f->queues[c];

		for (i = 0; i < q->n; i++)
			q->jobs[i]->key = f->policy->key(f, q->jobs[i]);
		if (q->n)
			qsort(q->jobs, q->n, sizeof(struct job *),
			      compare_entries);
	}
}
