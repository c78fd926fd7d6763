#include <stdio.h>
#include <string.h>

#include "ctl.h"

static const char *text_of(const json_t *v, const char *key)
{
	const char *s = json_string_value(json_object_get(v, key));

	return s ? s : "";
}

static long long number_of(const json_t *v, const char *key)
{
	return json_integer_value(json_object_get(v, key));
}

static void print_shape(const json_t *spec)
{
	if (!json_is_object(spec))
		return;
	printf("shape: %lld x %lld accelerators, %lld cores, %lld GB%s; %s\n",
	       number_of(spec, "tasks"),
	       number_of(spec, "accelerators_per_task"),
	       number_of(spec, "cores_per_task"),
	       number_of(spec, "memory_gb_per_task"),
	       json_is_true(json_object_get(spec, "within_rack")) ?
		       ", within a rack" :
		       "",
	       text_of(spec, "class"));
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

static void print_lines(const char *text)
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
		printf("  %s %s\n", text_of(a, "at"), text_of(a, "action"));
}

void ctl_print_job(const json_t *job)
{
	const char *reason = text_of(job, "reason");

	printf("job: %s of %s in %s\n", text_of(job, "job"),
	       text_of(job, "workspace"), text_of(job, "az"));
	printf("state: %s, attempt %lld\n", text_of(job, "state"),
	       number_of(job, "attempt"));
	if (*reason)
		printf("reason: %s\n", reason);
	print_shape(json_object_get(job, "spec"));
	if (!json_object_get(job, "explanation")) {
		print_workers(json_object_get(job, "workers"));
		return;
	}
	puts("explanation:");
	print_lines(text_of(job, "explanation"));
	print_actions(json_object_get(job, "actions"));
}
