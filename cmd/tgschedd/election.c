#include <string.h>

#include "authority.h"
#include "controllers.h"
#include "jobrow.h"
#include "rowwrite.h"

/*
 * Peers are pinged every second.  The limit covers the period and a round trip,
 * so that one lost ping ends the deferral to the holder.
 */
#define HOLDER_PING_MAX_AGE_MS 1500
/*
 * Limit of the deferral to a holder that answers pings, in scheduler leases.
 * The holder abandons a renewal without an answer after 3 s, reads the row back
 * and renews again, so that the row changes every 4 s to 5 s.
 */
#define HOLDER_LEASES_MAX 4

static json_t *row_value(const struct board *b, uint64_t epoch,
			 const char *holder)
{
	return json_pack("{s:I, s:s, s:s, s:s}", "epoch", (json_int_t)epoch,
			 "holder", holder, "rpc_addr",
			 tg_rpc_server_addr(b->rpc_server), "boot",
			 tg_member_boot_id(b->member));
}

static uint64_t row_epoch(const json_t *v)
{
	json_int_t n = json_integer_value(json_object_get(v, "epoch"));

	return n < 0 ? 0 : (uint64_t)n;
}

static void copy_text(const json_t *v, const char *key, char *out, size_t size)
{
	const char *s = json_string_value(json_object_get(v, key));

	if (!s || !tg_strlcpy(out, s, size))
		*out = '\0';
}

static void update_from_row(struct board *b, const struct tg_row *row,
			    int64_t now_ms)
{
	if (b->row_version != row->version || !b->row_changed_ms)
		b->row_changed_ms = now_ms;
	b->row_version = row->version;
	b->row_epoch = row_epoch(row->value);
	copy_text(row->value, "holder", b->row_holder, sizeof(b->row_holder));
	copy_text(row->value, "boot", b->row_boot, sizeof(b->row_boot));
	copy_text(row->value, "rpc_addr", b->row_rpc, sizeof(b->row_rpc));
}

static void start_term(struct board *b, uint64_t epoch)
{
	int64_t now_ms = tg_now_ms();

	board_reset(b);
	b->role = ROLE_INSTALLING;
	b->epoch = b->term = b->row_epoch = epoch;
	b->unknown_claim_epoch = 0;
	b->claimed_ms = b->row_changed_ms = b->raised_ms = now_ms;
	b->epoch_raise_wanted = b->epoch_raise_in_flight = false;
	authority_note_row_read(b, b->row_write_sent_ms);
	tg_log(EV_SCHED_CLAIMED, "az=%s epoch=%llu", b->opts->az,
	       (unsigned long long)epoch);
	tg_member_set_scheduler_state(b->member, epoch, false);
}

static void on_claimed(enum tg_plat_result end, const struct tg_row *rows,
		       size_t n, void *arg)
{
	struct board *b = arg;

	b->row_write_in_flight = false;
	if (b->role != ROLE_CLAIMING)
		return;
	if (end == TG_PLAT_OK && n) {
		b->row_version = rows[0].version;
		board_set_table_available(b, true);
		start_term(b, b->row_epoch + 1);
		return;
	}
	/* If the result is unknown, the next read shows who holds the row. */
	if (end == TG_PLAT_UNKNOWN)
		b->unknown_claim_epoch = b->row_epoch + 1;
	b->role = ROLE_STANDBY;
	b->row_changed_ms = 0;
	if (end == TG_PLAT_UNAVAILABLE || end == TG_PLAT_UNKNOWN)
		board_set_table_available(b, false);
}

static void claim(struct board *b)
{
	struct tg_txn *t = tg_txn_new(b->plat);
	char key[TG_KEY_MAX];

	sched_row_key(b, key);
	tg_txn_if(t, key, b->row_version);
	tg_txn_put(t, key, row_value(b, b->row_epoch + 1, b->opts->instance));
	b->role = ROLE_CLAIMING;
	b->row_write_in_flight = true;
	b->row_write_sent_ms = tg_now_ms();
	tg_txn_commit(t, on_claimed, b);
}

/*
 * Whether the holder answers pings.  If so, its renewals may be in progress in
 * a slow table.
 */
static bool holder_answers(const struct board *b, int64_t now_ms)
{
	const struct tg_member_peer *p =
		tg_member_find_peer(b->member, b->row_holder, "sched");

	return p && p->answered_ms && p->epoch == b->row_epoch &&
		!strcmp(p->boot, b->row_boot) &&
		now_ms - p->answered_ms <= HOLDER_PING_MAX_AGE_MS;
}

static bool is_row_free(const struct board *b, int64_t now_ms)
{
	int64_t unchanged_ms = now_ms - b->row_changed_ms;

	if (!b->row_version || !*b->row_holder)
		return true;
	if (unchanged_ms < b->opts->sched_lease_ms)
		return false;
	return b->opts->unsafe_ignore_holder ||
		unchanged_ms >= HOLDER_LEASES_MAX * b->opts->sched_lease_ms ||
		!holder_answers(b, now_ms);
}

/* Whether the row shows a claim of this process whose result was unknown. */
static bool is_own_claim(const struct board *b)
{
	return b->unknown_claim_epoch &&
		b->row_epoch == b->unknown_claim_epoch && *b->row_holder &&
		!strcmp(b->row_boot, tg_member_boot_id(b->member));
}

static void claim_if_free(struct board *b, int64_t now_ms)
{
	if (tg_daemon_draining() || b->row_write_in_flight)
		return;
	if (!b->opts->unsafe_ignore_holder && is_own_claim(b))
		start_term(b, b->row_epoch);
	else if (is_row_free(b, now_ms))
		claim(b);
}

static void on_row_as_standby(struct board *b, enum tg_plat_result end,
			      const struct tg_row *row, int64_t now_ms)
{
	static const struct tg_row none;

	if (end == TG_PLAT_UNAVAILABLE) {
		/* The holder can't renew either, so its lease starts again. */
		b->row_changed_ms = 0;
		board_set_table_available(b, false);
		return;
	}
	board_set_table_available(b, true);
	update_from_row(b, end == TG_PLAT_OK ? row : &none, now_ms);
	claim_if_free(b, now_ms);
}

/* Called with the epoch of a row that this process wrote. */
static void adopt_raised_epoch(struct board *b, uint64_t epoch)
{
	if (epoch <= b->epoch)
		return;
	b->epoch = b->row_epoch = epoch;
	b->raised_ms = tg_now_ms();
	b->epoch_raise_wanted = false;
	tg_log(EV_SCHED_EPOCH_RAISED, "az=%s epoch=%llu", b->opts->az,
	       (unsigned long long)epoch);
	tg_member_set_scheduler_state(b->member, epoch, b->role == ROLE_ACTIVE);
}

static void on_row_as_holder(struct board *b, enum tg_plat_result end,
			     const struct tg_row *row)
{
	if (end == TG_PLAT_UNAVAILABLE) {
		board_set_table_available(b, false);
		return;
	}
	if (end != TG_PLAT_OK || !sched_row_is_own(b, row)) {
		board_step_down(b, "row",
				end == TG_PLAT_OK ? row_epoch(row->value) : 0);
		return;
	}
	b->row_write_unknown = false;
	b->row_version = row->version;
	adopt_raised_epoch(b, row_epoch(row->value));
}

static void on_row_read(enum tg_plat_result end, const struct tg_row *row,
			void *arg)
{
	struct board *b = arg;

	b->row_read_in_flight = false;
	if (end != TG_PLAT_UNAVAILABLE)
		authority_note_row_read(b, b->row_read_sent_ms);
	if (b->role == ROLE_STANDBY)
		on_row_as_standby(b, end, row, tg_now_ms());
	else if (b->role != ROLE_CLAIMING && b->row_write_unknown &&
		 !b->row_write_in_flight)
		on_row_as_holder(b, end, row);
}

static void read_row(struct board *b)
{
	char key[TG_KEY_MAX];

	if (b->row_read_in_flight)
		return;
	b->row_read_in_flight = true;
	b->row_read_sent_ms = tg_now_ms();
	sched_row_key(b, key);
	tg_row_get(b->plat, key, on_row_read, b);
}

static void on_row_written(enum tg_plat_result end, const struct tg_row *rows,
			   size_t n, void *arg)
{
	struct board *b = arg;
	bool released = b->row_release_sent;

	b->row_write_in_flight = false;
	if (!b->epoch)
		return;
	switch (end) {
	case TG_PLAT_OK:
		if (n)
			b->row_version = rows[0].version;
		b->row_changed_ms = tg_now_ms();
		authority_note_row_read(b, b->row_write_sent_ms);
		if (b->epoch_raise_in_flight)
			adopt_raised_epoch(b, b->epoch + 1);
		board_set_table_available(b, true);
		if (released) {
			tg_log(EV_SCHED_HANDED_OVER, "epoch=%llu",
			       (unsigned long long)b->epoch);
			tg_member_set_scheduler_state(b->member, 0, false);
		}
		break;
	case TG_PLAT_CONFLICT:
		if (n && sched_row_is_own(b, &rows[0])) {
			b->row_version = rows[0].version;
			adopt_raised_epoch(b, row_epoch(rows[0].value));
			break;
		}
		board_step_down(b, "row", n ? row_epoch(rows[0].value) : 0);
		/*
		 * With unsafe_ignore_epoch the process stays active.  It must
		 * not renew the row of another process.
		 */
		b->row_version = 0;
		break;
	case TG_PLAT_UNKNOWN:
		b->row_write_unknown = true;
		board_set_table_available(b, false);
		break;
	default:
		b->row_version--;
		board_set_table_available(b, false);
		break;
	}
}

static void write_row(struct board *b, const char *holder)
{
	struct tg_txn *t = tg_txn_new(b->plat);
	char key[TG_KEY_MAX];

	sched_row_key(b, key);
	tg_txn_if(t, key, b->row_version);
	b->epoch_raise_in_flight = b->epoch_raise_wanted && *holder;
	tg_txn_put(t, key,
		   row_value(b, b->epoch + b->epoch_raise_in_flight, holder));
	b->row_write_in_flight = true;
	b->row_write_sent_ms = tg_now_ms();
	/* Writes sent from now on are applied after this one. */
	b->row_version++;
	tg_txn_commit(t, on_row_written, b);
}

static void tick_election(void *board, int64_t now_ms)
{
	struct board *b = board;

	(void)now_ms;
	switch (b->role) {
	case ROLE_STANDBY:
		if (!b->row_write_in_flight)
			read_row(b);
		break;
	case ROLE_CLAIMING:
	case ROLE_LEAVING:
		break;
	default:
		if (b->row_write_unknown)
			read_row(b);
		else if (!b->row_write_in_flight)
			write_row(b, b->opts->instance);
		break;
	}
}

static int start_election(void *board)
{
	read_row(board);
	return 0;
}

/* Before the row is released, starts and writes are completed or undone. */
static bool starts_in_progress(struct board *b)
{
	struct job *j, *tmp;

	HASH_ITER(hh, b->jobs, j, tmp) {
		if (j->row_call_in_flight || j->waiters)
			return true;
		if (j->gang == GANG_RESERVING || j->gang == GANG_COMMITTING ||
		    j->gang == GANG_STARTING)
			return true;
	}
	return false;
}

/* Callers repeat their calls at the next scheduler. */
static void reply_to_waiters(struct board *b)
{
	static const char text[] = "the scheduler is stopping; ask again";
	struct job *j, *tmp;

	HASH_ITER(hh, b->jobs, j, tmp) {
		board_reply(b, &j->waiters, TG_RPC_UNKNOWN, NULL, text);
		board_reply(b, &j->cancel_waiters, TG_RPC_UNKNOWN, NULL, text);
	}
}

static bool drain_election(void *board, int64_t now_ms)
{
	struct board *b = board;

	(void)now_ms;
	switch (b->role) {
	case ROLE_STANDBY:
		return !b->row_write_in_flight;
	case ROLE_CLAIMING:
		return false;
	case ROLE_INSTALLING:
	case ROLE_LOADING:
		break;
	case ROLE_ACTIVE:
		if (!b->table_down && starts_in_progress(b))
			return false;
		break;
	case ROLE_LEAVING:
		return !b->row_write_in_flight;
	}
	if (b->row_write_in_flight)
		return false;
	b->role = ROLE_LEAVING;
	reply_to_waiters(b);
	if (b->table_down || b->row_write_unknown || b->opts->unsafe_keep_row)
		return true;
	b->row_release_sent = true;
	write_row(b, "");
	return false;
}

/* main.c sets the period from the settings. */
struct tg_controller election = {
	.name = "election",
	.period_ms = 2000,
	.start = start_election,
	.tick = tick_election,
	.drain = drain_election,
};
