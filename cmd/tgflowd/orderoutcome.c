#include "orderoutcome.h"

enum flow_order_result order_outcome(enum tg_order_end end, bool start,
				     int tries)
{
	if (end == TG_ORDER_DONE)
		return FLOW_ORDER_DONE;
	if (start && tries > 1)
		return FLOW_ORDER_UNKNOWN;
	switch (end) {
	case TG_ORDER_OLD_RUN:
		return start ? FLOW_ORDER_STALE_RUN : FLOW_ORDER_DONE;
	case TG_ORDER_INVALID:
		return start ? FLOW_ORDER_INVALID : FLOW_ORDER_DONE;
	case TG_ORDER_UNKNOWN:
		return FLOW_ORDER_UNKNOWN;
	default:
		return FLOW_ORDER_NOT_DONE;
	}
}
