#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "decide/internal.h"

#define TASKS_MAX 100000
#define RESOURCE_MAX_PER_TASK 1000000

int64_t job_acc(const struct job *j)
{
	return (int64_t)j->tasks * j->need.acc;
}

static struct job *job_find(const struct tg_fleet *f, const char *name)
{
	struct job *j;

	HASH_FIND_STR(f->jobs, name, j);
	return j;
}

int64_t job_remaining_ms(const struct tg_fleet *f, const struct job *j,
			 int64_t now_ms)
{
	int64_t done = j->done_ms, expected = f->policy->expected_run_ms(j);

	if (j->state == JOB_RUNNING)
		done += now_ms - j->started_ms;
	/* When a job overruns, its expected run time is doubled. */
	while (expected <= done)
		expected = expected * 2 + 1;
	return expected - done;
}

int64_t job_end_ms(const struct tg_fleet *f, const struct job *j,
		   int64_t now_ms)
{
	return now_ms + job_remaining_ms(f, j, now_ms);
}

/* --- submission --- */

struct validation {
	const struct tg_fleet *f;
	const struct tg_job_spec *s;
	struct tg_findings *findings;
	int n;
};

static void add_fault(struct validation *c, const char *field, const char *text)
{
	c->n++;
	if (c->findings)
		tg_findings_add(c->findings, field, "%s", text);
}

static void check_range(struct validation *c, const char *field, int64_t value,
			int64_t min, int64_t max)
{
	char text[80];

	if (value >= min && value <= max)
		return;
	snprintf(text, sizeof(text), "%lld is not in %lld..%lld",
		 (long long)value, (long long)min, (long long)max);
	add_fault(c, field, text);
}

static void check_fields(struct validation *c)
{
	const struct tg_job_spec *s = c->s;

	if (!tg_name_valid(s->name))
		add_fault(c, "job", "not a valid name");
	else if (job_find(c->f, s->name))
		add_fault(c, "job", "name is taken");
	if (!tg_name_valid(s->workspace))
		add_fault(c, "workspace", "not a valid name");
	if (strcmp(s->az, "any") != 0 && name_find(c->f->az_ids, s->az) == NONE)
		add_fault(c, "az", "no worker in this az");
	if (s->class < TG_CLASS_URGENT || s->class > TG_CLASS_LENT)
		add_fault(c, "class", "unknown class");
	check_range(c, "tasks", s->tasks, 1, TASKS_MAX);
	check_range(c, "accelerators_per_task", s->accelerators_per_task, 0,
		    RESOURCE_MAX_PER_TASK);
	check_range(c, "cores_per_task", s->cores_per_task, 0,
		    RESOURCE_MAX_PER_TASK);
	check_range(c, "memory_gb_per_task", s->memory_gb_per_task, 0,
		    RESOURCE_MAX_PER_TASK);
	check_range(c, "declared_ms", s->declared_ms, 0, INT64_MAX / 4);
	if (!s->accelerators_per_task && !s->cores_per_task &&
	    !s->memory_gb_per_task)
		add_fault(c, "cores_per_task",
			  "tasks need no accelerators, cores or memory");
}

static int32_t rack_capacity(const struct tg_fleet *f, const struct rack *r,
			     struct res need, int32_t max)
{
	int32_t i, n = 0;

	for (i = 0; i < r->n_workers && n < max; i++)
		n += res_count(need, f->workers[r->workers[i]].cap, max - n);
	return n;
}

/* Tasks, up to @max, that an empty AZ holds, in one rack if @within_rack. */
static int32_t az_capacity(const struct tg_fleet *f, const struct az *az,
			   struct res need, bool within_rack, int32_t max)
{
	int32_t i, k, n = 0;

	for (i = 0; i < az->n_racks && n < max; i++) {
		k = rack_capacity(f, &f->racks[az->racks[i]], need, max);
		n = within_rack ? max32(n, k) : min32(max, n + k);
	}
	return n;
}

static void check_size(struct validation *c)
{
	const struct tg_job_spec *s = c->s;
	struct res need = { s->accelerators_per_task, s->cores_per_task,
			    s->memory_gb_per_task };
	int32_t az = name_find(c->f->az_ids, s->az), i, max_tasks = 0;
	char text[120];

	for (i = 0; i < c->f->n_azs && max_tasks < s->tasks; i++)
		if (az == NONE || az == i)
			max_tasks =
				max32(max_tasks,
				      az_capacity(c->f, &c->f->azs[i], need,
						  s->within_rack, s->tasks));
	if (max_tasks >= s->tasks)
		return;
	if (max_tasks)
		snprintf(text, sizeof(text),
			 "can never run: %s %s holds at most %d such tasks",
			 s->within_rack ? "a rack of" : "az", s->az, max_tasks);
	else
		snprintf(text, sizeof(text),
			 "can never run: no worker of az %s holds such a task",
			 s->az);
	add_fault(c, "tasks", text);
}

static void check_quota(struct validation *c, const struct job *j)
{
	char text[120];

	if (!j->ws->quota || job_acc(j) <= j->ws->quota ||
	    guarantee_for(c->f, j, false))
		return;
	snprintf(text, sizeof(text),
		 "can never run: needs %lld accelerators, the quota is %d",
		 (long long)job_acc(j), j->ws->quota);
	add_fault(c, "tasks", text);
}

int64_t unguaranteed_acc(const struct tg_fleet *f, int32_t az)
{
	int64_t acc = f->azs[az].acc;
	size_t i;

	for (i = 0; i < f->n_guarantees; i++) {
		const struct guarantee *g = &f->guarantees[i];

		if (g->az == az && g->lapses_ms == INT64_MAX)
			acc -= (int64_t)g->tasks * g->need.acc;
	}
	return acc;
}

/*
 * Urgent and uncovered jobs never get accelerators of permanent guarantees, so
 * a job that needs more than the others could never start.
 */
static void check_unguaranteed(struct validation *c, const struct job *j)
{
	int64_t max_acc = 0, n;
	char text[120];
	int32_t i;

	if (j->class == TG_CLASS_LENT || guarantee_for(c->f, j, false))
		return;
	for (i = 0; i < c->f->n_azs; i++) {
		n = unguaranteed_acc(c->f, i);
		if ((j->az == NONE || j->az == i) && n > max_acc)
			max_acc = n;
	}
	if (job_acc(j) <= max_acc)
		return;
	snprintf(
		text, sizeof(text),
		"can never run: needs %lld accelerators, guarantees that do not "
		"lapse leave %lld",
		(long long)job_acc(j), (long long)max_acc);
	add_fault(c, "tasks", text);
}

static struct job *job_new(struct tg_fleet *f, const struct tg_job_spec *s)
{
	struct job *j = tg_xcalloc(1, sizeof(*j));

	j->name = tg_xstrdup(s->name);
	j->ws = workspace_get(f, s->workspace);
	j->az = name_find(f->az_ids, s->az);
	j->class = s->class;
	j->tasks = s->tasks;
	j->need = (struct res){ s->accelerators_per_task, s->cores_per_task,
				s->memory_gb_per_task };
	j->within_rack = s->within_rack;
	j->declared_ms = s->declared_ms;
	j->submitted_ms = s->submitted_ms;
	return j;
}

static void job_add(struct tg_fleet *f, struct job *j)
{
	j->seq = f->next_seq++;
	HASH_ADD_KEYPTR(hh, f->jobs, j->name, strlen(j->name), j);
}

static void job_discard(struct job *j)
{
	free(j->name);
	free(j->workers);
	free(j->move_target);
	free(j);
}

int tg_fleet_submit_job(struct tg_fleet *f, const struct tg_job_spec *spec,
			int64_t now_ms, struct tg_findings *findings)
{
	struct validation c = { .f = f, .s = spec, .findings = findings };
	struct job *j;

	plan_lapse(f, now_ms);
	check_fields(&c);
	if (!c.n)
		check_size(&c);
	if (c.n)
		return -1;
	j = job_new(f, spec);
	check_quota(&c, j);
	check_unguaranteed(&c, j);
	if (c.n) {
		job_discard(j);
		return -1;
	}
	job_add(f, j);
	queue_insert(f, j);
	return 0;
}

/*
 * Whether the sums of a worker can't overflow even if all tasks run on it.
 * The size of an adopted job comes from a stored record and is not checked
 * against the fleet.
 */
static bool sums_cannot_overflow(const struct tg_job_spec *s)
{
	int64_t max = INT32_MAX / 16;

	return (int64_t)s->tasks * s->accelerators_per_task <= max &&
		(int64_t)s->tasks * s->cores_per_task <= max &&
		(int64_t)s->tasks * s->memory_gb_per_task <= max;
}

int tg_fleet_adopt_job(struct tg_fleet *f, const struct tg_job_spec *spec,
		       const int32_t *workers, int64_t started_ms)
{
	struct validation c = { .f = f, .s = spec };
	struct job *j;
	int32_t i;

	check_fields(&c);
	if (!c.n && !sums_cannot_overflow(spec))
		c.n++;
	for (i = 0; !c.n && i < spec->tasks; i++)
		if (workers[i] < 0 || workers[i] >= f->n_workers ||
		    f->workers[workers[i]].az != f->workers[workers[0]].az)
			c.n++;
	if (c.n)
		return -1;
	j = job_new(f, spec);
	j->workers = tg_xcalloc((size_t)j->tasks, sizeof(*j->workers));
	memcpy(j->workers, workers, (size_t)j->tasks * sizeof(*workers));
	j->state = JOB_RUNNING;
	j->started_ms = started_ms;
	job_add(f, j);
	f->n_running++;
	usage_add_job(f, j);
	if (j->class == TG_CLASS_LENT)
		return 0;
	/* The job runs already, so the slots are placed around it. */
	plan_clear(f, f->workers[workers[0]].az);
	if (j->class == TG_CLASS_GUARANTEED)
		j->adopted = f->adopted = true;
	return 0;
}

/* --- assignment --- */

/*
 * Binds the job to unused slots on its workers.  Workers were chosen in the
 * order of slots, so each search continues after the slot found before.
 */
static void bind_slots(struct guarantee *g, struct job *j)
{
	int32_t i, n, k = 0;

	for (i = 0; i < j->tasks; i++)
		for (n = 0; n < g->tasks; n++, k = (k + 1) % g->tasks) {
			struct slot *s = &g->slots[k];

			if (s->job || s->worker != j->workers[i])
				continue;
			s->job = j;
			break;
		}
	j->g = g;
}

void job_assign(struct tg_fleet *f, struct job *j, const int32_t *workers,
		struct guarantee *g)
{
	size_t size = (size_t)j->tasks * sizeof(*j->workers);

	j->workers = tg_xrealloc(j->workers, size);
	memcpy(j->workers, workers, size);
	if (g)
		bind_slots(g, j);
	usage_add_job(f, j);
	j->state = JOB_ASSIGNED;
	list_add(&f->assigned, j);
	reserve_drop_job(f, j);
}

void job_release(struct tg_fleet *f, struct job *j)
{
	struct az *az = &f->azs[f->workers[j->workers[0]].az];
	bool not_lent = j->class != TG_CLASS_LENT;
	int32_t k;

	usage_remove_job(f, j);
	for (k = 0; j->g && k < j->g->tasks; k++) {
		struct slot *s = &j->g->slots[k];

		if (s->job != j)
			continue;
		s->job = NULL;
		if (f->workers[s->worker].health != TG_WORKER_UP)
			az->needs_replan = true;
	}
	j->g = NULL;
	free(j->workers);
	j->workers = NULL;
	j->backfilled = false;
	if (j->state == JOB_ASSIGNED)
		list_remove(&f->assigned, j);
	else
		f->n_running--;
	j->state = JOB_QUEUED;
	/* The capacity may suffice now for a guarantee that is at risk. */
	if (az->needs_replan || (not_lent && az->at_risk))
		plan_az(f, (int32_t)(az - f->azs));
}

static void job_remove(struct tg_fleet *f, struct job *j)
{
	switch (j->state) {
	case JOB_ASSIGNED:
	case JOB_RUNNING:
		job_release(f, j);
		break;
	case JOB_PARKED:
		f->n_parked--;
		break;
	case JOB_QUEUED:
		queue_remove(f, j);
		break;
	}
	reserve_drop_job(f, j);
	list_remove(&f->newly_parked, j);
	HASH_DEL(f->jobs, j);
	job_discard(j);
}

void tg_fleet_cancel_job(struct tg_fleet *f, const char *job, int64_t now_ms)
{
	struct job *j = job_find(f, job);

	plan_lapse(f, now_ms);
	if (j)
		job_remove(f, j);
}

/*
 * The ratio of actual to declared run time is averaged by its logarithm, so
 * that a job that ran a hundred times longer than declared weighs as much as
 * one that ran a hundredth.  After 50 jobs the mean becomes a moving average
 * with a window of about 50 jobs, so that it follows changes.
 */
static void update_runtime_ratio(struct workspace *ws, int64_t declared_ms,
				 int64_t ran_ms)
{
	double r = log((double)(ran_ms + 1) / (double)(declared_ms + 1));
	double n = (double)(ws->finished < 50 ? ws->finished + 1 : 50);

	ws->finished++;
	ws->log_runtime_ratio += (r - ws->log_runtime_ratio) / n;
}

void tg_fleet_job_done(struct tg_fleet *f, const char *job, int64_t now_ms,
		       int64_t ran_ms)
{
	struct job *j = job_find(f, job);
	int32_t i;

	plan_lapse(f, now_ms);
	if (!j)
		return;
	update_runtime_ratio(j->ws, j->declared_ms, ran_ms);
	for (i = 0; j->state == JOB_RUNNING && i < j->tasks; i++)
		reset_worker_failures(&f->workers[j->workers[i]]);
	job_remove(f, j);
}

/*
 * Assigns the target of a move to a job that has stopped for it.  Return: false
 * if the job doesn't move or the target is no longer available.
 */
static bool assign_move_target(struct tg_fleet *f, struct job *j,
			       enum tg_stop_cause cause)
{
	int32_t *move_target = j->move_target, i;
	bool fits = move_target && cause == TG_STOP_RECLAIMED;

	j->move_target = NULL;
	if (fits) {
		fits = !job_is_uncovered(j) ||
			!f->azs[f->workers[move_target[0]].az].at_risk;
		job_assign(f, j, move_target, NULL);
		for (i = 0; i < j->tasks; i++)
			if (f->workers[move_target[i]].health != TG_WORKER_UP)
				fits = false;
		if (!fits || !assigned_job_fits(f, j)) {
			job_release(f, j);
			fits = false;
		}
	}
	if (fits)
		tg_strlcpy(j->reason, "moved", sizeof(j->reason));
	free(move_target);
	return fits;
}

/*
 * How long a job waits after a worker refused its start, so that the worker is
 * not asked again at once.
 */
#define START_REFUSED_RETRY_MS 1000

void tg_fleet_job_stopped(struct tg_fleet *f, const char *job,
			  enum tg_stop_cause cause, int32_t worker,
			  int64_t now_ms, int64_t done_ms)
{
	struct job *j = job_find(f, job);

	plan_lapse(f, now_ms);
	if (!j || (j->state != JOB_RUNNING && j->state != JOB_ASSIGNED))
		return;
	job_release(f, j);
	j->done_ms = done_ms > 0 ? done_ms : 0;
	if (cause == TG_STOP_START_REFUSED)
		j->not_before_ms = now_ms + START_REFUSED_RETRY_MS;
	if (cause == TG_STOP_TASK_FAILED && worker >= 0 &&
	    worker < f->n_workers)
		record_task_failure(f, j, worker, now_ms);
	if (j->state == JOB_QUEUED && !assign_move_target(f, j, cause))
		queue_insert(f, j);
}
