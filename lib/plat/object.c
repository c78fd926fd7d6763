#include <stdlib.h>

#include "plat/plat_internal.h"

struct object_call {
	tg_object_done done;
	void *arg;
};

static void on_read(struct tg_plat *p, const struct tg_http_result *r,
		    void *arg)
{
	enum tg_plat_result result = plat_read_result(r);
	struct object_call *c = arg;
	size_t n = 0;
	const void *body = NULL;

	(void)p;
	if (result == TG_PLAT_OK) {
		n = evbuffer_get_length(r->body);
		body = evbuffer_pullup(r->body, -1);
	}
	c->done(result, body, n, c->arg);
	free(c);
}

static void on_write(struct tg_plat *p, const struct tg_http_result *r,
		     void *arg)
{
	enum tg_plat_result result = TG_PLAT_UNKNOWN;
	struct object_call *c = arg;

	(void)p;
	if (r->end == TG_HTTP_COMPLETE && r->status / 100 == 2)
		result = TG_PLAT_OK;
	else if (!r->sent || (r->end == TG_HTTP_COMPLETE && r->status == 503))
		result = TG_PLAT_UNAVAILABLE;
	else if (r->end == TG_HTTP_COMPLETE && r->status / 100 == 4)
		result = TG_PLAT_INVALID;
	if (c->done)
		c->done(result, NULL, 0, c->arg);
	free(c);
}

static void start_object_call(struct tg_plat *p, struct call_opts *call,
			      const char *name, tg_object_done done, void *arg)
{
	struct object_call *c = tg_xcalloc(1, sizeof(*c));

	c->done = done;
	c->arg = arg;
	call->uri = tg_xasprintf("/v1/objects/%s", name);
	call->arg = c;
	call->free_arg = free;
	call->is_object_store = true;
	plat_call(p, call);
}

void tg_object_get(struct tg_plat *p, const char *name, tg_object_done done,
		   void *arg)
{
	struct call_opts call = { .method = EVHTTP_REQ_GET, .done = on_read };

	p->reads->value++;
	start_object_call(p, &call, name, done, arg);
}

void tg_object_put(struct tg_plat *p, const char *name, const void *body,
		   size_t n, tg_object_done done, void *arg)
{
	struct call_opts call = {
		.method = EVHTTP_REQ_PUT,
		.body = body,
		.body_bytes = n,
		.done = on_write,
	};

	start_object_call(p, &call, name, done, arg);
}

void tg_object_delete(struct tg_plat *p, const char *name, tg_object_done done,
		      void *arg)
{
	struct call_opts call = {
		.method = EVHTTP_REQ_DELETE,
		.done = on_write,
	};

	start_object_call(p, &call, name, done, arg);
}
