#include <string.h>

#include "board.h"

/*
 * Worker notes: the state of workers, which the entry daemons of an AZ send
 * each other with WORKER_NOTES when it changes and in full from time to time.
 */

#define FULL_NOTES_PERIOD_MS 10000
/* With this many notes a datagram stays below 16 KiB. */
#define NOTES_PER_DATAGRAM 64
/*
 * A note on a probe that preceded a reply with Tg-Draining may arrive after
 * that reply, and the reply carries no time of the worker's clock to compare.
 * For this long after such a reply, notes that the worker is up are ignored.
 */
#define STALE_NOTE_MS 4000

struct batch {
	struct board *board;
	struct tg_rpc_worker_note notes[NOTES_PER_DATAGRAM];
	u_int n;
};

static void send_batch(struct batch *batch)
{
	struct board *b = batch->board;
	struct tg_rpc_worker_notes args = {
		.instance = (char *)b->settings.instance,
		.boot = (char *)tg_member_boot_id(b->member),
		.notes = { .notes_len = batch->n, .notes_val = batch->notes },
	};
	const struct tg_member_peer *peers;
	size_t i, n;

	if (!batch->n)
		return;
	peers = tg_member_peers(b->member, &n);
	for (i = 0; i < n; i++)
		if (peers[i].live && !strcmp(peers[i].role, "entry") &&
		    !strcmp(peers[i].az, b->settings.az))
			tg_rpc_send_datagram(b->rpc, peers[i].rpc_addr,
					     TG_RPC_WORKER_NOTES, &args);
	batch->n = 0;
}

static enum tg_rpc_worker_state worker_state(const struct worker *w)
{
	if (w->self_reported_draining)
		return TG_RPC_WORKER_DRAINING;
	return w->down ? TG_RPC_WORKER_DOWN : TG_RPC_WORKER_UP;
}

static void add_note(struct batch *batch, struct worker *w)
{
	batch->notes[batch->n++] = (struct tg_rpc_worker_note){
		.worker = w->name,
		.boot = w->boot,
		.seq = ++batch->board->note_seq,
		.observed_ms = w->observed_ms,
		.state = worker_state(w),
		.slots = w->slots,
		.slots_in_use = w->in_use_reported,
		.connections = w->connections,
	};
	w->note_due = false;
	w->last_note_in_use = w->in_use_reported;
	if (batch->n == NOTES_PER_DATAGRAM)
		send_batch(batch);
}

/*
 * The periodic full notes cover only the workers that this process probes, as
 * the peers send theirs.
 */
static bool was_probed_here(const struct worker *w, int64_t now_ms)
{
	return w->next_probe_ms &&
		now_ms - w->next_probe_ms < FULL_NOTES_PERIOD_MS &&
		w->self_report_ms;
}

static void tick(void *board, int64_t now_ms)
{
	struct board *b = board;
	struct batch batch = { .board = b };
	bool full = now_ms >= b->next_full_notes_ms;
	struct worker *w, *next;

	if (!full && !b->notes_due)
		return;
	HASH_ITER(hh, b->workers, w, next)
		if (w->note_due || (full && was_probed_here(w, now_ms)))
			add_note(&batch, w);
	send_batch(&batch);
	b->notes_due = false;
	if (full)
		b->next_full_notes_ms = now_ms + FULL_NOTES_PERIOD_MS;
}

/*
 * Whether the note is about the known start of the worker.  One that names
 * another start may be older, as that of a peer that was stopped for a while,
 * and boots have no order.  Only a probe shows which start runs now.
 */
static bool is_about_known_start(struct worker *w,
				 const struct tg_rpc_worker_note *n)
{
	if (*w->boot ? !strcmp(w->boot, n->boot) : !w->probe_wanted)
		return true;
	w->probe_wanted = true;
	return false;
}

/*
 * Returns false if the note is not newer than what is known, as datagrams may
 * arrive out of order or more than once.  Stores the sender and the number of
 * the note.
 */
static bool accept_if_newer(struct worker *w,
			    const struct tg_rpc_worker_notes *a,
			    const struct tg_rpc_worker_note *n)
{
	if (!strcmp(w->note_sender, a->instance) &&
	    !strcmp(w->note_sender_boot, a->boot) && n->seq <= w->note_seq)
		return false;
	tg_strlcpy(w->note_sender, a->instance, sizeof(w->note_sender));
	tg_strlcpy(w->note_sender_boot, a->boot, sizeof(w->note_sender_boot));
	w->note_seq = n->seq;
	/*
	 * While another peer takes over the probes, two peers send notes on one
	 * worker, so the times of the observations are compared as well.
	 */
	if (n->state == TG_RPC_WORKER_DOWN)
		return n->observed_ms >= w->observed_ms;
	return worker_accept_observation(w, n->boot, n->observed_ms);
}

static bool is_stale(const struct worker *w, const struct tg_rpc_worker_note *n)
{
	return w->leaving_reply_ms && n->state == TG_RPC_WORKER_UP &&
		!strcmp(w->boot, n->boot) &&
		tg_now_ms() - w->leaving_reply_ms < STALE_NOTE_MS;
}

static void apply_note(struct board *b, const struct tg_rpc_worker_notes *a,
		       const struct tg_rpc_worker_note *n)
{
	bool draining = n->state == TG_RPC_WORKER_DRAINING;
	bool was_due = b->notes_due;
	struct worker *w;

	HASH_FIND_STR(b->workers, n->worker, w);
	if (!w || !is_about_known_start(w, n) || !accept_if_newer(w, a, n) ||
	    is_stale(w, n))
		return;
	if (n->state == TG_RPC_WORKER_DOWN)
		worker_set_down(b, w, true);
	else
		worker_apply_self_report(b, w, n->boot, draining);
	if (n->state == TG_RPC_WORKER_UP)
		worker_set_down(b, w, false);
	if (n->slots && n->slots < INT32_MAX)
		w->slots = n->slots;
	worker_set_in_use(w, n->slots_in_use);
	/* Don't forward the change: the sender has sent it to all peers. */
	w->note_due = false;
	b->notes_due = was_due;
}

void notes_serve(struct tg_rpc_req *rpc, void *args, void *board)
{
	const struct tg_rpc_worker_notes *a = args;
	struct board *b = board;
	u_int i;

	if (strcmp(a->instance, b->settings.instance) != 0) {
		for (i = 0; i < a->notes.notes_len; i++)
			apply_note(b, a, &a->notes.notes_val[i]);
		services_dispatch_queued(b);
	}
	tg_rpc_reply(rpc, NULL);
}

const struct tg_controller notes_controller = {
	.name = "notes",
	.period_ms = 100,
	.tick = tick,
};
