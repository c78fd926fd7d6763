#include <stdlib.h>
#include <string.h>

#include "decide/decide.h"
#include "property.h"

#define SEEDS 1000
#define STEPS 60
#define JOBS_MAX 64
#define ACTIONS 16
#define PROMISES_MAX 3
#define AZS_MAX 3

struct worker {
	struct pack_res cap;
	int az, rack;
	enum tg_worker_health health;
};

struct job {
	char name[TG_NAME_MAX + 1];
	bool live, running;
	bool stopping; /* reclaimed, and runs until it has stopped */
	int az; /* it asks for, or -1 */
	int promise; /* it runs inside of, or -1 */
	int ws;
	enum tg_job_class class;
	int32_t tasks;
	struct pack_res need;
	int32_t workers[4];
};

struct promise {
	int az;
	int32_t tasks, used;
	struct pack_res need;
	bool within_rack;
	int64_t lapses_ms;
};

/* The test's own books; workspace N holds promise N. */
struct world {
	struct tg_fleet *f;
	struct tg_rng rng;
	uint64_t seed;
	int step;
	int64_t now_ms;
	int n_azs, n_workers, n_promises;
	bool slow; /* victims stop some steps later */
	struct worker workers[PACK_WORKERS_MAX];
	struct promise promises[PROMISES_MAX];
	struct job jobs[JOBS_MAX];
	int n_jobs;
	int reclaimed_beyond; /* victims that ran beyond guarantees */
	bool lost; /* a worker was lost since all promises last fitted */
};

static const char *const az_names[AZS_MAX + 1] = { "any", "a", "b", "c" };

static const char *az_name(int az)
{
	return az_names[az + 1];
}

static int below(struct world *w, int n)
{
	return (int)tg_rng_below(&w->rng, (uint64_t)n);
}

static bool is_live(const struct world *w, int i)
{
	return w->now_ms < w->promises[i].lapses_ms;
}

/* --- what fits, by the books --- */

static bool covers(const struct pack_res *a, const struct pack_res *b)
{
	int k;

	for (k = 0; k < 3; k++)
		if (a->v[k] < b->v[k])
			return false;
	return true;
}

static void take(struct pack_res *room, const struct pack_res *need)
{
	int k;

	for (k = 0; k < 3; k++)
		room->v[k] -= need->v[k];
}

static int rack_in_use(const struct world *w, int promise)
{
	int i;

	for (i = 0; w->promises[promise].within_rack && i < w->n_jobs; i++)
		if (w->jobs[i].running && w->jobs[i].promise == promise)
			return w->workers[w->jobs[i].workers[0]].rack;
	return -1;
}

/*
 * Firm work keeps its room unless it is being reclaimed; a task inside of a
 * promise keeps its whole slot.  Workers of other AZs have no room.
 */
static void fill_rooms(const struct world *w, int az, struct pack *p)
{
	int i, k;

	p->n_workers = w->n_workers;
	for (i = 0; i < w->n_workers; i++) {
		p->room[i] = w->workers[i].az == az ? w->workers[i].cap :
						      (struct pack_res){ 0 };
		p->rack_of[i] = w->workers[i].rack;
	}
	for (i = 0; i < w->n_jobs; i++) {
		const struct job *j = &w->jobs[i];

		for (k = 0; j->running && k < j->tasks; k++)
			if (j->promise >= 0)
				take(&p->room[j->workers[k]],
				     &w->promises[j->promise].need);
			else if (j->class != TG_CLASS_LENT && !j->stopping)
				take(&p->room[j->workers[k]], &j->need);
	}
	for (i = 0; i < w->n_workers; i++)
		if (w->workers[i].health != TG_WORKER_UP)
			p->room[i] = (struct pack_res){ { -1, -1, -1 } };
}

static bool fit_in(const struct world *w, int az, const bool *wanted)
{
	struct pack p = { 0 };
	int i, k;

	fill_rooms(w, az, &p);
	for (i = 0; i < w->n_promises; i++) {
		const struct promise *g = &w->promises[i];
		bool here = wanted[i] && g->az == az;

		for (k = g->used; here && k < g->tasks; k++)
			p.slots[p.n_slots++] = (struct pack_slot){
				.group = i,
				.need = g->need,
				.rack = rack_in_use(w, i),
				.together = g->within_rack,
			};
	}
	return pack_fits(&p);
}

static bool fit(const struct world *w, const bool *wanted)
{
	int i;

	for (i = 0; i < w->n_azs; i++)
		if (!fit_in(w, i, wanted))
			return false;
	return true;
}

static bool any_stopping(const struct world *w)
{
	int i;

	for (i = 0; i < w->n_jobs; i++)
		if (w->jobs[i].stopping)
			return true;
	return false;
}

/*
 * While victims stop, jobs that wait for their places hold slots and room that
 * the books don't know of: more may be in use, and a loss of a worker may put a
 * promise at risk that would fit if those jobs gave up their places.
 */
static void check_promises(struct world *w)
{
	bool held = any_stopping(w);
	bool all[PROMISES_MAX] = { 0 }, sound[PROMISES_MAX] = { 0 };
	bool any_at_risk = false, all_fit;
	int i;

	for (i = 0; i < w->n_promises; i++) {
		struct tg_guarantee_status st;

		tg_fleet_guarantee(w->f, (size_t)i, w->now_ms, &st);
		ck_assert_int_eq(st.lapsed, !is_live(w, i));
		if (!is_live(w, i))
			continue;
		ck_assert_msg(
			st.used_tasks == w->promises[i].used ||
				(held && st.used_tasks > w->promises[i].used),
			"seed %d step %d: promise %d: %d used, not %d",
			(int)w->seed, w->step, i, st.used_tasks,
			w->promises[i].used);
		all[i] = true;
		sound[i] = !st.at_risk;
		any_at_risk = any_at_risk || st.at_risk;
	}
	all_fit = fit(w, all);
	ck_assert_msg(all_fit != any_at_risk || (held && any_at_risk),
		      "seed %d step %d: all fit: %d, reported at risk: %d",
		      (int)w->seed, w->step, all_fit, any_at_risk);
	ck_assert_msg(fit(w, sound), "seed %d step %d: sound ones do not fit",
		      (int)w->seed, w->step);
	ck_assert_msg(all_fit || w->lost,
		      "seed %d step %d: at risk without a lost worker",
		      (int)w->seed, w->step);
	if (!all_fit)
		return;
	w->lost = false;
	for (i = 0; i < w->n_workers; i++)
		if (w->workers[i].health != TG_WORKER_UP)
			w->lost = true;
}

static void check_rooms(const struct world *w)
{
	struct pack_res room[PACK_WORKERS_MAX];
	int i, k;

	for (i = 0; i < w->n_workers; i++)
		room[i] = w->workers[i].cap;
	for (i = 0; i < w->n_jobs; i++)
		for (k = 0; w->jobs[i].running && k < w->jobs[i].tasks; k++)
			take(&room[w->jobs[i].workers[k]], &w->jobs[i].need);
	for (i = 0; i < w->n_workers; i++)
		for (k = 0; k < 3; k++)
			ck_assert_int_ge(room[i].v[k], 0);
}

/* --- actions --- */

static struct job *find(struct world *w, const char *name)
{
	int i;

	for (i = 0; i < w->n_jobs; i++)
		if (w->jobs[i].live && !strcmp(w->jobs[i].name, name))
			return &w->jobs[i];
	ck_abort_msg("no job %s", name);
	return NULL;
}

static int promise_of(const struct world *w, const struct job *j)
{
	const struct promise *g = &w->promises[j->ws];

	if (j->class != TG_CLASS_GUARANTEED || j->ws >= w->n_promises ||
	    !is_live(w, j->ws) || g->az != w->workers[j->workers[0]].az ||
	    !covers(&g->need, &j->need) || j->tasks > g->tasks - g->used)
		return -1;
	return j->ws;
}

static void leave(struct world *w, struct job *j)
{
	if (j->running && j->promise >= 0)
		w->promises[j->promise].used -= j->tasks;
	j->running = j->stopping = false;
	j->promise = -1;
}

static void finish_stop(struct world *w, struct job *j)
{
	leave(w, j);
	tg_fleet_job_stopped(w->f, j->name, TG_STOP_RECLAIMED, -1, w->now_ms,
			     0);
}

static void finish_stops(struct world *w)
{
	int i;

	for (i = 0; i < w->n_jobs; i++)
		if (w->jobs[i].stopping)
			finish_stop(w, &w->jobs[i]);
}

static void start(struct world *w, const struct tg_action *a)
{
	struct job *j = find(w, a->job);
	int i;

	ck_assert(!j->running);
	ck_assert_int_eq(a->n_workers, j->tasks);
	for (i = 0; i < a->n_workers; i++) {
		j->workers[i] = a->workers[i];
		ck_assert_int_eq(w->workers[a->workers[i]].health,
				 TG_WORKER_UP);
	}
	j->promise = promise_of(w, j);
	if (j->promise >= 0)
		w->promises[j->promise].used += j->tasks;
	j->running = true;
}

/* Work inside of a promise is never reclaimed, other firm work for urgent. */
static void check_victim(struct world *w, const struct tg_action *a)
{
	const struct job *j = find(w, a->job);

	ck_assert(j->running && !j->stopping);
	ck_assert_int_eq(j->promise, -1);
	if (j->class == TG_CLASS_LENT || !*a->beneficiary)
		return;
	ck_assert_int_eq(j->class, TG_CLASS_GUARANTEED);
	ck_assert_int_eq(find(w, a->beneficiary)->class, TG_CLASS_URGENT);
	w->reclaimed_beyond++;
}

static void decide(struct world *w)
{
	struct tg_action out[ACTIONS];
	char names[ACTIONS][TG_NAME_MAX + 1];
	size_t n, i, m;
	int rounds = 0;

	do {
		ck_assert_int_lt(rounds++, 100);
		n = tg_decide(w->f, w->now_ms, out, ACTIONS);
		m = 0;
		for (i = 0; i < n; i++) {
			if (out[i].kind == TG_ACT_START)
				start(w, &out[i]);
			if (out[i].kind == TG_ACT_RECLAIM) {
				check_victim(w, &out[i]);
				tg_strlcpy(names[m++], out[i].job,
					   sizeof(names[0]));
			}
			if (out[i].kind == TG_ACT_QUARANTINE)
				w->workers[out[i].workers[0]].health =
					TG_WORKER_QUARANTINED;
		}
		for (i = 0; i < m; i++) {
			struct job *j = find(w, names[i]);

			if (w->slow)
				j->stopping = true;
			else
				finish_stop(w, j);
		}
	} while (n);
}

/* --- steps --- */

static struct job *new_job(struct world *w)
{
	int i;

	for (i = 0; i < JOBS_MAX; i++)
		if (!w->jobs[i].live)
			break;
	if (i == JOBS_MAX)
		return NULL;
	if (i == w->n_jobs)
		w->n_jobs++;
	w->jobs[i] = (struct job){ .promise = -1 };
	snprintf(w->jobs[i].name, sizeof(w->jobs[i].name), "j-%d-%d", i,
		 w->step);
	return &w->jobs[i];
}

static bool submit(struct world *w, struct job *j)
{
	char ws[16];
	struct tg_job_spec s = {
		.name = j->name,
		.workspace = ws,
		.az = az_name(j->az),
		.class = j->class,
		.tasks = j->tasks,
		.accelerators_per_task = j->need.v[0],
		.cores_per_task = j->need.v[1],
		.memory_gb_per_task = j->need.v[2],
		.declared_ms = 1 + below(w, 100000),
		.submitted_ms = w->now_ms,
	};

	snprintf(ws, sizeof(ws), "ws-%d", j->ws);
	j->live = !tg_fleet_submit(w->f, &s, w->now_ms, NULL);
	return j->live;
}

static void step_submit(struct world *w)
{
	struct job *j = new_job(w);

	if (!j)
		return;
	j->az = below(w, 2) ? below(w, w->n_azs) : -1;
	j->ws = below(w, PROMISES_MAX + 1);
	j->class = (enum tg_job_class)below(w, 3);
	j->tasks = 1 + below(w, 4);
	j->need.v[0] = below(w, 5);
	j->need.v[1] = 1 + below(w, 8);
	j->need.v[2] = 1 + below(w, 8);
	submit(w, j);
}

static struct job *some_running(struct world *w)
{
	int i, from;

	if (!w->n_jobs)
		return NULL;
	from = below(w, w->n_jobs);
	for (i = 0; i < w->n_jobs; i++) {
		struct job *j = &w->jobs[(from + i) % w->n_jobs];

		if (j->running)
			return j;
	}
	return NULL;
}

static void step_end(struct world *w)
{
	struct job *j = some_running(w);

	if (!j)
		return;
	leave(w, j);
	j->live = false;
	if (below(w, 2))
		tg_fleet_job_done(w->f, j->name, w->now_ms, 1000);
	else
		tg_fleet_cancel(w->f, j->name, w->now_ms);
}

static void step_fail(struct world *w)
{
	struct job *j = some_running(w);
	int32_t at;

	if (!j)
		return;
	at = j->workers[below(w, j->tasks)];
	leave(w, j);
	tg_fleet_job_stopped(w->f, j->name, TG_STOP_TASK_FAILED, at, w->now_ms,
			     0);
	w->workers[at].health = tg_fleet_worker_health(w->f, at);
	if (w->workers[at].health != TG_WORKER_UP)
		w->lost = true;
}

static void step_health(struct world *w)
{
	static const enum tg_worker_health healths[] = {
		TG_WORKER_UP, TG_WORKER_UP, TG_WORKER_DOWN, TG_WORKER_DRAINING
	};
	int id = below(w, w->n_workers), i, k;
	enum tg_worker_health h = healths[below(w, 4)];

	w->workers[id].health = h;
	if (h != TG_WORKER_UP)
		w->lost = true;
	tg_fleet_set_health(w->f, id, h, w->now_ms);
	for (i = 0; h == TG_WORKER_DOWN && i < w->n_jobs; i++) {
		struct job *j = &w->jobs[i];

		for (k = 0; j->running && k < j->tasks; k++) {
			if (j->workers[k] != id)
				continue;
			leave(w, j);
			tg_fleet_job_stopped(w->f, j->name, TG_STOP_WORKER_LOST,
					     -1, w->now_ms, 0);
		}
	}
}

static void step_time(struct world *w)
{
	int i, k;

	w->now_ms += below(w, 20000);
	/* What runs inside of a lapsed promise is firm work from then on. */
	for (i = 0; i < w->n_promises; i++)
		for (k = 0; !is_live(w, i) && k < w->n_jobs; k++)
			if (w->jobs[k].promise == i)
				w->jobs[k].promise = -1;
}

static void step_stops(struct world *w)
{
	finish_stops(w);
}

/* Takes the whole unused part of a promise and gives it back. */
static void step_claim(struct world *w)
{
	int i = below(w, w->n_promises);
	const struct promise *g = &w->promises[i];
	struct tg_guarantee_status st;
	struct job *j;

	tg_fleet_guarantee(w->f, (size_t)i, w->now_ms, &st);
	if (!is_live(w, i) || g->used == g->tasks || st.at_risk)
		return;
	/* A job that waits for its victims in slots has claimed them already.
	 */
	if (st.used_tasks != g->used)
		return;
	j = new_job(w);
	if (!j)
		return;
	j->ws = i;
	j->az = g->az;
	j->class = TG_CLASS_GUARANTEED;
	j->tasks = g->tasks - g->used;
	j->need = g->need;
	ck_assert(submit(w, j));
	decide(w);
	finish_stops(w);
	decide(w);
	ck_assert_msg(j->running, "seed %d step %d: claim was not met",
		      (int)w->seed, w->step);
	check_promises(w);
	leave(w, j);
	j->live = false;
	tg_fleet_cancel(w->f, j->name, w->now_ms);
}

static void (*const steps[])(struct world *) = {
	step_submit, step_submit, step_submit, step_submit,
	step_end,    step_end,	  step_fail,   step_health,
	step_health, step_time,	  step_claim,  step_stops,
};

/* --- worlds --- */

static void add_workers(struct world *w)
{
	int racks = 1 + below(w, 3), per_rack = 1 + below(w, 3), i, k;
	char name[32], rack[32];

	w->n_azs = 1 + below(w, racks);
	for (i = 0; i < racks; i++)
		for (k = 0; k < per_rack; k++) {
			struct worker *o = &w->workers[w->n_workers++];
			struct tg_worker_spec s = { .name = name,
						    .az = az_name(i % w->n_azs),
						    .rack = rack };

			o->rack = i;
			o->az = i % w->n_azs;
			o->cap.v[0] = 2 + below(w, 3);
			o->cap.v[1] = 8 + below(w, 3) * 4;
			o->cap.v[2] = 16;
			s.accelerators = o->cap.v[0];
			s.cores = o->cap.v[1];
			s.memory_gb = o->cap.v[2];
			snprintf(name, sizeof(name), "w-%d-%d", i, k);
			snprintf(rack, sizeof(rack), "r-%d", i);
			tg_fleet_add_worker(w->f, &s);
		}
}

/* The share of cores and memory that decide.h promises with accelerators. */
static void set_need(const struct world *w, struct promise *g, int32_t acc)
{
	int i, k;

	g->need = (struct pack_res){ { acc, INT32_MAX, INT32_MAX } };
	for (i = 0; i < w->n_workers; i++)
		for (k = 1; k < 3; k++) {
			const struct pack_res *cap = &w->workers[i].cap;
			int32_t share;

			if (cap->v[0] < acc || w->workers[i].az != g->az)
				continue;
			share = cap->v[k] * acc / cap->v[0];
			if (share < g->need.v[k])
				g->need.v[k] = share;
		}
}

static void add_promises(struct world *w)
{
	static const char *const names[] = { "ws-0", "ws-1", "ws-2" };
	struct tg_guarantee list[PROMISES_MAX];
	bool all[PROMISES_MAX] = { true, true, true }, fits, accepted;
	int i;

	w->n_promises = 1 + below(w, PROMISES_MAX);
	for (i = 0; i < w->n_promises; i++) {
		struct promise *g = &w->promises[i];
		int32_t acc = 1 + below(w, 4);

		g->az = below(w, w->n_azs);
		g->tasks = 1 + below(w, 3);
		g->within_rack = below(w, 2);
		g->lapses_ms = below(w, 2) ? INT64_MAX : 1 + below(w, 300000);
		set_need(w, g, acc);
		list[i] = (struct tg_guarantee){ names[i],	 az_name(g->az),
						 g->tasks,	 acc,
						 g->within_rack, g->lapses_ms };
	}
	for (i = 0; i < w->n_promises; i++)
		if (w->promises[i].need.v[1] == INT32_MAX)
			all[i] = false;
	fits = all[0] && all[1] && all[2] && fit(w, all);
	accepted = !tg_fleet_set_guarantees(w->f, list, (size_t)w->n_promises,
					    0, false, NULL);
	ck_assert_msg(fits == accepted, "seed %d: fits %d, accepted %d",
		      (int)w->seed, fits, accepted);
	if (!accepted)
		w->n_promises = 0;
}

/* --- takeover --- */

static void adopt_all(struct world *w, struct tg_fleet *f)
{
	int i, n = w->n_jobs, first = n ? below(w, n) : 0;

	/* The order in which rows are read is arbitrary. */
	for (i = 0; i < n; i++) {
		const struct job *j = &w->jobs[(first + i) % n];
		char ws[16];
		struct tg_job_spec s = {
			.name = j->name,
			.workspace = ws,
			.az = az_name(j->az),
			.class = j->class,
			.tasks = j->tasks,
			.accelerators_per_task = j->need.v[0],
			.cores_per_task = j->need.v[1],
			.memory_gb_per_task = j->need.v[2],
		};

		snprintf(ws, sizeof(ws), "ws-%d", j->ws);
		if (j->running)
			ck_assert_int_eq(tg_fleet_adopt(f, &s, j->workers, 0),
					 0);
	}
}

/* A takeover must not report a guarantee at risk that was sound before. */
static void check_takeover(struct world *w, const struct tg_fleet_opts *opts)
{
	bool all[PROMISES_MAX] = { 0 };
	struct tg_fleet *f = tg_fleet_new(opts);
	struct tg_guarantee list[PROMISES_MAX];
	struct tg_guarantee_status st;
	struct tg_action out[ACTIONS];
	int i;

	for (i = 0; i < w->n_workers; i++) {
		char rack[32];
		struct tg_worker_spec s = {
			.name = tg_fleet_worker_name(w->f, i),
			.az = az_name(w->workers[i].az),
			.rack = rack,
			.accelerators = w->workers[i].cap.v[0],
			.cores = w->workers[i].cap.v[1],
			.memory_gb = w->workers[i].cap.v[2],
		};

		snprintf(rack, sizeof(rack), "r-%d", w->workers[i].rack);
		tg_fleet_add_worker(f, &s);
		tg_fleet_set_health(f, i, w->workers[i].health, w->now_ms);
	}
	for (i = 0; i < w->n_promises; i++) {
		tg_fleet_guarantee(w->f, (size_t)i, w->now_ms, &st);
		list[i] = st.g;
		all[i] = is_live(w, i);
	}
	if (below(w, 2)) {
		adopt_all(w, f);
		tg_fleet_set_guarantees(f, list, (size_t)w->n_promises,
					w->now_ms, true, NULL);
	} else {
		tg_fleet_set_guarantees(f, list, (size_t)w->n_promises,
					w->now_ms, true, NULL);
		adopt_all(w, f);
	}
	tg_decide(f, w->now_ms, out, ACTIONS);
	for (i = 0; i < w->n_promises && fit(w, all); i++) {
		tg_fleet_guarantee(f, (size_t)i, w->now_ms, &st);
		ck_assert_msg(!st.at_risk, "seed %d: promise %d after takeover",
			      (int)w->seed, i);
	}
	tg_fleet_free(f);
}

/* Returns how many victims ran beyond guarantees. */
static int run_world(const char *policy, uint64_t seed)
{
	struct tg_fleet_opts opts = { .policy = tg_policy_find(policy) };
	struct world w = { .f = tg_fleet_new(&opts), .seed = seed };

	w.rng.state = seed;
	w.slow = seed % 3 == 0;
	add_workers(&w);
	add_promises(&w);
	for (w.step = 0; w.n_promises && w.step < STEPS; w.step++) {
		steps[below(&w, ARRAY_SIZE(steps))](&w);
		decide(&w);
		check_promises(&w);
		check_rooms(&w);
	}
	finish_stops(&w);
	if (w.n_promises)
		check_takeover(&w, &opts);
	tg_fleet_free(w.f);
	return w.reclaimed_beyond;
}

/*
 * Whatever happens, each live guarantee can be reclaimed whole, unless lost
 * workers alone took its place; then, and only then, it is at risk.
 */
START_TEST(guarantees_hold)
{
	const char *const *names = tg_policy_names();
	uint64_t seed;
	int reclaimed = 0;

	for (seed = 1; seed <= SEEDS; seed++)
		reclaimed += run_world(names[_i], seed);
	/* Without such victims the rule would not have been tested. */
	if (!strcmp(names[_i], "completion") ||
	    !strcmp(names[_i], "fragmentation"))
		ck_assert_int_ge(reclaimed, 50);
}
END_TEST

TCase *property_tcase(void)
{
	TCase *t = tcase_create("property");
	int n = 0;

	while (tg_policy_names()[n])
		n++;
	tcase_set_timeout(t, 120);
	tcase_add_loop_test(t, guarantees_hold, 0, n);
	return t;
}
