#include <stdlib.h>
#include <string.h>

#include "workerd.h"

/* Repeated, so that a platform that lost its list gets it back. */
#define REPEAT_MS 5000
#define RETRY_MS 500
#define TIMEOUT_MS 1000

static void on_registered(const struct tg_http_result *r, void *arg)
{
	bool ok = r->end == TG_HTTP_COMPLETE && r->status == 200;
	struct board *b = arg;

	if (!ok) {
		b->sending = NULL;
		tg_log(EV_WORKERD_REGISTER_FAILED, "status=%d", r->status);
		b->registered = NULL;
		return;
	}
	if (!b->registered || strcmp(b->registered, b->sending) != 0)
		tg_log(EV_WORKERD_REGISTERED, "state=%s", b->sending);
	b->registered = b->sending;
	b->sending = NULL;
}

static char *entry_text(const struct board *b)
{
	const struct opts *o = &b->opts;
	json_t *v = json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:s, s:s,"
		" s:I, s:I, s:I, s:I, s:I}",
		"name", o->name, "kind", "worker", "az", o->az, "rack", o->rack,
		"state", b->wanted, "addr", tg_http_server_addr(b->agent),
		"service_addr", tg_http_server_addr(b->service), "cores",
		(json_int_t)o->cores, "memory_gb", (json_int_t)o->memory_gb,
		"accelerators", (json_int_t)o->accelerators, "slots",
		(json_int_t)o->slots, "connections",
		(json_int_t)o->connections);
	char *text = json_dumps(v, JSON_COMPACT);

	json_decref(v);
	return text;
}

static bool is_removal(const struct board *b)
{
	return !strcmp(b->wanted, "removed");
}

static void send_registration(struct board *b)
{
	struct tg_http_call_opts call = {
		.method = EVHTTP_REQ_POST,
		.addr = b->opts.platform,
		.uri = "/standin/instances",
		.timeout_ms = TIMEOUT_MS,
		.done = on_registered,
		.arg = b,
	};
	char *body = NULL, *uri = NULL;

	if (is_removal(b)) {
		uri = tg_xasprintf("/standin/instances/%s", b->opts.name);
		call.method = EVHTTP_REQ_DELETE;
		call.uri = uri;
	} else {
		body = entry_text(b);
		call.body = body;
		call.body_bytes = strlen(body);
	}
	b->sending = b->wanted;
	b->registered_ms = tg_now_ms();
	tg_http_call_start(b->client, &call);
	free(body);
	free(uri);
}

void register_tick(struct board *b)
{
	int64_t since_ms = tg_now_ms() - b->registered_ms;
	bool same = b->registered && !strcmp(b->registered, b->wanted);

	if (!b->opts.platform || b->sending)
		return;
	if (same && (is_removal(b) || since_ms < REPEAT_MS))
		return;
	/* NULL after a failed call */
	if (!b->registered && b->registered_ms && since_ms < RETRY_MS)
		return;
	send_registration(b);
}
