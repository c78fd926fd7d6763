#ifndef TGFLOWD_WORKEREXIT_H
#define TGFLOWD_WORKEREXIT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct worker_exit_signs - evidence that a draining worker has exited
 * @in_directory: the worker's entry is in the directory
 * @failures: consecutive calls without an answer
 * @refusals: consecutive connection attempts that were refused
 * @first_failure_ms: when the first of the consecutive calls failed
 * @removed_ms: when the entry was removed from the directory
 * @last_heartbeat_ms: when the entry last changed
 * @earliest_exit_ms: the worker does not exit before this time; 0 if it has not
 *	announced one
 * @heartbeat_ms: interval at which a worker updates its entry
 */
struct worker_exit_signs {
	bool in_directory;
	int32_t failures, refusals;
	int64_t first_failure_ms, removed_ms, last_heartbeat_ms,
		earliest_exit_ms;
	int64_t heartbeat_ms, now_ms;
};

/**
 * worker_has_exited() - whether a draining worker and all its runs have ended
 *
 * A refused connection is not enough: a broken network path may refuse
 * connections too while the worker keeps running.
 */
bool worker_has_exited(const struct worker_exit_signs *s);

#endif
