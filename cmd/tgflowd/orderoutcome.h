#ifndef TGFLOWD_ORDEROUTCOME_H
#define TGFLOWD_ORDEROUTCOME_H

#include "flow/flow.h"
#include "port/port.h"

/**
 * order_outcome() - translate a worker's answer to an order for the flow engine
 * @start: true for a start, false for a stop
 * @tries: number of times the order was sent; only the last one was answered
 *
 * If an earlier copy of a start got no answer, a refusal of a later copy does
 * not show that the run does not exist: the earlier copy may have been carried
 * out, or may still be.
 */
enum flow_order_result order_outcome(enum tg_order_end end, bool start,
				     int tries);

#endif
