#include <stdlib.h>
#include <string.h>

#include "authority.h"
#include "controllers.h"
#include "lease.h"
#include "message.h"
#include "outage.h"

/*
 * Renewal of leases by a standby during a table outage.  Each round first
 * queries the leases of all workers and then renews those of complete gangs; a
 * lease that no worker listed in the round is not renewed.  The standby never
 * reserves, starts or stops a task.
 */

struct held_lease {
	struct observed_lease lease;
	struct worker *worker;
};

struct outage_renewal {
	struct board *board;
	size_t pending;
	struct held_lease *leases;
	size_t n_leases;
	bool all_sent;
};

struct outage_call {
	struct outage_renewal *round;
	struct worker *worker;
};

/* The scheduler with the lowest name among those that answer pings renews. */
static bool is_renewer(const struct board *b)
{
	const struct tg_member_peer *p;
	size_t i, n;

	p = tg_member_peers(b->member, &n);
	for (i = 0; i < n; i++)
		if (p[i].live && !p[i].draining &&
		    !strcmp(p[i].role, "sched") &&
		    !strcmp(p[i].az, b->opts->az) &&
		    strcmp(p[i].instance, b->opts->instance) < 0)
			return false;
	return true;
}

static void free_round(struct outage_renewal *r)
{
	if (r->board->outage_round == r)
		r->board->outage_round = NULL;
	free(r->leases);
	free(r);
}

static void on_renewed(const struct tg_http_result *r, void *arg)
{
	struct outage_call *c = arg;
	json_t *v = tg_http_result_json(r);

	c->worker->call = NULL;
	c->worker->call_arg = NULL;
	c->worker->call_in_flight = false;
	if (v && r->status == 200)
		worker_update_from_response(c->worker, v);
	json_decref(v);
	free(c);
}

static void send_renewals(struct board *b, struct worker *w, json_t *ops)
{
	struct outage_call *c = tg_xcalloc(1, sizeof(*c));
	/* A standby has no epoch, so it sends the one installed there. */
	json_t *v =
		json_pack("{s:I, s:s, s:o}", "epoch", (json_int_t)w->epoch_seen,
			  "boot", w->boot, "ops", ops);
	char *text = json_dumps(v, JSON_COMPACT);
	struct tg_http_call_opts call = {
		.method = EVHTTP_REQ_POST,
		.addr = w->addr,
		.uri = "/v1/commands",
		.body = text,
		.body_bytes = strlen(text),
		.timeout_ms = b->opts->call_ms,
		.done = on_renewed,
		.arg = c,
	};

	c->worker = w;
	authority_note_command(b, tg_now_ms());
	w->call_in_flight = true;
	w->call_arg = c;
	w->call = tg_http_call_start(b->worker_http, &call);
	json_decref(v);
	free(text);
}

static json_t *new_renew_op(const struct board *b, const struct held_lease *h)
{
	return json_pack("{s:s, s:s, s:I, s:i, s:I}", "op", "renew", "job",
			 h->lease.job, "attempt", (json_int_t)h->lease.attempt,
			 "index", h->lease.index, "expires_ms",
			 (json_int_t)lease_worker_expiry_ms(h->worker->clock_ms,
							    b->opts->lease_ms));
}

static struct observed_lease *
list_observed_leases(const struct outage_renewal *r)
{
	struct observed_lease *all = tg_xcalloc(r->n_leases + 1, sizeof(*all));
	size_t i;

	for (i = 0; i < r->n_leases; i++)
		all[i] = r->leases[i].lease;
	return all;
}

/*
 * Leases under an epoch below the highest may already count as expired, see
 * authority.h.
 */
static bool may_renew_on(const struct board *b, const struct worker *w)
{
	return b->opts->unsafe_ignore_renewers ||
		(authority_may_renew(b, tg_now_ms()) &&
		 w->epoch_seen == b->highest_epoch);
}

static void renew_worker(struct outage_renewal *r,
			 const struct observed_lease *all, struct worker *w)
{
	json_t *ops = json_array();
	size_t i;

	for (i = 0; i < r->n_leases; i++) {
		const struct held_lease *h = &r->leases[i];

		if (h->worker == w && h->lease.running &&
		    json_array_size(ops) < OPS_MAX &&
		    gang_is_complete(all, r->n_leases, &h->lease))
			json_array_append_new(ops, new_renew_op(r->board, h));
	}
	if (json_array_size(ops) && !w->call_in_flight &&
	    may_renew_on(r->board, w))
		send_renewals(r->board, w, ops);
	else
		json_decref(ops);
}

static void finish_round(struct outage_renewal *r)
{
	struct board *b = r->board;
	struct observed_lease *all;
	struct worker *w, *tmp;

	if (b->role == ROLE_STANDBY && b->outage_round == r) {
		all = list_observed_leases(r);
		HASH_ITER(hh, b->workers, w, tmp)
			renew_worker(r, all, w);
		free(all);
	}
	free_round(r);
}

static void add_held_lease(struct outage_renewal *r, struct worker *w,
			   const json_t *v)
{
	const char *job = json_string_value(json_object_get(v, "job"));
	const char *state = json_string_value(json_object_get(v, "state"));
	struct held_lease *h;

	if (!job || !state || !tg_name_valid(job))
		return;
	r->leases =
		tg_xrealloc(r->leases, (r->n_leases + 1) * sizeof(*r->leases));
	h = &r->leases[r->n_leases++];
	memset(h, 0, sizeof(*h));
	h->worker = w;
	tg_strlcpy(h->lease.job, job, sizeof(h->lease.job));
	h->lease.attempt = json_integer_value(json_object_get(v, "attempt"));
	h->lease.index =
		(int32_t)json_integer_value(json_object_get(v, "index"));
	h->lease.gang_size =
		(int32_t)json_integer_value(json_object_get(v, "gang_size"));
	h->lease.running = !strcmp(state, "running");
	h->lease.ended = !strcmp(state, "ended");
}

static void on_state(const struct tg_http_result *res, void *arg)
{
	struct outage_call *c = arg;
	struct outage_renewal *r = c->round;
	json_t *v = tg_http_result_json(res), *lease;
	size_t i;

	c->worker->call = NULL;
	c->worker->call_arg = NULL;
	c->worker->call_in_flight = false;
	if (v && res->status == 200 &&
	    worker_update_from_response(c->worker, v))
		json_array_foreach(json_object_get(v, "leases"), i, lease)
			add_held_lease(r, c->worker, lease);
	json_decref(v);
	free(c);
	if (!--r->pending && r->all_sent)
		finish_round(r);
}

static void query_worker(struct outage_renewal *r, struct worker *w)
{
	struct outage_call *c = tg_xcalloc(1, sizeof(*c));
	struct tg_http_call_opts call = {
		.method = EVHTTP_REQ_GET,
		.addr = w->addr,
		.uri = "/v1/state",
		.timeout_ms = r->board->opts->call_ms,
		.done = on_state,
		.arg = c,
	};

	c->round = r;
	c->worker = w;
	r->pending++;
	w->call_in_flight = true;
	w->call_arg = c;
	w->call = tg_http_call_start(r->board->worker_http, &call);
}

static void begin_round(struct board *b)
{
	struct outage_renewal *r = tg_xcalloc(1, sizeof(*r));
	struct worker *w, *tmp;

	r->board = b;
	b->outage_round = r;
	HASH_ITER(hh, b->workers, w, tmp)
		if (*w->addr && !w->call_in_flight)
			query_worker(r, w);
	r->all_sent = true;
	if (!r->pending)
		free_round(r);
}

static void set_outage_renewing(struct board *b, bool on)
{
	if (on == b->outage_renewing)
		return;
	b->outage_renewing = on;
	tg_log(on ? EV_SCHED_OUTAGE_RENEWAL : EV_SCHED_OUTAGE_RENEWAL_END,
	       "az=%s", b->opts->az);
}

static void tick_outage(void *board, int64_t now_ms)
{
	struct board *b = board;
	bool on = b->role == ROLE_STANDBY && b->table_down && !b->jobs &&
		!b->opts->unsafe_no_outage_renewal && !tg_daemon_draining() &&
		authority_may_renew(b, now_ms);

	/* Claiming the row cancelled the calls of the round. */
	if (b->role != ROLE_STANDBY && b->outage_round)
		free_round(b->outage_round);
	if (!on || tg_member_active_scheduler(b->member, b->opts->az) ||
	    !is_renewer(b)) {
		set_outage_renewing(b, false);
		return;
	}
	set_outage_renewing(b, true);
	if (!b->outage_round)
		begin_round(b);
}

/* main.c sets the period from the settings. */
struct tg_controller outage = {
	.name = "outage",
	.period_ms = 5000,
	.tick = tick_outage,
};
