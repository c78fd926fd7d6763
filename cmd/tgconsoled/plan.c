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

static struct tg_fleet *make_fleet(const struct tg_doc *doc,
				   const struct tg_instance *list, size_t n)
{
	struct tg_fleet_opts opts = { 0 };
	struct tg_fleet *f = tg_fleet_new(&opts);
	size_t i;

	for (i = 0; i < n; i++) {
		const struct tg_instance *w = &list[i];
		struct tg_worker_spec spec = {
			.name = w->name,
			.az = w->az,
			.rack = w->rack,
			.cores = w->cores,
			.memory_gb = w->memory_gb,
			.accelerators = w->accelerators,
		};

		if (is_usable(doc, w))
			tg_fleet_add_worker(f, &spec);
	}
	return f;
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

	HASH_ITER(hh, zones, z, next)
	{
		HASH_DEL(zones, z);
		free(z);
	}
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
static bool check_sizes(const struct tg_doc *doc,
			const struct tg_instance *list, size_t n_list,
			const struct tg_guarantee *g,
			const struct place *places, size_t n,
			struct tg_findings *f)
{
	struct zone *zones = NULL, *z;
	size_t before = f->total, i;
	char place[96];

	for (i = 0; i < n_list; i++) {
		if (!is_usable(doc, &list[i]))
			continue;
		z = get_zone(&zones, list[i].az);
		z->accelerators += list[i].accelerators;
		z->left += list[i].accelerators;
	}
	for (i = 0; i < n; i++) {
		int64_t need = (int64_t)g[i].tasks * g[i].accelerators_per_task;

		z = get_zone(&zones, g[i].az);
		place_text(&places[i], place, sizeof(place));
		if (need > z->left)
			tg_findings_add(
				f, place,
				"needs %lld accelerators, %s has %lld "
				"of which %lld go to guarantees before it",
				(long long)need, g[i].az,
				(long long)z->accelerators,
				(long long)(z->accelerators - z->left));
		else
			z->left -= need;
	}
	free_zones(zones);
	return f->total == before;
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

enum plan_end console_plan_check(const struct board *b,
				 const struct tg_doc *doc,
				 struct tg_findings *f)
{
	struct tg_findings found = { 0 };
	const struct tg_instance *list;
	struct tg_guarantee *guarantees;
	struct tg_fleet *fleet;
	struct place *places;
	enum plan_end end = PLAN_OK;
	size_t total = 0, n, n_list, i;
	int64_t wall_ms = tg_wall_ms();

	for (i = 0; i < doc->n_workspaces; i++)
		total += doc->workspaces[i].n_guarantees;
	guarantees = tg_xcalloc(total + 1, sizeof(*guarantees));
	places = tg_xcalloc(total + 1, sizeof(*places));
	n = collect(doc, wall_ms, guarantees, places);
	list = tg_member_instances(b->member, &n_list);
	if (n && !list) {
		end = PLAN_NO_INSTANCES;
	} else if (!check_sizes(doc, list, n_list, guarantees, places, n, f)) {
		end = PLAN_MISSING;
	} else if (n) {
		fleet = make_fleet(doc, list, n_list);
		if (tg_fleet_set_guarantees(fleet, guarantees, n, wall_ms,
					    false, &found)) {
			add_findings(&found, places, n, f);
			end = PLAN_MISSING;
		}
		tg_fleet_free(fleet);
	}
	tg_findings_free(&found);
	free(guarantees);
	free(places);
	return end;
}
