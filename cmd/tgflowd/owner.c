#include <string.h>

#include "board.h"
#include "ownerwrites.h"

/* Interval between pings of the owner. */
#define PING_MS 300
#define PING_TIMEOUT_MS 500
/* A refused connection fails within this time; a silent peer takes longer. */
#define REFUSED_WITHIN_MS 250
/* A standby reads the owner's row after this long without an answer. */
#define OWNER_SILENT_MS 600
/*
 * The owner writes its row every RENEW_MS (writer.c) or sooner.  It is
 * considered dead if the row stays unchanged this long: after pings showed that
 * its process has ended or is not active, and after pings without an answer.
 */
#define UNCHANGED_ENDED_MS 300
#define UNCHANGED_SILENT_MS 1100
/*
 * An instance with fewer than PREFERRED_CORES delays its claim by up to
 * CLAIM_DELAY_MAX_MS, so that an instance with more becomes the owner if there
 * is one: the CPU time of the owner's rounds grows with the number of workers.
 */
#define PREFERRED_CORES 0.25
#define CLAIM_DELAY_MAX_MS 2000
#define READ_TIMEOUT_MS 800
#define CLAIM_TIMEOUT_MS 1000
/*
 * An owner stops renewing leases this long after its last successful write.  It
 * covers the usual outages of the store, in which no standby can take over.
 */
#define RENEW_AFTER_WRITE_MAX_MS 10000

static struct {
	bool pinging, reading, silence_logged;
	/* Since when the process that wrote the row is known to have ended. */
	int64_t ended_since_ms; /* 0 if it may be running */
	bool stale; /* it runs but answers that it is not active */
	uint64_t ping_fence; /* fence of the owner that is being pinged */
	int64_t ping_ms, last_alive_ms;
	int64_t read_version, unchanged_since_ms;
	int64_t claimable_since_ms; /* there is a reason to claim; or 0 */
} watch;

static void on_ping(enum tg_rpc_call_status end, const void *res, void *arg)
{
	struct board *b = arg;
	const struct tg_rpc_peer *p = res;
	int64_t now_ms = tg_now_ms();
	bool ended;

	watch.pinging = false;
	/* The owner may have changed during the ping. */
	if (watch.ping_fence != b->owner.fence)
		return;
	watch.stale = false;
	if (end == TG_RPC_CALL_OK && !strcmp(p->boot, b->owner.boot)) {
		watch.stale = !p->active;
		watch.ended_since_ms = 0;
		if (p->active) {
			watch.last_alive_ms = now_ms;
			watch.silence_logged = false;
		}
		return;
	}
	/*
	 * The owner's process has ended if another process answers at its
	 * address or nothing listens there.  A broken connection is not
	 * enough: it may have led to an earlier process at the address.
	 */
	ended = end == TG_RPC_CALL_OK ||
		(end == TG_RPC_CALL_NOT_SENT &&
		 now_ms - watch.ping_ms < REFUSED_WITHIN_MS);
	if (!ended)
		watch.ended_since_ms = 0;
	else if (!watch.ended_since_ms)
		watch.ended_since_ms = now_ms;
}

static void ping_owner(struct board *b, int64_t now_ms)
{
	struct tg_rpc_peer me = {
		.instance = b->site.set.instance,
		.role = "flow",
		.az = b->site.set.az,
		.boot = b->boot,
	};

	if (watch.pinging || now_ms - watch.ping_ms < PING_MS ||
	    !*b->owner.addr)
		return;
	watch.pinging = true;
	watch.ping_fence = b->owner.fence;
	watch.ping_ms = now_ms;
	tg_rpc_call(b->peers, b->owner.addr, TG_RPC_PING, &me, PING_TIMEOUT_MS,
		    on_ping, b);
}

static void set_owner_row(struct board *b, const struct tg_row *row)
{
	struct tg_owner_row o;

	if (tg_owner_row_decode(row, &o)) {
		tg_log(EV_ROW_BAD, "table=%s key=%s version=%lld",
		       TG_OWNER_TABLE, row->key, (long long)row->version);
		return;
	}
	if (o.fence != b->owner.fence) {
		watch.last_alive_ms = tg_now_ms();
		watch.stale = false;
		watch.ended_since_ms = 0;
	}
	b->owner = o;
	b->owner_version = row->version;
}

static void begin_term(struct board *b, const char *why)
{
	int64_t lease_ms = b->set.lease_ms * (100 + CLOCK_SLOW_PERCENT) / 100 +
		EXPIRY_MARGIN_MS;

	b->term++;
	b->directory_read = false;
	b->role = ROLE_RECOVERING;
	b->fence = b->owner.fence;
	b->written_ms = tg_now_ms();
	b->refused_since_ms = 0;
	/* A former owner that still runs renews leases up to this long. */
	b->recover_until_ms = b->written_ms + lease_ms +
		(b->former_owner_ended ? 0 : RENEW_AFTER_WRITE_MAX_MS);
	/*
	 * An owner that releases the site has recorded all its runs.  If it
	 * may still be running, poll_succeeded() extends this time.
	 */
	b->stops_end_ms = watch.ended_since_ms ?
		watch.ended_since_ms + b->site.set.stop_ms :
		0;
	tg_log(EV_FLOW_CLAIMED, "fence=%llu why=%s version=%lld",
	       (unsigned long long)b->fence, why, (long long)b->owner_version);
	jobs_open(b);
}

static char claim_reason[64];
static struct tg_owner_row claim;

static void read_row(struct board *b);

static void on_claim(const struct tg_store_result *r, void *arg)
{
	struct board *b = arg;

	if (b->role != ROLE_CLAIMING)
		return;
	b->role = ROLE_STANDBY;
	if (r->end == TG_STORE_OK) {
		b->owner = claim;
		b->owner_version = r->version;
		begin_term(b, claim_reason);
	} else if (r->end == TG_STORE_CONFLICT && r->n_rows) {
		set_owner_row(b, &r->rows[0]);
		watch.read_version = 0;
	} else {
		/* The row shows whether the claim succeeded. */
		read_row(b);
	}
}

static void claim_ownership(struct board *b, const char *why)
{
	struct tg_row check = {
		.table = TG_OWNER_TABLE,
		.part = TG_OWNER_PART,
		.key = TG_OWNER_KEY,
		.version = b->owner_version,
	};
	struct tg_row put = check;
	struct tg_store_tx tx = {
		.checks = &check,
		.n_checks = 1,
		.puts = &put,
		.n_puts = 1,
		.timeout_ms = CLAIM_TIMEOUT_MS,
	};
	char *text;

	b->former_owner_ended =
		watch.ended_since_ms || b->owner.released || !b->owner_version;
	memset(&claim, 0, sizeof(claim));
	tg_strlcpy(claim.holder, b->site.set.instance, sizeof(claim.holder));
	tg_strlcpy(claim.addr, tg_rpc_server_addr(b->rpc), sizeof(claim.addr));
	tg_strlcpy(claim.boot, b->boot, sizeof(claim.boot));
	claim.fence = b->owner.fence + 1;
	tg_owner_row_copy_silent(&claim, &b->owner);
	tg_strlcpy(claim_reason, why, sizeof(claim_reason));
	b->role = ROLE_CLAIMING;
	text = tg_owner_row_encode(&claim);
	put.value = text;
	put.value_bytes = strlen(text);
	b->site.ops->tx(b->site.port, &tx, on_claim, b);
	free(text);
}

/* Whether an unanswered claim of this process took effect. */
static bool is_own_claim(const struct board *b)
{
	return !strcmp(b->owner.boot, b->boot) &&
		b->owner.fence == claim.fence && !b->owner.released;
}

static const char *reason_to_claim(struct board *b, int64_t now_ms)
{
	int64_t unchanged_ms = now_ms - watch.unchanged_since_ms;

	if (!b->owner_version)
		return "no owner yet";
	if (b->owner.released)
		return "released";
	if (watch.ended_since_ms && unchanged_ms >= UNCHANGED_ENDED_MS)
		return "owner process has ended";
	if (watch.stale && unchanged_ms >= UNCHANGED_ENDED_MS)
		return "owner does not reach the store";
	if (now_ms - watch.last_alive_ms >= OWNER_SILENT_MS &&
	    unchanged_ms >= UNCHANGED_SILENT_MS)
		return "owner does not answer";
	return NULL;
}

static int64_t claim_delay_ms(const struct board *b)
{
	double cores = b->site.set.core_share * b->site.set.cores;

	if (cores >= PREFERRED_CORES)
		return 0;
	return (int64_t)(CLAIM_DELAY_MAX_MS * (PREFERRED_CORES - cores) /
			 PREFERRED_CORES);
}

static void on_read(const struct tg_store_result *r, void *arg)
{
	struct board *b = arg;
	int64_t now_ms = tg_now_ms();
	const char *why;

	watch.reading = false;
	if (b->role != ROLE_STANDBY)
		return;
	if (r->end != TG_STORE_OK) {
		watch.read_version = 0;
		return;
	}
	if (r->n_rows)
		set_owner_row(b, &r->rows[0]);
	if (r->n_rows && is_own_claim(b)) {
		begin_term(b, claim_reason);
		return;
	}
	if (watch.read_version != b->owner_version) {
		watch.read_version = b->owner_version;
		watch.unchanged_since_ms = now_ms;
	}
	why = reason_to_claim(b, now_ms);
	if (!why)
		watch.claimable_since_ms = 0;
	else if (!watch.claimable_since_ms)
		watch.claimable_since_ms = now_ms;
	if (why && now_ms - watch.claimable_since_ms >= claim_delay_ms(b))
		claim_ownership(b, why);
}

static void read_row(struct board *b)
{
	struct tg_store_range range = {
		.table = TG_OWNER_TABLE,
		.part = TG_OWNER_PART,
		.timeout_ms = READ_TIMEOUT_MS,
	};

	if (watch.reading)
		return;
	watch.reading = true;
	b->site.ops->get(b->site.port, &range, on_read, b);
}

static void watch_owner(struct board *b, int64_t now_ms)
{
	bool silent = now_ms - watch.last_alive_ms >= OWNER_SILENT_MS;

	ping_owner(b, now_ms);
	if (silent && !watch.silence_logged && b->owner_version) {
		watch.silence_logged = true;
		tg_log(EV_FLOW_OWNER_SILENT,
		       "owner=%s silent_ms=%lld gone=%d stale=%d",
		       b->owner.holder,
		       (long long)(now_ms - watch.last_alive_ms),
		       watch.ended_since_ms != 0, watch.stale);
	}
	if (!b->owner_version || silent || watch.ended_since_ms ||
	    watch.stale || b->owner.released)
		read_row(b);
	else
		watch.read_version = 0;
}

void owner_lost(struct board *b, const char *why)
{
	if (!IS_OWNER(b))
		return;
	tg_log(EV_FLOW_LOST, "fence=%llu why=%s", (unsigned long long)b->fence,
	       why);
	b->term++;
	b->role = ROLE_STANDBY;
	writer_reset(b);
	jobs_close(b);
	links_close(b);
	flow_free(b->flow);
	b->flow = NULL;
	watch.last_alive_ms = tg_now_ms();
	watch.ended_since_ms = 0;
	watch.stale = false;
	watch.read_version = 0;
}

void owner_check_recovered(struct board *b)
{
	int64_t now_ms = tg_now_ms();

	if (b->role != ROLE_RECOVERING || !b->directory_read)
		return;
	if (links_count_unknown(b) && now_ms < b->recover_until_ms)
		return;
	b->role = ROLE_OWNER;
	tg_log(EV_FLOW_RECOVERED, "fence=%llu workers=%u unlisted=%lld",
	       (unsigned long long)b->fence, HASH_COUNT(b->links),
	       (long long)links_count_unknown(b));
	flow_end_recovery(b->flow);
	round_wake(b);
}

bool owner_may_renew(const struct board *b)
{
	return IS_OWNER(b) &&
		tg_now_ms() - b->written_ms < RENEW_AFTER_WRITE_MAX_MS;
}

bool owner_is_current(const struct board *b)
{
	struct owner_writes s = {
		.written_ms = b->written_ms,
		.refused_since_ms = b->refused_since_ms,
		.now_ms = tg_now_ms(),
	};

	return IS_OWNER(b) && owner_reaches_store(&s);
}

static int start(void *board)
{
	struct board *b = board;

	tg_random_token(b->boot);
	watch.last_alive_ms = tg_now_ms();
	return 0;
}

static void tick(void *board, int64_t now_ms)
{
	struct board *b = board;

	if (b->role == ROLE_STANDBY)
		watch_owner(b, now_ms);
	owner_check_recovered(b);
}

static bool drain(void *board, int64_t now_ms)
{
	struct board *b = board;

	(void)now_ms;
	if (IS_OWNER(b) && !b->owner.released) {
		b->owner.released = true;
		writer_wake(b);
	}
	if (IS_OWNER(b) && !writer_idle(b))
		return false;
	if (IS_OWNER(b)) {
		tg_log(EV_FLOW_RELEASED, "fence=%llu",
		       (unsigned long long)b->fence);
		owner_lost(b, "shutting down");
	}
	b->role = ROLE_STOPPING;
	return true;
}

const struct tg_controller owner_controller = {
	.name = "owner",
	.period_ms = 100,
	.start = start,
	.tick = tick,
	.drain = drain,
};
