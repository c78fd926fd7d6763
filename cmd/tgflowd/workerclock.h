#ifndef TGFLOWD_WORKERCLOCK_H
#define TGFLOWD_WORKERCLOCK_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct worker_clock - a reading of a worker's clock
 * @clock_ms: the worker's clock; 0 if unknown
 * @at_ms: own time at which the answer arrived
 */
struct worker_clock {
	int64_t clock_ms, at_ms;
};

/**
 * worker_clock_goes_on() - whether a later reading is not below what an earlier
 * one lets expect
 * @slow_percent: by which the worker's clock may be slow
 * @margin_ms: that the later answer may have been on its way longer
 *
 * A lease with an expiry by the earlier reading lasts no longer than expected
 * then, whichever process grants it.
 */
bool worker_clock_goes_on(const struct worker_clock *earlier,
			  const struct worker_clock *later, int slow_percent,
			  int64_t margin_ms);

#endif
