#include <stdlib.h>
#include <string.h>

#include "authority.h"
#include "controllers.h"
#include "lease.h"
#include "message.h"
#include "outage.h"

/*
 * Renewal by a standby.  Each round first asks all workers for their leases
 * and then renews the gangs that are whole; what a worker did not show in this
 * round is not renewed.  Nothing is ever reserved, started or stopped here.
 */

struct held {
	struct observed_lease lease;
	struct worker *worker;
};

struct outage_renewal {
	struct board *board;
	size_t asked;
	struct held *held;
	size_t n_held;
	bool sent;
};

struct ask {
	struct outage_renewal *round;
	struct worker *worker;
};

/* The lowest name among those that answer is the renewer. */
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
	free(r->held);
	free(r);
}

static void on_renewed(const struct tg_http_result *r, void *arg)
{
	struct ask *a = arg;
	json_t *v = tg_http_result_json(r);

	a->worker->call = NULL;
	a->worker->call_arg = NULL;
	a->worker->call_in_flight = false;
	if (v && r->status == 200)
		worker_update_from_response(a->worker, v);
	json_decref(v);
	free(a);
}

static void post_renewals(struct board *b, struct worker *w, json_t *ops)
{
	struct ask *a = tg_xcalloc(1, sizeof(*a));
	/* Our own epoch is 0; that of the worker is the installed one. */
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
		.arg = a,
	};

	a->worker = w;
	authority_note_command(b, tg_now_ms());
	w->call_in_flight = true;
	w->call_arg = a;
	w->call = tg_http_call_start(b->worker_http, &call);
	json_decref(v);
	free(text);
}

static json_t *renew_op(const struct board *b, const struct held *h)
{
	return json_pack("{s:s, s:s, s:I, s:i, s:I}", "op", "renew", "job",
			 h->lease.job, "attempt", (json_int_t)h->lease.attempt,
			 "index", h->lease.index, "expires_ms",
			 (json_int_t)lease_worker_expiry_ms(h->worker->clock_ms,
							    b->opts->lease_ms));
}

static struct observed_lease *seen_leases(const struct outage_renewal *r)
{
	struct observed_lease *all = tg_xcalloc(r->n_held + 1, sizeof(*all));
	size_t i;

	for (i = 0; i < r->n_held; i++)
		all[i] = r->held[i].lease;
	return all;
}

/* Another epoch than the highest known one may be counted as expired. */
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

	for (i = 0; i < r->n_held; i++) {
		const struct held *h = &r->held[i];

		if (h->worker == w && h->lease.running &&
		    json_array_size(ops) < OPS_MAX &&
		    gang_is_complete(all, r->n_held, &h->lease))
			json_array_append_new(ops, renew_op(r->board, h));
	}
	if (json_array_size(ops) && !w->call_in_flight &&
	    may_renew_on(r->board, w))
		post_renewals(r->board, w, ops);
	else
		json_decref(ops);
}

static void finish_round(struct outage_renewal *r)
{
	struct board *b = r->board;
	struct observed_lease *all;
	struct worker *w, *tmp;

	if (b->role == ROLE_STANDBY && b->outage_round == r) {
		all = seen_leases(r);
		HASH_ITER(hh, b->workers, w, tmp)
			renew_worker(r, all, w);
		free(all);
	}
	free_round(r);
}

static void hold(struct outage_renewal *r, struct worker *w, const json_t *v)
{
	const char *job = json_string_value(json_object_get(v, "job"));
	const char *state = json_string_value(json_object_get(v, "state"));
	struct held *h;

	if (!job || !state || !tg_name_valid(job))
		return;
	r->held = tg_xrealloc(r->held, (r->n_held + 1) * sizeof(*r->held));
	h = &r->held[r->n_held++];
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
	struct ask *a = arg;
	struct outage_renewal *r = a->round;
	json_t *v = tg_http_result_json(res), *lease;
	size_t i;

	a->worker->call = NULL;
	a->worker->call_arg = NULL;
	a->worker->call_in_flight = false;
	if (v && res->status == 200 &&
	    worker_update_from_response(a->worker, v))
		json_array_foreach(json_object_get(v, "leases"), i, lease)
			hold(r, a->worker, lease);
	json_decref(v);
	free(a);
	if (!--r->asked && r->sent)
		finish_round(r);
}

static void ask(struct outage_renewal *r, struct worker *w)
{
	struct ask *a = tg_xcalloc(1, sizeof(*a));
	struct tg_http_call_opts call = {
		.method = EVHTTP_REQ_GET,
		.addr = w->addr,
		.uri = "/v1/state",
		.timeout_ms = r->board->opts->call_ms,
		.done = on_state,
		.arg = a,
	};

	a->round = r;
	a->worker = w;
	r->asked++;
	w->call_in_flight = true;
	w->call_arg = a;
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
			ask(r, w);
	r->sent = true;
	if (!r->asked)
		free_round(r);
}

static void set_renewing(struct board *b, bool on)
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

	/* The calls of the round were cancelled when the row was claimed. */
	if (b->role != ROLE_STANDBY && b->outage_round)
		free_round(b->outage_round);
	if (!on || tg_member_scheduler(b->member, b->opts->az) ||
	    !is_renewer(b)) {
		set_renewing(b, false);
		return;
	}
	set_renewing(b, true);
	if (!b->outage_round)
		begin_round(b);
}

/* The period comes from the settings. */
struct tg_controller outage = {
	.name = "outage",
	.period_ms = 5000,
	.tick = tick_outage,
};
