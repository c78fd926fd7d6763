#include <stdlib.h>
#include <string.h>

#include "board.h"

/* Minimum interval between reads of the owner's row. */
#define READ_MS 250
#define READ_TIMEOUT_MS 800

struct owner_call_state {
	struct board *board;
	owner_call_done done;
	void *arg;
	int64_t started_ms;
	char addr[TG_ADDR_MAX + 1];
};

static void set_owner(struct board *b, const char *addr, const char *source)
{
	if (!strcmp(b->owner_addr, addr))
		return;
	tg_strlcpy(b->owner_addr, addr, sizeof(b->owner_addr));
	if (*addr)
		tg_log(EV_QUEUE_OWNER, "addr=%s source=%s", addr, source);
}

static void on_row(const struct tg_store_result *r, void *arg)
{
	struct board *b = arg;
	struct tg_owner_row o;

	b->owner_reading = false;
	if (r->end != TG_STORE_OK)
		return;
	b->store_failed_ms = 0;
	if (!r->n_rows)
		return;
	if (!tg_owner_row_decode(&r->rows[0], &o))
		set_owner(b, o.released ? "" : o.addr, "row");
}

static void read_owner(struct board *b)
{
	struct tg_store_range range = {
		.table = TG_OWNER_TABLE,
		.part = TG_OWNER_PART,
		.timeout_ms = READ_TIMEOUT_MS,
	};
	int64_t now_ms = tg_now_ms();

	if (b->owner_reading || now_ms - b->owner_read_ms < READ_MS)
		return;
	b->owner_reading = true;
	b->owner_read_ms = now_ms;
	b->site.ops->get(b->site.port, &range, on_row, b);
}

static void update_owner(struct board *b, const json_t *answer)
{
	const char *addr = json_string_value(json_object_get(answer, "addr"));

	set_owner(b, addr && tg_addr_valid(addr) ? addr : "", "peer");
	read_owner(b);
}

/* The owner tells which document it uses, and how old that knowledge is. */
static void hear_of_document(const struct owner_call_state *k,
			     const json_t *answer)
{
	const json_t *age = json_object_get(answer, "not-current-ms");
	const json_t *generation = json_object_get(answer, "generation");

	if (json_integer_value(age) >= 0 && json_is_integer(age) &&
	    json_is_integer(generation))
		tg_document_heard_of(k->board->document,
				     json_integer_value(generation),
				     k->started_ms - json_integer_value(age));
}

static void handle_answer(struct owner_call_state *k,
			  const struct tg_rpc_answer *a)
{
	struct board *b = k->board;
	json_t *o = json_loadb(a->json.json_val, a->json.json_len, 0, NULL);

	hear_of_document(k, o);
	room_heard_of(b, o);
	if (a->status == TG_RPC_NOT_ACTIVE) {
		update_owner(b, o);
		k->done(TG_RPC_CALL_REJECTED, NULL, k->arg);
	} else {
		k->done(TG_RPC_CALL_OK, a, k->arg);
	}
	json_decref(o);
}

static void on_answer(enum tg_rpc_call_status end, const void *res, void *arg)
{
	struct owner_call_state *k = arg;
	struct board *b = k->board;

	if (end == TG_RPC_CALL_OK) {
		handle_answer(k, res);
	} else {
		if (!strcmp(b->owner_addr, k->addr)) {
			tg_log(EV_QUEUE_OWNER_LOST, "addr=%s end=%d", k->addr,
			       (int)end);
			set_owner(b, "", "");
		}
		read_owner(b);
		k->done(end, NULL, k->arg);
	}
	free(k);
}

/*
 * Address of the flow daemon on this instance.  It is no use as a peer for
 * writes since it reaches the store by the same path.
 */
static const char *local_flow_addr(const struct board *b)
{
	static char addr[TG_ADDR_MAX + 16];

	snprintf(addr, sizeof(addr), "%s:%d", b->site.set.ip,
		 b->site.set.peers_port);
	return addr;
}

const char *owner_pick_peer(struct board *b)
{
	const char *own = local_flow_addr(b);

	if (*b->owner_addr && strcmp(b->owner_addr, own) != 0)
		return b->owner_addr;
	return tg_flow_peers_pick(&b->members, &b->rng, own);
}

static void on_no_peer(evutil_socket_t fd, short what, void *arg)
{
	struct owner_call_state *k = arg;

	(void)fd;
	(void)what;
	k->done(TG_RPC_CALL_NOT_SENT, NULL, k->arg);
	free(k);
}

void owner_call(struct board *b, uint32_t proc, const void *args,
		int64_t timeout_ms, owner_call_done done, void *arg)
{
	struct owner_call_state *k = tg_xcalloc(1, sizeof(*k));
	struct timeval now = { 0 };
	const char *addr;

	k->board = b;
	k->done = done;
	k->arg = arg;
	k->started_ms = tg_now_ms();
	if (!*b->owner_addr)
		read_owner(b);
	/* A flow daemon that is not the owner answers with the owner's address.
	 */
	addr = *b->owner_addr ? b->owner_addr : owner_pick_peer(b);
	if (!addr) {
		event_base_once(b->base, -1, EV_TIMEOUT, on_no_peer, k, &now);
		return;
	}
	tg_strlcpy(k->addr, addr, sizeof(k->addr));
	tg_rpc_call(b->peers, addr, proc, args, timeout_ms, on_answer, k);
}

static int start(void *board)
{
	struct board *b = board;

	b->peers = tg_rpc_client_new(b->base);
	b->members.site = &b->site;
	tg_rng_seed(&b->rng);
	read_owner(b);
	return 0;
}

static void tick(void *board, int64_t now_ms)
{
	struct board *b = board;

	(void)now_ms;
	/* A read that succeeds also shows that the store is available again. */
	if (!*b->owner_addr || b->store_failed_ms)
		read_owner(b);
	tg_flow_peers_refresh(&b->members);
	room_check(b);
}

static void stop(void *board)
{
	struct board *b = board;

	tg_rpc_client_free(b->peers);
}

const struct tg_controller owner_controller = {
	.name = "owner",
	.period_ms = 250,
	.start = start,
	.tick = tick,
	.stop = stop,
};
