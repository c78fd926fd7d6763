#ifndef TGFLOWD_HANDOVER_H
#define TGFLOWD_HANDOVER_H

#include "oncrpc/oncrpc.h"
#include "site/site.h"

struct board;

/** handover_keep() - keep what this owner knows of leases, as its term ends */
void handover_keep(struct board *b);
/** handover_list() - answer a TG_RPC_WORKER_LIST call of the next owner */
void handover_list(struct tg_rpc_req *req, void *args, void *arg);

/**
 * handover_expect() - a claim replaces this owner
 * @o: NULL if there is none
 * @term: of that owner
 */
void handover_expect(const struct tg_former_owner *o, uint64_t term);
/** handover_former_yielded() - that process answers that it acts no more */
void handover_former_yielded(const char *boot);
/** handover_ask() - ask the former owner if that is due */
void handover_ask(struct board *b, int64_t now_ms);

#endif
