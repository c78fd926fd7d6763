#include <stdlib.h>
#include <string.h>

#include "board.h"

#define PROBE_DEADLINE_MS 1000
/* A single probe may be lost to a busy worker. */
#define PROBE_FAILS_MAX 2
/* A load that changed by a quarter of the slots is worth a note. */
#define LOAD_CHANGE_PARTS 4

struct probe {
	struct board *board;
	char worker[TG_NAME_MAX + 1];
};

/* A peer that is stopping hands its workers over before it ends. */
static bool is_prober(const struct board *b, const struct tg_member_peer *p)
{
	return p->live && !p->draining && !strcmp(p->role, "entry") &&
		!strcmp(p->az, b->set.az);
}

/* Rendezvous hashing among the live entry daemons of the AZ. */
static bool is_own(const struct board *b, const struct worker *w)
{
	uint64_t own = tg_rendezvous(b->set.instance, w->name);
	const struct tg_member_peer *peers;
	size_t i, n;

	if (strcmp(w->az, b->set.az) != 0)
		return false;
	peers = tg_member_peers(b->member, &n);
	for (i = 0; i < n; i++)
		if (is_prober(b, &peers[i]) &&
		    tg_rendezvous(peers[i].instance, w->name) > own)
			return false;
	return true;
}

static void note_load(struct board *b, struct worker *w)
{
	uint32_t a = w->reported, c = w->noted_in_use;
	uint32_t change = a > c ? a - c : c - a;

	if (change * LOAD_CHANGE_PARTS < w->slots || !change)
		return;
	w->note_due = b->notes_due = true;
}

static bool note_probe(struct board *b, struct worker *w,
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

	if (ok && worker_observed(w, boot, json_integer_value(worker_ms))) {
		worker_said(b, w, boot, json_is_true(draining));
		if (json_is_integer(slots) && json_integer_value(slots) > 0 &&
		    json_integer_value(slots) < INT32_MAX)
			w->slots = (uint32_t)json_integer_value(slots);
		worker_report(w, (uint32_t)json_integer_value(in_use));
		note_load(b, w);
	} else if (!ok) {
		tg_log(EV_ENTRY_BAD_PROBE, "worker=%s", w->name);
		stats_invalid("probe");
	}
	json_decref(v);
	return ok;
}

static void on_probe(const struct tg_http_result *res, void *arg)
{
	struct probe *p = arg;
	struct board *b = p->board;
	struct worker *w;

	HASH_FIND_STR(b->workers, p->worker, w);
	free(p);
	if (!w)
		return;
	w->probe_in_flight = false;
	if (res->end == TG_HTTP_WHOLE && res->status == 200 &&
	    note_probe(b, w, res)) {
		w->probe_fails = 0;
		worker_set_down(b, w, false);
		service_pump_all(b);
		return;
	}
	if (++w->probe_fails >= PROBE_FAILS_MAX)
		worker_set_down(b, w, true);
}

static void probe(struct board *b, struct worker *w)
{
	struct probe *p = tg_xcalloc(1, sizeof(*p));
	struct tg_http_call_opts call = {
		.method = EVHTTP_REQ_GET,
		.addr = w->addr,
		.uri = "/v1/probe",
		.timeout_ms = PROBE_DEADLINE_MS,
		.done = on_probe,
		.arg = p,
	};

	p->board = b;
	tg_strlcpy(p->worker, w->name, sizeof(p->worker));
	w->probe_in_flight = true;
	tg_counter("tg_probes_total", "Probes sent to workers.", NULL)->value++;
	tg_http_call_start(b->prober, &call);
}

static void tick(void *board, int64_t now_ms)
{
	struct board *b = board;
	struct worker *w, *next;

	HASH_ITER(hh, b->workers, w, next) {
		if (w->probe_in_flight || now_ms < w->next_probe_ms ||
		    !worker_present(w, now_ms) || !is_own(b, w))
			continue;
		w->next_probe_ms = now_ms + b->set.probe_ms;
		probe(b, w);
	}
}

const struct tg_controller probe_controller = {
	.name = "probe",
	.period_ms = 50,
	.tick = tick,
};
