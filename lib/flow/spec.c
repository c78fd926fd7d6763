#include <stdlib.h>
#include <string.h>

#include "flow/spec.h"

#define SHAPE_MAX 1000000000LL
#define DURATION_MAX_MS (400LL * 86400 * 1000) /* 400 days */
#define WALL_MAX_MS (1LL << 53)

static void check_after(const struct flow_spec *s, int32_t i,
			struct tg_findings *f)
{
	const struct flow_step *st = &s->steps[i];
	char path[64];
	int32_t k;

	for (k = 0; k < st->n_after; k++) {
		snprintf(path, sizeof(path), "/steps/%d/after/%d", i, k);
		if (st->after[k] < 0 || st->after[k] >= i)
			tg_findings_add(f, path, "%d is not an earlier step",
					st->after[k]);
	}
}

static void check_number(struct tg_findings *f, int32_t step, const char *name,
			 int64_t v, int64_t min, int64_t max)
{
	char path[96];

	if (v >= min && v <= max)
		return;
	snprintf(path, sizeof(path), "/steps/%d/%s", step, name);
	tg_findings_add(f, path, "%lld is not within %lld to %lld",
			(long long)v, (long long)min, (long long)max);
}

void flow_spec_check(const struct flow_spec *s, struct tg_findings *f)
{
	int32_t i;

	if (s->text && strlen(s->text) > FLOW_TEXT_MAX)
		tg_findings_add(f, "/spec", "longer than %d bytes",
				FLOW_TEXT_MAX);
	if (s->n_steps < 1)
		tg_findings_add(f, "/steps", "no steps");
	if (s->times < 0 || s->times > FLOW_TASKS_MAX)
		tg_findings_add(f, "/times", "%d is not a number of times",
				s->times);
	if (s->times > 0 &&
	    (s->first_wall_ms < 0 || s->first_wall_ms > WALL_MAX_MS ||
	     s->interval_ms < 0 || s->interval_ms > DURATION_MAX_MS))
		tg_findings_add(f, "/times", "times out of range");
	for (i = 0; i < s->n_steps; i++) {
		const struct flow_step *st = &s->steps[i];

		check_number(f, i, "tasks", st->tasks, 1, FLOW_TASKS_MAX);
		check_number(f, i, "cpu", st->shape.cpu_millicores, 0,
			     SHAPE_MAX);
		check_number(f, i, "memory", st->shape.memory_mb, 0, SHAPE_MAX);
		check_number(f, i, "accelerators", st->shape.accelerators, 0,
			     SHAPE_MAX);
		check_number(f, i, "declared time", st->declared_ms, 0,
			     DURATION_MAX_MS);
		check_number(f, i, "tasks on one worker", st->per_worker_max, 0,
			     FLOW_TASKS_MAX);
		check_after(s, i, f);
	}
	if (!f->total && flow_spec_tasks(s) > FLOW_TASKS_MAX)
		tg_findings_add(f, "/steps", "more than %d tasks",
				FLOW_TASKS_MAX);
}

int32_t flow_spec_occurrences(const struct flow_spec *s)
{
	return s->times > 0 ? s->times : 1;
}

int64_t flow_spec_tasks(const struct flow_spec *s)
{
	int64_t n = 0;
	int32_t i;

	for (i = 0; i < s->n_steps; i++)
		n += s->steps[i].tasks;
	return n * flow_spec_occurrences(s);
}

static void put_int(json_t *o, const char *name, int64_t v)
{
	if (v)
		json_object_set_new(o, name, json_integer(v));
}

static void put_text(json_t *o, const char *name, const char *v)
{
	if (v && *v)
		json_object_set_new(o, name, json_string(v));
}

static json_t *encode_step(const struct flow_step *st)
{
	json_t *o = json_object();
	json_t *after = json_array();
	int32_t i;

	put_int(o, "tasks", st->tasks);
	put_int(o, "cpu", st->shape.cpu_millicores);
	put_int(o, "memory_mb", st->shape.memory_mb);
	put_int(o, "accelerators", st->shape.accelerators);
	put_int(o, "declared_ms", st->declared_ms);
	put_int(o, "gang", st->gang);
	put_int(o, "within_rack", st->within_rack);
	put_int(o, "checkpoints", st->checkpoints);
	put_int(o, "duplicates", st->duplicates);
	put_int(o, "endless", st->endless);
	put_int(o, "filler", st->filler);
	put_int(o, "per_worker_max", st->per_worker_max);
	put_int(o, "absent_max", st->absent_max);
	put_int(o, "latency_target_ms", st->latency_target_ms);
	put_text(o, "label", st->label);
	put_text(o, "data_rack", st->data_rack);
	put_text(o, "image", st->image);
	for (i = 0; i < st->n_after; i++)
		json_array_append_new(after, json_integer(st->after[i]));
	json_object_set_new(o, "after", after);
	return o;
}

json_t *flow_spec_encode(const struct flow_spec *s)
{
	json_t *o = json_object();
	json_t *steps = json_array();
	int32_t i;

	put_text(o, "text", s->text);
	put_int(o, "times", s->times);
	put_int(o, "first_wall_ms", s->first_wall_ms);
	put_int(o, "interval_ms", s->interval_ms);
	for (i = 0; i < s->n_steps; i++)
		json_array_append_new(steps, encode_step(&s->steps[i]));
	json_object_set_new(o, "steps", steps);
	return o;
}

static int64_t get_int(const json_t *o, const char *name)
{
	return json_integer_value(json_object_get(o, name));
}

/* NULL if the member is absent or empty. */
static char *dup_text(const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s && *s ? tg_xstrdup(s) : NULL;
}

static void decode_step(const json_t *o, struct flow_step *st)
{
	const json_t *after = json_object_get(o, "after");
	size_t i;

	st->tasks = (int32_t)get_int(o, "tasks");
	st->shape.cpu_millicores = get_int(o, "cpu");
	st->shape.memory_mb = get_int(o, "memory_mb");
	st->shape.accelerators = get_int(o, "accelerators");
	st->declared_ms = get_int(o, "declared_ms");
	st->gang = get_int(o, "gang");
	st->within_rack = get_int(o, "within_rack");
	st->checkpoints = get_int(o, "checkpoints");
	st->duplicates = get_int(o, "duplicates");
	st->endless = get_int(o, "endless");
	st->filler = get_int(o, "filler");
	st->per_worker_max = (int32_t)get_int(o, "per_worker_max");
	st->absent_max = (int32_t)get_int(o, "absent_max");
	st->latency_target_ms = get_int(o, "latency_target_ms");
	st->label = dup_text(o, "label");
	st->data_rack = dup_text(o, "data_rack");
	st->image = dup_text(o, "image");
	for (i = 0; i < json_array_size(after) && i < FLOW_STEPS_MAX; i++)
		st->after[st->n_after++] =
			(int32_t)json_integer_value(json_array_get(after, i));
}

struct flow_spec *flow_spec_decode(const json_t *j)
{
	const json_t *steps = json_object_get(j, "steps");
	const char *text = json_string_value(json_object_get(j, "text"));
	struct tg_findings f = { 0 };
	struct flow_spec *s;
	int32_t i;

	if (!json_array_size(steps) || json_array_size(steps) > FLOW_STEPS_MAX)
		return NULL;
	s = tg_xcalloc(1, sizeof(*s));
	s->text = tg_xstrdup(text ? text : "");
	s->times = (int32_t)get_int(j, "times");
	s->first_wall_ms = get_int(j, "first_wall_ms");
	s->interval_ms = get_int(j, "interval_ms");
	s->n_steps = (int32_t)json_array_size(steps);
	s->steps = tg_xcalloc((size_t)s->n_steps, sizeof(*s->steps));
	for (i = 0; i < s->n_steps; i++)
		decode_step(json_array_get(steps, (size_t)i), &s->steps[i]);
	flow_spec_check(s, &f);
	if (f.total) {
		flow_spec_free(s);
		s = NULL;
	}
	tg_findings_free(&f);
	return s;
}

void flow_spec_free(struct flow_spec *s)
{
	int32_t i;

	if (!s)
		return;
	for (i = 0; i < s->n_steps; i++) {
		free(s->steps[i].label);
		free(s->steps[i].data_rack);
		free(s->steps[i].image);
	}
	free(s->text);
	free(s->steps);
	free(s);
}
