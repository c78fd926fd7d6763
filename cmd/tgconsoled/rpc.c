#include "board.h"

static void serve_ping(struct tg_rpc_req *req, void *args, void *arg)
{
	tg_member_serve_ping(((struct board *)arg)->member, req, args);
}

static void serve_push(struct tg_rpc_req *req, void *args, void *arg)
{
	tg_member_serve_doc_push(((struct board *)arg)->member, req, args);
}

static void serve_pull(struct tg_rpc_req *req, void *args, void *arg)
{
	tg_member_serve_doc_pull(((struct board *)arg)->member, req, args);
}

static void serve_instances(struct tg_rpc_req *req, void *args, void *arg)
{
	tg_member_serve_instance_list(((struct board *)arg)->member, req, args);
}

static const tg_rpc_handler handlers[TG_RPC_N_PROCS] = {
	[TG_RPC_PING] = serve_ping,
	[TG_RPC_DOC_PUSH] = serve_push,
	[TG_RPC_INSTANCE_LIST] = serve_instances,
	[TG_RPC_DOC_PULL] = serve_pull,
};

static int start(void *board)
{
	struct board *b = board;
	struct tg_rpc_server_opts opts = {
		.base = b->base,
		.addr = b->opts.rpc_addr,
		.handlers = handlers,
		.arg = b,
	};

	b->rpc_server = tg_rpc_server_new(&opts);
	if (!b->rpc_server)
		return -1;
	tg_member_start(b->member, tg_rpc_server_addr(b->rpc_server));
	return 0;
}

static bool drain(void *board, int64_t now_ms)
{
	struct board *b = board;

	(void)now_ms;
	return !tg_rpc_server_in_progress(b->rpc_server);
}

static void stop(void *board)
{
	struct board *b = board;

	tg_rpc_server_free(b->rpc_server);
}

const struct tg_controller rpc_controller = {
	.name = "rpc",
	.start = start,
	.drain = drain,
	.stop = stop,
};
