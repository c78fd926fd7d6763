#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "decide/decide.h"

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

		if (w->kind == TG_KIND_WORKER && !w->leaving &&
		    !tg_doc_drains_worker(doc, w->name))
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
			snprintf(place, sizeof(place),
				 "/workspaces/%zu/guarantees/%zu",
				 places[k].workspace, places[k].guarantee);
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
