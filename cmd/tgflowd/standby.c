#include <string.h>

#include "board.h"

/* Watches the owner, and claims the ownership when it is gone. */

/*
 * Interval between pings of the owner: of an instance that would take over at
 * once, and of one with fewer than PREFERRED_CORES, so that hundreds of
 * standbys cost the owner little.
 */
#define PING_MS 300
#define PING_SMALL_MS 900
#define PING_TIMEOUT_MS 500
/* A standby reads the owner's row if an answer is overdue by this much. */
#define OWNER_SILENT_MS 300
/*
 * The owner writes its row every RENEW_MS (writer.c) or sooner.  It is
 * considered dead if the row stays unchanged this long: after pings showed that
 * it is unreachable, replaced or not active, and after pings without an answer.
 */
#define UNCHANGED_SIGN_MS 300
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

static struct {
	bool pinging, reading, silence_logged;
	enum owner_sign sign; /* result of the last ping */
	int64_t replaced_ms; /* when another process answered; or 0 */
	bool stale; /* it runs but answers that it is not active */
	uint64_t ping_term; /* of the owner that is being pinged */
	int64_t ping_ms, last_alive_ms;
	int64_t read_ms, claim_ms; /* when these calls began */
	int64_t read_version, unchanged_since_ms;
	int64_t claimable_since_ms; /* there is a reason to claim; or 0 */
	/* Former owners that are not proved to act no more, asked in turn. */
	struct tg_former_owner formers[TG_FORMER_OWNERS_MAX];
	int n_formers, next_former;
	char asked_boot[TG_TOKEN_LEN + 1]; /* of the one asked last */
} watch;

static bool has_preferred_cores(const struct board *b)
{
	return b->site.set.core_share * b->site.set.cores >= PREFERRED_CORES;
}

static int64_t ping_interval_ms(const struct board *b)
{
	return has_preferred_cores(b) ? PING_MS : PING_SMALL_MS;
}

static void on_ping(enum tg_rpc_call_status end, const void *res, void *arg)
{
	struct board *b = arg;
	const struct tg_rpc_peer *p = res;
	int64_t now_ms = tg_now_ms();

	watch.pinging = false;
	/* The owner may have changed during the ping. */
	if (watch.ping_term != b->owner.term)
		return;
	watch.sign = owner_sign_of(
		end, end == TG_RPC_CALL_OK && !strcmp(p->boot, b->owner.boot),
		now_ms - watch.ping_ms);
	watch.stale = watch.sign == OWNER_ANSWERS && !p->active;
	if (watch.sign == OWNER_ANSWERS && p->active) {
		watch.last_alive_ms = now_ms;
		watch.silence_logged = false;
	}
	if (watch.sign == OWNER_REPLACED && !watch.replaced_ms)
		watch.replaced_ms = now_ms;
}

/* Says which owner this daemon knows of, so that a former one learns of it. */
static void send_ping(struct board *b, const char *addr, tg_rpc_done done)
{
	struct tg_rpc_peer me = {
		.instance = b->site.set.instance,
		.role = FLOW_ROLE,
		.az = b->site.set.az,
		.boot = b->boot,
		.epoch = b->owner.term,
	};

	watch.pinging = true;
	watch.ping_term = b->owner.term;
	watch.ping_ms = tg_now_ms();
	tg_rpc_call(b->peers, addr, TG_RPC_PING, &me, PING_TIMEOUT_MS, done, b);
}

static void ping_owner(struct board *b, int64_t now_ms)
{
	if (watch.pinging || now_ms - watch.ping_ms < ping_interval_ms(b) ||
	    !*b->owner.addr)
		return;
	send_ping(b, b->owner.addr, on_ping);
}

/* Return: whether it was among those that are not proved to have ended. */
static bool remove_former(const char *boot)
{
	int i;

	for (i = 0; i < watch.n_formers; i++)
		if (!strcmp(watch.formers[i].boot, boot))
			break;
	if (i == watch.n_formers)
		return false;
	watch.formers[i] = watch.formers[--watch.n_formers];
	return true;
}

static void on_notified(enum tg_rpc_call_status end, const void *res, void *arg)
{
	const struct tg_rpc_peer *p = res;
	struct board *b = arg;
	bool replaced =
		end == TG_RPC_CALL_OK && strcmp(p->boot, watch.asked_boot) != 0;

	watch.pinging = false;
	if (watch.ping_term != b->owner.term)
		return;
	if (!replaced &&
	    !former_owner_yielded(end, end == TG_RPC_CALL_OK && p->active,
				  watch.ping_term, b->owner.term))
		return;
	if (!replaced)
		handover_former_yielded(watch.asked_boot);
	if (remove_former(watch.asked_boot) && !watch.n_formers)
		owner_former_ended(b);
}

void standby_notify_former(struct board *b, int64_t now_ms)
{
	const struct tg_former_owner *o;

	if (!watch.n_formers || watch.pinging ||
	    now_ms - watch.ping_ms < PING_MS / watch.n_formers)
		return;
	if (now_ms >= former_leases_end_ms(&b->former, true)) {
		watch.n_formers = 0;
		return;
	}
	o = &watch.formers[watch.next_former++ % watch.n_formers];
	tg_strlcpy(watch.asked_boot, o->boot, sizeof(watch.asked_boot));
	send_ping(b, o->addr, on_notified);
}

void standby_record_former(const struct board *b, struct tg_owner_row *r)
{
	int i;

	r->former[0] = '\0';
	if (!b->former.known)
		tg_owner_row_forget_former(r);
	for (i = 0; i < watch.n_formers; i++)
		tg_owner_row_add_former(r, &watch.formers[i]);
}

int standby_count_former(void)
{
	return watch.n_formers;
}

static void set_owner_row(struct board *b, const struct tg_row *row)
{
	struct tg_owner_row o;

	if (tg_owner_row_decode(row, &o)) {
		tg_log(EV_ROW_BAD, "table=%s key=%s version=%lld",
		       TG_OWNER_TABLE, row->key, (long long)row->version);
		return;
	}
	if (o.term != b->owner.term) {
		watch.last_alive_ms = tg_now_ms();
		watch.stale = false;
		watch.sign = OWNER_ANSWERS;
		watch.replaced_ms = 0;
	}
	b->owner = o;
	b->owner_version = row->version;
}

static char claim_reason[64];
static struct tg_owner_row claim;

static void read_row(struct board *b);

static void begin_term(struct board *b, int64_t started_ms)
{
	/*
	 * A later owner that was answered "not active" counts on it that this
	 * claim, whose result comes late, does not take effect here.
	 */
	if (b->told_term > b->owner.fence)
		return;
	/* Writes of this term may be late if it ends: the next one claims. */
	claim.fence = 0;
	owner_begin_term(b, claim_reason, started_ms);
	watch.ping_ms = 0;
	watch.n_formers = tg_owner_row_formers(&b->owner, watch.formers);
	if (watch.n_formers < 0)
		watch.n_formers = 0;
	standby_notify_former(b, tg_now_ms());
}

static void on_claim(const struct tg_store_result *r, void *arg)
{
	struct board *b = arg;

	if (b->role != ROLE_CLAIMING)
		return;
	b->role = ROLE_STANDBY;
	if (r->end == TG_STORE_OK) {
		store_seen_answer(&b->store_seen, r->clock_ms, watch.claim_ms,
				  tg_now_ms());
		b->owner = claim;
		b->owner_version = r->version;
		begin_term(b, watch.claim_ms);
	} else if (r->end == TG_STORE_CONFLICT && r->n_rows) {
		set_owner_row(b, &r->rows[0]);
		watch.read_version = 0;
	} else {
		store_seen_failure(&b->store_seen);
		/* The row shows whether the claim succeeded. */
		read_row(b);
	}
}

/*
 * Names the owners before this claim that are not proved to act no more.  The
 * next owner asks them too, as this one may end before it has done so.
 */
static void name_former_owners(struct board *b)
{
	struct tg_former_owner o, earlier[TG_FORMER_OWNERS_MAX];
	int n = tg_owner_row_formers(&b->owner, earlier), i;

	/*
	 * An owner whose row says that it has released the site has stopped
	 * renewing before it wrote that.  Those of older versions went on.
	 */
	bool ended = watch.replaced_ms ||
		(b->owner.released && b->owner.renewals_ended) ||
		!strcmp(b->owner.boot, b->boot);

	b->former.ended_ms = watch.replaced_ms ? watch.replaced_ms :
		ended			       ? tg_now_ms() :
						 0;
	b->former.written_by_ms = watch.read_version == b->owner_version ?
		watch.unchanged_since_ms :
		0;
	b->former.known = b->owner.settled || !b->owner_version || n >= 0;
	handover_expect(NULL, 0);
	if (b->owner_version && !ended) {
		tg_strlcpy(o.addr, b->owner.addr, sizeof(o.addr));
		tg_strlcpy(o.boot, b->owner.boot, sizeof(o.boot));
		tg_owner_row_add_former(&claim, &o);
		handover_expect(&o, b->owner.term);
	}
	for (i = 0; i < n && !b->owner.settled; i++) {
		/* A former term of this process is over, too. */
		if (!strcmp(earlier[i].boot, b->boot) ||
		    !strcmp(earlier[i].boot, b->owner.boot))
			continue;
		tg_owner_row_add_former(&claim, &earlier[i]);
		b->former.ended_ms = 0;
	}
	/* Without all their names nobody can ask the earlier ones. */
	if (tg_owner_row_formers(&claim, earlier) < 0)
		b->former.known = false;
	if (!b->former.known)
		tg_owner_row_forget_former(&claim);
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

	b->former_runs_recorded = b->owner.runs_recorded || b->owner.released ||
		!b->owner_version;
	memset(&claim, 0, sizeof(claim));
	tg_strlcpy(claim.holder, b->site.set.instance, sizeof(claim.holder));
	tg_strlcpy(claim.addr, tg_rpc_server_addr(b->rpc), sizeof(claim.addr));
	tg_strlcpy(claim.boot, b->boot, sizeof(claim.boot));
	claim.fence = claim.term = b->owner.fence + 1;
	claim.runs_recorded = b->former_runs_recorded;
	claim.lease_bounds = b->owner.lease_bounds;
	tg_owner_row_copy_workers(&claim, &b->owner);
	name_former_owners(b);
	store_seen_record(&b->store_seen, &claim, tg_now_ms());
	tg_strlcpy(claim_reason, why, sizeof(claim_reason));
	b->role = ROLE_CLAIMING;
	watch.claim_ms = tg_now_ms();
	text = tg_owner_row_encode(&claim);
	put.value = text;
	put.value_bytes = strlen(text);
	b->site.ops->tx(b->site.port, &tx, on_claim, b);
	free(text);
}

/*
 * Whether an unanswered claim of this process took effect.  A token that was
 * raised in an earlier term of this process may be that of the claim, but its
 * row names the earlier term.
 */
static bool is_own_claim(const struct board *b)
{
	return !strcmp(b->owner.boot, b->boot) &&
		b->owner.fence == claim.fence && b->owner.term == claim.term &&
		!b->owner.released;
}

static bool is_silent(const struct board *b, int64_t now_ms)
{
	return now_ms - watch.last_alive_ms >=
		ping_interval_ms(b) + OWNER_SILENT_MS;
}

static const char *reason_to_claim(struct board *b, int64_t now_ms)
{
	int64_t unchanged_ms = now_ms - watch.unchanged_since_ms;

	if (!b->owner_version)
		return "no owner yet";
	if (b->owner.released)
		return "released";
	if (watch.sign == OWNER_REPLACED && unchanged_ms >= UNCHANGED_SIGN_MS)
		return "owner process has ended";
	if (watch.sign == OWNER_UNREACHABLE &&
	    unchanged_ms >= UNCHANGED_SIGN_MS)
		return "owner refuses connections";
	if (watch.stale && unchanged_ms >= UNCHANGED_SIGN_MS)
		return "owner does not reach the store";
	if (is_silent(b, now_ms) && unchanged_ms >= UNCHANGED_SILENT_MS)
		return "owner does not answer";
	return NULL;
}

static int64_t claim_delay_ms(const struct board *b)
{
	double cores = b->site.set.core_share * b->site.set.cores;

	if (has_preferred_cores(b))
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
		store_seen_failure(&b->store_seen);
		watch.read_version = 0;
		return;
	}
	store_seen_answer(&b->store_seen, r->clock_ms, watch.read_ms, now_ms);
	if (r->n_rows) {
		set_owner_row(b, &r->rows[0]);
		store_seen_inherit(&b->store_seen, &b->owner);
	}
	if (r->n_rows && is_own_claim(b)) {
		begin_term(b, watch.read_ms);
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
	watch.read_ms = tg_now_ms();
	b->site.ops->get(b->site.port, &range, on_read, b);
}

void standby_watch(struct board *b, int64_t now_ms)
{
	bool silent = is_silent(b, now_ms);

	ping_owner(b, now_ms);
	if (silent && !watch.silence_logged && b->owner_version) {
		watch.silence_logged = true;
		tg_log(EV_FLOW_OWNER_SILENT,
		       "owner=%s silent_ms=%lld gone=%d refused=%d stale=%d",
		       b->owner.holder,
		       (long long)(now_ms - watch.last_alive_ms),
		       watch.sign == OWNER_REPLACED,
		       watch.sign == OWNER_UNREACHABLE, watch.stale);
	}
	if (!b->owner_version || silent || watch.sign >= OWNER_UNREACHABLE ||
	    watch.stale || b->owner.released)
		read_row(b);
	else
		watch.read_version = 0;
}

void standby_reset(void)
{
	watch.last_alive_ms = tg_now_ms();
	watch.sign = OWNER_ANSWERS;
	watch.replaced_ms = 0;
	watch.stale = false;
	watch.read_version = 0;
	watch.n_formers = 0;
}
