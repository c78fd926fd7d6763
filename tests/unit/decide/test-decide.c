#include <stdlib.h>
#include <string.h>

#include "decide/decide.h"
#include "property.h"
#include "../run.h"

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

static struct tg_job_spec job_spec(const char *name, const char *ws,
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
	struct tg_job_spec s = job_spec(name, ws, class, tasks, acc);

	ck_assert_int_eq(tg_fleet_submit_job(f, &s, 0, NULL), 0);
}

static void set_guarantee(struct tg_fleet *f, const char *ws, int32_t tasks,
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

/*
 * Decides and carries out the actions at once, until there are none.  Return:
 * the actions, as "+job" for a start, "-job" for a reclaim, "pjob" for a parked
 * job and "q" for a quarantine.
 */
static const char *decide_and_apply(struct tg_fleet *f, int64_t now_ms)
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

/* A guaranteed job gets its slots even if lent jobs use all workers. */
START_TEST(lent_capacity_is_reclaimed)
{
	struct tg_fleet *f = new_fleet("completion", 2, 2);

	set_guarantee(f, "courts", 2, 8, true, INT64_MAX);
	submit(f, "l-1", "other", TG_CLASS_LENT, 4, 8);
	ck_assert_str_eq(decide_and_apply(f, 0), "+l-1");
	submit(f, "g-1", "courts", TG_CLASS_GUARANTEED, 2, 8);
	ck_assert_str_eq(decide_and_apply(f, 1000), "-l-1 +g-1");
	tg_fleet_free(f);
}
END_TEST

/*
 * An urgent job can't be reclaimed, so on workers that the plan reserves it
 * would break the guarantee.
 */
START_TEST(urgent_work_avoids_planned_workers)
{
	struct tg_fleet *f = new_fleet("completion", 2, 2);

	set_guarantee(f, "courts", 2, 8, true, 5000);
	submit(f, "u-1", "other", TG_CLASS_URGENT, 4, 8);
	ck_assert_str_eq(decide_and_apply(f, 0), "");
	ck_assert_str_eq(decide_and_apply(f, 4999), "");
	/* The guarantee lapses exactly at this time. */
	ck_assert_str_eq(decide_and_apply(f, 5000), "+u-1");
	tg_fleet_free(f);
}
END_TEST

static bool at_risk(const struct tg_fleet *f, size_t i)
{
	struct tg_guarantee_status st;

	tg_fleet_guarantee_status(f, i, 0, &st);
	return st.at_risk;
}

static void set_guarantees(struct tg_fleet *f, const struct tg_guarantee *g,
			   size_t n, bool force, int result,
			   struct tg_findings *findings)
{
	ck_assert_int_eq(tg_fleet_set_guarantees(f, g, n, 0, force, findings),
			 result);
}

/*
 * Guarantees that the fleet can't hold together are refused, since they could
 * not be kept.
 */
START_TEST(unplaceable_guarantees_are_refused)
{
	static const struct {
		int32_t tasks, acc;
		bool within_rack;
		int result;
	} cases[] = {
		{ 4, 8, false, 0 },  { 4, 8, true, -1 },  { 2, 8, true, 0 },
		{ 5, 8, false, -1 }, { 1, 9, false, -1 }, { 8, 4, false, 0 },
		{ 4, 5, false, 0 },  { 5, 5, false, -1 }, { 0, 8, false, -1 },
		{ 1, 0, false, -1 },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		struct tg_fleet *f = new_fleet("completion", 2, 2);
		struct tg_findings found = { 0 };
		struct tg_guarantee g = {
			.workspace = "courts",
			.az = "a",
			.tasks = cases[i].tasks,
			.accelerators_per_task = cases[i].acc,
			.within_rack = cases[i].within_rack,
			.lapses_ms = INT64_MAX,
		};

		set_guarantees(f, &g, 1, false, cases[i].result, &found);
		ck_assert_uint_eq(found.n, cases[i].result ? 1 : 0);
		if (found.n)
			ck_assert_str_eq(found.items[0].place, "courts/0");
		ck_assert_uint_eq(tg_fleet_n_guarantees(f),
				  cases[i].result ? 0 : 1);
		tg_findings_free(&found);
		tg_fleet_free(f);
	}
}
END_TEST

/*
 * Best fit alone puts 4 and 3 on one worker and then can't place a 2, although
 * the six guarantees fit on two workers; the exhaustive search finds the way.
 */
START_TEST(plan_needs_search)
{
	static const int32_t sizes[] = { 4, 3, 3, 2, 2, 2, 1 };
	struct tg_fleet *f = new_fleet("completion", 1, 2);
	struct tg_guarantee g[ARRAY_SIZE(sizes)];
	size_t i;

	for (i = 0; i < ARRAY_SIZE(sizes); i++)
		g[i] = (struct tg_guarantee){ .workspace = "ws",
					      .az = "a",
					      .tasks = 1,
					      .accelerators_per_task = sizes[i],
					      .lapses_ms = INT64_MAX };
	set_guarantees(f, g, 6, false, 0, NULL);
	ck_assert_uint_eq(tg_fleet_n_guarantees(f), 6);
	set_guarantees(f, g, 7, false, -1, NULL);
	/* After a refusal the old guarantees stay in force. */
	ck_assert_uint_eq(tg_fleet_n_guarantees(f), 6);
	for (i = 0; i < 6; i++)
		ck_assert(!at_risk(f, i));
	set_guarantees(f, g, 7, true, 0, NULL);
	ck_assert_uint_eq(tg_fleet_n_guarantees(f), 7);
	tg_fleet_free(f);
}
END_TEST

/* Uncovered and lent jobs must not reclaim lent jobs, as urgent ones may. */
START_TEST(only_urgent_work_reclaims_lent_work)
{
	static const struct {
		enum tg_job_class class;
		const char *expected;
	} cases[] = {
		{ TG_CLASS_URGENT, "-l-1 +x-1" },
		{ TG_CLASS_GUARANTEED, "" },
		{ TG_CLASS_LENT, "" },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		struct tg_fleet *f = new_fleet("completion", 1, 2);

		submit(f, "l-1", "other", TG_CLASS_LENT, 2, 8);
		ck_assert_str_eq(decide_and_apply(f, 0), "+l-1");
		submit(f, "x-1", "courts", cases[i].class, 1, 4);
		ck_assert_str_eq(decide_and_apply(f, 1000), cases[i].expected);
		tg_fleet_free(f);
	}
}
END_TEST

/* Reclaiming larger or older jobs than needed loses more accelerator time. */
START_TEST(cheapest_victims_are_reclaimed)
{
	struct tg_fleet *f = new_fleet("completion", 1, 2);

	submit(f, "l-old", "other", TG_CLASS_LENT, 1, 4);
	ck_assert_str_eq(decide_and_apply(f, 0), "+l-old");
	submit(f, "l-new", "other", TG_CLASS_LENT, 1, 4);
	ck_assert_str_eq(decide_and_apply(f, 3000000), "+l-new");
	submit(f, "l-big", "other", TG_CLASS_LENT, 1, 8);
	ck_assert_str_eq(decide_and_apply(f, 3000000), "+l-big");
	submit(f, "u-1", "courts", TG_CLASS_URGENT, 1, 4);
	ck_assert_str_eq(decide_and_apply(f, 3600000), "-l-new +u-1");
	tg_fleet_free(f);
}
END_TEST

/*
 * A workspace must not use more than its quota, or it takes capacity from
 * others.  A job larger than the quota is refused, since it would never start.
 */
START_TEST(quota_limits_jobs)
{
	struct tg_fleet *f = new_fleet("completion", 1, 2);
	struct tg_job_spec big = job_spec("j-9", "courts", TG_CLASS_LENT, 1, 8);
	struct tg_job_spec longer =
		job_spec("j-1", "courts", TG_CLASS_LENT, 1, 4);
	struct tg_findings found = { 0 };

	tg_fleet_set_quota(f, "courts", 4);
	longer.declared_ms *= 2;
	ck_assert_int_eq(tg_fleet_submit_job(f, &longer, 0, NULL), 0);
	submit(f, "j-2", "courts", TG_CLASS_LENT, 1, 2);
	submit(f, "j-3", "other", TG_CLASS_LENT, 1, 2);
	/* j-2 goes first as the shorter; j-1 would exceed the quota. */
	ck_assert_str_eq(decide_and_apply(f, 0), "+j-2 +j-3");
	tg_fleet_job_done(f, "j-2", 1000, 1000);
	ck_assert_str_eq(decide_and_apply(f, 1000), "+j-1");
	ck_assert_int_eq(tg_fleet_submit_job(f, &big, 1000, &found), -1);
	ck_assert_ptr_nonnull(strstr(found.items[0].text, "quota"));
	tg_findings_free(&found);
	tg_fleet_free(f);
}
END_TEST

/* Tasks of a gang in different racks communicate slowly. */
START_TEST(gangs_prefer_one_rack)
{
	struct tg_fleet *f = new_fleet("completion", 3, 2);
	struct tg_job_spec within = job_spec("w-1", "ws", TG_CLASS_LENT, 2, 8);
	struct tg_action out[ACTIONS];
	size_t n;

	/* One worker is used; the gang fits in one of the other racks. */
	submit(f, "f-1", "ws", TG_CLASS_LENT, 1, 8);
	ck_assert_str_eq(decide_and_apply(f, 0), "+f-1");
	submit(f, "g-1", "ws", TG_CLASS_LENT, 2, 8);
	n = tg_decide(f, 0, out, ACTIONS);
	ck_assert_uint_eq(n, 1);
	ck_assert_int_eq(out[0].workers[0] / 2, out[0].workers[1] / 2);
	/* Two more jobs leave one worker idle. */
	submit(f, "f-2", "ws", TG_CLASS_LENT, 1, 8);
	submit(f, "f-3", "ws", TG_CLASS_LENT, 1, 8);
	decide_and_apply(f, 0);
	within.within_rack = true;
	ck_assert_int_eq(tg_fleet_submit_job(f, &within, 0, NULL), 0);
	ck_assert_str_eq(decide_and_apply(f, 0), "");
	tg_fleet_job_done(f, "g-1", 1000, 1000);
	ck_assert_str_eq(decide_and_apply(f, 1000), "+w-1");
	tg_fleet_free(f);
}
END_TEST

/* A gang that runs only in part uses accelerators without progress. */
START_TEST(gangs_start_whole)
{
	const char *const *names = tg_policy_names();

	for (; *names; names++) {
		struct tg_fleet *f = new_fleet(*names, 2, 2);

		submit(f, "f-1", "ws", TG_CLASS_LENT, 1, 8);
		ck_assert_str_eq(decide_and_apply(f, 0), "+f-1");
		submit(f, "g-1", "ws", TG_CLASS_LENT, 4, 8);
		ck_assert_str_eq(decide_and_apply(f, 0), "");
		tg_fleet_job_done(f, "f-1", 60000, 60000);
		ck_assert_str_eq(decide_and_apply(f, 60000), "+g-1");
		tg_fleet_free(f);
	}
}
END_TEST

/*
 * A workspace whose declared run times are always too short must not keep its
 * jobs ahead of others: the times are corrected from completed jobs.
 */
START_TEST(declared_times_are_corrected)
{
	struct tg_fleet *f = new_fleet("completion", 1, 1);
	struct tg_job_spec s;
	char name[16];
	int i;

	for (i = 0; i < 20; i++) {
		snprintf(name, sizeof(name), "j-%d", i);
		s = job_spec(name, "liar", TG_CLASS_LENT, 1, 8);
		s.declared_ms = 1000;
		ck_assert_int_eq(tg_fleet_submit_job(f, &s, 0, NULL), 0);
		decide_and_apply(f, 0);
		tg_fleet_job_done(f, name, 0, 3600000);
	}
	submit(f, "f-1", "ws", TG_CLASS_LENT, 1, 8);
	decide_and_apply(f, 0);
	s = job_spec("a-liar", "liar", TG_CLASS_LENT, 1, 8);
	s.declared_ms = 30000;
	ck_assert_int_eq(tg_fleet_submit_job(f, &s, 0, NULL), 0);
	submit(f, "b-honest", "ws", TG_CLASS_LENT, 1, 8);
	tg_fleet_job_done(f, "f-1", 60000, 60000);
	ck_assert_str_eq(decide_and_apply(f, 60000), "+b-honest");
	tg_fleet_free(f);
}
END_TEST

/*
 * Small jobs that run longer than declared keep arriving.  Without a
 * reservation the large gang never finds all workers idle at once.
 */
START_TEST(large_gang_does_not_starve)
{
	static const char *const names[] = { "completion", "fragmentation",
					     "backfill-declared" };
	size_t p;

	for (p = 0; p < ARRAY_SIZE(names); p++) {
		struct tg_fleet *f = new_fleet(names[p], 1, 4);
		int64_t now = 0;
		bool started = false;
		char name[16];
		int i;

		for (i = 0; i < 8; i++) {
			snprintf(name, sizeof(name), "s-%d", i);
			submit(f, name, "ws", TG_CLASS_LENT, 1, 4);
		}
		decide_and_apply(f, 0);
		submit(f, "g-big", "ws", TG_CLASS_LENT, 4, 8);
		for (; i < 2000 && !started; i++) {
			now += 300000;
			snprintf(name, sizeof(name), "s-%d", i);
			submit(f, name, "ws", TG_CLASS_LENT, 1, 4);
			/* Each job runs for 40 minutes and declares 1. */
			snprintf(name, sizeof(name), "s-%d", i - 8);
			tg_fleet_job_done(f, name, now, 2400000);
			started = strstr(decide_and_apply(f, now), "+g-big");
		}
		ck_assert_msg(started, "%s", names[p]);
		tg_fleet_free(f);
	}
}
END_TEST

#define SPEC(j, ws, z, c, n, acc, cpu, mem, within)            \
	((struct tg_job_spec){ .name = (j),                    \
			       .workspace = (ws),              \
			       .az = (z),                      \
			       .class = (c),                   \
			       .tasks = (n),                   \
			       .accelerators_per_task = (acc), \
			       .cores_per_task = (cpu),        \
			       .memory_gb_per_task = (mem),    \
			       .within_rack = (within) })

/* A job that can never run is refused; queued, it would wait forever. */
START_TEST(impossible_jobs_are_refused)
{
	static const struct {
		const char *field;
		struct tg_job_spec s;
	} cases[] = {
		{ "tasks",
		  SPEC("j", "ws", "a", TG_CLASS_LENT, 5, 8, 1, 1, false) },
		{ "tasks",
		  SPEC("j", "ws", "a", TG_CLASS_LENT, 1, 9, 1, 1, false) },
		{ "tasks",
		  SPEC("j", "ws", "a", TG_CLASS_LENT, 1, 1, 65, 1, false) },
		{ "tasks",
		  SPEC("j", "ws", "a", TG_CLASS_LENT, 1, 1, 1, 257, false) },
		{ "tasks",
		  SPEC("j", "ws", "a", TG_CLASS_LENT, 3, 8, 1, 1, true) },
		/* The guarantee leaves two workers to urgent jobs. */
		{ "tasks",
		  SPEC("j", "ws", "a", TG_CLASS_URGENT, 3, 8, 1, 1, false) },
		{ "tasks",
		  SPEC("j", "ws", "a", TG_CLASS_LENT, 0, 8, 1, 1, false) },
		{ "tasks",
		  SPEC("j", "ws", "a", TG_CLASS_LENT, -1, 8, 1, 1, false) },
		{ "accelerators_per_task",
		  SPEC("j", "ws", "a", TG_CLASS_LENT, 1, -8, 1, 1, false) },
		{ "cores_per_task",
		  SPEC("j", "ws", "a", TG_CLASS_LENT, 1, 1, INT32_MAX, 1,
		       false) },
		{ "cores_per_task",
		  SPEC("j", "ws", "a", TG_CLASS_LENT, 1, 0, 0, 0, false) },
		{ "az",
		  SPEC("j", "ws", "b", TG_CLASS_LENT, 1, 1, 1, 1, false) },
		{ "job",
		  SPEC("J", "ws", "a", TG_CLASS_LENT, 1, 1, 1, 1, false) },
		{ "workspace",
		  SPEC("j", "", "a", TG_CLASS_LENT, 1, 1, 1, 1, false) },
	};
	struct tg_fleet *f = new_fleet("completion", 2, 2);
	size_t i;

	set_guarantee(f, "courts", 2, 8, true, INT64_MAX);
	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		struct tg_findings found = { 0 };

		ck_assert_int_eq(tg_fleet_submit_job(f, &cases[i].s, 0, &found),
				 -1);
		ck_assert_uint_eq(found.n, 1);
		ck_assert_msg(!strcmp(found.items[0].place, cases[i].field),
			      "case %zu: %s: %s", i, found.items[0].place,
			      found.items[0].text);
		tg_findings_free(&found);
	}
	submit(f, "j", "ws", TG_CLASS_LENT, 1, 1);
	ck_assert_int_eq(
		tg_fleet_submit_job(
			f,
			&SPEC("j", "ws", "a", TG_CLASS_LENT, 1, 1, 1, 1, false),
			0, NULL),
		-1);
	tg_fleet_free(f);
}
END_TEST

static int32_t first_worker_of(struct tg_fleet *f, const char *job,
			       int64_t now_ms)
{
	struct tg_action out[ACTIONS];
	size_t n = tg_decide(f, now_ms, out, ACTIONS), i;

	for (i = 0; i < n; i++)
		if (out[i].kind == TG_ACT_START && !strcmp(out[i].job, job))
			return out[i].workers[0];
	return -1;
}

/* A job that fails on every worker must not be restarted forever. */
START_TEST(failing_job_is_parked)
{
	struct tg_fleet *f = new_fleet("completion", 1, 4);
	struct tg_action out[ACTIONS];
	int32_t seen[3], i, k;
	char text[1000];

	submit(f, "j-1", "ws", TG_CLASS_LENT, 1, 8);
	for (i = 0; i < 3; i++) {
		seen[i] = first_worker_of(f, "j-1", i);
		ck_assert_int_ge(seen[i], 0);
		for (k = 0; k < i; k++)
			ck_assert_int_ne(seen[i], seen[k]);
		tg_fleet_job_stopped(f, "j-1", TG_STOP_TASK_FAILED, seen[i], i,
				     0);
	}
	ck_assert_uint_eq(tg_decide(f, 3, out, ACTIONS), 1);
	ck_assert_int_eq(out[0].kind, TG_ACT_PARK);
	ck_assert_str_eq(out[0].job, "j-1");
	ck_assert_str_eq(decide_and_apply(f, 10000000), "");
	ck_assert_int_eq(tg_fleet_explain_job(f, "j-1", 4, text, sizeof(text)),
			 0);
	ck_assert_ptr_nonnull(strstr(text, "parked"));
	tg_fleet_cancel_job(f, "j-1", 5);
	ck_assert_int_eq(tg_fleet_explain_job(f, "j-1", 5, text, sizeof(text)),
			 -1);
	tg_fleet_free(f);
}
END_TEST

/*
 * Lets @n different jobs fail on worker @id, with names from "f-@first" on.
 * Return: number of quarantines.
 */
static size_t fail_jobs_on(struct tg_fleet *f, int32_t id, int first, int n,
			   int64_t now_ms)
{
	struct tg_action out[ACTIONS];
	size_t quarantines = 0, i, k;
	int m;

	for (m = first; m < first + n; m++) {
		char name[16];
		struct tg_job_spec s;

		snprintf(name, sizeof(name), "f-%d", m);
		s = job_spec(name, "ws", TG_CLASS_LENT, 1, 1);
		ck_assert_int_eq(tg_fleet_adopt_job(f, &s, &id, now_ms), 0);
		tg_fleet_job_stopped(f, name, TG_STOP_TASK_FAILED, id, now_ms,
				     0);
		tg_fleet_cancel_job(f, name, now_ms);
		k = tg_decide(f, now_ms, out, ACTIONS);
		for (i = 0; i < k; i++) {
			if (out[i].kind != TG_ACT_QUARANTINE)
				continue;
			ck_assert_int_eq(out[i].workers[0], id);
			quarantines++;
		}
	}
	return quarantines;
}

/*
 * A broken worker fails its jobs quickly, so it is idle often and gets more of
 * them; it is quarantined.  But an image that fails on every worker must not
 * get the whole fleet quarantined.
 */
START_TEST(quarantine_is_limited)
{
	struct tg_fleet *f = new_fleet("completion", 3, 7);

	ck_assert_uint_eq(fail_jobs_on(f, 0, 0, 2, 0), 0);
	ck_assert_uint_eq(fail_jobs_on(f, 0, 2, 1, 0), 1);
	ck_assert_int_eq(tg_fleet_worker_health(f, 0), TG_WORKER_QUARANTINED);
	/* 10% of 21 workers are two. */
	ck_assert_uint_eq(fail_jobs_on(f, 1, 10, 3, 0), 1);
	ck_assert_uint_eq(fail_jobs_on(f, 2, 20, 5, 0), 0);
	ck_assert_int_eq(tg_fleet_worker_health(f, 2), TG_WORKER_UP);
	tg_fleet_set_worker_health(f, 0, TG_WORKER_UP, 0);
	ck_assert_uint_eq(fail_jobs_on(f, 2, 30, 1, 0), 1);
	tg_fleet_free(f);
}
END_TEST

/* A job that completes between failures shows that the worker works. */
START_TEST(success_resets_failures_of_worker)
{
	struct tg_fleet *f = new_fleet("completion", 1, 4);
	struct tg_job_spec s = job_spec("ok", "ws", TG_CLASS_LENT, 1, 1);
	int32_t id = 0;

	ck_assert_uint_eq(fail_jobs_on(f, 0, 0, 2, 0), 0);
	ck_assert_int_eq(tg_fleet_adopt_job(f, &s, &id, 0), 0);
	tg_fleet_job_done(f, "ok", 1, 1);
	ck_assert_uint_eq(fail_jobs_on(f, 0, 10, 2, 0), 0);
	ck_assert_uint_eq(fail_jobs_on(f, 0, 20, 1, 0), 1);
	tg_fleet_free(f);
}
END_TEST

/* A guarantee that does not fit after workers were lost is reported. */
START_TEST(lost_workers_put_guarantee_at_risk)
{
	struct tg_fleet *f = new_fleet("completion", 2, 3);
	struct tg_fleet_stats st;

	set_guarantee(f, "courts", 3, 8, true, INT64_MAX);
	submit(f, "u-1", "other", TG_CLASS_URGENT, 1, 1);
	decide_and_apply(f, 0);
	ck_assert(!at_risk(f, 0));
	/* Lose one worker in each rack, so that neither has three. */
	tg_fleet_set_worker_health(f, 0, TG_WORKER_DOWN, 0);
	tg_fleet_set_worker_health(f, 3, TG_WORKER_DOWN, 0);
	ck_assert(at_risk(f, 0));
	tg_fleet_stats(f, 0, &st);
	ck_assert_uint_eq(st.guarantees_at_risk, 1);
	tg_fleet_set_worker_health(f, 0, TG_WORKER_UP, 0);
	tg_fleet_set_worker_health(f, 3, TG_WORKER_UP, 0);
	ck_assert(!at_risk(f, 0));
	tg_fleet_free(f);
}
END_TEST

/*
 * After a takeover the running jobs stay where they are, so the plan has to use
 * their workers.
 */
START_TEST(adopted_job_uses_slots)
{
	struct tg_fleet *f = new_fleet("completion", 2, 2);
	struct tg_job_spec covered =
		job_spec("g-1", "courts", TG_CLASS_GUARANTEED, 2, 8);
	struct tg_guarantee_status st;
	int32_t workers[] = { 2, 3 }, bad[] = { 2, 4 };

	set_guarantee(f, "courts", 2, 8, true, INT64_MAX);
	ck_assert_int_eq(tg_fleet_adopt_job(f, &covered, bad, 0), -1);
	ck_assert_int_eq(tg_fleet_adopt_job(f, &covered, workers, 0), 0);
	decide_and_apply(f, 0);
	tg_fleet_guarantee_status(f, 0, 0, &st);
	ck_assert_int_eq(st.used_tasks, 2);
	ck_assert(!st.at_risk);
	/* The plan no longer reserves the other rack. */
	submit(f, "u-1", "other", TG_CLASS_URGENT, 2, 8);
	ck_assert_str_eq(decide_and_apply(f, 0), "+u-1");
	tg_fleet_free(f);
}
END_TEST

/* Trying a refused start again at once would be a busy loop. */
START_TEST(refused_start_waits)
{
	struct tg_fleet *f = new_fleet("completion", 1, 1);

	submit(f, "j-1", "ws", TG_CLASS_URGENT, 1, 1);
	ck_assert_str_eq(decide_and_apply(f, 0), "+j-1");
	tg_fleet_job_stopped(f, "j-1", TG_STOP_START_REFUSED, 0, 0, 0);
	ck_assert_str_eq(decide_and_apply(f, 0), "");
	ck_assert_int_eq(tg_fleet_next_decision_ms(f, 0), 1000);
	ck_assert_str_eq(decide_and_apply(f, 1000), "+j-1");
	tg_fleet_free(f);
}
END_TEST

/* The explanation tells operators what a queued job waits for. */
START_TEST(explanation_names_what_is_missing)
{
	struct tg_fleet *f = new_fleet("completion", 1, 2);
	char text[2000];

	set_guarantee(f, "courts", 1, 8, false, INT64_MAX);
	submit(f, "l-1", "ws", TG_CLASS_LENT, 2, 8);
	decide_and_apply(f, 0);
	submit(f, "j-2", "ws", TG_CLASS_GUARANTEED, 1, 8);
	decide_and_apply(f, 1000);
	ck_assert_int_eq(
		tg_fleet_explain_job(f, "l-1", 1000, text, sizeof(text)), 0);
	ck_assert_ptr_nonnull(strstr(text, "running for 1000 ms"));
	ck_assert_int_eq(
		tg_fleet_explain_job(f, "j-2", 1000, text, sizeof(text)), 0);
	ck_assert_ptr_nonnull(strstr(text, "outside of the workspace"));
	ck_assert_ptr_nonnull(strstr(text, "0 accelerators idle"));
	/* In a short buffer the text is truncated and terminated. */
	ck_assert_int_eq(tg_fleet_explain_job(f, "j-2", 1000, text, 10), 0);
	ck_assert_uint_eq(strlen(text), 9);
	tg_fleet_free(f);
}
END_TEST

/* Actions beyond the limit of a round are returned by later rounds. */
START_TEST(action_limit_loses_no_action)
{
	struct tg_fleet *f = new_fleet("completion", 1, 2);
	struct tg_action out[1];
	char job[TG_NAME_MAX + 1];
	int i;

	for (i = 0; i < 4; i++) {
		char name[16];

		snprintf(name, sizeof(name), "l-%d", i);
		submit(f, name, "ws", TG_CLASS_LENT, 1, 4);
		ck_assert_uint_eq(tg_decide(f, 0, out, 1), 1);
	}
	submit(f, "u-1", "ws", TG_CLASS_URGENT, 2, 8);
	for (i = 0; i < 4; i++) {
		ck_assert_uint_eq(tg_decide(f, 0, out, 1), 1);
		ck_assert_int_eq(out[0].kind, TG_ACT_RECLAIM);
		ck_assert_str_eq(out[0].beneficiary, "u-1");
		tg_strlcpy(job, out[0].job, sizeof(job));
		tg_fleet_job_stopped(f, job, TG_STOP_RECLAIMED, -1, 0, 0);
	}
	ck_assert_uint_eq(tg_decide(f, 0, out, 1), 1);
	ck_assert_int_eq(out[0].kind, TG_ACT_START);
	ck_assert_str_eq(out[0].job, "u-1");
	tg_fleet_free(f);
}
END_TEST

/*
 * Four small lent jobs, one on each worker, leave no whole worker free.  The
 * weighted policies move them to one worker, the baselines don't.
 */
START_TEST(lent_jobs_are_consolidated)
{
	static const struct {
		const char *policy;
		bool jobs_move;
	} cases[] = { { "completion", true },
		      { "fragmentation", true },
		      { "fifo-bestfit", false } };
	size_t c;
	int i;

	for (c = 0; c < ARRAY_SIZE(cases); c++) {
		struct tg_fleet *f = new_fleet(cases[c].policy, 1, 4);
		struct tg_fleet_stats before, after;

		for (i = 0; i < 4; i++) {
			char name[16];
			int32_t id = i;
			struct tg_job_spec s;

			snprintf(name, sizeof(name), "l-%d", i);
			s = job_spec(name, "ws", TG_CLASS_LENT, 1, 2);
			s.declared_ms = 100 * 3600000;
			ck_assert_int_eq(tg_fleet_adopt_job(f, &s, &id, 0), 0);
		}
		tg_fleet_stats(f, 0, &before);
		ck_assert_int_eq(before.accelerators_stranded, 24);
		for (i = 1; i <= 10; i++)
			decide_and_apply(f, i * 3600000);
		tg_fleet_stats(f, i * 3600000, &after);
		ck_assert_uint_eq(after.jobs_running, 4);
		ck_assert_int_eq(after.accelerators_free, 24);
		ck_assert_int_eq(after.accelerators_stranded,
				 cases[c].jobs_move ? 0 : 24);
		tg_fleet_free(f);
	}
}
END_TEST

static void add_az(struct tg_fleet *f, const char *az, int32_t workers)
{
	char name[32];
	int32_t i;

	for (i = 0; i < workers; i++) {
		struct tg_worker_spec spec = { .name = name,
					       .az = az,
					       .rack = "r-0",
					       .cores = 64,
					       .memory_gb = 256,
					       .accelerators = 8 };

		snprintf(name, sizeof(name), "%s-%d", az, i);
		tg_fleet_add_worker(f, &spec);
	}
}

static void submit_to(struct tg_fleet *f, const char *name, const char *az,
		      int32_t tasks, int32_t acc)
{
	struct tg_job_spec s = job_spec(name, "ws", TG_CLASS_LENT, tasks, acc);

	s.az = az;
	ck_assert_int_eq(tg_fleet_submit_job(f, &s, 0, NULL), 0);
}

/* Two attempts, since each round tries to move a job in one AZ only. */
static bool moves_in_two_rounds(struct tg_fleet *f, const char *expected,
				int64_t now_ms)
{
	int i;

	for (i = 0; i < 2; i++)
		if (!strcmp(decide_and_apply(f, now_ms), expected))
			return true;
	return false;
}

/* A fragmented AZ stays so unless jobs that may run in any AZ can leave it. */
START_TEST(jobs_of_any_az_move_between_azs)
{
	struct tg_fleet *f = new_fleet("completion", 1, 2);
	struct tg_fleet_stats st;

	add_az(f, "b", 1);
	set_guarantee(f, "courts", 2, 8, true, INT64_MAX);
	submit_to(f, "l-0", "b", 1, 8);
	ck_assert_str_eq(decide_and_apply(f, 0), "+l-0");
	submit_to(f, "l-1", "any", 1, 4);
	ck_assert_str_eq(decide_and_apply(f, 0), "+l-1");
	tg_fleet_cancel_job(f, "l-0", 0);
	tg_fleet_stats(f, 0, &st);
	ck_assert_int_eq(st.accelerators_stranded, 20);
	ck_assert(moves_in_two_rounds(f, "-l-1 +l-1", 1300000));
	tg_fleet_stats(f, 1300000, &st);
	ck_assert_int_eq(st.accelerators_stranded, 4);
	tg_fleet_free(f);
}
END_TEST

/* Uncovered jobs that never move would keep capacity fragmented for long. */
START_TEST(uncovered_work_moves)
{
	struct tg_fleet *f = new_fleet("completion", 1, 3);
	struct tg_fleet_stats st;

	set_guarantee(f, "courts", 1, 8, false, INT64_MAX);
	submit(f, "b-1", "ws", TG_CLASS_GUARANTEED, 1, 5);
	submit(f, "b-2", "ws", TG_CLASS_GUARANTEED, 1, 5);
	ck_assert_str_eq(decide_and_apply(f, 0), "+b-1 +b-2");
	submit(f, "b-3", "ws", TG_CLASS_GUARANTEED, 1, 2);
	ck_assert_str_eq(decide_and_apply(f, 0), "+b-3");
	tg_fleet_cancel_job(f, "b-1", 0);
	ck_assert(moves_in_two_rounds(f, "-b-3 +b-3", 1300000));
	tg_fleet_stats(f, 1300000, &st);
	ck_assert_int_eq(st.accelerators_stranded, 1);
	ck_assert_uint_eq(st.guarantees_at_risk, 0);
	tg_fleet_free(f);
}
END_TEST

/*
 * If each AZ kept workers free for the shape, capacity that can't hold a second
 * instance of it would be withheld from small jobs.
 */
START_TEST(one_az_keeps_workers_free)
{
	struct tg_fleet *f = new_fleet("fragmentation", 1, 3);

	add_az(f, "b", 3);
	set_guarantee(f, "courts", 2, 8, true, INT64_MAX);
	submit_to(f, "l-1", "a", 2, 8);
	submit_to(f, "l-2", "b", 2, 8);
	ck_assert_str_eq(decide_and_apply(f, 0), "+l-1 +l-2");
	/* 16 accelerators are free, enough for one instance of the shape. */
	submit_to(f, "l-3", "a", 1, 2);
	submit_to(f, "l-4", "b", 1, 2);
	ck_assert_str_eq(decide_and_apply(f, 0), "+l-4");
	tg_fleet_free(f);
}
END_TEST

/*
 * The lower bounds of stranded accelerators must not be too high, or a goal for
 * them would look impossible.
 */
START_TEST(lower_bounds_of_stranded)
{
	struct tg_fleet *f = new_fleet("fifo-firstfit", 2, 2);
	struct tg_worker_spec other = { .name = "o-1",
					.az = "b",
					.rack = "r-0",
					.cores = 64,
					.memory_gb = 256,
					.accelerators = 8 };
	struct tg_fleet_stats st;
	int i;

	tg_fleet_add_worker(f, &other);
	set_guarantee(f, "courts", 2, 8, true, INT64_MAX);
	for (i = 0; i < 4; i++) {
		char name[16];

		snprintf(name, sizeof(name), "l-%d", i);
		submit(f, name, "ws", TG_CLASS_LENT, 1, 5);
	}
	ck_assert_str_eq(decide_and_apply(f, 0), "+l-0 +l-1 +l-2 +l-3");
	tg_fleet_stats(f, 0, &st);
	/* Free: 3 on each of four workers in "a", and 8 in "b". */
	ck_assert_int_eq(st.accelerators_free, 20);
	ck_assert_int_eq(st.accelerators_stranded, 20);
	ck_assert_int_eq(st.accelerators_stranded_packed, 20);
	ck_assert_int_eq(st.accelerators_stranded_gathered, 4);
	tg_fleet_cancel_job(f, "l-0", 0);
	tg_fleet_cancel_job(f, "l-2", 0);
	tg_fleet_stats(f, 0, &st);
	/* Free: 8 and 3 in each rack of "a", 22 in all; unfragmented, 16 of
	   them hold the shape once. */
	ck_assert_int_eq(st.accelerators_free, 30);
	ck_assert_int_eq(st.accelerators_stranded, 30);
	ck_assert_int_eq(st.accelerators_stranded_packed, 14);
	ck_assert_int_eq(st.accelerators_stranded_gathered, 6);
	tg_fleet_free(f);
}
END_TEST

/* Jobs that leave kept-free workers alone without limit would starve. */
START_TEST(jobs_use_kept_free_workers_in_time)
{
	struct tg_fleet *f = new_fleet("fragmentation", 1, 4);
	int64_t next;

	submit(f, "l-1", "ws", TG_CLASS_LENT, 3, 8);
	ck_assert_str_eq(decide_and_apply(f, 0), "+l-1");
	/* Without guarantees the largest shape is one worker; one is left. */
	submit(f, "l-2", "ws", TG_CLASS_LENT, 1, 2);
	submit(f, "u-1", "ws", TG_CLASS_URGENT, 1, 2);
	ck_assert_str_eq(decide_and_apply(f, 0), "+u-1 +l-2");
	tg_fleet_cancel_job(f, "u-1", 1);
	tg_fleet_cancel_job(f, "l-2", 1);
	submit(f, "l-3", "ws", TG_CLASS_LENT, 1, 2);
	ck_assert_str_eq(decide_and_apply(f, 1), "");
	for (next = 1; next < 40000000;
	     next = tg_fleet_next_decision_ms(f, next))
		if (strstr(decide_and_apply(f, next), "+l-3"))
			break;
	ck_assert_int_le(next, 36000000);
	tg_fleet_free(f);
}
END_TEST

/* Urgent jobs must not wait for the end of uncovered jobs that fill an AZ. */
START_TEST(urgent_work_reclaims_uncovered_work)
{
	struct tg_fleet *f = new_fleet("completion", 1, 4);

	set_guarantee(f, "courts", 1, 8, false, INT64_MAX);
	submit(f, "g-1", "courts", TG_CLASS_GUARANTEED, 1, 8);
	submit(f, "b-1", "ws", TG_CLASS_GUARANTEED, 2, 8);
	ck_assert_str_eq(decide_and_apply(f, 0), "+g-1 +b-1");
	submit(f, "l-1", "ws", TG_CLASS_LENT, 1, 8);
	ck_assert_str_eq(decide_and_apply(f, 1000), "+l-1");
	/* Reclaiming the lent job suffices. */
	submit(f, "u-1", "ws", TG_CLASS_URGENT, 1, 8);
	ck_assert_str_eq(decide_and_apply(f, 2000), "-l-1 +u-1");
	submit(f, "u-2", "ws", TG_CLASS_URGENT, 2, 8);
	ck_assert_str_eq(decide_and_apply(f, 3000), "-b-1 +u-2");
	/* Urgent and covered jobs are not reclaimed. */
	submit(f, "u-3", "ws", TG_CLASS_URGENT, 1, 8);
	ck_assert_str_eq(decide_and_apply(f, 4000), "");
	tg_fleet_cancel_job(f, "u-3", 4000);
	tg_fleet_cancel_job(f, "l-1", 4000);
	tg_fleet_cancel_job(f, "u-2", 4000);
	ck_assert_str_eq(decide_and_apply(f, 4000), "+b-1");
	tg_fleet_free(f);
}
END_TEST

/* Reclaiming a covered job, even if it lost less, would break the guarantee. */
START_TEST(covered_work_is_no_victim)
{
	struct tg_fleet *f = new_fleet("completion", 1, 1);

	set_guarantee(f, "courts", 1, 4, false, INT64_MAX);
	submit(f, "b-1", "ws", TG_CLASS_GUARANTEED, 1, 4);
	ck_assert_str_eq(decide_and_apply(f, 0), "+b-1");
	submit(f, "g-1", "courts", TG_CLASS_GUARANTEED, 1, 4);
	ck_assert_str_eq(decide_and_apply(f, 3600000), "+g-1");
	submit(f, "u-1", "ws", TG_CLASS_URGENT, 1, 4);
	ck_assert_str_eq(decide_and_apply(f, 3601000), "-b-1 +u-1");
	tg_fleet_free(f);
}
END_TEST

/* Reclaiming larger or older uncovered jobs than needed loses more work. */
START_TEST(cheapest_uncovered_victim_is_reclaimed)
{
	struct tg_fleet *f = new_fleet("completion", 2, 2);

	submit(f, "b-1", "ws", TG_CLASS_GUARANTEED, 1, 8);
	submit(f, "b-2", "ws", TG_CLASS_GUARANTEED, 2, 8);
	ck_assert_str_eq(decide_and_apply(f, 0), "+b-1 +b-2");
	submit(f, "b-3", "ws", TG_CLASS_GUARANTEED, 1, 8);
	ck_assert_str_eq(decide_and_apply(f, 3600000), "+b-3");
	submit(f, "u-1", "ws", TG_CLASS_URGENT, 1, 8);
	ck_assert_str_eq(decide_and_apply(f, 3601000), "-b-3 +u-1");
	tg_fleet_free(f);
}
END_TEST

/*
 * The capacity of a job that is being reclaimed belongs to the urgent job
 * already; a new guarantee must not be placed there by binding the victim.
 */
START_TEST(victim_is_not_bound_to_a_new_guarantee)
{
	struct tg_fleet *f = new_fleet("completion", 1, 2);
	struct tg_guarantee g = { .workspace = "later",
				  .az = "a",
				  .tasks = 1,
				  .accelerators_per_task = 8,
				  .lapses_ms = INT64_MAX };
	struct tg_action out[ACTIONS];

	submit(f, "b-1", "ws", TG_CLASS_GUARANTEED, 1, 8);
	ck_assert_str_eq(decide_and_apply(f, 0), "+b-1");
	submit(f, "b-2", "later", TG_CLASS_GUARANTEED, 1, 8);
	ck_assert_str_eq(decide_and_apply(f, 1000), "+b-2");
	submit(f, "u-1", "ws", TG_CLASS_URGENT, 1, 8);
	ck_assert_uint_eq(tg_decide(f, 2000, out, ACTIONS), 1);
	ck_assert_int_eq(out[0].kind, TG_ACT_RECLAIM);
	ck_assert_str_eq(out[0].job, "b-2");
	ck_assert_int_eq(tg_fleet_set_guarantees(f, &g, 1, 2000, false, NULL),
			 -1);
	tg_fleet_free(f);
}
END_TEST

/*
 * If the target worker of a move goes down while the job stops, the job is
 * queued again and started elsewhere, once.
 */
START_TEST(move_target_is_lost)
{
	struct tg_fleet *f = new_fleet("completion", 1, 2);
	struct tg_job_spec s = job_spec("l-0", "ws", TG_CLASS_LENT, 1, 2);
	struct tg_action out[ACTIONS];
	int32_t id = 0;
	size_t n;

	s.declared_ms = 100 * 3600000;
	ck_assert_int_eq(tg_fleet_adopt_job(f, &s, &id, 0), 0);
	s.name = "l-1";
	id = 1;
	ck_assert_int_eq(tg_fleet_adopt_job(f, &s, &id, 0), 0);
	n = tg_decide(f, 3600000, out, ACTIONS);
	ck_assert_uint_eq(n, 1);
	ck_assert_int_eq(out[0].kind, TG_ACT_RECLAIM);
	/* The worker of the other job is the target. */
	id = strcmp(out[0].job, "l-0") ? 0 : 1;
	s.name = strcmp(out[0].job, "l-0") ? "l-1" : "l-0";
	tg_fleet_set_worker_health(f, id, TG_WORKER_DOWN, 3600000);
	tg_fleet_job_stopped(f, id ? "l-1" : "l-0", TG_STOP_WORKER_LOST, -1,
			     3600000, 0);
	tg_fleet_job_stopped(f, s.name, TG_STOP_RECLAIMED, -1, 3600000, 0);
	n = tg_decide(f, 3600000, out, ACTIONS);
	ck_assert_uint_eq(n, 2);
	ck_assert_int_eq(out[0].workers[0], 1 - id);
	ck_assert_int_eq(out[1].workers[0], 1 - id);
	tg_fleet_free(f);
}
END_TEST

/*
 * Setting the same guarantees again must change nothing.  If the small
 * uncovered job were bound to the slots first, the guarantee would no longer
 * fit beside the large job.
 */
START_TEST(unchanged_guarantees_stay_placed)
{
	struct tg_fleet *f = new_fleet("completion", 1, 3);
	struct tg_guarantee g = { "courts", "a", 2, 8, true, INT64_MAX };
	struct tg_guarantee_status st;
	int i;

	set_guarantees(f, &g, 1, false, 0, NULL);
	submit(f, "g-first", "courts", TG_CLASS_GUARANTEED, 2, 8);
	ck_assert_str_eq(decide_and_apply(f, 0), "+g-first");
	/* The small job is uncovered, and runs longer than the first. */
	submit(f, "g-small", "courts", TG_CLASS_GUARANTEED, 1, 1);
	ck_assert_str_eq(decide_and_apply(f, 0), "+g-small");
	tg_fleet_job_done(f, "g-first", 1000, 1000);
	submit(f, "g-large", "courts", TG_CLASS_GUARANTEED, 2, 8);
	ck_assert_str_eq(decide_and_apply(f, 1000), "+g-large");
	for (i = 0; i < 3; i++) {
		set_guarantees(f, &g, 1, false, 0, NULL);
		tg_fleet_guarantee_status(f, 0, 0, &st);
		ck_assert_int_eq(st.used_tasks, 2);
		ck_assert(!st.at_risk);
	}
	tg_fleet_free(f);
}
END_TEST

/*
 * A takeover reads jobs in any order.  A guarantee must not be at risk because
 * an uncovered job was read before the covered one.
 */
START_TEST(order_of_adoption_is_irrelevant)
{
	struct tg_job_spec large =
		job_spec("g-large", "courts", TG_CLASS_GUARANTEED, 2, 8);
	struct tg_job_spec small =
		job_spec("g-small", "courts", TG_CLASS_GUARANTEED, 1, 1);
	int32_t large_at[] = { 0, 1 }, small_at = 2, i;

	for (i = 0; i < 2; i++) {
		struct tg_fleet *f = new_fleet("completion", 1, 3);
		struct tg_guarantee_status st;

		set_guarantee(f, "courts", 2, 8, true, INT64_MAX);
		if (i)
			tg_fleet_adopt_job(f, &large, large_at, 0);
		tg_fleet_adopt_job(f, &small, &small_at, 0);
		if (!i)
			tg_fleet_adopt_job(f, &large, large_at, 0);
		decide_and_apply(f, 0);
		tg_fleet_guarantee_status(f, 0, 0, &st);
		ck_assert_int_eq(st.used_tasks, 2);
		ck_assert(!st.at_risk);
		tg_fleet_free(f);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("decide");
	TCase *t = tcase_create("decide");

	tcase_add_test(t, lent_capacity_is_reclaimed);
	tcase_add_test(t, urgent_work_avoids_planned_workers);
	tcase_add_test(t, unplaceable_guarantees_are_refused);
	tcase_add_test(t, plan_needs_search);
	tcase_add_test(t, only_urgent_work_reclaims_lent_work);
	tcase_add_test(t, cheapest_victims_are_reclaimed);
	tcase_add_test(t, quota_limits_jobs);
	tcase_add_test(t, gangs_prefer_one_rack);
	tcase_add_test(t, gangs_start_whole);
	tcase_add_test(t, declared_times_are_corrected);
	tcase_add_test(t, large_gang_does_not_starve);
	tcase_add_test(t, impossible_jobs_are_refused);
	tcase_add_test(t, failing_job_is_parked);
	tcase_add_test(t, quarantine_is_limited);
	tcase_add_test(t, success_resets_failures_of_worker);
	tcase_add_test(t, lost_workers_put_guarantee_at_risk);
	tcase_add_test(t, adopted_job_uses_slots);
	tcase_add_test(t, refused_start_waits);
	tcase_add_test(t, explanation_names_what_is_missing);
	tcase_add_test(t, action_limit_loses_no_action);
	tcase_add_test(t, lent_jobs_are_consolidated);
	tcase_add_test(t, jobs_use_kept_free_workers_in_time);
	tcase_add_test(t, jobs_of_any_az_move_between_azs);
	tcase_add_test(t, uncovered_work_moves);
	tcase_add_test(t, one_az_keeps_workers_free);
	tcase_add_test(t, lower_bounds_of_stranded);
	tcase_add_test(t, urgent_work_reclaims_uncovered_work);
	tcase_add_test(t, covered_work_is_no_victim);
	tcase_add_test(t, cheapest_uncovered_victim_is_reclaimed);
	tcase_add_test(t, victim_is_not_bound_to_a_new_guarantee);
	tcase_add_test(t, move_target_is_lost);
	tcase_add_test(t, unchanged_guarantees_stay_placed);
	tcase_add_test(t, order_of_adoption_is_irrelevant);
	suite_add_tcase(s, t);
	suite_add_tcase(s, property_tcase());
	return run_suite(s);
}
