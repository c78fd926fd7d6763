#include <stdlib.h>
#include <string.h>

#include "../common/standin.h"
#include "sited.h"

#define PROG "sited"
/* The largest document that a read of the store returns is 3 MiB. */
#define CONTROL_BODY_BYTES (4 << 20)

struct board board;

static const struct tg_setting settings[] = {
	TG_SETTING(opts, "http-addr", TG_SET_ADDR, "127.0.0.1:0", 0, 0, false,
		   "address of the control calls", http_addr),
	TG_SETTING(opts, "stores", TG_SET_INT, "2", 1, STORES_MAX, false,
		   "addresses of the store", stores),
	TG_SETTING(opts, "workers", TG_SET_INT, "4", 0, WORKERS_MAX, false,
		   "number of workers", workers),
	TG_SETTING(opts, "accelerators", TG_SET_INT, "8", 0, 1000, false,
		   "of a worker", accelerators),
	TG_SETTING(opts, "memory-mb", TG_SET_INT, "262144", 0, 1 << 30, false,
		   "of a worker", memory_mb),
	TG_SETTING(opts, "rack-workers", TG_SET_INT, "0", 0, WORKERS_MAX, false,
		   "workers of a rack, 0 for all", rack_workers),
	TG_SETTING(opts, "service", TG_SET_STRING, "svc", 0, 0, false,
		   "service of the workers", service),
	TG_SETTING(opts, "zone", TG_SET_STRING, "a", 0, 0, false,
		   "zone of the workers", zone),
	TG_SETTING(opts, "kind", TG_SET_STRING, "kind", 0, 0, false,
		   "first label of the workers", kind),
	TG_SETTING(opts, "rack-prefix", TG_SET_STRING, "r", 0, 0, false,
		   "names of racks without their numbers", rack_prefix),
	TG_SETTING(opts, "worker-prefix", TG_SET_STRING, "w", 0, 0, false,
		   "ids of workers without their numbers", worker_prefix),
	TG_SETTING(opts, "hold-max-ms", TG_SET_INT, "10000", 1, 100000, false,
		   "longest lease", hold_max_ms),
	TG_SETTING(opts, "clock-ms", TG_SET_INT, "0", 0, 1 << 30, false,
		   "clock of a worker's first process; later ones begin at 0",
		   clock_ms),
	TG_SETTING(opts, "stop-ms", TG_SET_INT, "200", 0, 10000, false,
		   "time that a stop takes", stop_ms),
	TG_SETTING(opts, "row-bytes", TG_SET_INT, "65536", 1, 1 << 30, false,
		   "largest value of a row that a transaction writes",
		   row_bytes),
	TG_SETTING(opts, "heartbeat-ms", TG_SET_INT, "500", 10, 100000, false,
		   "time between two heartbeats of a worker", heartbeat_ms),
	TG_SETTING(opts, "evacuate-ms", TG_SET_INT, "5000", 0, 100000, false,
		   "time until the evacuation of a zone is in force",
		   evacuate_ms),
	TG_SETTING(opts, "log-level", TG_SET_STRING, "warn", 0, 0, false,
		   "debug, info, warn or error", log_level),
	{ .flag = NULL },
};

static void reply_ok(struct evhttp_request *req)
{
	tg_http_reply_json(req, 200, json_object());
}

/* POST /standin/config: the operators' document */
static void set_config(struct evhttp_request *req, void *arg)
{
	json_t *body = tg_http_parse_json_body(req);
	char *text;

	(void)arg;
	if (!body)
		return;
	text = json_dumps(body, JSON_COMPACT);
	store_put("op", "config", text);
	free(text);
	json_decref(body);
	reply_ok(req);
}

/*
 * POST /standin/row?table=T&key=K: a row of another writer, in part=P if there
 * is one; with remove=1 it is deleted
 */
static void set_row(struct evhttp_request *req, void *arg)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	char *table = tg_http_query_param(req, "table");
	char *key = tg_http_query_param(req, "key");
	char *part = tg_http_query_param(req, "part");
	char *remove = tg_http_query_param(req, "remove");
	size_t n = evbuffer_get_length(in);
	char *text = tg_xcalloc(1, n + 1);

	(void)arg;
	evbuffer_copyout(in, text, n);
	if (remove)
		store_delete(table ? table : "", key ? key : "");
	else
		store_put_in(table ? table : "", part ? part : "",
			     key ? key : "", text);
	free(part);
	free(remove);
	free(text);
	free(table);
	free(key);
	reply_ok(req);
}

/*
 * POST /standin/store?door=N&mode=M, all doors without N; "forget";
 * store?reject=TABLE/KEY: transactions that write this row are refused; * for
 * all transactions; store?keep=TABLE/KEY: deletions of this row are answered
 * with 503
 */
static void set_store(struct evhttp_request *req, void *arg)
{
	char *door = tg_http_query_param(req, "door");
	char *mode = tg_http_query_param(req, "mode");
	char *reject = tg_http_query_param(req, "reject");
	char *keep = tg_http_query_param(req, "keep");
	int i;

	(void)arg;
	if (reject)
		tg_strlcpy(board.rejected, reject, sizeof(board.rejected));
	else if (keep)
		tg_strlcpy(board.kept_row, keep, sizeof(board.kept_row));
	else if (mode && !strcmp(mode, "forget"))
		board.history_from = board.ver + 1;
	else
		for (i = 0; i < board.opts.stores; i++)
			if (!door || atoi(door) == i)
				tg_strlcpy(board.doors[i].mode,
					   mode ? mode : "ok",
					   sizeof(board.doors[i].mode));
	free(door);
	free(mode);
	free(reject);
	free(keep);
	reply_ok(req);
}

/* Whether a call to a worker is no fault. */
static bool is_planned(const char *mode)
{
	static const char *const modes[] = { "drain", "leave", "linger",
					     "back",  "size",  "clock",
					     "step",  "late",  "zone" };
	size_t i;

	for (i = 0; i < ARRAY_SIZE(modes); i++)
		if (!strncmp(mode, modes[i], strlen(modes[i])))
			return true;
	return false;
}

/*
 * POST /standin/fault?begin=NAME, end=NAME: a fault that the stand-in doesn't
 * see, for instance of a process; no job is judged for its waiting meanwhile
 */
static void set_fault(struct evhttp_request *req, void *arg)
{
	char *begin = tg_http_query_param(req, "begin");
	char *end = tg_http_query_param(req, "end");
	int i, unused = 0;

	(void)arg;
	board.disturbed_ms = tg_now_ms();
	for (i = FAULTS_MAX - 1; i >= 0; i--) {
		if ((begin && !strcmp(board.faults[i], begin)) ||
		    (end && !strcmp(board.faults[i], end)))
			*board.faults[i] = '\0';
		if (!*board.faults[i])
			unused = i;
	}
	if (begin)
		tg_strlcpy(board.faults[unused], begin,
			   sizeof(board.faults[unused]));
	free(begin);
	free(end);
	reply_ok(req);
}

/*
 * POST /standin/worker?id=W&mode=M; also drain, drain=N: it exits no sooner
 * than in N ms, leave, leave-at-end: as a run ends by itself, so that the list
 * that has the end is lost, crash, restart, move, back: a worker that has
 * exited or drains restarts, deliver, size=N; expire: its entry is gone until
 * listed; lost: its heartbeats are; old=N: its entry is that of its process N
 * lives before until its next heartbeat; linger=N: it removes its entry and
 * exits in N ms; reborn: it restarts, and its connections stay open; clock=N:
 * its clock is N percent fast; step=N: the time of day
 * is N ms ahead from its next life on; late=N: late calls are carried out after
 * N ms; pace=N: its runs go on at N percent of their speed; reset: its
 * connections are; zone=Z: it is in another zone
 */
static void set_worker(struct evhttp_request *req, void *arg)
{
	char *id = tg_http_query_param(req, "id");
	char *mode = tg_http_query_param(req, "mode");
	int i;

	(void)arg;
	if (mode && !is_planned(mode))
		board.disturbed_ms = tg_now_ms();
	for (i = 0; id && mode && i < board.opts.workers; i++) {
		struct worker *w = &board.workers[i];

		if (strcmp(w->id, id) != 0 && strcmp(id, "all") != 0)
			continue;
		if (!strncmp(mode, "drain", 5)) {
			w->draining = true;
			w->drained_ms =
				mode[5] ? tg_now_ms() + atoi(mode + 6) : 0;
			worker_write_entry(w);
		} else if (!strcmp(mode, "leave")) {
			worker_leave(w);
		} else if (!strcmp(mode, "leave-at-end")) {
			w->leaves_at_end = true;
		} else if (!strcmp(mode, "crash")) {
			worker_close(w);
		} else if (!strcmp(mode, "expire")) {
			w->unlisted = true;
			worker_remove_entry(w);
		} else if (!strcmp(mode, "lost")) {
			w->unlisted = true;
		} else if (!strcmp(mode, "listed")) {
			w->unlisted = false;
			worker_write_entry(w);
		} else if (!strncmp(mode, "size=", 5)) {
			worker_resize(w, atoi(mode + 5));
		} else if (!strncmp(mode, "old=", 4)) {
			worker_write_old_entry(w, atoi(mode + 4));
		} else if (!strcmp(mode, "restart")) {
			worker_restart(w);
		} else if (!strcmp(mode, "reborn")) {
			worker_reborn(w);
		} else if (!strcmp(mode, "back")) {
			if (w->gone || w->draining)
				worker_restart(w);
		} else if (!strncmp(mode, "swap=", 5)) {
			worker_swap(w, &board.workers[atoi(mode + 5) - 1]);
		} else if (!strcmp(mode, "move")) {
			worker_move(w);
		} else if (!strcmp(mode, "deliver")) {
			worker_deliver(w);
		} else if (!strncmp(mode, "linger=", 7)) {
			worker_linger(w, atoi(mode + 7));
		} else if (!strncmp(mode, "clock=", 6)) {
			worker_set_clock(w, atoi(mode + 6));
		} else if (!strncmp(mode, "step=", 5)) {
			w->step_ms = atoi(mode + 5);
		} else if (!strncmp(mode, "late=", 5)) {
			w->late_ms = atoi(mode + 5);
		} else if (!strncmp(mode, "zone=", 5)) {
			tg_strlcpy(w->zone, mode + 5, sizeof(w->zone));
			worker_write_entry(w);
		} else if (!strncmp(mode, "pace=", 5)) {
			w->pace_percent = atoi(mode + 5);
		} else if (!strcmp(mode, "reset")) {
			worker_reset(w);
		} else {
			worker_set_mode(w, mode);
		}
	}
	free(id);
	free(mode);
	reply_ok(req);
}

/* GET /standin/seen: counts, and what must be 0 */
static void get_seen(struct evhttp_request *req, void *arg)
{
	json_t *runs = json_array();
	const struct run *r;
	int i;

	(void)arg;
	for (i = 0; i < board.opts.workers; i++)
		for (r = board.workers[i].runs; r; r = r->next)
			json_array_append_new(
				runs,
				json_pack("{s:s,s:s,s:i}", "worker",
					  board.workers[i].id, "task", r->task,
					  "run", r->run));
	tg_http_reply_json(
		req, 200,
		json_pack(
			"{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,"
			"s:I,s:I,s:I,s:I,s:I,s:I,s:o}",
			"jobs", (json_int_t)store_count("jobs"), "progress",
			(json_int_t)store_count("progress"), "reads",
			(json_int_t)board.reads, "writes",
			(json_int_t)board.writes, "write_bytes",
			(json_int_t)board.write_bytes, "refused",
			(json_int_t)board.refused, "starts",
			(json_int_t)board.starts, "stops",
			(json_int_t)board.stops, "holds",
			(json_int_t)board.holds, "over_room",
			(json_int_t)board.over_room, "twice",
			(json_int_t)board.twice, "after_done",
			(json_int_t)board.after_done, "lapsed",
			(json_int_t)board.lapsed, "fenced",
			(json_int_t)board.fenced, "kept",
			(json_int_t)board.kept, "waited_idle",
			(json_int_t)board.waited_idle, "evacuated",
			(json_int_t)board.evacuated, "resumed",
			(json_int_t)board.resumed, "odd_checkpoints",
			(json_int_t)board.odd_checkpoints, "runs", runs));
}

static const struct tg_http_route routes[] = {
	{ "/standin/config", false, EVHTTP_REQ_POST, set_config },
	{ "/standin/row", false, EVHTTP_REQ_POST, set_row },
	{ "/standin/store", false, EVHTTP_REQ_POST, set_store },
	{ "/standin/worker", false, EVHTTP_REQ_POST, set_worker },
	{ "/standin/fault", false, EVHTTP_REQ_POST, set_fault },
	{ "/standin/seen", false, EVHTTP_REQ_GET, get_seen },
	{ .path = NULL },
};

static const struct tg_http_route store_routes[] = {
	{ "/", true, EVHTTP_REQ_POST | EVHTTP_REQ_GET, store_request },
	{ .path = NULL },
};

static struct tg_http_server *control;

static int start(void *arg)
{
	struct tg_http_server_opts o = {
		.base = board.base,
		.addr = board.opts.http_addr,
		.body_bytes = CONTROL_BODY_BYTES,
		.routes = routes,
	};
	char doors[STORES_MAX * (TG_ADDR_MAX + 1)] = "";
	int i;

	(void)arg;
	control = tg_http_server_new(&o);
	if (!control)
		return -1;
	o.addr = "127.0.0.1:0";
	o.routes = store_routes;
	for (i = 0; i < board.opts.stores; i++) {
		o.arg = &board.doors[i];
		tg_strlcpy(board.doors[i].mode, "ok",
			   sizeof(board.doors[i].mode));
		board.doors[i].server = tg_http_server_new(&o);
		if (!board.doors[i].server)
			return -1;
		snprintf(doors + strlen(doors), sizeof(doors) - strlen(doors),
			 i ? ",%s" : "%s",
			 tg_http_server_addr(board.doors[i].server));
	}
	for (i = 0; i < board.opts.workers; i++)
		worker_open(&board.workers[i], i + 1);
	/* The doors of the store stand where others name their RPC address. */
	tg_print_ready_line(PROG, tg_http_server_addr(control), doors);
	return 0;
}

static void tick(void *arg, int64_t now_ms)
{
	(void)arg;
	(void)now_ms;
	workers_tick();
}

static const struct tg_controller controller = {
	.name = "site",
	.period_ms = 5,
	.start = start,
	.tick = tick,
};

int main(int argc, char **argv)
{
	static const struct tg_settings_spec spec = {
		.prog = PROG,
		.summary = "stands in for the users' platform",
		.items = settings,
	};
	const struct standin s = {
		.spec = &spec,
		.opts = &board.opts,
		.log_level = &board.opts.log_level,
		.base = &board.base,
		.controller = &controller,
	};

	return standin_run(&s, argc, argv);
}
