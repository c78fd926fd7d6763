#include <stdlib.h>
#include <string.h>

#include "account.h"
#include "lease.h"

static uint64_t find_known_epoch(const struct board *b)
{
	uint64_t epoch = b->epoch > b->row_epoch ? b->epoch : b->row_epoch;
	const struct tg_member_peer *p;
	size_t i, n;

	p = tg_member_peers(b->member, &n);
	for (i = 0; i < n; i++)
		if (!strcmp(p[i].role, "sched") &&
		    !strcmp(p[i].az, b->opts->az) && p[i].epoch > epoch)
			epoch = p[i].epoch;
	return epoch > b->known_epoch ? epoch : b->known_epoch;
}

/*
 * The last renewal under a lower epoch has an expiry from an answer of the
 * worker that was received before it was sent.
 */
static bool low_renewals_expired(const struct board *b, int64_t now_ms)
{
	return !b->low_command_ms ||
		now_ms > lease_expired_ms(b->low_command_ms, b->opts->lease_ms);
}

/* In this order, a list without it was followed by a newer row. */
static bool read_row_when_listed(const struct board *b)
{
	int64_t listed_ms = tg_member_listed_ms(b->member);

	return listed_ms && b->row_read_ms > listed_ms;
}

void account_update(struct board *b, int64_t now_ms)
{
	uint64_t known = find_known_epoch(b);

	tg_gauge("tg_sched_may_renew_in_outage",
		 "Whether the row was read since a list had this process.",
		 NULL)
		->value = read_row_when_listed(b);

	if (known > b->known_epoch) {
		b->known_epoch = known;
		b->low_command_ms = b->command_ms;
	}
	if (b->epoch && b->role != ROLE_LEAVING && known > b->epoch)
		board_step_down(b, "ping", known);
	if (b->epoch)
		return;
	if (low_renewals_expired(b, now_ms))
		b->vouched_epoch = known;
	tg_member_set_scheduler(b->member, b->vouched_epoch, false);
}

void account_command(struct board *b, int64_t now_ms)
{
	b->command_ms = now_ms;
}

void account_row_read(struct board *b, int64_t sent_ms)
{
	if (sent_ms > b->row_read_ms)
		b->row_read_ms = sent_ms;
}

bool account_may_renew(const struct board *b, int64_t now_ms)
{
	if (b->opts->unsafe_ignore_renewers || b->opts->unsafe_ignore_epoch)
		return true;
	if (!b->row_read_ms ||
	    now_ms - b->row_read_ms > b->opts->outage_renewal_max_ms)
		return false;
	if (b->epoch && b->known_epoch > b->epoch)
		return false;
	return !b->table_down || read_row_when_listed(b);
}

static bool is_scheduler(const struct board *b, const struct tg_instance *in)
{
	return in->kind == TG_KIND_SCHED && !strcmp(in->az, b->opts->az);
}

static bool has_instance(const struct tg_instance *list, size_t n,
			 const struct tg_instance *one)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(list[i].name, one->name) &&
		    !strcmp(list[i].rpc_addr, one->rpc_addr))
			return true;
	return false;
}

void account_note_list(struct board *b, const struct tg_instance *list,
		       size_t n)
{
	struct tg_instance *now = tg_xcalloc(n + 1, sizeof(*now));
	size_t i, n_now = 0;

	for (i = 0; i < n; i++)
		if (is_scheduler(b, &list[i]))
			now[n_now++] = list[i];
	/* What left before the first list may have renewed until then. */
	if (!b->scheds)
		b->sched_left_ms = tg_now_ms();
	for (i = 0; b->scheds && i < b->n_scheds; i++)
		if (!has_instance(now, n_now, &b->scheds[i]))
			b->sched_left_ms = tg_now_ms();
	free(b->scheds);
	b->scheds = tg_xrealloc(now, (n_now + 1) * sizeof(*now));
	b->n_scheds = n_now;
}

/*
 * Processes that ended, as an instance that left the list or answers with
 * another boot shows, may have renewed until then.
 */
static int64_t others_gone_ms(const struct board *b, const struct worker *w)
{
	int64_t ended_ms = b->sched_left_ms;
	size_t i;

	if (tg_member_list_ms(b->member) <= w->raised_ms)
		return INT64_MAX;
	for (i = 0; i < b->n_scheds; i++) {
		const struct tg_instance *in = &b->scheds[i];
		const struct tg_member_peer *p;

		if (!strcmp(in->name, b->opts->instance))
			continue;
		p = tg_member_peer_at(b->member, in->rpc_addr);
		if (!p || strcmp(p->instance, in->name) != 0 ||
		    p->epoch < w->raised_epoch)
			return INT64_MAX;
		if (p->boot_ms > ended_ms)
			ended_ms = p->boot_ms;
	}
	return lease_expired_ms(ended_ms, b->opts->lease_ms);
}

int64_t account_gone_ms(const struct board *b, const struct worker *w)
{
	int64_t limit_ms, gone_ms;

	if (b->opts->unsafe_ignore_renewers)
		return 0;
	if (!w->raised_epoch)
		return INT64_MAX;
	limit_ms = lease_expired_ms(w->raised_ms,
				    b->opts->outage_renewal_max_ms +
					    b->opts->lease_ms);
	gone_ms = others_gone_ms(b, w);
	return gone_ms < limit_ms ? gone_ms : limit_ms;
}
