#include <stdlib.h>
#include <string.h>

#include "plat/plat_internal.h"

struct instances_call {
	tg_instances_done done;
	void *arg;
};

/* Returns false if the string is too long; a missing one leaves @out alone. */
static bool copy_optional_string(const json_t *v, const char *key, char *out,
				 size_t size)
{
	const char *s = json_string_value(json_object_get(v, key));

	return !s || tg_strlcpy(out, s, size);
}

/* Returns 0 if the number is missing or out of range. */
static int32_t get_optional_int(const json_t *v, const char *key)
{
	json_int_t n = json_integer_value(json_object_get(v, key));

	return n < 0 || n > INT32_MAX ? 0 : (int32_t)n;
}

static bool parse_kind(const char *s, enum tg_instance_kind *kind)
{
	static const char *const names[] = { "worker", "entry", "sched",
					     "console" };
	size_t i;

	for (i = 0; s && i < ARRAY_SIZE(names); i++)
		if (!strcmp(s, names[i])) {
			*kind = (enum tg_instance_kind)i;
			return true;
		}
	return false;
}

static bool parse_instance(const json_t *v, struct tg_instance *in)
{
	const char *state = json_string_value(json_object_get(v, "state"));

	memset(in, 0, sizeof(*in));
	if (!parse_kind(json_string_value(json_object_get(v, "kind")),
			&in->kind) ||
	    !copy_optional_string(v, "name", in->name, sizeof(in->name)) ||
	    !copy_optional_string(v, "az", in->az, sizeof(in->az)) ||
	    !copy_optional_string(v, "rack", in->rack, sizeof(in->rack)) ||
	    !copy_optional_string(v, "addr", in->addr, sizeof(in->addr)) ||
	    !copy_optional_string(v, "service_addr", in->service_addr,
				  sizeof(in->service_addr)) ||
	    !copy_optional_string(v, "rpc_addr", in->rpc_addr,
				  sizeof(in->rpc_addr)))
		return false;
	in->leaving = state && !strcmp(state, "leaving");
	in->cores = get_optional_int(v, "cores");
	in->memory_gb = get_optional_int(v, "memory_gb");
	in->accelerators = get_optional_int(v, "accelerators");
	in->slots = get_optional_int(v, "slots");
	in->connections = get_optional_int(v, "connections");
	return tg_name_valid(in->name) && tg_name_valid(in->az);
}

static void on_instances(struct tg_plat *p, const struct tg_http_result *r,
			 void *arg)
{
	struct instances_call *c = arg;
	struct tg_instance *instances = NULL;
	json_t *v = NULL, *item, *items;
	enum tg_plat_result result = plat_read_result(r);
	const char *etag = NULL;
	size_t i, n = 0;

	(void)p;
	if (result == TG_PLAT_UNCHANGED)
		goto out;
	if (result == TG_PLAT_OK)
		v = tg_http_result_json(r);
	items = json_object_get(v, "instances");
	if (result != TG_PLAT_OK || !json_is_array(items)) {
		result = TG_PLAT_UNAVAILABLE;
		goto out;
	}
	etag = evhttp_find_header(r->headers, "ETag");
	instances = tg_xcalloc(json_array_size(items), sizeof(*instances));
	json_array_foreach(items, i, item) {
		if (parse_instance(item, &instances[n]))
			n++;
		else
			plat_report_bad_answer("instances");
	}
out:
	c->done(result, instances, n,
		etag && strlen(etag) <= TG_ETAG_MAX ? etag : "", c->arg);
	json_decref(v);
	free(instances);
	free(c);
}

void tg_instances_list(struct tg_plat *p, const char *az, const char *etag,
		       tg_instances_done done, void *arg)
{
	const struct tg_http_header_field headers[] = {
		{ "If-None-Match", etag }, { NULL, NULL }
	};
	struct instances_call *c = tg_xcalloc(1, sizeof(*c));
	struct call_opts call = {
		.method = EVHTTP_REQ_GET,
		.uri = az ? tg_xasprintf("/v1/instances?az=%s", az) :
			    tg_xstrdup("/v1/instances"),
		.headers = *etag ? headers : NULL,
		.done = on_instances,
		.arg = c,
		.free_arg = free,
	};

	c->done = done;
	c->arg = arg;
	plat_call(p, &call);
}
