#ifndef TG_SCHEDD_LEASE_H
#define TG_SCHEDD_LEASE_H

#include <stdint.h>

/**
 * DOC: lease arithmetic
 *
 * A lease expires by the clock of the worker.  The scheduler relies only on its
 * local clock and on the bound of 2% between the rates of the two clocks.
 */

/* Bound on the difference of clock rates, from docs/platform-contract.md. */
#define LEASE_DRIFT_PERCENT 2
/* Allows for the worker's timer and its event loop before a task is stopped. */
#define LEASE_SLACK_MS 500

/**
 * lease_worker_expiry_ms() - expiry to send, by the worker's clock
 * @worker_clock_ms: the worker's clock in its last response
 * @ttl_ms: length of a lease
 */
int64_t lease_worker_expiry_ms(int64_t worker_clock_ms, int64_t ttl_ms);
/**
 * lease_local_expiry_ms() - local clock when a lease has certainly expired
 * @response_ms: local clock when the response with the worker's clock was
 *received
 * @left_ms: expiry minus the worker's clock in that response; 0 or less if the
 *	lease had expired by then
 */
int64_t lease_local_expiry_ms(int64_t response_ms, int64_t left_ms);

#endif
