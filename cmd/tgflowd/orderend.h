#ifndef TGFLOWD_ORDEREND_H
#define TGFLOWD_ORDEREND_H

#include "flow/flow.h"
#include "port/port.h"

/**
 * order_end() - what the answer to an order means for the run
 * @start: of a start, else of a stop
 * @tries: how often the order was sent; only the last copy was answered
 *
 * After an unanswered copy of a start no refusal says that the run does not
 * exist: that copy may have been carried out, or may be carried out later.
 */
enum flow_order_end order_end(enum tg_order_end end, bool start, int tries);

#endif
