#include <string.h>

#include "workerd.h"

#define OPS_MAX 256
/* Far above any machine; keeps sums of capacity within an integer. */
#define AMOUNT_MAX ((json_int_t)1 << 40)

static void reply(struct board *b, struct evhttp_request *req, int status,
		  json_t *body)
{
	json_object_set_new(body, "worker", json_string(b->opts.name));
	json_object_set_new(body, "boot", json_string(b->boot));
	json_object_set_new(body, "epoch", json_integer(b->epoch));
	json_object_set_new(body, "draining", json_boolean(worker_draining(b)));
	json_object_set_new(body, "now_ms", json_integer(worker_now_ms(b)));
	tg_http_reply_json(req, status, body);
}

/* Every call starts here, so that nothing is served from an expired lease. */
static bool enter(struct board *b, struct evhttp_request *req)
{
	leases_advance(b);
	if (!b->faults.cut)
		return true;
	close_without_reply(b->base, req, NO_REPLY_MS, NULL, NULL);
	return false;
}

static json_t *inventory(const struct board *b)
{
	return json_pack("{s:o, s:o}", "leases", leases_json(b), "free",
			 leases_free_json(b));
}

static void refuse_batch(struct board *b, struct evhttp_request *req,
			 const char *error, int64_t epoch)
{
	lines_add(&b->refused,
		  json_pack("{s:s, s:I, s:s, s:I}", "op", "batch", "epoch",
			    (json_int_t)epoch, "error", error, "at_ms",
			    (json_int_t)tg_now_ms()));
	reply(b, req, 409, json_pack("{s:s}", "error", error));
}

static void refuse_invalid(struct board *b, struct evhttp_request *req,
			   const char *place, const char *text)
{
	reply(b, req, 400,
	      json_pack("{s:s, s:s}", "error", text, "place", place));
}

/* Also for a command with a higher epoch than the installed one: its sender
 * holds that epoch, and older ones must be refused from now on. */
static bool take_epoch(struct board *b, struct evhttp_request *req,
		       int64_t epoch)
{
	if (epoch < b->epoch) {
		refuse_batch(b, req, "stale_epoch", epoch);
		return false;
	}
	b->epoch = epoch;
	return true;
}

void agent_epoch(struct evhttp_request *req, void *arg)
{
	struct board *b = arg;
	const json_t *epoch;
	const char *az;
	json_t *v;

	if (!enter(b, req))
		return;
	v = tg_http_parse_json_body(req);
	if (!v)
		return;
	epoch = json_object_get(v, "epoch");
	az = json_string_value(json_object_get(v, "az"));
	if (!json_is_integer(epoch) || json_integer_value(epoch) < 1)
		refuse_invalid(b, req, "/epoch", "not a positive integer");
	else if (!az || strcmp(az, b->opts.az) != 0)
		refuse_invalid(b, req, "/az", "not the az of this worker");
	else if (!json_is_string(json_object_get(v, "holder")))
		refuse_invalid(b, req, "/holder", "missing");
	else if (take_epoch(b, req, json_integer_value(epoch)))
		reply(b, req, 200, inventory(b));
	json_decref(v);
}

void agent_state(struct evhttp_request *req, void *arg)
{
	if (enter(arg, req))
		reply(arg, req, 200, inventory(arg));
}

void agent_probe(struct evhttp_request *req, void *arg)
{
	struct board *b = arg;
	size_t open = tg_http_server_connections(b->service);

	if (!enter(b, req))
		return;
	reply(b, req, 200,
	      json_pack("{s:I, s:I, s:I, s:I}", "slots",
			(json_int_t)b->opts.slots, "in_use",
			(json_int_t)b->in_use, "connections",
			(json_int_t)b->opts.connections, "connections_in_use",
			(json_int_t)open));
}

static bool is_within(const json_t *op, const char *name, json_int_t min,
		      json_int_t max)
{
	const json_t *v = json_object_get(op, name);
	json_int_t n = json_integer_value(v);

	return json_is_integer(v) && n >= min && n <= max;
}

static bool is_text(const json_t *op, const char *name, size_t min, size_t max)
{
	const json_t *v = json_object_get(op, name);
	size_t n = json_string_length(v);

	return v ? json_is_string(v) && n >= min && n <= max : !min;
}

static const char *find_reserve_fault(const json_t *op)
{
	const json_t *task = json_object_get(op, "task");
	const json_t *run_ms = json_object_get(task, "run_ms");

	if (!is_within(op, "gang_size", 1, 1 << 20))
		return "gang_size";
	if (!is_within(op, "expires_ms", 0, INT64_MAX / 2))
		return "expires_ms";
	if (!is_within(op, "accelerators", 0, AMOUNT_MAX))
		return "accelerators";
	if (!is_within(op, "cores", 0, AMOUNT_MAX))
		return "cores";
	if (!is_within(op, "memory_gb", 0, AMOUNT_MAX))
		return "memory_gb";
	if (!is_text(op, "workspace", 0, TG_NAME_MAX))
		return "workspace";
	if (!is_text(op, "class", 0, TG_NAME_MAX))
		return "class";
	if (!is_text(op, "checkpoint", 0, CHECKPOINT_MAX))
		return "checkpoint";
	if (run_ms && !is_within(task, "run_ms", 0, AMOUNT_MAX))
		return "task/run_ms";
	return NULL;
}

static const char *find_renew_all_fault(const json_t *op)
{
	const char *digest = json_string_value(json_object_get(op, "digest"));

	if (!is_within(op, "count", 0, AMOUNT_MAX))
		return "count";
	if (!digest || strlen(digest) != 16 ||
	    strspn(digest, "0123456789abcdef") != 16)
		return "digest";
	if (!is_within(op, "expires_ms", 0, INT64_MAX / 2))
		return "expires_ms";
	return NULL;
}

/* The field of an operation that is invalid, or NULL. */
static const char *find_op_fault(const struct board *b, const json_t *op)
{
	static const char names[] =
		" reserve start renew renew_all checkpoint throttle stop release ";
	char name[16];

	if (!is_text(op, "op", 1, sizeof(name) - 3))
		return "op";
	snprintf(name, sizeof(name), " %s ",
		 json_string_value(json_object_get(op, "op")));
	if (!strstr(names, name))
		return "op";
	if (!strcmp(name, " renew_all "))
		return b->faults.no_renew_all ? "op" : find_renew_all_fault(op);
	if (!is_text(op, "job", 1, JOB_MAX))
		return "job";
	if (!is_within(op, "attempt", 1, AMOUNT_MAX))
		return "attempt";
	if (!is_within(op, "index", 0, 1 << 20))
		return "index";
	if (!strcmp(name, " reserve "))
		return find_reserve_fault(op);
	if (!strcmp(name, " renew ") &&
	    !is_within(op, "expires_ms", 0, INT64_MAX / 2))
		return "expires_ms";
	if (!strcmp(name, " throttle ") && !is_within(op, "percent", 1, 100))
		return "percent";
	return NULL;
}

/* All operations are checked before the first one is carried out. */
static bool check_commands(const struct board *b, const json_t *v, char *place,
			   size_t size)
{
	const json_t *ops = json_object_get(v, "ops"), *op;
	const char *field;
	size_t i;

	snprintf(place, size, "/epoch");
	if (!is_within(v, "epoch", 1, INT64_MAX))
		return false;
	snprintf(place, size, "/boot");
	if (!is_text(v, "boot", 1, 64))
		return false;
	snprintf(place, size, "/usage_after");
	if (json_object_get(v, "usage_after") &&
	    !is_within(v, "usage_after", 0, AMOUNT_MAX))
		return false;
	snprintf(place, size, "/ops");
	if (!json_is_array(ops) || json_array_size(ops) > OPS_MAX)
		return false;
	json_array_foreach(ops, i, op) {
		field = find_op_fault(b, op);
		if (!field)
			continue;
		snprintf(place, size, "/ops/%zu/%s", i, field);
		return false;
	}
	return true;
}

static void run_commands(struct board *b, struct evhttp_request *req,
			 const json_t *v)
{
	int64_t after = json_integer_value(json_object_get(v, "usage_after"));
	int64_t renewals_all = b->renewals_all;
	json_t *results = json_array(), *op;
	size_t i;

	json_array_foreach(json_object_get(v, "ops"), i, op) {
		json_array_append_new(results, lease_op(b, op));
	}
	/* A task without any run time is done at once. */
	leases_advance(b);
	if (b->faults.lose_renewals && b->renewals_all > renewals_all) {
		json_decref(results);
		close_without_reply(b->base, req, 0, NULL, NULL);
		return;
	}
	reply(b, req, 200,
	      json_pack("{s:o, s:o, s:o, s:I}", "results", results, "ended",
			leases_ended_json(b), "usage",
			leases_usage_json(b, after), "usage_seq",
			(json_int_t)b->usage_seq));
}

void agent_commands(struct evhttp_request *req, void *arg)
{
	struct board *b = arg;
	char place[64];
	int64_t epoch;
	json_t *v;

	if (!enter(b, req))
		return;
	v = tg_http_parse_json_body(req);
	if (!v)
		return;
	epoch = json_integer_value(json_object_get(v, "epoch"));
	if (!check_commands(b, v, place, sizeof(place)))
		refuse_invalid(b, req, place, "missing or invalid");
	else if (epoch < b->epoch)
		refuse_batch(b, req, "stale_epoch", epoch);
	else if (strcmp(json_string_value(json_object_get(v, "boot")),
			b->boot) != 0)
		refuse_batch(b, req, "wrong_boot", epoch);
	else if (take_epoch(b, req, epoch))
		run_commands(b, req, v);
	json_decref(v);
}
