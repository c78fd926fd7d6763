#include <stdlib.h>
#include <string.h>

#include "place.h"

#define COUNT_MAX 1000000
#define TASKS_MAX 100000
/* 1000 years, so that sums of times in ms stay far from overflow. */
#define SECONDS_MAX 31536000000LL

/* Hash table entry: a name and the line of its first use. */
struct name_entry {
	char *name;
	long line;
	int32_t id;
	UT_hash_handle hh;
};

struct loader {
	struct input *in;
	struct name_entry *worker_names, *job_names;
	size_t cap_workers, cap_jobs, cap_guarantees, cap_faults;
};

static struct name_entry *find_name(struct name_entry *table, const char *name)
{
	struct name_entry *e;

	HASH_FIND_STR(table, name, e);
	return e;
}

static void add_unique_name(struct csv *c, struct name_entry **table,
			    const char *what, const char *name, int32_t id)
{
	struct name_entry *e = find_name(*table, name);

	if (e) {
		csv_error(c, "%s: %.63s is in line %ld already", what, name,
			  e->line);
		return;
	}
	e = tg_xcalloc(1, sizeof(*e));
	e->name = tg_xstrdup(name);
	e->line = c->line;
	e->id = id;
	HASH_ADD_KEYPTR(hh, *table, e->name, strlen(e->name), e);
}

static void free_names(struct name_entry **table)
{
	struct name_entry *e, *next;

	HASH_ITER(hh, *table, e, next) {
		HASH_DEL(*table, e);
		free(e->name);
		free(e);
	}
}

/* Makes room for one more item in an array of @n items. */
static void *grow(void *items, size_t n, size_t *cap, size_t size)
{
	if (n < *cap)
		return items;
	*cap = *cap ? 2 * *cap : 64;
	return tg_xrealloc(items, *cap * size);
}

static int32_t az_id(struct input *in, const char *name, bool add)
{
	int32_t i;

	for (i = 0; i < in->n_azs; i++)
		if (!strcmp(in->azs[i], name))
			return i;
	if (!add)
		return -1;
	in->azs =
		tg_xrealloc(in->azs, (size_t)(in->n_azs + 1) * sizeof(char *));
	in->azs[in->n_azs] = tg_xstrdup(name);
	return in->n_azs++;
}

/*
 * Searches backwards, since the workers of a rack are usually adjacent in the
 * fleet file.
 */
static int32_t rack_id(struct input *in, const struct worker *w)
{
	int32_t i;

	for (i = in->n_workers - 1; i >= 0; i--)
		if (in->workers[i].az == w->az &&
		    !strcmp(in->workers[i].rack, w->rack))
			return in->workers[i].rack_id;
	return in->n_racks++;
}

static void worker_row(struct csv *c, void *arg)
{
	struct loader *r = arg;
	struct input *in = r->in;
	struct worker w = { .up = true };

	w.az_name = tg_xstrdup(csv_name(c, 0, "az"));
	w.az = az_id(in, w.az_name, true);
	w.rack = tg_xstrdup(csv_name(c, 1, "rack"));
	w.name = tg_xstrdup(csv_name(c, 2, "worker"));
	w.capacity[1] = (int32_t)csv_int(c, 3, "cores", 0, COUNT_MAX);
	w.capacity[2] = (int32_t)csv_int(c, 4, "memory_gb", 0, COUNT_MAX);
	w.capacity[0] = (int32_t)csv_int(c, 5, "accelerators", 0, COUNT_MAX);
	w.rack_id = rack_id(in, &w);
	add_unique_name(c, &r->worker_names, "worker", w.name, in->n_workers);
	in->workers = grow(in->workers, (size_t)in->n_workers, &r->cap_workers,
			   sizeof(w));
	in->workers[in->n_workers++] = w;
}

static enum tg_job_class parse_class(struct csv *c, int i)
{
	static const char *const names[] = { "urgent", "guaranteed", "lent" };
	size_t k;

	for (k = 0; k < ARRAY_SIZE(names); k++)
		if (!strcmp(c->field[i], names[k]))
			return (enum tg_job_class)k;
	csv_error(c, "class: \"%.40s\" is not urgent, guaranteed or lent",
		  c->field[i]);
	return TG_CLASS_LENT;
}

static void check_az(struct csv *c, struct input *in, const char *az)
{
	if (tg_name_valid(az) && strcmp(az, "any") != 0 &&
	    az_id(in, az, false) < 0)
		csv_error(c, "az: %s is not in the fleet", az);
}

static void job_row(struct csv *c, void *arg)
{
	struct loader *r = arg;
	struct input *in = r->in;
	struct job j = { .guarantee = -1, .cancel_ms = -1 };

	j.submit_ms = 1000 * csv_int(c, 0, "submit_s", 0, SECONDS_MAX);
	j.name = tg_xstrdup(csv_name(c, 1, "job"));
	j.workspace = tg_xstrdup(csv_name(c, 2, "workspace"));
	j.az = tg_xstrdup(csv_name(c, 3, "az"));
	add_unique_name(c, &r->job_names, "job", j.name, 0);
	check_az(c, in, j.az);
	j.tasks = (int32_t)csv_int(c, 4, "tasks", 1, TASKS_MAX);
	j.per_task[0] =
		(int32_t)csv_int(c, 5, "accelerators_per_task", 0, COUNT_MAX);
	j.per_task[1] = (int32_t)csv_int(c, 6, "cores_per_task", 0, COUNT_MAX);
	j.per_task[2] =
		(int32_t)csv_int(c, 7, "memory_gb_per_task", 0, COUNT_MAX);
	j.declared_ms = 1000 * csv_int(c, 8, "declared_s", 0, SECONDS_MAX);
	j.actual_ms = 1000 * csv_int(c, 9, "actual_s", 1, SECONDS_MAX);
	j.class = parse_class(c, 10);
	if (*c->field[11])
		j.cancel_ms = 1000 * csv_int(c, 11, "cancel_s", 0, SECONDS_MAX);
	if (j.cancel_ms >= 0 && j.cancel_ms < j.submit_ms)
		csv_error(c, "cancel_s: before submit_s");
	in->jobs = grow(in->jobs, in->n_jobs, &r->cap_jobs, sizeof(j));
	in->jobs[in->n_jobs++] = j;
}

static void guarantee_row(struct csv *c, void *arg)
{
	struct loader *r = arg;
	struct input *in = r->in;
	struct guarantee p = { 0 };

	p.workspace = tg_xstrdup(csv_name(c, 0, "workspace"));
	p.az_name = tg_xstrdup(csv_name(c, 1, "az"));
	p.az = az_id(in, p.az_name, false);
	if (p.az < 0)
		csv_error(c, "az: %.63s is not in the fleet", p.az_name);
	p.tasks = (int32_t)csv_int(c, 2, "tasks", 1, TASKS_MAX);
	p.per_task[0] =
		(int32_t)csv_int(c, 3, "accelerators_per_task", 1, COUNT_MAX);
	if (!strcmp(c->field[4], "1") || !strcmp(c->field[4], "true"))
		p.within_rack = true;
	else if (strcmp(c->field[4], "0") != 0 &&
		 strcmp(c->field[4], "false") != 0)
		csv_error(c,
			  "within_rack: \"%.40s\" is not 0, 1, false or true",
			  c->field[4]);
	p.lapses_ms = INT64_MAX;
	if (*c->field[5])
		p.lapses_ms = 1000 * csv_int(c, 5, "lapses_s", 0, SECONDS_MAX);
	in->guarantees = grow(in->guarantees, (size_t)in->n_guarantees,
			      &r->cap_guarantees, sizeof(p));
	in->guarantees[in->n_guarantees++] = p;
}

static void fault_row(struct csv *c, void *arg)
{
	static const char *const names[] = { "down", "up", "fails_all" };
	struct loader *r = arg;
	struct input *in = r->in;
	struct fault f = { 0 };
	const struct name_entry *w;
	size_t i;

	f.at_ms = 1000 * csv_int(c, 0, "at_s", 0, SECONDS_MAX);
	w = find_name(r->worker_names, csv_name(c, 1, "worker"));
	if (w)
		f.worker = w->id;
	else
		csv_error(c, "worker: %.63s is not in the fleet", c->field[1]);
	for (i = 0; i < ARRAY_SIZE(names); i++)
		if (!strcmp(c->field[2], names[i]))
			break;
	if (i == ARRAY_SIZE(names))
		csv_error(c, "what: \"%.40s\" is not down, up or fails_all",
			  c->field[2]);
	f.what = (unsigned int)i;
	in->faults = grow(in->faults, in->n_faults, &r->cap_faults, sizeof(f));
	in->faults[in->n_faults++] = f;
}

/*
 * Sets the cores and memory that a task may use under the guarantee: its
 * accelerators' proportional share, on the worker of the AZ where that share is
 * smallest.
 */
static void set_core_memory_share(struct input *in, struct guarantee *p)
{
	int32_t i;
	int k;

	p->per_task[1] = p->per_task[2] = INT32_MAX;
	for (i = 0; i < in->n_workers; i++) {
		const struct worker *w = &in->workers[i];

		if (w->az != p->az || w->capacity[0] < p->per_task[0])
			continue;
		for (k = 1; k < 3; k++) {
			int64_t share = (int64_t)w->capacity[k] *
				p->per_task[0] / w->capacity[0];

			if (share < p->per_task[k])
				p->per_task[k] = (int32_t)share;
		}
	}
}

void input_load(struct input *in, const struct options *o,
		struct tg_findings *findings)
{
	struct loader r = { .in = in };
	struct csv fleet = { .path = o->fleet,
			     .header = "az,rack,worker,cores,memory_gb,"
				       "accelerators",
			     .findings = findings };
	struct csv jobs = { .path = o->jobs,
			    .header = "submit_s,job,workspace,az,tasks,"
				      "accelerators_per_task,cores_per_task,"
				      "memory_gb_per_task,declared_s,actual_s,"
				      "class,cancel_s",
			    .findings = findings };
	struct csv guarantees = { .path = o->guarantees,
				  .header = "workspace,az,tasks,"
					    "accelerators_per_task,within_rack,"
					    "lapses_s",
				  .findings = findings };
	struct csv faults = { .path = o->faults,
			      .header = "at_s,worker,what",
			      .findings = findings };
	int32_t i;

	csv_read(&fleet, worker_row, &r);
	csv_read(&jobs, job_row, &r);
	if (o->guarantees)
		csv_read(&guarantees, guarantee_row, &r);
	if (o->faults)
		csv_read(&faults, fault_row, &r);
	for (i = 0; i < in->n_guarantees; i++)
		set_core_memory_share(in, &in->guarantees[i]);
	free_names(&r.worker_names);
	free_names(&r.job_names);
}

void input_free(struct input *in)
{
	int32_t i;
	size_t k;

	for (i = 0; i < in->n_workers; i++) {
		free(in->workers[i].name);
		free(in->workers[i].az_name);
		free(in->workers[i].rack);
	}
	for (k = 0; k < in->n_jobs; k++) {
		free(in->jobs[k].name);
		free(in->jobs[k].workspace);
		free(in->jobs[k].az);
		free(in->jobs[k].workers);
	}
	for (i = 0; i < in->n_guarantees; i++) {
		free(in->guarantees[i].workspace);
		free(in->guarantees[i].az_name);
	}
	for (i = 0; i < in->n_azs; i++)
		free(in->azs[i]);
	free(in->workers);
	free(in->jobs);
	free(in->guarantees);
	free(in->faults);
	free(in->azs);
}
