#include <stdlib.h>
#include <string.h>

#include "site/site.h"

struct store_call {
	char *row;
	tg_job_store_done done;
	void *arg;
};

static enum tg_job_store_result to_job_stored(const struct store_call *c,
					      const struct tg_store_result *r)
{
	switch (r->end) {
	case TG_STORE_OK:
		return TG_JOB_STORED;
	case TG_STORE_CONFLICT:
		if (!r->n_rows)
			return TG_JOB_NOT_STORED;
		return tg_job_rows_equal(r->rows[0].value,
					 r->rows[0].value_bytes, c->row,
					 strlen(c->row)) ?
			TG_JOB_STORED :
			TG_JOB_ID_TAKEN;
	case TG_STORE_INVALID:
		return TG_JOB_REJECTED;
	case TG_STORE_UNKNOWN:
		return TG_JOB_UNKNOWN;
	default:
		return TG_JOB_NOT_STORED;
	}
}

static void on_written(const struct tg_store_result *r, void *arg)
{
	struct store_call *c = arg;
	enum tg_job_store_result end = to_job_stored(c, r);
	int64_t version = 0;

	if (end == TG_JOB_STORED)
		version = r->n_rows ? r->rows[0].version : r->version;
	c->done(end, version, c->arg);
	free(c->row);
	free(c);
}

void tg_job_store(struct tg_site *s, const char *job, const char *row,
		  int64_t timeout_ms, tg_job_store_done done, void *arg)
{
	struct store_call *c = tg_xcalloc(1, sizeof(*c));
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

	c->row = tg_xstrdup(row);
	c->done = done;
	c->arg = arg;
	put.value = c->row;
	put.value_bytes = strlen(c->row);
	s->ops->tx(s->port, &tx, on_written, c);
}

static const enum tg_rpc_status rpc_statuses[] = {
	[TG_JOB_STORED] = TG_RPC_OK,
	[TG_JOB_ID_TAKEN] = TG_RPC_STALE,
	[TG_JOB_NOT_STORED] = TG_RPC_UNAVAILABLE,
	[TG_JOB_REJECTED] = TG_RPC_REFUSED,
	[TG_JOB_UNKNOWN] = TG_RPC_UNKNOWN,
};

enum tg_rpc_status tg_job_store_result_to_rpc(enum tg_job_store_result end)
{
	return rpc_statuses[end];
}

enum tg_job_store_result tg_job_store_result_from_rpc(enum tg_rpc_status status)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(rpc_statuses); i++)
		if (rpc_statuses[i] == status)
			return (enum tg_job_store_result)i;
	return TG_JOB_UNKNOWN;
}
