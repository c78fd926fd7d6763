#ifndef TGFLOWD_STORESEEN_H
#define TGFLOWD_STORESEEN_H

#include "site/site.h"

/**
 * struct store_seen - since when the store has answered without a gap
 * @since_clock_ms: by its own clock; 0 if the last call got no answer
 * @last: the last answer
 *
 * An owner's row tells it, so that the next owner knows about the time before
 * its own calls.
 */
struct store_seen {
	int64_t since_clock_ms;
	struct tg_store_clock last;
};

/**
 * store_seen_answer() - the store has answered
 * @clock_ms: its clock in the answer; 0 if that doesn't tell
 * @called_ms: own time at which the call began
 * @now_ms: own time of the answer
 */
void store_seen_answer(struct store_seen *s, int64_t clock_ms,
		       int64_t called_ms, int64_t now_ms);
/** store_seen_failure() - a call got no answer, or was refused */
void store_seen_failure(struct store_seen *s);
/** store_seen_inherit() - use what the owner's row in the last answer tells */
void store_seen_inherit(struct store_seen *s, const struct tg_owner_row *r);
/** store_seen_record() - tell in the row that is written now */
void store_seen_record(const struct store_seen *s, struct tg_owner_row *r,
		       int64_t now_ms);
/** store_seen_since_ms() - the same by the own clock, or later; 0 if unknown */
int64_t store_seen_since_ms(const struct store_seen *s);

#endif
