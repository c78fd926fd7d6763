#include <stdlib.h>
#include <string.h>

#include "site/site.h"

struct job_store {
	char *row;
	void (*done)(enum tg_job_stored end, void *arg);
	void *arg;
};

static enum tg_job_stored end_of(const struct job_store *k,
				 const struct tg_store_result *r)
{
	switch (r->end) {
	case TG_STORE_OK:
		return TG_JOB_STORED;
	case TG_STORE_CONFLICT:
		if (!r->n_rows)
			return TG_JOB_NOT_STORED;
		return tg_job_row_same(r->rows[0].value, r->rows[0].value_bytes,
				       k->row, strlen(k->row)) ?
			TG_JOB_STORED :
			TG_JOB_OTHER;
	case TG_STORE_INVALID:
		return TG_JOB_UNSTORABLE;
	case TG_STORE_UNKNOWN:
		return TG_JOB_UNKNOWN;
	default:
		return TG_JOB_NOT_STORED;
	}
}

static void on_written(const struct tg_store_result *r, void *arg)
{
	struct job_store *k = arg;

	k->done(end_of(k, r), k->arg);
	free(k->row);
	free(k);
}

void tg_job_store(struct tg_site *s, const char *job, const char *row,
		  int64_t timeout_ms,
		  void (*done)(enum tg_job_stored end, void *arg), void *arg)
{
	struct job_store *k = tg_xcalloc(1, sizeof(*k));
	struct tg_row check = {
		.table = TG_JOBS_TABLE,
		.part = tg_job_part(job),
		.key = job,
	};
	struct tg_row put = check;
	struct tg_store_tx tx = {
		.checks = &check,
		.n_checks = 1,
		.puts = &put,
		.n_puts = 1,
		.timeout_ms = timeout_ms,
	};

	k->row = tg_xstrdup(row);
	k->done = done;
	k->arg = arg;
	put.value = k->row;
	put.value_bytes = strlen(k->row);
	s->ops->tx(s->port, &tx, on_written, k);
}

static const enum tg_rpc_status statuses[] = {
	[TG_JOB_STORED] = TG_RPC_OK,
	[TG_JOB_OTHER] = TG_RPC_STALE,
	[TG_JOB_NOT_STORED] = TG_RPC_UNAVAILABLE,
	[TG_JOB_UNSTORABLE] = TG_RPC_REFUSED,
	[TG_JOB_UNKNOWN] = TG_RPC_UNKNOWN,
};

enum tg_rpc_status tg_job_stored_encode(enum tg_job_stored end)
{
	return statuses[end];
}

enum tg_job_stored tg_job_stored_decode(enum tg_rpc_status status)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(statuses); i++)
		if (statuses[i] == status)
			return (enum tg_job_stored)i;
	return TG_JOB_UNKNOWN;
}
