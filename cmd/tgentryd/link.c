#include <stdlib.h>

#include "board.h"

/* Answers to probes are short; a longer one is not from a worker. */
#define PROBE_BODY_BYTES 65536
/* Connections to a backend server are kept up to its own limit. */
#define IDLE_PER_WORKER 64

static void on_doc(const struct tg_doc *doc, void *board)
{
	(void)doc;
	workers_note_doc(board);
	service_pump_all(board);
}

static void on_instances(const struct tg_instance *list, size_t n, void *board)
{
	workers_note_list(board, list, n);
}

static const tg_rpc_handler handlers[TG_RPC_N_PROCS] = {
	[TG_RPC_REQUEST_FORWARD] = issued_serve_forward,
	[TG_RPC_WORKER_NOTES] = notes_serve,
};

static void make_clients(struct board *b)
{
	struct tg_http_client_opts backend = {
		.base = b->base,
		.idle_per_addr = IDLE_PER_WORKER,
		.unsafe_reuse = b->set.unsafe_reuse_after_timeout,
		.unsafe_undelimited = b->set.unsafe_pass_undelimited,
	};
	struct tg_http_client_opts prober = { .base = b->base,
					      .body_bytes = PROBE_BODY_BYTES,
					      .idle_per_addr = 1 };
	struct tg_http_client_opts plat = { .base = b->base };

	b->backend = tg_http_client_new(&backend);
	b->prober = tg_http_client_new(&prober);
	b->plat_http = tg_http_client_new(&plat);
	b->rpc = tg_rpc_client_new(b->base);
}

static void make_plat(struct board *b)
{
	struct tg_plat_opts opts = {
		.base = b->base,
		.http = b->plat_http,
		.addr = b->set.platform,
	};

	if (b->set.platform)
		b->plat = tg_plat_new(&opts);
}

static int start(void *board)
{
	struct board *b = board;
	struct tg_member_opts member = {
		.base = b->base,
		.rpc = b->rpc,
		.instance = b->set.instance,
		.role = "entry",
		.az = b->set.az,
		.peers = b->set.peers,
		.on_doc = on_doc,
		.on_instances = on_instances,
		.arg = b,
		.unsafe_apply_any = b->set.unsafe_apply_any_generation,
		.unsafe_no_doc_polls = b->set.unsafe_no_document_polls,
	};
	struct tg_rpc_server_opts rpc = {
		.base = b->base,
		.addr = b->set.rpc_addr,
		.handlers = handlers,
		.arg = b,
		.common = tg_member_handlers,
	};

	make_clients(b);
	make_plat(b);
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
	tg_http_client_free(b->backend);
	tg_http_client_free(b->prober);
	tg_plat_free(b->plat);
	tg_http_client_free(b->plat_http);
	tg_member_free(b->member);
}

const struct tg_controller link_controller = {
	.name = "link",
	.start = start,
	.stop = stop,
};
