#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "decide/decide.h"

#define ACTIONS 64

static struct tg_fleet *new_fleet(const char *policy, int32_t racks,
				  int32_t workers)
{
	struct tg_fleet_opts opts = { .policy = tg_policy_find(policy) };
	struct tg_fleet *f = tg_fleet_new(&opts);
	char name[32], rack[32];
	int32_t i, k;

	for (i = 0; i < racks; i++)
		for (k = 0; k < workers; k++) {
			struct tg_worker_spec spec = {
				.name = name,
				.az = "a",
				.rack = rack,
				.cores = 64,
				.memory_gb = 256,
				.accelerators = 8,
			};

			snprintf(name, sizeof(name), "w-%d-%d", i, k);
			snprintf(rack, sizeof(rack), "r-%d", i);
			tg_fleet_add_worker(f, &spec);
		}
	return f;
}

static struct tg_job_spec gang(const char *name, const char *ws,
			       enum tg_job_class class, int32_t tasks,
			       int32_t acc)
{
	return (struct tg_job_spec){ .name = name,
				     .workspace = ws,
				     .az = "a",
				     .class = class,
				     .tasks = tasks,
				     .accelerators_per_task = acc,
				     .cores_per_task = acc,
				     .memory_gb_per_task = acc,
				     .declared_ms = 60000 };
}

static void submit(struct tg_fleet *f, const char *name, const char *ws,
		   enum tg_job_class class, int32_t tasks, int32_t acc)
{
	struct tg_job_spec s = gang(name, ws, class, tasks, acc);

	ck_assert_int_eq(tg_fleet_submit(f, &s, 0, NULL), 0);
}

static void guarantee(struct tg_fleet *f, const char *ws, int32_t tasks,
		      int32_t acc, bool within_rack, int64_t lapses_ms)
{
	struct tg_guarantee g = { .workspace = ws,
				  .az = "a",
				  .tasks = tasks,
				  .accelerators_per_task = acc,
				  .within_rack = within_rack,
				  .lapses_ms = lapses_ms };

	ck_assert_int_eq(tg_fleet_set_guarantees(f, &g, 1, 0, false, NULL), 0);
}

/* Carries all actions out at once and writes them as "+job -job". */
static const char *run(struct tg_fleet *f, int64_t now_ms)
{
	static char text[4096];
	struct tg_action out[ACTIONS];
	size_t i, n, round;

	*text = '\0';
	for (round = 0; round < 20; round++) {
		n = tg_decide(f, now_ms, out, ACTIONS);
		if (!n)
			break;
		for (i = 0; i < n; i++) {
			char kind = "+-pq"[out[i].kind];
			size_t at = strlen(text);

			snprintf(text + at, sizeof(text) - at, "%s%c%s",
				 at ? " " : "", kind,
				 out[i].job ? out[i].job : "");
		}
		for (i = 0; i < n; i++)
			if (out[i].kind == TG_ACT_RECLAIM) {
				char job[TG_NAME_MAX + 1];

				tg_strlcpy(job, out[i].job, sizeof(job));
				tg_fleet_job_stopped(f, job, TG_STOP_RECLAIMED,
						     -1, now_ms, 0);
			}
	}
	ck_assert_uint_lt(round, 20);
	return text;
}

/* Lent work that could not be reclaimed would break the guarantee. */
START_TEST(lent_room_is_reclaimed)
{
	struct tg_fleet *f = new_fleet("completion", 2, 2);

	guarantee(f, "courts", 2, 8, true, INT64_MAX);
	submit(f, "l-1", "other", TG_CLASS_LENT, 4, 8);
	ck_assert_str_eq(run(f, 0), "+l-1");
	submit(f, "g-1", "courts", TG_CLASS_GUARANTEED, 2, 8);
	ck_assert_str_eq(run(f, 1000), "-l-1 +g-1");
	tg_fleet_free(f);
}
END_TEST

/* Firm work on the planned place could not be reclaimed. */
START_TEST(firm_work_stays_off_the_plan)
{
	struct tg_fleet *f = new_fleet("completion", 2, 2);

	guarantee(f, "courts", 2, 8, true, 5000);
	submit(f, "u-1", "other", TG_CLASS_URGENT, 4, 8);
	ck_assert_str_eq(run(f, 0), "");
	ck_assert_str_eq(run(f, 4999), "");
	/* It lapses at its instant and not before. */
	ck_assert_str_eq(run(f, 5000), "+u-1");
	tg_fleet_free(f);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("decide");
	TCase *t = tcase_create("decide");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_test(t, lent_room_is_reclaimed);
	tcase_add_test(t, firm_work_stays_off_the_plan);
	suite_add_tcase(s, t);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? 1 : 0;
}
