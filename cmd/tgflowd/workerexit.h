#ifndef TGFLOWD_WORKEREXIT_H
#define TGFLOWD_WORKEREXIT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct worker_exit_signs - evidence that a draining worker has exited
 * @in_directory: the worker's entry is in the directory
 * @failures: consecutive calls without an answer
 * @closed: the first of them ended since the connection was closed or refused,
 *	so it failed at once
 * @first_failure_ms: when the first of them failed
 * @removed_ms: the entry was removed from the directory by then
 * @written_after_ms: the entry was last written after this time; 0 if unknown
 * @store_since_ms: the store has answered all calls in time since then; 0 if it
 *	has not answered the last one
 * @earliest_exit_ms: the worker does not exit before this time; 0 if it has not
 *	announced one
 * @heartbeat_ms: interval at which a worker writes its entry
 */
struct worker_exit_signs {
	bool in_directory, closed;
	int32_t failures;
	int64_t first_failure_ms, removed_ms, written_after_ms;
	int64_t store_since_ms, earliest_exit_ms;
	int64_t heartbeat_ms;
};

/**
 * worker_has_exited() - whether a draining worker and all its runs have ended
 *
 * A worker that exits closes its connections and removes its entry.  A network
 * path that is cut may close or refuse connections too, and the entry expires
 * then, but later.
 */
bool worker_has_exited(const struct worker_exit_signs *s);

#endif
