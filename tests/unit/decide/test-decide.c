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

static bool at_risk(const struct tg_fleet *f, size_t i)
{
	struct tg_guarantee_status st;

	tg_fleet_guarantee(f, i, 0, &st);
	return st.at_risk;
}

static void set_guarantees(struct tg_fleet *f, const struct tg_guarantee *g,
			   size_t n, bool force, int result,
			   struct tg_findings *findings)
{
	ck_assert_int_eq(tg_fleet_set_guarantees(f, g, n, 0, force, findings),
			 result);
}

/* A document without a plan would promise what the fleet can't hold. */
START_TEST(guarantees_need_a_plan)
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

/* Best fit puts 4 and 3 together here and then has no place for a 2. */
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
	/* A refused set leaves the old one in force. */
	ck_assert_uint_eq(tg_fleet_n_guarantees(f), 6);
	for (i = 0; i < 6; i++)
		ck_assert(!at_risk(f, i));
	set_guarantees(f, g, 7, true, 0, NULL);
	ck_assert_uint_eq(tg_fleet_n_guarantees(f), 7);
	tg_fleet_free(f);
}
END_TEST

/* Jobs beyond the guarantee must not get what urgent work may reclaim. */
START_TEST(who_may_reclaim)
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
		ck_assert_str_eq(run(f, 0), "+l-1");
		submit(f, "x-1", "courts", cases[i].class, 1, 4);
		ck_assert_str_eq(run(f, 1000), cases[i].expected);
		tg_fleet_free(f);
	}
}
END_TEST

/* Reclaiming more, or older work than needed, wastes accelerator time. */
START_TEST(victims_lose_least)
{
	struct tg_fleet *f = new_fleet("completion", 1, 2);

	submit(f, "l-old", "other", TG_CLASS_LENT, 1, 4);
	ck_assert_str_eq(run(f, 0), "+l-old");
	submit(f, "l-new", "other", TG_CLASS_LENT, 1, 4);
	ck_assert_str_eq(run(f, 3000000), "+l-new");
	submit(f, "l-big", "other", TG_CLASS_LENT, 1, 8);
	ck_assert_str_eq(run(f, 3000000), "+l-big");
	submit(f, "u-1", "courts", TG_CLASS_URGENT, 1, 4);
	ck_assert_str_eq(run(f, 3600000), "-l-new +u-1");
	tg_fleet_free(f);
}
END_TEST

/* A workspace over its quota would take what others are entitled to. */
START_TEST(quota)
{
	struct tg_fleet *f = new_fleet("completion", 1, 2);
	struct tg_job_spec big = gang("j-9", "courts", TG_CLASS_LENT, 1, 8);
	struct tg_job_spec longer = gang("j-1", "courts", TG_CLASS_LENT, 1, 4);
	struct tg_findings found = { 0 };

	tg_fleet_set_quota(f, "courts", 4);
	longer.declared_ms *= 2;
	ck_assert_int_eq(tg_fleet_submit(f, &longer, 0, NULL), 0);
	submit(f, "j-2", "courts", TG_CLASS_LENT, 1, 2);
	submit(f, "j-3", "other", TG_CLASS_LENT, 1, 2);
	/* j-2 is shorter, j-1 exceeds what is left after it. */
	ck_assert_str_eq(run(f, 0), "+j-2 +j-3");
	tg_fleet_job_done(f, "j-2", 1000, 1000);
	ck_assert_str_eq(run(f, 1000), "+j-1");
	ck_assert_int_eq(tg_fleet_submit(f, &big, 1000, &found), -1);
	ck_assert_ptr_nonnull(strstr(found.items[0].text, "quota"));
	tg_findings_free(&found);
	tg_fleet_free(f);
}
END_TEST

/* A gang spread over racks communicates slowly. */
START_TEST(adjacency)
{
	struct tg_fleet *f = new_fleet("completion", 3, 2);
	struct tg_job_spec within = gang("w-1", "ws", TG_CLASS_LENT, 2, 8);
	struct tg_action out[ACTIONS];
	size_t n;

	/* One worker of two racks is taken; the third rack is idle. */
	submit(f, "f-1", "ws", TG_CLASS_LENT, 1, 8);
	ck_assert_str_eq(run(f, 0), "+f-1");
	submit(f, "g-1", "ws", TG_CLASS_LENT, 2, 8);
	n = tg_decide(f, 0, out, ACTIONS);
	ck_assert_uint_eq(n, 1);
	ck_assert_int_eq(out[0].workers[0] / 2, out[0].workers[1] / 2);
	/* Left: a rack and a worker.  Take the rack's first worker. */
	submit(f, "f-2", "ws", TG_CLASS_LENT, 1, 8);
	submit(f, "f-3", "ws", TG_CLASS_LENT, 1, 8);
	run(f, 0);
	within.within_rack = true;
	ck_assert_int_eq(tg_fleet_submit(f, &within, 0, NULL), 0);
	ck_assert_str_eq(run(f, 0), "");
	tg_fleet_job_done(f, "g-1", 1000, 1000);
	ck_assert_str_eq(run(f, 1000), "+w-1");
	tg_fleet_free(f);
}
END_TEST

/* A gang of which a part ran would hold accelerators without progress. */
START_TEST(gangs_start_whole)
{
	const char *const *names = tg_policy_names();

	for (; *names; names++) {
		struct tg_fleet *f = new_fleet(*names, 2, 2);

		submit(f, "f-1", "ws", TG_CLASS_LENT, 1, 8);
		ck_assert_str_eq(run(f, 0), "+f-1");
		submit(f, "g-1", "ws", TG_CLASS_LENT, 4, 8);
		ck_assert_str_eq(run(f, 0), "");
		tg_fleet_job_done(f, "f-1", 60000, 60000);
		ck_assert_str_eq(run(f, 60000), "+g-1");
		tg_fleet_free(f);
	}
}
END_TEST

/* Declared times that are always wrong must not decide the order for ever. */
START_TEST(declared_times_are_corrected)
{
	struct tg_fleet *f = new_fleet("completion", 1, 1);
	struct tg_job_spec s;
	char name[16];
	int i;

	for (i = 0; i < 20; i++) {
		snprintf(name, sizeof(name), "j-%d", i);
		s = gang(name, "liar", TG_CLASS_LENT, 1, 8);
		s.declared_ms = 1000;
		ck_assert_int_eq(tg_fleet_submit(f, &s, 0, NULL), 0);
		run(f, 0);
		tg_fleet_job_done(f, name, 0, 3600000);
	}
	submit(f, "f-1", "ws", TG_CLASS_LENT, 1, 8);
	run(f, 0);
	s = gang("a-liar", "liar", TG_CLASS_LENT, 1, 8);
	s.declared_ms = 30000;
	ck_assert_int_eq(tg_fleet_submit(f, &s, 0, NULL), 0);
	submit(f, "b-honest", "ws", TG_CLASS_LENT, 1, 8);
	tg_fleet_job_done(f, "f-1", 60000, 60000);
	ck_assert_str_eq(run(f, 60000), "+b-honest");
	tg_fleet_free(f);
}
END_TEST

/*
 * Small jobs with false declared times keep arriving; without a kept place
 * the large gang never finds all workers idle at once.
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
		run(f, 0);
		submit(f, "g-big", "ws", TG_CLASS_LENT, 4, 8);
		for (; i < 2000 && !started; i++) {
			now += 300000;
			snprintf(name, sizeof(name), "s-%d", i);
			submit(f, name, "ws", TG_CLASS_LENT, 1, 4);
			/* Each runs 40 minutes and declares one. */
			snprintf(name, sizeof(name), "s-%d", i - 8);
			tg_fleet_job_done(f, name, now, 2400000);
			started = strstr(run(f, now), "+g-big");
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

/* What can never run would wait for ever without a word. */
START_TEST(refusals)
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
		/* The guarantee leaves two workers to other firm work. */
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

	guarantee(f, "courts", 2, 8, true, INT64_MAX);
	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		struct tg_findings found = { 0 };

		ck_assert_int_eq(tg_fleet_submit(f, &cases[i].s, 0, &found),
				 -1);
		ck_assert_uint_eq(found.n, 1);
		ck_assert_msg(!strcmp(found.items[0].place, cases[i].field),
			      "case %zu: %s: %s", i, found.items[0].place,
			      found.items[0].text);
		tg_findings_free(&found);
	}
	submit(f, "j", "ws", TG_CLASS_LENT, 1, 1);
	ck_assert_int_eq(tg_fleet_submit(f,
					 &SPEC("j", "ws", "a", TG_CLASS_LENT, 1,
					       1, 1, 1, false),
					 0, NULL),
			 -1);
	tg_fleet_free(f);
}
END_TEST

static int32_t worker_of(struct tg_fleet *f, const char *job, int64_t now_ms)
{
	struct tg_action out[ACTIONS];
	size_t n = tg_decide(f, now_ms, out, ACTIONS), i;

	for (i = 0; i < n; i++)
		if (out[i].kind == TG_ACT_START && !strcmp(out[i].job, job))
			return out[i].workers[0];
	return -1;
}

/* A job that fails everywhere would otherwise use workers for ever. */
START_TEST(parking)
{
	struct tg_fleet *f = new_fleet("completion", 1, 4);
	struct tg_action out[ACTIONS];
	int32_t seen[3], i, k;
	char text[1000];

	submit(f, "j-1", "ws", TG_CLASS_LENT, 1, 8);
	for (i = 0; i < 3; i++) {
		seen[i] = worker_of(f, "j-1", i);
		ck_assert_int_ge(seen[i], 0);
		for (k = 0; k < i; k++)
			ck_assert_int_ne(seen[i], seen[k]);
		tg_fleet_job_stopped(f, "j-1", TG_STOP_TASK_FAILED, seen[i], i,
				     0);
	}
	ck_assert_uint_eq(tg_decide(f, 3, out, ACTIONS), 1);
	ck_assert_int_eq(out[0].kind, TG_ACT_PARK);
	ck_assert_str_eq(out[0].job, "j-1");
	ck_assert_str_eq(run(f, 10000000), "");
	ck_assert_int_eq(tg_fleet_explain(f, "j-1", 4, text, sizeof(text)), 0);
	ck_assert_ptr_nonnull(strstr(text, "parked"));
	tg_fleet_cancel(f, "j-1", 5);
	ck_assert_int_eq(tg_fleet_explain(f, "j-1", 5, text, sizeof(text)), -1);
	tg_fleet_free(f);
}
END_TEST

/* Fails jobs of different names on worker @id until it is quarantined. */
static size_t fail_on(struct tg_fleet *f, int32_t id, int first, int n,
		      int64_t now_ms)
{
	struct tg_action out[ACTIONS];
	size_t quarantines = 0, i, k;
	int m;

	for (m = first; m < first + n; m++) {
		char name[16];
		struct tg_job_spec s;

		snprintf(name, sizeof(name), "f-%d", m);
		s = gang(name, "ws", TG_CLASS_LENT, 1, 1);
		ck_assert_int_eq(tg_fleet_adopt(f, &s, &id, now_ms), 0);
		tg_fleet_job_stopped(f, name, TG_STOP_TASK_FAILED, id, now_ms,
				     0);
		tg_fleet_cancel(f, name, now_ms);
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

/* One bad worker attracts jobs; but a bad image must not empty the fleet. */
START_TEST(quarantine_and_its_bound)
{
	struct tg_fleet *f = new_fleet("completion", 3, 7);

	ck_assert_uint_eq(fail_on(f, 0, 0, 2, 0), 0);
	ck_assert_uint_eq(fail_on(f, 0, 2, 1, 0), 1);
	ck_assert_int_eq(tg_fleet_worker_health(f, 0), TG_WORKER_QUARANTINED);
	/* 10% of 21 workers are two. */
	ck_assert_uint_eq(fail_on(f, 1, 10, 3, 0), 1);
	ck_assert_uint_eq(fail_on(f, 2, 20, 5, 0), 0);
	ck_assert_int_eq(tg_fleet_worker_health(f, 2), TG_WORKER_UP);
	tg_fleet_set_health(f, 0, TG_WORKER_UP, 0);
	ck_assert_uint_eq(fail_on(f, 2, 30, 1, 0), 1);
	tg_fleet_free(f);
}
END_TEST

/* A job that completes between failures shows that the worker is sound. */
START_TEST(success_ends_a_row_of_failures)
{
	struct tg_fleet *f = new_fleet("completion", 1, 4);
	struct tg_job_spec s = gang("ok", "ws", TG_CLASS_LENT, 1, 1);
	int32_t id = 0;

	ck_assert_uint_eq(fail_on(f, 0, 0, 2, 0), 0);
	ck_assert_int_eq(tg_fleet_adopt(f, &s, &id, 0), 0);
	tg_fleet_job_done(f, "ok", 1, 1);
	ck_assert_uint_eq(fail_on(f, 0, 10, 2, 0), 0);
	ck_assert_uint_eq(fail_on(f, 0, 20, 1, 0), 1);
	tg_fleet_free(f);
}
END_TEST

/* A lost worker must not leave a guarantee without a place unnoticed. */
START_TEST(replanning_on_loss)
{
	struct tg_fleet *f = new_fleet("completion", 2, 3);
	struct tg_fleet_stats st;

	guarantee(f, "courts", 3, 8, true, INT64_MAX);
	submit(f, "u-1", "other", TG_CLASS_URGENT, 1, 1);
	run(f, 0);
	ck_assert(!at_risk(f, 0));
	/* The urgent job's rack has no three whole workers; lose the other. */
	tg_fleet_set_health(f, 0, TG_WORKER_DOWN, 0);
	tg_fleet_set_health(f, 3, TG_WORKER_DOWN, 0);
	ck_assert(at_risk(f, 0));
	tg_fleet_stats(f, 0, &st);
	ck_assert_uint_eq(st.guarantees_at_risk, 1);
	tg_fleet_set_health(f, 0, TG_WORKER_UP, 0);
	tg_fleet_set_health(f, 3, TG_WORKER_UP, 0);
	ck_assert(!at_risk(f, 0));
	tg_fleet_free(f);
}
END_TEST

/* After a takeover what runs is a fact and the plan has to respect it. */
START_TEST(adoption)
{
	struct tg_fleet *f = new_fleet("completion", 2, 2);
	struct tg_job_spec inside =
		gang("g-1", "courts", TG_CLASS_GUARANTEED, 2, 8);
	struct tg_guarantee_status st;
	int32_t workers[] = { 2, 3 }, bad[] = { 2, 4 };

	guarantee(f, "courts", 2, 8, true, INT64_MAX);
	ck_assert_int_eq(tg_fleet_adopt(f, &inside, bad, 0), -1);
	ck_assert_int_eq(tg_fleet_adopt(f, &inside, workers, 0), 0);
	run(f, 0);
	tg_fleet_guarantee(f, 0, 0, &st);
	ck_assert_int_eq(st.used_tasks, 2);
	ck_assert(!st.at_risk);
	/* The other rack is not part of the plan any more. */
	submit(f, "u-1", "other", TG_CLASS_URGENT, 2, 8);
	ck_assert_str_eq(run(f, 0), "+u-1");
	tg_fleet_free(f);
}
END_TEST

/* A refused start that is tried again at once would be a busy loop. */
START_TEST(refused_start_waits)
{
	struct tg_fleet *f = new_fleet("completion", 1, 1);

	submit(f, "j-1", "ws", TG_CLASS_URGENT, 1, 1);
	ck_assert_str_eq(run(f, 0), "+j-1");
	tg_fleet_job_stopped(f, "j-1", TG_STOP_START_REFUSED, 0, 0, 0);
	ck_assert_str_eq(run(f, 0), "");
	ck_assert_int_eq(tg_fleet_next_ms(f, 0), 1000);
	ck_assert_str_eq(run(f, 1000), "+j-1");
	tg_fleet_free(f);
}
END_TEST

/* Operators ask why a job waits; the answer names what is missing. */
START_TEST(explanations)
{
	struct tg_fleet *f = new_fleet("completion", 1, 2);
	char text[2000];

	guarantee(f, "courts", 1, 8, false, INT64_MAX);
	submit(f, "l-1", "ws", TG_CLASS_LENT, 2, 8);
	run(f, 0);
	submit(f, "j-2", "ws", TG_CLASS_GUARANTEED, 1, 8);
	run(f, 1000);
	ck_assert_int_eq(tg_fleet_explain(f, "l-1", 1000, text, sizeof(text)),
			 0);
	ck_assert_ptr_nonnull(strstr(text, "running for 1000 ms"));
	ck_assert_int_eq(tg_fleet_explain(f, "j-2", 1000, text, sizeof(text)),
			 0);
	ck_assert_ptr_nonnull(strstr(text, "outside of the workspace"));
	ck_assert_ptr_nonnull(strstr(text, "0 accelerators idle"));
	/* A short buffer is filled and ended. */
	ck_assert_int_eq(tg_fleet_explain(f, "j-2", 1000, text, 10), 0);
	ck_assert_uint_eq(strlen(text), 9);
	tg_fleet_free(f);
}
END_TEST

/* The limit of a round must not lose actions. */
START_TEST(limit_of_a_round)
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
 * Four small lent jobs, one on each worker, leave no place for the shape; the
 * policies move them together, the baselines don't.
 */
START_TEST(lent_jobs_move_together)
{
	static const struct {
		const char *policy;
		bool moves;
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
			s = gang(name, "ws", TG_CLASS_LENT, 1, 2);
			s.declared_ms = 100 * 3600000;
			ck_assert_int_eq(tg_fleet_adopt(f, &s, &id, 0), 0);
		}
		tg_fleet_stats(f, 0, &before);
		ck_assert_int_eq(before.accelerators_stranded, 24);
		for (i = 1; i <= 10; i++)
			run(f, i * 3600000);
		tg_fleet_stats(f, i * 3600000, &after);
		ck_assert_uint_eq(after.jobs_running, 4);
		ck_assert_int_eq(after.accelerators_free, 24);
		ck_assert_int_eq(after.accelerators_stranded,
				 cases[c].moves ? 0 : 24);
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
	struct tg_job_spec s = gang(name, "ws", TG_CLASS_LENT, tasks, acc);

	s.az = az;
	ck_assert_int_eq(tg_fleet_submit(f, &s, 0, NULL), 0);
}

/* Moves are looked for in one AZ at each decision. */
static bool moves(struct tg_fleet *f, const char *expected, int64_t now_ms)
{
	int i;

	for (i = 0; i < 2; i++)
		if (!strcmp(run(f, now_ms), expected))
			return true;
	return false;
}

/* An AZ of fragments stays so if jobs of any AZ never leave theirs. */
START_TEST(jobs_of_any_az_move_between_azs)
{
	struct tg_fleet *f = new_fleet("completion", 1, 2);
	struct tg_fleet_stats st;

	add_az(f, "b", 1);
	guarantee(f, "courts", 2, 8, true, INT64_MAX);
	submit_to(f, "l-0", "b", 1, 8);
	ck_assert_str_eq(run(f, 0), "+l-0");
	submit_to(f, "l-1", "any", 1, 4);
	ck_assert_str_eq(run(f, 0), "+l-1");
	tg_fleet_cancel(f, "l-0", 0);
	tg_fleet_stats(f, 0, &st);
	ck_assert_int_eq(st.accelerators_stranded, 20);
	ck_assert(moves(f, "-l-1 +l-1", 1300000));
	tg_fleet_stats(f, 1300000, &st);
	ck_assert_int_eq(st.accelerators_stranded, 4);
	tg_fleet_free(f);
}
END_TEST

/* Work that no guarantee covers would keep fragments as long as it runs. */
START_TEST(work_beyond_guarantees_moves)
{
	struct tg_fleet *f = new_fleet("completion", 1, 3);
	struct tg_fleet_stats st;

	guarantee(f, "courts", 1, 8, false, INT64_MAX);
	submit(f, "b-1", "ws", TG_CLASS_GUARANTEED, 1, 5);
	submit(f, "b-2", "ws", TG_CLASS_GUARANTEED, 1, 5);
	ck_assert_str_eq(run(f, 0), "+b-1 +b-2");
	submit(f, "b-3", "ws", TG_CLASS_GUARANTEED, 1, 2);
	ck_assert_str_eq(run(f, 0), "+b-3");
	tg_fleet_cancel(f, "b-1", 0);
	ck_assert(moves(f, "-b-3 +b-3", 1300000));
	tg_fleet_stats(f, 1300000, &st);
	ck_assert_int_eq(st.accelerators_stranded, 1);
	ck_assert_uint_eq(st.guarantees_at_risk, 0);
	tg_fleet_free(f);
}
END_TEST

/* A place spared in each AZ would take room that no shape can use yet. */
START_TEST(one_az_spares_what_is_free)
{
	struct tg_fleet *f = new_fleet("fragmentation", 1, 3);

	add_az(f, "b", 3);
	guarantee(f, "courts", 2, 8, true, INT64_MAX);
	submit_to(f, "l-1", "a", 2, 8);
	submit_to(f, "l-2", "b", 2, 8);
	ck_assert_str_eq(run(f, 0), "+l-1 +l-2");
	/* 16 accelerators are free, enough for one place of the shape. */
	submit_to(f, "l-3", "a", 1, 2);
	submit_to(f, "l-4", "b", 1, 2);
	ck_assert_str_eq(run(f, 0), "+l-4");
	tg_fleet_free(f);
}
END_TEST

/* A bound above the measured figure would make a goal look out of reach. */
START_TEST(bounds_of_fragmentation)
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
	guarantee(f, "courts", 2, 8, true, INT64_MAX);
	for (i = 0; i < 4; i++) {
		char name[16];

		snprintf(name, sizeof(name), "l-%d", i);
		submit(f, name, "ws", TG_CLASS_LENT, 1, 5);
	}
	ck_assert_str_eq(run(f, 0), "+l-0 +l-1 +l-2 +l-3");
	tg_fleet_stats(f, 0, &st);
	/* Four times 3 in "a" and 8 in "b". */
	ck_assert_int_eq(st.accelerators_free, 20);
	ck_assert_int_eq(st.accelerators_stranded, 20);
	ck_assert_int_eq(st.accelerators_stranded_packed, 20);
	ck_assert_int_eq(st.accelerators_stranded_gathered, 4);
	tg_fleet_cancel(f, "l-0", 0);
	tg_fleet_cancel(f, "l-2", 0);
	tg_fleet_stats(f, 0, &st);
	/* 8 and 3 in each rack of "a": 22, of which 16 could be one place. */
	ck_assert_int_eq(st.accelerators_free, 30);
	ck_assert_int_eq(st.accelerators_stranded, 30);
	ck_assert_int_eq(st.accelerators_stranded_packed, 14);
	ck_assert_int_eq(st.accelerators_stranded_gathered, 6);
	tg_fleet_free(f);
}
END_TEST

/* Without an end to the waiting, a spared place would starve jobs. */
START_TEST(spared_place_is_given_up_in_time)
{
	struct tg_fleet *f = new_fleet("fragmentation", 1, 4);
	int64_t next;

	submit(f, "l-1", "ws", TG_CLASS_LENT, 3, 8);
	ck_assert_str_eq(run(f, 0), "+l-1");
	/* One whole worker is left, which is the largest shape here. */
	submit(f, "l-2", "ws", TG_CLASS_LENT, 1, 2);
	submit(f, "u-1", "ws", TG_CLASS_URGENT, 1, 2);
	ck_assert_str_eq(run(f, 0), "+u-1 +l-2");
	tg_fleet_cancel(f, "u-1", 1);
	tg_fleet_cancel(f, "l-2", 1);
	submit(f, "l-3", "ws", TG_CLASS_LENT, 1, 2);
	ck_assert_str_eq(run(f, 1), "");
	for (next = 1; next < 40000000; next = tg_fleet_next_ms(f, next))
		if (strstr(run(f, next), "+l-3"))
			break;
	ck_assert_int_le(next, 36000000);
	tg_fleet_free(f);
}
END_TEST

/* Firm work that fills an AZ would make urgent work wait for its end. */
START_TEST(urgent_work_reclaims_work_beyond_guarantees)
{
	struct tg_fleet *f = new_fleet("completion", 1, 4);

	guarantee(f, "courts", 1, 8, false, INT64_MAX);
	submit(f, "g-1", "courts", TG_CLASS_GUARANTEED, 1, 8);
	submit(f, "b-1", "ws", TG_CLASS_GUARANTEED, 2, 8);
	ck_assert_str_eq(run(f, 0), "+g-1 +b-1");
	submit(f, "l-1", "ws", TG_CLASS_LENT, 1, 8);
	ck_assert_str_eq(run(f, 1000), "+l-1");
	/* Lent work suffices. */
	submit(f, "u-1", "ws", TG_CLASS_URGENT, 1, 8);
	ck_assert_str_eq(run(f, 2000), "-l-1 +u-1");
	submit(f, "u-2", "ws", TG_CLASS_URGENT, 2, 8);
	ck_assert_str_eq(run(f, 3000), "-b-1 +u-2");
	/* Urgent work and what runs inside of a guarantee stay. */
	submit(f, "u-3", "ws", TG_CLASS_URGENT, 1, 8);
	ck_assert_str_eq(run(f, 4000), "");
	tg_fleet_cancel(f, "u-3", 4000);
	tg_fleet_cancel(f, "l-1", 4000);
	tg_fleet_cancel(f, "u-2", 4000);
	ck_assert_str_eq(run(f, 4000), "+b-1");
	tg_fleet_free(f);
}
END_TEST

/* A stop of work inside of a guarantee would break the guarantee. */
START_TEST(work_inside_is_no_victim)
{
	struct tg_fleet *f = new_fleet("completion", 1, 1);

	guarantee(f, "courts", 1, 4, false, INT64_MAX);
	submit(f, "b-1", "ws", TG_CLASS_GUARANTEED, 1, 4);
	ck_assert_str_eq(run(f, 0), "+b-1");
	submit(f, "g-1", "courts", TG_CLASS_GUARANTEED, 1, 4);
	ck_assert_str_eq(run(f, 3600000), "+g-1");
	submit(f, "u-1", "ws", TG_CLASS_URGENT, 1, 4);
	ck_assert_str_eq(run(f, 3601000), "-b-1 +u-1");
	tg_fleet_free(f);
}
END_TEST

/* A victim of more work than needed would lose it for nothing. */
START_TEST(victims_beyond_guarantees_lose_least)
{
	struct tg_fleet *f = new_fleet("completion", 2, 2);

	submit(f, "b-1", "ws", TG_CLASS_GUARANTEED, 1, 8);
	submit(f, "b-2", "ws", TG_CLASS_GUARANTEED, 2, 8);
	ck_assert_str_eq(run(f, 0), "+b-1 +b-2");
	submit(f, "b-3", "ws", TG_CLASS_GUARANTEED, 1, 8);
	ck_assert_str_eq(run(f, 3600000), "+b-3");
	submit(f, "u-1", "ws", TG_CLASS_URGENT, 1, 8);
	ck_assert_str_eq(run(f, 3601000), "-b-3 +u-1");
	tg_fleet_free(f);
}
END_TEST

/* The place of a victim that stops belongs to the urgent job already. */
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
	ck_assert_str_eq(run(f, 0), "+b-1");
	submit(f, "b-2", "later", TG_CLASS_GUARANTEED, 1, 8);
	ck_assert_str_eq(run(f, 1000), "+b-2");
	submit(f, "u-1", "ws", TG_CLASS_URGENT, 1, 8);
	ck_assert_uint_eq(tg_decide(f, 2000, out, ACTIONS), 1);
	ck_assert_int_eq(out[0].kind, TG_ACT_RECLAIM);
	ck_assert_str_eq(out[0].job, "b-2");
	ck_assert_int_eq(tg_fleet_set_guarantees(f, &g, 1, 2000, false, NULL),
			 -1);
	tg_fleet_free(f);
}
END_TEST

/* Kept and moved places must not be lost or doubled by other events. */
START_TEST(lost_target_of_a_move)
{
	struct tg_fleet *f = new_fleet("completion", 1, 2);
	struct tg_job_spec s = gang("l-0", "ws", TG_CLASS_LENT, 1, 2);
	struct tg_action out[ACTIONS];
	int32_t id = 0;
	size_t n;

	s.declared_ms = 100 * 3600000;
	ck_assert_int_eq(tg_fleet_adopt(f, &s, &id, 0), 0);
	s.name = "l-1";
	id = 1;
	ck_assert_int_eq(tg_fleet_adopt(f, &s, &id, 0), 0);
	n = tg_decide(f, 3600000, out, ACTIONS);
	ck_assert_uint_eq(n, 1);
	ck_assert_int_eq(out[0].kind, TG_ACT_RECLAIM);
	/* Its target goes down while it stops. */
	id = strcmp(out[0].job, "l-0") ? 0 : 1;
	s.name = strcmp(out[0].job, "l-0") ? "l-1" : "l-0";
	tg_fleet_set_health(f, id, TG_WORKER_DOWN, 3600000);
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
 * Saving an unchanged document must change nothing: were the small job bound
 * to the slots first, the guarantee would no longer fit beside the large one.
 */
START_TEST(same_guarantees_again)
{
	struct tg_fleet *f = new_fleet("completion", 1, 3);
	struct tg_guarantee g = { "courts", "a", 2, 8, true, INT64_MAX };
	struct tg_guarantee_status st;
	int i;

	set_guarantees(f, &g, 1, false, 0, NULL);
	submit(f, "g-first", "courts", TG_CLASS_GUARANTEED, 2, 8);
	ck_assert_str_eq(run(f, 0), "+g-first");
	/* The small one runs beyond the guarantee and outlives the first. */
	submit(f, "g-small", "courts", TG_CLASS_GUARANTEED, 1, 1);
	ck_assert_str_eq(run(f, 0), "+g-small");
	tg_fleet_job_done(f, "g-first", 1000, 1000);
	submit(f, "g-large", "courts", TG_CLASS_GUARANTEED, 2, 8);
	ck_assert_str_eq(run(f, 1000), "+g-large");
	for (i = 0; i < 3; i++) {
		set_guarantees(f, &g, 1, false, 0, NULL);
		tg_fleet_guarantee(f, 0, 0, &st);
		ck_assert_int_eq(st.used_tasks, 2);
		ck_assert(!st.at_risk);
	}
	tg_fleet_free(f);
}
END_TEST

/*
 * A takeover reads jobs in any order; a guarantee must not be at risk because
 * a job beyond it was read first.
 */
START_TEST(order_of_adoption)
{
	struct tg_job_spec large =
		gang("g-large", "courts", TG_CLASS_GUARANTEED, 2, 8);
	struct tg_job_spec small =
		gang("g-small", "courts", TG_CLASS_GUARANTEED, 1, 1);
	int32_t large_at[] = { 0, 1 }, small_at = 2, i;

	for (i = 0; i < 2; i++) {
		struct tg_fleet *f = new_fleet("completion", 1, 3);
		struct tg_guarantee_status st;

		guarantee(f, "courts", 2, 8, true, INT64_MAX);
		if (i)
			tg_fleet_adopt(f, &large, large_at, 0);
		tg_fleet_adopt(f, &small, &small_at, 0);
		if (!i)
			tg_fleet_adopt(f, &large, large_at, 0);
		run(f, 0);
		tg_fleet_guarantee(f, 0, 0, &st);
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

	tcase_add_test(t, lent_room_is_reclaimed);
	tcase_add_test(t, firm_work_stays_off_the_plan);
	tcase_add_test(t, guarantees_need_a_plan);
	tcase_add_test(t, plan_needs_search);
	tcase_add_test(t, who_may_reclaim);
	tcase_add_test(t, victims_lose_least);
	tcase_add_test(t, quota);
	tcase_add_test(t, adjacency);
	tcase_add_test(t, gangs_start_whole);
	tcase_add_test(t, declared_times_are_corrected);
	tcase_add_test(t, large_gang_does_not_starve);
	tcase_add_test(t, refusals);
	tcase_add_test(t, parking);
	tcase_add_test(t, quarantine_and_its_bound);
	tcase_add_test(t, success_ends_a_row_of_failures);
	tcase_add_test(t, replanning_on_loss);
	tcase_add_test(t, adoption);
	tcase_add_test(t, refused_start_waits);
	tcase_add_test(t, explanations);
	tcase_add_test(t, limit_of_a_round);
	tcase_add_test(t, lent_jobs_move_together);
	tcase_add_test(t, spared_place_is_given_up_in_time);
	tcase_add_test(t, jobs_of_any_az_move_between_azs);
	tcase_add_test(t, work_beyond_guarantees_moves);
	tcase_add_test(t, one_az_spares_what_is_free);
	tcase_add_test(t, bounds_of_fragmentation);
	tcase_add_test(t, urgent_work_reclaims_work_beyond_guarantees);
	tcase_add_test(t, work_inside_is_no_victim);
	tcase_add_test(t, victims_beyond_guarantees_lose_least);
	tcase_add_test(t, victim_is_not_bound_to_a_new_guarantee);
	tcase_add_test(t, lost_target_of_a_move);
	tcase_add_test(t, same_guarantees_again);
	tcase_add_test(t, order_of_adoption);
	suite_add_tcase(s, t);
	suite_add_tcase(s, property_tcase());
	return run_suite(s);
}
