#ifndef TGFLOWD_LEFT_H
#define TGFLOWD_LEFT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct worker_signs - what tells whether a draining worker has left
 * @failures: calls in a row without an answer
 * @refusals: connections in a row that were refused
 * @broken_ms: when the first of them failed
 * @listed: its entry is in the directory
 * @unlisted_ms: when the entry disappeared
 * @beat_ms: when the entry last changed
 * @leaves_ms: before this it does not leave; 0 if it has not said
 */
struct worker_signs {
	bool listed;
	int32_t failures, refusals;
	int64_t broken_ms, unlisted_ms, beat_ms, leaves_ms;
	int64_t heartbeat_ms, now_ms;
};

/**
 * worker_has_left() - whether a draining worker has ended, and its runs too
 *
 * A refused connection alone does not tell: a path that is cut may refuse too,
 * while the worker goes on.
 */
bool worker_has_left(const struct worker_signs *s);

#endif
