#include "workerclock.h"

bool worker_clock_goes_on(const struct worker_clock *earlier,
			  const struct worker_clock *later, int slow_percent,
			  int64_t margin_ms)
{
	int64_t passed_ms = later->at_ms - earlier->at_ms;
	int64_t least_ms = earlier->clock_ms +
		passed_ms * (100 - slow_percent) / 100 - margin_ms;

	return earlier->clock_ms && later->clock_ms &&
		later->clock_ms >= least_ms;
}
