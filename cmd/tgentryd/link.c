#include <stdlib.h>

#include "entryd.h"

/* HTTP and RPC clients, the RPC server and the membership of the daemon. */

/* Limit of an answer to a probe.  Those of workers are far shorter. */
#define PROBE_BODY_BYTES_MAX 65536
/*
 * Idle connections that are kept to one backend server, unless its own limit of
 * connections is lower.
 */
#define IDLE_CONNECTIONS_PER_WORKER 64

static void on_doc(const struct tg_doc *doc, void *entryd)
{
	(void)doc;
	workers_apply_document(entryd);
	services_dispatch_queued(entryd);
}

static void on_instances(const struct tg_instance *list, size_t n, void *entryd)
{
	workers_apply_instances(entryd, list, n);
}

static const tg_rpc_handler handlers[TG_RPC_N_PROCS] = {
	[TG_RPC_REQUEST_FORWARD] = issued_key_serve_forward,
	[TG_RPC_WORKER_NOTES] = notes_serve,
};

static void make_clients(struct entryd *d)
{
	struct tg_http_client_opts backend = {
		.base = d->base,
		.idle_per_addr = IDLE_CONNECTIONS_PER_WORKER,
		.unsafe_reuse = d->settings.unsafe_reuse_after_timeout,
		.unsafe_undelimited = d->settings.unsafe_pass_undelimited,
	};
	struct tg_http_client_opts probe = { .base = d->base,
					     .body_bytes = PROBE_BODY_BYTES_MAX,
					     .idle_per_addr = 1 };
	struct tg_http_client_opts plat = { .base = d->base };

	d->backend_http = tg_http_client_new(&backend);
	d->probe_http = tg_http_client_new(&probe);
	d->plat_http = tg_http_client_new(&plat);
	d->rpc = tg_rpc_client_new(d->base);
}

static void make_platform_client(struct entryd *d)
{
	struct tg_plat_opts opts = {
		.base = d->base,
		.http = d->plat_http,
		.addr = d->settings.platform,
	};

	if (d->settings.platform)
		d->plat = tg_plat_new(&opts);
}

static int start(void *entryd)
{
	struct entryd *d = entryd;
	struct tg_member_opts member = {
		.base = d->base,
		.rpc = d->rpc,
		.instance = d->settings.instance,
		.role = "entry",
		.az = d->settings.az,
		.peers = d->settings.peers,
		.on_doc = on_doc,
		.on_instances = on_instances,
		.arg = d,
		.unsafe_apply_any = d->settings.unsafe_apply_any_generation,
		.unsafe_no_doc_polls = d->settings.unsafe_no_document_polls,
	};
	struct tg_rpc_server_opts rpc = {
		.base = d->base,
		.addr = d->settings.rpc_addr,
		.handlers = handlers,
		.arg = d,
		.common = tg_member_handlers,
	};

	make_clients(d);
	make_platform_client(d);
	member.rpc = d->rpc;
	member.plat = d->plat;
	d->member = tg_member_new(&member);
	rpc.common_arg = d->member;
	d->rpc_server = tg_rpc_server_new(&rpc);
	if (!d->rpc_server)
		return -1;
	tg_member_start(d->member, tg_rpc_server_addr(d->rpc_server));
	return 0;
}

static void stop(void *entryd)
{
	struct entryd *d = entryd;

	tg_rpc_server_free(d->rpc_server);
	tg_rpc_client_free(d->rpc);
	tg_http_client_free(d->backend_http);
	tg_http_client_free(d->probe_http);
	tg_plat_free(d->plat);
	tg_http_client_free(d->plat_http);
	tg_member_free(d->member);
}

const struct tg_controller link_controller = {
	.name = "link",
	.start = start,
	.stop = stop,
};
