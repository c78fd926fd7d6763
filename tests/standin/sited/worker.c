#include <stdlib.h>
#include <string.h>

#include "sited.h"

/*
 * A worker of the platform.  The text of a job tells what its tasks do, for
 * instance "ms=700 acc=4 fail": run time, accelerators, end.  A task with
 * "deadly" crashes the worker, which is back soon as another process; one with
 * "saved=N" has a checkpoint of N bytes, whose second half has two a character.
 */

#define DEFAULT_RUN_MS 300
/* A start that is not answered is carried out this much later. */
#define LATE_MS 1500
/* Sooner than a caller gives up a hold that needs not wait. */
#define OVERTAKEN_MS 500
#define DOWN_MS 3000
/* A list names the oldest ends that are not acknowledged, this many at most. */
#define ENDS_LISTED_MAX 500
/* An entry expires after this many heartbeat intervals without a heartbeat. */
#define HEARTBEATS_MISSED_MAX 3
/* A start may still use what a worker had this long before. */
#define SHRUNK_GRACE_MS 1000

struct look {
	struct worker *worker;
	struct evhttp_request *req;
	int64_t seen;
	bool answered;
	struct look *next;
};

struct refused {
	char task[64];
	int run;
	struct refused *next;
};

int64_t worker_clock(const struct worker *w)
{
	return w->clock_ms +
		(tg_now_ms() - w->clock_at_ms) * (100 + w->fast_percent) / 100;
}

void worker_set_clock(struct worker *w, int fast_percent)
{
	w->clock_ms = worker_clock(w);
	w->clock_at_ms = tg_now_ms();
	w->fast_percent = fast_percent;
}

static int64_t whole(const json_t *o, const char *name)
{
	return json_integer_value(json_object_get(o, name));
}

static void reply_clock(struct worker *w, struct evhttp_request *req,
			int status, const char *reason)
{
	json_t *o =
		json_pack("{s:I,s:I}", "clock-ms", (json_int_t)worker_clock(w),
			  "born", (json_int_t)w->born_wall_ms);

	if (reason)
		json_object_set_new(o, "reason", json_string(reason));
	tg_http_reply_json(req, status, o);
}

/* --- lists --- */

static int percent_of(const struct run *r)
{
	int64_t left_ms = r->end_ms - tg_now_ms();

	if (!r->tells_progress || left_ms <= 0 || r->run_ms <= 0)
		return 100;
	return (int)(100 - 100 * left_ms / r->run_ms);
}

/* What a worker that speaks another version might send. */
static void spoil(const struct worker *w, json_t *lists, const char *name,
		  const char *entry)
{
	const char *mode = w->mode;

	if (!strncmp(mode, "no-", 3) && !strcmp(mode + 3, name))
		json_object_del(lists, name);
	else if (!strncmp(mode, "odd-", 4) && !strcmp(mode + 4, name))
		json_object_set_new(lists, name, json_string("none"));
	else if (!strncmp(mode, "odd-", 4) && !strcmp(mode + 4, entry) &&
		 json_array_size(json_object_get(lists, name)))
		json_array_set_new(json_object_get(lists, name), 0,
				   json_pack("[s]", "odd"));
}

static json_t *lists(const struct worker *w)
{
	json_t *running = json_array(), *ended = json_array(), *out;
	const struct run *r;
	struct end *e;

	for (r = w->runs; r; r = r->next)
		if (!r->stopping)
			json_array_append_new(running,
					      json_pack("[sisi]", r->task,
							r->run, r->saved,
							percent_of(r)));
	for (e = w->ends; e && json_array_size(ended) < ENDS_LISTED_MAX;
	     e = e->next) {
		e->listed = true;
		json_array_append_new(ended,
				      json_pack("[Isiss]", (json_int_t)e->n,
						e->task, e->run, e->how, ""));
	}
	out = json_pack("{s:I,s:I,s:o,s:o}", "clock-ms",
			(json_int_t)worker_clock(w), "born",
			(json_int_t)w->born_wall_ms, "running", running,
			"ended", ended);
	spoil(w, out, "running", "run");
	spoil(w, out, "ended", "end");
	spoil(w, out, "born", "");
	return out;
}

static void answer_looks(struct worker *w)
{
	while (w->looks) {
		struct look *k = w->looks;

		w->looks = k->next;
		k->answered = true;
		tg_http_reply_json(k->req, 200, lists(w));
	}
}

static void look_timeout(void *arg)
{
	struct look *k = arg;
	struct look **p;

	if (!k->answered) {
		for (p = &k->worker->looks; *p != k; p = &(*p)->next)
			;
		*p = k->next;
		tg_http_reply_json(k->req, 200, lists(k->worker));
	}
	free(k);
}

static void forget_ends(struct worker *w, int64_t seen)
{
	while (w->ends && w->ends->n <= seen) {
		struct end *e = w->ends;

		w->ends = e->next;
		if (!strcmp(e->how, "done"))
			judge_task_done(e->task);
		if (!strcmp(e->how, "done") && !e->lapsed)
			judge_done(e->task, e->ended_ms);
		if (e->doubled)
			judge_log(w, e->task, e->run, "end acknowledged,");
		free(e);
	}
}

/* Runs up to this one can't start there any more. */
static void refuse_runs(struct worker *w, const char *task, int run)
{
	struct refused *x = tg_xcalloc(1, sizeof(*x));

	tg_strlcpy(x->task, task, sizeof(x->task));
	x->run = run;
	x->next = w->refused;
	w->refused = x;
}

static void end_run(struct worker *w, struct run *r, const char *how)
{
	struct run **p = &w->runs;
	struct end *e = tg_xcalloc(1, sizeof(*e)), **last = &w->ends;

	e->n = ++w->n_ends;
	e->run = r->run;
	e->ended_ms = tg_now_ms();
	tg_strlcpy(e->task, r->task, sizeof(e->task));
	tg_strlcpy(e->how, how, sizeof(e->how));
	e->doubled = r->doubled;
	if (r->doubled)
		judge_log(w, r->task, r->run, how);
	while (*last)
		last = &(*last)->next;
	*last = e;
	board.lapsed += !strcmp(how, "lapsed");
	refuse_runs(w, r->task, r->run);
	while (*p != r)
		p = &(*p)->next;
	*p = r->next;
	free(r);
}

/*
 * Without a fault nearby the rules count ends that were listed, whether they
 * are acknowledged or not.
 */
static void judge_listed_ends(const struct worker *w)
{
	const struct end *e;

	for (e = w->ends; e; e = e->next)
		if (e->listed && !strcmp(e->how, "done") && !e->lapsed) {
			judge_done(e->task, e->ended_ms);
			judge_task_done(e->task);
		}
}

static void tick(struct worker *w)
{
	int64_t now_ms = tg_now_ms(), n = w->n_ends;
	int64_t idle_ms = (now_ms - w->ticked_ms) * (100 - w->pace_percent);
	struct run *r, *next;
	struct end *e;
	bool leaves = false;

	w->ticked_ms = now_ms;
	for (e = w->ends; e; e = e->next)
		e->lapsed |= worker_clock(w) > w->until_ms;
	for (r = w->runs; r; r = next) {
		next = r->next;
		r->end_ms += idle_ms / 100;
		if (worker_clock(w) > w->until_ms)
			end_run(w, r, "lapsed");
		else if (r->stopping &&
			 worker_clock(w) >= r->stopped_ms + board.opts.stop_ms)
			end_run(w, r, "stopped");
		else if (!r->stopping && now_ms >= r->end_ms) {
			end_run(w, r,
				r->fails || !strcmp(w->mode, "fail") ?
					"failed" :
					"done");
			leaves = w->leaves_at_end;
		}
	}
	if (w->n_ends == n)
		return;
	answer_looks(w);
	if (!leaves)
		return;
	/* The connections are closed before the answers are sent. */
	judge_listed_ends(w);
	worker_leave(w);
}

/* Whether the worker is cut off from everybody, the store too. */
static bool is_cut_off(const struct worker *w)
{
	return !strcmp(w->mode, "silent") || !strcmp(w->mode, "refuse");
}

/* A heartbeat, if it is due, or the end of an entry that had none. */
static void beat(struct worker *w)
{
	int64_t now_ms = tg_now_ms();

	if (w->listed &&
	    now_ms - w->beat_ms >=
		    HEARTBEATS_MISSED_MAX * board.opts.heartbeat_ms)
		worker_remove_entry(w);
	if (w->gone || now_ms < w->next_beat_ms)
		return;
	w->next_beat_ms = now_ms + board.opts.heartbeat_ms;
	worker_write_entry(w);
}

/* --- calls --- */

static bool fenced(struct worker *w, struct evhttp_request *req,
		   const json_t *body)
{
	int64_t fence = whole(body, "fence-token");

	if (fence >= w->fence) {
		w->fence = fence;
		return false;
	}
	board.fenced++;
	reply_clock(w, req, 409, "fence");
	return true;
}

static void extend(struct worker *w, int64_t until_ms)
{
	int64_t max_ms = worker_clock(w) + board.opts.hold_max_ms;

	if (until_ms > max_ms)
		until_ms = max_ms;
	if (until_ms > w->until_ms)
		w->until_ms = until_ms;
}

static int64_t spec_value(const char *spec, const char *name, int64_t def)
{
	const char *s = strstr(spec, name);

	return s ? strtoll(s + strlen(name), NULL, 10) : def;
}

static struct run *find_run(const struct worker *w, const char *task, int run)
{
	struct run *r;

	for (r = w->runs; r; r = r->next)
		if (r->run == run && !strcmp(r->task, task))
			return r;
	return NULL;
}

static bool is_refused(const struct worker *w, const char *task, int run)
{
	const struct refused *x;

	for (x = w->refused; x; x = x->next)
		if (run <= x->run && !strcmp(x->task, task))
			return true;
	return false;
}

static void set_checkpoint(struct run *r, int bytes)
{
	int i = bytes < CHECKPOINT_MAX ? bytes : CHECKPOINT_MAX;

	memset(r->saved, 'c', (size_t)i);
	for (; i > bytes / 2 + 1; i -= 2)
		memcpy(r->saved + i - 2, "\u00e9", 2);
}

/* All runs of a task have the same checkpoint, so a start has that or none. */
static void note_resumed(const struct run *r, const char *checkpoint)
{
	if (!checkpoint)
		return;
	board.resumed++;
	board.odd_checkpoints += strcmp(checkpoint, r->saved) != 0;
}

static const char *start(struct worker *w, const json_t *body)
{
	const char *spec = json_string_value(json_object_get(body, "spec"));
	const char *task = json_string_value(json_object_get(body, "task"));
	int run = (int)whole(body, "run");
	struct run *r;

	if (!spec || !task || whole(body, "fence-token") < w->fence)
		return "fence";
	if (whole(body, "until-ms") <= worker_clock(w))
		return "late";
	if (is_refused(w, task, run))
		return "old";
	extend(w, whole(body, "until-ms"));
	if (find_run(w, task, run))
		return NULL;
	r = tg_xcalloc(1, sizeof(*r));
	tg_strlcpy(r->task, task, sizeof(r->task));
	r->run = run;
	r->accelerators = (int)spec_value(spec, "acc=", 1);
	r->run_ms = spec_value(spec, "ms=", DEFAULT_RUN_MS);
	r->started_ms = tg_now_ms();
	r->late = w->is_late;
	r->end_ms = r->started_ms + r->run_ms;
	r->tells_progress = strstr(spec, "progress") != NULL;
	set_checkpoint(r, (int)spec_value(spec, "saved=", 0));
	note_resumed(r, json_string_value(json_object_get(body, "checkpoint")));
	r->fails = strstr(spec, "fail") != NULL;
	r->next = w->runs;
	w->runs = r;
	board.starts++;
	judge_start(w, r);
	return NULL;
}

enum call { CALL_START, CALL_STOP, CALL_HOLD };

struct late {
	struct worker *worker;
	enum call call;
	int64_t boot_ms; /* 0 for whichever process serves the address */
	char addr[TG_ADDR_MAX + 1];
	json_t *body;
	struct late *next;
};

static void stop(struct worker *w, const json_t *body)
{
	const char *task = json_string_value(json_object_get(body, "task"));
	int run = (int)whole(body, "run");
	struct run *r;

	board.stops++;
	refuse_runs(w, task ? task : "", run);
	r = find_run(w, task ? task : "", run);
	if (r && !r->stopping) {
		r->stopping = true;
		r->stopped_ms = worker_clock(w);
	}
}

static void carry_out(struct worker *w, enum call call, const json_t *body)
{
	if (call == CALL_START) {
		w->is_late = true;
		start(w, body);
		w->is_late = false;
	} else if (whole(body, "fence-token") >= w->fence) {
		w->fence = whole(body, "fence-token");
		if (call == CALL_STOP) {
			stop(w, body);
			return;
		}
		extend(w, whole(body, "until-ms"));
		forget_ends(w, whole(body, "seen-upto"));
	}
}

static void carry_out_late(void *arg)
{
	struct late *l = arg;
	struct worker *w = l->worker;

	if (!w->gone &&
	    (l->boot_ms ? w->boot_ms == l->boot_ms :
			  w->server && !strcmp(w->addr, l->addr)))
		carry_out(w, l->call, l->body);
	json_decref(l->body);
	free(l);
}

void worker_deliver(struct worker *w)
{
	while (w->kept) {
		struct late *l = w->kept;

		w->kept = l->next;
		carry_out_late(l);
	}
}

static struct late *late_call(struct worker *w, json_t *body, enum call call,
			      bool any_process)
{
	struct late *l = tg_xcalloc(1, sizeof(*l));

	l->worker = w;
	l->call = call;
	l->boot_ms = any_process ? 0 : w->boot_ms;
	tg_strlcpy(l->addr, w->addr, sizeof(l->addr));
	l->body = json_incref(body);
	return l;
}

/* Carries out a call late, also by a later process if @any_process. */
static void delay(struct worker *w, struct evhttp_request *req, json_t *body,
		  enum call call, bool any_process)
{
	struct late *l = late_call(w, body, call, any_process);

	if (strcmp(w->mode, "one-way") != 0)
		delay_call(board.base, w->late_ms, carry_out_late, l);
	else
		carry_out_late(l);
	close_without_reply(board.base, req, NO_REPLY_MS, NULL, w);
}

/* Carries out a hold when worker_deliver() is called. */
static void keep_hold(struct worker *w, struct evhttp_request *req,
		      json_t *body)
{
	struct late *l = late_call(w, body, CALL_HOLD, true);

	l->next = w->kept;
	w->kept = l;
	board.kept++;
	close_without_reply(board.base, req, NO_REPLY_MS, NULL, w);
}

/* Whether the worker leaves the call unanswered, and carries it out late. */
static bool is_left_unanswered(struct worker *w, struct evhttp_request *req,
			       json_t *body, enum call call)
{
	static const char *const modes[][3] = {
		[CALL_START] = { "unanswered", "calls-late", "one-way" },
		[CALL_STOP] = { "stops-late", "calls-late", "one-way" },
		[CALL_HOLD] = { "holds-late", "calls-late", "one-way" },
	};
	bool later =
		(call == CALL_START && !strcmp(w->mode, "unanswered-later")) ||
		(call == CALL_HOLD && !strcmp(w->mode, "holds-later"));
	bool late = later;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(modes[call]); i++)
		late |= !strcmp(w->mode, modes[call][i]);
	if (late)
		delay(w, req, body, call, later);
	return late;
}

static void hold(struct worker *w, struct evhttp_request *req, json_t *body)
{
	int64_t wait_ms = whole(body, "wait-ms");
	struct look *k;

	board.holds++;
	if (!strncmp(w->mode, "mute", 4)) {
		close_without_reply(board.base, req, NO_REPLY_MS, NULL, w);
		return;
	}
	if (is_left_unanswered(w, req, body, CALL_HOLD))
		return;
	if (!strcmp(w->mode, "holds-kept")) {
		keep_hold(w, req, body);
		return;
	}
	if (fenced(w, req, body))
		return;
	extend(w, whole(body, "until-ms"));
	forget_ends(w, whole(body, "seen-upto"));
	if (w->ends || wait_ms <= 0) {
		tg_http_reply_json(req, 200, lists(w));
		return;
	}
	k = tg_xcalloc(1, sizeof(*k));
	k->worker = w;
	k->req = req;
	k->next = w->looks;
	w->looks = k;
	delay_call(board.base, wait_ms, look_timeout, k);
}

struct overtaken {
	struct worker *worker;
	struct evhttp_request *req;
	json_t *body;
};

static void hold_overtaken(void *arg)
{
	struct overtaken *o = arg;

	hold(o->worker, o->req, o->body);
	json_decref(o->body);
	free(o);
}

/* Calls that come later are carried out before this one. */
static void let_overtake(struct worker *w, struct evhttp_request *req,
			 json_t *body)
{
	struct overtaken *o = tg_xcalloc(1, sizeof(*o));

	o->worker = w;
	o->req = req;
	o->body = json_incref(body);
	tg_strlcpy(w->mode, "ok", sizeof(w->mode));
	delay_call(board.base, OVERTAKEN_MS, hold_overtaken, o);
}

static void open_again(void *arg)
{
	struct worker *w = arg;
	int n = (int)(w - board.workers) + 1;

	/* It may have been started in the meantime. */
	if (!w->gone)
		return;
	w->gone = false;
	worker_open(w, n);
}

static void crash(void *arg)
{
	struct worker *w = arg;

	if (w->gone)
		return;
	worker_close(w);
	worker_remove_entry(w);
	delay_call(board.base, DOWN_MS, open_again, w);
}

static bool is_deadly(const json_t *body)
{
	const char *spec = json_string_value(json_object_get(body, "spec"));

	return spec && strstr(spec, "deadly");
}

static void run_start(struct worker *w, struct evhttp_request *req,
		      json_t *body)
{
	const char *reason;

	if (!strcmp(w->mode, "unhealthy")) {
		tg_http_reply_error(req, 503, NULL, "unhealthy");
		return;
	}
	if (is_left_unanswered(w, req, body, CALL_START))
		return;
	reason = start(w, body);
	board.fenced += reason && !strcmp(reason, "fence");
	if (!reason && is_deadly(body)) {
		close_without_reply(board.base, req, NO_REPLY_MS, NULL, w);
		delay_call(board.base, 0, crash, w);
		return;
	}
	if (!strcmp(w->mode, "mute") && !reason)
		close_without_reply(board.base, req, NO_REPLY_MS, NULL, w);
	else
		reply_clock(w, req, reason ? 409 : 200, reason);
}

static void run_stop(struct worker *w, struct evhttp_request *req, json_t *body)
{
	if (is_left_unanswered(w, req, body, CALL_STOP) || fenced(w, req, body))
		return;
	stop(w, body);
	reply_clock(w, req, 200, NULL);
}

static bool other_worker(const struct worker *w, struct evhttp_request *req)
{
	const char *id = tg_http_header(req, "Tarragonfield-Expect-Instance");

	if (!id || !strcmp(id, w->id))
		return false;
	tg_http_reply_error(req, 421, NULL, "another worker");
	return true;
}

static void on_call(struct evhttp_request *req, void *arg)
{
	struct worker *w = arg;
	char *path = tg_http_decode_path(req);
	json_t *body;

	if (!strcmp(w->mode, "silent") || !strcmp(w->mode, "deaf")) {
		close_without_reply(board.base, req, NO_REPLY_MS, NULL, w);
		goto out;
	}
	if (other_worker(w, req))
		goto out;
	body = tg_http_parse_json_body(req);
	if (!body)
		goto out;
	if (path && !strcmp(path, "/hold") &&
	    !strcmp(w->mode, "hold-overtaken"))
		let_overtake(w, req, body);
	else if (path && !strcmp(path, "/hold"))
		hold(w, req, body);
	else if (path && !strcmp(path, "/run-start"))
		run_start(w, req, body);
	else if (path && !strcmp(path, "/run-stop"))
		run_stop(w, req, body);
	json_decref(body);
out:
	free(path);
}

/* --- life --- */

static void write_entry(struct worker *w, const struct life *life)
{
	int64_t n = w - board.workers;
	int64_t rack =
		board.opts.rack_workers ? n / board.opts.rack_workers + 1 : 1;
	json_t *o = json_pack(
		"{s:s,s:s,s:s,s:s,s:I,s:s,s:I,s:{s:I,s:I,s:I},s:[s,o],s:I,s:I}",
		"service", board.opts.service, "address", life->addr, "zone",
		w->zone, "version", "v1", "slots", (json_int_t)8, "state",
		w->draining ? "draining" : "ready", "warmup-left-ms",
		(json_int_t)0, "capacity", "cpu", (json_int_t)WORKER_CPU,
		"mem-mb", (json_int_t)board.opts.memory_mb, "gpu",
		(json_int_t)w->accelerators, "labels", board.opts.kind,
		json_sprintf("%s%d", board.opts.rack_prefix, (int)rack), "born",
		(json_int_t)life->born_wall_ms, "seq", (json_int_t)++w->seq);
	int64_t left_ms = w->drained_ms - tg_now_ms();
	char *text;

	if (w->draining && w->drained_ms)
		json_object_set_new(o, "remaining-ms",
				    json_integer(left_ms > 0 ? left_ms : 0));
	text = json_dumps(o, JSON_COMPACT);
	w->listed = true;
	w->beat_ms = tg_now_ms();
	store_put("servers", w->id, text);
	free(text);
	json_decref(o);
}

void worker_write_entry(struct worker *w)
{
	if (!w->gone && !w->unlisted && !is_cut_off(w))
		write_entry(w, &w->lives[0]);
}

void worker_write_old_entry(struct worker *w, int lives)
{
	if (w->listed && lives > 0 && lives < LIVES_MAX &&
	    w->lives[lives].born_wall_ms)
		write_entry(w, &w->lives[lives]);
}

void worker_resize(struct worker *w, int accelerators)
{
	w->accelerators_before = w->accelerators;
	w->accelerators = accelerators;
	w->shrunk_ms = tg_now_ms() + SHRUNK_GRACE_MS;
	worker_write_entry(w);
}

int worker_room(const struct worker *w)
{
	if (tg_now_ms() < w->shrunk_ms &&
	    w->accelerators_before > w->accelerators)
		return w->accelerators_before;
	return w->accelerators;
}

void worker_remove_entry(struct worker *w)
{
	w->listed = false;
	store_delete("servers", w->id);
}

static void begin_life(struct worker *w)
{
	static int64_t last_wall_ms;
	int64_t wall_ms = tg_wall_ms();

	w->boot_ms = w->clock_at_ms = w->ticked_ms = tg_now_ms();
	w->clock_ms = w->lives[0].born_wall_ms ? 0 : board.opts.clock_ms;
	/* Two lives never begin in one millisecond. */
	if (wall_ms <= last_wall_ms)
		wall_ms = last_wall_ms + 1;
	last_wall_ms = wall_ms;
	w->born_wall_ms = wall_ms + w->step_ms;
	w->fence = w->until_ms = w->n_ends = w->seq = 0;
	memmove(&w->lives[1], &w->lives[0],
		sizeof(w->lives) - sizeof(*w->lives));
	tg_strlcpy(w->lives[0].addr, w->addr, sizeof(w->lives[0].addr));
	w->lives[0].born_wall_ms = w->born_wall_ms;
	judge_process(w);
}

/* Serves at @addr; port 0 for any. */
static void listen_at(struct worker *w, const char *addr)
{
	static const struct tg_http_route routes[] = {
		{ "/", true, EVHTTP_REQ_POST | EVHTTP_REQ_GET, on_call },
		{ .path = NULL },
	};
	struct tg_http_server_opts o = {
		.base = board.base,
		.addr = addr,
		.routes = routes,
		.arg = w,
	};

	w->server = tg_http_server_new(&o);
	/* A client may have got the port while the worker was away. */
	if (w->server)
		tg_strlcpy(w->addr, tg_http_server_addr(w->server),
			   sizeof(w->addr));
}

/* Whether it should serve but doesn't. */
static bool is_closed(const struct worker *w)
{
	return !w->server && !w->gone && strcmp(w->mode, "refuse") != 0;
}

/* Looks that wait end with their connections. */
static void drop_looks(struct worker *w)
{
	struct evhttp_connection *con;

	while (w->looks) {
		struct look *k = w->looks;

		w->looks = k->next;
		k->answered = true;
		con = evhttp_request_get_connection(k->req);
		/* Once the caller has closed it, a reply frees the request. */
		if (con)
			evhttp_connection_free(con);
		else
			evhttp_send_reply(k->req, 503, NULL, NULL);
	}
}

/* Looks that wait get no answer. */
static void hold_looks(struct worker *w)
{
	while (w->looks) {
		struct look *k = w->looks;

		w->looks = k->next;
		k->answered = true;
		close_without_reply(board.base, k->req, NO_REPLY_MS, NULL, w);
	}
}

static void stop_listening(struct worker *w)
{
	close_all_unanswered(w);
	tg_http_server_free(w->server);
	w->server = NULL;
}

void worker_set_mode(struct worker *w, const char *mode)
{
	bool refuses = !strcmp(mode, "refuse");

	tg_strlcpy(w->mode, mode, sizeof(w->mode));
	/* A caller behind a silent cut gets no answer any more. */
	if (!strcmp(mode, "silent") || !strcmp(mode, "deaf") ||
	    !strcmp(mode, "one-way"))
		hold_looks(w);
	if (refuses && w->server) {
		/* The path is closed, and its connections are reset. */
		drop_looks(w);
		stop_listening(w);
	} else if (is_closed(w)) {
		listen_at(w, w->addr);
	}
}

void worker_reset(struct worker *w)
{
	if (!w->server)
		return;
	drop_looks(w);
	stop_listening(w);
	listen_at(w, w->addr);
}

void worker_open(struct worker *w, int n)
{
	snprintf(w->id, sizeof(w->id), "%s%d", board.opts.worker_prefix, n);
	tg_strlcpy(w->mode, "ok", sizeof(w->mode));
	tg_strlcpy(w->zone, board.opts.zone, sizeof(w->zone));
	w->late_ms = LATE_MS;
	w->pace_percent = 100;
	w->accelerators = (int)board.opts.accelerators;
	listen_at(w, "127.0.0.1:0");
	/* The heartbeats of the workers are spread over the interval. */
	w->next_beat_ms = tg_now_ms() +
		board.opts.heartbeat_ms * n / (board.opts.workers + 1);
	begin_life(w);
	worker_write_entry(w);
}

static void drop_all(struct worker *w)
{
	answer_looks(w);
	while (w->ends) {
		struct end *e = w->ends;

		w->ends = e->next;
		free(e);
	}
	while (w->runs) {
		struct run *r = w->runs;

		w->runs = r->next;
		free(r);
	}
}

void worker_close(struct worker *w)
{
	drop_all(w);
	stop_listening(w);
	w->gone = true;
}

void worker_leave(struct worker *w)
{
	if (w->gone)
		return;
	worker_close(w);
	/* Otherwise it can't reach the store, and the entry expires. */
	if (!w->unlisted && !is_cut_off(w))
		worker_remove_entry(w);
}

static void end_lingering(void *arg)
{
	struct worker *w = arg;

	/* It may have been started in the meantime. */
	if (!w->gone && !w->listed && w->draining)
		worker_close(w);
}

void worker_linger(struct worker *w, int ms)
{
	if (w->gone)
		return;
	w->unlisted = w->draining = true;
	worker_remove_entry(w);
	delay_call(board.base, ms, end_lingering, w);
}

static void restart(struct worker *w)
{
	w->gone = w->draining = w->leaves_at_end = false;
	if (is_closed(w))
		listen_at(w, w->addr);
	w->drained_ms = 0;
	while (w->refused) {
		struct refused *x = w->refused;

		w->refused = x->next;
		free(x);
	}
	begin_life(w);
	worker_write_entry(w);
}

void worker_restart(struct worker *w)
{
	drop_all(w);
	/* Open connections end with the process. */
	stop_listening(w);
	restart(w);
}

/* Callers see no connection end, and reach the next process by them. */
void worker_reborn(struct worker *w)
{
	if (w->gone || !w->server)
		return;
	hold_looks(w);
	drop_all(w);
	restart(w);
}

void worker_swap(struct worker *w, struct worker *o)
{
	char addr[TG_ADDR_MAX + 1];

	drop_all(w);
	drop_all(o);
	stop_listening(w);
	stop_listening(o);
	tg_strlcpy(addr, w->addr, sizeof(addr));
	tg_strlcpy(w->addr, o->addr, sizeof(w->addr));
	tg_strlcpy(o->addr, addr, sizeof(o->addr));
	listen_at(w, w->addr);
	listen_at(o, o->addr);
	restart(w);
	restart(o);
}

void worker_move(struct worker *w)
{
	drop_all(w);
	stop_listening(w);
	listen_at(w, "127.0.0.1:0");
	if (!strcmp(w->mode, "refuse"))
		stop_listening(w);
	restart(w);
}

void workers_tick(void)
{
	int i;

	for (i = 0; i < board.opts.workers; i++) {
		struct worker *w = &board.workers[i];

		if (is_closed(w))
			listen_at(w, w->addr);
		beat(w);
		if (!w->gone)
			tick(w);
	}
	judge_waits();
}
