#ifndef TG_STANDIN_LOOP_H
#define TG_STANDIN_LOOP_H

#include <event2/event.h>

/**
 * new_precise_loop() - create an event loop with millisecond timers
 *
 * By default libevent reads the kernel's coarse clock, whose resolution of up
 * to 4 ms distorts simulated run times and measured latencies.
 */
struct event_base *new_precise_loop(void);

#endif
