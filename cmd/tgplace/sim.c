#include <stdlib.h>
#include <string.h>

#include "place.h"

#define ACTIONS_MAX 64
/* A lost worker or a failed task sets a job back to its last checkpoint. */
#define CHECKPOINT_PERIOD_MS 600000
/* Upper bound for the time to failure of a task on a FAULT_FAILS_ALL worker. */
#define FAIL_MAX_MS 30000
/*
 * Consecutive rounds without an action or a pending event after which the
 * simulation ends and the jobs still queued are reported as stranded.
 */
#define IDLE_ROUNDS_MAX 3

static struct job *find_job(struct sim *s, const char *name)
{
	struct job *j;

	HASH_FIND_STR(s->by_name, name, j);
	return j;
}

/* --- resource accounting --- */

static void charge_resources(struct sim *s, const struct job *j, int sign)
{
	int32_t i;
	int k;

	for (i = 0; i < j->tasks; i++) {
		struct worker *w = &s->in->workers[j->workers[i]];
		int32_t *use = j->class == TG_CLASS_LENT ? w->used_lent :
							   w->used_nonlent;

		for (k = 0; k < 3; k++)
			use[k] += sign * j->per_task[k];
	}
	s->used_accelerators += sign * (int64_t)j->tasks * j->per_task[0];
}

/* Call after charge_resources(): no worker may be over its capacity. */
static bool is_complete_gang(const struct sim *s, const struct job *j,
			     const struct tg_action *a)
{
	int32_t i;
	int k;

	if (a->n_workers != j->tasks)
		return false;
	for (i = 0; i < j->tasks; i++) {
		const struct worker *w = &s->in->workers[a->workers[i]];

		for (k = 0; k < 3; k++)
			if (w->used_nonlent[k] + w->used_lent[k] >
			    w->capacity[k])
				return false;
		if (!w->up || w->quarantined)
			return false;
	}
	return true;
}

static void enqueue(struct sim *s, struct job *j)
{
	size_t index = (size_t)(j - s->in->jobs);

	j->state = J_QUEUED;
	j->violation_counted = false;
	s->n_queued++;
	if (j->class != TG_CLASS_GUARANTEED)
		return;
	if (s->n_waiting == s->cap_waiting) {
		s->cap_waiting = s->cap_waiting ? 2 * s->cap_waiting : 64;
		s->waiting = tg_xrealloc(s->waiting,
					 s->cap_waiting * sizeof(size_t));
	}
	s->waiting[s->n_waiting++] = index;
}

/*
 * Ends a run; @kept_ms is the total run time kept.  The rest is counted as lost
 * work, in accelerator seconds, or task seconds for jobs without accelerators.
 */
static void end_run(struct sim *s, struct job *j, int64_t kept_ms)
{
	int64_t lost_ms = j->saved_ms + s->now_ms - j->started_ms - kept_ms;
	int64_t size =
		j->per_task[0] ? (int64_t)j->tasks * j->per_task[0] : j->tasks;

	s->work_lost += (double)lost_ms / 1000 * (double)size;
	charge_resources(s, j, -1);
	guarantee_release(s, j);
	free(j->workers);
	j->workers = NULL;
	j->attempt++;
	j->saved_ms = kept_ms;
	s->n_running--;
}

static int64_t total_run_ms(const struct sim *s, const struct job *j)
{
	return j->saved_ms + s->now_ms - j->started_ms;
}

static void stop_run(struct sim *s, struct job *j, enum tg_stop_cause cause,
		     int32_t worker, int64_t kept_ms)
{
	end_run(s, j, kept_ms);
	enqueue(s, j);
	tg_fleet_job_stopped(s->fleet, j->name, cause, worker, s->now_ms,
			     kept_ms);
}

/* The last periodic checkpoint, or the one that the run started from. */
static int64_t last_checkpoint_ms(const struct sim *s, const struct job *j)
{
	int64_t last = total_run_ms(s, j) / CHECKPOINT_PERIOD_MS *
		CHECKPOINT_PERIOD_MS;

	return last > j->saved_ms ? last : j->saved_ms;
}

/* --- events --- */

static void submit_job(struct sim *s, struct job *j)
{
	const struct tg_job_spec spec = {
		.name = j->name,
		.workspace = j->workspace,
		.az = j->az,
		.class = j->class,
		.tasks = j->tasks,
		.accelerators_per_task = j->per_task[0],
		.cores_per_task = j->per_task[1],
		.memory_gb_per_task = j->per_task[2],
		.declared_ms = j->declared_ms,
		.submitted_ms = s->now_ms,
	};

	s->submitted++;
	if (tg_fleet_submit_job(s->fleet, &spec, s->now_ms, NULL)) {
		j->state = J_REFUSED;
		s->refused++;
		return;
	}
	enqueue(s, j);
	if (j->cancel_ms >= 0)
		heap_push(&s->heap,
			  (struct event){ .at_ms = j->cancel_ms,
					  .kind = E_CANCEL,
					  .index = (size_t)(j - s->in->jobs) });
}

static void finish_job(struct sim *s, struct job *j)
{
	end_run(s, j, total_run_ms(s, j));
	j->state = J_DONE;
	j->end_ms = s->now_ms;
	s->completed++;
	tg_fleet_job_done(s->fleet, j->name, s->now_ms, j->actual_ms);
}

static void cancel_job(struct sim *s, struct job *j)
{
	if (j->state == J_RUNNING)
		end_run(s, j, total_run_ms(s, j));
	else if (j->state == J_QUEUED)
		s->n_queued--;
	else if (j->state != J_PARKED)
		return;
	j->state = J_CANCELLED;
	s->cancelled++;
	tg_fleet_cancel_job(s->fleet, j->name, s->now_ms);
}

static bool runs_on(const struct job *j, int32_t worker)
{
	int32_t i;

	for (i = 0; i < j->tasks; i++)
		if (j->workers[i] == worker)
			return true;
	return false;
}

static void worker_down(struct sim *s, int32_t id)
{
	struct worker *w = &s->in->workers[id];
	size_t i;

	if (!w->up)
		return;
	w->up = false;
	s->up_accelerators -= w->capacity[0];
	tg_fleet_set_worker_health(s->fleet, id, TG_WORKER_DOWN, s->now_ms);
	for (i = 0; i < s->in->n_jobs; i++) {
		struct job *j = &s->in->jobs[i];

		if (j->state == J_RUNNING && runs_on(j, id))
			stop_run(s, j, TG_STOP_WORKER_LOST, -1,
				 last_checkpoint_ms(s, j));
	}
}

static void apply_fault(struct sim *s, const struct fault *f)
{
	struct worker *w = &s->in->workers[f->worker];

	switch (f->what) {
	case FAULT_DOWN:
		worker_down(s, f->worker);
		return;
	case FAULT_FAILS_ALL:
		w->fails_all = true;
		return;
	case FAULT_UP:
		break;
	}
	if (!w->up)
		s->up_accelerators += w->capacity[0];
	w->up = true;
	w->fails_all = w->quarantined = false;
	tg_fleet_set_worker_health(s->fleet, f->worker, TG_WORKER_UP,
				   s->now_ms);
}

static void handle_event(struct sim *s, const struct event *e)
{
	struct job *j = &s->in->jobs[e->index];

	switch (e->kind) {
	case E_SUBMIT:
		submit_job(s, j);
		break;
	case E_CANCEL:
		cancel_job(s, j);
		break;
	case E_FINISH:
		if (j->state == J_RUNNING && j->attempt == e->attempt)
			finish_job(s, j);
		break;
	case E_FAIL:
		if (j->state == J_RUNNING && j->attempt == e->attempt)
			stop_run(s, j, TG_STOP_TASK_FAILED, e->worker,
				 last_checkpoint_ms(s, j));
		break;
	case E_FAULT:
		apply_fault(s, &s->in->faults[e->index]);
		break;
	case E_LAPSE:
		break;
	}
}

/* --- actions --- */

static void start_job(struct sim *s, struct job *j, const struct tg_action *a)
{
	struct event e = { .kind = E_FINISH,
			   .index = (size_t)(j - s->in->jobs) };
	size_t size = (size_t)a->n_workers * sizeof(*j->workers);
	int32_t i;

	j->workers = tg_xcalloc(1, size);
	memcpy(j->workers, a->workers, size);
	guarantee_charge(s, j);
	j->state = J_RUNNING;
	j->started_ms = s->now_ms;
	if (j->first_start_ms < 0)
		j->first_start_ms = s->now_ms;
	s->n_queued--;
	s->n_running++;
	if (a->n_workers == j->tasks)
		charge_resources(s, j, 1);
	if (!is_complete_gang(s, j, a))
		s->partial_gangs++;
	e.attempt = j->attempt;
	e.at_ms = s->now_ms + j->actual_ms - j->saved_ms;
	for (i = 0; i < a->n_workers; i++)
		if (s->in->workers[a->workers[i]].fails_all) {
			e.kind = E_FAIL;
			e.worker = a->workers[i];
			e.at_ms = s->now_ms + 1000 +
				(int64_t)tg_rng_below(&s->rng,
						      FAIL_MAX_MS - 1000);
			break;
		}
	heap_push(&s->heap, e);
}

static void apply_action(struct sim *s, const struct tg_action *a)
{
	struct job *j;

	if (a->kind == TG_ACT_QUARANTINE) {
		s->in->workers[a->workers[0]].quarantined = true;
		return;
	}
	j = find_job(s, a->job);
	if (!j) {
		fprintf(stderr, "tgplace: action for unknown job %s\n", a->job);
		exit(EXIT_FAILURE);
	}
	switch (a->kind) {
	case TG_ACT_START:
		start_job(s, j, a);
		break;
	case TG_ACT_RECLAIM:
		if (!*a->beneficiary)
			s->moves++;
		else if (j->class == TG_CLASS_LENT)
			s->reclaims_lent++;
		else
			s->reclaims_beyond++;
		stop_run(s, j, TG_STOP_RECLAIMED, -1, total_run_ms(s, j));
		break;
	case TG_ACT_PARK:
		j->state = J_PARKED;
		s->n_queued--;
		break;
	case TG_ACT_QUARANTINE:
		break;
	}
}

/*
 * Reclaims are applied last: they call tg_fleet_job_stopped(), and the pointers
 * in the actions are valid only until the fleet is next modified.  The names of
 * the jobs to reclaim are copied for the same reason.
 */
static void apply_actions(struct sim *s, struct tg_action *list, size_t n)
{
	char(*names)[TG_NAME_MAX + 1] = tg_xcalloc(n, sizeof(*names));
	size_t i;

	for (i = 0; i < n; i++) {
		if (list[i].kind != TG_ACT_RECLAIM) {
			apply_action(s, &list[i]);
			continue;
		}
		tg_strlcpy(names[i], list[i].job, sizeof(names[i]));
		list[i].job = names[i];
	}
	for (i = 0; i < n; i++)
		if (list[i].kind == TG_ACT_RECLAIM)
			apply_action(s, &list[i]);
	free(names);
}

static size_t run_decisions(struct sim *s)
{
	struct tg_action list[ACTIONS_MAX];
	size_t n, total = 0;
	int64_t us;

	do {
		us = tg_now_us();
		n = tg_decide(s->fleet, s->now_ms, list, ACTIONS_MAX);
		us = tg_now_us() - us;
		tg_hist_add(&s->decide_latency_us, (uint64_t)us);
		s->decide_total_us += us;
		apply_actions(s, list, n);
		total += n;
	} while (n);
	guarantee_check(s);
	return total;
}

/* --- simulated time --- */

static double share_of_free(int64_t acc, const struct tg_fleet_stats *st)
{
	return st->accelerators_free ?
		(double)acc / (double)st->accelerators_free :
		0;
}

static void sample_shares(struct sim *s)
{
	struct tg_fleet_stats st;

	tg_fleet_stats(s->fleet, s->now_ms, &st);
	s->stranded_share = share_of_free(st.accelerators_stranded, &st);
	s->packed_share = share_of_free(st.accelerators_stranded_packed, &st);
	s->gathered_share =
		share_of_free(st.accelerators_stranded_gathered, &st);
	s->used_share = s->up_accelerators ?
		(double)s->used_accelerators / (double)s->up_accelerators :
		0;
}

static void advance_clock(struct sim *s, int64_t to_ms)
{
	double dt = (double)(to_ms - s->now_ms);

	s->now_ms = to_ms;
	if (!s->n_running && !s->n_queued)
		return;
	s->fragmentation_sum += dt * s->stranded_share;
	s->packed_sum += dt * s->packed_share;
	s->gathered_sum += dt * s->gathered_share;
	s->utilization_sum += dt * s->used_share;
	s->time_sum += dt;
}

static void sim_init(struct sim *s, const struct options *o)
{
	struct tg_fleet_opts opts = { .policy = tg_policy_find(o->policy) };
	struct input *in = s->in;
	struct tg_guarantee *g;
	int32_t i;
	size_t k;

	s->fleet = tg_fleet_new(&opts);
	s->rng.state = (uint64_t)o->seed;
	for (i = 0; i < in->n_workers; i++) {
		const struct worker *w = &in->workers[i];
		struct tg_worker_spec spec = { .name = w->name,
					       .az = w->az_name,
					       .rack = w->rack,
					       .cores = w->capacity[1],
					       .memory_gb = w->capacity[2],
					       .accelerators = w->capacity[0] };

		tg_fleet_add_worker(s->fleet, &spec);
		s->up_accelerators += w->capacity[0];
	}
	g = tg_xcalloc((size_t)in->n_guarantees, sizeof(*g));
	for (i = 0; i < in->n_guarantees; i++) {
		const struct guarantee *p = &in->guarantees[i];

		g[i] = (struct tg_guarantee){ p->workspace,   p->az_name,
					      p->tasks,	      p->per_task[0],
					      p->within_rack, p->lapses_ms };
		if (p->lapses_ms != INT64_MAX)
			heap_push(&s->heap,
				  (struct event){ .at_ms = p->lapses_ms,
						  .kind = E_LAPSE });
	}
	tg_fleet_set_guarantees(s->fleet, g, (size_t)in->n_guarantees, 0, true,
				NULL);
	free(g);
	for (k = 0; k < in->n_jobs; k++) {
		struct job *j = &in->jobs[k];

		j->first_start_ms = -1;
		HASH_ADD_KEYPTR(hh, s->by_name, j->name, strlen(j->name), j);
		heap_push(&s->heap,
			  (struct event){ .at_ms = j->submit_ms,
					  .kind = E_SUBMIT,
					  .index = k });
	}
	for (k = 0; k < in->n_faults; k++)
		heap_push(&s->heap,
			  (struct event){ .at_ms = in->faults[k].at_ms,
					  .kind = E_FAULT,
					  .index = k });
}

void sim_run(struct sim *s, struct input *in, const struct options *o)
{
	struct event e;
	int64_t wake;
	int idle = 0;

	s->in = in;
	sim_init(s, o);
	while (s->n_queued || s->heap.n) {
		wake = s->n_queued ?
			tg_fleet_next_decision_ms(s->fleet, s->now_ms) :
			INT64_MAX;
		if (wake <= s->now_ms)
			wake = s->now_ms + 1;
		if (!s->heap.n &&
		    (wake == INT64_MAX || idle == IDLE_ROUNDS_MAX))
			break;
		if (s->heap.n && s->heap.items[0].at_ms <= wake)
			wake = s->heap.items[0].at_ms;
		advance_clock(s, wake);
		while (s->heap.n && s->heap.items[0].at_ms == s->now_ms) {
			e = heap_pop(&s->heap);
			handle_event(s, &e);
		}
		idle = run_decisions(s) || s->heap.n ? 0 : idle + 1;
		sample_shares(s);
	}
}

void sim_free(struct sim *s)
{
	HASH_CLEAR(hh, s->by_name);
	tg_fleet_free(s->fleet);
	free(s->heap.items);
	free(s->waiting);
}
