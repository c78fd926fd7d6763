#include "oncrpc/codec.h"

const struct tg_event_info tg_rpc_events[] = {
#define TG_EVENT TG_EVENT_INFO
#include "oncrpc/events.def"
#undef TG_EVENT
	{ 0, TG_INFO, NULL },
};

#define VOID_XDR rpc_xdr_void
#define PROC(name, args, res)                                      \
	{                                                          \
		name, (xdrproc_t)xdr_##args, (xdrproc_t)xdr_##res, \
			sizeof(struct args), sizeof(struct res)    \
	}

const struct tg_rpc_proc tg_rpc_procs[TG_RPC_N_PROCS] = {
	[TG_RPC_NULL] = { "null", VOID_XDR, VOID_XDR, 0, 0 },
	[TG_RPC_PING] = PROC("ping", tg_rpc_peer, tg_rpc_peer),
	[TG_RPC_DOC_PUSH] = PROC("doc_push", tg_rpc_doc, tg_rpc_doc_result),
	[TG_RPC_DOC_PULL] = PROC("doc_pull", tg_rpc_generation, tg_rpc_doc),
	[TG_RPC_JOB_SUBMIT] = PROC("job_submit", tg_rpc_job, tg_rpc_answer),
	[TG_RPC_JOB_CANCEL] = PROC("job_cancel", tg_rpc_job, tg_rpc_answer),
	[TG_RPC_JOB_STATUS] = PROC("job_status", tg_rpc_job, tg_rpc_answer),
	[TG_RPC_JOB_LIST] = PROC("job_list", tg_rpc_list, tg_rpc_answer),
	[TG_RPC_JOB_EXPLAIN] = PROC("job_explain", tg_rpc_job, tg_rpc_answer),
	[TG_RPC_REQUEST_FORWARD] =
		PROC("request_forward", tg_rpc_request, tg_rpc_response),
	[TG_RPC_WORKER_NOTES] = { "worker_notes",
				  (xdrproc_t)xdr_tg_rpc_worker_notes, VOID_XDR,
				  sizeof(struct tg_rpc_worker_notes), 0 },
	[TG_RPC_WORKER_LIST] = PROC("worker_list", tg_rpc_list, tg_rpc_answer),
	[TG_RPC_GUARANTEE_LIST] =
		PROC("guarantee_list", tg_rpc_list, tg_rpc_answer),
	[TG_RPC_INSTANCE_LIST] =
		PROC("instance_list", tg_rpc_instance_page, tg_rpc_instances),
	[TG_RPC_JOB_STORE] = PROC("job_store", tg_rpc_job, tg_rpc_answer),
};
