#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "spec.h"

void fleet_rebuild(struct board *b)
{
	const struct tg_doc *doc = tg_member_doc(b->member);
	struct tg_fleet_opts opts = { 0 };
	struct worker *w, *tmp;

	if (doc) {
		opts.weight_completion = doc->weight_completion;
		opts.weight_fragmentation = doc->weight_fragmentation;
	}
	tg_fleet_free(b->fleet);
	b->fleet = tg_fleet_new(&opts);
	HASH_ITER(hh, b->workers, w, tmp) {
		w->id = -1;
		if (w->listed)
			fleet_add_worker(b, w);
	}
	fleet_set_document(b);
}

void fleet_add_worker(struct board *b, struct worker *w)
{
	struct tg_worker_spec spec = {
		.name = w->name,
		.az = b->opts->az,
		.rack = w->rack,
		.cores = w->cores,
		.memory_gb = w->memory_gb,
		.accelerators = w->accelerators,
	};

	if (!b->fleet || w->id >= 0)
		return;
	w->id = tg_fleet_add_worker(b->fleet, &spec);
	w->health = TG_WORKER_UP;
	/* Without workers the fleet takes no guarantees in the AZ. */
	if (!w->id)
		b->doc_changed = true;
	b->decision_due = true;
}

/* Counts the guarantees of the AZ; lists them if @out is not NULL. */
static size_t list_guarantees(const struct board *b, const struct tg_doc *doc,
			      struct tg_guarantee *out)
{
	size_t i, k, n = 0;

	for (i = 0; i < doc->n_workspaces; i++) {
		const struct tg_workspace *ws = &doc->workspaces[i];

		for (k = 0; k < ws->n_guarantees; k++) {
			const struct tg_guarantee_spec *g = &ws->guarantees[k];

			if (strcmp(g->az, b->opts->az) != 0)
				continue;
			if (out)
				out[n] = (struct tg_guarantee){
					.workspace = ws->name,
					.az = g->az,
					.tasks = g->tasks,
					.accelerators_per_task =
						g->accelerators_per_task,
					.within_rack = g->within_rack,
					.lapses_ms = g->lapses_wall_ms,
				};
			n++;
		}
	}
	return n;
}

/* The document has wall-clock times; the fleet uses the local clock. */
static void convert_lapses_to_local_clock(struct tg_guarantee *g, size_t n)
{
	int64_t wall_offset_ms = tg_wall_ms() - tg_now_ms();
	size_t i;

	for (i = 0; i < n; i++)
		if (g[i].lapses_ms != INT64_MAX)
			g[i].lapses_ms -= wall_offset_ms;
}

void fleet_set_document(struct board *b)
{
	const struct tg_doc *doc = tg_member_doc(b->member);
	struct tg_guarantee *g;
	size_t i, n;

	b->doc_changed = false;
	if (!doc || !b->fleet)
		return;
	n = list_guarantees(b, doc, NULL);
	g = tg_xcalloc(n + 1, sizeof(*g));
	list_guarantees(b, doc, g);
	convert_lapses_to_local_clock(g, n);
	tg_fleet_set_guarantees(b->fleet, g, n, tg_now_ms(), true, NULL);
	free(g);
	for (i = 0; i < doc->n_workspaces; i++)
		tg_fleet_set_quota(b->fleet, doc->workspaces[i].name,
				   doc->workspaces[i].quota_accelerators);
	b->generation = doc->generation;
	b->decision_due = true;
}

static enum tg_worker_health worker_health(const struct board *b,
					   const struct worker *w)
{
	const struct tg_doc *doc = tg_member_doc(b->member);

	if (w->lost)
		return TG_WORKER_DOWN;
	if (w->quarantined)
		return TG_WORKER_QUARANTINED;
	/* Nothing new is placed there until orphaned leases are gone. */
	if (!w->epoch_installed || w->orphans || !w->listed || w->leaving ||
	    w->draining || (doc && tg_doc_drains_worker(doc, w->name)))
		return TG_WORKER_DRAINING;
	return TG_WORKER_UP;
}

void fleet_update_health(struct board *b, int64_t now_ms)
{
	struct worker *w, *tmp;

	HASH_ITER(hh, b->workers, w, tmp) {
		enum tg_worker_health health = worker_health(b, w);

		if (w->id < 0 || w->health == health)
			continue;
		tg_fleet_set_worker_health(b->fleet, w->id, health, now_ms);
		w->health = health;
	}
}

int fleet_submit_job(struct board *b, struct job *j, struct tg_findings *f)
{
	struct tg_findings own_findings = { 0 };
	struct tg_job_spec spec;
	int r;

	spec_to_fleet(j, b->opts->az, &spec);
	r = tg_fleet_submit_job(b->fleet, &spec, tg_now_ms(),
				f ? f : &own_findings);
	if (r && own_findings.n)
		snprintf(j->reason, sizeof(j->reason), "%s: %s",
			 own_findings.items[0].place,
			 own_findings.items[0].text);
	tg_findings_free(&own_findings);
	j->in_fleet = !r;
	b->decision_due = true;
	return r;
}

void fleet_adopt_job(struct board *b, struct job *j, int64_t now_ms)
{
	int32_t *ids = tg_xcalloc((size_t)j->n_members, sizeof(*ids));
	struct tg_job_spec spec;
	int32_t i;

	for (i = 0; i < j->n_members; i++) {
		/* A worker that has left the instance list may still hold
		 * tasks. */
		fleet_add_worker(b, j->members[i].worker);
		ids[i] = j->members[i].worker->id;
	}
	spec_to_fleet(j, b->opts->az, &spec);
	j->in_fleet = !tg_fleet_adopt_job(b->fleet, &spec, ids, now_ms);
	free(ids);
}

void fleet_job_stopped(struct board *b, struct job *j, int64_t now_ms)
{
	b->decision_due = true;
	if (j->in_fleet)
		tg_fleet_job_stopped(b->fleet, j->spec.job, j->cause,
				     j->faulty_worker, now_ms,
				     j->saved_progress_ms);
	else
		fleet_submit_job(b, j, NULL);
}

void fleet_job_done(struct board *b, struct job *j, int64_t now_ms)
{
	int64_t ran_ms = j->initial_progress_ms;

	b->decision_due = true;
	if (!j->in_fleet)
		return;
	if (j->running_since_ms)
		ran_ms += now_ms - j->running_since_ms;
	tg_fleet_job_done(b->fleet, j->spec.job, now_ms, ran_ms);
	j->in_fleet = false;
}

void fleet_remove_job(struct board *b, struct job *j, int64_t now_ms)
{
	b->decision_due = true;
	if (j->in_fleet)
		tg_fleet_cancel_job(b->fleet, j->spec.job, now_ms);
	j->in_fleet = false;
}
