#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

/*
 * Tasks that crash the workers that start them.  One such task took down worker
 * after worker; none of its neighbours may be given up in its place.
 */

#define OLD_MS 5000 /* age of a run that is not put down to its start */
#define BACK_MS 4000 /* time after which a crashed worker is back */
#define CRASHES_MAX 3

static struct flow *f;
static struct orders o;
static int n_blamed, n_given_up;
static char last_blamed[FLOW_JOB_ID_LEN + 1];

static void setup(void)
{
	f = fleet_new();
	n_blamed = n_given_up = 0;
	last_blamed[0] = '\0';
}

static void teardown(void)
{
	flow_free(f);
}

static void on_blame(const struct flow_blame *b, void *arg)
{
	(void)arg;
	n_blamed++;
	n_given_up += b->given_up;
	tg_strlcpy(last_blamed, b->ref.job, sizeof(last_blamed));
}

/* The worker crashes at @at_ms; at @back_ms it is back, without runs. */
static void crash(struct flow *flow, const char *worker, int64_t at_ms,
		  int64_t back_ms)
{
	struct flow_crash c = {
		.worker = worker,
		.silent_ms = at_ms,
		.on_blame = on_blame,
	};

	flow_worker_silent(flow, worker, at_ms);
	flow_worker_crashed(flow, &c, back_ms);
	flow_worker_set_runs_known(flow, worker);
}

static enum flow_state state(struct flow *flow, const char *job)
{
	struct flow_job_status v;

	ck_assert(flow_job_status(flow, job, &v));
	return v.state;
}

/* Starts what can be started; returns the worker of @job's only start. */
static const char *start(const char *job, int64_t now_ms)
{
	static char worker[TG_NAME_MAX + 1];
	int i, n = 0;

	fleet_decide(f, &o, now_ms);
	fleet_confirm_starts(f, &o, now_ms + 1);
	for (i = 0; i < o.n_starts; i++)
		if (!strcmp(o.starts[i].job, job)) {
			tg_strlcpy(worker, o.starts[i].worker, sizeof(worker));
			n++;
		}
	ck_assert_int_eq(n, 1);
	return worker;
}

/* The worker lists the run of the last start order at @now_ms. */
static void list_run(const struct start_order *s, int64_t now_ms)
{
	struct flow_run_ref r = fleet_run_ref(s);

	ck_assert(flow_report_run(f, &r, s->worker, 0, "", now_ms));
	flow_report_list_end(f, s->worker, now_ms - 1, now_ms);
}

START_TEST(task_that_crashes_its_workers_is_given_up)
{
	int64_t now_ms = 1000;
	int i;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_worker(f, "w2", "r1", 8);
	fleet_add_job(f, "deadly", "normal", fleet_new_spec(1, 1, false), 0);
	for (i = 0; i < CRASHES_MAX; i++) {
		ck_assert_int_ne(state(f, "deadly"), FLOW_FAILED);
		crash(f, start("deadly", now_ms), now_ms + 10,
		      now_ms + BACK_MS);
		now_ms += BACK_MS + 1;
	}
	ck_assert_int_eq(n_given_up, 1);
	ck_assert_int_eq(state(f, "deadly"), FLOW_FAILED);
	fleet_decide(f, &o, now_ms);
	ck_assert_int_eq(o.n_starts, 0);
}
END_TEST

START_TEST(crash_is_not_blamed_on_older_runs)
{
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "old", "normal", fleet_new_spec(1, 1, false), 0);
	start("old", 1000);
	fleet_add_job(f, "deadly", "normal", fleet_new_spec(1, 1, false), 0);
	start("deadly", 1000 + OLD_MS);
	crash(f, "w1", 1010 + OLD_MS, 1000 + OLD_MS + BACK_MS);
	ck_assert_int_eq(n_blamed, 1);
	ck_assert_str_eq(last_blamed, "deadly");
}
END_TEST

START_TEST(crash_is_blamed_on_task_blamed_before)
{
	int64_t now_ms = 1000;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "deadly", "normal", fleet_new_spec(1, 1, false), 0);
	start("deadly", now_ms);
	crash(f, "w1", now_ms + 10, now_ms + BACK_MS);
	now_ms += BACK_MS;
	fleet_add_job(f, "beside", "urgent", fleet_new_spec(1, 1, false),
		      now_ms);
	fleet_decide(f, &o, now_ms);
	ck_assert_int_eq(o.n_starts, 2); /* there is no other worker */
	fleet_confirm_starts(f, &o, now_ms);
	crash(f, "w1", now_ms + 10, now_ms + BACK_MS);
	ck_assert_int_eq(n_blamed, 2);
	ck_assert_str_eq(last_blamed, "deadly");
}
END_TEST

START_TEST(blamed_task_gets_idle_worker_to_itself)
{
	int64_t now_ms = 1000;
	const char *first, *second;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_worker(f, "w2", "r1", 8);
	fleet_add_job(f, "deadly", "normal", fleet_new_spec(1, 1, false), 0);
	first = start("deadly", now_ms);
	crash(f, first, now_ms + 10, now_ms + BACK_MS);
	now_ms += BACK_MS;
	/* Best fit would put the task beside this one. */
	fleet_add_job(f, "wide", "urgent", fleet_new_spec(1, 6, false), 0);
	first = tg_xstrdup(start("wide", now_ms));
	ck_assert_str_eq(o.starts[0].job, "wide");
	second = o.starts[1].worker;
	ck_assert_str_ne(first, second);
	fleet_add_job(f, "next", "normal", fleet_new_spec(1, 1, false), 0);
	ck_assert_str_eq(start("next", now_ms + 100), first);
	free((char *)first);
}
END_TEST

START_TEST(loss_of_many_workers_is_blamed_on_no_task)
{
	static const char *const workers[] = { "w1", "w2", "w3" };
	size_t i;

	for (i = 0; i < ARRAY_SIZE(workers); i++)
		fleet_add_worker(f, workers[i], "r1", 1);
	fleet_add_job(f, "job", "normal", fleet_new_spec(3, 1, false), 0);
	fleet_decide(f, &o, 1000);
	ck_assert_int_eq(o.n_starts, 3);
	fleet_confirm_starts(f, &o, 1000);
	for (i = 0; i < ARRAY_SIZE(workers); i++)
		flow_worker_silent(f, workers[i], 1000 + OLD_MS);
	for (i = 0; i < ARRAY_SIZE(workers); i++)
		crash(f, workers[i], 1000 + OLD_MS, 1000 + OLD_MS + BACK_MS);
	ck_assert_int_eq(n_blamed, 0);
}
END_TEST

/* Starts a job of one task, and crashes its worker after @age_ms. */
static int64_t crash_at_age(const char *job, int64_t now_ms, int64_t age_ms)
{
	crash(f, start(job, now_ms), now_ms + age_ms, now_ms + BACK_MS);
	return now_ms + BACK_MS + 1;
}

/*
 * Workers with old runs that a cut silences while a deadly task goes round: its
 * crashes were put down to the cut, and it crashed worker after worker.
 */
START_TEST(crashes_beside_a_cut_are_blamed)
{
	static const char *const cut[] = { "w1", "w2", "w3" };
	int64_t now_ms = 1000;
	size_t i;
	int k;

	for (i = 0; i < ARRAY_SIZE(cut); i++)
		fleet_add_worker(f, cut[i], "r1", 8);
	/* They are full with old runs, so that the task starts on others. */
	fleet_add_job(f, "old", "normal", fleet_new_spec(3, 8, false), 0);
	fleet_decide(f, &o, now_ms);
	ck_assert_int_eq(o.n_starts, 3);
	fleet_confirm_starts(f, &o, now_ms);
	now_ms += OLD_MS;
	fleet_add_worker(f, "w4", "r2", 8);
	fleet_add_worker(f, "w5", "r2", 8);
	fleet_add_job(f, "deadly", "normal", fleet_new_spec(1, 1, false), 0);
	for (k = 0; k < CRASHES_MAX; k++) {
		for (i = 0; i < ARRAY_SIZE(cut); i++)
			flow_worker_silent(f, cut[i], now_ms);
		now_ms = crash_at_age("deadly", now_ms, 150);
	}
	ck_assert_int_eq(n_given_up, 1);
	ck_assert_int_eq(state(f, "deadly"), FLOW_FAILED);
	ck_assert_int_ne(state(f, "old"), FLOW_FAILED);
}
END_TEST

/* What was cut off comes back as the same process: it proves no common cause.
 */
START_TEST(workers_that_were_only_silent_explain_no_crash)
{
	static const char *const cut[] = { "w1", "w2", "w3" };
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cut); i++)
		fleet_add_worker(f, cut[i], "r1", 8);
	fleet_add_job(f, "old", "normal", fleet_new_spec(3, 8, false), 0);
	fleet_decide(f, &o, 1000);
	fleet_confirm_starts(f, &o, 1000);
	fleet_add_worker(f, "w4", "r2", 8);
	fleet_add_job(f, "deadly", "normal", fleet_new_spec(1, 1, false), 0);
	for (i = 0; i < ARRAY_SIZE(cut); i++)
		flow_worker_silent(f, cut[i], 1000 + OLD_MS);
	for (i = 0; i < ARRAY_SIZE(cut); i++)
		flow_worker_back(f, cut[i]);
	crash_at_age("deadly", 1000 + OLD_MS, 1500);
	ck_assert_int_eq(n_blamed, 1);
	ck_assert_str_eq(last_blamed, "deadly");
}
END_TEST

/*
 * After a take-over nobody knows how long the former owner's runs had lasted.
 * Workers that crashed under them were taken for a common cause, which forgave
 * the crashes of others.
 */
START_TEST(crashes_under_runs_of_unknown_age_explain_no_other)
{
	static const char *const workers[] = { "w1", "w2", "w3" };
	size_t i;

	fleet_add_job(f, "recorded", "normal", fleet_new_spec(3, 8, false), 0);
	for (i = 0; i < ARRAY_SIZE(workers); i++) {
		json_t *p;
		char text[256];

		fleet_add_worker(f, workers[i], "r1", 8);
		snprintf(text, sizeof(text),
			 "{\"state\":0,\"steps\":[{\"done\":\"\","
			 "\"tasks\":{},\"runs\":[[%d,1,\"%s\"]]}]}",
			 (int)i, workers[i]);
		p = json_loads(text, 0, NULL);
		ck_assert(flow_progress_decode(f, "recorded", p));
		json_decref(p);
	}
	for (i = 0; i < ARRAY_SIZE(workers); i++)
		flow_worker_silent(f, workers[i], 1000);
	fleet_add_worker(f, "w4", "r2", 8);
	fleet_add_job(f, "deadly", "normal", fleet_new_spec(1, 1, false), 0);
	crash_at_age("deadly", 1000, 1500);
	ck_assert_int_eq(n_blamed, 1);
	ck_assert_str_eq(last_blamed, "deadly");
}
END_TEST

/* A rack that loses power: at most what began just before is blamed, once. */
START_TEST(loss_of_a_rack_gives_up_no_job)
{
	char id[16];
	int i;

	for (i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		fleet_add_worker(f, id, "r1", 8);
	}
	fleet_add_job(f, "old", "normal", fleet_new_spec(20, 7, false), 0);
	fleet_decide(f, &o, 1000);
	ck_assert_int_eq(o.n_starts, 20);
	fleet_confirm_starts(f, &o, 1000);
	fleet_add_job(f, "young", "normal", fleet_new_spec(10, 1, false), 0);
	fleet_decide(f, &o, 1000 + OLD_MS);
	ck_assert_int_eq(o.n_starts, 10);
	fleet_confirm_starts(f, &o, 1000 + OLD_MS);
	for (i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		flow_worker_silent(f, id, 1500 + OLD_MS);
	}
	for (i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		crash(f, id, 1500 + OLD_MS, 1500 + OLD_MS + BACK_MS);
	}
	ck_assert_int_eq(n_blamed, 0);
	ck_assert_int_eq(n_given_up, 0);
}
END_TEST

START_TEST(deadly_tasks_that_start_together_are_each_blamed)
{
	static const char *const workers[] = { "w1", "w2", "w3" };
	size_t i;

	for (i = 0; i < ARRAY_SIZE(workers); i++)
		fleet_add_worker(f, workers[i], "r1", 1);
	fleet_add_job(f, "job", "normal", fleet_new_spec(3, 1, true), 0);
	fleet_decide(f, &o, 1000);
	ck_assert_int_eq(o.n_starts, 3);
	fleet_confirm_starts(f, &o, 1000);
	for (i = 0; i < ARRAY_SIZE(workers); i++)
		flow_worker_silent(f, workers[i], 1010);
	for (i = 0; i < ARRAY_SIZE(workers); i++)
		crash(f, workers[i], 1010, 1000 + BACK_MS);
	ck_assert_int_eq(n_blamed, 3);
	ck_assert_int_eq(n_given_up, 0);
}
END_TEST

static const struct flow_worker_spec draining = {
	.id = "w1",
	.service = "s",
	.az = "a",
	.draining = true,
};

START_TEST(restart_of_draining_worker_is_blamed_on_no_task)
{
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "job", "normal", fleet_new_spec(1, 1, false), 0);
	start("job", 1000);
	flow_worker_update(f, &draining);
	crash(f, "w1", 1010, 1000 + BACK_MS);
	ck_assert_int_eq(n_blamed, 0);
}
END_TEST

START_TEST(announced_exit_is_blamed_on_no_task)
{
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "job", "normal", fleet_new_spec(1, 1, false), 0);
	start("job", 1000);
	flow_worker_update(f, &draining);
	flow_worker_silent(f, "w1", 1010);
	flow_worker_lost(f, "w1", 1020);
	crash(f, "w1", 1030, 1000 + BACK_MS);
	ck_assert_int_eq(n_blamed, 0);
}
END_TEST

/* A job whose only start order is answered as @end says at 1010. */
static struct flow_run_ref start_unanswered(enum flow_order_result end)
{
	static struct start_order s;
	struct flow_run_ref r;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "job", "normal", fleet_new_spec(1, 1, false), 0);
	fleet_decide(f, &o, 1000);
	ck_assert_int_eq(o.n_starts, 1);
	s = o.starts[0];
	r = fleet_run_ref(&s);
	flow_start_unanswered(f, &r, "w1");
	flow_start_answered(f, &r, "w1", end, 1010);
	fleet_add_worker(f, "w2", "r1", 8);
	return r;
}

/* The next process confirms a stop at @now_ms and lists the run no more. */
static void confirm_stop(const struct flow_run_ref *r, int64_t now_ms)
{
	fleet_decide(f, &o, now_ms);
	ck_assert_int_eq(o.n_starts, 0);
	ck_assert_int_eq(o.n_stops, 1);
	flow_stop_answered(f, r, "w1", FLOW_ORDER_DONE, now_ms);
	flow_report_list_end(f, "w1", now_ms + STOP_MS, now_ms + STOP_MS + 1);
	fleet_decide(f, &o, now_ms + STOP_MS + 2);
	ck_assert_int_eq(o.n_starts, 0);
	flow_report_list_end(f, "w1", now_ms + STOP_MS + 3,
			     now_ms + STOP_MS + 4);
}

/*
 * The worker's next process carried out a start order that had got no answer,
 * while the task ran elsewhere already.
 */
START_TEST(unanswered_start_outlives_its_process)
{
	struct flow_run_ref r = start_unanswered(FLOW_ORDER_UNKNOWN);

	crash(f, "w1", 1010, 1100);
	ck_assert_int_eq(n_blamed, 1);
	confirm_stop(&r, 1200);
	fleet_decide(f, &o, 4000);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_int_eq(o.starts[0].run, 2);
}
END_TEST

/* The second copy of the order was answered, so the first may be on its way. */
START_TEST(unanswered_copy_of_a_start_outlives_its_process)
{
	struct flow_run_ref r = start_unanswered(FLOW_ORDER_DONE);

	ck_assert(flow_report_run(f, &r, "w1", 0, "", 1020));
	flow_report_list_end(f, "w1", 1019, 1020);
	crash(f, "w1", 1090, 1100);
	confirm_stop(&r, 1200);
	fleet_decide(f, &o, 4000);
	ck_assert_int_eq(o.n_starts, 1);
}
END_TEST

/* A process at another address doesn't get orders for the one before. */
START_TEST(unanswered_start_ends_if_its_order_is_lost)
{
	struct flow_run_ref r = start_unanswered(FLOW_ORDER_UNKNOWN);
	struct flow_crash c = {
		.worker = "w1",
		.silent_ms = 1010,
		.orders_lost = true,
	};

	flow_worker_crashed(f, &c, 1100);
	fleet_decide(f, &o, 1200);
	ck_assert_int_eq(o.n_stops, 0);
	ck_assert_int_eq(o.n_starts, 1);
	ck_assert_int_eq(o.starts[0].run, r.run + 1);
}
END_TEST

/* The next process had answered the start before its list arrived. */
START_TEST(start_answered_after_the_call_outlives_its_process)
{
	struct flow_run_ref r;
	struct flow_crash c = {
		.worker = "w1",
		.silent_ms = 1100,
		.asked_ms = 1005,
	};

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "job", "normal", fleet_new_spec(1, 1, false), 0);
	fleet_decide(f, &o, 1000);
	r = fleet_run_ref(&o.starts[0]);
	flow_start_answered(f, &r, "w1", FLOW_ORDER_DONE, 1010);
	fleet_add_worker(f, "w2", "r1", 8);
	flow_worker_crashed(f, &c, 1100);
	confirm_stop(&r, 1200);
	fleet_decide(f, &o, 4000);
	ck_assert_int_eq(o.n_starts, 1);
}
END_TEST

/* What a process has confirmed says nothing about the one after it. */
START_TEST(stop_is_confirmed_by_each_process)
{
	struct flow_run_ref r = start_unanswered(FLOW_ORDER_UNKNOWN);

	crash(f, "w1", 1010, 1100);
	fleet_decide(f, &o, 1150);
	flow_stop_answered(f, &r, "w1", FLOW_ORDER_DONE, 1160);
	crash(f, "w1", 1170, 1180);
	ck_assert_int_eq(n_blamed, 1);
	flow_report_list_end(f, "w1", 3000, 3001);
	confirm_stop(&r, 3010);
	fleet_decide(f, &o, 6000);
	ck_assert_int_eq(o.n_starts, 1);
}
END_TEST

/* The only copy of the order was answered by the process that has ended. */
START_TEST(answered_start_ends_with_its_process)
{
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "job", "normal", fleet_new_spec(1, 1, false), 0);
	start("job", 1000);
	list_run(&o.starts[0], 1020);
	crash(f, "w1", 1090, 1100);
	start("job", 1200);
}
END_TEST

/* Its leases expire before the worker is back; the task runs elsewhere then. */
START_TEST(crash_that_shows_after_its_leases_expired_counts)
{
	struct flow_crash c = { .worker = "w1",
				.silent_ms = 1010,
				.on_blame = on_blame };

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "deadly", "normal", fleet_new_spec(1, 1, false), 0);
	start("deadly", 1000);
	flow_worker_silent(f, "w1", 1010);
	flow_worker_lost(f, "w1", 9000);
	ck_assert_int_eq(n_blamed, 0);
	flow_worker_crashed(f, &c, 12000);
	ck_assert_int_eq(n_blamed, 1);
}
END_TEST

START_TEST(cut_off_worker_that_returns_is_no_crash)
{
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "job", "normal", fleet_new_spec(1, 1, false), 0);
	start("job", 1000);
	flow_worker_silent(f, "w1", 1010);
	flow_worker_lost(f, "w1", 9000);
	flow_worker_set_runs_known(f, "w1");
	crash(f, "w1", 20000, 24000);
	ck_assert_int_eq(n_blamed, 0);
}
END_TEST

START_TEST(crashes_survive_takeover)
{
	int64_t now_ms = 1000;
	struct flow *g = fleet_new();
	json_t *p;
	int i;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "deadly", "normal", fleet_new_spec(1, 1, false), 0);
	for (i = 0; i < CRASHES_MAX - 1; i++) {
		start("deadly", now_ms);
		crash(f, "w1", now_ms + 10, now_ms + BACK_MS);
		now_ms += BACK_MS + 1;
	}
	ck_assert_str_eq(flow_take_dirty(f), "deadly");
	p = flow_progress_encode(f, "deadly");
	flow_free(f);
	f = g;
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "deadly", "normal", fleet_new_spec(1, 1, false), 0);
	ck_assert(flow_progress_decode(f, "deadly", p));
	json_decref(p);
	start("deadly", now_ms);
	crash(f, "w1", now_ms + 10, now_ms + BACK_MS);
	ck_assert_int_eq(state(f, "deadly"), FLOW_FAILED);
}
END_TEST

/* Years of rare crashes must not add up. */
START_TEST(task_that_outlives_its_crashes_is_cleared)
{
	struct flow_spec *s = fleet_new_spec(1, 1, false);
	int64_t now_ms = 1000;
	int i;

	s->steps[0].endless = true;
	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "endless", "normal", s, 0);
	for (i = 0; i < 2 * CRASHES_MAX; i++) {
		start("endless", now_ms);
		list_run(&o.starts[0], now_ms + OLD_MS);
		fleet_decide(f, &o, now_ms + OLD_MS);
		crash(f, "w1", now_ms + OLD_MS, now_ms + OLD_MS + BACK_MS);
		now_ms += OLD_MS + BACK_MS;
		start("endless", now_ms);
		list_run(&o.starts[0], now_ms + 3 * OLD_MS);
		fleet_decide(f, &o, now_ms + 3 * OLD_MS);
		fleet_end_run(f,
			      &(struct start_order){ .job = "endless",
						     .worker = "w1",
						     .run = 2 * i + 2 },
			      FLOW_RUN_FAILED, now_ms + 3 * OLD_MS);
		now_ms += 3 * OLD_MS + 1;
	}
	ck_assert_int_eq(n_given_up, 0);
	ck_assert_int_eq(n_blamed, 2 * CRASHES_MAX);
}
END_TEST

/* A task that always crashes its worker late is not cleared in between. */
START_TEST(late_crashes_of_a_task_add_up)
{
	int64_t now_ms = 1000;
	int i;

	fleet_add_worker(f, "w1", "r1", 8);
	fleet_add_job(f, "deadly", "normal", fleet_new_spec(1, 1, false), 0);
	for (i = 0; i < CRASHES_MAX; i++) {
		start("deadly", now_ms);
		list_run(&o.starts[0], now_ms + OLD_MS);
		fleet_decide(f, &o, now_ms + OLD_MS);
		crash(f, "w1", now_ms + OLD_MS, now_ms + OLD_MS + BACK_MS);
		now_ms += OLD_MS + BACK_MS;
	}
	ck_assert_int_eq(state(f, "deadly"), FLOW_FAILED);
}
END_TEST

TCase *crash_tcase(void)
{
	TCase *t = tcase_create("crash");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, crashes_beside_a_cut_are_blamed);
	tcase_add_test(t, workers_that_were_only_silent_explain_no_crash);
	tcase_add_test(t, crashes_under_runs_of_unknown_age_explain_no_other);
	tcase_add_test(t, loss_of_a_rack_gives_up_no_job);
	tcase_add_test(t, task_that_crashes_its_workers_is_given_up);
	tcase_add_test(t, crash_is_not_blamed_on_older_runs);
	tcase_add_test(t, crash_is_blamed_on_task_blamed_before);
	tcase_add_test(t, blamed_task_gets_idle_worker_to_itself);
	tcase_add_test(t, loss_of_many_workers_is_blamed_on_no_task);
	tcase_add_test(t, deadly_tasks_that_start_together_are_each_blamed);
	tcase_add_test(t, restart_of_draining_worker_is_blamed_on_no_task);
	tcase_add_test(t, announced_exit_is_blamed_on_no_task);
	tcase_add_test(t, unanswered_start_outlives_its_process);
	tcase_add_test(t, unanswered_copy_of_a_start_outlives_its_process);
	tcase_add_test(t, unanswered_start_ends_if_its_order_is_lost);
	tcase_add_test(t, start_answered_after_the_call_outlives_its_process);
	tcase_add_test(t, stop_is_confirmed_by_each_process);
	tcase_add_test(t, answered_start_ends_with_its_process);
	tcase_add_test(t, crash_that_shows_after_its_leases_expired_counts);
	tcase_add_test(t, cut_off_worker_that_returns_is_no_crash);
	tcase_add_test(t, crashes_survive_takeover);
	tcase_add_test(t, task_that_outlives_its_crashes_is_cleared);
	tcase_add_test(t, late_crashes_of_a_task_add_up);
	return t;
}
