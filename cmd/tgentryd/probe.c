#include <stdlib.h>
#include <string.h>

#include "board.h"

#define PROBE_TIMEOUT_MS 1000
/* A single probe may fail because the worker is busy. */
#define PROBE_FAILURE_THRESHOLD 2
/* The peers get a note when the load has changed by a quarter of the slots. */
#define LOAD_CHANGE_DIVISOR 4

struct probe {
	struct board *board;
	char worker[TG_NAME_MAX + 1], addr[TG_ADDR_MAX + 1];
};

/*
 * A draining peer is left out, so that its workers are probed by others before
 * it ends.
 */
static bool sends_probes(const struct board *b, const struct tg_member_peer *p)
{
	return p->live && !p->draining && !strcmp(p->role, "entry") &&
		!strcmp(p->az, b->settings.az);
}

/*
 * Whether this process probes the worker.  Rendezvous hashing assigns each
 * worker to one of the live entry daemons of its AZ; others probe it only if
 * notes don't tell which start of it runs.
 */
static bool is_probed_here(const struct board *b, const struct worker *w)
{
	uint64_t own = tg_rendezvous_weight(b->settings.instance, w->name);
	const struct tg_member_peer *peers;
	size_t i, n;

	if (strcmp(w->az, b->settings.az) != 0)
		return false;
	if (w->probe_wanted)
		return true;
	peers = tg_member_peers(b->member, &n);
	for (i = 0; i < n; i++)
		if (sends_probes(b, &peers[i]) &&
		    tg_rendezvous_weight(peers[i].instance, w->name) > own)
			return false;
	return true;
}

static void announce_load_change(struct board *b, struct worker *w)
{
	uint32_t now = w->in_use_reported, sent = w->last_note_in_use;
	uint32_t change = now > sent ? now - sent : sent - now;

	if (change * LOAD_CHANGE_DIVISOR < w->slots || !change)
		return;
	w->note_due = b->notes_due = true;
}

static bool apply_probe_answer(struct board *b, struct worker *w,
			       const struct tg_http_result *res)
{
	json_t *v = tg_http_result_json(res);
	json_t *draining = json_object_get(v, "draining");
	json_t *in_use = json_object_get(v, "in_use");
	json_t *slots = json_object_get(v, "slots");
	json_t *worker_ms = json_object_get(v, "now_ms");
	const char *boot = json_string_value(json_object_get(v, "boot"));
	bool ok = json_is_boolean(draining) && json_is_integer(in_use) &&
		json_integer_value(in_use) >= 0 && json_is_integer(worker_ms) &&
		boot;

	if (ok &&
	    worker_accept_observation(w, boot, json_integer_value(worker_ms))) {
		worker_apply_self_report(b, w, boot, json_is_true(draining));
		if (json_is_integer(slots) && json_integer_value(slots) > 0 &&
		    json_integer_value(slots) < INT32_MAX)
			w->slots = (uint32_t)json_integer_value(slots);
		worker_set_in_use(w, (uint32_t)json_integer_value(in_use));
		announce_load_change(b, w);
	} else if (!ok) {
		tg_log(EV_ENTRY_BAD_PROBE, "worker=%s", w->name);
		stats_count_invalid("probe");
	}
	json_decref(v);
	return ok;
}

static void on_probe_done(const struct tg_http_result *res, void *arg)
{
	struct probe *p = arg;
	struct board *b = p->board;
	struct worker *w;
	bool moved;

	HASH_FIND_STR(b->workers, p->worker, w);
	moved = w && strcmp(w->addr, p->addr) != 0;
	free(p);
	if (!w)
		return;
	w->probe_in_flight = false;
	/* It says nothing of the worker that is listed now. */
	if (moved)
		return;
	if (res->end == TG_HTTP_COMPLETE && res->status == 200 &&
	    apply_probe_answer(b, w, res)) {
		w->probe_failures = 0;
		w->probe_wanted = false;
		worker_set_down(b, w, false);
		services_dispatch_queued(b);
		return;
	}
	if (++w->probe_failures >= PROBE_FAILURE_THRESHOLD) {
		w->probe_wanted = false;
		worker_set_down(b, w, true);
	}
}

static void send_probe(struct board *b, struct worker *w)
{
	struct probe *p = tg_xcalloc(1, sizeof(*p));
	struct tg_http_call_opts call = {
		.method = EVHTTP_REQ_GET,
		.addr = w->addr,
		.uri = "/v1/probe",
		.timeout_ms = PROBE_TIMEOUT_MS,
		.done = on_probe_done,
		.arg = p,
	};

	p->board = b;
	tg_strlcpy(p->worker, w->name, sizeof(p->worker));
	tg_strlcpy(p->addr, w->addr, sizeof(p->addr));
	w->probe_in_flight = true;
	tg_counter("tg_probes_total", "Probes sent to workers.", NULL)->value++;
	tg_http_call_start(b->probe_http, &call);
}

static void tick(void *board, int64_t now_ms)
{
	struct board *b = board;
	struct worker *w, *next;

	HASH_ITER(hh, b->workers, w, next) {
		if (w->probe_in_flight || now_ms < w->next_probe_ms ||
		    !worker_present(w, now_ms) || !is_probed_here(b, w))
			continue;
		w->next_probe_ms = now_ms + b->settings.probe_ms;
		send_probe(b, w);
	}
}

const struct tg_controller probe_controller = {
	.name = "probe",
	.period_ms = 50,
	.tick = tick,
};
