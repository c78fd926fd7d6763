#include "handover.h"

#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "rowlist.h"

/*
 * What a former owner tells the next one of leases.
 *
 * An owner that the store refuses can't store until when workers may hold
 * leases; see leasebounds.c.  If its process goes on, the next owner asks it.
 * Its answer is final, since it acts no more, and covers the owners before it
 * by its own count.
 */

/* Leases of former owners have ended by then. */
#define KEPT_MS 20000
#define ASK_TIMEOUT_MS 500
#define ASK_AGAIN_MS 300
#define ASK_TRIES 5
/*
 * The new owner counts a whole lease from its proof that this one has ended.
 * One that was renewed in this time lasts nearly as long, and is left out.
 */
#define RENEWED_MS 500

/* Of the last term of this process. */
static struct {
	uint64_t term;
	int64_t ended_ms;
	json_t *leases; /* [[WORKER, time left at ended_ms], ...] */
} kept;

/* The owner that this one has replaced, as far as it can be asked. */
static struct {
	struct tg_former_owner owner;
	uint64_t term;
	bool yielded;
	int tries;
	int64_t asked_ms;
	uint64_t own_term; /* of the board, when it was asked */
} former;

/* --- former owner --- */

/*
 * A worker that was declared lost has no runs, but the store may still name
 * them there.
 */
static bool is_known(const struct link *l)
{
	return l->leases_end_ms && (l->may_have_runs || l->failed);
}

void handover_keep(struct board *b)
{
	int64_t now_ms = tg_now_ms();
	int64_t limit_ms = now_ms + b->set.lease_ms - RENEWED_MS;
	const struct link *l;

	json_decref(kept.leases);
	kept.leases = json_array();
	kept.term = b->claim_fence;
	kept.ended_ms = now_ms;
	for (l = b->links; l; l = l->hh.next) {
		int64_t end_ms = link_leases_end_ms(l);

		if (is_known(l) && end_ms < limit_ms)
			json_array_append_new(
				kept.leases,
				json_pack("[s,I]", l->entry.id,
					  (json_int_t)(end_ms - now_ms)));
	}
}

static char *encode_kept(int64_t now_ms)
{
	struct row_list list;
	json_t *e;
	size_t i;

	row_list_begin(&list, TG_RPC_LIST_MAX);
	json_array_foreach(kept.leases, i, e) {
		int64_t left_ms = json_integer_value(json_array_get(e, 1));

		row_list_add(&list,
			     json_pack("[O,I]", json_array_get(e, 0),
				       (json_int_t)(left_ms + kept.ended_ms -
						    now_ms)));
	}
	return row_list_end(&list, "leases");
}

void handover_list(struct tg_rpc_req *req, void *args, void *arg)
{
	struct board *b = arg;
	int64_t now_ms = tg_now_ms();
	struct tg_rpc_answer a = {
		.status = TG_RPC_NOT_FOUND,
		.epoch = kept.term,
		.text = "no leases of an ended term are kept",
	};
	char *text = NULL;

	(void)args;
	if (!IS_OWNER(b) && kept.leases && now_ms - kept.ended_ms < KEPT_MS) {
		a.status = TG_RPC_OK;
		a.text = "";
		text = encode_kept(now_ms);
	}
	a.json.json_val = text;
	a.json.json_len = text ? (u_int)strlen(text) : 0;
	tg_rpc_reply(req, &a);
	free(text);
}

/* --- next owner --- */

void handover_expect(const struct tg_former_owner *o, uint64_t term)
{
	memset(&former, 0, sizeof(former));
	if (o)
		former.owner = *o;
	former.term = term;
}

void handover_former_yielded(const char *boot)
{
	if (*boot && !strcmp(boot, former.owner.boot))
		former.yielded = true;
}

static void apply(struct board *b, const struct tg_rpc_answer *a)
{
	json_t *o = json_loadb(a->json.json_val, a->json.json_len, 0, NULL);
	json_t *list = json_object_get(o, "leases"), *e;
	int64_t now_ms = tg_now_ms();
	int n = 0;
	size_t i;

	json_array_foreach(list, i, e) {
		const char *worker = json_string_value(json_array_get(e, 0));
		const json_t *left = json_array_get(e, 1);
		struct link *l = worker ? link_find(b, worker) : NULL;

		if (l && json_is_integer(left))
			n += link_limit_leases(
				l, now_ms + json_integer_value(left));
	}
	tg_log(EV_FLOW_HANDED_OVER,
	       "term=%llu former_term=%llu workers=%zu shortened=%d "
	       "after_ms=%lld",
	       (unsigned long long)b->claim_fence,
	       (unsigned long long)former.term, json_array_size(list), n,
	       (long long)(now_ms - b->former.claimed_ms));
	json_decref(o);
}

static void on_list(enum tg_rpc_call_status end, const void *res, void *arg)
{
	const struct tg_rpc_answer *a = res;
	struct board *b = arg;

	if (former.own_term != b->term || !IS_OWNER(b) || end != TG_RPC_CALL_OK)
		return;
	former.yielded = false;
	if (a->status == TG_RPC_OK && a->epoch == former.term &&
	    a->json.json_len)
		apply(b, a);
}

void handover_ask(struct board *b, int64_t now_ms)
{
	struct tg_rpc_list args = { .workspace = "", .after = "" };

	if (!former.yielded || !b->directory_read ||
	    former.tries >= ASK_TRIES ||
	    (former.tries && now_ms - former.asked_ms < ASK_AGAIN_MS))
		return;
	former.tries++;
	former.asked_ms = now_ms;
	former.own_term = b->term;
	tg_rpc_call(b->peers, former.owner.addr, TG_RPC_WORKER_LIST, &args,
		    ASK_TIMEOUT_MS, on_list, b);
}
