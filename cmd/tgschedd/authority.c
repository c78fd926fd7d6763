#include <stdlib.h>
#include <string.h>

#include "authority.h"
#include "lease.h"

static uint64_t find_highest_epoch(const struct board *b)
{
	uint64_t epoch = b->epoch > b->row_epoch ? b->epoch : b->row_epoch;
	const struct tg_member_peer *p;
	size_t i, n;

	p = tg_member_peers(b->member, &n);
	for (i = 0; i < n; i++)
		if (!strcmp(p[i].role, "sched") &&
		    !strcmp(p[i].az, b->opts->az) && p[i].epoch > epoch)
			epoch = p[i].epoch;
	return epoch > b->highest_epoch ? epoch : b->highest_epoch;
}

/*
 * The expiry in a renewal counts from a response of the worker that was
 * received before the renewal was sent, so the time of sending is late enough.
 */
static bool lower_epoch_renewals_expired(const struct board *b, int64_t now_ms)
{
	return !b->lower_epoch_command_ms ||
		now_ms > lease_local_expiry_ms(b->lower_epoch_command_ms,
					       b->opts->lease_ms);
}

/*
 * Whether the row was read after the process was in the instance list.  In this
 * order, any list without the process was followed by a newer row.
 */
static bool row_read_since_listed(const struct board *b)
{
	int64_t listed_ms = tg_member_first_listed_ms(b->member);

	return listed_ms && b->row_confirmed_ms > listed_ms;
}

void authority_update(struct board *b, int64_t now_ms)
{
	uint64_t highest = find_highest_epoch(b);

	tg_gauge("tg_sched_may_renew_in_outage",
		 "Whether the row was read since a list had this process.",
		 NULL)
		->value = row_read_since_listed(b);

	if (highest > b->highest_epoch) {
		b->highest_epoch = highest;
		b->lower_epoch_command_ms = b->last_command_ms;
	}
	if (b->epoch && b->role != ROLE_LEAVING && highest > b->epoch)
		board_step_down(b, "ping", highest);
	if (b->epoch)
		return;
	if (lower_epoch_renewals_expired(b, now_ms))
		b->advertised_epoch = highest;
	tg_member_set_scheduler_state(b->member, b->advertised_epoch, false);
}

void authority_note_command(struct board *b, int64_t now_ms)
{
	b->last_command_ms = now_ms;
}

void authority_note_row_read(struct board *b, int64_t sent_ms)
{
	if (sent_ms > b->row_confirmed_ms)
		b->row_confirmed_ms = sent_ms;
}

bool authority_may_renew(const struct board *b, int64_t now_ms)
{
	if (b->opts->unsafe_ignore_renewers || b->opts->unsafe_ignore_epoch)
		return true;
	if (!b->row_confirmed_ms ||
	    now_ms - b->row_confirmed_ms > b->opts->outage_renewal_max_ms)
		return false;
	if (b->epoch && b->highest_epoch > b->epoch)
		return false;
	return !b->table_down || row_read_since_listed(b);
}

static bool is_az_scheduler(const struct board *b, const struct tg_instance *in)
{
	return in->kind == TG_KIND_SCHED && !strcmp(in->az, b->opts->az);
}

static bool has_instance(const struct tg_instance *list, size_t n,
			 const struct tg_instance *instance)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(list[i].name, instance->name) &&
		    !strcmp(list[i].rpc_addr, instance->rpc_addr))
			return true;
	return false;
}

void authority_note_instances(struct board *b, const struct tg_instance *list,
			      size_t n)
{
	struct tg_instance *current = tg_xcalloc(n + 1, sizeof(*current));
	size_t i, n_current = 0;

	for (i = 0; i < n; i++)
		if (is_az_scheduler(b, &list[i]))
			current[n_current++] = list[i];
	/*
	 * Schedulers that left before the first list may have renewed until
	 * now.
	 */
	if (!b->az_schedulers)
		b->scheduler_left_ms = tg_now_ms();
	for (i = 0; b->az_schedulers && i < b->n_az_schedulers; i++)
		if (!has_instance(current, n_current, &b->az_schedulers[i]))
			b->scheduler_left_ms = tg_now_ms();
	free(b->az_schedulers);
	b->az_schedulers =
		tg_xrealloc(current, (n_current + 1) * sizeof(*current));
	b->n_az_schedulers = n_current;
}

/*
 * When the renewals of the other processes have expired.  Each of them must
 * advertise the raised epoch.  One that ended may have renewed until it was
 * found to have left the list or to answer with a new boot.
 */
static int64_t peers_expiry_ms(const struct board *b, const struct worker *w)
{
	int64_t ended_ms = b->scheduler_left_ms;
	size_t i;

	if (tg_member_own_list_as_of_ms(b->member) <= w->raised_ms)
		return INT64_MAX;
	for (i = 0; i < b->n_az_schedulers; i++) {
		const struct tg_instance *in = &b->az_schedulers[i];
		const struct tg_member_peer *p;

		if (!strcmp(in->name, b->opts->instance))
			continue;
		p = tg_member_find_peer_by_addr(b->member, in->rpc_addr);
		if (!p || strcmp(p->instance, in->name) != 0 ||
		    p->epoch < w->raised_epoch)
			return INT64_MAX;
		if (p->boot_ms > ended_ms)
			ended_ms = p->boot_ms;
	}
	return lease_local_expiry_ms(ended_ms, b->opts->lease_ms);
}

int64_t authority_others_expiry_ms(const struct board *b,
				   const struct worker *w)
{
	int64_t limit_ms, expiry_ms;

	if (b->opts->unsafe_ignore_renewers)
		return 0;
	if (!w->raised_epoch)
		return INT64_MAX;
	limit_ms = lease_local_expiry_ms(w->raised_ms,
					 b->opts->outage_renewal_max_ms +
						 b->opts->lease_ms);
	expiry_ms = peers_expiry_ms(b, w);
	return expiry_ms < limit_ms ? expiry_ms : limit_ms;
}
