#ifndef TG_SCHEDD_LEASE_H
#define TG_SCHEDD_LEASE_H

#include <stdint.h>

/**
 * DOC: lease arithmetic
 *
 * An expiry is in the worker's clock.  The scheduler relies only on its own
 * clock and on the bound of 2% between the rates of the two.
 */

/* Bound on the difference of clock rates, from the platform's contract. */
#define LEASE_DRIFT_PERCENT 2
/* Allows for the worker's timer and a busy loop before it stops the task. */
#define LEASE_SLACK_MS 500

/**
 * lease_expires_ms() - expiry to send, in the worker's clock
 * @worker_now_ms: of the worker's last answer
 * @ttl_ms: length of a lease
 */
int64_t lease_worker_expiry_ms(int64_t worker_now_ms, int64_t ttl_ms);
/**
 * lease_expired_ms() - own clock when such a lease has definitely expired
 * @reply_ms: own clock when the answer was received that gave worker_now_ms
 * @left_ms: expiry minus worker_now_ms; not above 0 if it has passed
 */
int64_t lease_local_expiry_ms(int64_t reply_ms, int64_t left_ms);

#endif
