#include "lease.h"

int64_t lease_worker_expiry_ms(int64_t worker_clock_ms, int64_t ttl_ms)
{
	return worker_clock_ms + ttl_ms;
}

int64_t lease_local_expiry_ms(int64_t response_ms, int64_t left_ms)
{
	if (left_ms < 0)
		left_ms = 0;
	/* Rounded up, so that short leases keep the full margin. */
	return response_ms + left_ms +
		(left_ms * LEASE_DRIFT_PERCENT + 99) / 100 + LEASE_SLACK_MS;
}
