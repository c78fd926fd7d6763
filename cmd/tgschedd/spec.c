#include <string.h>

#include "spec.h"

/* Limit of the size of a gang, from docs/design.md section 1. */
#define TASKS_MAX 1024
#define ACCELERATORS_MAX 1024
#define CORES_MAX 4096
#define MEMORY_GB_MAX 65536
#define DECLARED_MS_MAX (60LL * 24 * 3600 * 1000)
#define DECLARED_MS_DEFAULT (3600LL * 1000)
#define TASK_BYTES_MAX 16384

static const char *const class_names[] = { "urgent", "guaranteed", "lent" };

static const char *const fields[] = {
	"workspace",	  "job",
	"class",	  "az",
	"tasks",	  "accelerators_per_task",
	"cores_per_task", "memory_gb_per_task",
	"within_rack",	  "declared_ms",
	"task",
};

static bool is_known_field(const char *key)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(fields); i++)
		if (!strcmp(fields[i], key))
			return true;
	return false;
}

static void check_fields(const json_t *in, struct tg_findings *f)
{
	const char *key;
	json_t *v;

	json_object_foreach((json_t *)in, key, v) {
		char place[80];

		if (is_known_field(key))
			continue;
		snprintf(place, sizeof(place), "/%.60s", key);
		tg_findings_add(f, place, "unknown field");
	}
}

static int64_t read_int(const json_t *in, const char *key, int64_t min,
			int64_t max, int64_t def, struct tg_findings *f)
{
	const json_t *v = json_object_get(in, key);
	char place[80];

	if (!v && def >= min)
		return def;
	snprintf(place, sizeof(place), "/%s", key);
	if (!v)
		tg_findings_add(f, place, "missing");
	else if (!json_is_integer(v))
		tg_findings_add(f, place, "not a whole number");
	else if (json_integer_value(v) < min || json_integer_value(v) > max)
		tg_findings_add(f, place, "%lld is not within %lld..%lld",
				(long long)json_integer_value(v),
				(long long)min, (long long)max);
	else
		return json_integer_value(v);
	return min;
}

static void read_name(const json_t *in, const char *key, char *out,
		      struct tg_findings *f)
{
	const char *s = json_string_value(json_object_get(in, key));
	char place[80];

	if (s && tg_name_valid(s)) {
		tg_strlcpy(out, s, TG_NAME_MAX + 1);
		return;
	}
	snprintf(place, sizeof(place), "/%s", key);
	tg_findings_add(f, place, s ? "not a valid name" : "missing");
}

static void read_class(const json_t *in, struct job_spec *spec,
		       struct tg_findings *f)
{
	const json_t *v = json_object_get(in, "class");
	const char *s = v ? json_string_value(v) : "lent";
	size_t i;

	for (i = 0; s && i < ARRAY_SIZE(class_names); i++)
		if (!strcmp(s, class_names[i])) {
			spec->class = (enum tg_job_class)i;
			return;
		}
	tg_findings_add(f, "/class", "not urgent, guaranteed or lent");
}

static void check_az(const json_t *in, const char *az, struct tg_findings *f)
{
	const json_t *v = json_object_get(in, "az");
	const char *s = v ? json_string_value(v) : "any";

	if (!s)
		tg_findings_add(f, "/az", "not a text");
	else if (strcmp(s, "any") != 0 && strcmp(s, az) != 0)
		tg_findings_add(f, "/az", "this scheduler serves %s", az);
}

static bool read_within_rack(const json_t *in, struct tg_findings *f)
{
	const json_t *v = json_object_get(in, "within_rack");

	if (v && !json_is_boolean(v))
		tg_findings_add(f, "/within_rack", "neither true nor false");
	return json_is_true(v);
}

static void check_task(const json_t *in, struct tg_findings *f)
{
	const json_t *v = json_object_get(in, "task");

	if (v && !json_is_object(v))
		tg_findings_add(f, "/task", "not an object");
	else if (v && json_dumpb(v, NULL, 0, JSON_COMPACT) > TASK_BYTES_MAX)
		tg_findings_add(f, "/task", "longer than %d bytes",
				TASK_BYTES_MAX);
}

static json_t *normalize_spec(const json_t *in, const char *az,
			      const struct job_spec *s)
{
	json_t *task = json_object_get(in, "task");

	return json_pack(
		"{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:b, s:I, s:o}",
		"workspace", s->workspace, "job", s->job, "class",
		class_names[s->class], "az", az, "tasks", s->tasks,
		"accelerators_per_task", s->accelerators, "cores_per_task",
		s->cores, "memory_gb_per_task", s->memory_gb, "within_rack",
		s->within_rack, "declared_ms", (json_int_t)s->declared_ms,
		"task", task ? json_incref(task) : json_object());
}

json_t *spec_parse(const json_t *in, const char *az, struct job_spec *spec,
		   struct tg_findings *f)
{
	size_t findings_before = f->total;

	memset(spec, 0, sizeof(*spec));
	if (!json_is_object(in)) {
		tg_findings_add(f, "/", "not an object");
		return NULL;
	}
	check_fields(in, f);
	read_name(in, "workspace", spec->workspace, f);
	read_name(in, "job", spec->job, f);
	read_class(in, spec, f);
	check_az(in, az, f);
	spec->tasks = (int32_t)read_int(in, "tasks", 1, TASKS_MAX, 0, f);
	spec->accelerators = (int32_t)read_int(in, "accelerators_per_task", 0,
					       ACCELERATORS_MAX, 0, f);
	spec->cores =
		(int32_t)read_int(in, "cores_per_task", 0, CORES_MAX, 0, f);
	spec->memory_gb = (int32_t)read_int(in, "memory_gb_per_task", 0,
					    MEMORY_GB_MAX, 0, f);
	spec->declared_ms = read_int(in, "declared_ms", 1, DECLARED_MS_MAX,
				     DECLARED_MS_DEFAULT, f);
	spec->within_rack = read_within_rack(in, f);
	check_task(in, f);
	return f->total == findings_before ? normalize_spec(in, az, spec) :
					     NULL;
}

void spec_to_fleet(const struct job *j, const char *az, struct tg_job_spec *out)
{
	const struct job_spec *s = &j->spec;

	*out = (struct tg_job_spec){
		.name = s->job,
		.workspace = s->workspace,
		.az = az,
		.class = s->class,
		.tasks = s->tasks,
		.accelerators_per_task = s->accelerators,
		.cores_per_task = s->cores,
		.memory_gb_per_task = s->memory_gb,
		.within_rack = s->within_rack,
		.declared_ms = s->declared_ms,
		.submitted_ms =
			tg_now_ms() - (tg_wall_ms() - j->submitted_wall_ms),
	};
}
