#include <check.h>
#include <string.h>

#include "../flow/fleet.h"
#include "../run.h"

/* Workers with a label that few have. */

#define ACCELERATORS 8
#define WORKERS 8
/* Of the rule LOST. */
#define BOUND_MS 3000

static struct flow *f;
static struct orders o;

static void setup(void)
{
	int i;

	f = fleet_new();
	for (i = 0; i < WORKERS; i++) {
		char id[FLOW_JOB_ID_LEN + 1];

		snprintf(id, sizeof(id), "w%d", i);
		fleet_add_worker(f, id, "r", ACCELERATORS);
	}
}

static void teardown(void)
{
	flow_free(f);
}

static void decide(int64_t now_ms)
{
	fleet_decide(f, &o, now_ms);
	fleet_confirm_starts(f, &o, now_ms);
}

/* Quarantine kept the only workers with a label, in an idle service. */
START_TEST(quarantine_does_not_keep_the_last_workers_with_a_label)
{
	static const char *const queue = "normal";
	int64_t now_ms = 0;
	int i, k;

	for (i = 0; i < 2; i++) {
		char id[FLOW_JOB_ID_LEN + 1];

		snprintf(id, sizeof(id), "x%d", i);
		fleet_add_worker(f, id, "x", ACCELERATORS);
	}
	for (k = 0; k < 3; k++) {
		struct flow_spec *s = fleet_new_spec(2, ACCELERATORS, false);
		char id[FLOW_JOB_ID_LEN + 1];

		snprintf(id, sizeof(id), "fails%d", k);
		s->steps[0].label = tg_xstrdup("x");
		fleet_add_job(f, id, queue, s, now_ms);
		decide(now_ms);
		ck_assert_int_eq(o.n_starts, 2);
		for (i = 0; i < 2; i++)
			fleet_end_run(f, &o.starts[i], FLOW_RUN_FAILED,
				      now_ms + 50);
		ck_assert(flow_cancel(f, id, now_ms + 50));
		now_ms += 100;
	}
	for (k = 0; k < 2; k++) {
		struct flow_spec *s = fleet_new_spec(1, 1, false);
		int64_t from_ms = now_ms;
		char id[FLOW_JOB_ID_LEN + 1];

		snprintf(id, sizeof(id), "waits%d", k);
		s->steps[0].label = tg_xstrdup("x");
		fleet_add_job(f, id, queue, s, now_ms);
		for (o.n_starts = 0; !o.n_starts && now_ms < 100000;
		     now_ms += 100)
			decide(now_ms);
		ck_assert_msg(now_ms - from_ms <= BOUND_MS,
			      "waited %lld ms beside two free workers",
			      (long long)(now_ms - from_ms));
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("label");
	TCase *t = tcase_create("label");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t,
		       quarantine_does_not_keep_the_last_workers_with_a_label);
	suite_add_tcase(s, t);
	return run_suite(s);
}
