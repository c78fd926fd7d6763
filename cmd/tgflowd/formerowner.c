#include "formerowner.h"

/* A refused connection fails within this time; a silent peer takes longer. */
#define REFUSED_WITHIN_MS 250

enum owner_sign owner_sign_of(enum tg_rpc_call_status end, bool same_boot,
			      int64_t after_ms)
{
	if (end == TG_RPC_CALL_OK)
		return same_boot ? OWNER_ANSWERS : OWNER_REPLACED;
	/* A broken connection may have led to an earlier process there. */
	if (end == TG_RPC_CALL_NOT_SENT && after_ms < REFUSED_WITHIN_MS)
		return OWNER_UNREACHABLE;
	return OWNER_SILENT;
}

bool former_owner_yielded(enum tg_rpc_call_status end, bool active,
			  uint64_t told, uint64_t own)
{
	/* An answer from an earlier term is about another former owner. */
	return end == TG_RPC_CALL_OK && !active && told == own;
}

/* When the last of the former owners could renew a lease. */
static int64_t renewals_end_ms(const struct former_owner *f)
{
	/* No write of an earlier owner succeeds after the claim. */
	int64_t end_ms = f->claimed_ms + f->renew_max_ms;

	/* This daemon has read the last one before it claimed. */
	if (f->written_by_ms && f->written_by_ms < f->claimed_ms)
		end_ms = f->written_by_ms + f->renew_max_ms;
	if (f->known && f->ended_ms && f->ended_ms < end_ms)
		end_ms = f->ended_ms;
	return end_ms;
}

int64_t former_leases_end_ms(const struct former_owner *f, bool is_long)
{
	int64_t long_end_ms = renewals_end_ms(f) + f->long_lease_ms;
	int64_t end_ms = renewals_end_ms(f) + f->lease_ms;

	if (is_long)
		return long_end_ms;
	if (f->other_leases_ms <= end_ms)
		return end_ms;
	return f->other_leases_ms < long_end_ms ? f->other_leases_ms :
						  long_end_ms;
}

bool former_owners_settled(const struct former_owner *f, int64_t now_ms)
{
	return now_ms >= renewals_end_ms(f);
}
