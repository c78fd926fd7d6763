#include <stdlib.h>
#include <string.h>

#include "decide/decide.h"
#include "property.h"

#define SEEDS 1000
#define STEPS 60
#define JOBS_MAX 64
#define ACTIONS 16
#define GUARANTEES_MAX 3
#define AZS_MAX 3

struct worker {
	struct pack_res cap;
	int az, rack;
	enum tg_worker_health health;
};

struct job {
	char name[TG_NAME_MAX + 1];
	bool live, running;
	bool stopping; /* reclaimed, but still running */
	int az; /* requested one; -1: any */
	int guarantee; /* that covers it while it runs, or -1 */
	int ws;
	enum tg_job_class class;
	int32_t tasks;
	struct pack_res need;
	int32_t workers[4];
};

struct guarantee {
	int az;
	int32_t tasks, used;
	struct pack_res need;
	bool within_rack;
	int64_t lapses_ms;
};

/*
 * What the fleet has to look like, tracked by the test itself.  Workspace
 * "ws-N" owns guarantee N.
 */
struct model {
	struct tg_fleet *f;
	struct tg_rng rng;
	uint64_t seed;
	int step;
	int64_t now_ms;
	int n_azs, n_workers, n_guarantees;
	bool slow_stops; /* reclaimed jobs stop some steps later, not at once */
	struct worker workers[PACK_WORKERS_MAX];
	struct guarantee guarantees[GUARANTEES_MAX];
	struct job jobs[JOBS_MAX];
	int n_jobs;
	int reclaimed_uncovered; /* number of reclaimed uncovered jobs */
	bool worker_lost; /* since all guarantees last fitted */
};

static const char *const az_names[AZS_MAX + 1] = { "any", "a", "b", "c" };

static const char *az_name(int az)
{
	return az_names[az + 1];
}

static int random_below(struct model *m, int n)
{
	return (int)tg_rng_below(&m->rng, (uint64_t)n);
}

static bool is_in_force(const struct model *m, int i)
{
	return m->now_ms < m->guarantees[i].lapses_ms;
}

/* --- what should fit --- */

static bool is_at_least(const struct pack_res *a, const struct pack_res *b)
{
	int k;

	for (k = 0; k < 3; k++)
		if (a->v[k] < b->v[k])
			return false;
	return true;
}

static void subtract(struct pack_res *avail, const struct pack_res *need)
{
	int k;

	for (k = 0; k < 3; k++)
		avail->v[k] -= need->v[k];
}

static int rack_in_use(const struct model *m, int guarantee)
{
	int i;

	for (i = 0; m->guarantees[guarantee].within_rack && i < m->n_jobs; i++)
		if (m->jobs[i].running && m->jobs[i].guarantee == guarantee)
			return m->workers[m->jobs[i].workers[0]].rack;
	return -1;
}

/*
 * Capacity of the workers of one AZ that is left for unused slots.  A covered
 * task takes its whole slot.  Urgent and uncovered jobs take what they use,
 * unless they are being reclaimed.  Workers of other AZs have no capacity.
 */
static void init_capacity(const struct model *m, int az, struct pack *p)
{
	int i, k;

	p->n_workers = m->n_workers;
	for (i = 0; i < m->n_workers; i++) {
		p->avail[i] = m->workers[i].az == az ? m->workers[i].cap :
						       (struct pack_res){ 0 };
		p->rack_of[i] = m->workers[i].rack;
	}
	for (i = 0; i < m->n_jobs; i++) {
		const struct job *j = &m->jobs[i];

		for (k = 0; j->running && k < j->tasks; k++)
			if (j->guarantee >= 0)
				subtract(&p->avail[j->workers[k]],
					 &m->guarantees[j->guarantee].need);
			else if (j->class != TG_CLASS_LENT && !j->stopping)
				subtract(&p->avail[j->workers[k]], &j->need);
	}
	for (i = 0; i < m->n_workers; i++)
		if (m->workers[i].health != TG_WORKER_UP)
			p->avail[i] = (struct pack_res){ { -1, -1, -1 } };
}

static bool guarantees_fit_in(const struct model *m, int az,
			      const bool *included)
{
	struct pack p = { 0 };
	int i, k;

	init_capacity(m, az, &p);
	for (i = 0; i < m->n_guarantees; i++) {
		const struct guarantee *g = &m->guarantees[i];
		bool here = included[i] && g->az == az;

		for (k = g->used; here && k < g->tasks; k++)
			p.slots[p.n_slots++] = (struct pack_slot){
				.group = i,
				.need = g->need,
				.rack = rack_in_use(m, i),
				.same_rack = g->within_rack,
			};
	}
	return pack_fits(&p);
}

static bool guarantees_fit(const struct model *m, const bool *included)
{
	int i;

	for (i = 0; i < m->n_azs; i++)
		if (!guarantees_fit_in(m, i, included))
			return false;
	return true;
}

static bool any_stopping(const struct model *m)
{
	int i;

	for (i = 0; i < m->n_jobs; i++)
		if (m->jobs[i].stopping)
			return true;
	return false;
}

/*
 * Checks the status of the guarantees.  While reclaimed jobs stop, the jobs
 * that wait for them already occupy slots and capacity in the fleet, but not in
 * the model.  Then the fleet may report more used tasks, and after the loss of
 * a worker a guarantee at risk that fits by the model.
 */
static void check_guarantees(struct model *m)
{
	bool stopping = any_stopping(m);
	bool all[GUARANTEES_MAX] = { 0 }, not_at_risk[GUARANTEES_MAX] = { 0 };
	bool any_at_risk = false, all_fit;
	int i;

	for (i = 0; i < m->n_guarantees; i++) {
		struct tg_guarantee_status st;

		tg_fleet_guarantee_status(m->f, (size_t)i, m->now_ms, &st);
		ck_assert_int_eq(st.lapsed, !is_in_force(m, i));
		if (!is_in_force(m, i))
			continue;
		ck_assert_msg(st.used_tasks == m->guarantees[i].used ||
				      (stopping &&
				       st.used_tasks > m->guarantees[i].used),
			      "seed %d step %d: guarantee %d: %d used, not %d",
			      (int)m->seed, m->step, i, st.used_tasks,
			      m->guarantees[i].used);
		all[i] = true;
		not_at_risk[i] = !st.at_risk;
		any_at_risk = any_at_risk || st.at_risk;
	}
	all_fit = guarantees_fit(m, all);
	ck_assert_msg(all_fit != any_at_risk || (stopping && any_at_risk),
		      "seed %d step %d: all fit: %d, reported at risk: %d",
		      (int)m->seed, m->step, all_fit, any_at_risk);
	ck_assert_msg(guarantees_fit(m, not_at_risk),
		      "seed %d step %d: those not at risk do not fit",
		      (int)m->seed, m->step);
	ck_assert_msg(all_fit || m->worker_lost,
		      "seed %d step %d: at risk without a lost worker",
		      (int)m->seed, m->step);
	if (!all_fit)
		return;
	m->worker_lost = false;
	for (i = 0; i < m->n_workers; i++)
		if (m->workers[i].health != TG_WORKER_UP)
			m->worker_lost = true;
}

static void check_not_overcommitted(const struct model *m)
{
	struct pack_res avail[PACK_WORKERS_MAX];
	int i, k;

	for (i = 0; i < m->n_workers; i++)
		avail[i] = m->workers[i].cap;
	for (i = 0; i < m->n_jobs; i++)
		for (k = 0; m->jobs[i].running && k < m->jobs[i].tasks; k++)
			subtract(&avail[m->jobs[i].workers[k]],
				 &m->jobs[i].need);
	for (i = 0; i < m->n_workers; i++)
		for (k = 0; k < 3; k++)
			ck_assert_int_ge(avail[i].v[k], 0);
}

/* --- actions --- */

static struct job *find_job(struct model *m, const char *name)
{
	int i;

	for (i = 0; i < m->n_jobs; i++)
		if (m->jobs[i].live && !strcmp(m->jobs[i].name, name))
			return &m->jobs[i];
	ck_abort_msg("no job %s", name);
	return NULL;
}

static int covering_guarantee(const struct model *m, const struct job *j)
{
	const struct guarantee *g = &m->guarantees[j->ws];

	if (j->class != TG_CLASS_GUARANTEED || j->ws >= m->n_guarantees ||
	    !is_in_force(m, j->ws) || g->az != m->workers[j->workers[0]].az ||
	    !is_at_least(&g->need, &j->need) || j->tasks > g->tasks - g->used)
		return -1;
	return j->ws;
}

static void leave_workers(struct model *m, struct job *j)
{
	if (j->running && j->guarantee >= 0)
		m->guarantees[j->guarantee].used -= j->tasks;
	j->running = j->stopping = false;
	j->guarantee = -1;
}

static void finish_stop(struct model *m, struct job *j)
{
	leave_workers(m, j);
	tg_fleet_job_stopped(m->f, j->name, TG_STOP_RECLAIMED, -1, m->now_ms,
			     0);
}

static void finish_stops(struct model *m)
{
	int i;

	for (i = 0; i < m->n_jobs; i++)
		if (m->jobs[i].stopping)
			finish_stop(m, &m->jobs[i]);
}

static void apply_start(struct model *m, const struct tg_action *a)
{
	struct job *j = find_job(m, a->job);
	int i;

	ck_assert(!j->running);
	ck_assert_int_eq(a->n_workers, j->tasks);
	for (i = 0; i < a->n_workers; i++) {
		j->workers[i] = a->workers[i];
		ck_assert_int_eq(m->workers[a->workers[i]].health,
				 TG_WORKER_UP);
	}
	j->guarantee = covering_guarantee(m, j);
	if (j->guarantee >= 0)
		m->guarantees[j->guarantee].used += j->tasks;
	j->running = true;
}

/* Covered jobs are never reclaimed, and uncovered ones only for urgent jobs. */
static void check_victim(struct model *m, const struct tg_action *a)
{
	const struct job *j = find_job(m, a->job);

	ck_assert(j->running && !j->stopping);
	ck_assert_int_eq(j->guarantee, -1);
	if (j->class == TG_CLASS_LENT || !*a->beneficiary)
		return;
	ck_assert_int_eq(j->class, TG_CLASS_GUARANTEED);
	ck_assert_int_eq(find_job(m, a->beneficiary)->class, TG_CLASS_URGENT);
	m->reclaimed_uncovered++;
}

static void decide_and_apply(struct model *m)
{
	struct tg_action out[ACTIONS];
	char names[ACTIONS][TG_NAME_MAX + 1];
	size_t n, i, n_reclaimed;
	int rounds = 0;

	do {
		ck_assert_int_lt(rounds++, 100);
		n = tg_decide(m->f, m->now_ms, out, ACTIONS);
		n_reclaimed = 0;
		for (i = 0; i < n; i++) {
			if (out[i].kind == TG_ACT_START)
				apply_start(m, &out[i]);
			if (out[i].kind == TG_ACT_RECLAIM) {
				check_victim(m, &out[i]);
				tg_strlcpy(names[n_reclaimed++], out[i].job,
					   sizeof(names[0]));
			}
			if (out[i].kind == TG_ACT_QUARANTINE)
				m->workers[out[i].workers[0]].health =
					TG_WORKER_QUARANTINED;
		}
		for (i = 0; i < n_reclaimed; i++) {
			struct job *j = find_job(m, names[i]);

			if (m->slow_stops)
				j->stopping = true;
			else
				finish_stop(m, j);
		}
	} while (n);
}

/* --- steps --- */

static struct job *new_job(struct model *m)
{
	int i;

	for (i = 0; i < JOBS_MAX; i++)
		if (!m->jobs[i].live)
			break;
	if (i == JOBS_MAX)
		return NULL;
	if (i == m->n_jobs)
		m->n_jobs++;
	m->jobs[i] = (struct job){ .guarantee = -1 };
	snprintf(m->jobs[i].name, sizeof(m->jobs[i].name), "j-%d-%d", i,
		 m->step);
	return &m->jobs[i];
}

static bool submit_job(struct model *m, struct job *j)
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
		.declared_ms = 1 + random_below(m, 100000),
		.submitted_ms = m->now_ms,
	};

	snprintf(ws, sizeof(ws), "ws-%d", j->ws);
	j->live = !tg_fleet_submit_job(m->f, &s, m->now_ms, NULL);
	return j->live;
}

static void step_submit(struct model *m)
{
	struct job *j = new_job(m);

	if (!j)
		return;
	j->az = random_below(m, 2) ? random_below(m, m->n_azs) : -1;
	j->ws = random_below(m, GUARANTEES_MAX + 1);
	j->class = (enum tg_job_class)random_below(m, 3);
	j->tasks = 1 + random_below(m, 4);
	j->need.v[0] = random_below(m, 5);
	j->need.v[1] = 1 + random_below(m, 8);
	j->need.v[2] = 1 + random_below(m, 8);
	submit_job(m, j);
}

static struct job *random_running_job(struct model *m)
{
	int i, from;

	if (!m->n_jobs)
		return NULL;
	from = random_below(m, m->n_jobs);
	for (i = 0; i < m->n_jobs; i++) {
		struct job *j = &m->jobs[(from + i) % m->n_jobs];

		if (j->running)
			return j;
	}
	return NULL;
}

static void step_end(struct model *m)
{
	struct job *j = random_running_job(m);

	if (!j)
		return;
	leave_workers(m, j);
	j->live = false;
	if (random_below(m, 2))
		tg_fleet_job_done(m->f, j->name, m->now_ms, 1000);
	else
		tg_fleet_cancel_job(m->f, j->name, m->now_ms);
}

static void step_fail(struct model *m)
{
	struct job *j = random_running_job(m);
	int32_t at;

	if (!j)
		return;
	at = j->workers[random_below(m, j->tasks)];
	leave_workers(m, j);
	tg_fleet_job_stopped(m->f, j->name, TG_STOP_TASK_FAILED, at, m->now_ms,
			     0);
	m->workers[at].health = tg_fleet_worker_health(m->f, at);
	if (m->workers[at].health != TG_WORKER_UP)
		m->worker_lost = true;
}

static void step_health(struct model *m)
{
	static const enum tg_worker_health healths[] = {
		TG_WORKER_UP, TG_WORKER_UP, TG_WORKER_DOWN, TG_WORKER_DRAINING
	};
	int id = random_below(m, m->n_workers), i, k;
	enum tg_worker_health h = healths[random_below(m, 4)];

	m->workers[id].health = h;
	if (h != TG_WORKER_UP)
		m->worker_lost = true;
	tg_fleet_set_worker_health(m->f, id, h, m->now_ms);
	for (i = 0; h == TG_WORKER_DOWN && i < m->n_jobs; i++) {
		struct job *j = &m->jobs[i];

		for (k = 0; j->running && k < j->tasks; k++) {
			if (j->workers[k] != id)
				continue;
			leave_workers(m, j);
			tg_fleet_job_stopped(m->f, j->name, TG_STOP_WORKER_LOST,
					     -1, m->now_ms, 0);
		}
	}
}

static void step_time(struct model *m)
{
	int i, k;

	m->now_ms += random_below(m, 20000);
	/* Jobs of a lapsed guarantee are uncovered from then on. */
	for (i = 0; i < m->n_guarantees; i++)
		for (k = 0; !is_in_force(m, i) && k < m->n_jobs; k++)
			if (m->jobs[k].guarantee == i)
				m->jobs[k].guarantee = -1;
}

static void step_finish_stops(struct model *m)
{
	finish_stops(m);
}

/*
 * Checks that a guarantee which is not at risk can be used in full: starts a
 * job that takes all its unused slots, and cancels it.
 */
static void step_use_guarantee(struct model *m)
{
	int i = random_below(m, m->n_guarantees);
	const struct guarantee *g = &m->guarantees[i];
	struct tg_guarantee_status st;
	struct job *j;

	tg_fleet_guarantee_status(m->f, (size_t)i, m->now_ms, &st);
	if (!is_in_force(m, i) || g->used == g->tasks || st.at_risk)
		return;
	/* An assigned job that waits for its victims occupies slots already. */
	if (st.used_tasks != g->used)
		return;
	j = new_job(m);
	if (!j)
		return;
	j->ws = i;
	j->az = g->az;
	j->class = TG_CLASS_GUARANTEED;
	j->tasks = g->tasks - g->used;
	j->need = g->need;
	ck_assert(submit_job(m, j));
	decide_and_apply(m);
	finish_stops(m);
	decide_and_apply(m);
	ck_assert_msg(j->running,
		      "seed %d step %d: guaranteed job did not start",
		      (int)m->seed, m->step);
	check_guarantees(m);
	leave_workers(m, j);
	j->live = false;
	tg_fleet_cancel_job(m->f, j->name, m->now_ms);
}

static void (*const steps[])(struct model *) = {
	step_submit, step_submit, step_submit,	      step_submit,
	step_end,    step_end,	  step_fail,	      step_health,
	step_health, step_time,	  step_use_guarantee, step_finish_stops,
};

/* --- random fleets --- */

static void add_workers(struct model *m)
{
	int racks = 1 + random_below(m, 3), per_rack = 1 + random_below(m, 3),
	    i, k;
	char name[32], rack[32];

	m->n_azs = 1 + random_below(m, racks);
	for (i = 0; i < racks; i++)
		for (k = 0; k < per_rack; k++) {
			struct worker *o = &m->workers[m->n_workers++];
			struct tg_worker_spec s = { .name = name,
						    .az = az_name(i % m->n_azs),
						    .rack = rack };

			o->rack = i;
			o->az = i % m->n_azs;
			o->cap.v[0] = 2 + random_below(m, 3);
			o->cap.v[1] = 8 + random_below(m, 3) * 4;
			o->cap.v[2] = 16;
			s.accelerators = o->cap.v[0];
			s.cores = o->cap.v[1];
			s.memory_gb = o->cap.v[2];
			snprintf(name, sizeof(name), "w-%d-%d", i, k);
			snprintf(rack, sizeof(rack), "r-%d", i);
			tg_fleet_add_worker(m->f, &s);
		}
}

/*
 * Sets the resources of a slot: the accelerators and the share of cores and
 * memory that struct tg_guarantee defines.
 */
static void set_need(const struct model *m, struct guarantee *g, int32_t acc)
{
	int i, k;

	g->need = (struct pack_res){ { acc, INT32_MAX, INT32_MAX } };
	for (i = 0; i < m->n_workers; i++)
		for (k = 1; k < 3; k++) {
			const struct pack_res *cap = &m->workers[i].cap;
			int32_t share;

			if (cap->v[0] < acc || m->workers[i].az != g->az)
				continue;
			share = cap->v[k] * acc / cap->v[0];
			if (share < g->need.v[k])
				g->need.v[k] = share;
		}
}

static void add_guarantees(struct model *m)
{
	static const char *const names[] = { "ws-0", "ws-1", "ws-2" };
	struct tg_guarantee list[GUARANTEES_MAX];
	bool all[GUARANTEES_MAX] = { true, true, true }, fits, accepted;
	int i;

	m->n_guarantees = 1 + random_below(m, GUARANTEES_MAX);
	for (i = 0; i < m->n_guarantees; i++) {
		struct guarantee *g = &m->guarantees[i];
		int32_t acc = 1 + random_below(m, 4);

		g->az = random_below(m, m->n_azs);
		g->tasks = 1 + random_below(m, 3);
		g->within_rack = random_below(m, 2);
		g->lapses_ms = random_below(m, 2) ? INT64_MAX :
						    1 + random_below(m, 300000);
		set_need(m, g, acc);
		list[i] = (struct tg_guarantee){ names[i],	 az_name(g->az),
						 g->tasks,	 acc,
						 g->within_rack, g->lapses_ms };
	}
	for (i = 0; i < m->n_guarantees; i++)
		if (m->guarantees[i].need.v[1] == INT32_MAX)
			all[i] = false;
	fits = all[0] && all[1] && all[2] && guarantees_fit(m, all);
	accepted = !tg_fleet_set_guarantees(m->f, list, (size_t)m->n_guarantees,
					    0, false, NULL);
	ck_assert_msg(fits == accepted, "seed %d: fits %d, accepted %d",
		      (int)m->seed, fits, accepted);
	if (!accepted)
		m->n_guarantees = 0;
}

/* --- takeover --- */

static void adopt_all(struct model *m, struct tg_fleet *f)
{
	int i, n = m->n_jobs, first = n ? random_below(m, n) : 0;

	/* A takeover reads stored jobs in arbitrary order. */
	for (i = 0; i < n; i++) {
		const struct job *j = &m->jobs[(first + i) % n];
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
			ck_assert_int_eq(
				tg_fleet_adopt_job(f, &s, j->workers, 0), 0);
	}
}

/*
 * A scheduler that takes over builds a new fleet from the running jobs.  It
 * must not report a guarantee as at risk that wasn't before.
 */
static void check_takeover(struct model *m, const struct tg_fleet_opts *opts)
{
	bool all[GUARANTEES_MAX] = { 0 };
	struct tg_fleet *f = tg_fleet_new(opts);
	struct tg_guarantee list[GUARANTEES_MAX];
	struct tg_guarantee_status st;
	struct tg_action out[ACTIONS];
	int i;

	for (i = 0; i < m->n_workers; i++) {
		char rack[32];
		struct tg_worker_spec s = {
			.name = tg_fleet_worker_name(m->f, i),
			.az = az_name(m->workers[i].az),
			.rack = rack,
			.accelerators = m->workers[i].cap.v[0],
			.cores = m->workers[i].cap.v[1],
			.memory_gb = m->workers[i].cap.v[2],
		};

		snprintf(rack, sizeof(rack), "r-%d", m->workers[i].rack);
		tg_fleet_add_worker(f, &s);
		tg_fleet_set_worker_health(f, i, m->workers[i].health,
					   m->now_ms);
	}
	for (i = 0; i < m->n_guarantees; i++) {
		tg_fleet_guarantee_status(m->f, (size_t)i, m->now_ms, &st);
		list[i] = st.g;
		all[i] = is_in_force(m, i);
	}
	if (random_below(m, 2)) {
		adopt_all(m, f);
		tg_fleet_set_guarantees(f, list, (size_t)m->n_guarantees,
					m->now_ms, true, NULL);
	} else {
		tg_fleet_set_guarantees(f, list, (size_t)m->n_guarantees,
					m->now_ms, true, NULL);
		adopt_all(m, f);
	}
	tg_decide(f, m->now_ms, out, ACTIONS);
	for (i = 0; i < m->n_guarantees && guarantees_fit(m, all); i++) {
		tg_fleet_guarantee_status(f, (size_t)i, m->now_ms, &st);
		ck_assert_msg(!st.at_risk,
			      "seed %d: guarantee %d at risk after takeover",
			      (int)m->seed, i);
	}
	tg_fleet_free(f);
}

/* Return: number of reclaimed uncovered jobs. */
static int run_model(const char *policy, uint64_t seed)
{
	struct tg_fleet_opts opts = { .policy = tg_policy_find(policy) };
	struct model m = { .f = tg_fleet_new(&opts), .seed = seed };

	m.rng.state = seed;
	m.slow_stops = seed % 3 == 0;
	add_workers(&m);
	add_guarantees(&m);
	for (m.step = 0; m.n_guarantees && m.step < STEPS; m.step++) {
		steps[random_below(&m, ARRAY_SIZE(steps))](&m);
		decide_and_apply(&m);
		check_guarantees(&m);
		check_not_overcommitted(&m);
	}
	finish_stops(&m);
	if (m.n_guarantees)
		check_takeover(&m, &opts);
	tg_fleet_free(m.f);
	return m.reclaimed_uncovered;
}

/*
 * After any sequence of events, each guarantee in force can be used in full or
 * is reported as at risk, and only lost workers put one at risk.  Guards
 * against errors in the accounts or the plan that a single scenario would not
 * show.
 */
START_TEST(guarantees_hold)
{
	const char *const *names = tg_policy_names();
	uint64_t seed;
	int reclaimed = 0;

	for (seed = 1; seed <= SEEDS; seed++)
		reclaimed += run_model(names[_i], seed);
	/* Makes sure that the rules for uncovered victims were tested. */
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
