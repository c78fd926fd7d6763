#ifndef TGFLOWD_FORMEROWNER_H
#define TGFLOWD_FORMEROWNER_H

#include "oncrpc/oncrpc.h"

/** enum owner_sign - what the result of a ping tells of the owner */
enum owner_sign {
	OWNER_ANSWERS,
	OWNER_SILENT,
	OWNER_UNREACHABLE, /* refused, by its machine or a path that is cut */
	OWNER_REPLACED, /* another process answers: the owner's has ended */
};

/**
 * owner_sign_of() - interpret the result of a ping
 * @same_boot: the answer, if there is one, names the owner's process
 * @after_ms: duration of the call
 */
enum owner_sign owner_sign_of(enum tg_rpc_call_status end, bool same_boot,
			      int64_t after_ms);

/**
 * former_owner_yielded() - whether a former owner's answer proves that it acts
 * no more
 * @active: it answers that it is the owner
 * @told: term that the ping told it of
 * @own: term of this owner
 */
bool former_owner_yielded(enum tg_rpc_call_status end, bool active,
			  uint64_t told, uint64_t own);

/**
 * struct former_owner - the owners before this one that may renew leases
 * @claimed_ms: when this daemon claimed the ownership
 * @written_by_ms: no earlier owner has written later; 0 if that is not known
 * @ended_ms: all of them were proved to have ended, or to act no more; or 0
 * @known: no other one than those that were asked can renew leases
 * @lease_ms: longest duration of a lease that an owner asks for, by this
 *	daemon's clock
 * @long_lease_ms: the same of any lease, after the call that grants it
 * @other_leases_ms: longer leases than owners ask for have ended by then, on
 *	workers that may hold them but are not listed; or 0
 * @renew_max_ms: an owner renews leases this long after its last write
 */
struct former_owner {
	int64_t claimed_ms, written_by_ms, ended_ms;
	bool known;
	int64_t lease_ms, long_lease_ms, other_leases_ms, renew_max_ms;
};

/**
 * former_leases_end_ms() - when all leases of former owners have expired
 * @is_long: on a worker that may hold a longer one than they asked for
 */
int64_t former_leases_end_ms(const struct former_owner *f, bool is_long);

/**
 * former_owners_settled() - whether no former owner can renew a lease any more
 *
 * Leases may still run then.  The next owner, which finds this recorded, waits
 * for a lease after the end of this one, which is later.
 */
bool former_owners_settled(const struct former_owner *f, int64_t now_ms);

#endif
