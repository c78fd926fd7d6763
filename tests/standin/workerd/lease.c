#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "workerd.h"

/* A task without run_ms runs until it is stopped. */
#define RUN_FOREVER_MS ((int64_t)1 << 50)

static const char *const states[] = { "reserved", "running", "ended" };

/* @at_ms is of the worker; the log has the machine's monotonic clock, which
 * all workers on it share. */
static void log_change(struct board *b, const struct lease *l,
		       const char *state, int64_t at_ms)
{
	json_t *v = json_pack(
		"{s:s, s:I, s:I, s:I, s:I, s:s, s:s*, s:I, s:I}", "job", l->job,
		"attempt", (json_int_t)l->attempt, "index",
		(json_int_t)l->index, "gang_size", (json_int_t)l->gang_size,
		"epoch", (json_int_t)l->epoch, "state", state, "reason",
		l->reason, "progress_ms", (json_int_t)l->progress_ms, "at_ms",
		(json_int_t)(at_ms - b->opts.clock_offset_ms));

	log_file_add(b, "task", v);
	lines_add(&b->tasks, v);
	tg_log(EV_WORKERD_LEASE, "job=%s attempt=%lld index=%lld state=%s",
	       l->job, (long long)l->attempt, (long long)l->index, state);
}

static void end_lease(struct board *b, struct lease *l, const char *reason,
		      int64_t at_ms)
{
	l->state = LEASE_ENDED;
	l->reason = reason;
	b->ended_at_ms = worker_now_ms(b);
	log_change(b, l, "ended", at_ms);
}

static int64_t min_ms(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static void advance_running(struct board *b, struct lease *l, int64_t now_ms)
{
	int64_t until_ms = min_ms(now_ms, l->expires_ms);
	double left_ms = (double)l->run_ms - l->progress_ms;
	double needs_ms = ceil(left_ms * 100.0 / (double)l->percent);

	if (needs_ms <= (double)(until_ms - l->last_ms)) {
		l->progress_ms = (double)l->run_ms;
		end_lease(b, l, "done", l->last_ms + (int64_t)needs_ms);
		return;
	}
	if (until_ms > l->last_ms) {
		l->progress_ms += (double)(until_ms - l->last_ms) *
			(double)l->percent / 100.0;
		l->last_ms = until_ms;
	}
	if (now_ms >= l->expires_ms)
		end_lease(b, l, "expired", l->expires_ms);
}

void leases_advance(struct board *b)
{
	int64_t now_ms = worker_now_ms(b);
	struct lease *l;

	for (l = b->leases; l; l = l->next) {
		if (l->state == LEASE_RUNNING)
			advance_running(b, l, now_ms);
		else if (l->state == LEASE_RESERVED && now_ms >= l->expires_ms)
			end_lease(b, l, "expired", l->expires_ms);
	}
}

size_t leases_active(const struct board *b)
{
	const struct lease *l;
	size_t n = 0;

	for (l = b->leases; l; l = l->next)
		n += l->state != LEASE_ENDED;
	return n;
}

json_t *leases_json(const struct board *b)
{
	json_t *list = json_array();
	const struct lease *l;

	for (l = b->leases; l; l = l->next)
		json_array_append_new(
			list,
			json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:s, s:s,"
				  " s:s, s:I, s:I, s:I, s:s, s:I}",
				  "job", l->job, "attempt",
				  (json_int_t)l->attempt, "index",
				  (json_int_t)l->index, "gang_size",
				  (json_int_t)l->gang_size, "epoch",
				  (json_int_t)l->epoch, "expires_ms",
				  (json_int_t)l->expires_ms, "state",
				  states[l->state], "workspace", l->workspace,
				  "class", l->class, "accelerators",
				  (json_int_t)l->accelerators, "cores",
				  (json_int_t)l->cores, "memory_gb",
				  (json_int_t)l->memory_gb, "checkpoint",
				  l->checkpoint, "progress_ms",
				  (json_int_t)l->progress_ms));
	return list;
}

struct capacity {
	int64_t accelerators, cores, memory_gb;
};

static struct capacity free_capacity(const struct board *b)
{
	struct capacity c = { b->opts.accelerators, b->opts.cores,
			      b->opts.memory_gb };
	const struct lease *l;

	for (l = b->leases; l; l = l->next) {
		if (l->state == LEASE_ENDED)
			continue;
		c.accelerators -= l->accelerators;
		c.cores -= l->cores;
		c.memory_gb -= l->memory_gb;
	}
	return c;
}

json_t *leases_free_json(const struct board *b)
{
	struct capacity c = free_capacity(b);

	return json_pack("{s:I, s:I, s:I}", "cores", (json_int_t)c.cores,
			 "memory_gb", (json_int_t)c.memory_gb, "accelerators",
			 (json_int_t)c.accelerators);
}

json_t *leases_ended_json(const struct board *b)
{
	json_t *list = json_array();
	const struct lease *l;

	for (l = b->leases; l; l = l->next)
		if (l->state == LEASE_ENDED)
			json_array_append_new(
				list,
				json_pack("{s:s, s:I, s:I, s:s, s:s, s:I}",
					  "job", l->job, "attempt",
					  (json_int_t)l->attempt, "index",
					  (json_int_t)l->index, "reason",
					  l->reason, "checkpoint",
					  l->checkpoint, "progress_ms",
					  (json_int_t)l->progress_ms));
	return list;
}

json_t *leases_usage_json(const struct board *b, int64_t after)
{
	json_t *list = json_array();
	const struct lease *l;

	for (l = b->leases; l; l = l->next)
		if (l->state == LEASE_RUNNING && l->usage_seq > after)
			json_array_append_new(
				list,
				json_pack("{s:s, s:I, s:I, s:I, s:I, s:f}",
					  "job", l->job, "attempt",
					  (json_int_t)l->attempt, "index",
					  (json_int_t)l->index, "accelerators",
					  (json_int_t)l->accelerators,
					  "memory_gb", (json_int_t)l->memory_gb,
					  "cores",
					  (double)(l->cores * l->percent) /
						  100.0));
	return list;
}

static int64_t get_int(const json_t *v, const char *name)
{
	return json_integer_value(json_object_get(v, name));
}

static void get_text(const json_t *v, const char *name, char *out, size_t size)
{
	const char *s = json_string_value(json_object_get(v, name));

	tg_strlcpy(out, s ? s : "", size);
}

static struct lease *find_lease(struct board *b, const json_t *op)
{
	const char *job = json_string_value(json_object_get(op, "job"));
	struct lease *l;

	/* renew_all names none. */
	for (l = job ? b->leases : NULL; l; l = l->next)
		if (!strcmp(l->job, job) && l->index == get_int(op, "index") &&
		    l->attempt == get_int(op, "attempt"))
			return l;
	return NULL;
}

/* A checkpoint ends in the run time that it holds: ckpt/J/1/0/60000 */
static double checkpoint_progress(const char *name)
{
	const char *slash = strrchr(name, '/');
	long long ms = slash ? strtoll(slash + 1, NULL, 10) : 0;

	return ms > 0 ? (double)ms : 0;
}

static json_t *fail(struct board *b, const json_t *op, const char *error)
{
	lines_add(&b->refused,
		  json_pack("{s:O, s:O, s:O, s:O, s:s, s:I}", "op",
			    json_object_get(op, "op"), "job",
			    json_object_get(op, "job"), "attempt",
			    json_object_get(op, "attempt"), "index",
			    json_object_get(op, "index"), "error", error,
			    "at_ms", (json_int_t)tg_now_ms()));
	return json_pack("{s:b, s:s}", "ok", 0, "error", error);
}

static json_t *succeed(const struct lease *l)
{
	return json_pack("{s:b, s:s, s:I, s:s}", "ok", 1, "state",
			 states[l->state], "expires_ms",
			 (json_int_t)l->expires_ms, "checkpoint",
			 l->checkpoint);
}

static json_t *succeed_absent(void)
{
	return json_pack("{s:b, s:s}", "ok", 1, "state", "absent");
}

static void add_lease(struct board *b, const json_t *op)
{
	const json_t *task = json_object_get(op, "task");
	struct lease *l = tg_xcalloc(1, sizeof(*l));

	get_text(op, "job", l->job, sizeof(l->job));
	l->attempt = get_int(op, "attempt");
	l->index = get_int(op, "index");
	l->gang_size = get_int(op, "gang_size");
	l->epoch = b->epoch;
	l->expires_ms = get_int(op, "expires_ms");
	l->accelerators = get_int(op, "accelerators");
	l->cores = get_int(op, "cores");
	l->memory_gb = get_int(op, "memory_gb");
	get_text(op, "workspace", l->workspace, sizeof(l->workspace));
	get_text(op, "class", l->class, sizeof(l->class));
	get_text(op, "checkpoint", l->checkpoint, sizeof(l->checkpoint));
	l->run_ms = json_is_integer(json_object_get(task, "run_ms")) ?
		get_int(task, "run_ms") :
		RUN_FOREVER_MS;
	l->fail = json_is_true(json_object_get(task, "fail"));
	l->percent = 100;
	l->progress_ms = checkpoint_progress(l->checkpoint);
	l->next = b->leases;
	b->leases = l;
	log_change(b, l, "reserved", worker_now_ms(b));
}

static bool has_room(const struct board *b, const json_t *op)
{
	struct capacity c = free_capacity(b);

	return get_int(op, "accelerators") <= c.accelerators &&
		get_int(op, "cores") <= c.cores &&
		get_int(op, "memory_gb") <= c.memory_gb;
}

static json_t *reserve(struct board *b, const json_t *op, struct lease *l)
{
	int64_t expires_ms = get_int(op, "expires_ms");

	if (l && l->state == LEASE_ENDED)
		return fail(b, op, "expired");
	if (l) {
		if (expires_ms > l->expires_ms)
			l->expires_ms = expires_ms;
		return succeed(l);
	}
	if (worker_draining(b))
		return fail(b, op, "draining");
	if (expires_ms <= worker_now_ms(b))
		return fail(b, op, "expired");
	if (!has_room(b, op))
		return fail(b, op, "no_capacity");
	add_lease(b, op);
	return succeed(b->leases);
}

static json_t *start(struct board *b, const json_t *op, struct lease *l)
{
	if (!l || l->state == LEASE_ENDED)
		return fail(b, op, "no_lease");
	if (l->state == LEASE_RUNNING)
		return succeed(l);
	if (b->faults.refuse_starts)
		return fail(b, op, "start_failed");
	l->last_ms = worker_now_ms(b);
	if (l->fail || b->faults.fail_tasks) {
		end_lease(b, l, "failed", l->last_ms);
		return fail(b, op, "start_failed");
	}
	l->state = LEASE_RUNNING;
	l->usage_seq = ++b->usage_seq;
	log_change(b, l, "running", l->last_ms);
	return succeed(l);
}

static json_t *renew(struct board *b, const json_t *op, struct lease *l)
{
	int64_t expires_ms = get_int(op, "expires_ms");

	if (!l || l->state == LEASE_ENDED)
		return fail(b, op, "no_lease");
	b->renewals++;
	if (expires_ms > l->expires_ms)
		l->expires_ms = expires_ms;
	return succeed(l);
}

/* The sum does not depend on the order in which leases are kept. */
static uint64_t running_digest(const struct board *b, int64_t *count)
{
	char text[JOB_MAX + 48];
	const struct lease *l;
	uint64_t sum = 0;
	int n;

	*count = 0;
	for (l = b->leases; l; l = l->next) {
		if (l->state != LEASE_RUNNING)
			continue;
		n = snprintf(text, sizeof(text), "%s %lld %lld", l->job,
			     (long long)l->attempt, (long long)l->index);
		sum += tg_hash64(text, (size_t)n);
		++*count;
	}
	return sum;
}

static json_t *renew_all(struct board *b, const json_t *op, struct lease *l)
{
	int64_t expires_ms = get_int(op, "expires_ms"), count;
	char digest[17];

	snprintf(digest, sizeof(digest), "%016llx",
		 (unsigned long long)running_digest(b, &count));
	if (count != get_int(op, "count") ||
	    strcmp(digest, json_string_value(json_object_get(op, "digest"))) !=
		    0) {
		lines_add(&b->refused,
			  json_pack("{s:s, s:s, s:I}", "op", "renew_all",
				    "error", "mismatch", "at_ms",
				    (json_int_t)tg_now_ms()));
		return json_pack("{s:b, s:s, s:o}", "ok", 0, "error",
				 "mismatch", "leases", leases_json(b));
	}
	for (l = b->leases; l; l = l->next)
		if (l->state == LEASE_RUNNING && expires_ms > l->expires_ms)
			l->expires_ms = expires_ms;
	b->renewals_all++;
	return json_pack("{s:b, s:I}", "ok", 1, "renewed", (json_int_t)count);
}

static json_t *checkpoint(struct board *b, const json_t *op, struct lease *l)
{
	if (!l || l->state != LEASE_RUNNING)
		return fail(b, op, "no_lease");
	snprintf(l->checkpoint, sizeof(l->checkpoint), "ckpt/%s/%lld/%lld/%lld",
		 l->job, (long long)l->attempt, (long long)l->index,
		 (long long)l->progress_ms);
	return succeed(l);
}

static json_t *throttle(struct board *b, const json_t *op, struct lease *l)
{
	if (!l || l->state == LEASE_ENDED)
		return fail(b, op, "no_lease");
	l->percent = get_int(op, "percent");
	l->usage_seq = ++b->usage_seq;
	return succeed(l);
}

static json_t *stop(struct board *b, const json_t *op, struct lease *l)
{
	(void)op;
	if (!l)
		return succeed_absent();
	if (l->state != LEASE_ENDED)
		end_lease(b, l, "stopped", worker_now_ms(b));
	return succeed(l);
}

static json_t *release(struct board *b, const json_t *op, struct lease *l)
{
	struct lease **p = &b->leases;

	if (!l)
		return succeed_absent();
	if (l->state == LEASE_RUNNING)
		return fail(b, op, "running");
	while (*p != l)
		p = &(*p)->next;
	*p = l->next;
	log_change(b, l, "released", worker_now_ms(b));
	free(l);
	return succeed_absent();
}

json_t *lease_op(struct board *b, const json_t *op)
{
	static const struct {
		const char *name;
		json_t *(*run)(struct board *b, const json_t *op,
			       struct lease *l);
	} ops[] = {
		{ "reserve", reserve },
		{ "start", start },
		{ "renew", renew },
		{ "renew_all", renew_all },
		{ "checkpoint", checkpoint },
		{ "throttle", throttle },
		{ "stop", stop },
		{ "release", release },
	};
	const char *name = json_string_value(json_object_get(op, "op"));
	size_t i;

	for (i = 0; i < ARRAY_SIZE(ops); i++)
		if (!strcmp(ops[i].name, name))
			return ops[i].run(b, op, find_lease(b, op));
	return fail(b, op, "unknown_op");
}
