#include <stdlib.h>

#include "board.h"

/* HTTP and RPC clients, the RPC server and the membership of the daemon. */

/* Limit of the body of an answer to a probe; workers send far shorter ones. */
#define PROBE_BODY_BYTES_MAX 65536
/*
 * Idle connections that are kept to one backend server, unless its own limit of
 * connections is lower.
 */
#define IDLE_CONNECTIONS_PER_WORKER 64

static void on_doc(const struct tg_doc *doc, void *board)
{
	(void)doc;
	workers_apply_document(board);
	services_dispatch_queued(board);
}

static void on_instances(const struct tg_instance *list, size_t n, void *board)
{
	workers_apply_instances(board, list, n);
}

static const tg_rpc_handler handlers[TG_RPC_N_PROCS] = {
	[TG_RPC_REQUEST_FORWARD] = issued_key_serve_forward,
	[TG_RPC_WORKER_NOTES] = notes_serve,
};

static void make_clients(struct board *b)
{
	struct tg_http_client_opts backend = {
		.base = b->base,
		.idle_per_addr = IDLE_CONNECTIONS_PER_WORKER,
		.unsafe_reuse = b->settings.unsafe_reuse_after_timeout,
		.unsafe_undelimited = b->settings.unsafe_pass_undelimited,
	};
	struct tg_http_client_opts probe = { .base = b->base,
					     .body_bytes = PROBE_BODY_BYTES_MAX,
					     .idle_per_addr = 1 };
	struct tg_http_client_opts plat = { .base = b->base };

	b->backend_http = tg_http_client_new(&backend);
	b->probe_http = tg_http_client_new(&probe);
	b->plat_http = tg_http_client_new(&plat);
	b->rpc = tg_rpc_client_new(b->base);
}

static void make_platform_client(struct board *b)
{
	struct tg_plat_opts opts = {
		.base = b->base,
		.http = b->plat_http,
		.addr = b->settings.platform,
	};

	if (b->settings.platform)
		b->plat = tg_plat_new(&opts);
}

static int start(void *board)
{
	struct board *b = board;
	struct tg_member_opts member = {
		.base = b->base,
		.rpc = b->rpc,
		.instance = b->settings.instance,
		.role = "entry",
		.az = b->settings.az,
		.peers = b->settings.peers,
		.on_doc = on_doc,
		.on_instances = on_instances,
		.arg = b,
		.unsafe_apply_any = b->settings.unsafe_apply_any_generation,
		.unsafe_no_doc_polls = b->settings.unsafe_no_document_polls,
	};
	struct tg_rpc_server_opts rpc = {
		.base = b->base,
		.addr = b->settings.rpc_addr,
		.handlers = handlers,
		.arg = b,
		.common = tg_member_rpc_handlers,
	};

	make_clients(b);
	make_platform_client(b);
	member.rpc = b->rpc;
	member.plat = b->plat;
	b->member = tg_member_new(&member);
	rpc.common_arg = b->member;
	b->rpc_server = tg_rpc_server_new(&rpc);
	if (!b->rpc_server)
		return -1;
	tg_member_start(b->member, tg_rpc_server_addr(b->rpc_server));
	return 0;
}

static void stop(void *board)
{
	struct board *b = board;

	tg_rpc_server_free(b->rpc_server);
	tg_rpc_client_free(b->rpc);
	tg_http_client_free(b->backend_http);
	tg_http_client_free(b->probe_http);
	tg_plat_free(b->plat);
	tg_http_client_free(b->plat_http);
	tg_member_free(b->member);
}

const struct tg_controller link_controller = {
	.name = "link",
	.start = start,
	.stop = stop,
};
