#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "board.h"
#include "decide/decide.h"

static bool is_usable(const struct tg_doc *doc, const struct tg_instance *w)
{
	return w->kind == TG_KIND_WORKER && !w->leaving &&
		!tg_doc_drains_worker(doc, w->name);
}

struct place {
	size_t workspace, guarantee;
};

/* Guarantees that have lapsed need no place. */
static size_t collect(const struct tg_doc *doc, int64_t wall_ms,
		      struct tg_guarantee *out, struct place *places)
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
			places[n++] = (struct place){ i, k };
		}
	}
	return n;
}

struct zone {
	char name[TG_NAME_MAX + 1];
	int64_t accelerators, left;
	UT_hash_handle hh;
};

/*
 * struct plan - check of one document
 * @reading: AZ whose list is being read; one AZ at a time, since the list of
 *	all workers takes tens of megabytes
 */
struct plan {
	struct tg_plat *plat;
	struct tg_doc *doc;
	struct tg_findings *findings;
	struct tg_fleet *fleet;
	struct tg_guarantee *guarantees;
	struct place *places;
	size_t n;
	struct zone *zones, *reading;
	plan_done done;
	void *arg;
};

static struct zone *get_zone(struct zone **zones, const char *name)
{
	struct zone *z;

	HASH_FIND_STR(*zones, name, z);
	if (z)
		return z;
	z = tg_xcalloc(1, sizeof(*z));
	tg_strlcpy(z->name, name, sizeof(z->name));
	HASH_ADD_STR(*zones, name, z);
	return z;
}

static void free_zones(struct zone *zones)
{
	struct zone *z, *next;

	HASH_ITER(hh, zones, z, next) {
		HASH_DEL(zones, z);
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
	struct zone *z;

	HASH_FIND_STR(p->zones, w->az, z);
	if (!z)
		return;
	tg_fleet_add_worker(p->fleet, &spec);
	z->accelerators += w->accelerators;
	z->left += w->accelerators;
}

static void place_text(const struct place *p, char *out, size_t size)
{
	snprintf(out, size, "/workspaces/%zu/guarantees/%zu", p->workspace,
		 p->guarantee);
}

/*
 * Guarantees that exceed the accelerators of their AZ have no plan.  They are
 * refused before planning, the cost of which grows with all their tasks.
 */
static bool check_sizes(struct plan *p)
{
	size_t before = p->findings->total, i;
	char place[96];

	for (i = 0; i < p->n; i++) {
		const struct tg_guarantee *g = &p->guarantees[i];
		struct zone *z = get_zone(&p->zones, g->az);
		int64_t need = (int64_t)g->tasks * g->accelerators_per_task;

		place_text(&p->places[i], place, sizeof(place));
		if (need > z->left)
			tg_findings_add(p->findings, place,
					"needs %lld accelerators, %s has %lld "
					"of which %lld go to guarantees before "
					"it",
					(long long)need, g->az,
					(long long)z->accelerators,
					(long long)(z->accelerators - z->left));
		else
			z->left -= need;
	}
	return p->findings->total == before;
}

/* The library names a guarantee by workspace and number: "courts/3". */
static void add_findings(const struct tg_findings *from,
			 const struct place *places, size_t n,
			 struct tg_findings *to)
{
	size_t i;

	for (i = 0; i < from->n; i++) {
		const char *slash = strrchr(from->items[i].place, '/');
		size_t k = slash ? strtoul(slash + 1, NULL, 10) : n;
		char place[96] = "/workspaces";

		if (k < n)
			place_text(&places[k], place, sizeof(place));
		tg_findings_add(to, place, "%s", from->items[i].text);
	}
}

static void end_plan(struct plan *p, enum plan_result end)
{
	p->done(end, p->arg);
	tg_fleet_free(p->fleet);
	free_zones(p->zones);
	tg_doc_free(p->doc);
	free(p->guarantees);
	free(p->places);
	free(p);
}

static void decide(struct plan *p)
{
	struct tg_findings found = { 0 };
	enum plan_result end = PLAN_OK;

	if (!check_sizes(p)) {
		end = PLAN_NO_FIT;
	} else if (tg_fleet_set_guarantees(p->fleet, p->guarantees, p->n,
					   tg_wall_ms(), false, &found)) {
		add_findings(&found, p->places, p->n, p->findings);
		end = PLAN_NO_FIT;
	}
	tg_findings_free(&found);
	end_plan(p, end);
}

static void read_next(struct plan *p);

static void on_list(enum tg_plat_end end, const struct tg_instance *list,
		    size_t n, const char *tag, void *arg)
{
	struct plan *p = arg;
	size_t i;

	(void)tag;
	if (end != TG_PLAT_OK) {
		end_plan(p, PLAN_NO_INSTANCES);
		return;
	}
	for (i = 0; i < n; i++)
		if (is_usable(p->doc, &list[i]))
			add_worker(p, &list[i]);
	p->reading = p->reading->hh.next;
	read_next(p);
}

static void read_next(struct plan *p)
{
	if (p->reading)
		tg_instances_list(p->plat, p->reading->name, "", on_list, p);
	else
		decide(p);
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
	p->places = tg_xcalloc(total + 1, sizeof(*p->places));
	p->n = collect(doc, tg_wall_ms(), p->guarantees, p->places);
	for (i = 0; i < p->n; i++)
		get_zone(&p->zones, p->guarantees[i].az);
	p->reading = p->zones;
	read_next(p);
}
