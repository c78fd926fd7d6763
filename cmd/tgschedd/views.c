#include <stdlib.h>
#include <string.h>

#include "jobrow.h"
#include "views.h"

/* Keeps lists below TG_RPC_LIST_MAX; a job takes a few hundred bytes. */
#define PAGE_SIZE_MAX 100

#define EXPLANATION_BYTES_MAX 4096
#define EXPLAIN_ACTIONS_MAX 32

static const char *const health_names[] = { "up", "draining", "down",
					    "quarantined" };
static const char *const class_names[] = { "urgent", "guaranteed", "lent" };

static void add_actions(const struct board *b, const struct job *j, json_t *out)
{
	size_t i, first = 0;

	if (b->n_action_records > ACTION_RECORDS_MAX)
		first = b->n_action_records - ACTION_RECORDS_MAX;
	for (i = b->n_action_records; i-- > first;) {
		const struct action_record *r =
			&b->action_records[i % ACTION_RECORDS_MAX];
		char at[32];

		if (strcmp(r->job, j->spec.job) != 0)
			continue;
		if (json_array_size(out) >= EXPLAIN_ACTIONS_MAX)
			return;
		tg_format_utc(r->wall_ms, at, sizeof(at));
		json_array_insert_new(
			out, 0,
			json_pack("{s:s, s:s}", "at", at, "action", r->text));
	}
}

json_t *view_explain(struct board *b, const struct job *j)
{
	json_t *v = jobrow_public(b, j), *actions = json_array();
	char text[EXPLANATION_BYTES_MAX] = "";

	if (b->fleet && j->in_fleet)
		tg_fleet_explain_job(b->fleet, j->spec.job, tg_now_ms(), text,
				     sizeof(text));
	if (b->table_down)
		json_object_set_new(v, "waits",
				    json_string("the table does not answer"));
	json_object_set_new(v, "explanation", json_string(text));
	add_actions(b, j, actions);
	json_object_set_new(v, "actions", actions);
	return v;
}

static int compare_jobs(const void *a, const void *b)
{
	const struct job *const *x = a, *const *y = b;

	return strcmp((*x)->spec.job, (*y)->spec.job);
}

static size_t list_jobs_by_name(struct board *b, const struct tg_rpc_list *args,
				struct job **out)
{
	struct job *j, *tmp;
	size_t n = 0;

	HASH_ITER(hh, b->jobs, j, tmp) {
		if (*args->workspace &&
		    strcmp(args->workspace, j->spec.workspace) != 0)
			continue;
		if (strcmp(j->spec.job, args->after) > 0)
			out[n++] = j;
	}
	qsort(out, n, sizeof(void *), compare_jobs);
	return n;
}

static json_t *job_summary(const struct job *j)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:I, s:s}", "job", j->spec.job,
			 "workspace", j->spec.workspace, "class",
			 class_names[j->spec.class], "state",
			 job_state_name(j->state), "attempt",
			 (json_int_t)j->attempt, "reason", j->reason);
}

static size_t page_size(const struct tg_rpc_list *args)
{
	return args->limit && args->limit < PAGE_SIZE_MAX ? args->limit :
							    PAGE_SIZE_MAX;
}

json_t *view_jobs(struct board *b, const struct tg_rpc_list *args)
{
	struct job **all = tg_xcalloc(HASH_COUNT(b->jobs) + 1, sizeof(void *));
	size_t i, n = list_jobs_by_name(b, args, all), max = page_size(args);
	json_t *list = json_array();

	for (i = 0; i < n && i < max; i++)
		json_array_append_new(list, job_summary(all[i]));
	free(all);
	return json_pack("{s:s, s:o, s:b}", "az", b->opts->az, "jobs", list,
			 "more", n > max);
}

static json_t *worker_summary(const struct worker *w)
{
	struct member *m;
	int32_t used = 0;

	DL_FOREACH(w->members, m)
		if (m->state != MEMBER_NONE && m->state < MEMBER_DONE)
			used += m->job->spec.accelerators;
	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i}", "worker",
			 w->name, "rack", w->rack, "addr", w->addr, "state",
			 health_names[w->health], "accelerators",
			 w->accelerators, "accelerators_in_use", used, "cores",
			 w->cores, "memory_gb", w->memory_gb);
}

static int compare_workers(struct worker *a, struct worker *b)
{
	return strcmp(a->name, b->name);
}

json_t *view_workers(struct board *b, const struct tg_rpc_list *args)
{
	size_t max = page_size(args), n = 0;
	json_t *list = json_array();
	struct worker *w, *tmp;

	HASH_SORT(b->workers, compare_workers);
	HASH_ITER(hh, b->workers, w, tmp) {
		if (strcmp(w->name, args->after) <= 0)
			continue;
		if (n++ < max)
			json_array_append_new(list, worker_summary(w));
	}
	return json_pack("{s:s, s:o, s:b}", "az", b->opts->az, "workers", list,
			 "more", n > max);
}

static json_t *guarantee_status(const struct tg_guarantee_status *s)
{
	json_t *v = json_pack("{s:s, s:s, s:i, s:i, s:b, s:b, s:b, s:i, s:i}",
			      "workspace", s->g.workspace, "az", s->g.az,
			      "tasks", s->g.tasks, "accelerators_per_task",
			      s->g.accelerators_per_task, "within_rack",
			      s->g.within_rack, "lapsed", s->lapsed, "at_risk",
			      s->at_risk, "used_tasks", s->used_tasks,
			      "lent_accelerators", s->lent_accelerators);
	char lapses[32];

	if (s->g.lapses_ms != INT64_MAX) {
		tg_format_utc(s->g.lapses_ms + tg_wall_ms() - tg_now_ms(),
			      lapses, sizeof(lapses));
		json_object_set_new(v, "lapses", json_string(lapses));
	}
	return v;
}

json_t *view_guarantees(struct board *b, const struct tg_rpc_list *args)
{
	size_t i, n = tg_fleet_n_guarantees(b->fleet);
	int64_t now_ms = tg_now_ms();
	json_t *list = json_array();

	for (i = 0; i < n; i++) {
		struct tg_guarantee_status s;

		tg_fleet_guarantee_status(b->fleet, i, now_ms, &s);
		if (*args->workspace &&
		    strcmp(args->workspace, s.g.workspace) != 0)
			continue;
		json_array_append_new(list, guarantee_status(&s));
	}
	return json_pack("{s:s, s:o}", "az", b->opts->az, "guarantees", list);
}
