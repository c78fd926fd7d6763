#ifndef TG_SCHEDD_GANG_H
#define TG_SCHEDD_GANG_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: state machine of a gang
 *
 * One attempt of a job, from its reservations to the end of its leases.  The
 * transitions depend on counts only and have no side effects.
 */

enum gang_state {
	GANG_NONE, /* no attempt */
	GANG_RESERVING,
	GANG_COMMITTING, /* the commit is in flight */
	GANG_STARTING, /* committed; also after a takeover */
	GANG_RUNNING,
	GANG_STOPPING, /* every lease is to be released or to expire */
	GANG_RECORDING, /* gone or done; the row is to be written */
	GANG_RELEASING, /* the row says done; records on workers are removed */
};

enum gang_commit {
	COMMIT_NONE,
	COMMIT_PENDING,
	COMMIT_OK,
	COMMIT_FAILED, /* not committed; nothing may start */
	COMMIT_UNKNOWN, /* may be committed; nothing may start */
};

/**
 * struct gang_facts - what the transitions depend on
 * @members: tasks of the gang
 * @reserved: members with a reservation
 * @running: members that run
 * @done: members that have completed
 * @gone: members without a lease, see M_GONE
 * @troubled: members that were refused, failed or lost
 * @commit: commit of this attempt
 * @stop: reclaim or cancellation was asked for
 * @reservation_ends: reservations are about to expire
 * @recorded: the row was written
 */
struct gang_inputs {
	int32_t members, reserved, running, done, gone, failed;
	enum gang_commit commit;
	bool stop, start_timed_out, recorded;
};

/** gang_next() - state after @s under @f; the same state if nothing changes */
enum gang_state gang_next_state(enum gang_state s, const struct gang_inputs *f);
const char *gang_state_name(enum gang_state s);

#endif
