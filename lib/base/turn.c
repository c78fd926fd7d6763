#include "base/base.h"

/*
 * Measures how long events keep the event loop.  While one of them runs,
 * nothing else is answered, and peers may take the process for dead.
 */

/* A turn that takes longer is logged. */
#define TURN_MAX_US 50000

static int depth;
static int64_t from_us;

void tg_turn_begin(void)
{
	if (!depth++)
		from_us = tg_now_us();
}

void tg_turn_end(const char *what)
{
	static struct tg_hist *turn_us;
	int64_t us;

	if (--depth)
		return;
	if (!turn_us)
		turn_us = tg_histogram("tg_turn_us",
				       "time for which an event kept the loop",
				       NULL);
	us = tg_now_us() - from_us;
	tg_hist_add(turn_us, us > 0 ? (uint64_t)us : 0);
	if (us > TURN_MAX_US)
		tg_log(EV_LONG_TURN, "what=%s turn_ms=%lld", what,
		       (long long)(us / 1000));
}
