#include <stdio.h>

#include "../flow/fleet.h"
#include "../run.h"

/* A quarantine must not keep a task waiting beside free workers for long. */

#define WORKERS 8
#define N_FAILING 2
/* What the users count as lost: 3 s, from 4 s after the last impairment on. */
#define WAIT_MAX_MS 7000

static struct flow *f;
static struct orders o;

static void fail_on(int worker, int64_t now_ms)
{
	static int n;
	char job[FLOW_JOB_ID_LEN + 1], id[8];
	struct flow_run_ref r = { job, 0, 0, 0, 1 };

	snprintf(job, sizeof(job), "f%d", n++);
	snprintf(id, sizeof(id), "w%d", worker);
	fleet_add_job(f, job, "normal", fleet_new_spec(1, 1, false), now_ms);
	flow_report_run(f, &r, id, 0, "", now_ms);
	flow_report_end(f, &r, id, FLOW_RUN_FAILED, "", now_ms);
	flow_cancel(f, job, now_ms);
}

static void fail_on_all(int64_t now_ms)
{
	int i;

	for (i = 0; i < N_FAILING; i++)
		fail_on(i, now_ms);
}

/* A small task that lasts on each worker but those that fail. */
static void fill_others(void)
{
	struct flow_spec *s = fleet_new_spec(WORKERS - N_FAILING, 1, false);
	char id[FLOW_JOB_ID_LEN + 1];
	int i;

	s->steps[0].endless = true;
	fleet_add_job(f, "lasts", "normal", s, 0);
	for (i = N_FAILING; i < WORKERS; i++) {
		struct flow_run_ref r = { "lasts", 0, 0, i - N_FAILING, 1 };

		snprintf(id, sizeof(id), "w%d", i);
		flow_report_run(f, &r, id, 0, "", 1);
	}
}

/*
 * Workers fail for 4.1 s.  A task that needs a whole worker then waits for the
 * end of their second quarantine, 8 s, with a tenth of the fleet in use.
 */
START_TEST(whole_worker_does_not_wait_for_a_long_quarantine)
{
	int64_t end_ms = 4200, now_ms;
	char id[FLOW_JOB_ID_LEN + 1];
	int i;

	f = fleet_new();
	for (i = 0; i < WORKERS; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		fleet_add_worker(f, id, "r", 8);
	}
	fill_others();
	for (i = 0; i < 3; i++)
		fail_on_all(100);
	fail_on_all(end_ms);
	fleet_add_job(f, "whole", "normal", fleet_new_spec(1, 8, false),
		      end_ms);
	o.n_starts = 0;
	for (now_ms = end_ms; !o.n_starts && now_ms <= end_ms + WAIT_MAX_MS;
	     now_ms += 100)
		fleet_decide(f, &o, now_ms);
	ck_assert_int_eq(o.n_starts, 1);
	flow_free(f);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("quarantine");
	TCase *t = tcase_create("quarantine");

	tcase_add_test(t, whole_worker_does_not_wait_for_a_long_quarantine);
	suite_add_tcase(s, t);
	return run_suite(s);
}
