#ifndef TG_SCHEDD_VIEWS_H
#define TG_SCHEDD_VIEWS_H

#include "board.h"

/* Bodies of RPC replies; each returns a new reference. */
json_t *view_explain(struct board *b, const struct job *j);
json_t *view_jobs(struct board *b, const struct tg_rpc_list *args);
json_t *view_workers(struct board *b, const struct tg_rpc_list *args);
json_t *view_guarantees(struct board *b, const struct tg_rpc_list *args);

#endif
