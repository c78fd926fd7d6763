#include <stdlib.h>
#include <string.h>

#include "load.h"

#define STOP_MS 900
#define RECLAIM_MS 3400
#define RACKS 4
#define WORKERS_A_RACK 4
#define ACCELERATORS 8
#define FLEET (RACKS * WORKERS_A_RACK * ACCELERATORS)

static struct load *l;

static void setup(void)
{
	struct flow_opts opts = { .stop_ms = STOP_MS,
				  .reclaim_ms = RECLAIM_MS };
	struct flow_queue q[] = { fleet_queue("urgent", 0),
				  fleet_queue("normal", 1),
				  fleet_queue("low", 2) };
	int i;

	l = tg_xcalloc(1, sizeof(*l));
	l->f = flow_new(&opts);
	flow_set_queues(l->f, q, ARRAY_SIZE(q));
	for (i = 0; i < RACKS * WORKERS_A_RACK; i++) {
		char id[16], rack[16];

		snprintf(id, sizeof(id), "w%d", i);
		snprintf(rack, sizeof(rack), "r%d", i % RACKS);
		fleet_add_worker(l->f, id, rack, ACCELERATORS);
	}
}

static void teardown(void)
{
	flow_free(l->f);
	free(l);
}

/* Single tasks of 7 s whose ends are spread over time, more than fit. */
static void add_backlog(int64_t until_ms)
{
	int64_t at_ms;

	for (at_ms = 0; at_ms < until_ms; at_ms += 500)
		load_add(l, "low", at_ms, FLEET / 8, 1, 7000);
}

/*
 * A gang of whole workers never began, since lower jobs filled each gap.  With
 * runs of 7 s its room is there after the longest of them.
 */
START_TEST(gang_begins_in_a_backlog)
{
	struct load_job *gang;

	add_backlog(30000);
	load_play(l, 10000);
	gang = load_add(l, "normal", 10000, 4, 8, 5000);
	gang->gang = gang->within_rack = true;
	load_play(l, 19000);
	ck_assert_int_ge(gang->start_ms, 10000);
	ck_assert_int_le(gang->start_ms, 18000);
	ck_assert_int_eq(gang->stops, 0);
}
END_TEST

/* The rest of the fleet works on while a gang waits for its rack. */
START_TEST(others_work_while_a_gang_waits)
{
	struct load_job *gang;

	add_backlog(30000);
	load_play(l, 10000);
	gang = load_add(l, "normal", 10000, 4, 8, 5000);
	gang->gang = gang->within_rack = true;
	load_play(l, 14000);
	ck_assert_int_lt(gang->start_ms, 0);
	ck_assert_int_ge(load_accelerators(l),
			 FLEET - WORKERS_A_RACK * ACCELERATORS);
}
END_TEST

TCase *load_case(void)
{
	TCase *t = tcase_create("load");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, gang_begins_in_a_backlog);
	tcase_add_test(t, others_work_while_a_gang_waits);
	return t;
}
