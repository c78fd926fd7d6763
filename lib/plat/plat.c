#include <stdlib.h>
#include <string.h>

#include "plat/plat_internal.h"

#define TIMEOUT_MS 1000
#define SETTLE_MS 3000
#define GROUP_MAX 64

const struct tg_event_info tg_plat_events[] = {
#define TG_EVENT TG_EVENT_INFO
#include "plat/events.def"
#undef TG_EVENT
	{ 0, TG_INFO, NULL },
};

struct call {
	struct tg_plat *plat;
	struct tg_http_call *http;
	void (*done)(struct tg_plat *p, const struct tg_http_result *r,
		     void *arg);
	void (*free_arg)(void *arg);
	void *arg;
	bool is_object_store;
	struct call *prev, *next;
};

static void unlink_call(struct call *c)
{
	if (c->prev)
		c->prev->next = c->next;
	else
		c->plat->calls = c->next;
	if (c->next)
		c->next->prev = c->prev;
}

static void on_call_done(const struct tg_http_result *r, void *arg)
{
	struct call *c = arg;

	unlink_call(c);
	if (!c->is_object_store)
		plat_update_reachable(c->plat, r);
	c->done(c->plat, r, c->arg);
	free(c);
}

void plat_call(struct tg_plat *p, const struct call_opts *opts)
{
	struct tg_http_call_opts http = {
		.method = opts->method,
		.addr = p->opts.addr,
		.uri = opts->uri,
		.headers = opts->headers,
		.body = opts->body,
		.body_bytes = opts->body_bytes,
		.timeout_ms = p->opts.timeout_ms,
		.done = on_call_done,
	};
	struct call *c = tg_xcalloc(1, sizeof(*c));

	/* The transfer of a list or an object may take longer than a call. */
	if (opts->method == EVHTTP_REQ_GET)
		http.stall_ms = p->opts.timeout_ms;
	c->plat = p;
	c->done = opts->done;
	c->free_arg = opts->free_arg;
	c->is_object_store = opts->is_object_store;
	c->arg = opts->arg;
	c->next = p->calls;
	if (c->next)
		c->next->prev = c;
	p->calls = c;
	http.arg = c;
	c->http = tg_http_call_start(p->opts.http, &http);
	free(opts->uri);
}

void plat_update_reachable(struct tg_plat *p, const struct tg_http_result *r)
{
	bool down = r->end != TG_HTTP_COMPLETE || r->status == 503;

	if (down == p->down)
		return;
	p->down = down;
	tg_log(down ? EV_PLAT_DOWN : EV_PLAT_UP, "addr=%s", p->opts.addr);
}

enum tg_plat_result plat_read_result(const struct tg_http_result *r)
{
	if (r->end != TG_HTTP_COMPLETE)
		return TG_PLAT_UNAVAILABLE;
	if (r->status == 200)
		return TG_PLAT_OK;
	if (r->status == 304)
		return TG_PLAT_UNCHANGED;
	return r->status == 404 ? TG_PLAT_NOT_FOUND : TG_PLAT_UNAVAILABLE;
}

bool plat_parse_row(const json_t *v, struct tg_row *row)
{
	const char *key = json_string_value(json_object_get(v, "key"));
	const json_t *version = json_object_get(v, "version");

	if (!key || !json_is_integer(version) ||
	    json_integer_value(version) < 0)
		return false;
	row->key = key;
	row->version = (uint64_t)json_integer_value(version);
	row->token = json_string_value(json_object_get(v, "token"));
	row->value = json_object_get(v, "value");
	return true;
}

void plat_report_bad_answer(const char *place)
{
	tg_log(EV_PLAT_BAD_ANSWER, "place=%s", place);
	tg_counter("tg_plat_bad_answers_total",
		   "Answers of the platform that break the contract.", NULL)
		->value++;
}

struct tg_plat *tg_plat_new(const struct tg_plat_opts *opts)
{
	struct tg_plat *p = tg_xcalloc(1, sizeof(*p));

	p->opts = *opts;
	p->opts.addr = tg_xstrdup(opts->addr);
	if (!p->opts.timeout_ms)
		p->opts.timeout_ms = TIMEOUT_MS;
	if (!p->opts.settle_ms)
		p->opts.settle_ms = SETTLE_MS;
	if (!p->opts.group_max)
		p->opts.group_max = GROUP_MAX;
	p->queue_tail = &p->queue;
	p->flush_timer = event_new(opts->base, -1, 0, plat_on_flush_timer, p);
	p->reads =
		tg_counter("tg_table_reads_total", "Reads of the table.", NULL);
	p->txns = tg_counter("tg_table_txns_total",
			     "Transactions asked of the client.", NULL);
	p->table_writes = tg_counter("tg_table_writes_total",
				     "Transactions sent to the table.", NULL);
	p->unknown_results =
		tg_counter("tg_table_unknown_total",
			   "Writes whose result stayed unknown.", NULL);
	p->conflicts = tg_counter("tg_table_conflicts_total",
				  "Transactions that conflicted.", NULL);
	return p;
}

void tg_plat_free(struct tg_plat *p)
{
	if (!p)
		return;
	while (p->calls) {
		struct call *c = p->calls;

		unlink_call(c);
		tg_http_call_cancel(c->http);
		if (c->free_arg)
			c->free_arg(c->arg);
		free(c);
	}
	plat_txn_free_all(p);
	event_free(p->flush_timer);
	free((char *)p->opts.addr);
	free(p);
}

bool tg_plat_reachable(const struct tg_plat *p)
{
	return !p->down;
}
