#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "board.h"
#include "decide/decide.h"

static bool is_usable_worker(const struct tg_doc *doc,
			     const struct tg_instance *w)
{
	return w->kind == TG_KIND_WORKER && !w->leaving &&
		!tg_doc_drains_worker(doc, w->name);
}

/* Position of a guarantee in the document. */
struct guarantee_index {
	size_t workspace, guarantee;
};

/* Lists the guarantees that have not lapsed, and their positions in @doc. */
static size_t collect_guarantees(const struct tg_doc *doc, int64_t wall_ms,
				 struct tg_guarantee *out,
				 struct guarantee_index *indexes)
{
	size_t n = 0, i, k;

	for (i = 0; i < doc->n_workspaces; i++) {
		const struct tg_workspace *w = &doc->workspaces[i];

		for (k = 0; k < w->n_guarantees; k++) {
			const struct tg_guarantee_spec *g = &w->guarantees[k];

			if (g->lapses_wall_ms <= wall_ms)
				continue;
			out[n] = (struct tg_guarantee){
				.workspace = w->name,
				.az = g->az,
				.tasks = g->tasks,
				.accelerators_per_task =
					g->accelerators_per_task,
				.within_rack = g->within_rack,
				.lapses_ms = g->lapses_wall_ms,
			};
			indexes[n++] = (struct guarantee_index){ i, k };
		}
	}
	return n;
}

/* Accelerators of an AZ; @unassigned are in no guarantee so far. */
struct az_capacity {
	char name[TG_NAME_MAX + 1];
	int64_t accelerators, unassigned;
	UT_hash_handle hh;
};

/*
 * struct plan - placement check of one document
 * @azs: AZs that have guarantees
 * @cur_az: AZ whose instances are being listed; one AZ at a time, since a list
 *	of all workers takes tens of megabytes
 * @n: number of @guarantees and @indexes
 */
struct plan {
	struct tg_plat *plat;
	struct tg_doc *doc;
	struct tg_findings *findings;
	struct tg_fleet *fleet;
	struct tg_guarantee *guarantees;
	struct guarantee_index *indexes;
	size_t n;
	struct az_capacity *azs, *cur_az;
	plan_done done;
	void *arg;
};

static struct az_capacity *get_az(struct az_capacity **azs, const char *name)
{
	struct az_capacity *z;

	HASH_FIND_STR(*azs, name, z);
	if (z)
		return z;
	z = tg_xcalloc(1, sizeof(*z));
	tg_strlcpy(z->name, name, sizeof(z->name));
	HASH_ADD_STR(*azs, name, z);
	return z;
}

static void free_azs(struct az_capacity *azs)
{
	struct az_capacity *z, *next;

	HASH_ITER(hh, azs, z, next) {
		HASH_DEL(azs, z);
		free(z);
	}
}

static void add_worker(struct plan *p, const struct tg_instance *w)
{
	struct tg_worker_spec spec = {
		.name = w->name,
		.az = w->az,
		.rack = w->rack,
		.cores = w->cores,
		.memory_gb = w->memory_gb,
		.accelerators = w->accelerators,
	};
	struct az_capacity *z;

	HASH_FIND_STR(p->azs, w->az, z);
	if (!z)
		return;
	tg_fleet_add_worker(p->fleet, &spec);
	z->accelerators += w->accelerators;
	z->unassigned += w->accelerators;
}

static void format_pointer(const struct guarantee_index *p, char *out,
			   size_t size)
{
	snprintf(out, size, "/workspaces/%zu/guarantees/%zu", p->workspace,
		 p->guarantee);
}

/*
 * Rejects guarantees that need more accelerators than their AZ has left.  They
 * can't be placed, and the placement, whose cost grows with the total number of
 * tasks, is not computed for them.
 */
static bool check_capacity(struct plan *p)
{
	size_t before = p->findings->total, i;
	char place[96];

	for (i = 0; i < p->n; i++) {
		const struct tg_guarantee *g = &p->guarantees[i];
		struct az_capacity *z = get_az(&p->azs, g->az);
		int64_t needed = (int64_t)g->tasks * g->accelerators_per_task;

		format_pointer(&p->indexes[i], place, sizeof(place));
		if (needed > z->unassigned)
			tg_findings_add(
				p->findings, place,
				"needs %lld accelerators, %s has %lld "
				"of which %lld go to guarantees before "
				"it",
				(long long)needed, g->az,
				(long long)z->accelerators,
				(long long)(z->accelerators - z->unassigned));
		else
			z->unassigned -= needed;
	}
	return p->findings->total == before;
}

/*
 * Copies the findings of the placement, which names a guarantee by workspace
 * and number ("courts/3"), with the JSON pointers of the document.
 */
static void copy_findings(const struct tg_findings *from,
			  const struct guarantee_index *indexes, size_t n,
			  struct tg_findings *to)
{
	size_t i;

	for (i = 0; i < from->n; i++) {
		const char *slash = strrchr(from->items[i].place, '/');
		size_t k = slash ? strtoul(slash + 1, NULL, 10) : n;
		char place[96] = "/workspaces";

		if (k < n)
			format_pointer(&indexes[k], place, sizeof(place));
		tg_findings_add(to, place, "%s", from->items[i].text);
	}
}

static void finish_plan(struct plan *p, enum plan_result result)
{
	p->done(result, p->arg);
	tg_fleet_free(p->fleet);
	free_azs(p->azs);
	tg_doc_free(p->doc);
	free(p->guarantees);
	free(p->indexes);
	free(p);
}

static void check_placement(struct plan *p)
{
	struct tg_findings found = { 0 };
	enum plan_result result = PLAN_OK;

	if (!check_capacity(p)) {
		result = PLAN_NO_FIT;
	} else if (tg_fleet_set_guarantees(p->fleet, p->guarantees, p->n,
					   tg_wall_ms(), false, &found)) {
		copy_findings(&found, p->indexes, p->n, p->findings);
		result = PLAN_NO_FIT;
	}
	tg_findings_free(&found);
	finish_plan(p, result);
}

static void list_next_az(struct plan *p);

static void on_instances(enum tg_plat_result end,
			 const struct tg_instance *list, size_t n,
			 const char *tag, void *arg)
{
	struct plan *p = arg;
	size_t i;

	(void)tag;
	if (end != TG_PLAT_OK) {
		finish_plan(p, PLAN_NO_INSTANCES);
		return;
	}
	for (i = 0; i < n; i++)
		if (is_usable_worker(p->doc, &list[i]))
			add_worker(p, &list[i]);
	p->cur_az = p->cur_az->hh.next;
	list_next_az(p);
}

static void list_next_az(struct plan *p)
{
	if (p->cur_az)
		tg_instances_list(p->plat, p->cur_az->name, "", on_instances,
				  p);
	else
		check_placement(p);
}

void plan_check_guarantees(const struct board *b, struct tg_doc *doc,
			   struct tg_findings *findings, plan_done done,
			   void *arg)
{
	struct tg_fleet_opts opts = { 0 };
	struct plan *p = tg_xcalloc(1, sizeof(*p));
	size_t total = 0, i;

	p->plat = b->plat;
	p->doc = doc;
	p->findings = findings;
	p->done = done;
	p->arg = arg;
	p->fleet = tg_fleet_new(&opts);
	for (i = 0; i < doc->n_workspaces; i++)
		total += doc->workspaces[i].n_guarantees;
	p->guarantees = tg_xcalloc(total + 1, sizeof(*p->guarantees));
	p->indexes = tg_xcalloc(total + 1, sizeof(*p->indexes));
	p->n = collect_guarantees(doc, tg_wall_ms(), p->guarantees, p->indexes);
	for (i = 0; i < p->n; i++)
		get_az(&p->azs, p->guarantees[i].az);
	p->cur_az = p->azs;
	list_next_az(p);
}
