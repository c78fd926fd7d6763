#include <stdlib.h>
#include <string.h>

#include "decide/internal.h"

int32_t name_find(const struct name_id *table, const char *name)
{
	struct name_id *e;

	HASH_FIND_STR(table, name, e);
	return e ? e->id : NONE;
}

static void name_add(struct name_id **table, const char *name, int32_t id)
{
	struct name_id *e = tg_xcalloc(1, sizeof(*e));

	e->name = tg_xstrdup(name);
	e->id = id;
	HASH_ADD_KEYPTR(hh, *table, e->name, strlen(e->name), e);
}

static void names_free(struct name_id **table)
{
	struct name_id *e, *next;

	HASH_ITER(hh, *table, e, next) {
		HASH_DEL(*table, e);
		free(e->name);
		free(e);
	}
}

struct tg_fleet *tg_fleet_new(const struct tg_fleet_opts *opts)
{
	struct tg_fleet *f = tg_xcalloc(1, sizeof(*f));

	f->opts = *opts;
	f->policy = opts->policy ? opts->policy : tg_policy_find("completion");
	if (!opts->weight_completion && !opts->weight_fragmentation) {
		f->opts.weight_completion = f->policy->weight_completion;
		f->opts.weight_fragmentation = f->policy->weight_fragmentation;
	}
	/* Jobs wait for less fragmentation only if its weight is above 50. */
	f->keep_free_ms = f->policy->keep_free_ms *
		max32(0, f->opts.weight_fragmentation - 50) / 50;
	if (!opts->quarantine_percent)
		f->opts.quarantine_percent = 10;
	if (!opts->worker_failures)
		f->opts.worker_failures = 3;
	if (!opts->job_failures)
		f->opts.job_failures = 3;
	f->opts.worker_failures =
		min32(f->opts.worker_failures, FAILURE_HISTORY_MAX);
	f->opts.job_failures = min32(f->opts.job_failures, FAILURE_HISTORY_MAX);
	f->keys_computed_ms = INT64_MIN;
	return f;
}

static void free_topology(struct tg_fleet *f)
{
	int32_t i;

	for (i = 0; i < f->n_workers; i++) {
		free(f->workers[i].name);
		free(f->workers[i].jobs);
	}
	for (i = 0; i < f->n_racks; i++) {
		free(f->racks[i].name);
		free(f->racks[i].workers);
	}
	for (i = 0; i < f->n_azs; i++) {
		free(f->azs[i].name);
		free(f->azs[i].racks);
		free(f->azs[i].reservation.workers);
	}
	free(f->workers);
	free(f->racks);
	free(f->azs);
	names_free(&f->az_ids);
	names_free(&f->rack_ids);
	names_free(&f->worker_ids);
}

void tg_fleet_free(struct tg_fleet *f)
{
	struct workspace *ws, *next_ws;
	struct job *j, *next;
	size_t i;

	if (!f)
		return;
	HASH_ITER(hh, f->jobs, j, next) {
		HASH_DEL(f->jobs, j);
		free(j->name);
		free(j->workers);
		free(j->move_target);
		free(j);
	}
	for (i = 0; i < f->n_guarantees; i++)
		guarantee_free(&f->guarantees[i]);
	HASH_ITER(hh, f->workspaces, ws, next_ws) {
		HASH_DEL(f->workspaces, ws);
		free(ws->name);
		free(ws);
	}
	free_topology(f);
	for (i = 0; i < ARRAY_SIZE(f->queues); i++)
		free(f->queues[i].jobs);
	free(f->assigned.jobs);
	free(f->newly_parked.jobs);
	free(f->newly_quarantined);
	free(f->reported);
	free(f->guarantees);
	free(f->avail);
	free(f->avail_uncommitted);
	free(f->rack_fit);
	free(f->rack_order);
	free(f);
}

struct workspace *workspace_get(struct tg_fleet *f, const char *name)
{
	struct workspace *ws;

	HASH_FIND_STR(f->workspaces, name, ws);
	if (ws)
		return ws;
	ws = tg_xcalloc(1, sizeof(*ws));
	ws->name = tg_xstrdup(name);
	HASH_ADD_KEYPTR(hh, f->workspaces, ws->name, strlen(ws->name), ws);
	return ws;
}

static int32_t az_get(struct tg_fleet *f, const char *name)
{
	int32_t id = name_find(f->az_ids, name);

	if (id != NONE)
		return id;
	id = f->n_azs++;
	f->azs = tg_xrealloc(f->azs, (size_t)f->n_azs * sizeof(*f->azs));
	f->azs[id] = (struct az){ .name = tg_xstrdup(name) };
	name_add(&f->az_ids, name, id);
	return id;
}

static int32_t rack_get(struct tg_fleet *f, int32_t az, const char *name)
{
	char *full = tg_xasprintf("%s/%s", f->azs[az].name, name);
	int32_t id = name_find(f->rack_ids, full);
	struct az *a = &f->azs[az];

	if (id == NONE) {
		id = f->n_racks++;
		f->racks = tg_xrealloc(f->racks,
				       (size_t)f->n_racks * sizeof(*f->racks));
		f->racks[id] = (struct rack){ .name = tg_xstrdup(name),
					      .az = az,
					      .dirty = true };
		name_add(&f->rack_ids, full, id);
		a->racks = tg_xrealloc(
			a->racks, (size_t)(a->n_racks + 1) * sizeof(*a->racks));
		a->racks[a->n_racks++] = id;
		f->rack_fit = tg_xrealloc(
			f->rack_fit, (size_t)f->n_racks * sizeof(*f->rack_fit));
		f->rack_order = tg_xrealloc(f->rack_order,
					    (size_t)f->n_racks *
						    sizeof(*f->rack_order));
	}
	free(full);
	return id;
}

int32_t tg_fleet_add_worker(struct tg_fleet *f,
			    const struct tg_worker_spec *spec)
{
	int32_t id = name_find(f->worker_ids, spec->name);
	struct rack *r;
	struct worker *w;
	int32_t i;

	if (id != NONE)
		return id;
	id = f->n_workers++;
	if (!(id & (id - 1))) {
		size_t cap = id ? 2 * (size_t)id : 1;

		f->workers = tg_xrealloc(f->workers, cap * sizeof(*f->workers));
		f->avail = tg_xrealloc(f->avail, cap * sizeof(*f->avail));
		f->avail_uncommitted =
			tg_xrealloc(f->avail_uncommitted,
				    cap * sizeof(*f->avail_uncommitted));
	}
	w = &f->workers[id];
	*w = (struct worker){ .name = tg_xstrdup(spec->name),
			      .cap = { spec->accelerators, spec->cores,
				       spec->memory_gb } };
	w->az = az_get(f, spec->az);
	w->rack = rack_get(f, w->az, spec->rack);
	name_add(&f->worker_ids, spec->name, id);
	r = &f->racks[w->rack];
	r->workers = tg_xrealloc(
		r->workers, (size_t)(r->n_workers + 1) * sizeof(*r->workers));
	r->workers[r->n_workers++] = id;
	r->dirty = true;
	f->azs[w->az].n_workers++;
	f->azs[w->az].acc += w->cap.acc;
	f->acc += w->cap.acc;
	f->azs[w->az].release_seq++;
	f->azs[w->az].change_seq++;
	f->azs[w->az].needs_replan = true;
	if (!f->n_guarantees && w->cap.acc > f->shape.acc) {
		f->shape = (struct res){ .acc = w->cap.acc };
		f->shape_tasks = 1;
		for (i = 0; i < f->n_racks; i++)
			f->racks[i].dirty = true;
	}
	return id;
}

int32_t tg_fleet_find_worker(const struct tg_fleet *f, const char *name)
{
	return name_find(f->worker_ids, name);
}

const char *tg_fleet_worker_name(const struct tg_fleet *f, int32_t id)
{
	return f->workers[id].name;
}

size_t tg_fleet_n_workers(const struct tg_fleet *f)
{
	return (size_t)f->n_workers;
}

enum tg_worker_health tg_fleet_worker_health(const struct tg_fleet *f,
					     int32_t id)
{
	return f->workers[id].health;
}

static bool job_uses_worker(const struct job *j, int32_t id)
{
	int32_t i;

	for (i = 0; i < j->tasks; i++)
		if (j->workers[i] == id)
			return true;
	return false;
}

/*
 * Queues assigned jobs again, which have not started yet, if one of their
 * workers takes no new tasks.
 */
static void requeue_assigned(struct tg_fleet *f, int32_t id)
{
	size_t i;

	for (i = f->assigned.n; i-- > 0;) {
		struct job *j = f->assigned.jobs[i];

		if (!job_uses_worker(j, id))
			continue;
		job_release(f, j);
		queue_insert(f, j);
	}
}

void tg_fleet_set_worker_health(struct tg_fleet *f, int32_t id,
				enum tg_worker_health health, int64_t now_ms)
{
	struct worker *w = &f->workers[id];
	struct az *az = &f->azs[w->az];

	plan_lapse(f, now_ms);
	if (w->health == health)
		return;
	az->n_quarantined += (health == TG_WORKER_QUARANTINED) -
		(w->health == TG_WORKER_QUARANTINED);
	w->health = health;
	f->racks[w->rack].dirty = true;
	az->release_seq++;
	az->change_seq++;
	if (health == TG_WORKER_UP)
		reset_worker_failures(w);
	else
		requeue_assigned(f, id);
	if (az->reservation.job && w->reserved && health != TG_WORKER_UP)
		reserve_drop(f, az);
	plan_az(f, w->az);
}

void tg_fleet_set_quota(struct tg_fleet *f, const char *workspace,
			int32_t accelerators)
{
	int32_t i;

	workspace_get(f, workspace)->quota = accelerators;
	for (i = 0; i < f->n_azs; i++)
		f->azs[i].release_seq++;
}
