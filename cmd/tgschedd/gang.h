#ifndef TG_SCHEDD_GANG_H
#define TG_SCHEDD_GANG_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: state machine of a gang
 *
 * Covers one attempt of a job, from its reservations to the end of its leases.
 * A transition depends only on struct gang_inputs and has no side effects.
 */

enum gang_state {
	GANG_NONE, /* no attempt */
	GANG_RESERVING,
	GANG_COMMITTING, /* the write of the row is in flight */
	GANG_STARTING, /* committed; also the state after a takeover */
	GANG_RUNNING,
	GANG_STOPPING, /* until every lease is released or has expired */
	GANG_RECORDING, /* all members gone or done; the row is written */
	GANG_RELEASING, /* the row says done; workers remove their records */
};

enum gang_commit {
	COMMIT_NONE,
	COMMIT_PENDING,
	COMMIT_OK,
	COMMIT_FAILED, /* not committed; no task may start */
	COMMIT_UNKNOWN, /* may be committed; no task may start */
};

/**
 * struct gang_inputs - inputs of a transition
 * @members: tasks of the gang
 * @reserved: members that are reserved or running
 * @running: members that are running
 * @done: members that have completed
 * @gone: members without a lease, see MEMBER_GONE
 * @failed: members that were refused, failed or lost
 * @commit: state of the commit of this attempt
 * @stop: a reclaim or cancellation was requested
 * @start_timed_out: the reservations or the starts have taken so long that the
 *	leases would expire before they are renewed
 * @recorded: the row holds the result
 */
struct gang_inputs {
	int32_t members, reserved, running, done, gone, failed;
	enum gang_commit commit;
	bool stop, start_timed_out, recorded;
};

/** gang_next_state() - state that follows @s; @s if there is no transition */
enum gang_state gang_next_state(enum gang_state s,
				const struct gang_inputs *in);
const char *gang_state_name(enum gang_state s);

#endif
