#include "board.h"

static int start_rpc(void *board)
{
	struct board *b = board;
	struct tg_rpc_server_opts opts = {
		.base = b->base,
		.addr = b->opts.rpc_addr,
		.common = tg_member_rpc_handlers,
		.common_arg = b->member,
	};

	b->rpc_server = tg_rpc_server_new(&opts);
	if (!b->rpc_server)
		return -1;
	tg_member_start(b->member, tg_rpc_server_addr(b->rpc_server));
	return 0;
}

static bool drain_rpc(void *board, int64_t now_ms)
{
	struct board *b = board;

	(void)now_ms;
	return !tg_rpc_server_in_progress(b->rpc_server);
}

static void stop_rpc(void *board)
{
	struct board *b = board;

	tg_rpc_server_free(b->rpc_server);
}

const struct tg_controller rpc_controller = {
	.name = "rpc",
	.start = start_rpc,
	.drain = drain_rpc,
	.stop = stop_rpc,
};
