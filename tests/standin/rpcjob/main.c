#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "oncrpc/oncrpc.h"

/*
 * Calls a scheduler daemon and prints the status and the body of the answer:
 * rpcjob ADDR submit|cancel|status|explain WORKSPACE JOB [SPEC]
 * rpcjob ADDR list|workers|guarantees [WORKSPACE]
 */

#define TIMEOUT_MS 10000

static const char *const statuses[] = { "ok",	   "not-found",	  "not-active",
					"refused", "unavailable", "unknown",
					"stale" };
static const char *const ends[] = { "ok", "not-sent", "timeout", "broken",
				    "rpc-refused" };

struct run {
	struct event_base *base;
	int status;
};

static void on_done(enum tg_rpc_end end, const void *res, void *arg)
{
	const struct tg_rpc_answer *a = res;
	struct run *r = arg;

	if (end == TG_RPC_END_OK) {
		r->status = a->status == TG_RPC_OK ? 0 : 1;
		printf("%s %.*s %s\n", statuses[a->status],
		       (int)a->json.json_len, a->json.json_val, a->text);
	} else {
		r->status = 3;
		printf("%s\n", ends[end]);
	}
	event_base_loopbreak(r->base);
}

static const struct {
	const char *name;
	uint32_t proc;
	bool job;
} calls[] = {
	{ "submit", TG_RPC_JOB_SUBMIT, true },
	{ "cancel", TG_RPC_JOB_CANCEL, true },
	{ "status", TG_RPC_JOB_STATUS, true },
	{ "explain", TG_RPC_JOB_EXPLAIN, true },
	{ "list", TG_RPC_JOB_LIST, false },
	{ "workers", TG_RPC_WORKER_LIST, false },
	{ "guarantees", TG_RPC_GUARANTEE_LIST, false },
};

static int call(struct tg_rpc_client *c, struct run *r, int argc, char **argv)
{
	char *spec = argc > 5 ? argv[5] : "";
	struct tg_rpc_job job = { .workspace = argc > 3 ? argv[3] : "",
				  .job = argc > 4 ? argv[4] : "",
				  .spec = { .spec_len = (u_int)strlen(spec),
					    .spec_val = spec } };
	struct tg_rpc_list list = { .workspace = job.workspace, .after = "" };
	size_t i;

	for (i = 0; i < ARRAY_SIZE(calls); i++) {
		if (strcmp(calls[i].name, argv[2]) != 0)
			continue;
		tg_rpc_call(c, argv[1], calls[i].proc,
			    calls[i].job ? (void *)&job : (void *)&list,
			    TIMEOUT_MS, on_done, r);
		return event_base_dispatch(r->base);
	}
	fprintf(stderr, "rpcjob: unknown call %s\n", argv[2]);
	r->status = TG_EXIT_USAGE;
	return 0;
}

int main(int argc, char **argv)
{
	struct run r = { .base = event_base_new(), .status = 3 };
	struct tg_rpc_client *c = tg_rpc_client_new(r.base);

	if (argc < 3) {
		fprintf(stderr,
			"usage: rpcjob ADDR CALL [WORKSPACE [JOB "
			"[SPEC]]]\n");
		return TG_EXIT_USAGE;
	}
	tg_log_open("rpcjob", "error");
	tg_log_register(tg_rpc_events);
	call(c, &r, argc, argv);
	tg_rpc_client_free(c);
	event_base_free(r.base);
	return r.status;
}
