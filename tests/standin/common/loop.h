#ifndef TG_STANDIN_LOOP_H
#define TG_STANDIN_LOOP_H

#include <event2/event.h>

/**
 * new_precise_loop() - event loop whose timers are exact to a millisecond
 *
 * By default libevent reads the kernel's coarse clock, whose steps of up to
 * 4 ms distort simulated work and measured latencies.
 */
struct event_base *new_precise_loop(void);

#endif
