#include <check.h>
#include <string.h>

#include "fleet.h"

struct flow_queue fleet_queue(const char *name, int32_t priority)
{
	return (struct flow_queue){
		.name = name,
		.service = "s",
		.priority = priority,
		.max_attempts = 3,
		.stretch = 3,
		.target_ms = 1000,
	};
}

struct flow *fleet_new(void)
{
	const struct flow_opts opts = { .stop_ms = STOP_MS,
					.reclaim_ms = RECLAIM_MS };
	const struct flow_queue q[] = { fleet_queue("urgent", 0),
					fleet_queue("normal", 1),
					fleet_queue("low", 2) };
	struct flow *f = flow_new(&opts);

	flow_set_queues(f, q, ARRAY_SIZE(q));
	return f;
}

void fleet_add_worker(struct flow *f, const char *id, const char *rack,
		      int32_t accelerators)
{
	struct flow_worker_spec s = {
		.id = id,
		.service = "s",
		.az = "a",
		.rack = rack,
		.labels = { "kind", rack },
		.n_labels = 2,
		.capacity = { accelerators * 16000, accelerators * 32000,
			      accelerators },
	};

	flow_worker_update(f, &s);
	flow_worker_set_runs_known(f, id);
}

struct flow_shape fleet_task_shape(int32_t accelerators)
{
	return (struct flow_shape){
		.cpu_millicores = accelerators * 10000,
		.memory_mb = accelerators * 20000,
		.accelerators = accelerators,
	};
}

struct flow_spec *fleet_new_spec(int32_t tasks, int32_t accelerators, bool gang)
{
	struct flow_spec *s = tg_xcalloc(1, sizeof(*s));

	s->text = tg_xstrdup("text");
	s->n_steps = 1;
	s->steps = tg_xcalloc(1, sizeof(*s->steps));
	s->steps[0].tasks = tasks;
	s->steps[0].gang = gang;
	s->steps[0].declared_ms = 1000;
	s->steps[0].shape = fleet_task_shape(accelerators);
	return s;
}

void fleet_add_job(struct flow *f, const char *id, const char *queue,
		   struct flow_spec *spec, int64_t accepted_ms)
{
	struct flow_job_opts o = {
		.id = id,
		.queue = queue,
		.workspace = "w",
		.spec = spec,
		.accepted_ms = accepted_ms,
	};

	ck_assert(flow_add_job(f, &o));
}

static void copy_ref(struct start_order *to, const struct flow_run_ref *r,
		     const char *worker)
{
	tg_strlcpy(to->job, r->job, sizeof(to->job));
	tg_strlcpy(to->worker, worker, sizeof(to->worker));
	to->saved[0] = '\0';
	to->occurrence = r->occurrence;
	to->step = r->step;
	to->index = r->index;
	to->run = r->run;
}

static void on_start(const struct flow_start_order *s, void *arg)
{
	struct orders *o = arg;

	ck_assert_int_lt(o->n_starts, ORDERS_MAX);
	copy_ref(&o->starts[o->n_starts], &s->ref, s->worker);
	tg_strlcpy(o->starts[o->n_starts].saved, s->saved,
		   FLOW_CHECKPOINT_LEN + 1);
	o->n_starts++;
}

static void on_stop(const struct flow_stop_order *s, void *arg)
{
	struct orders *o = arg;

	ck_assert_int_lt(o->n_stops, ORDERS_MAX);
	copy_ref(&o->stops[o->n_stops++], &s->ref, s->worker);
}

static const struct flow_ops ops = { .start = on_start, .stop = on_stop };

void fleet_decide_unwritten(struct flow *f, struct orders *o, int64_t now_ms)
{
	o->n_starts = o->n_stops = 0;
	flow_decide(f, now_ms, now_ms, &ops, o);
}

void fleet_start_recorded(struct flow *f, struct orders *o, int64_t now_ms)
{
	o->n_starts = o->n_stops = 0;
	flow_start_recorded(f, now_ms, &ops, o);
}

void fleet_write(struct flow *f)
{
	while (flow_take_dirty(f))
		;
	flow_mark_written(f);
}

void fleet_decide(struct flow *f, struct orders *o, int64_t now_ms)
{
	fleet_decide_unwritten(f, o, now_ms);
	fleet_write(f);
	flow_start_recorded(f, now_ms, &ops, o);
}

struct flow_run_ref fleet_run_ref(const struct start_order *s)
{
	return (struct flow_run_ref){ s->job, s->occurrence, s->step, s->index,
				      s->run };
}

void fleet_confirm_starts(struct flow *f, const struct orders *o,
			  int64_t now_ms)
{
	int i;

	for (i = 0; i < o->n_starts; i++) {
		struct flow_run_ref r = fleet_run_ref(&o->starts[i]);

		flow_start_answered(f, &r, o->starts[i].worker, FLOW_ORDER_DONE,
				    now_ms);
	}
}

void fleet_end_run(struct flow *f, const struct start_order *s,
		   enum flow_run_result how, int64_t now_ms)
{
	struct flow_run_ref r = fleet_run_ref(s);

	flow_report_end(f, &r, s->worker, how, "", now_ms);
}
