#include <stdlib.h>
#include <string.h>

#include "platformd.h"

#define PREFIX "/v1/objects/"

static void put_object(struct board *b, const char *name, struct evbuffer *in)
{
	struct object *o;

	HASH_FIND_STR(b->objects, name, o);
	if (!o) {
		o = tg_xcalloc(1, sizeof(*o));
		o->name = tg_xstrdup(name);
		HASH_ADD_KEYPTR(hh, b->objects, o->name, strlen(o->name), o);
	}
	o->n = evbuffer_get_length(in);
	o->body = tg_xrealloc(o->body, o->n);
	evbuffer_copyout(in, o->body, o->n);
}

static void delete_object(struct board *b, struct object *o)
{
	HASH_DEL(b->objects, o);
	free(o->body);
	free(o->name);
	free(o);
}

static void run_object(struct call *c)
{
	char *path = tg_http_decode_path(c->req);
	const char *name = path + strlen(PREFIX);
	enum evhttp_cmd_type method = evhttp_request_get_command(c->req);
	struct object *o;

	HASH_FIND_STR(c->board->objects, name, o);
	if (!key_valid(name)) {
		call_error(c, 400, "path", "not a valid name");
	} else if (method == EVHTTP_REQ_PUT) {
		put_object(c->board, name,
			   evhttp_request_get_input_buffer(c->req));
		call_reply_bytes(c, 201, "", 0);
	} else if (method == EVHTTP_REQ_DELETE) {
		if (o)
			delete_object(c->board, o);
		call_reply_bytes(c, 204, "", 0);
	} else if (o) {
		call_reply_bytes(c, 200, o->body, o->n);
	} else {
		call_error(c, 404, "path", "no such object");
	}
	free(path);
}

void objects_any(struct evhttp_request *req, void *arg)
{
	bool write = evhttp_request_get_command(req) != EVHTTP_REQ_GET;

	call_start(arg, req, SERVICE_OBJECTS, write, run_object);
}
