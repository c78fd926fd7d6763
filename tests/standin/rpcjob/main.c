#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "oncrpc/oncrpc.h"

/*
 * Calls a daemon and prints the status and the body of the answer:
 * rpcjob ADDR submit|cancel|status|explain WORKSPACE JOB [SPEC]
 * rpcjob ADDR list|workers|guarantees [WORKSPACE]
 * rpcjob ADDR push GENERATION DOCUMENT, an empty one to offer the generation
 * rpcjob ADDR note SENDER WORKER BOOT OBSERVED_MS up|down|draining
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

static void on_done(enum tg_rpc_call_status end, const void *res, void *arg)
{
	const struct tg_rpc_answer *a = res;
	struct run *r = arg;

	if (end == TG_RPC_CALL_OK) {
		r->status = a->status == TG_RPC_OK ? 0 : 1;
		printf("%s %.*s %s\n", statuses[a->status],
		       (int)a->json.json_len, a->json.json_val, a->text);
	} else {
		r->status = 3;
		printf("%s\n", ends[end]);
	}
	event_base_loopbreak(r->base);
}

static void on_pushed(enum tg_rpc_call_status end, const void *res, void *arg)
{
	const struct tg_rpc_doc_result *d = res;
	struct run *r = arg;

	if (end == TG_RPC_CALL_OK) {
		r->status = d->status == TG_RPC_OK ? 0 : 1;
		printf("%s %llu\n", statuses[d->status],
		       (unsigned long long)d->generation);
	} else {
		r->status = 3;
		printf("%s\n", ends[end]);
	}
	event_base_loopbreak(r->base);
}

static int push(struct tg_rpc_client *c, struct run *r, char **argv)
{
	struct tg_rpc_doc args = {
		.generation = strtoull(argv[3], NULL, 10),
		.body = { .body_len = (u_int)strlen(argv[4]),
			  .body_val = argv[4] },
	};

	tg_rpc_call(c, argv[1], TG_RPC_DOC_PUSH, &args, TIMEOUT_MS, on_pushed,
		    r);
	return event_base_dispatch(r->base);
}

static void on_noted(enum tg_rpc_call_status end, const void *res, void *arg)
{
	struct run *r = arg;

	(void)res;
	r->status = end == TG_RPC_CALL_OK ? 0 : 3;
	event_base_loopbreak(r->base);
}

static int send_note(struct tg_rpc_client *c, struct run *r, char **argv)
{
	struct tg_rpc_worker_note note = {
		.worker = argv[4],
		.boot = argv[5],
		.seq = 1,
		.observed_ms = strtoll(argv[6], NULL, 10),
		.state = TG_RPC_WORKER_UP,
	};
	struct tg_rpc_worker_notes args = {
		.instance = argv[3],
		.boot = "boot-1",
		.notes = { .notes_len = 1, .notes_val = &note },
	};

	if (!strcmp(argv[7], "down"))
		note.state = TG_RPC_WORKER_DOWN;
	else if (!strcmp(argv[7], "draining"))
		note.state = TG_RPC_WORKER_DRAINING;
	tg_rpc_call(c, argv[1], TG_RPC_WORKER_NOTES, &args, TIMEOUT_MS,
		    on_noted, r);
	return event_base_dispatch(r->base);
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

	if (argc == 8 && !strcmp(argv[2], "note"))
		return send_note(c, r, argv);
	if (argc == 5 && !strcmp(argv[2], "push"))
		return push(c, r, argv);
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
