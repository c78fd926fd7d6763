#include <stdio.h>
#include <string.h>

#include "ctl.h"

static const char *get_string(const json_t *v, const char *key)
{
	const char *s = json_string_value(json_object_get(v, key));

	return s ? s : "";
}

static long long get_int(const json_t *v, const char *key)
{
	return json_integer_value(json_object_get(v, key));
}

static void print_shape(const json_t *spec)
{
	if (!json_is_object(spec))
		return;
	printf("shape: %lld x %lld accelerators, %lld cores, %lld GB%s; %s\n",
	       get_int(spec, "tasks"), get_int(spec, "accelerators_per_task"),
	       get_int(spec, "cores_per_task"),
	       get_int(spec, "memory_gb_per_task"),
	       json_is_true(json_object_get(spec, "within_rack")) ?
		       ", within a rack" :
		       "",
	       get_string(spec, "class"));
}

static void print_workers(const json_t *workers)
{
	json_t *w;
	size_t i;

	if (!json_array_size(workers))
		return;
	printf("workers:");
	json_array_foreach(workers, i, w)
		printf(" %s",
		       json_string_value(w) ? json_string_value(w) : "-");
	putchar('\n');
}

static void print_indented(const char *text)
{
	while (*text) {
		size_t n = strcspn(text, "\n");

		printf("  %.*s\n", (int)n, text);
		text += n + (text[n] != '\0');
	}
}

static void print_actions(const json_t *actions)
{
	json_t *a;
	size_t i;

	if (!json_array_size(actions))
		return;
	puts("actions:");
	json_array_foreach(actions, i, a)
		printf("  %s %s\n", get_string(a, "at"),
		       get_string(a, "action"));
}

void ctl_print_job(const json_t *job)
{
	const char *reason = get_string(job, "reason");

	printf("job: %s of %s in %s\n", get_string(job, "job"),
	       get_string(job, "workspace"), get_string(job, "az"));
	printf("state: %s, attempt %lld\n", get_string(job, "state"),
	       get_int(job, "attempt"));
	if (*reason)
		printf("reason: %s\n", reason);
	print_shape(json_object_get(job, "spec"));
	if (!json_object_get(job, "explanation")) {
		print_workers(json_object_get(job, "workers"));
		return;
	}
	puts("explanation:");
	print_indented(get_string(job, "explanation"));
	print_actions(json_object_get(job, "actions"));
}
